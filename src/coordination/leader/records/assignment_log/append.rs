//! The leader's side of the assignment log: fills the next segment, and acts on a segment once it is durable.

use super::segment::{FinishedBlock, SegmentContents, SegmentId, TaskPlacement};
use super::{WriteBudget, needs_finished_record};
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::records::{AssignmentLogRecord, MachineDescriptor, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{DispatchState, Leader, MachineState};
use crate::ids::{Attempt, MachineIx};

/// Free space that a segment must have before a machine is added, in bytes.
const MACHINE_ENTRY_BYTES: usize = 400;
/// Free space that a segment must have before a task is added, in bytes.
const TASK_ENTRY_BYTES: usize = 60;
const BYTES_PER_KB: f64 = 1024.0;

/// A segment that is ready to be written.
pub(in crate::coordination::leader::records) struct NewSegment {
    pub key: RecordKey,
    pub record: AssignmentLogRecord,
    pub contents: SegmentContents,
}

/// A segment that is being filled.
struct SegmentBuilder {
    record: AssignmentLogRecord,
    contents: SegmentContents,
    /// Size limit of a value in the store.
    max_bytes: usize,
}

impl SegmentBuilder {
    fn new(name: String, attempt_base: Attempt, max_bytes: usize) -> SegmentBuilder {
        SegmentBuilder {
            record: AssignmentLogRecord::new(attempt_base),
            contents: SegmentContents { name, ..SegmentContents::default() },
            max_bytes,
        }
    }

    fn fits(&self, entry_bytes: usize) -> bool {
        self.record.max_json_bytes() + entry_bytes <= self.max_bytes
    }
}

impl Leader {
    /// Returns the next segment of the log, if one is due. Its entries are no longer pending in the log, so they have
    /// to be queued again if the write fails.
    pub(in crate::coordination::leader::records) fn next_log_segment(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        budget: WriteBudget,
    ) -> Option<NewSegment> {
        if !self.assignment_log.is_write_due(clock.now, budget) {
            return None;
        }
        let max_bytes = (self.settings.kv_limits.max_value_kb * BYTES_PER_KB) as usize;
        let name = self.assignment_log.next_free_name(self.term.token(), cache);
        let key = RecordKey::AssignmentLog(name.clone());
        let mut builder = SegmentBuilder::new(name, self.term.attempt_base(), max_bytes);
        self.append_machines(cache, &mut builder);
        self.append_finished(&mut builder);
        if builder.record.is_empty() {
            return None;
        }
        self.assignment_log.last_write_at = clock.now;
        Some(NewSegment { key, record: builder.record, contents: builder.contents })
    }

    fn append_machines(&mut self, cache: &StoreCache, builder: &mut SegmentBuilder) {
        while let Some(start) = self.assignment_log.pending_starts.first().copied() {
            if !builder.fits(MACHINE_ENTRY_BYTES) {
                return;
            }
            self.append_machine(start.machine, cache, builder);
        }
        while let Some(ix) = self.assignment_log.pending_returns.first().copied() {
            if !builder.fits(MACHINE_ENTRY_BYTES) {
                return;
            }
            self.append_machine(ix, cache, builder);
        }
    }

    fn append_machine(&mut self, ix: MachineIx, cache: &StoreCache, builder: &mut SegmentBuilder) {
        let machine = &self.cluster.machines[ix.index()];
        builder.record.add_machine(&MachineDescriptor {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type: cache.names.machine_types.name_or_unknown(machine.machine_type.index()).into(),
            zone: cache.names.zones.name_or_unknown(machine.zone.index()).into(),
            spot: machine.spot,
        });
        if self.assignment_log.pending_returns.remove(&ix) && machine.state != MachineState::Gone {
            builder.record.mark_returning();
            builder.contents.returns.push(ix);
        }
        while let Some(start) =
            self.assignment_log.pending_starts.first().copied().filter(|start| start.machine == ix)
        {
            if !builder.fits(TASK_ENTRY_BYTES) {
                return;
            }
            self.assignment_log.pending_starts.remove(&start);
            builder.record.add_task(start.task, start.attempt);
            builder.contents.starts.push(start);
        }
    }

    fn append_finished(&mut self, builder: &mut SegmentBuilder) {
        while let Some(task) = self.assignment_log.pending_finished.first().copied() {
            if !builder.fits(TASK_ENTRY_BYTES) {
                return;
            }
            self.assignment_log.pending_finished.remove(&task);
            builder.record.add_finished(task);
            builder.contents.finished.push(task);
        }
        self.assignment_log.pending_finished_since = None;
    }

    /// Handles a segment that has become durable: its run commands may now be sent, its machines released.
    pub(in crate::coordination::leader::records) fn apply_persisted_segment(
        &mut self,
        contents: SegmentContents,
        cache: &StoreCache,
    ) {
        self.assignment_log.next_name_suffix += 1;
        let segment = self.assignment_log.add_segment(RecordKey::AssignmentLog(contents.name));
        for start in contents.starts {
            self.mark_start_persisted(start, segment);
        }
        for ix in contents.returns {
            if self.cluster.machines[ix.index()].state != MachineState::Gone {
                self.mark_return_persisted(ix, segment);
            }
        }
        for task in contents.finished {
            if needs_finished_record(task.job, cache) {
                let block = FinishedBlock { job: task.job, block: BitSet::block_of(task.task) };
                self.assignment_log.add_finished(segment, block);
            }
        }
        self.assignment_log.finish_segment(segment);
        self.assignment_log.compact();
    }

    fn mark_start_persisted(&mut self, start: TaskPlacement, segment: SegmentId) {
        let Some(binding) = self.binding_mut(&start) else { return };
        let previous = binding.log_segment.replace(segment);
        if binding.dispatch == DispatchState::Planned {
            binding.dispatch = DispatchState::Recorded;
            self.cluster.pending_direct_messages.insert(start.machine);
        }
        self.assignment_log.add_start(segment, start, previous);
    }

    /// Records that the machine's return to the cloud is durable, so that the machine may be released.
    pub(in crate::coordination::leader::records) fn mark_return_persisted(
        &mut self,
        ix: MachineIx,
        segment: SegmentId,
    ) {
        let previous = self.cluster.machines[ix.index()].return_log_segment.replace(segment);
        self.assignment_log.add_return(segment, ix, previous);
        self.provisioner.to_release.insert(ix);
    }
}
