//! Graph runs, derived from their records.
//!
//! A run is accepted, assembled once all parts of its graph have been read, queued among the runs of the same graph,
//! active, and finally finished. Which nodes are ready depends only on the terminal records of the run's nodes.
//! Therefore every controller derives the same state, in whatever order it reads the records, and a failover repeats
//! no work.
//!
//! [`DagRuns`] owns that state inside [`StoreCache`]. The other files extend the cache: `apply` applies records,
//! `assembly` builds the graphs of runs, `node_jobs` turns ready nodes into jobs, and `deletion` removes runs. The
//! module does no I/O and reads no clock. Its memory grows with the nodes of the runs that have records.

mod apply;
mod assembly;
mod deletion;
mod node_jobs;
mod run;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use olivelatch_dag::{NodeIx, NodeOutcome, RetryState};

use super::dag_records::{NodeTerminalRecord, RunPhase};
use super::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId, JobIx, Revision};
use crate::protocol::graphs::DagRunName;

pub use run::DagRun;

/// The runs of one graph.
#[derive(Debug, Default)]
struct GraphRunQueue {
    active: BTreeSet<DagRunIx>,
    /// Waiting runs in the order of their acceptance.
    waiting: BTreeSet<(Revision, DagRunIx)>,
}

/// All runs that have records, and the recorded state of their nodes.
#[derive(Debug, Default)]
pub struct DagRuns {
    /// Runs, indexed by `DagRunIx`; None if the run's records are deleted. Indices are never reused.
    runs: Vec<Option<Box<DagRun>>>,
    index: BTreeMap<DagRunName, DagRunIx>,
    /// Nodes by their current job.
    current_jobs: HashMap<JobId, (DagRunIx, NodeIx)>,
    /// Nodes by the jobs that a rerun replaced.
    replaced_jobs: HashMap<JobId, (DagRunIx, NodeIx)>,
    terminals: HashMap<JobId, Box<NodeTerminalRecord>>,
    /// Recorded failures by job and task.
    retry_states: HashMap<JobId, BTreeMap<u32, RetryState>>,
    /// Queues by the name of the graph.
    queues: BTreeMap<String, GraphRunQueue>,
    /// Runs for which the leader has records to write.
    pub pending_writes: BTreeSet<DagRunIx>,
    /// Jobs of nodes that became ready since the last call of `take_newly_ready`.
    newly_ready: Vec<JobIx>,
    /// Total number of nodes of all runs.
    pub node_count: usize,
}

impl DagRuns {
    /// Returns the index of a run by its name.
    pub fn find(&self, name: &DagRunName) -> Option<DagRunIx> {
        self.index.get(name).copied()
    }

    /// Returns a run by its index.
    pub fn run(&self, ix: DagRunIx) -> Option<&DagRun> {
        self.runs.get(ix.index())?.as_deref()
    }

    fn run_mut(&mut self, ix: DagRunIx) -> Option<&mut DagRun> {
        self.runs.get_mut(ix.index())?.as_deref_mut()
    }

    /// Returns a run by its name.
    pub fn by_name(&self, name: &DagRunName) -> Option<&DagRun> {
        self.run(self.find(name)?)
    }

    /// Returns the runs in the order of their names, starting after `after` if it is given.
    pub fn runs_after(&self, after: Option<&DagRunName>) -> impl Iterator<Item = &DagRun> + '_ {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.index.range::<DagRunName, _>((from, Bound::Unbounded)).filter_map(|(_, ix)| self.run(*ix))
    }

    /// Returns all runs in the order of their names.
    pub fn all_runs(&self) -> impl Iterator<Item = (DagRunIx, &DagRun)> {
        self.index.values().filter_map(|ix| Some((*ix, self.run(*ix)?)))
    }

    /// Returns whether the job is, or was before a rerun, the job of a node of an accepted graph.
    pub fn is_node_job(&self, job: JobId) -> bool {
        self.node_of(job).is_some()
    }

    /// Returns the node whose current job this is.
    pub fn current_node(&self, job: JobId) -> Option<(&DagRun, NodeIx)> {
        let (run, node) = self.current_jobs.get(&job)?;
        Some((self.run(*run)?, *node))
    }

    /// Returns the node that has this job, or had it before a rerun.
    fn node_of(&self, job: JobId) -> Option<(DagRunIx, NodeIx)> {
        self.current_jobs.get(&job).or_else(|| self.replaced_jobs.get(&job)).copied()
    }

    /// Returns the run of the node that has this job, or had it before a rerun.
    fn run_for_job(&self, job: JobId) -> Option<&DagRun> {
        self.run(self.node_of(job)?.0)
    }

    /// Returns whether tasks of the job must no longer start, even if it has no terminal record yet: a rerun replaced
    /// the job, or its run is cancelled.
    pub fn is_stopped(&self, job: JobId) -> bool {
        self.replaced_jobs.contains_key(&job)
            || self.run_for_job(job).is_some_and(|run| run.phase_record.cancelled)
    }

    /// Returns the terminal record of a node, by its job.
    pub fn terminal_of(&self, job: JobId) -> Option<&NodeTerminalRecord> {
        self.terminals.get(&job).map(Box::as_ref)
    }

    /// Returns the recorded failures of a job, by task.
    pub fn retry_states_of(&self, job: JobId) -> Option<&BTreeMap<u32, RetryState>> {
        self.retry_states.get(&job)
    }

    /// Returns the jobs in a terminal state whose failures still have records.
    pub fn terminal_jobs_with_retry_states<'a>(
        &'a self,
        cache: &'a StoreCache,
    ) -> impl Iterator<Item = JobId> + 'a {
        self.retry_states.keys().copied().filter(|job| cache.terminal_state(*job).is_some())
    }

    /// Returns the terminal record to write for a node whose job is cancelled; None if the job belongs to no node.
    pub fn cancelled_terminal(&self, job: JobId) -> Option<NodeTerminalRecord> {
        let (run, node) = self.node_of(job)?;
        let run = self.run(run)?;
        let name = run.dag.as_ref().map_or("", |dag| &dag.node(node).name);
        Some(NodeTerminalRecord::new(&run.name, name, NodeOutcome::Cancelled))
    }

    /// Returns the runs that may become active: for each graph, the first waiting runs within its limit of active runs.
    /// The limit is taken from the waiting run that was accepted first, so that no run overtakes an earlier one.
    pub fn startable_runs(&self) -> impl Iterator<Item = DagRunIx> + '_ {
        let limit_of = |ix: DagRunIx| {
            self.run(ix).and_then(|run| Some(run.accepted.as_ref()?.1.max_active_runs as usize))
        };
        self.queues.values().flat_map(move |queue| {
            let limit = queue.waiting.first().and_then(|(_, ix)| limit_of(*ix)).unwrap_or(0);
            queue.waiting.iter().take(limit.saturating_sub(queue.active.len())).map(|(_, ix)| *ix)
        })
    }

    /// Returns the names of the active runs of the same graph, for which a waiting run has to wait.
    pub fn runs_ahead_of(&self, run: &DagRun) -> Vec<String> {
        let Some((_, header, _)) = &run.accepted else { return Vec::new() };
        let active = self.queues.get(&header.graph).into_iter().flat_map(|queue| &queue.active);
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

    /// Updates the place of a run in the queue of its graph and in `pending_writes` after its state has changed.
    fn update_queues(&mut self, ix: DagRunIx) {
        let Some(run) = self.run(ix) else { return };
        let has_pending_writes = run.has_pending_writes();
        let is_queued = run.dag.is_some() && !run.deleting;
        let phase = run.phase_record.phase;
        let is_waiting = is_queued && !run.phase_record.cancelled && phase == RunPhase::Waiting;
        if let Some((graph, accepted_revision)) = run.queue_position() {
            let queue = self.queues.entry(graph).or_default();
            queue.active.remove(&ix);
            queue.waiting.remove(&(accepted_revision, ix));
            if is_waiting {
                queue.waiting.insert((accepted_revision, ix));
            } else if is_queued && phase == RunPhase::Active {
                queue.active.insert(ix);
            }
        }
        if has_pending_writes {
            self.pending_writes.insert(ix);
        } else {
            self.pending_writes.remove(&ix);
        }
    }
}
