//! The leader's log at the state service: which tasks may be on which machines, which
//! machines go back, which tasks finished. Changes a second are the scarcest good there,
//! so one part of the log tells of everything since the one before, however many machines
//! that concerns. A part is removed once nothing in it counts any more.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::records::{AssignmentLogRecord, MachineDescriptor, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{DispatchState, Leader, MachineState};
use crate::ids::{Attempt, FencingToken, JobId, MachineIx, Millis, TaskId};

/// A part of the log, numbered in the order of writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(u64);

/// A task that may be on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskPlacement {
    pub machine: MachineIx,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// A part of the log that is durable, and what of it still counts.
#[derive(Debug)]
struct LogSegment {
    key: RecordKey,
    starts: HashSet<TaskPlacement>,
    returns: BTreeSet<MachineIx>,
    /// Blocks of finished tasks that no other record tells of.
    finished: BTreeSet<(JobId, u32)>,
    /// Starts and returns it told of at first.
    initial_entries: usize,
    /// What counts is being written again, to a newer part.
    rewriting: bool,
}

impl LogSegment {
    fn new(key: RecordKey) -> LogSegment {
        LogSegment {
            key,
            starts: HashSet::new(),
            returns: BTreeSet::new(),
            finished: BTreeSet::new(),
            initial_entries: 0,
            rewriting: false,
        }
    }

    fn machine_entries(&self) -> usize {
        self.starts.len() + self.returns.len()
    }

    fn has_live_entries(&self) -> bool {
        self.machine_entries() > 0 || !self.finished.is_empty()
    }
}

/// What a part that is being written tells.
#[derive(Debug, Clone, Default)]
pub struct SegmentContents {
    name: String,
    starts: Vec<TaskPlacement>,
    returns: Vec<MachineIx>,
    finished: Vec<TaskId>,
}

#[derive(Debug, Default)]
pub struct AssignmentLog {
    segments: BTreeMap<SegmentId, LogSegment>,
    /// Parts in which nothing counts.
    obsolete: BTreeSet<SegmentId>,
    /// Blocks that have to be told by a record of their own, so that old parts can go.
    blocks_to_write: BTreeSet<(JobId, u32)>,
    next_segment: u64,
    next_name_suffix: u64,
    /// To be told with the next part, by machine.
    pending_starts: BTreeSet<TaskPlacement>,
    pending_returns: BTreeSet<MachineIx>,
    pending_finished: BTreeSet<TaskId>,
    pending_finished_since: Option<Millis>,
    last_write_at: Millis,
}

/// With more parts than that, those of which little counts are emptied: it is written again.
/// A fixed number alone would be wrong: with more running than so many parts can tell, all
/// that counts was written again and again, and starts waited 17 s for it.
const COMPACTION_THRESHOLD: usize = 64;
/// Little is this part of what a part told at first.
const SPARSE_DIVISOR: usize = 4;
/// With so many parts in which only finished tasks count, their blocks get records of their own.
const MAX_FINISHED_ONLY_SEGMENTS: usize = 32;
/// A part that has less room than this takes no further machine, or task.
const MACHINE_ENTRY_BYTES: usize = 400;
const TASK_ENTRY_BYTES: usize = 60;
/// Finished tasks wait so long for a part that is written anyway.
const FINISHED_DELAY_MS: u64 = 1_000;
/// The part of the leader's changes that may be new parts of the log: removing a part
/// costs a change as well, and other records need some.
const LOG_WRITE_SHARE: f64 = 0.4;

impl AssignmentLog {
    pub fn queue_start(&mut self, start: TaskPlacement) {
        self.pending_starts.insert(start);
    }

    pub fn queue_return(&mut self, machine: MachineIx) {
        self.pending_returns.insert(machine);
    }

    pub fn queue_finished(&mut self, task: TaskId, now: Millis) {
        self.pending_finished.insert(task);
        self.pending_finished_since.get_or_insert(now);
    }

    /// Certainly not there any more.
    pub fn remove_start(&mut self, segment: Option<SegmentId>, start: TaskPlacement) {
        self.pending_starts.remove(&start);
        self.update_segment(segment, |part| {
            part.starts.remove(&start);
        });
    }

    /// The machine is gone: that it goes back is of no interest any more.
    pub fn remove_return(&mut self, machine: MachineIx, segment: Option<SegmentId>) {
        self.pending_returns.remove(&machine);
        self.update_segment(segment, |part| {
            part.returns.remove(&machine);
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

    /// The job's end, or the whole of a block, is told by a record of its own.
    pub fn remove_finished(&mut self, job: JobId, block: Option<u32>) {
        let is_covered = |of: JobId, at: u32| of == job && block.is_none_or(|block| block == at);
        for (id, segment) in &mut self.segments {
            segment.finished.retain(|(of, at)| !is_covered(*of, *at));
            if !segment.has_live_entries() {
                self.obsolete.insert(*id);
            }
        }
        self.blocks_to_write.retain(|(of, at)| !is_covered(*of, *at));
        if block.is_none() {
            self.pending_finished.retain(|task| task.job != job);
        }
    }

    pub fn blocks_to_write(&self) -> Vec<(JobId, u32)> {
        self.blocks_to_write.iter().copied().collect()
    }

    /// Parts in which nothing counts.
    pub fn obsolete_segments(&self, limit: usize) -> Vec<(SegmentId, RecordKey)> {
        let key = |id: &SegmentId| Some((*id, self.segments.get(id)?.key.clone()));
        self.obsolete.iter().filter_map(key).take(limit).collect()
    }

    pub fn remove_segment(&mut self, segment: SegmentId) {
        self.obsolete.remove(&segment);
        self.segments.remove(&segment);
    }

    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Once all it tells is taken in, it is `checked`.
    pub fn add_segment(&mut self, key: RecordKey) -> SegmentId {
        let id = SegmentId(self.next_segment);
        self.next_segment += 1;
        self.segments.insert(id, LogSegment::new(key));
        id
    }

    /// The part tells of it; what an earlier one told of it counts no more.
    pub fn add_start(&mut self, segment: SegmentId, start: TaskPlacement, previous: Option<SegmentId>) {
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

    pub fn add_finished(&mut self, segment: SegmentId, job: JobId, block: u32) {
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.finished.insert((job, block));
        }
    }

    /// Nothing is added to the part any more.
    pub fn finish_segment(&mut self, segment: SegmentId) {
        self.update_segment(Some(segment), |_| {});
    }

    /// Keeps the log short: parts of which little counts are told again, finished tasks
    /// that keep many parts get records of their own.
    fn compact(&mut self) {
        let surplus = self.segments.len().saturating_sub(COMPACTION_THRESHOLD);
        let is_sparse = |part: &&mut LogSegment| {
            !part.rewriting
                && part.machine_entries() > 0
                && part.machine_entries() * SPARSE_DIVISOR <= part.initial_entries
        };
        for segment in self.segments.values_mut().take(surplus).filter(is_sparse) {
            segment.rewriting = true;
            self.pending_starts.extend(segment.starts.iter().copied());
            self.pending_returns.extend(segment.returns.iter().copied());
        }
        let mut finished_only =
            self.segments.values().filter(|part| part.machine_entries() == 0 && part.has_live_entries());
        if self.blocks_to_write.is_empty() && finished_only.clone().count() > MAX_FINISHED_ONLY_SEGMENTS {
            self.blocks_to_write
                .extend(finished_only.next().into_iter().flat_map(|part| part.finished.iter().copied()));
        }
    }

    /// Is it time for another part? With changes to spare at once, else in measured steps,
    /// so that many starts share one change.
    fn is_write_due(&self, now: Millis, spare_writes: usize, writes_per_second: f64) -> bool {
        let finished_due =
            self.pending_finished_since.is_some_and(|since| now.saturating_since(since) >= FINISHED_DELAY_MS);
        if self.pending_starts.is_empty() && self.pending_returns.is_empty() && !finished_due {
            return false;
        }
        let gap_ms = (1000.0 / (LOG_WRITE_SHARE * writes_per_second.max(0.1))) as u64;
        spare_writes as f64 >= writes_per_second * 0.6 || now.saturating_since(self.last_write_at) >= gap_ms
    }

    /// The name of the next part. One of that name may be there already, written by a
    /// transaction whose answer was lost: all it tells is written again, under another name.
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

    /// What was to be told is told after all with a later part.
    pub fn requeue_unwritten(&mut self, contents: SegmentContents, now: Millis) {
        self.pending_starts.extend(contents.starts);
        self.pending_returns.extend(contents.returns);
        if !contents.finished.is_empty() {
            self.pending_finished_since.get_or_insert(now);
            self.pending_finished.extend(contents.finished);
        }
    }
}

impl Leader {
    /// The next part of the log, if one is due: its name, its content, what it tells.
    pub fn next_log_segment(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        spare_writes: usize,
        writes_per_second: f64,
    ) -> Option<(RecordKey, AssignmentLogRecord, SegmentContents)> {
        if !self.assignment_log.is_write_due(clock.now, spare_writes, writes_per_second) {
            return None;
        }
        let max_bytes = (self.settings.kv_limits.max_value_kb * 1024.0) as usize;
        let name = self.assignment_log.next_free_name(self.term.token(), cache);
        let mut record = AssignmentLogRecord::new(self.term.attempt_base());
        let mut contents = SegmentContents { name: name.clone(), ..SegmentContents::default() };
        self.append_machines(cache, &mut record, &mut contents, max_bytes);
        self.append_finished(&mut record, &mut contents, max_bytes);
        if record.is_empty() {
            return None;
        }
        self.assignment_log.last_write_at = clock.now;
        Some((RecordKey::AssignmentLog(name), record, contents))
    }

    fn append_machines(
        &mut self,
        cache: &StoreCache,
        record: &mut AssignmentLogRecord,
        contents: &mut SegmentContents,
        max_bytes: usize,
    ) {
        while let Some(start) = self.assignment_log.pending_starts.first().copied() {
            if record.max_json_bytes() + MACHINE_ENTRY_BYTES > max_bytes {
                return;
            }
            self.append_machine(start.machine, cache, record, contents, max_bytes);
        }
        while let Some(ix) = self.assignment_log.pending_returns.first().copied() {
            if record.max_json_bytes() + MACHINE_ENTRY_BYTES > max_bytes {
                return;
            }
            self.append_machine(ix, cache, record, contents, max_bytes);
        }
    }

    fn append_machine(
        &mut self,
        ix: MachineIx,
        cache: &StoreCache,
        record: &mut AssignmentLogRecord,
        contents: &mut SegmentContents,
        max_bytes: usize,
    ) {
        let machine = &self.cluster.machines[ix.index()];
        record.add_machine(&MachineDescriptor {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type: cache.names.machine_types.name_or_unknown(machine.machine_type.index()).into(),
            zone: cache.names.zones.name_or_unknown(machine.zone.index()).into(),
            spot: machine.spot,
        });
        if self.assignment_log.pending_returns.remove(&ix) && machine.state != MachineState::Gone {
            record.mark_returning();
            contents.returns.push(ix);
        }
        while let Some(start) =
            self.assignment_log.pending_starts.first().copied().filter(|start| start.machine == ix)
        {
            if record.max_json_bytes() + TASK_ENTRY_BYTES > max_bytes {
                return;
            }
            self.assignment_log.pending_starts.remove(&start);
            record.add_task(start.task, start.attempt);
            contents.starts.push(start);
        }
    }

    fn append_finished(
        &mut self,
        record: &mut AssignmentLogRecord,
        contents: &mut SegmentContents,
        max_bytes: usize,
    ) {
        while let Some(task) = self.assignment_log.pending_finished.first().copied() {
            if record.max_json_bytes() + TASK_ENTRY_BYTES > max_bytes {
                return;
            }
            self.assignment_log.pending_finished.remove(&task);
            record.add_finished(task);
            contents.finished.push(task);
        }
        self.assignment_log.pending_finished_since = None;
    }

    /// It is durable that the machine goes back: it may be returned.
    pub(super) fn mark_return_persisted(&mut self, ix: MachineIx, segment: SegmentId) {
        let previous = self.cluster.machines[ix.index()].return_log_segment.replace(segment);
        self.assignment_log.add_return(segment, ix, previous);
        self.provisioner.to_release.insert(ix);
    }

    /// A part of the log is durable: what it tells may be acted on.
    pub fn apply_persisted_segment(&mut self, told: SegmentContents, cache: &StoreCache) {
        self.assignment_log.next_name_suffix += 1;
        let segment = self.assignment_log.add_segment(RecordKey::AssignmentLog(told.name));
        for start in told.starts {
            let machine = &mut self.cluster.machines[start.machine.index()];
            let same_attempt = |b: &&mut crate::coordination::leader::Binding| {
                b.task == start.task && b.attempt == start.attempt
            };
            let Some(binding) = machine.bindings.iter_mut().find(same_attempt) else { continue };
            let previous = binding.log_segment.replace(segment);
            if binding.dispatch == DispatchState::Planned {
                binding.dispatch = DispatchState::Recorded;
                self.cluster.pending_announcements.insert(start.machine);
            }
            self.assignment_log.add_start(segment, start, previous);
        }
        for ix in told.returns {
            if self.cluster.machines[ix.index()].state != MachineState::Gone {
                self.mark_return_persisted(ix, segment);
            }
        }
        for task in told.finished {
            if cache.terminal_state(task.job).is_none() && cache.find(task.job).is_some() {
                self.assignment_log.add_finished(segment, task.job, BitSet::block_of(task.task));
            }
        }
        self.assignment_log.finish_segment(segment);
        self.assignment_log.compact();
    }
}
