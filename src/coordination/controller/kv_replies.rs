//! What the state service answers, and what follows from it: the mirror, the lead, jobs that are new or over.

use super::Controller;
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::store_cache::{ChangeEvent, StoreCache};
use crate::coordination::kv_client::{CompletedRequest, Purpose};
use crate::coordination::leader::Leader;
use crate::coordination::leadership::{Leadership, LeadershipChange};
use crate::coordination::read_watermarks::MAX_READ_AGE_MS;
use crate::coordination::user_requests::UserRequestContext;
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::Revision;
use crate::protocol::HttpOutcome;
use crate::protocol::peer::PeerMessage;

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
        self.enqueue_ready_nodes(clock);
    }

    fn apply_kv_reply(&mut self, clock: Clock, completed: CompletedRequest, out: &mut Vec<Action>) {
        match completed.purpose {
            Purpose::Page => {
                let complete = self.kv_client.apply_page(completed.reply, &mut self.cache);
                self.record_page_read(clock);
                if complete {
                    self.config_requests.record_full_read(clock.now);
                    self.cache.forget_orphaned_terminals();
                    log::info!("records read up to revision {}", self.cache.revision.0);
                }
            }
            Purpose::Poll => self.handle_poll_reply(clock, completed, out),
            Purpose::UserTxn => {
                if self.user_requests.handle_txn_reply(clock, completed, &mut self.cache, out) {
                    self.notify_leader(out);
                }
                self.reconcile_leader_jobs(clock);
            }
            Purpose::GraphTxn => {
                self.graph_requests.handle_txn_reply(clock, completed, &mut self.cache, out);
                self.notify_leader(out);
            }
            Purpose::ConfigTxn => self.handle_config_txn_reply(clock, completed, out),
            Purpose::LeaderTxn => {
                let is_leader = match &mut self.leader {
                    Some(leader) => leader.handle_write_reply(clock, completed, &mut self.cache),
                    None => return,
                };
                if !is_leader {
                    log::info!("the leader's key is not ours any more");
                    self.step_down();
                }
            }
            Purpose::Leadership => {
                match self.leadership.handle_reply(clock, completed, &mut self.kv_client, out) {
                    LeadershipChange::Unchanged => {}
                    LeadershipChange::Acquired(token) => {
                        self.pending_leadership = Some((token, clock.now));
                        self.kv_client.set_is_leader(true);
                    }
                    LeadershipChange::Lost => {
                        log::info!("the leader's lease has ended");
                        self.step_down();
                    }
                }
            }
        }
    }

    /// Tells the others that there is something to see.
    pub(super) fn notify_leader(&self, out: &mut Vec<Action>) {
        if self.leader.is_some() {
            return;
        }
        if let Some(leader) = &self.cache.leader {
            let message = PeerMessage::RevisionNotice { revision: self.cache.revision.0 };
            out.push(Action::SendPeerMessage { controller: leader.controller.clone(), message });
        }
    }

    fn handle_poll_reply(&mut self, clock: Clock, completed: CompletedRequest, out: &mut Vec<Action>) {
        let sent = completed.sent_at;
        let has_changes = matches!(completed.reply, crate::protocol::kv::KvReply::ChangedEntries { .. });
        let Some(change_events) = self.kv_client.apply_poll(sent, completed.reply, &mut self.cache) else {
            log::info!("changes were missed: reading the records again");
            self.cache = StoreCache::default();
            self.step_down();
            return;
        };
        self.record_new_terminals(clock);
        self.apply_change_events(clock, &change_events);
        if !has_changes {
            return;
        }
        // By then another node may have told of what this read does not show: users wait for the next one.
        if clock.now.saturating_since(sent) < MAX_READ_AGE_MS {
            let mut users = std::mem::take(&mut self.user_requests);
            let context = UserRequestContext {
                cache: &self.cache,
                watermarks: &self.watermarks,
                settings: &self.settings,
            };
            users.complete_read_barrier(clock, sent, &context, &|id| self.running_task_count(id), out);
            self.user_requests = users;
        }
        self.respond_to_operator_queries(clock, sent, out);
        self.begin_leadership(clock);
    }

    fn apply_change_events(&mut self, clock: Clock, change_events: &[ChangeEvent]) {
        let mut new = Vec::new();
        for change_event in change_events {
            match (change_event, &mut self.leader) {
                (ChangeEvent::Job(ix), Some(leader)) => {
                    leader.track_job(*ix, &self.cache, clock);
                    new.push(*ix);
                }
                (ChangeEvent::Terminal(id, TerminalState::Cancelled), Some(leader)) => {
                    let ix = self.cache.find(*id);
                    let cancelled_at =
                        ix.and_then(|ix| self.cache.job(ix)?.terminal).map_or(clock.wall_ms, |(_, at)| at);
                    leader.cancel_job(*id, ix, cancelled_at, clock);
                }
                (ChangeEvent::MachineTypes, Some(leader)) => leader.load_machine_types(&mut self.cache),
                (ChangeEvent::Config(revision), _) => self.apply_config_change(clock, *revision),
                _ => {}
            }
        }
        if let Some(leader) = self.leader.as_mut().filter(|_| !new.is_empty()) {
            leader.enqueue_jobs(new);
        }
        let ours = self.leadership.token();
        let leader_revision = self.cache.leader.as_ref().map(|leader| leader.revision);
        if let (Some(leader), Some(token)) = (&self.leader, ours)
            && leader_revision != Some(Revision(token.0))
            && self.cache.revision.0 >= leader.term.token().0
        {
            log::info!("another leader has taken over");
            self.step_down();
        }
    }

    /// Own submissions and withdrawals reach the mirror without a poll.
    fn reconcile_leader_jobs(&mut self, clock: Clock) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let live: Vec<_> = self.cache.live_jobs().map(|(ix, job)| (ix, job.spec.id, job.terminal)).collect();
        let mut new = Vec::new();
        for (ix, id, end) in live {
            match end {
                Some((TerminalState::Cancelled, at)) if leader.workload.jobs.contains_key(&ix) => {
                    leader.cancel_job(id, Some(ix), at, clock);
                }
                None if !leader.workload.jobs.contains_key(&ix) => {
                    leader.track_job(ix, &self.cache, clock);
                    new.push(ix);
                }
                _ => {}
            }
        }
        if !new.is_empty() {
            leader.enqueue_jobs(new);
        }
    }

    /// The mirror holds all that earlier leaders could write: nothing of theirs succeeds later.
    fn begin_leadership(&mut self, clock: Clock) {
        let Some((token, acquired)) = self.pending_leadership else {
            return;
        };
        if self.cache.revision.0 < token.0 {
            return;
        }
        self.pending_leadership = None;
        let leader_revision = self.cache.leader.as_ref().map(|leader| leader.revision);
        if leader_revision != Some(Revision(token.0)) {
            self.step_down();
            return;
        }
        let longest_hold_ms = Leadership::max_serving_after_lease_ms(&self.settings.worker_timings);
        let start = Clock { now: acquired.max(clock.now), ..clock };
        let leader = Leader::new(
            token,
            longest_hold_ms,
            self.seed ^ token.0,
            &mut self.cache,
            &self.settings,
            &self.tunables,
            start,
        );
        log::info!(
            event = "leads", token = token.0;
            "leads with token {}: {} jobs, {} machines on record",
            token.0,
            leader.workload.jobs.len(),
            leader.cluster.machines.len()
        );
        self.leader = Some(leader);
        self.leaderships_started += 1;
        self.peers.clear_misdirected();
    }
}
