//! Handles replies to the leader's transactions: applies the effects of a committed transaction and queues the writes
//! of any other again.

use super::batch::WriteEffect;
use super::persists;
use crate::bookkeeping::records::LEADER_KEY;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::kv_client::CompletedRequest;
use crate::coordination::kv_mutations::apply_own_mutations;
use crate::coordination::leader::Leader;
use crate::coordination::{Clock, OutboundId};
use crate::ids::{JobId, JobIx, Millis};
use crate::protocol::kv::{KvReply, KvRequest};
use crate::protocol::operators::JobEventKind;

impl Leader {
    /// Handles the reply to the transaction in flight. Returns false if it shows that this controller is no longer
    /// leader. `last_sent` is the last request that was sent to the store before the reply arrived.
    #[must_use]
    pub(in crate::coordination) fn handle_write_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        last_sent: OutboundId,
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
            KvReply::PreconditionFailed { failed_keys } => {
                // A delayed earlier transaction of ours, or another controller, changed a key: poll before writing
                // again.
                self.requeue_unwritten_effects(clock.now);
                self.writer.poll_after = Some(last_sent);
                !failed_keys.iter().any(|key| key == LEADER_KEY)
            }
            KvReply::Unknown => {
                self.requeue_unwritten_effects(clock.now);
                self.writer.poll_after = Some(last_sent);
                true
            }
            _ => {
                self.requeue_unwritten_effects(clock.now);
                true
            }
        }
    }

    /// Handles a transaction that is not known to be committed. Only writes that planning removed from their queues are
    /// queued again; all others are still due.
    pub(super) fn requeue_unwritten_effects(&mut self, now: Millis) {
        for effect in std::mem::take(&mut self.writer.effects_in_flight) {
            match effect {
                WriteEffect::SegmentPersisted(contents) => {
                    self.assignment_log.requeue_unwritten(contents, now);
                }
                WriteEffect::RetriesPersisted(block) => {
                    self.writer.retries_due.insert(block);
                }
                WriteEffect::SegmentRemoved(_)
                | WriteEffect::FinishedBlockPersisted(_)
                | WriteEffect::JobSucceeded(..)
                | WriteEffect::JobRecordRemoved(..)
                | WriteEffect::NodeStopped(..)
                | WriteEffect::NoEffect => {}
            }
        }
    }

    fn remove_persisted_writes(&mut self, request: &KvRequest) {
        let KvRequest::Transaction { mutations, .. } = request else { return };
        for mutation in mutations {
            self.writer.other_writes.retain(|pending| !persists(mutation, pending));
        }
    }

    fn apply_effect(&mut self, effect: WriteEffect, cache: &StoreCache, clock: Clock) {
        match effect {
            WriteEffect::SegmentPersisted(contents) => self.apply_persisted_segment(contents, cache),
            WriteEffect::SegmentRemoved(segment) => self.assignment_log.remove_segment(segment),
            WriteEffect::FinishedBlockPersisted(block) => self.assignment_log.remove_finished_block(block),
            WriteEffect::JobSucceeded(id, ix) => self.complete_job(id, ix, cache),
            WriteEffect::JobRecordRemoved(id, ix) => {
                self.writer.cleanup_due.remove(&id);
                self.remove_finished_job(id, ix);
            }
            WriteEffect::NodeStopped(id, ix) => self.stop_ended_node(id, ix, clock),
            WriteEffect::RetriesPersisted(_) | WriteEffect::NoEffect => {}
        }
    }

    fn complete_job(&mut self, id: JobId, ix: Option<JobIx>, cache: &StoreCache) {
        self.writer.terminal_due.remove(&id);
        self.assignment_log.remove_finished_job(id);
        self.writer.queue_cleanup(id);
        self.event_log.record(id, JobEventKind::JobDone, None, 0, 0);
        log::info!(event = "done", job:% = id; "job {id} succeeded");
        self.remove_finished_job(id, ix.filter(|_| cache.find(id).is_none()));
    }

    fn stop_ended_node(&mut self, id: JobId, ix: Option<JobIx>, clock: Clock) {
        self.writer.terminal_due.remove(&id);
        // A node without an index was never ready to run, and without placed tasks none of its tasks can be on a
        // machine.
        if ix.is_some() || self.workload.placed_task_counts.contains_key(&id) {
            self.assignment_log.remove_finished_job(id);
            self.cancel_job(id, ix, clock.wall_ms, clock);
        }
    }
}
