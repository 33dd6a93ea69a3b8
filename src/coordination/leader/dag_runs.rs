//! Nodes of graphs on the leader: tries, time limits, pools, and where upstream output is. What a node is besides
//! decides when its tasks may start; where they start is decided as for all others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_dag::{Failure, FailureEffect, NodeOutcome, RetryState};
use rand::RngExt;

use super::{Binding, JobState, Leader};
use crate::bookkeeping::dag_records::{MAX_EVIDENCE, NodeTerminalRecord, RETRY_BLOCK_TASKS};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::ids::{Attempt, DagRunIx, JobId, JobIx, MachineIx, Millis, PoolIx, TaskId};
use crate::protocol::graphs::FailedAttempt;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, TaskStatus};

/// Machines remembered as holding a node's output, and nodes of which that is remembered.
const MAX_OUTPUT_HOLDERS: usize = 8;
const MAX_TRACKED_OUTPUTS: usize = 20_000;
/// How often runs are looked at that may be forgotten.
const RUN_SCAN_INTERVAL_MS: u64 = 1_000;

/// What a job is besides, as a node.
#[derive(Debug, Default)]
pub struct DagNodeState {
    /// Tasks that have failed.
    pub retries: BTreeMap<u32, RetryState>,
    /// The attempt whose result counts, and the length of the list it gave: of nodes with one task, and of gangs.
    result: Option<(Attempt, Option<u32>)>,
}

#[derive(Debug, Default)]
pub struct DagRuns {
    /// When running tasks have had their time.
    time_limits: BTreeMap<Millis, Vec<(MachineIx, TaskId, Attempt)>>,
    pub pool_slots: HashMap<PoolIx, u32>,
    pub pool_used: HashMap<PoolIx, u32>,
    /// Where tasks of nodes finished that others come after.
    output_holders: HashMap<JobId, Vec<MachineIx>>,
    /// Runs whose records are being removed.
    pub deleting: BTreeSet<DagRunIx>,
    /// Since when parts wait for their commit.
    uncommitted_since: HashMap<DagRunIx, Millis>,
    /// Runs whose parts have waited too long.
    pub abandoned: BTreeSet<DagRunIx>,
    next_scan_at: Millis,
}

impl Leader {
    /// Pools by their names.
    pub(super) fn load_pools(&mut self, cache: &mut StoreCache) {
        for (pool, slots) in &self.tunables.graphs.pools {
            self.dag_runs.pool_slots.insert(cache.names.pools.intern(pool), *slots as u32);
        }
    }

    /// What a new job is as a node. Tries used up without an end: the leader before got no further.
    pub(super) fn init_node_state(&mut self, ix: JobIx, cache: &StoreCache) {
        let Some(work) = self.workload.jobs.get_mut(&ix) else { return };
        if work.spec.node.is_none() || work.dag_node.is_some() {
            return;
        }
        let id = work.spec.id;
        let retries = cache.dag_runs.retry_states_of(id).cloned().unwrap_or_default();
        work.dag_node = Some(Box::new(DagNodeState { retries, result: None }));
        work.finishing |= cache.dag_runs.is_stopped(id);
        let exhausted_task = |node: &DagNodeState| {
            let retry = work.spec.node.as_ref().map(|info| info.retry_policy).unwrap_or_default();
            node.retries.iter().find(|(_, tries)| tries.is_exhausted(&retry)).map(|(task, _)| *task)
        };
        if let Some(task) = work.dag_node.as_deref().and_then(exhausted_task) {
            self.fail_node(ix, task);
        }
    }

    /// Has the node's pool room for so many more tasks?
    pub fn pool_has_room(&self, work: &JobState, tasks: u32) -> bool {
        let Some(pool) = work.spec.pool() else { return true };
        let used = self.dag_runs.pool_used.get(&pool).copied().unwrap_or(0);
        self.dag_runs.pool_slots.get(&pool).is_none_or(|slots| used + tasks <= *slots)
    }

    /// A task that was seen to run has so long.
    pub(super) fn start_time_limit(
        &mut self,
        ix: MachineIx,
        job: Option<JobIx>,
        status: &TaskStatus,
        clock: Clock,
    ) {
        let node = job.and_then(|job| self.workload.jobs.get(&job)?.spec.node.as_ref());
        if let Some(limit) = node.and_then(|node| node.timeout_ms) {
            let due = self.dag_runs.time_limits.entry(clock.now.saturating_add(limit)).or_default();
            due.push((ix, status.task, status.attempt));
        }
    }

    /// Stops tasks that have had their time: of a gang all, since it is as slow as its slowest.
    pub fn enforce_time_limits(&mut self, clock: Clock) {
        while let Some((at, _)) = self.dag_runs.time_limits.first_key_value()
            && *at <= clock.now
        {
            for (ix, task, attempt) in
                self.dag_runs.time_limits.pop_first().map(|(_, due)| due).unwrap_or_default()
            {
                self.stop_over_time_limit(ix, task, attempt);
            }
        }
    }

    fn stop_over_time_limit(&mut self, ix: MachineIx, task: TaskId, attempt: Attempt) {
        let same_attempt = |binding: &Binding| binding.task.job == task.job && binding.attempt == attempt;
        let found =
            self.cluster.machines[ix.index()].bindings.iter().find(|b| same_attempt(b) && b.task == task);
        let Some(job) = found.and_then(|binding| binding.job) else { return };
        let Some(work) = self.workload.jobs.get(&job) else { return };
        let gang = work.spec.kind == JobKind::Gang;
        let machines: BTreeSet<MachineIx> = if gang {
            work.placements.values().flatten().map(|(ix, _)| *ix).collect()
        } else {
            BTreeSet::from([ix])
        };
        log::info!(event = "over_limit", task:% = task; "{task} has run longer than it may");
        for place in machines {
            let bindings = self.cluster.machines[place.index()].bindings.iter_mut();
            for binding in bindings.filter(|b| same_attempt(b) && (gang || b.task == task)) {
                binding.stop_grace_ms = Some(0);
                binding.timed_out = true;
            }
            self.cluster.pending_announcements.insert(place);
        }
    }

    /// A task of a node has exited. None: that is no failure of its. Else the wait before the next try, if there is one.
    pub(super) fn record_node_failure(
        &mut self,
        ix: MachineIx,
        binding: &Binding,
        cause: ExitCause,
    ) -> Option<Option<u64>> {
        let cause = match cause {
            ExitCause::Error => "error",
            ExitCause::Stopped { .. } | ExitCause::PeersLost if binding.timed_out => "time limit",
            _ => return None,
        };
        let job = binding.job?;
        let machine = self.cluster.machines[ix.index()].name.clone();
        let jitter: f64 = self.placement.rng.random();
        let work = self.workload.jobs.get_mut(&job)?;
        let retry = work.spec.node.as_ref()?.retry_policy;
        // A gang fails as one.
        let task = if work.spec.kind == JobKind::Gang { 0 } else { binding.task.task };
        let retries = work.dag_node.as_mut()?.retries.entry(task).or_default();
        let failure = Failure { attempt: binding.attempt.0, machine, cause: cause.into() };
        let verdict = retries.record_failure(failure, &retry);
        let backoff_ms = retry.delay_after(retries.failures, jitter);
        let id = work.spec.id;
        if verdict != FailureEffect::AlreadyCounted {
            self.writer.retries_due.insert((id, task / RETRY_BLOCK_TASKS));
        }
        if verdict == FailureEffect::Exhausted {
            log::info!(event = "node_failed", job:% = id; "{id} has failed for good");
            self.fail_node(job, task);
        }
        let ending = self.workload.jobs.get(&job).is_none_or(|work| work.finishing);
        Some((!ending).then_some(backoff_ms))
    }

    /// The node's tries are used up: nothing of it starts any more, and once its end is durable the rest stops.
    fn fail_node(&mut self, job: JobIx, task: u32) {
        let Some(work) = self.workload.jobs.get_mut(&job) else { return };
        let Some((info, node)) = work.spec.node.as_ref().zip(work.dag_node.as_ref()) else { return };
        work.finishing = true;
        let mut terminal = NodeTerminalRecord::new(&info.run, &info.name, NodeOutcome::Failed);
        let evidence_of = |task: u32, tries: &RetryState| {
            let one = move |failure: &Failure| FailedAttempt { task, failure: failure.clone() };
            tries.evidence.iter().map(one).collect::<Vec<_>>()
        };
        // First of all the task that decided it.
        let first = node.retries.get(&task).map(|tries| evidence_of(task, tries)).unwrap_or_default();
        let others = node
            .retries
            .iter()
            .filter(|(other, _)| **other != task)
            .flat_map(|(task, tries)| evidence_of(*task, tries));
        terminal.evidence = first.into_iter().chain(others).take(MAX_EVIDENCE).collect();
        self.writer.queue_node_terminal(work.spec.id, terminal);
    }

    /// A task of a node is done: whose result counts, where its output is.
    pub(super) fn record_node_task_done(&mut self, ix: MachineIx, job: JobIx, status: &TaskStatus) {
        let Some(work) = self.workload.jobs.get_mut(&job) else { return };
        let Some((info, node)) = work.spec.node.as_ref().zip(work.dag_node.as_mut()) else { return };
        if work.spec.tasks == 1 || work.spec.kind == JobKind::Gang {
            let list_length = status.output_list_len.or(node.result.and_then(|(_, gave)| gave));
            node.result = Some((status.published_attempt.unwrap_or(status.attempt), list_length));
        }
        if info.has_downstream {
            if self.dag_runs.output_holders.len() >= MAX_TRACKED_OUTPUTS {
                // Where old output is helps nobody; what is lost of the new only costs a fetch.
                self.dag_runs.output_holders.clear();
            }
            let holders = self.dag_runs.output_holders.entry(work.spec.id).or_default();
            if holders.len() < MAX_OUTPUT_HOLDERS && !holders.contains(&ix) {
                holders.push(ix);
            }
        }
    }

    /// How the end of a job that is done is told, if it is a node.
    pub(super) fn success_record(&self, work: &JobState) -> Option<NodeTerminalRecord> {
        let (info, node) = work.spec.node.as_ref().zip(work.dag_node.as_ref())?;
        let mut terminal = NodeTerminalRecord::new(&info.run, &info.name, NodeOutcome::Success);
        terminal.attempt = node.result.map(|(attempt, _)| attempt.0);
        terminal.list_len = node.result.and_then(|(_, gave)| gave);
        Some(terminal)
    }

    /// Machines that hold output which a job reads.
    pub fn output_holders(&self, work: &JobState) -> Vec<MachineIx> {
        let Some(node) = &work.spec.node else { return Vec::new() };
        let mut holders: Vec<MachineIx> = node
            .upstream_jobs
            .iter()
            .filter_map(|job| self.dag_runs.output_holders.get(job))
            .flatten()
            .copied()
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Now and then: runs that may be forgotten, parts that nobody has committed in time.
    pub fn scan_dag_runs(&mut self, cache: &StoreCache, clock: Clock) {
        if clock.now < self.dag_runs.next_scan_at {
            return;
        }
        self.dag_runs.next_scan_at = clock.now.saturating_add(RUN_SCAN_INTERVAL_MS);
        let tunables = &self.tunables.graphs;
        let mut finished_runs: Vec<(u64, DagRunIx)> = Vec::new();
        let mut uncommitted = BTreeSet::new();
        for (ix, run) in cache.dag_runs.all_runs() {
            if run.accepted.is_none() && !run.upload_expired {
                uncommitted.insert(ix);
            } else if run.deleting || run.upload_expired {
                self.dag_runs.deleting.insert(ix);
            } else if run.is_ended() && run.replaced_jobs.is_empty() {
                finished_runs.push((run.phase_record.since_wall_ms, ix));
            }
        }
        finished_runs.sort_unstable();
        let max_finished_runs = tunables.retained_runs as usize;
        let near_node_limit = cache.dag_runs.node_count as f64 > tunables.max_nodes * 0.8;
        let surplus = finished_runs
            .len()
            .saturating_sub(max_finished_runs)
            .max(usize::from(near_node_limit && !finished_runs.is_empty()));
        // Only those few are looked at node by node.
        let is_unbound =
            |ix: &DagRunIx| cache.dag_runs.run(*ix).is_some_and(|run| !self.has_bound_tasks(run));
        let to_delete: Vec<DagRunIx> =
            finished_runs.iter().take(surplus).map(|(_, ix)| *ix).filter(is_unbound).collect();
        self.dag_runs.deleting.extend(to_delete);
        self.dag_runs.deleting.retain(|ix| cache.dag_runs.run(*ix).is_some());
        let sweep_ms = (tunables.upload_expiry_s * 1000.0) as u64;
        self.dag_runs.uncommitted_since.retain(|ix, _| uncommitted.contains(ix));
        for ix in uncommitted {
            let since = *self.dag_runs.uncommitted_since.entry(ix).or_insert(clock.now);
            if clock.now.saturating_since(since) >= sweep_ms {
                self.dag_runs.abandoned.insert(ix);
            }
        }
    }

    /// May tasks of the run's nodes be anywhere?
    fn has_bound_tasks(&self, run: &crate::bookkeeping::dag_runs::DagRun) -> bool {
        let nodes = run.dag.iter().flat_map(|flow| &flow.nodes);
        nodes.into_iter().any(|node| self.workload.placed_task_counts.contains_key(&node.job))
    }
}
