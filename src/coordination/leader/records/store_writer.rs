//! The leader's durable records: what has to be written, in which order, and
//! what may happen once it is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::dag_records::{NodeTerminalRecord, RETRY_BLOCK_TASKS};
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::records::{FinishedRecord, LEADER_KEY, RecordKey, TerminalRecord};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Action;
use crate::coordination::Clock;
use crate::coordination::kv_client::{CompletedRequest, KvClient, Purpose};
use crate::coordination::leader::Leader;
use crate::coordination::leader::records::assignment_log::{SegmentContents, SegmentId};
use crate::coordination::user_requests::apply_own_mutations;
use crate::ids::{JobId, JobIx, Millis, Revision};
use crate::protocol::cloud::MachineTypeRecord;
use crate::protocol::kv::{KvMutation, KvReply, Precondition};
use crate::protocol::operators::JobEventKind;

/// What follows once a change is durable.
#[derive(Debug, Clone)]
pub(super) enum WriteEffect {
    SegmentPersisted(SegmentContents),
    SegmentRemoved(SegmentId),
    FinishedBlockPersisted {
        job: JobId,
        block: u32,
    },
    JobSucceeded(JobId, Option<JobIx>),
    JobRecordRemoved(JobId, Option<JobIx>),
    /// A node's end without success: what of it is on machines stops.
    NodeStopped(JobId, Option<JobIx>),
    RetriesPersisted(JobId, u32),
    NoEffect,
}

#[derive(Debug, Default)]
pub struct StoreWriter {
    /// Jobs that are done, and nodes of graphs with what their end tells.
    terminal_due: BTreeMap<JobId, Option<NodeTerminalRecord>>,
    /// Blocks of tasks with failures that are not durable.
    pub retries_due: BTreeSet<(JobId, u32)>,
    cleanup_due: BTreeSet<JobId>,
    /// Bookings, machine types: whole changes that only have to be made.
    other_writes: VecDeque<(RecordKey, Option<String>)>,
    effects_in_flight: Vec<WriteEffect>,
    txn_in_flight: bool,
    /// After a transaction without an answer: nothing is written before a poll sent
    /// later than this has told what became of it.
    poll_before_write: Option<Millis>,
}

/// A batch that is this large takes no more: with one more value of up to 16 KiB it still
/// fits the 64 KiB of a transaction.
const BATCH_FULL_BYTES: usize = 40 * 1024;

impl StoreWriter {
    pub fn queue_job_success(&mut self, id: JobId) {
        self.terminal_due.insert(id, None);
    }

    pub fn queue_node_terminal(&mut self, id: JobId, terminal: NodeTerminalRecord) {
        self.terminal_due.insert(id, Some(terminal));
    }

    pub fn queue_cleanup(&mut self, id: JobId) {
        self.cleanup_due.insert(id);
    }

    /// The last word on a key is the only one: written and removed by one transaction, the
    /// key's two changes would have one revision, and followers would take the first for true.
    pub fn queue_write(&mut self, key: RecordKey, value: Option<String>) {
        self.other_writes.retain(|(known, _)| *known != key);
        self.other_writes.push_back((key, value));
    }

    pub fn queue_machine_type(&mut self, entry: &MachineTypeRecord) {
        let value = serde_json::to_string(entry).unwrap_or_default();
        self.queue_write(RecordKey::MachineType(entry.name.clone()), Some(value));
    }

    /// Bookings whose record is on its way.
    pub fn has_pending_write(&self, key: &RecordKey) -> bool {
        self.other_writes.iter().any(|(other, _)| other == key)
    }
}

pub(super) struct WriteBatch<'a> {
    pub cache: &'a StoreCache,
    /// Ends tell more for operators.
    pub with_details: bool,
    preconditions: Vec<Precondition>,
    mutations: Vec<KvMutation>,
    effects: Vec<WriteEffect>,
    bytes: usize,
    max_mutations: usize,
}

impl WriteBatch<'_> {
    pub fn is_full(&self) -> bool {
        self.mutations.len() >= self.max_mutations || self.bytes >= BATCH_FULL_BYTES
    }

    /// How many changes it still takes.
    pub fn remaining(&self) -> usize {
        self.max_mutations.saturating_sub(self.mutations.len())
    }

    pub fn has_key(&self, key: &RecordKey) -> bool {
        let key = key.encode();
        self.mutations.iter().any(|change| change.key() == key)
    }

    pub fn add(&mut self, key: &RecordKey, value: Option<String>, effect: WriteEffect) {
        let key = key.encode();
        self.bytes += key.len() * 2 + value.as_ref().map_or(0, String::len) + 120;
        self.preconditions.push(Precondition { revision: self.cache.key_revision(&key), key: key.clone() });
        self.mutations.push(match value {
            Some(value) => KvMutation::Put { key, value, lease: None },
            None => KvMutation::Delete { key },
        });
        self.effects.push(effect);
    }
}

/// The blocks that a job's failures are told in.
fn retry_blocks(retries: &BTreeMap<u32, olivelatch_dag::RetryState>) -> BTreeSet<u32> {
    retries.keys().map(|task| task / RETRY_BLOCK_TASKS).collect()
}

pub(super) fn to_json(value: &impl serde::Serialize) -> Option<String> {
    serde_json::to_string(value).ok()
}

impl Leader {
    /// One transaction at a time: guarded by the leader's key and by each key's own version.
    pub fn write_records(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if self.writer.txn_in_flight {
            return;
        }
        if let Some(since) = self.writer.poll_before_write {
            if kv.fresh_as_of.is_none_or(|fresh| fresh <= since) {
                return;
            }
            self.writer.poll_before_write = None;
        }
        let spare_writes = kv.write_bucket.available(clock.now);
        let max_mutations = self.settings.kv_limits.max_txn_ops.min(spare_writes);
        if max_mutations == 0 {
            return;
        }
        let leader_precondition =
            Precondition { key: LEADER_KEY.into(), revision: Revision(self.term.token().0) };
        let mut batch = WriteBatch {
            cache,
            with_details: self.tunables.operators.enabled,
            preconditions: vec![leader_precondition],
            mutations: Vec::new(),
            effects: Vec::new(),
            bytes: 0,
            max_mutations,
        };
        self.plan_batch(clock, spare_writes, kv.write_bucket.rate(), &mut batch);
        if batch.mutations.is_empty() {
            return;
        }
        let (preconditions, mutations, effects) = (batch.preconditions, batch.mutations, batch.effects);
        let count = mutations.len() as u64;
        self.writer.effects_in_flight = effects;
        if kv.txn(clock, Purpose::LeaderTxn, preconditions, mutations, out).is_some() {
            self.writer.txn_in_flight = true;
            self.counters.kv_mutations += count;
        } else {
            self.requeue_unwritten_effects(clock.now);
        }
    }

    /// The transaction was not carried out: what it told is told again.
    fn requeue_unwritten_effects(&mut self, now: Millis) {
        for effect in std::mem::take(&mut self.writer.effects_in_flight) {
            match effect {
                WriteEffect::SegmentPersisted(told) => self.assignment_log.requeue_unwritten(told, now),
                WriteEffect::RetriesPersisted(job, block) => {
                    self.writer.retries_due.insert((job, block));
                }
                _ => {}
            }
        }
    }

    fn plan_batch(
        &mut self,
        clock: Clock,
        spare_writes: usize,
        writes_per_second: f64,
        batch: &mut WriteBatch<'_>,
    ) {
        self.plan_retry_records(batch);
        self.writer.terminal_due.retain(|id, _| batch.cache.terminal_state(*id).is_none());
        for (id, node) in &self.writer.terminal_due {
            if batch.is_full() {
                return;
            }
            let first_run_of = |ix| self.workload.jobs.get(&ix).and_then(|work| work.first_run.wall_ms());
            let ix = batch.cache.find(*id);
            let first_run = ix.and_then(first_run_of);
            let detail = if batch.with_details { batch.cache.terminal_detail(*id, first_run) } else { None };
            let record = match node {
                Some(node) => TerminalRecord::for_node(node.clone(), clock.wall_ms, detail),
                None => TerminalRecord::new(TerminalState::Done, clock.wall_ms, detail),
            };
            let succeeded = record.terminal_state() == TerminalState::Done;
            let effect = if succeeded {
                WriteEffect::JobSucceeded(*id, ix)
            } else {
                WriteEffect::NodeStopped(*id, ix)
            };
            batch.add(&RecordKey::Terminal(*id), to_json(&record), effect);
        }
        self.plan_dag_records(clock, batch);
        for (key, value) in &self.writer.other_writes {
            if batch.is_full() {
                return;
            }
            batch.add(key, value.clone(), WriteEffect::NoEffect);
        }
        self.plan_log_segment(clock, spare_writes, writes_per_second, batch);
        for (segment, key) in self.assignment_log.obsolete_segments(batch.max_mutations) {
            if batch.is_full() {
                return;
            }
            batch.add(&key, None, WriteEffect::SegmentRemoved(segment));
        }
        for (job, block) in self.assignment_log.blocks_to_write() {
            if batch.is_full() {
                return;
            }
            self.plan_finished_block(job, block, batch);
        }
        self.plan_cleanup(batch);
    }

    /// One part a transaction, so that its name is certainly free.
    fn plan_log_segment(
        &mut self,
        clock: Clock,
        spare_writes: usize,
        writes_per_second: f64,
        batch: &mut WriteBatch<'_>,
    ) {
        if batch.is_full() {
            return;
        }
        if let Some((key, record, contents)) =
            self.next_log_segment(clock, batch.cache, spare_writes, writes_per_second)
        {
            batch.add(&key, to_json(&record), WriteEffect::SegmentPersisted(contents));
        }
    }

    fn plan_finished_block(&mut self, id: JobId, block: u32, batch: &mut WriteBatch<'_>) {
        let work = batch.cache.find(id).and_then(|ix| self.workload.jobs.get(&ix));
        let Some(work) = work.filter(|work| !work.finishing) else {
            // The end of the job says it all, once it is durable.
            if batch.cache.terminal_state(id).is_some() || batch.cache.find(id).is_none() {
                self.assignment_log.remove_finished(id, None);
            }
            return;
        };
        let record = FinishedRecord { encoded_tasks: work.finished.encode_block(block) };
        batch.add(
            &RecordKey::Finished(id, block),
            to_json(&record),
            WriteEffect::FinishedBlockPersisted { job: id, block },
        );
    }

    /// The records of ended jobs go once no task of theirs is anywhere.
    fn plan_cleanup(&mut self, batch: &mut WriteBatch<'_>) {
        for id in self.writer.cleanup_due.clone() {
            if batch.cache.terminal_state(id).is_none() || self.workload.placed_task_counts.contains_key(&id)
            {
                continue;
            }
            let blocks = batch.cache.find_job(id).map_or(0, |job| BitSet::block_of(job.spec.tasks - 1) + 1);
            for block in 0..blocks {
                if batch.is_full() {
                    return;
                }
                let key = RecordKey::Finished(id, block);
                if batch.cache.key_revision(&key.encode()) != Revision(0) {
                    batch.add(&key, None, WriteEffect::NoEffect);
                }
            }
            let remaining_before = batch.remaining();
            for block in batch.cache.dag_runs.retry_states_of(id).into_iter().flat_map(retry_blocks) {
                if batch.is_full() {
                    return;
                }
                batch.add(&RecordKey::RetryState(id, block), None, WriteEffect::NoEffect);
            }
            if batch.is_full() {
                return;
            }
            if batch.remaining() < remaining_before {
                continue;
            }
            // A graph's node has no record of its own, nor has what is gone.
            if batch.cache.key_revision(&RecordKey::Job(id).encode()) == Revision(0) {
                self.writer.cleanup_due.remove(&id);
                self.remove_finished_job(id, batch.cache.find(id));
                continue;
            }
            batch.add(&RecordKey::Job(id), None, WriteEffect::JobRecordRemoved(id, batch.cache.find(id)));
        }
    }

    /// What came of the transaction. False: this node does not lead any more.
    pub fn handle_write_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        cache: &mut StoreCache,
    ) -> bool {
        self.writer.txn_in_flight = false;
        match completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, revision, cache);
                for effect in std::mem::take(&mut self.writer.effects_in_flight) {
                    self.apply_effect(effect, cache, clock);
                }
                self.remove_persisted_writes(&completed.request);
                true
            }
            KvReply::PreconditionFailed { failed_keys: failed } => {
                // A late transaction of ours, or another's: look before writing again.
                self.requeue_unwritten_effects(clock.now);
                self.writer.poll_before_write = Some(clock.now);
                !failed.iter().any(|key| key == LEADER_KEY)
            }
            KvReply::Unknown => {
                self.requeue_unwritten_effects(clock.now);
                self.writer.poll_before_write = Some(clock.now);
                true
            }
            _ => {
                self.requeue_unwritten_effects(clock.now);
                true
            }
        }
    }

    fn remove_persisted_writes(&mut self, request: &crate::protocol::kv::KvRequest) {
        let crate::protocol::kv::KvRequest::Transaction { mutations: changes, .. } = request else {
            return;
        };
        for change in changes {
            let value = match change {
                KvMutation::Put { value, .. } => Some(value),
                KvMutation::Delete { .. } => None,
            };
            let is_persisted = |(key, other): &(RecordKey, Option<String>)| {
                key.encode() == change.key() && other.as_ref() == value
            };
            self.writer.other_writes.retain(|other| !is_persisted(other));
        }
    }

    fn apply_effect(&mut self, effect: WriteEffect, cache: &StoreCache, clock: Clock) {
        match effect {
            WriteEffect::SegmentPersisted(contents) => self.apply_persisted_segment(contents, cache),
            WriteEffect::SegmentRemoved(segment) => self.assignment_log.remove_segment(segment),
            WriteEffect::FinishedBlockPersisted { job, block } => {
                self.assignment_log.remove_finished(job, Some(block))
            }
            WriteEffect::JobSucceeded(id, ix) => {
                self.writer.terminal_due.remove(&id);
                self.assignment_log.remove_finished(id, None);
                self.writer.queue_cleanup(id);
                self.event_log.record(id, JobEventKind::JobDone, None, 0, 0);
                log::info!(event = "done", job:% = id; "done {id}");
                self.remove_finished_job(id, ix.filter(|_| cache.find(id).is_none()));
            }
            WriteEffect::JobRecordRemoved(id, ix) => {
                self.writer.cleanup_due.remove(&id);
                self.remove_finished_job(id, ix);
            }
            WriteEffect::NodeStopped(id, ix) => {
                self.writer.terminal_due.remove(&id);
                // What never was ready is nowhere: no machine has to be looked at.
                if ix.is_some() || self.workload.placed_task_counts.contains_key(&id) {
                    self.assignment_log.remove_finished(id, None);
                    self.cancel_job(id, ix, clock.wall_ms, clock);
                }
            }
            WriteEffect::RetriesPersisted(..) => {}
            WriteEffect::NoEffect => {}
        }
    }
}
