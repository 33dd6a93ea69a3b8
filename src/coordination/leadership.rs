//! Who leads. The leader's key hangs on a lease; its revision is the token.

use super::kv_client::{CompletedRequest, KvClient};
use super::{Action, Clock};
use crate::bookkeeping::records::{LEADER_KEY, LeaderRecord};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{FencingToken, LeaseId, Millis, Revision};
use crate::protocol::kv::{KvMutation, KvReply, KvRequest, Precondition};
use crate::settings::WorkerTimings;
use crate::tunables::MIN_LEADER_LEASE_S;

/// Taken off every period that others rely on: clocks drift and timers fire late.
pub const SAFETY_MARGIN_MS: u64 = 250;
/// Steady clocks run apart by up to 0.05%; a little more is assumed.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// A leader whose mirror is older starts nothing.
pub const MAX_CACHE_AGE_MS: u64 = 2_500;
/// No leader's lease is shorter.
const MIN_LEADER_LEASE_MS: u64 = (MIN_LEADER_LEASE_S * 1000.0) as u64;

/// What is added to a period that another clock measures.
pub fn clock_slack_ms(period_ms: u64) -> u64 {
    (period_ms as f64 * MAX_CLOCK_DRIFT) as u64 + 4 * SAFETY_MARGIN_MS
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Follower,
    Granting,
    Acquiring { lease: LeaseId },
    Leading { lease: LeaseId, token: FencingToken },
}

#[derive(Debug)]
pub struct Leadership {
    controller: String,
    leader_lease_ms: u64,
    /// The format of configuration entries that this node acts by, if it does.
    config_format: Option<u32>,
    phase: Phase,
    /// When the grant or the last renewal that succeeded was sent.
    renewal_sent_at: Millis,
    request_in_flight: bool,
    last_request_at: Millis,
    /// After resigning, others come first.
    cooldown_until: Millis,
    /// Since when nobody leads, as far as the mirror shows.
    leaderless_since: Option<Millis>,
    /// This process ended the lead of the process that bore its name before: others come first.
    former_lease_revoked_at: Option<Millis>,
}

/// What a reply changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    Unchanged,
    Acquired(FencingToken),
    Lost,
}

impl Leadership {
    pub fn new(controller: &str, leader_lease_ms: u64) -> Leadership {
        Leadership {
            controller: controller.into(),
            leader_lease_ms,
            config_format: None,
            phase: Phase::Follower,
            renewal_sent_at: Millis::default(),
            request_in_flight: false,
            last_request_at: Millis::default(),
            cooldown_until: Millis::default(),
            leaderless_since: None,
            former_lease_revoked_at: None,
        }
    }

    /// As leader this node acts by configuration entries of a format, and says so in its record.
    pub fn with_config_format(mut self, config_format: Option<u32>) -> Leadership {
        self.config_format = config_format;
        self
    }

    pub fn token(&self) -> Option<FencingToken> {
        match self.phase {
            Phase::Leading { token, .. } => Some(token),
            _ => None,
        }
    }

    /// The lease is certainly still ours until then.
    pub fn lease_valid_until(&self) -> Millis {
        let safe = self.leader_lease_ms as f64 * (1.0 - MAX_CLOCK_DRIFT);
        self.renewal_sent_at.saturating_add((safe as u64).saturating_sub(SAFETY_MARGIN_MS))
    }

    pub fn has_valid_lease(&self, now: Millis) -> bool {
        self.token().is_some() && now < self.lease_valid_until()
    }

    /// How long a leader may answer workers without having seen what became of the records: what was withdrawn since
    /// must be gone within `cancel_s`, and a worker that is answered keeps its tasks for `lease_s` more.
    fn max_unseen_ms(workers: &WorkerTimings) -> u64 {
        workers
            .cancel_deadline_ms
            .saturating_sub(workers.lease_duration_ms + clock_slack_ms(workers.cancel_deadline_ms))
    }

    /// The part of it that lies after a lease of this life.
    fn serving_after_lease_ms(workers: &WorkerTimings, leader_lease_ms: u64) -> u64 {
        Self::max_unseen_ms(workers).saturating_sub(leader_lease_ms)
    }

    /// How long after the end of its lease a former leader may have answered workers, whatever life its settings gave it.
    pub fn max_serving_after_lease_ms(workers: &WorkerTimings) -> u64 {
        Self::serving_after_lease_ms(workers, MIN_LEADER_LEASE_MS)
    }

    /// Workers get no answer from then on. `known`: when the last look at the records that succeeded was sent. What was
    /// withdrawn before that is known here; whatever is withdrawn later is told later, so that its tasks, kept alive by the
    /// last answer for `lease_s` more, are gone in time. A renewal shows nothing of that: it only tells how long no other
    /// node leads, which is what the next leader's wait for silent machines relies on.
    /// Where the settings leave no room for a hold, a mirror as fresh as starts need has to do.
    pub fn serves_workers_until(&self, workers: &WorkerTimings, last_poll_sent_at: Option<Millis>) -> Millis {
        let max_unseen_ms = Self::max_unseen_ms(workers).max(MAX_CACHE_AGE_MS);
        let unseen_until = last_poll_sent_at.map_or(Millis::default(), |at| at.saturating_add(max_unseen_ms));
        unseen_until.min(
            self.lease_valid_until()
                .saturating_add(Self::serving_after_lease_ms(workers, self.leader_lease_ms)),
        )
    }

    pub fn become_follower(&mut self) {
        self.phase = Phase::Follower;
    }

    /// Gives the lease back, so that another node can lead at once, and rests.
    pub fn step_down(&mut self, clock: Clock, kv: &mut KvClient, out: &mut Vec<Action>) {
        if let Phase::Leading { lease, .. } = self.phase {
            kv.send_leadership_request(clock, KvRequest::RevokeLease { lease }, out);
        }
        self.phase = Phase::Follower;
        self.cooldown_until = clock.now.saturating_add(STEP_DOWN_COOLDOWN_MS);
    }

    pub fn tick(
        &mut self,
        clock: Clock,
        preferred: bool,
        cache: &StoreCache,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if cache.leader.is_some() || kv.fresh_as_of.is_none() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(clock.now);
        }
        if self.request_in_flight || !kv.loaded {
            return;
        }
        match self.phase {
            Phase::Follower => {
                if self.revoke_former_lease(clock, cache, kv, out) {
                    return;
                }
                let leaderless_ms =
                    self.leaderless_since.map_or(0, |since| clock.now.saturating_since(since) + 1);
                let after_restart = self
                    .former_lease_revoked_at
                    .is_some_and(|at| clock.now.saturating_since(at) < STEP_DOWN_COOLDOWN_MS);
                let wait = match (preferred, clock.now < self.cooldown_until) {
                    (true, _) => 0,
                    (false, true) => STEP_DOWN_COOLDOWN_MS,
                    (false, false) if after_restart => RESTART_COOLDOWN_MS,
                    (false, false) => PREFERRED_HEAD_START_MS,
                };
                // Whoever lost has to see the winner first: with many nodes under a low limit,
                // trying again at once left no requests for looking (four of five nodes, for good).
                let polled_since_request = kv.fresh_as_of.is_some_and(|fresh| fresh > self.last_request_at);
                let can_campaign = leaderless_ms > wait && polled_since_request && kv.is_reachable(clock.now);
                if can_campaign && clock.now.saturating_since(self.last_request_at) >= CAMPAIGN_INTERVAL_MS {
                    self.phase = Phase::Granting;
                    self.renewal_sent_at = clock.now;
                    self.send_request(clock, KvRequest::GrantLease { ttl_ms: self.leader_lease_ms }, kv, out);
                }
            }
            Phase::Leading { lease, .. } => {
                if clock.now.saturating_since(self.last_request_at) >= self.leader_lease_ms / 4 {
                    self.send_request(clock, KvRequest::RenewLease { lease }, kv, out);
                }
            }
            Phase::Granting | Phase::Acquiring { .. } => self.phase = Phase::Follower,
        }
    }

    /// The record names this node, but this process does not lead: it is of a former process of that name, or of a try
    /// whose answer was lost. Nobody acts on it any more, and the lead would stay vacant until its lease ends.
    fn revoke_former_lease(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) -> bool {
        let own_record = cache.leader.as_ref().filter(|seen| seen.controller == self.controller);
        // What it has given back itself is only not seen to be gone yet.
        let in_cooldown = clock.now < self.cooldown_until;
        let Some(lease) = own_record.and_then(|seen| seen.lease).filter(|_| !in_cooldown) else {
            return false;
        };
        // Looked at since the last word was sent: what that one ended is not ended twice.
        let polled_since_request = kv.fresh_as_of.is_some_and(|fresh| fresh > self.last_request_at);
        if polled_since_request && clock.now.saturating_since(self.last_request_at) >= CAMPAIGN_INTERVAL_MS {
            log::info!("ends the lead of a former process of this name");
            self.former_lease_revoked_at = Some(clock.now);
            self.send_request(clock, KvRequest::RevokeLease { lease }, kv, out);
        }
        true
    }

    fn send_request(&mut self, clock: Clock, request: KvRequest, kv: &mut KvClient, out: &mut Vec<Action>) {
        self.request_in_flight = true;
        self.last_request_at = clock.now;
        kv.send_leadership_request(clock, request, out);
    }

    pub fn handle_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) -> LeadershipChange {
        self.request_in_flight = false;
        match (self.phase, &completed.request, completed.reply) {
            (Phase::Granting, _, KvReply::LeaseGranted { lease }) => {
                self.phase = Phase::Acquiring { lease };
                let record = LeaderRecord {
                    controller: self.controller.clone(),
                    lease: Some(lease.0),
                    config_format: self.config_format,
                };
                let request = KvRequest::Transaction {
                    preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: Revision(0) }],
                    mutations: vec![KvMutation::Put {
                        key: LEADER_KEY.into(),
                        value: serde_json::to_string(&record).unwrap_or_default(),
                        lease: Some(lease),
                    }],
                };
                self.send_request(clock, request, kv, out);
                LeadershipChange::Unchanged
            }
            (Phase::Acquiring { lease }, KvRequest::Transaction { .. }, KvReply::Committed { revision }) => {
                let token = FencingToken(revision.0);
                self.phase = Phase::Leading { lease, token };
                LeadershipChange::Acquired(token)
            }
            (Phase::Acquiring { lease }, KvRequest::Transaction { .. }, _) => {
                // Lost, or not certain: end the lease, so that a key that was written after all goes away.
                self.phase = Phase::Follower;
                kv.send_leadership_request(clock, KvRequest::RevokeLease { lease }, out);
                self.request_in_flight = true;
                LeadershipChange::Unchanged
            }
            (Phase::Leading { .. }, KvRequest::RenewLease { .. }, KvReply::LeaseUpdated) => {
                self.renewal_sent_at = self.renewal_sent_at.max(completed.sent_at);
                LeadershipChange::Unchanged
            }
            (Phase::Leading { .. }, KvRequest::RenewLease { .. }, KvReply::LeaseNotFound) => {
                self.phase = Phase::Follower;
                LeadershipChange::Lost
            }
            (Phase::Granting, _, _) => {
                self.phase = Phase::Follower;
                LeadershipChange::Unchanged
            }
            _ => LeadershipChange::Unchanged,
        }
    }
}

/// The node that the last leader favoured gets this much of a start.
const PREFERRED_HEAD_START_MS: u64 = 200;
/// A process that is back at once leaves the lead to others for so long: what ended it may end it again.
const RESTART_COOLDOWN_MS: u64 = 1_000;
/// A node that resigned leaves it to others for so long.
const STEP_DOWN_COOLDOWN_MS: u64 = 5_000;
/// Between two tries to become leader.
const CAMPAIGN_INTERVAL_MS: u64 = 300;
