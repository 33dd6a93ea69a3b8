//! How this controller begins to lead, when it may act as the leader, and when it stops.

use olivelatch_admission::pressure::PressureLevel;

use super::Controller;
use crate::coordination::kv_client::CompletedRequest;
use crate::coordination::leader::Leader;
use crate::coordination::leadership::{Leadership, LeadershipChange, MAX_CACHE_AGE_MS};
use crate::coordination::{Action, Clock};
use crate::ids::{FencingToken, Millis};
use crate::protocol::peer::PeerMessage;

/// Silent workers are ignored for this many milliseconds after leadership begins, so that they can find the
/// new leader.
const LEADER_SETTLE_MS: u64 = 8_000;
/// Minimum number of silent workers that indicate a network failure: a single one may itself be at fault.
const MIN_SILENT_WORKERS: usize = 2;

/// Leadership that was acquired but has not begun, because the cache has not read up to the fencing token.
#[derive(Debug, Clone, Copy)]
pub(super) struct AcquiredLeadership {
    token: FencingToken,
    at: Millis,
}

impl Controller {
    /// Returns whether this controller leads, or will lead once its cache has read up to its fencing token.
    pub(super) fn leads_or_will(&self) -> bool {
        self.state.is_leader() || self.acquired_leadership.is_some()
    }

    /// Returns whether the leader may act: its lease is guaranteed to be valid and its cache is fresh.
    pub(super) fn may_act(&self, clock: Clock) -> bool {
        let is_fresh = self
            .kv_client
            .fresh_as_of
            .is_some_and(|fresh| clock.now.saturating_since(fresh) < MAX_CACHE_AGE_MS);
        self.state.is_leader() && is_fresh && self.leadership.has_valid_lease(clock.now)
    }

    pub(super) fn handle_leadership_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        out: &mut Vec<Action>,
    ) {
        match self.leadership.handle_reply(clock, completed, &mut self.kv_client, out) {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Acquired(token) => {
                self.acquired_leadership = Some(AcquiredLeadership { token, at: clock.now });
                self.kv_client.set_is_leader(true);
            }
            LeadershipChange::Lost => {
                log::info!("leader lease expired");
                self.step_down();
            }
        }
    }

    /// Begins to lead once the cache has read up to the fencing token, which covers all writes of earlier
    /// leaders: none of their writes can succeed after it.
    pub(super) fn begin_leadership(&mut self, clock: Clock) {
        let Some(AcquiredLeadership { token, at }) = self.acquired_leadership else { return };
        if self.state.cache.revision.0 < token.0 {
            return;
        }
        self.acquired_leadership = None;
        if !self.state.cache.has_leader_with(token) {
            self.step_down();
            return;
        }
        let max_serving_ms = Leadership::max_serving_after_lease_ms(&self.state.settings.worker_timings);
        let leader = Leader::new(
            token,
            max_serving_ms,
            self.seed ^ token.0,
            &mut self.state.cache,
            &self.state.settings,
            &self.state.tunables,
            Clock { now: at.max(clock.now), ..clock },
        );
        log::info!(
            event = "became_leader", token = token.0, revision = self.state.cache.revision.0;
            "leader with fencing token {}: {} jobs, {} machines on record, read up to revision {}",
            token.0,
            leader.workload.jobs.len(),
            leader.cluster.machines.len(),
            self.state.cache.revision.0
        );
        leader.log_tasks_in_several_places();
        self.state.leader = Some(leader);
        self.leaderships_started += 1;
        self.peers.clear_misdirected();
    }

    /// Stops leading if the records show another leader.
    pub(super) fn step_down_if_superseded(&mut self) {
        if let (Some(leader), Some(token)) = (&self.state.leader, self.leadership.token())
            && !self.state.cache.has_leader_with(token)
            && self.state.cache.revision.0 >= leader.term.token().0
        {
            log::info!("superseded by another leader");
            self.step_down();
        }
    }

    /// Steps down if the workers cannot reach this controller.
    ///
    /// Without this, a controller cut off from the network but not from the store would renew its lease while
    /// every machine's lease expires.
    pub(super) fn step_down_if_unreachable(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let Some(leader) = &self.state.leader else { return };
        // Under pressure, heartbeats wait in this controller's own queue, so silence does not mean that
        // workers cannot reach it.
        let is_overloaded = self.pressure.level() > PressureLevel::Calm;
        let is_settling = clock.now.saturating_since(leader.term.acquired_at()) < LEADER_SETTLE_MS;
        if is_overloaded || self.peer_names.is_empty() || is_settling {
            return;
        }
        let (all, silent) = leader.count_overdue_workers(clock.now);
        let candidate = self.peers.best_candidate(clock.now);
        let misdirected = candidate.as_ref().map_or(0, |(_, misdirected)| *misdirected as usize);
        if !is_cut_off(all, silent, misdirected) {
            return;
        }
        log::info!(
            "stepping down: {silent} of {all} workers are silent, {misdirected} of them report to other controllers"
        );
        if let Some((controller, _)) = candidate {
            out.push(Action::SendPeerMessage { controller, message: PeerMessage::TransferLeadership });
        }
        self.leadership.step_down(clock, &mut self.kv_client, out);
        self.step_down();
    }

    /// Stops leading. This does not revoke the lease: the caller revokes it, or it expires.
    pub(super) fn step_down(&mut self) {
        if let Some(leader) = self.state.leader.take() {
            let token = leader.term.token().0;
            let led_ms = self.now.saturating_since(leader.term.acquired_at());
            log::info!(
                event = "stepped_down", token, led_ms;
                "stepped down: led with fencing token {token} for {led_ms} ms"
            );
        }
        self.acquired_leadership = None;
        self.direct_commands.clear();
        self.leadership.become_follower();
        self.kv_client.set_is_leader(false);
    }
}

/// Returns whether a network failure explains why workers are silent: either all workers are silent, or at
/// least one in seven is, and at least 60% of the silent ones send their heartbeats to other controllers.
fn is_cut_off(all: usize, silent: usize, misdirected: usize) -> bool {
    let most_report_elsewhere = silent * 7 >= all && misdirected * 10 >= silent * 6;
    silent >= MIN_SILENT_WORKERS && (silent >= all || most_report_elsewhere)
}

#[cfg(test)]
#[path = "tests/leadership.rs"]
mod tests;
