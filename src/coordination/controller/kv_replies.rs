//! Handles replies of the key-value store and their consequences: the cache advances, jobs become known or
//! terminal, read barriers complete, and leadership begins or ends.

use super::Controller;
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::store_cache::{ChangeEvent, StoreCache};
use crate::coordination::kv_client::{CompletedRequest, Purpose};
use crate::coordination::read_watermarks::MAX_READ_AGE_MS;
use crate::coordination::user_requests::TxnResult;
use crate::coordination::{Action, Clock, OutboundId};
use crate::protocol::HttpOutcome;
use crate::protocol::kv::KvReply;

impl Controller {
    pub(super) fn handle_kv_response(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(completed) = self.kv_client.complete_request(clock, outbound, outcome) else {
            return;
        };
        self.apply_kv_reply(clock, completed, out);
        self.record_new_terminals(clock);
        self.enqueue_ready_nodes();
    }

    fn apply_kv_reply(&mut self, clock: Clock, completed: CompletedRequest, out: &mut Vec<Action>) {
        match completed.purpose {
            Purpose::Page => self.handle_page_reply(clock, completed.reply),
            Purpose::Poll => self.handle_poll_reply(clock, completed, out),
            Purpose::UserTxn => self.handle_user_txn_reply(clock, &completed, out),
            Purpose::GraphTxn => {
                let (last_sent, cache) = (self.kv_client.last_sent(), &mut self.state.cache);
                self.graph_requests.handle_txn_reply(&completed, last_sent, cache, out);
                self.notify_leader(self.state.cache.revision, out);
            }
            Purpose::ConfigTxn => self.handle_config_txn_reply(clock, &completed, out),
            Purpose::LeaderTxn => self.handle_leader_txn_reply(clock, completed),
            Purpose::Leadership => self.handle_leadership_reply(clock, completed, out),
        }
    }

    fn handle_page_reply(&mut self, clock: Clock, reply: KvReply) {
        let is_complete = self.kv_client.apply_page(reply, &mut self.state.cache);
        self.record_page_read(clock);
        if is_complete {
            self.config_requests.record_full_read(clock.now);
            self.state.cache.remove_orphaned_terminal_records();
            let revision = self.state.cache.revision.0;
            log::info!(event = "records_read", revision; "records read up to revision {revision}");
        }
    }

    fn handle_user_txn_reply(&mut self, clock: Clock, completed: &CompletedRequest, out: &mut Vec<Action>) {
        let (last_sent, cache) = (self.kv_client.last_sent(), &mut self.state.cache);
        let result = self.user_requests.handle_txn_reply(clock, completed, last_sent, cache, out);
        if result == TxnResult::Committed {
            self.notify_leader(self.state.cache.revision, out);
        }
        self.reconcile_leader_jobs(clock);
    }

    fn handle_leader_txn_reply(&mut self, clock: Clock, completed: CompletedRequest) {
        let Some(leader) = &mut self.state.leader else { return };
        let last_sent = self.kv_client.last_sent();
        if !leader.handle_write_reply(clock, completed, last_sent, &mut self.state.cache) {
            log::info!("leader key lost to another controller");
            self.step_down();
        }
    }

    fn handle_poll_reply(&mut self, clock: Clock, completed: CompletedRequest, out: &mut Vec<Action>) {
        let CompletedRequest { outbound: poll, sent_at, .. } = completed;
        let has_entries = matches!(completed.reply, KvReply::ChangedEntries { .. });
        let cache = &mut self.state.cache;
        let Some(changes) = self.kv_client.apply_poll(poll, sent_at, completed.reply, cache) else {
            log::info!("change history compacted: reloading the records");
            self.state.cache = StoreCache::default();
            self.step_down();
            return;
        };
        self.record_new_terminals(clock);
        self.apply_changes(clock, &changes);
        if !has_entries {
            return;
        }
        // If the read was slow, another controller may already have reported a state that is newer than this
        // read, so users wait for the next read.
        if clock.now.saturating_since(sent_at) < MAX_READ_AGE_MS {
            self.user_requests.complete_read_barrier(clock, poll, &self.state, out);
        }
        self.respond_to_operator_queries(clock, poll, out);
        self.begin_leadership(clock);
    }

    fn apply_changes(&mut self, clock: Clock, changes: &[ChangeEvent]) {
        let mut new_jobs = Vec::new();
        for change in changes {
            let cache = &mut self.state.cache;
            match (change, &mut self.state.leader) {
                (ChangeEvent::Job(ix), Some(leader)) => {
                    leader.track_job(*ix, cache);
                    new_jobs.push(*ix);
                }
                (ChangeEvent::Terminal(id, TerminalState::Cancelled), Some(leader)) => {
                    let ix = cache.find(*id);
                    let terminal = ix.and_then(|ix| cache.job(ix)?.terminal);
                    let cancelled_wall_ms = terminal.map_or(clock.wall_ms, |(_, wall_ms)| wall_ms);
                    leader.cancel_job(*id, ix, cancelled_wall_ms, clock);
                }
                (ChangeEvent::MachineTypes, Some(leader)) => leader.load_machine_types(cache),
                (ChangeEvent::Config(revision), _) => self.apply_config_change(clock, *revision),
                _ => {}
            }
        }
        if let Some(leader) = self.state.leader.as_mut().filter(|_| !new_jobs.is_empty()) {
            leader.enqueue_jobs(new_jobs);
        }
        self.step_down_if_superseded();
    }

    /// Updates the leader's jobs with those that this controller itself accepted or cancelled. They reach the
    /// cache without a poll, so no change event reports them.
    fn reconcile_leader_jobs(&mut self, clock: Clock) {
        let cache = &self.state.cache;
        let Some(leader) = &mut self.state.leader else {
            return;
        };
        let mut new_jobs = Vec::new();
        for (ix, job) in cache.live_jobs() {
            match job.terminal {
                Some((TerminalState::Cancelled, wall_ms)) if leader.workload.jobs.contains_key(&ix) => {
                    leader.cancel_job(job.spec.id, Some(ix), wall_ms, clock);
                }
                None if !leader.workload.jobs.contains_key(&ix) => {
                    leader.track_job(ix, cache);
                    new_jobs.push(ix);
                }
                _ => {}
            }
        }
        if !new_jobs.is_empty() {
            leader.enqueue_jobs(new_jobs);
        }
    }
}
