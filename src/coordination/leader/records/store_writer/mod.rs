//! The store writer: which records have to be written, in which order, and what the leader may do once they are
//! durable.
//!
//! One transaction is in flight at a time. Each is a compare-and-swap on the leader key, so that a deposed leader
//! cannot write, and on the revision of every key it changes. An action that must wait until a record is durable
//! (sending a run command, releasing a machine, removing a job) is a [`WriteEffect`] of the mutation and is applied
//! when the transaction has committed. After a transaction with a failed precondition or an unknown outcome, nothing is
//! written until a later poll has updated the cache.
//!
//! [`StoreWriter`] owns the pending writes of the term; they are bounded by the live jobs, runs and machines. It does
//! no I/O: transactions go out as actions of the [`KvClient`].

mod batch;
mod effects;
mod plan;
mod plan_dag_runs;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::bookkeeping::dag_records::{NodeTerminalRecord, RETRY_BLOCK_TASKS};
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::kv_client::{KvClient, Purpose};
use crate::coordination::leader::Leader;
use crate::coordination::leader::records::assignment_log::WriteBudget;
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::JobId;
use crate::protocol::cloud::MachineTypeRecord;
use crate::protocol::kv::KvMutation;
use batch::{BatchOptions, RetryBlock, WriteBatch, WriteEffect};

/// The pending writes of the term and the transaction in flight.
#[derive(Debug, Default)]
pub(in crate::coordination::leader) struct StoreWriter {
    /// Jobs whose terminal record is due: the record of a DAG node, or `None` for any other job, which has succeeded.
    terminal_due: BTreeMap<JobId, Option<NodeTerminalRecord>>,
    /// Blocks of tasks whose retry states are not durable yet.
    retries_due: BTreeSet<RetryBlock>,
    /// Finished and cancelled jobs whose records have to be deleted.
    cleanup_due: BTreeSet<JobId>,
    /// Writes without an effect: provisioning requests and machine types. The provisioner sends a request once the
    /// cache shows its record.
    other_writes: VecDeque<PendingWrite>,
    effects_in_flight: Vec<WriteEffect>,
    txn_in_flight: bool,
    /// The last request that was sent to the store before the reply to the last transaction was received, if a
    /// precondition had failed or the outcome is unknown. Nothing is written until a poll that was sent after it has
    /// updated the cache.
    poll_after: Option<OutboundId>,
}

/// A key and its new value; `None` deletes the key.
#[derive(Debug, Clone, PartialEq)]
struct PendingWrite {
    key: RecordKey,
    value: Option<String>,
}

impl StoreWriter {
    /// Queues the terminal record of a job whose tasks have all finished.
    pub(in crate::coordination::leader) fn queue_job_success(&mut self, id: JobId) {
        self.terminal_due.insert(id, None);
    }

    /// Queues the terminal record of a DAG node.
    pub(in crate::coordination::leader) fn queue_node_terminal(
        &mut self,
        id: JobId,
        terminal: NodeTerminalRecord,
    ) {
        self.terminal_due.insert(id, Some(terminal));
    }

    /// Queues the changed retry state of a task of a DAG node.
    pub(in crate::coordination::leader) fn queue_retry_state(&mut self, job: JobId, task: u32) {
        self.retries_due.insert(RetryBlock { job, block: task / RETRY_BLOCK_TASKS });
    }

    /// Queues the records of a finished or cancelled job for deletion.
    pub(in crate::coordination::leader) fn queue_cleanup(&mut self, id: JobId) {
        self.cleanup_due.insert(id);
    }

    /// Queues a write, which replaces an earlier pending write of the same key. If one transaction wrote and deleted
    /// the key, both changes would have the same revision, and followers would take the first for the newest.
    pub(in crate::coordination::leader) fn queue_write(&mut self, key: RecordKey, value: Option<String>) {
        self.other_writes.retain(|pending| pending.key != key);
        self.other_writes.push_back(PendingWrite { key, value });
    }

    /// Queues the record of a machine type that is new or changed in the catalog.
    pub(in crate::coordination::leader) fn queue_machine_type(&mut self, entry: &MachineTypeRecord) {
        let key = RecordKey::MachineType(entry.name.clone());
        match serde_json::to_string(entry) {
            Ok(value) => self.queue_write(key, Some(value)),
            Err(error) => log::error!("record {} not written, serialization failed: {error}", key.encode()),
        }
    }

    /// Whether a write of the key by [`queue_write`](Self::queue_write) is not durable yet.
    pub(in crate::coordination::leader) fn has_pending_write(&self, key: &RecordKey) -> bool {
        self.other_writes.iter().any(|pending| pending.key == *key)
    }

    /// Whether the outcome of the last transaction is known, from its reply or because the cache shows it.
    fn is_outcome_known(&mut self, last_applied_poll: Option<OutboundId>) -> bool {
        if self.poll_after.is_some() && last_applied_poll <= self.poll_after {
            return false;
        }
        self.poll_after = None;
        true
    }
}

impl Leader {
    /// Sends the next transaction, unless one is in flight, the outcome of the last one is unknown, or the rate limit
    /// allows none.
    pub(in crate::coordination) fn write_records(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if self.writer.txn_in_flight || !self.writer.is_outcome_known(kv.last_applied_poll) {
            return;
        }
        let spare_writes = kv.write_bucket.available(clock.now);
        let max_mutations = self.settings.kv_limits.max_txn_ops.min(spare_writes);
        if max_mutations == 0 {
            return;
        }
        let options = BatchOptions { max_mutations, with_details: self.tunables.operators.enabled };
        let budget = WriteBudget { spare_writes, writes_per_second: kv.write_bucket.rate() };
        let mut batch = WriteBatch::new(cache, self.term.token(), options);
        // A full batch is sent like any other; the writes that did not fit are planned again for the next one.
        let _ = self.plan_batch(clock, budget, &mut batch);
        if !batch.mutations.is_empty() {
            self.send_batch(clock, batch, kv, out);
        }
    }

    fn send_batch(&mut self, clock: Clock, batch: WriteBatch<'_>, kv: &mut KvClient, out: &mut Vec<Action>) {
        let WriteBatch { preconditions, mutations, effects, .. } = batch;
        let mutation_count = mutations.len() as u64;
        self.writer.effects_in_flight = effects;
        if kv.txn(clock, Purpose::LeaderTxn, preconditions, mutations, out).is_some() {
            self.writer.txn_in_flight = true;
            self.counters.kv_mutations += mutation_count;
        } else {
            self.requeue_unwritten_effects(clock.now);
        }
    }
}

/// Whether the mutation persists the pending write.
fn persists(mutation: &KvMutation, pending: &PendingWrite) -> bool {
    let value = match mutation {
        KvMutation::Put { value, .. } => Some(value),
        KvMutation::Delete { .. } => None,
    };
    pending.key.encode() == mutation.key() && pending.value.as_ref() == value
}
