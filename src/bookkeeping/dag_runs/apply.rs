//! Applies the records of runs and of their nodes to the store cache.

use olivelatch_dag::NodeOutcome;

use crate::bookkeeping::dag_records::{DagRunRecord, NodeTerminalRecord, RetryStateRecord, RunPhaseRecord};
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{JobId, JobIx, Revision};
use crate::protocol::graphs::{DagRunName, GraphPart};

impl StoreCache {
    pub(in crate::bookkeeping) fn put_dag_run(
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

    pub(in crate::bookkeeping) fn put_part(&mut self, name: &DagRunName, part: u32, contents: GraphPart) {
        let ix = self.dag_runs.find_or_create(name);
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        run.parts.insert(part);
        run.part_contents.insert(part, contents);
        self.assemble_dag(ix);
    }

    pub(in crate::bookkeeping) fn put_run_phase(&mut self, name: &DagRunName, record: RunPhaseRecord) {
        let ix = self.dag_runs.find_or_create(name);
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let has_new_reruns = run.phase_record.reruns.len() < record.reruns.len();
        run.deleting |= record.deleting;
        run.phase_record = record;
        if run.dag.is_none() || has_new_reruns {
            self.assemble_dag(ix);
        } else {
            self.activate_ready_nodes(ix);
        }
    }

    pub(in crate::bookkeeping) fn put_retry_states(&mut self, job: JobId, record: RetryStateRecord) {
        self.dag_runs.retry_states.entry(job).or_default().extend(record.by_task);
    }

    /// Applies the terminal record of a job; `terminal` is the part about the graph node, which jobs submitted directly
    /// by users (plain jobs) don't have.
    pub(in crate::bookkeeping) fn apply_node_terminal(
        &mut self,
        job: JobId,
        state: TerminalState,
        terminal: Option<NodeTerminalRecord>,
    ) {
        // The node's part is missing if a controller cancelled the job before it had read the graph's records.
        let cancelled_as_plain_job =
            || self.dag_runs.cancelled_terminal(job).filter(|_| state == TerminalState::Cancelled);
        let Some(terminal) = terminal.or_else(cancelled_as_plain_job) else { return };
        let (outcome, list_len) = (terminal.outcome, terminal.valid_list_len());
        self.dag_runs.terminals.insert(job, Box::new(terminal));
        self.remove_replaced_job(job);
        self.record_node_outcome(job, outcome, list_len);
    }

    /// Removes a job that a rerun replaced from the jobs that still need a terminal record, as it has one now.
    fn remove_replaced_job(&mut self, job: JobId) {
        let Some((ix, _)) = self.dag_runs.replaced_jobs.get(&job).copied() else { return };
        if let Some(run) = self.dag_runs.run_mut(ix) {
            run.replaced_jobs.remove(&job);
        }
        self.dag_runs.update_queues(ix);
    }

    /// Records the outcome of the node whose current job this is, and creates jobs for the nodes that become ready.
    fn record_node_outcome(&mut self, job: JobId, outcome: NodeOutcome, list_len: Option<u32>) {
        let Some((ix, node)) = self.dag_runs.current_jobs.get(&job).copied() else { return };
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let is_cancelled = run.phase_record.cancelled;
        let Some(dag) = &mut run.dag else { return };
        let changes = dag.progress.record_outcome(node, outcome, list_len);
        if !is_cancelled {
            changes.ready.into_iter().for_each(|next| self.create_node_job(ix, next));
        }
        self.dag_runs.update_queues(ix);
    }

    /// Returns the jobs of nodes that became ready since the last call.
    pub fn take_newly_ready(&mut self) -> Vec<JobIx> {
        std::mem::take(&mut self.dag_runs.newly_ready)
    }
}
