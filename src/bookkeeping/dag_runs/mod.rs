//! Runs of graphs as the records tell them: which nodes are ready follows from the ends that are durable.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use olivelatch_dag::{NodeIx, NodeOutcome, RetryState, TriggerRule};

use super::dag::Dag;
use super::dag_records::{
    DagRunRecord, NodeTerminalRecord, RETRY_BLOCK_TASKS, RetryStateRecord, RunPhase, RunPhaseRecord,
};
use super::jobs::{Job, JobSpec, NodeSpec, TerminalState};
use super::records::RecordKey;
use super::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId, JobIx, Revision, seconds_to_ms};
use crate::protocol::graphs::{DagRunHeader, DagRunName, GraphPart};

/// Upstream jobs that count for a node's place.
const MAX_UPSTREAM: usize = 16;

#[derive(Debug)]
pub struct DagRun {
    pub name: DagRunName,
    /// As accepted: time of day, what it is, and the revision of it.
    pub accepted: Option<(u64, DagRunHeader, Revision)>,
    pub upload_expired: bool,
    /// Parts that have a record.
    pub parts: BTreeSet<u32>,
    /// Their contents, until the run is put together; those that do nodes over are kept.
    pub part_contents: BTreeMap<u32, GraphPart>,
    pub phase_record: RunPhaseRecord,
    pub dag: Option<Box<Dag>>,
    /// Jobs of nodes that were done over before they had ended.
    pub replaced_jobs: BTreeSet<JobId>,
    /// Some of its parts were removed: it is being forgotten.
    pub deleting: bool,
}

impl DagRun {
    fn new(name: &DagRunName) -> DagRun {
        DagRun {
            name: name.clone(),
            accepted: None,
            upload_expired: false,
            parts: BTreeSet::new(),
            part_contents: BTreeMap::new(),
            phase_record: RunPhaseRecord::default(),
            dag: None,
            replaced_jobs: BTreeSet::new(),
            deleting: false,
        }
    }

    pub fn is_ended(&self) -> bool {
        self.phase_record.phase == RunPhase::Ended
    }

    /// Where the next parts that do nodes over begin.
    pub fn next_rerun_part(&self) -> u32 {
        self.phase_record.next_rerun_part(self.accepted.as_ref().map_or(0, |(_, header, _)| header.parts))
    }

    /// The graph among whose runs it is, and its place there.
    fn queue_position(&self) -> Option<(String, Revision)> {
        self.accepted.as_ref().map(|(_, header, seq)| (header.graph.clone(), *seq))
    }

    /// Has the leader something to write for it?
    pub fn has_pending_writes(&self) -> bool {
        let Some(flow) = self.dag.as_ref().filter(|_| !self.deleting) else { return false };
        let open = !flow.progress.is_finished();
        !self.replaced_jobs.is_empty()
            || (open && (self.phase_record.cancelled || flow.progress.has_outcomes_to_write()))
            || (!open && !self.is_ended())
    }
}

/// Runs of one graph: those under way, and those that wait in the order of their acceptance.
#[derive(Debug, Default)]
struct GraphRunQueue {
    active: BTreeSet<DagRunIx>,
    waiting: BTreeSet<(Revision, DagRunIx)>,
}

#[derive(Debug, Default)]
pub struct DagRuns {
    runs: Vec<Option<Box<DagRun>>>,
    index: BTreeMap<DagRunName, DagRunIx>,
    /// Nodes by the job that counts now.
    current_jobs: HashMap<JobId, (DagRunIx, NodeIx)>,
    /// Jobs of nodes that were done over.
    replaced_jobs: HashMap<JobId, (DagRunIx, NodeIx)>,
    terminals: HashMap<JobId, Box<NodeTerminalRecord>>,
    retry_states: HashMap<JobId, BTreeMap<u32, RetryState>>,
    queues: BTreeMap<String, GraphRunQueue>,
    /// Runs that the leader has something to write for.
    pub pending_writes: BTreeSet<DagRunIx>,
    /// Jobs that became ready since the last look.
    newly_ready: Vec<JobIx>,
    /// Nodes of all runs.
    pub node_count: usize,
}

impl DagRuns {
    pub fn find(&self, name: &DagRunName) -> Option<DagRunIx> {
        self.index.get(name).copied()
    }

    pub fn run(&self, ix: DagRunIx) -> Option<&DagRun> {
        self.runs.get(ix.index())?.as_deref()
    }

    fn run_mut(&mut self, ix: DagRunIx) -> Option<&mut DagRun> {
        self.runs.get_mut(ix.index())?.as_deref_mut()
    }

    pub fn by_name(&self, name: &DagRunName) -> Option<&DagRun> {
        self.run(self.find(name)?)
    }

    /// Runs in the order of their names, from behind `after` on.
    pub fn runs_after(&self, after: Option<&DagRunName>) -> impl Iterator<Item = &DagRun> + '_ {
        use std::ops::Bound;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.index.range::<DagRunName, _>((from, Bound::Unbounded)).filter_map(|(_, ix)| self.run(*ix))
    }

    pub fn all_runs(&self) -> impl Iterator<Item = (DagRunIx, &DagRun)> {
        self.index.values().filter_map(|ix| Some((*ix, self.run(*ix)?)))
    }

    /// Is the job a node of an accepted graph, now or before it was done over?
    pub fn is_node_job(&self, job: JobId) -> bool {
        self.current_jobs.contains_key(&job) || self.replaced_jobs.contains_key(&job)
    }

    /// The node that a job counts for.
    pub fn current_node(&self, job: JobId) -> Option<(&DagRun, NodeIx)> {
        let (run, node) = self.current_jobs.get(&job)?;
        Some((self.run(*run)?, *node))
    }

    pub fn run_for_job(&self, job: JobId) -> Option<&DagRun> {
        let (run, _) = self.current_jobs.get(&job).or_else(|| self.replaced_jobs.get(&job))?;
        self.run(*run)
    }

    /// Nothing of the job is to start any more, although it has no end yet.
    pub fn is_stopped(&self, job: JobId) -> bool {
        self.replaced_jobs.contains_key(&job)
            || self.run_for_job(job).is_some_and(|run| run.phase_record.cancelled)
    }

    pub fn terminal_of(&self, job: JobId) -> Option<&NodeTerminalRecord> {
        self.terminals.get(&job).map(Box::as_ref)
    }

    pub fn retry_states_of(&self, job: JobId) -> Option<&BTreeMap<u32, RetryState>> {
        self.retry_states.get(&job)
    }

    /// Jobs that are over and whose failures still have records.
    pub fn terminal_jobs_with_retry_states<'a>(
        &'a self,
        cache: &'a StoreCache,
    ) -> impl Iterator<Item = JobId> + 'a {
        self.retry_states.keys().copied().filter(|job| cache.terminal_state(*job).is_some())
    }

    /// How the end of a job is told if somebody cancels it; None if it is no node.
    pub fn cancelled_terminal(&self, job: JobId) -> Option<NodeTerminalRecord> {
        let run = self.run_for_job(job)?;
        let (_, node) = self.current_jobs.get(&job).or_else(|| self.replaced_jobs.get(&job))?;
        let name = run.dag.as_ref().map_or("", |flow| &flow.node(*node).name);
        Some(NodeTerminalRecord::new(&run.name, name, NodeOutcome::Cancelled))
    }

    /// Runs whose turn may come: for each graph the next ones in order, as far as its limit allows.
    pub fn startable_runs(&self) -> impl Iterator<Item = DagRunIx> + '_ {
        self.queues.values().flat_map(|lane| {
            let most = |ix: &DagRunIx| {
                self.run(*ix).and_then(|run| Some(run.accepted.as_ref()?.1.max_active_runs as usize))
            };
            let first = lane.waiting.first().and_then(|(_, ix)| most(ix)).unwrap_or(0);
            lane.waiting.iter().take(first.saturating_sub(lane.active.len())).map(|(_, ix)| *ix)
        })
    }

    /// Runs of the same graph that come before one that waits.
    pub fn runs_ahead_of(&self, run: &DagRun) -> Vec<String> {
        let Some((_, header, _)) = &run.accepted else { return Vec::new() };
        let active = self.queues.get(&header.graph).into_iter().flat_map(|lane| &lane.active);
        active.filter_map(|ix| Some(self.run(*ix)?.name.to_string())).collect()
    }

    fn find_or_create(&mut self, name: &DagRunName) -> DagRunIx {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = DagRunIx(self.runs.len() as u32);
        self.runs.push(Some(Box::new(DagRun::new(name))));
        self.index.insert(name.clone(), ix);
        ix
    }

    /// Where a run stands among those of its graph, and whether there is something to write for it.
    fn update_queues(&mut self, ix: DagRunIx) {
        let Some(run) = self.run(ix) else { return };
        let wants = run.has_pending_writes();
        let there = run.dag.is_some() && !run.deleting;
        let (phase, waits) = (
            run.phase_record.phase,
            there && !run.phase_record.cancelled && run.phase_record.phase == RunPhase::Waiting,
        );
        if let Some((graph, seq)) = run.queue_position() {
            let lane = self.queues.entry(graph).or_default();
            lane.active.remove(&ix);
            lane.waiting.remove(&(seq, ix));
            if waits {
                lane.waiting.insert((seq, ix));
            } else if there && phase == RunPhase::Active {
                lane.active.insert(ix);
            }
        }
        if wants {
            self.pending_writes.insert(ix);
        } else {
            self.pending_writes.remove(&ix);
        }
    }
}

impl StoreCache {
    pub(super) fn put_dag_run(
        &mut self,
        name: &DagRunName,
        record: DagRunRecord,
        accepted_revision: Revision,
    ) {
        let ix = self.dag_runs.find_or_create(name);
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        match record {
            DagRunRecord::Accepted { at, header } => run.accepted = Some((at, header, accepted_revision)),
            DagRunRecord::UploadExpired { .. } => run.upload_expired = true,
        }
        self.assemble_dag(ix);
    }

    pub(super) fn put_part(&mut self, name: &DagRunName, part: u32, contents: GraphPart) {
        let ix = self.dag_runs.find_or_create(name);
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        run.parts.insert(part);
        run.part_contents.insert(part, contents);
        self.assemble_dag(ix);
    }

    pub(super) fn put_run_phase(&mut self, name: &DagRunName, record: RunPhaseRecord) {
        let ix = self.dag_runs.find_or_create(name);
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let redone = run.phase_record.reruns.len() < record.reruns.len();
        run.deleting |= record.deleting;
        run.phase_record = record;
        if run.dag.is_none() || redone {
            self.assemble_dag(ix);
        } else {
            self.activate_ready_nodes(ix);
        }
    }

    /// Puts a run together once all its parts are there; again when nodes are done over.
    fn assemble_dag(&mut self, ix: DagRunIx) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let Some((_, header, _)) = &run.accepted else { return };
        let whole = (0..header.parts).all(|part| run.part_contents.contains_key(&part));
        let redos: Vec<u32> =
            run.phase_record.reruns.iter().flat_map(|(from, parts)| *from..from + parts).collect();
        let there = redos.iter().all(|part| run.part_contents.contains_key(part));
        if !there || (run.dag.is_none() && !whole) || run.deleting {
            return;
        }
        if run.dag.is_none() {
            // It was checked before it was accepted.
            let Ok(flow) = Dag::from_parts((0..header.parts).filter_map(|part| run.part_contents.get(&part)))
            else {
                return;
            };
            run.part_contents.retain(|part, _| *part >= header.parts);
            run.dag = Some(Box::new(flow));
            let nodes = run.dag.as_ref().map_or(0, |flow| flow.nodes.len());
            self.dag_runs.node_count += nodes;
            self.register_node_jobs(ix, None);
        }
        self.replace_rerun_jobs(ix, &redos);
        self.replay_terminals(ix);
    }

    /// Nodes' jobs are known by their names; `new` only, if given.
    fn register_node_jobs(&mut self, ix: DagRunIx, new: Option<&BTreeMap<NodeIx, JobId>>) {
        let Some(flow) = self.dag_runs.run(ix).and_then(|run| run.dag.as_ref()) else { return };
        let all = flow.nodes.iter().enumerate().map(|(at, node)| (NodeIx(at as u32), node.job));
        let wanted = all.filter(|(node, _)| new.is_none_or(|new| new.contains_key(node)));
        let free: Vec<_> = wanted.filter(|(_, job)| !self.is_plain_job(*job)).collect();
        for (node, job) in free {
            self.dag_runs.current_jobs.insert(job, (ix, node));
        }
    }

    /// A plain job has that name: it came before the graph, on another controller.
    fn is_plain_job(&self, job: JobId) -> bool {
        let plain = self.key_revision(&RecordKey::Job(job).encode()) != Revision(0);
        plain || (self.terminal_state(job).is_some() && !self.dag_runs.terminals.contains_key(&job))
    }

    fn replace_rerun_jobs(&mut self, ix: DagRunIx, redos: &[u32]) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let Some(flow) = &mut run.dag else { return };
        let rows: Vec<_> = redos
            .iter()
            .filter_map(|part| run.part_contents.get(part))
            .flat_map(|piece| piece.reruns.clone())
            .collect();
        let mut new = BTreeMap::new();
        let mut replaced = Vec::new();
        for (first, count, job) in rows {
            for node in first..first.saturating_add(count).min(flow.nodes.len() as u32) {
                let job = JobId(job.saturating_add(u64::from(node - first)));
                // A node that is done over twice passes through the first name.
                let before = std::mem::replace(&mut flow.nodes[node as usize].job, job);
                if before != job {
                    replaced.push((NodeIx(node), before));
                    new.insert(NodeIx(node), job);
                }
            }
        }
        let now: BTreeSet<JobId> = flow.nodes.iter().map(|node| node.job).collect();
        replaced.retain(|(_, job)| !now.contains(job));
        for (node, job) in replaced {
            self.dag_runs.current_jobs.remove(&job);
            self.dag_runs.replaced_jobs.insert(job, (ix, node));
            if self.terminal_state(job).is_none()
                && let Some(run) = self.dag_runs.run_mut(ix)
            {
                run.replaced_jobs.insert(job);
            }
        }
        self.register_node_jobs(ix, Some(&new));
    }

    /// From nothing through all ends that are known.
    fn replay_terminals(&mut self, ix: DagRunIx) {
        let Some(flow) = self.dag_runs.run_mut(ix).and_then(|run| run.dag.as_mut()) else { return };
        flow.reset_progress();
        let jobs: Vec<JobId> = flow.nodes.iter().map(|node| node.job).collect();
        for (at, job) in jobs.iter().copied().enumerate() {
            let ended = match self.dag_runs.terminals.get(&job) {
                Some(end) => Some((end.outcome, end.valid_list_len())),
                None if self.is_plain_job(job) => Some((NodeOutcome::Failed, None)),
                None => None,
            };
            if let Some((outcome, list)) = ended
                && let Some(flow) = self.dag_runs.run_mut(ix).and_then(|run| run.dag.as_mut())
            {
                flow.progress.record_outcome(NodeIx(at as u32), outcome, list);
            }
        }
        self.keep_stopped_jobs(ix, &jobs);
        self.activate_ready_nodes(ix);
    }

    /// Jobs that were stopped may still have tasks on machines: as with plain jobs, what they take is known until none
    /// can be anywhere. Those that are done have none; what never was ready had none.
    fn keep_stopped_jobs(&mut self, ix: DagRunIx, jobs: &[JobId]) {
        let stopped = |job: &JobId| {
            let outcome = self.dag_runs.terminals.get(job).map(|end| end.outcome);
            matches!(outcome, Some(NodeOutcome::Failed | NodeOutcome::Cancelled))
        };
        let now = jobs.iter().enumerate().map(|(at, job)| (NodeIx(at as u32), *job));
        let mut kept: Vec<(NodeIx, JobId)> = now.filter(|(_, job)| stopped(job)).collect();
        let old = self.dag_runs.replaced_jobs.iter().filter(|(_, (run, _))| *run == ix);
        kept.extend(
            old.filter(|(job, _)| self.terminal_state(**job) != Some(TerminalState::Done))
                .map(|(job, (_, node))| (*node, *job)),
        );
        for (node, job) in kept {
            if self.find(job).is_none() && !self.is_plain_job(job) {
                self.add_node_job(ix, node, job);
            }
        }
    }

    /// A run whose turn has come: its ready nodes become jobs.
    fn activate_ready_nodes(&mut self, ix: DagRunIx) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        // Of a cancelled run too: tasks of its ready nodes may be on machines and have to be counted there.
        if run.phase_record.phase == RunPhase::Active
            && let Some(flow) = &mut run.dag
        {
            flow.progress.activate();
            let ready: Vec<NodeIx> = flow.progress.ready().iter().map(NodeIx).collect();
            ready.into_iter().for_each(|node| self.create_node_job(ix, node));
        }
        self.dag_runs.update_queues(ix);
    }

    /// A node's end is durable.
    pub(super) fn apply_node_terminal(
        &mut self,
        job: JobId,
        end: TerminalState,
        terminal: Option<NodeTerminalRecord>,
    ) {
        let told = match terminal {
            Some(told) => Some(told),
            // Cancelled by a controller that had not seen the graph's records yet.
            None => self.dag_runs.cancelled_terminal(job).filter(|_| end == TerminalState::Cancelled),
        };
        let Some(told) = told else { return };
        let (outcome, list) = (told.outcome, told.valid_list_len());
        self.dag_runs.terminals.insert(job, Box::new(told));
        if let Some((ix, _)) = self.dag_runs.replaced_jobs.get(&job).copied() {
            if let Some(run) = self.dag_runs.run_mut(ix) {
                run.replaced_jobs.remove(&job);
            }
            self.dag_runs.update_queues(ix);
        }
        let Some((ix, node)) = self.dag_runs.current_jobs.get(&job).copied() else { return };
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let cancelled = run.phase_record.cancelled;
        let Some(flow) = &mut run.dag else { return };
        let changes = flow.progress.record_outcome(node, outcome, list);
        if !cancelled {
            changes.ready.into_iter().for_each(|next| self.create_node_job(ix, next));
        }
        self.dag_runs.update_queues(ix);
    }

    /// A ready node becomes a job like one that was submitted.
    fn create_node_job(&mut self, ix: DagRunIx, node: NodeIx) {
        let flow = self.dag_runs.run(ix).and_then(|run| run.dag.as_ref());
        let Some(job) = flow.map(|flow| flow.node(node).job) else { return };
        if self.find(job).is_none()
            && self.terminal_state(job).is_none()
            && let Some(fresh) = self.add_node_job(ix, node, job)
        {
            self.dag_runs.newly_ready.push(fresh);
        }
    }

    fn add_node_job(&mut self, ix: DagRunIx, node: NodeIx, job: JobId) -> Option<JobIx> {
        let run = self.dag_runs.run(ix)?;
        let (Some(flow), Some((accepted, _, seq))) = (&run.dag, &run.accepted) else { return None };
        let (accepted, seq) = (*accepted, *seq);
        let ready_at = self.ready_wall_ms(run, flow, node);
        let template = flow.template(node).clone();
        let mut spec = template.manifest.clone();
        if let Some(tasks) = flow.progress.map_len(node) {
            spec.tasks = tasks;
        }
        let upstream: Vec<JobId> =
            flow.upstream(node).take(MAX_UPSTREAM).map(|up| flow.node(up).job).collect();
        let input_gb: f64 =
            flow.upstream(node).take(MAX_UPSTREAM).map(|up| flow.template(up).output_gb).sum();
        let pool = template.pool.as_ref().map(|pool| self.names.pools.intern(pool));
        let of = NodeSpec {
            run: run.name.clone(),
            name: flow.node(node).name.clone(),
            retry_policy: template.retry_policy(),
            timeout_ms: template.timeout_s.map(seconds_to_ms),
            pool,
            downstream_path_ms: flow.downstream_path_ms[node.index()],
            upstream_jobs: upstream,
            input_mb: seconds_to_ms(input_gb),
            has_downstream: !flow.progress.topology().is_leaf(node),
        };
        let mut info = JobSpec::new(job, &spec, ready_at, seq, &mut self.names);
        // The aim of a run counts from its acceptance, not from when a node became ready.
        info.slo_wall_ms = spec.deadline_s.map(|due| accepted + seconds_to_ms(due));
        info.node = Some(Arc::new(of));
        Some(self.add_with_out_of_order(Job::new(info)))
    }

    /// The time of day at which a node became ready, by the records alone: of its run's turn, or of the last end that its
    /// rule waited for.
    fn ready_wall_ms(&self, run: &DagRun, flow: &Dag, node: NodeIx) -> u64 {
        let rule = flow.progress.rule(node);
        let first_of = match rule {
            TriggerRule::OneSuccess => Some(false),
            TriggerRule::OneFailed => Some(true),
            _ => None,
        };
        let ended =
            |up: NodeIx| Some((flow.progress.outcome(up)?, self.terminal_summary(flow.node(up).job)?.1));
        let ends = flow.upstream(node).filter_map(ended);
        let last = match first_of {
            Some(failed) => ends.filter(|(end, _)| end.is_failure() == failed).map(|(_, at)| at).min(),
            None => ends.map(|(_, at)| at).max(),
        };
        last.unwrap_or(0).max(run.phase_record.since_wall_ms)
    }

    /// Jobs that became ready since the last look.
    pub fn take_newly_ready(&mut self) -> Vec<JobIx> {
        std::mem::take(&mut self.dag_runs.newly_ready)
    }

    /// All records were read: what ends tell of runs that were forgotten is of no use any more.
    pub fn forget_orphaned_terminals(&mut self) {
        let index = &self.dag_runs.index;
        let known = |end: &NodeTerminalRecord| {
            DagRunName::parse(&end.run).is_some_and(|run| index.contains_key(&run))
        };
        self.dag_runs.terminals.retain(|_, end| known(end));
    }

    pub(super) fn put_retry_states(&mut self, job: JobId, record: RetryStateRecord) {
        self.dag_runs.retry_states.entry(job).or_default().extend(record.by_task);
    }

    pub(super) fn drop_retry_states(&mut self, job: JobId, block: u32) {
        if let Some(tries) = self.dag_runs.retry_states.get_mut(&job) {
            tries.retain(|task, _| task / RETRY_BLOCK_TASKS != block);
            if tries.is_empty() {
                self.dag_runs.retry_states.remove(&job);
            }
        }
    }

    pub(super) fn drop_part(&mut self, name: &DagRunName, part: u32) {
        let Some(ix) = self.dag_runs.find(name) else { return };
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        run.parts.remove(&part);
        run.part_contents.remove(&part);
        run.deleting |= run.accepted.is_some();
        let gone = run.parts.is_empty() && run.accepted.is_none() && !run.upload_expired;
        self.dag_runs.update_queues(ix);
        if gone {
            self.forget_run(ix);
        }
    }

    pub(super) fn drop_run_phase(&mut self, name: &DagRunName) {
        let Some(ix) = self.dag_runs.find(name) else { return };
        if let Some(run) = self.dag_runs.run_mut(ix) {
            run.deleting = true;
            run.phase_record = RunPhaseRecord { phase: RunPhase::Ended, ..RunPhaseRecord::default() };
        }
        self.dag_runs.update_queues(ix);
    }

    pub(super) fn drop_dag_run(&mut self, name: &DagRunName) {
        if let Some(ix) = self.dag_runs.find(name) {
            self.forget_run(ix);
        }
    }

    /// The ends of its nodes stay, and answer for them.
    fn forget_run(&mut self, ix: DagRunIx) {
        let Some(mut run) = self.dag_runs.runs.get_mut(ix.index()).and_then(Option::take) else { return };
        self.dag_runs.index.remove(&run.name);
        self.dag_runs.pending_writes.remove(&ix);
        if let Some((graph, seq)) = run.queue_position()
            && let Some(lane) = self.dag_runs.queues.get_mut(&graph)
        {
            lane.active.remove(&ix);
            lane.waiting.remove(&(seq, ix));
            if lane.active.is_empty() && lane.waiting.is_empty() {
                self.dag_runs.queues.remove(&graph);
            }
        }
        let nodes = run.dag.take().map_or(Vec::new(), |flow| flow.nodes);
        self.dag_runs.node_count -= nodes.len();
        let mut jobs: Vec<JobId> = nodes.into_iter().map(|node| node.job).collect();
        jobs.extend(
            self.dag_runs.replaced_jobs.iter().filter(|(_, (run, _))| *run == ix).map(|(job, _)| *job),
        );
        for job in jobs {
            if self.dag_runs.current_jobs.get(&job).is_none_or(|(run, _)| *run == ix)
                && !self.is_plain_job(job)
            {
                self.dag_runs.current_jobs.remove(&job);
                self.dag_runs.replaced_jobs.remove(&job);
                self.dag_runs.terminals.remove(&job);
                self.drop_job(job);
            }
        }
    }
}
