//! Writes that users' requests result in: jobs to accept and to cancel, batched into one conditional
//! transaction at a time. If a write's precondition fails, its request is decided again after a new read.

use super::{Pending, UserRequestHandler};
use crate::bookkeeping::dag_records::NodeTerminalRecord;
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::records::{
    GRAPH_ACCEPTANCE_KEY, JobRecord, RecordKey, TerminalDetail, TerminalRecord,
};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::kv_client::{CompletedRequest, KvClient, Purpose};
use crate::coordination::kv_mutations::{RATE_LIMITED, absent, apply_own_mutations, put_record, unchanged};
use crate::coordination::read_watermarks::MAX_READ_AGE_MS;
use crate::coordination::unavailable::Unavailable;
use crate::coordination::{Action, Clock, InboundId, OutboundId};
use crate::ids::{JobId, Millis, Revision};
use crate::protocol::kv::{KvMutation, KvReply, Precondition};
use crate::protocol::users::{JobManifest, JobStatus, UserRequest, status_response};

/// Maximum estimated size of a transaction's mutations, in bytes: below the store's limit of 64 KiB, to leave
/// room for the rest of the request.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// Estimated size of a put and its preconditions without their keys and values, in bytes.
const PUT_OVERHEAD_BYTES: usize = 100;
/// Estimated size of a delete and its preconditions without their keys, in bytes.
const DELETE_OVERHEAD_BYTES: usize = 60;

/// A change of one job's records.
#[derive(Debug)]
pub(super) enum JobWrite {
    Accept { manifest: Box<JobManifest> },
    Cancel { detail: Option<TerminalDetail>, node: Option<Box<NodeTerminalRecord>> },
}

/// A write and the request that waits for it.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub inbound: InboundId,
    pub job: JobId,
    pub write: JobWrite,
    pub deadline: Millis,
}

impl PendingWrite {
    fn is_submission_of_node_job(&self, cache: &StoreCache) -> bool {
        matches!(self.write, JobWrite::Accept { .. }) && cache.dag_runs.is_node_job(self.job)
    }

    /// Returns the request that resulted in the write, with its original deadline, to be decided again by a read
    /// that is sent after `last_sent`.
    fn into_request(self, last_sent: OutboundId) -> Pending {
        let id = self.job;
        let request = match self.write {
            JobWrite::Accept { manifest } => UserRequest::Submit { id, manifest: Ok(manifest) },
            JobWrite::Cancel { .. } => UserRequest::Cancel { id },
        };
        Pending { inbound: self.inbound, request, last_sent_before: last_sent, deadline: self.deadline }
    }

    fn preconditions(&self) -> Vec<Precondition> {
        let not_terminal = absent(&RecordKey::Terminal(self.job));
        match self.write {
            // The record of a finished job is deleted eventually, its terminal record never.
            JobWrite::Accept { .. } => vec![absent(&RecordKey::Job(self.job)), not_terminal],
            JobWrite::Cancel { .. } => vec![not_terminal],
        }
    }

    fn mutation(&self, wall_ms: u64) -> KvMutation {
        match &self.write {
            JobWrite::Accept { manifest } => {
                let record = JobRecord { accepted_wall_ms: wall_ms, manifest: (**manifest).clone() };
                put_record(&RecordKey::Job(self.job), &record)
            }
            JobWrite::Cancel { detail, node } => {
                let record = match node.as_deref() {
                    Some(node) => TerminalRecord::for_node(node.clone(), wall_ms, detail.clone()),
                    None => TerminalRecord::new(TerminalState::Cancelled, wall_ms, detail.clone()),
                };
                put_record(&RecordKey::Terminal(self.job), &record)
            }
        }
    }

    /// Returns whether one of the failed preconditions may belong to this write. The store does not always
    /// name the keys.
    fn is_in_conflict(&self, failed_keys: &[String]) -> bool {
        failed_keys.is_empty()
            || failed_keys.iter().any(|key| match RecordKey::parse(key) {
                _ if key == GRAPH_ACCEPTANCE_KEY => true,
                Some(RecordKey::Job(id) | RecordKey::Terminal(id)) => id == self.job,
                _ => false,
            })
    }
}

/// Returns an upper estimate of the size of a mutation and its preconditions on the wire, in bytes. Each
/// precondition repeats the key.
fn mutation_size(mutation: &KvMutation) -> usize {
    match mutation {
        KvMutation::Put { key, value, .. } => key.len() * 3 + value.len() + PUT_OVERHEAD_BYTES,
        KvMutation::Delete { key } => key.len() * 2 + DELETE_OVERHEAD_BYTES,
    }
}

/// The writes from the front of the queue that one transaction can take.
#[derive(Default)]
struct WriteBatch {
    preconditions: Vec<Precondition>,
    mutations: Vec<KvMutation>,
    bytes: usize,
}

impl WriteBatch {
    /// Adds a write; returns false if it has to go into a later transaction.
    fn try_add(&mut self, write: &PendingWrite, wall_ms: u64) -> bool {
        let mutation = write.mutation(wall_ms);
        let size = mutation_size(&mutation);
        let is_duplicate = self.mutations.iter().any(|other| other.key() == mutation.key());
        let is_full = !self.mutations.is_empty() && self.bytes + size > MAX_TXN_BYTES;
        if is_duplicate || is_full {
            return false;
        }
        self.bytes += size;
        self.preconditions.extend(write.preconditions());
        self.mutations.push(mutation);
        true
    }
}

/// The outcome of a transaction of users' writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TxnResult {
    /// The writes are durable and have been applied to the cache.
    Committed,
    /// The writes were not applied, or it is unknown whether they were.
    NotCommitted,
}

impl UserRequestHandler {
    /// Returns whether a write is queued and none is in flight, so that it is sent as soon as the rate limits
    /// allow.
    pub fn has_writes_to_send(&self) -> bool {
        !self.queued_writes.is_empty() && self.writes_in_flight.is_empty()
    }

    /// Sends queued writes, one transaction of at most `max_ops` mutations at a time.
    pub fn send_writes(
        &mut self,
        clock: Clock,
        max_ops: usize,
        cache: &StoreCache,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if !self.has_writes_to_send() {
            return;
        }
        self.revalidate_queued(kv_client.last_sent(), cache);
        let max_ops = max_ops.min(kv_client.write_bucket.available(clock.now));
        let WriteBatch { preconditions, mutations, .. } = self.plan_batch(clock, max_ops, cache);
        let count = mutations.len();
        if count > 0 && kv_client.txn(clock, Purpose::UserTxn, preconditions, mutations, out).is_some() {
            self.writes_in_flight = self.queued_writes.drain(..count).collect();
        }
    }

    fn plan_batch(&self, clock: Clock, max_ops: usize, cache: &StoreCache) -> WriteBatch {
        let mut batch = WriteBatch::default();
        let graph_acceptance = unchanged(cache, &RecordKey::GraphAcceptance);
        if self.graphs_enabled || graph_acceptance.revision != Revision(0) {
            batch.preconditions.push(graph_acceptance);
        }
        for write in self.queued_writes.iter().take(max_ops) {
            if !batch.try_add(write, clock.wall_ms) {
                break;
            }
        }
        batch
    }

    /// Moves submissions back to be decided again if a graph's node has taken their name since they were
    /// queued.
    fn revalidate_queued(&mut self, last_sent: OutboundId, cache: &StoreCache) {
        if !self.queued_writes.iter().any(|write| write.is_submission_of_node_job(cache)) {
            return;
        }
        let (stale, valid): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queued_writes)
            .into_iter()
            .partition(|write| write.is_submission_of_node_job(cache));
        self.queued_writes = valid;
        self.awaiting_barrier.extend(stale.into_iter().map(|write| write.into_request(last_sent)));
    }

    /// Handles the store's reply to the transaction in flight. `last_sent` is the last request that was sent to the
    /// store before the reply arrived.
    pub fn handle_txn_reply(
        &mut self,
        clock: Clock,
        completed: &CompletedRequest,
        last_sent: OutboundId,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) -> TxnResult {
        let writes = std::mem::take(&mut self.writes_in_flight);
        match &completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, *revision, cache);
                for write in writes {
                    self.complete_write(clock, write, completed, last_sent, out);
                }
                return TxnResult::Committed;
            }
            KvReply::PreconditionFailed { failed_keys } => {
                self.retry_conflicting(last_sent, writes, failed_keys);
            }
            KvReply::Rejected { status: RATE_LIMITED } => self.queued_writes.extend(writes),
            // The user repeats the request, and the response then shows whether the write was stored.
            _ => out.extend(
                writes.iter().map(|write| Action::respond(write.inbound, Unavailable::WriteOutcomeUnknown)),
            ),
        }
        TxnResult::NotCommitted
    }

    fn complete_write(
        &mut self,
        clock: Clock,
        write: PendingWrite,
        completed: &CompletedRequest,
        last_sent: OutboundId,
        out: &mut Vec<Action>,
    ) {
        let PendingWrite { inbound, job: id, .. } = write;
        match write.write {
            // Another controller may already have reported the job as finished, and "pending" would then be
            // an older state.
            JobWrite::Accept { .. } if clock.now.saturating_since(completed.sent_at) >= MAX_READ_AGE_MS => {
                out.push(Action::respond(inbound, Unavailable::WriteAcknowledgedLate));
            }
            JobWrite::Accept { .. } => {
                log::info!(event = "accepted", job:% = id; "accepted {id}");
                out.push(Action::respond(inbound, status_response(201, id, JobStatus::Pending, None)));
            }
            JobWrite::Cancel { .. } => {
                log::info!(event = "cancellation_accepted", job:% = id; "cancellation of {id} accepted");
                self.awaiting_stability.push(write.into_request(last_sent));
            }
        }
    }

    /// Moves writes whose keys another controller changed first back to be decided again, and requeues the
    /// others.
    fn retry_conflicting(
        &mut self,
        last_sent: OutboundId,
        writes: Vec<PendingWrite>,
        failed_keys: &[String],
    ) {
        for write in writes {
            if write.is_in_conflict(failed_keys) {
                self.awaiting_barrier.push(write.into_request(last_sent));
            } else {
                self.queued_writes.push(write);
            }
        }
    }
}
