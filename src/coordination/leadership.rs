//! Leader election: a controller leads while it holds the leader key, which is attached to a lease of the
//! key-value store. The revision that created the key is the fencing token.
//!
//! [`Leadership`] owns this controller's part in the election: whether it follows, campaigns or leads, and
//! until when its lease is guaranteed to be valid. From that it derives until when workers may be served. To
//! tolerate clock drift, every period that other processes rely on ends earlier here than there. It performs
//! no I/O and reads no clock.

use super::kv_client::{CompletedRequest, KvClient};
use super::{Action, Clock, OutboundId};
use crate::bookkeeping::records::{LEADER_KEY, LeaderRecord};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{FencingToken, LeaseId, Millis, Revision};
use crate::protocol::kv::{KvMutation, KvReply, KvRequest, Precondition};
use crate::settings::WorkerTimings;
use crate::tunables::MIN_LEADER_LEASE_S;

/// Safety margin for periods that other processes rely on, in milliseconds: clocks drift and timers fire
/// late.
pub const SAFETY_MARGIN_MS: u64 = 250;
/// Maximum relative drift between two monotonic clocks, each of which is off by up to 0.05%.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// A leader whose cache is older than this many milliseconds starts no tasks.
pub const MAX_CACHE_AGE_MS: u64 = 2_500;
/// The shortest leader lease that any controller's settings allow.
const MIN_LEADER_LEASE_MS: u64 = (MIN_LEADER_LEASE_S * 1000.0) as u64;
/// The lease is renewed this many times within its duration.
const RENEWALS_PER_LEASE: u64 = 4;
/// How long a controller waits before it campaigns, so that a controller that the last leader asked to take
/// over can campaign first.
const PREFERRED_HEAD_START_MS: u64 = 200;
/// How long a restarted process waits before it campaigns, so that others can campaign first: whatever ended
/// the previous process may end this one too.
const RESTART_COOLDOWN_MS: u64 = 1_000;
/// How long a controller that stepped down waits before it campaigns, so that others can campaign first.
const STEP_DOWN_COOLDOWN_MS: u64 = 5_000;
/// Minimum interval between two election requests of a follower.
const CAMPAIGN_INTERVAL_MS: u64 = 300;

/// Returns the margin to add to a period that another clock measures, in milliseconds.
pub fn clock_slack_ms(period_ms: u64) -> u64 {
    (period_ms as f64 * MAX_CLOCK_DRIFT) as u64 + 4 * SAFETY_MARGIN_MS
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Follower,
    /// A lease has been requested.
    Granting,
    /// The leader key is being created on the lease.
    Acquiring {
        lease: LeaseId,
    },
    Leading {
        lease: LeaseId,
        token: FencingToken,
    },
}

/// This controller's part in the leader election.
#[derive(Debug)]
pub struct Leadership {
    controller: String,
    leader_lease_ms: u64,
    /// The format of configuration entries that this controller applies; `None` if it applies none.
    config_format: Option<u32>,
    phase: Phase,
    /// When the request that granted the lease, or its last successful renewal, was sent.
    renewal_sent_at: Millis,
    request_in_flight: bool,
    last_request_at: Millis,
    /// The last request that was sent to the store before the reply to the last election request arrived.
    last_sent_before_reply: OutboundId,
    /// Time until which this controller delays its campaign, so that others can lead.
    cooldown_until: Millis,
    /// When the cache began to show no leader; `None` while it shows one or no poll has been
    /// answered.
    leaderless_since: Option<Millis>,
    /// When this process revoked the lease of an earlier process of the same controller.
    former_lease_revoked_at: Option<Millis>,
}

/// How a reply to an election request changed this controller's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Whether this controller leads has not changed.
    Unchanged,
    /// This controller leads now, with this fencing token.
    Acquired(FencingToken),
    /// The lease has expired or was revoked: this controller no longer leads.
    Lost,
}

impl Leadership {
    /// Creates a follower. `leader_lease_ms` is the duration of the lease that the leader key is attached to.
    pub fn new(controller: &str, leader_lease_ms: u64) -> Leadership {
        Leadership {
            controller: controller.into(),
            leader_lease_ms,
            config_format: None,
            phase: Phase::Follower,
            renewal_sent_at: Millis::default(),
            request_in_flight: false,
            last_request_at: Millis::default(),
            last_sent_before_reply: OutboundId::default(),
            cooldown_until: Millis::default(),
            leaderless_since: None,
            former_lease_revoked_at: None,
        }
    }

    /// Sets the format of configuration entries that this controller applies as leader. Its leader record
    /// contains it.
    pub(super) fn with_config_format(mut self, config_format: Option<u32>) -> Leadership {
        self.config_format = config_format;
        self
    }

    /// Returns the fencing token while this controller leads.
    pub fn token(&self) -> Option<FencingToken> {
        match self.phase {
            Phase::Leading { token, .. } => Some(token),
            _ => None,
        }
    }

    /// Returns the time until which no other controller can have become leader.
    pub fn lease_valid_until(&self) -> Millis {
        let safe_ms = (self.leader_lease_ms as f64 * (1.0 - MAX_CLOCK_DRIFT)) as u64;
        self.renewal_sent_at.saturating_add(safe_ms.saturating_sub(SAFETY_MARGIN_MS))
    }

    /// Returns whether this controller is guaranteed to be the leader.
    pub fn has_valid_lease(&self, now: Millis) -> bool {
        self.token().is_some() && now < self.lease_valid_until()
    }

    /// Returns how long a leader may answer workers without reading newer records. A task that was cancelled
    /// in the meantime must stop within the cancel deadline, and a worker that gets an answer keeps its tasks
    /// running for another worker lease.
    fn max_staleness_ms(workers: &WorkerTimings) -> u64 {
        let slack_ms = clock_slack_ms(workers.cancel_deadline_ms);
        workers.cancel_deadline_ms.saturating_sub(workers.lease_duration_ms + slack_ms)
    }

    /// Returns the part of [`max_staleness_ms`](Self::max_staleness_ms) that remains after a leader lease of this
    /// duration has expired.
    fn serving_after_lease_ms(workers: &WorkerTimings, leader_lease_ms: u64) -> u64 {
        Self::max_staleness_ms(workers).saturating_sub(leader_lease_ms)
    }

    /// Returns how long after the expiry of its lease a former leader may have answered workers, whatever
    /// lease duration its settings specified.
    pub fn max_serving_after_lease_ms(workers: &WorkerTimings) -> u64 {
        Self::serving_after_lease_ms(workers, MIN_LEADER_LEASE_MS)
    }

    /// Returns the time from which workers get no answer. `last_poll_sent_at` is when the last answered poll
    /// was sent.
    ///
    /// This controller knows every cancellation that preceded that poll. A task that was cancelled later
    /// keeps running for at most one worker lease after the last answer, and so still stops within the cancel
    /// deadline. A lease renewal says nothing about cancellations. It only guarantees that no other
    /// controller leads before the lease expires; the next leader relies on this bound when it waits for
    /// silent machines. Where the settings leave less than [`MAX_CACHE_AGE_MS`], a cache that is fresh enough
    /// to start tasks suffices.
    pub fn serves_workers_until(&self, workers: &WorkerTimings, last_poll_sent_at: Option<Millis>) -> Millis {
        let max_staleness_ms = Self::max_staleness_ms(workers).max(MAX_CACHE_AGE_MS);
        let fresh_until =
            last_poll_sent_at.map_or(Millis::default(), |sent_at| sent_at.saturating_add(max_staleness_ms));
        let after_lease_ms = Self::serving_after_lease_ms(workers, self.leader_lease_ms);
        fresh_until.min(self.lease_valid_until().saturating_add(after_lease_ms))
    }

    /// Stops leading because another controller leads or this one cannot. The lease is left to expire.
    pub(super) fn become_follower(&mut self) {
        self.phase = Phase::Follower;
    }

    /// Revokes this controller's lease so that another controller can lead at once, and lets others campaign
    /// first.
    pub(super) fn step_down(&mut self, clock: Clock, kv: &mut KvClient, out: &mut Vec<Action>) {
        if let Phase::Leading { lease, .. } = self.phase {
            kv.send_leadership_request(clock, KvRequest::RevokeLease { lease }, out);
        }
        self.phase = Phase::Follower;
        self.cooldown_until = clock.now.saturating_add(STEP_DOWN_COOLDOWN_MS);
    }

    /// Campaigns or renews the lease if that is due. `preferred` is set if the last leader has recently asked
    /// this controller to take over.
    pub(super) fn tick(
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
            Phase::Follower => match self.former_lease(clock, cache) {
                Some(lease) => self.revoke_former_lease(lease, clock, kv, out),
                None => self.campaign(clock, preferred, kv, out),
            },
            Phase::Leading { lease, .. } => {
                let renewal_interval_ms = self.leader_lease_ms / RENEWALS_PER_LEASE;
                if clock.now.saturating_since(self.last_request_at) >= renewal_interval_ms {
                    self.send_request(clock, KvRequest::RenewLease { lease }, kv, out);
                }
            }
            Phase::Granting | Phase::Acquiring { .. } => self.phase = Phase::Follower,
        }
    }

    /// Requests a lease if there has been no leader for as long as this controller has to wait.
    fn campaign(&mut self, clock: Clock, preferred: bool, kv: &mut KvClient, out: &mut Vec<Action>) {
        let leaderless_ms = self.leaderless_since.map_or(0, |since| clock.now.saturating_since(since) + 1);
        if leaderless_ms > self.campaign_delay_ms(clock.now, preferred)
            && kv.is_reachable(clock.now)
            && self.may_request(clock.now, kv)
        {
            self.phase = Phase::Granting;
            self.renewal_sent_at = clock.now;
            self.send_request(clock, KvRequest::GrantLease { ttl_ms: self.leader_lease_ms }, kv, out);
        }
    }

    /// Returns how long there must have been no leader before this controller campaigns.
    fn campaign_delay_ms(&self, now: Millis, preferred: bool) -> u64 {
        let restarted_recently = self
            .former_lease_revoked_at
            .is_some_and(|revoked_at| now.saturating_since(revoked_at) < STEP_DOWN_COOLDOWN_MS);
        if preferred {
            0
        } else if now < self.cooldown_until {
            STEP_DOWN_COOLDOWN_MS
        } else if restarted_recently {
            RESTART_COOLDOWN_MS
        } else {
            PREFERRED_HEAD_START_MS
        }
    }

    /// Returns whether enough time has passed since the last request and a poll has shown its outcome. A
    /// controller that lost a campaign has to see the winner first: with many controllers under a low rate
    /// limit, campaigning again at once left no requests for polls (permanently so on four of five
    /// controllers).
    fn may_request(&self, now: Millis, kv: &KvClient) -> bool {
        let polled_since_reply = kv.last_applied_poll > Some(self.last_sent_before_reply);
        polled_since_reply && now.saturating_since(self.last_request_at) >= CAMPAIGN_INTERVAL_MS
    }

    /// Returns the lease of a leader record that names this controller although this process does not lead.
    /// It belongs to an earlier process, or to a request whose response was lost. No process acts on it, and
    /// unless it is revoked, no controller can lead until it expires.
    fn former_lease(&self, clock: Clock, cache: &StoreCache) -> Option<LeaseId> {
        // The cache may still show a lease that this process itself has revoked.
        if clock.now < self.cooldown_until {
            return None;
        }
        cache.leader.as_ref().filter(|leader| leader.controller == self.controller)?.lease
    }

    fn revoke_former_lease(
        &mut self,
        lease: LeaseId,
        clock: Clock,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if self.may_request(clock.now, kv) {
            log::info!("revoking the leader lease of a former process of this controller");
            self.former_lease_revoked_at = Some(clock.now);
            self.send_request(clock, KvRequest::RevokeLease { lease }, kv, out);
        }
    }

    fn send_request(&mut self, clock: Clock, request: KvRequest, kv: &mut KvClient, out: &mut Vec<Action>) {
        self.request_in_flight = true;
        self.last_request_at = clock.now;
        kv.send_leadership_request(clock, request, out);
    }

    /// Handles the reply to an election request.
    pub(super) fn handle_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        kv: &mut KvClient,
        out: &mut Vec<Action>,
    ) -> LeadershipChange {
        self.request_in_flight = false;
        self.last_sent_before_reply = kv.last_sent();
        match (self.phase, &completed.request, completed.reply) {
            (Phase::Granting, _, KvReply::LeaseGranted { lease }) => {
                self.phase = Phase::Acquiring { lease };
                self.send_request(clock, self.acquire_request(lease), kv, out);
            }
            (Phase::Granting, _, _) => self.phase = Phase::Follower,
            (Phase::Acquiring { lease }, KvRequest::Transaction { .. }, KvReply::Committed { revision }) => {
                let token = FencingToken(revision.0);
                self.phase = Phase::Leading { lease, token };
                return LeadershipChange::Acquired(token);
            }
            (Phase::Acquiring { lease }, KvRequest::Transaction { .. }, _) => {
                // Another candidate won, or the outcome is unknown: if the key was created after all, it
                // disappears with its lease.
                self.phase = Phase::Follower;
                kv.send_leadership_request(clock, KvRequest::RevokeLease { lease }, out);
                self.request_in_flight = true;
            }
            (Phase::Leading { .. }, KvRequest::RenewLease { .. }, KvReply::LeaseUpdated) => {
                self.renewal_sent_at = self.renewal_sent_at.max(completed.sent_at);
            }
            (Phase::Leading { .. }, KvRequest::RenewLease { .. }, KvReply::LeaseNotFound) => {
                self.phase = Phase::Follower;
                return LeadershipChange::Lost;
            }
            _ => {}
        }
        LeadershipChange::Unchanged
    }

    /// Returns the transaction that creates the leader key, attached to the lease, if the key does not exist.
    /// Only one of several candidates succeeds.
    fn acquire_request(&self, lease: LeaseId) -> KvRequest {
        let record = LeaderRecord {
            controller: self.controller.clone(),
            lease: Some(lease.0),
            config_format: self.config_format,
        };
        KvRequest::Transaction {
            preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: Revision(0) }],
            mutations: vec![KvMutation::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_string(&record).unwrap_or_default(),
                lease: Some(lease),
            }],
        }
    }
}

#[cfg(test)]
#[path = "tests/leadership.rs"]
mod tests;
