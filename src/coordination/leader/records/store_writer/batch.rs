//! The batch of mutations that becomes the leader's next transaction.

use serde::Serialize;

use crate::bookkeeping::records::{LEADER_KEY, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::records::assignment_log::{FinishedBlock, SegmentContents, SegmentId};
use crate::ids::{FencingToken, JobId, JobIx, Revision};
use crate::protocol::kv::{KvMutation, Precondition};

/// A batch that has reached this size is full. The last mutation may exceed it by a value of up to 16 KiB, which still
/// fits the 64 KiB limit of a transaction.
const BATCH_FULL_BYTES: usize = 40 * 1024;
/// Upper bound for the JSON of a mutation and its precondition without key and value, in bytes.
const MUTATION_OVERHEAD_BYTES: usize = 120;

/// What the leader does once a mutation is durable.
#[derive(Debug, Clone)]
pub(super) enum WriteEffect {
    SegmentPersisted(SegmentContents),
    SegmentRemoved(SegmentId),
    FinishedBlockPersisted(FinishedBlock),
    JobSucceeded(JobId, Option<JobIx>),
    JobRecordRemoved(JobId, Option<JobIx>),
    /// A DAG node ended without success: its tasks that may be on machines have to be stopped.
    NodeStopped(JobId, Option<JobIx>),
    RetriesPersisted(RetryBlock),
    NoEffect,
}

/// A block of a job's task numbers. Each record of retry states covers one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RetryBlock {
    pub job: JobId,
    pub block: u32,
}

/// The batch accepts no further mutation. The remaining writes are planned again for the next batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BatchFull;

/// The size limit of a batch and the contents of its records.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchOptions {
    pub max_mutations: usize,
    /// Whether terminal records contain details for operators.
    pub with_details: bool,
}

/// The mutations of one transaction, with their preconditions and effects.
pub(super) struct WriteBatch<'a> {
    pub(super) cache: &'a StoreCache,
    options: BatchOptions,
    pub(super) preconditions: Vec<Precondition>,
    pub(super) mutations: Vec<KvMutation>,
    pub(super) effects: Vec<WriteEffect>,
    bytes: usize,
}

impl<'a> WriteBatch<'a> {
    /// Creates an empty batch, which can commit only while the leader key of this term exists.
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

    /// Whether the batch accepts no further mutation.
    pub(super) fn is_full(&self) -> bool {
        self.mutations.len() >= self.options.max_mutations || self.bytes >= BATCH_FULL_BYTES
    }

    /// Checks that the batch accepts a further mutation.
    ///
    /// # Errors
    /// [`BatchFull`] if it does not.
    pub(super) fn ensure_not_full(&self) -> Result<(), BatchFull> {
        if self.is_full() { Err(BatchFull) } else { Ok(()) }
    }

    /// Returns the maximum number of mutations in the batch.
    pub(super) fn max_mutations(&self) -> usize {
        self.options.max_mutations
    }

    /// Whether terminal records contain details for operators.
    pub(super) fn with_details(&self) -> bool {
        self.options.with_details
    }

    /// Returns how many mutations can still be added.
    pub(super) fn remaining(&self) -> usize {
        self.options.max_mutations.saturating_sub(self.mutations.len())
    }

    /// Whether the batch already changes the key.
    pub(super) fn has_key(&self, key: &RecordKey) -> bool {
        let key = key.encode();
        self.mutations.iter().any(|mutation| mutation.key() == key)
    }

    /// Adds the write of a record. A record that cannot be serialized is left out, and the error is logged.
    pub(super) fn put(&mut self, key: &RecordKey, record: &impl Serialize, effect: WriteEffect) {
        match serde_json::to_string(record) {
            Ok(value) => self.put_json(key, value, effect),
            Err(error) => log::error!("record {} not written, serialization failed: {error}", key.encode()),
        }
    }

    /// Adds the write of a record that is already serialized.
    pub(super) fn put_json(&mut self, key: &RecordKey, value: String, effect: WriteEffect) {
        let value_bytes = value.len();
        self.push(key, value_bytes, effect, |key| KvMutation::Put { key, value, lease: None });
    }

    /// Adds the deletion of a record.
    pub(super) fn delete(&mut self, key: &RecordKey, effect: WriteEffect) {
        self.push(key, 0, effect, |key| KvMutation::Delete { key });
    }

    /// Adds a mutation with the precondition that the key has not changed since the cache last read it.
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
