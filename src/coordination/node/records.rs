//! What the state service answers, and what follows from it: the mirror, the lead, jobs that are new or over.

use super::Node;
use crate::bookkeeping::jobs::End;
use crate::bookkeeping::mirror::{Mirror, Seen};
use crate::coordination::leader::Leader;
use crate::coordination::leadership::{Leadership, Turn};
use crate::coordination::ledger::{Answered, Purpose};
use crate::coordination::users::Records;
use crate::coordination::watermarks::READ_AGE_MS;
use crate::coordination::{AskId, Clock, Output};
use crate::ids::Revision;
use crate::protocol::Outcome;
use crate::protocol::mesh::MeshMessage;

impl Node {
    pub(super) fn state_answered(
        &mut self,
        clock: Clock,
        ask: AskId,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(answered) = self.ledger.answered(clock, ask, outcome) else {
            return;
        };
        self.state_told(clock, answered, out);
        self.learn_ends(clock);
        self.adopt_ready(clock);
    }

    fn state_told(&mut self, clock: Clock, answered: Answered, out: &mut Vec<Output>) {
        match answered.purpose {
            Purpose::Page => {
                let whole = self.ledger.take_page(answered.reply, &mut self.mirror);
                self.learn_all(clock);
                if whole {
                    self.config_desk.learned_all(clock.now);
                    self.mirror.forget_old_ends();
                    log::info!("records read up to revision {}", self.mirror.revision.0);
                }
            }
            Purpose::Poll => self.polled(clock, answered, out),
            Purpose::UserTxn => {
                if self.users.written(clock, answered, &mut self.mirror, out) {
                    self.notify_leader(out);
                }
                self.look_at_jobs(clock);
            }
            Purpose::GraphTxn => {
                self.graph_desk.written(clock, answered, &mut self.mirror, out);
                self.notify_leader(out);
            }
            Purpose::ConfigTxn => self.config_written(clock, answered, out),
            Purpose::LeaderTxn => {
                let leads = match &mut self.leader {
                    Some(leader) => leader.written(clock, answered, &mut self.mirror),
                    None => return,
                };
                if !leads {
                    log::info!("the leader's key is not ours any more");
                    self.step_down();
                }
            }
            Purpose::Leadership => match self.leadership.answered(clock, answered, &mut self.ledger, out) {
                Turn::Nothing => {}
                Turn::Acquired(token) => {
                    self.taking_over = Some((token, clock.now));
                    self.ledger.set_leading(true);
                }
                Turn::Lost => {
                    log::info!("the leader's lease has ended");
                    self.step_down();
                }
            },
        }
    }

    /// Tells the others that there is something to see.
    pub(super) fn notify_leader(&self, out: &mut Vec<Output>) {
        if self.leader.is_some() {
            return;
        }
        if let Some(leader) = &self.mirror.leader {
            let message = MeshMessage::Notify { revision: self.mirror.revision.0 };
            out.push(Output::Mesh { node: leader.node.clone(), message });
        }
    }

    fn polled(&mut self, clock: Clock, answered: Answered, out: &mut Vec<Output>) {
        let sent = answered.sent;
        let served = matches!(answered.reply, crate::protocol::state::StateReply::Changes { .. });
        let Some(seen) = self.ledger.take_changes(sent, answered.reply, &mut self.mirror) else {
            log::info!("changes were missed: reading the records again");
            self.mirror = Mirror::default();
            self.step_down();
            return;
        };
        self.learn_ends(clock);
        self.notice(clock, &seen);
        if !served {
            return;
        }
        // By then another node may have told of what this read does not show: users wait for the next one.
        if clock.now.since(sent) < READ_AGE_MS {
            let mut users = std::mem::take(&mut self.users);
            let records =
                Records { mirror: &self.mirror, watermarks: &self.watermarks, settings: &self.settings };
            users.barrier(clock, sent, &records, &|id| self.running(id), out);
            self.users = users;
        }
        self.answer_operators(clock, sent, out);
        self.take_over(clock);
    }

    fn notice(&mut self, clock: Clock, seen: &[Seen]) {
        let mut new = Vec::new();
        for seen in seen {
            match (seen, &mut self.leader) {
                (Seen::Job(ix), Some(leader)) => {
                    leader.add_job(*ix, &self.mirror, clock);
                    new.push(*ix);
                }
                (Seen::Ended(id, End::Withdrawn), Some(leader)) => {
                    let ix = self.mirror.find(*id);
                    let told = ix.and_then(|ix| self.mirror.job(ix)?.end).map_or(clock.wall_ms, |(_, at)| at);
                    leader.withdraw(*id, ix, told, clock);
                }
                (Seen::Kinds, Some(leader)) => leader.learn_kinds(&mut self.mirror),
                (Seen::Config(revision), _) => self.learn_config(clock, *revision),
                _ => {}
            }
        }
        if let Some(leader) = self.leader.as_mut().filter(|_| !new.is_empty()) {
            leader.queue_all(new);
        }
        let ours = self.leadership.token();
        let shown = self.mirror.leader.as_ref().map(|leader| leader.revision);
        if let (Some(leader), Some(token)) = (&self.leader, ours)
            && shown != Some(Revision(token.0))
            && self.mirror.revision.0 >= leader.token.0
        {
            log::info!("another leader has taken over");
            self.step_down();
        }
    }

    /// Own submissions and withdrawals reach the mirror without a poll.
    fn look_at_jobs(&mut self, clock: Clock) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let live: Vec<_> = self.mirror.live().map(|(ix, job)| (ix, job.info.id, job.end)).collect();
        let mut new = Vec::new();
        for (ix, id, end) in live {
            match end {
                Some((End::Withdrawn, at)) if leader.work.contains_key(&ix) => {
                    leader.withdraw(id, Some(ix), at, clock);
                }
                None if !leader.work.contains_key(&ix) => {
                    leader.add_job(ix, &self.mirror, clock);
                    new.push(ix);
                }
                _ => {}
            }
        }
        if !new.is_empty() {
            leader.queue_all(new);
        }
    }

    /// The mirror holds all that earlier leaders could write: nothing of theirs succeeds later.
    fn take_over(&mut self, clock: Clock) {
        let Some((token, acquired)) = self.taking_over else {
            return;
        };
        if self.mirror.revision.0 < token.0 {
            return;
        }
        self.taking_over = None;
        let shown = self.mirror.leader.as_ref().map(|leader| leader.revision);
        if shown != Some(Revision(token.0)) {
            self.step_down();
            return;
        }
        let hold = Leadership::longest_hold_ms(&self.settings.workers);
        let start = Clock { now: acquired.max(clock.now), ..clock };
        let leader = Leader::new(
            token,
            hold,
            self.seed ^ token.0,
            &mut self.mirror,
            &self.settings,
            &self.tunables,
            start,
        );
        log::info!(
            event = "leads", token = token.0;
            "leads with token {}: {} jobs, {} machines on record",
            token.0,
            leader.work.len(),
            leader.machines.len()
        );
        self.leader = Some(leader);
        self.takeovers += 1;
        self.peers.clear_misdirected();
    }
}
