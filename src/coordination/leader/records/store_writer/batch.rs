//! One transaction of the leader while it is being filled.

use serde::Serialize;

use crate::bookkeeping::records::{LEADER_KEY, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::records::assignment_log::{FinishedBlock, SegmentContents, SegmentId};
use crate::ids::{FencingToken, JobId, JobIx, Revision};
use crate::protocol::kv::{KvMutation, Precondition};

/// A batch of this many bytes takes no more: one more value of up to 16 KiB still fits the 64 KiB of a transaction.
const BATCH_FULL_BYTES: usize = 40 * 1024;
/// JSON of a mutation and its precondition besides key and value, in bytes, at most.
const MUTATION_OVERHEAD_BYTES: usize = 120;

/// What the leader does once a mutation is durable.
#[derive(Debug, Clone)]
pub(super) enum WriteEffect {
    SegmentPersisted(SegmentContents),
    SegmentRemoved(SegmentId),
    FinishedBlockPersisted(FinishedBlock),
    JobSucceeded(JobId, Option<JobIx>),
    JobRecordRemoved(JobId, Option<JobIx>),
    /// A DAG node ended without success: what of it is on machines has to stop.
    NodeStopped(JobId, Option<JobIx>),
    RetriesPersisted(RetryBlock),
    NoEffect,
}

/// A block of a job's task numbers, as records of retry states divide them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RetryBlock {
    pub job: JobId,
    pub block: u32,
}

/// The batch takes no further mutation; what is left is planned again for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BatchFull;

/// Limits of a batch, and what it may contain.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchOptions {
    pub max_mutations: usize,
    /// Terminal records contain details for operators.
    pub with_details: bool,
}

/// Mutations of one transaction, with their preconditions and effects.
pub(super) struct WriteBatch<'a> {
    pub(super) cache: &'a StoreCache,
    options: BatchOptions,
    pub(super) preconditions: Vec<Precondition>,
    pub(super) mutations: Vec<KvMutation>,
    pub(super) effects: Vec<WriteEffect>,
    bytes: usize,
}

impl<'a> WriteBatch<'a> {
    /// An empty batch that commits only while this term's leader key exists.
    pub(super) fn new(cache: &'a StoreCache, token: FencingToken, options: BatchOptions) -> WriteBatch<'a> {
        let leader_precondition = Precondition { key: LEADER_KEY.into(), revision: Revision(token.0) };
        WriteBatch {
            cache,
            options,
            preconditions: vec![leader_precondition],
            mutations: Vec::new(),
            effects: Vec::new(),
            bytes: 0,
        }
    }

    /// Whether it takes no further mutation.
    pub(super) fn is_full(&self) -> bool {
        self.mutations.len() >= self.options.max_mutations || self.bytes >= BATCH_FULL_BYTES
    }

    /// # Errors
    /// [`BatchFull`] if the batch takes no further mutation.
    pub(super) fn ensure_room(&self) -> Result<(), BatchFull> {
        if self.is_full() { Err(BatchFull) } else { Ok(()) }
    }

    /// How many mutations it takes in all.
    pub(super) fn max_mutations(&self) -> usize {
        self.options.max_mutations
    }

    /// Terminal records contain details for operators.
    pub(super) fn with_details(&self) -> bool {
        self.options.with_details
    }

    /// How many mutations it still takes.
    pub(super) fn remaining(&self) -> usize {
        self.options.max_mutations.saturating_sub(self.mutations.len())
    }

    /// Whether it changes the key already.
    pub(super) fn has_key(&self, key: &RecordKey) -> bool {
        let key = key.encode();
        self.mutations.iter().any(|mutation| mutation.key() == key)
    }

    /// Writes a record. One that cannot be serialized is logged and left out.
    pub(super) fn put(&mut self, key: &RecordKey, record: &impl Serialize, effect: WriteEffect) {
        match serde_json::to_string(record) {
            Ok(value) => self.put_json(key, value, effect),
            Err(error) => log::error!("cannot serialize {}: {error}", key.encode()),
        }
    }

    /// Writes a record that is serialized already.
    pub(super) fn put_json(&mut self, key: &RecordKey, value: String, effect: WriteEffect) {
        let value_bytes = value.len();
        self.push(key, value_bytes, effect, |key| KvMutation::Put { key, value, lease: None });
    }

    /// Deletes a record.
    pub(super) fn delete(&mut self, key: &RecordKey, effect: WriteEffect) {
        self.push(key, 0, effect, |key| KvMutation::Delete { key });
    }

    /// The transaction fails if the key has changed since the cache last saw it.
    fn push(
        &mut self,
        key: &RecordKey,
        value_bytes: usize,
        effect: WriteEffect,
        mutation: impl FnOnce(String) -> KvMutation,
    ) {
        let key = key.encode();
        self.bytes += key.len() * 2 + value_bytes + MUTATION_OVERHEAD_BYTES;
        self.preconditions.push(Precondition { revision: self.cache.key_revision(&key), key: key.clone() });
        self.mutations.push(mutation(key));
        self.effects.push(effect);
    }
}
