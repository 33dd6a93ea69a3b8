//! Removes runs from the store cache as their records are deleted. The terminal records of their nodes stay in the
//! store.

use olivelatch_dag::NodeIx;

use super::{DagRun, DagRuns};
use crate::bookkeeping::dag_records::{NodeTerminalRecord, RETRY_BLOCK_TASKS, RunPhase, RunPhaseRecord};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId};
use crate::protocol::graphs::DagRunName;

impl DagRuns {
    fn remove_from_queue(&mut self, ix: DagRunIx, run: &DagRun) {
        let Some((graph, accepted_revision)) = run.queue_position() else { return };
        let Some(queue) = self.queues.get_mut(&graph) else { return };
        queue.active.remove(&ix);
        queue.waiting.remove(&(accepted_revision, ix));
        if queue.active.is_empty() && queue.waiting.is_empty() {
            self.queues.remove(&graph);
        }
    }
}

impl StoreCache {
    pub(in crate::bookkeeping) fn drop_retry_states(&mut self, job: JobId, block: u32) {
        let Some(states) = self.dag_runs.retry_states.get_mut(&job) else { return };
        states.retain(|task, _| task / RETRY_BLOCK_TASKS != block);
        if states.is_empty() {
            self.dag_runs.retry_states.remove(&job);
        }
    }

    pub(in crate::bookkeeping) fn drop_part(&mut self, name: &DagRunName, part: u32) {
        let Some(ix) = self.dag_runs.find(name) else { return };
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        run.parts.remove(&part);
        run.part_contents.remove(&part);
        run.deleting |= run.accepted.is_some();
        let has_no_records = run.parts.is_empty() && run.accepted.is_none() && !run.upload_expired;
        self.dag_runs.update_queues(ix);
        if has_no_records {
            self.remove_run(ix);
        }
    }

    pub(in crate::bookkeeping) fn drop_run_phase(&mut self, name: &DagRunName) {
        let Some(ix) = self.dag_runs.find(name) else { return };
        if let Some(run) = self.dag_runs.run_mut(ix) {
            run.deleting = true;
            run.phase_record = RunPhaseRecord { phase: RunPhase::Ended, ..RunPhaseRecord::default() };
        }
        self.dag_runs.update_queues(ix);
    }

    pub(in crate::bookkeeping) fn drop_dag_run(&mut self, name: &DagRunName) {
        if let Some(ix) = self.dag_runs.find(name) {
            self.remove_run(ix);
        }
    }

    /// Removes a run and the jobs of its nodes. The terminal states of the jobs stay, for users who query them later.
    fn remove_run(&mut self, ix: DagRunIx) {
        let Some(mut run) = self.dag_runs.runs.get_mut(ix.index()).and_then(Option::take) else { return };
        self.dag_runs.index.remove(&run.name);
        self.dag_runs.pending_writes.remove(&ix);
        self.dag_runs.remove_from_queue(ix, &run);
        let nodes = run.dag.take().map_or(Vec::new(), |dag| dag.nodes);
        self.dag_runs.node_count -= nodes.len();
        let mut jobs: Vec<JobId> = nodes.into_iter().map(|node| node.job).collect();
        let replaced = self.dag_runs.replaced_jobs.iter().filter(|(_, (run, _))| *run == ix);
        jobs.extend(replaced.map(|(job, _)| *job));
        for job in jobs {
            self.remove_node_job(ix, job);
        }
    }

    /// Removes all state of a node's job, unless the id belongs to another run or to a plain job.
    fn remove_node_job(&mut self, ix: DagRunIx, job: JobId) {
        let is_of_run = |(run, _): &(DagRunIx, NodeIx)| *run == ix;
        if self.dag_runs.current_jobs.get(&job).is_none_or(is_of_run) && !self.is_plain_job(job) {
            self.dag_runs.current_jobs.remove(&job);
            self.dag_runs.replaced_jobs.remove(&job);
            self.dag_runs.terminals.remove(&job);
            self.drop_job(job);
        }
    }

    /// Removes the terminal records of nodes whose runs no longer exist. It must not be called before all records have
    /// been read.
    pub fn remove_orphaned_terminal_records(&mut self) {
        let index = &self.dag_runs.index;
        let has_run = |terminal: &NodeTerminalRecord| {
            DagRunName::parse(&terminal.run).is_some_and(|run| index.contains_key(&run))
        };
        self.dag_runs.terminals.retain(|_, terminal| has_run(terminal));
    }
}
