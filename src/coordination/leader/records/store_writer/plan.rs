//! Plans which records go into the next transaction, and in which order.
//!
//! Retry states come first, before any record that makes a new leader forget the attempts they count. Terminal records
//! are next, because users wait for them, followed by the records of DAG runs and the writes without an effect. The
//! assignment log comes after these, and last the writes that only free space.

use std::collections::BTreeSet;

use super::batch::{BatchFull, RetryBlock, WriteBatch, WriteEffect};
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::dag_records::{NodeTerminalRecord, RETRY_BLOCK_TASKS, RetryStateRecord};
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::records::{FinishedRecord, RecordKey, TerminalRecord};
use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::records::assignment_log::{
    FinishedBlock, WriteBudget, needs_finished_record,
};
use crate::ids::{JobId, Revision};

impl Leader {
    /// Fills the batch with the writes that are due.
    ///
    /// # Errors
    /// [`BatchFull`] if not all of them fit into the batch.
    pub(super) fn plan_batch(
        &mut self,
        clock: Clock,
        budget: WriteBudget,
        batch: &mut WriteBatch<'_>,
    ) -> Result<(), BatchFull> {
        self.plan_retry_records(batch);
        self.plan_terminal_records(clock, batch)?;
        self.plan_dag_records(clock, batch);
        self.plan_other_writes(batch)?;
        self.plan_log_segment(clock, budget, batch)?;
        self.plan_log_compaction(batch)?;
        self.plan_cleanup(batch)
    }

    fn plan_retry_records(&mut self, batch: &mut WriteBatch<'_>) {
        while !batch.is_full()
            && let Some(due) = self.writer.retries_due.pop_first()
        {
            let RetryBlock { job, block } = due;
            let state = batch.cache.find(job).and_then(|ix| self.workload.jobs.get(&ix));
            let Some(node) = state.and_then(|state| state.dag_node.as_ref()) else { continue };
            let tasks = block * RETRY_BLOCK_TASKS..(block + 1) * RETRY_BLOCK_TASKS;
            let by_task = node.retries.range(tasks).map(|(task, retries)| (*task, retries.clone())).collect();
            batch.put(
                &RecordKey::RetryState(job, block),
                &RetryStateRecord { by_task },
                WriteEffect::RetriesPersisted(due),
            );
        }
    }

    fn plan_terminal_records(&mut self, clock: Clock, batch: &mut WriteBatch<'_>) -> Result<(), BatchFull> {
        self.writer.terminal_due.retain(|id, _| batch.cache.terminal_state(*id).is_none());
        for (id, node_terminal) in &self.writer.terminal_due {
            batch.ensure_not_full()?;
            self.plan_terminal_record(*id, node_terminal.as_ref(), clock, batch);
        }
        Ok(())
    }

    fn plan_terminal_record(
        &self,
        id: JobId,
        node_terminal: Option<&NodeTerminalRecord>,
        clock: Clock,
        batch: &mut WriteBatch<'_>,
    ) {
        let ix = batch.cache.find(id);
        let state = ix.and_then(|ix| self.workload.jobs.get(&ix));
        let first_run = state.and_then(|state| state.first_run.wall_ms());
        let detail = if batch.with_details() { batch.cache.terminal_detail(id, first_run) } else { None };
        let record = match node_terminal {
            Some(terminal) => TerminalRecord::for_node(terminal.clone(), clock.wall_ms, detail),
            None => TerminalRecord::new(TerminalState::Done, clock.wall_ms, detail),
        };
        let effect = if record.terminal_state() == TerminalState::Done {
            WriteEffect::JobSucceeded(id, ix)
        } else {
            WriteEffect::NodeStopped(id, ix)
        };
        batch.put(&RecordKey::Terminal(id), &record, effect);
    }

    fn plan_other_writes(&self, batch: &mut WriteBatch<'_>) -> Result<(), BatchFull> {
        for pending in &self.writer.other_writes {
            batch.ensure_not_full()?;
            match &pending.value {
                Some(value) => batch.put_json(&pending.key, value.clone(), WriteEffect::NoEffect),
                None => batch.delete(&pending.key, WriteEffect::NoEffect),
            }
        }
        Ok(())
    }

    /// Plans at most one segment per transaction. The next segment gets a new name only once this one is durable, so a
    /// second one would have the same name.
    fn plan_log_segment(
        &mut self,
        clock: Clock,
        budget: WriteBudget,
        batch: &mut WriteBatch<'_>,
    ) -> Result<(), BatchFull> {
        batch.ensure_not_full()?;
        if let Some(segment) = self.next_log_segment(clock, batch.cache, budget) {
            batch.put(&segment.key, &segment.record, WriteEffect::SegmentPersisted(segment.contents));
        }
        Ok(())
    }

    fn plan_log_compaction(&mut self, batch: &mut WriteBatch<'_>) -> Result<(), BatchFull> {
        for (segment, key) in self.assignment_log.obsolete_segments(batch.max_mutations()) {
            batch.ensure_not_full()?;
            batch.delete(&key, WriteEffect::SegmentRemoved(segment));
        }
        for block in self.assignment_log.blocks_to_write() {
            batch.ensure_not_full()?;
            self.plan_finished_block(block, batch);
        }
        Ok(())
    }

    fn plan_finished_block(&mut self, due: FinishedBlock, batch: &mut WriteBatch<'_>) {
        let FinishedBlock { job, block } = due;
        let state = batch.cache.find(job).and_then(|ix| self.workload.jobs.get(&ix));
        let Some(state) = state.filter(|state| !state.finishing) else {
            // Once the terminal record is durable, it covers all blocks.
            if !needs_finished_record(job, batch.cache) {
                self.assignment_log.remove_finished_job(job);
            }
            return;
        };
        let record = FinishedRecord { encoded_tasks: state.finished.encode_block(block) };
        batch.put(&RecordKey::Finished(job, block), &record, WriteEffect::FinishedBlockPersisted(due));
    }

    /// Plans the deletion of the records of finished jobs of which no task may be on a machine.
    fn plan_cleanup(&mut self, batch: &mut WriteBatch<'_>) -> Result<(), BatchFull> {
        for id in self.writer.cleanup_due.clone() {
            let is_placed = self.workload.placed_task_counts.contains_key(&id);
            if batch.cache.terminal_state(id).is_none() || is_placed {
                continue;
            }
            plan_finished_block_deletion(id, batch)?;
            let retry_states_left = plan_retry_state_deletion(id, batch)?;
            batch.ensure_not_full()?;
            // Retry states are deleted before the job record: the job remains due until their deletions have committed.
            if !retry_states_left {
                self.plan_job_record_deletion(id, batch);
            }
        }
        Ok(())
    }

    fn plan_job_record_deletion(&mut self, id: JobId, batch: &mut WriteBatch<'_>) {
        let ix = batch.cache.find(id);
        // There is no job record to delete for a DAG node, or if the record is already deleted.
        if batch.cache.key_revision(&RecordKey::Job(id).encode()) == Revision(0) {
            self.writer.cleanup_due.remove(&id);
            self.remove_finished_job(id, ix);
        } else {
            batch.delete(&RecordKey::Job(id), WriteEffect::JobRecordRemoved(id, ix));
        }
    }
}

fn plan_finished_block_deletion(id: JobId, batch: &mut WriteBatch<'_>) -> Result<(), BatchFull> {
    let blocks = batch.cache.find_job(id).map_or(0, |job| BitSet::block_of(job.spec.tasks - 1) + 1);
    for block in 0..blocks {
        batch.ensure_not_full()?;
        let key = RecordKey::Finished(id, block);
        if batch.cache.key_revision(&key.encode()) != Revision(0) {
            batch.delete(&key, WriteEffect::NoEffect);
        }
    }
    Ok(())
}

/// Plans the deletion of the job's retry states. Returns whether there are any.
fn plan_retry_state_deletion(id: JobId, batch: &mut WriteBatch<'_>) -> Result<bool, BatchFull> {
    let retries = batch.cache.dag_runs.retry_states_of(id);
    let blocks: BTreeSet<u32> =
        retries.into_iter().flatten().map(|(task, _)| task / RETRY_BLOCK_TASKS).collect();
    for block in &blocks {
        batch.ensure_not_full()?;
        batch.delete(&RecordKey::RetryState(id, *block), WriteEffect::NoEffect);
    }
    Ok(!blocks.is_empty())
}
