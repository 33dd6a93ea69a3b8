//! The assignment log in the key-value store: which tasks may be on which machines, which machines are being returned
//! to the cloud, and which tasks have finished.
//!
//! Writes per second are the scarcest resource of the store, so one segment holds all entries since the previous
//! segment, for any number of machines. A segment is deleted once newer records supersede all its entries; compaction
//! rewrites sparse segments so that the log stays short. `AssignmentLog` owns the live segments and the entries that
//! are not durable yet; both are bounded by the number of running tasks. It does no I/O: the store writer writes the
//! segments.

mod append;
mod segment;

use std::collections::{BTreeMap, BTreeSet};

use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{FencingToken, JobId, MachineIx, Millis, TaskId};
use segment::LogSegment;
pub use segment::SegmentId;
pub(in crate::coordination::leader) use segment::TaskPlacement;
pub(super) use segment::{FinishedBlock, SegmentContents};

/// Compaction starts above this number of segments and rewrites only sparse ones. A fixed limit on the number alone was
/// wrong: when more tasks ran than that many segments can hold, all live entries were rewritten again and again, and
/// task starts waited 17 s.
const COMPACTION_THRESHOLD: usize = 64;
/// A segment is sparse when at most one in this many of its initial entries is live.
const SPARSE_DIVISOR: usize = 4;
/// Above this number of segments in which only finished tasks are live, the blocks of the oldest such segment get
/// records of their own.
const MAX_FINISHED_ONLY_SEGMENTS: usize = 32;
/// How long finished tasks wait to share a segment that is written for other entries, in milliseconds.
const FINISHED_DELAY_MS: u64 = 1_000;
/// Share of the leader's writes that may be new segments. The rest is for deleting segments, which costs a write each,
/// and for other records.
const LOG_WRITE_SHARE: f64 = 0.4;
/// A segment is written without delay if at least this share of a second's writes is unused.
const SPARE_WRITES_SHARE: f64 = 0.6;
/// Lower bound of the write rate (1/s) from which the interval between segments is computed.
const MIN_WRITES_PER_SECOND: f64 = 0.1;

/// The log of one term: the segments in the store and the entries that are pending for the next ones.
#[derive(Debug, Default)]
pub(in crate::coordination::leader) struct AssignmentLog {
    segments: BTreeMap<SegmentId, LogSegment>,
    /// Segments without live entries, whose records can be deleted.
    obsolete: BTreeSet<SegmentId>,
    /// Blocks that need a record of their own before old segments can be deleted.
    blocks_to_write: BTreeSet<FinishedBlock>,
    next_segment: u64,
    next_name_suffix: u64,
    /// Starts for the next segment, ordered by machine.
    pending_starts: BTreeSet<TaskPlacement>,
    pending_returns: BTreeSet<MachineIx>,
    pending_finished: BTreeSet<TaskId>,
    pending_finished_since: Option<Millis>,
    last_write_at: Millis,
}

/// What the store's rate limit currently allows.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteBudget {
    /// Mutations that may be sent immediately.
    pub spare_writes: usize,
    /// Sustained rate of mutations per second.
    pub writes_per_second: f64,
}

impl AssignmentLog {
    /// Queues the start of a task on a machine. The run command may be sent once the entry is durable.
    pub(in crate::coordination::leader) fn queue_start(&mut self, start: TaskPlacement) {
        self.pending_starts.insert(start);
    }

    /// Queues the return of a machine to the cloud. The machine may be released once the entry is durable.
    pub(in crate::coordination::leader) fn queue_return(&mut self, machine: MachineIx) {
        self.pending_returns.insert(machine);
    }

    /// Queues a finished task. It is recorded in the next segment that is written for other entries, or after a delay.
    pub(in crate::coordination::leader) fn queue_finished(&mut self, task: TaskId, now: Millis) {
        self.pending_finished.insert(task);
        self.pending_finished_since.get_or_insert(now);
    }

    /// Removes a start, because the attempt is guaranteed not to be on the machine or a newer segment records it.
    /// `segment` is the segment that recorded it last, if any.
    pub(super) fn remove_start(&mut self, segment: Option<SegmentId>, start: TaskPlacement) {
        self.pending_starts.remove(&start);
        self.update_segment(segment, |segment| {
            segment.starts.remove(&start);
        });
    }

    /// Removes a return, because the machine no longer exists or a newer segment records it. `segment` is the segment
    /// that recorded it last, if any.
    pub(in crate::coordination::leader) fn remove_return(
        &mut self,
        machine: MachineIx,
        segment: Option<SegmentId>,
    ) {
        self.pending_returns.remove(&machine);
        self.update_segment(segment, |segment| {
            segment.returns.remove(&machine);
        });
    }

    fn update_segment(&mut self, id: Option<SegmentId>, change: impl FnOnce(&mut LogSegment)) {
        if let Some((id, segment)) = id.and_then(|id| Some((id, self.segments.get_mut(&id)?))) {
            change(segment);
            if !segment.has_live_entries() {
                self.obsolete.insert(id);
            }
        }
    }

    /// Removes the finished tasks of a job, because its terminal record covers them all.
    pub(super) fn remove_finished_job(&mut self, job: JobId) {
        self.remove_covered(|covered| covered.job == job);
        self.pending_finished.retain(|task| task.job != job);
    }

    /// Removes a block of finished tasks, because a separate record covers it.
    pub(super) fn remove_finished_block(&mut self, block: FinishedBlock) {
        self.remove_covered(|covered| *covered == block);
    }

    fn remove_covered(&mut self, is_covered: impl Fn(&FinishedBlock) -> bool) {
        for (id, segment) in &mut self.segments {
            segment.finished.retain(|block| !is_covered(block));
            if !segment.has_live_entries() {
                self.obsolete.insert(*id);
            }
        }
        self.blocks_to_write.retain(|block| !is_covered(block));
    }

    /// Returns the blocks that need a record of their own before old segments can be deleted.
    pub(super) fn blocks_to_write(&self) -> Vec<FinishedBlock> {
        self.blocks_to_write.iter().copied().collect()
    }

    /// Returns at most `limit` segments without live entries, whose records can be deleted.
    pub(super) fn obsolete_segments(&self, limit: usize) -> Vec<(SegmentId, RecordKey)> {
        let key = |id: &SegmentId| Some((*id, self.segments.get(id)?.key.clone()));
        self.obsolete.iter().filter_map(key).take(limit).collect()
    }

    /// Removes a segment whose record has been deleted.
    pub(super) fn remove_segment(&mut self, segment: SegmentId) {
        self.obsolete.remove(&segment);
        self.segments.remove(&segment);
    }

    /// Returns the number of segments whose records are in the store.
    pub(in crate::coordination::leader) fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Registers a durable segment. Call [`finish_segment`](Self::finish_segment) once all its entries are added.
    pub(super) fn add_segment(&mut self, key: RecordKey) -> SegmentId {
        let id = SegmentId(self.next_segment);
        self.next_segment += 1;
        self.segments.insert(id, LogSegment::new(key));
        id
    }

    /// Adds a start that the segment records. It supersedes the entry in the segment `previous`, if there is one.
    pub(super) fn add_start(
        &mut self,
        segment: SegmentId,
        start: TaskPlacement,
        previous: Option<SegmentId>,
    ) {
        self.remove_start(previous, start);
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.initial_entries += 1;
            segment.starts.insert(start);
        }
    }

    fn add_return(&mut self, segment: SegmentId, machine: MachineIx, previous: Option<SegmentId>) {
        self.remove_return(machine, previous);
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.initial_entries += 1;
            segment.returns.insert(machine);
        }
    }

    /// Adds a block that contains finished tasks which the segment records.
    pub(super) fn add_finished(&mut self, segment: SegmentId, block: FinishedBlock) {
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.finished.insert(block);
        }
    }

    /// Ends the registration of a segment: if it has no live entry, it is obsolete.
    pub(super) fn finish_segment(&mut self, segment: SegmentId) {
        self.update_segment(Some(segment), |_| {});
    }

    /// Keeps the log short: queues the live entries of sparse segments for a new segment, and gives the finished tasks
    /// of the oldest segment records of their own if finished tasks alone keep too many segments live.
    fn compact(&mut self) {
        let surplus = self.segments.len().saturating_sub(COMPACTION_THRESHOLD);
        let is_sparse = |segment: &&mut LogSegment| {
            !segment.rewriting
                && segment.machine_entries() > 0
                && segment.machine_entries() * SPARSE_DIVISOR <= segment.initial_entries
        };
        for segment in self.segments.values_mut().take(surplus).filter(is_sparse) {
            segment.rewriting = true;
            self.pending_starts.extend(segment.starts.iter().copied());
            self.pending_returns.extend(segment.returns.iter().copied());
        }
        let mut finished_only = self
            .segments
            .values()
            .filter(|segment| segment.machine_entries() == 0 && segment.has_live_entries());
        if self.blocks_to_write.is_empty() && finished_only.clone().count() > MAX_FINISHED_ONLY_SEGMENTS {
            let oldest = finished_only.next();
            self.blocks_to_write
                .extend(oldest.into_iter().flat_map(|segment| segment.finished.iter().copied()));
        }
    }

    /// Whether to write the next segment now. With enough spare writes it is written immediately, otherwise at
    /// intervals, so that many starts share one write.
    fn is_write_due(&self, now: Millis, budget: WriteBudget) -> bool {
        let finished_due =
            self.pending_finished_since.is_some_and(|since| now.saturating_since(since) >= FINISHED_DELAY_MS);
        if self.pending_starts.is_empty() && self.pending_returns.is_empty() && !finished_due {
            return false;
        }
        let segments_per_second = LOG_WRITE_SHARE * budget.writes_per_second.max(MIN_WRITES_PER_SECOND);
        let interval_ms = (1000.0 / segments_per_second) as u64;
        budget.spare_writes as f64 >= budget.writes_per_second * SPARE_WRITES_SHARE
            || now.saturating_since(self.last_write_at) >= interval_ms
    }

    /// Returns an unused name for the next segment. A transaction whose reply was lost may have written a segment of
    /// the next name in order. That segment is registered without entries, so that it is deleted, and its contents are
    /// written again under another name.
    fn next_free_name(&mut self, token: FencingToken, cache: &StoreCache) -> String {
        loop {
            let name = format!("{}-{}", token.0, self.next_name_suffix);
            if !cache.assignment_log.contains_key(&name) {
                return name;
            }
            let segment = self.add_segment(RecordKey::AssignmentLog(name));
            self.finish_segment(segment);
            self.next_name_suffix += 1;
        }
    }

    /// Queues the contents of a segment that was not written, or whose write has an unknown outcome, for a later
    /// segment.
    pub(super) fn requeue_unwritten(&mut self, contents: SegmentContents, now: Millis) {
        self.pending_starts.extend(contents.starts);
        self.pending_returns.extend(contents.returns);
        if !contents.finished.is_empty() {
            self.pending_finished_since.get_or_insert(now);
            self.pending_finished.extend(contents.finished);
        }
    }
}

/// Whether finished tasks of the job need a record. They need none if the job has a terminal record, which covers them,
/// or if its records no longer exist.
pub(super) fn needs_finished_record(job: JobId, cache: &StoreCache) -> bool {
    cache.terminal_state(job).is_none() && cache.find(job).is_some()
}

#[cfg(test)]
#[path = "tests/assignment_log.rs"]
mod tests;
