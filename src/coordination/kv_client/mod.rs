//! This controller's client of the key-value store: requests in flight, its share of the rate limits, and whether the store
//! answers. `cache_refresh` keeps the cache up to date with it.
//!
//! [`KvClient`] does no I/O: requests go out as actions, replies come in as outcomes. Requests in flight are bounded by the
//! rate limits; each ends with an outcome, a timeout included.

mod cache_refresh;

use std::collections::HashMap;

use super::token_bucket::TokenBucket;
use super::{Action, Clock, OutboundId};
use crate::ids::Millis;
use crate::protocol::HttpOutcome;
use crate::protocol::kv::{KvMutation, KvReply, KvRequest, Precondition};
use crate::settings::KvLimits;
use cache_refresh::RefreshState;

/// How long a read or a leadership request may take, in milliseconds.
pub(super) const POLL_TIMEOUT_MS: u64 = 1200;
/// How long a transaction may take, in milliseconds.
const TXN_TIMEOUT_MS: u64 = 1500;
/// Failures that last shorter than this many milliseconds do not make the store unreachable.
const UNREACHABLE_AFTER_MS: u64 = 500;
/// Share of the rate limits that a controller without others uses.
const SINGLE_CONTROLLER_SHARE: f64 = 0.95;
/// The leader's share of the rate limits.
const LEADER_SHARE: f64 = 0.55;
/// What all followers share of the rate limits.
const FOLLOWERS_SHARE: f64 = 0.4;
/// Status of a request beyond the store's rate limit.
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// What a request is for: who gets the reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Purpose {
    /// A page of the first load.
    Page,
    /// Changes since the last poll.
    Poll,
    /// Jobs that users submit or cancel.
    UserTxn,
    /// Uploads and commits of DAG runs.
    GraphTxn,
    /// Configuration changes by operators.
    ConfigTxn,
    /// Records of the leader.
    LeaderTxn,
    /// The leader key and its lease.
    Leadership,
}

impl Purpose {
    fn timeout_ms(&self) -> u64 {
        match self {
            Purpose::Poll | Purpose::Page | Purpose::Leadership => POLL_TIMEOUT_MS,
            Purpose::UserTxn | Purpose::GraphTxn | Purpose::ConfigTxn | Purpose::LeaderTxn => TXN_TIMEOUT_MS,
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    purpose: Purpose,
    request: KvRequest,
    sent_at: Millis,
}

/// A reply with the request that it answers.
#[derive(Debug)]
pub struct CompletedRequest {
    /// Who gets the reply.
    pub purpose: Purpose,
    /// As it was sent.
    pub request: KvRequest,
    /// What the store answered, or that it did not.
    pub reply: KvReply,
    /// When the request was sent.
    pub sent_at: Millis,
}

/// The store as this controller uses it.
#[derive(Debug)]
pub struct KvClient {
    next_outbound: u64,
    pending: HashMap<OutboundId, PendingRequest>,
    /// Limits all requests.
    request_bucket: TokenBucket,
    /// Limits mutations, on top of the requests that carry them.
    pub(super) write_bucket: TokenBucket,
    limits: KvLimits,
    controller_count: usize,
    /// The cache holds all records; until then pages are read.
    pub(super) loaded: bool,
    /// When the last poll that was answered was sent: the cache shows all changes before.
    pub(super) fresh_as_of: Option<Millis>,
    /// Since when the store has refused requests or not answered, if it has not served one since.
    pub(super) failing_since: Option<Millis>,
    refresh: RefreshState,
}

impl KvClient {
    /// A follower's client, with nothing loaded.
    pub(super) fn new(limits: KvLimits, controller_count: usize, now: Millis) -> KvClient {
        let mut kv = KvClient {
            next_outbound: 0,
            pending: HashMap::new(),
            request_bucket: TokenBucket::new(1.0, now),
            write_bucket: TokenBucket::new(1.0, now),
            limits,
            controller_count,
            loaded: false,
            fresh_as_of: None,
            failing_since: None,
            refresh: RefreshState::default(),
        };
        kv.set_is_leader(false);
        kv
    }

    /// The leader gets the largest share of the rate limits, the others divide the rest.
    pub(super) fn set_is_leader(&mut self, is_leader: bool) {
        let followers = self.controller_count.saturating_sub(1).max(1) as f64;
        let share = match (self.controller_count, is_leader) {
            (1, _) => SINGLE_CONTROLLER_SHARE,
            (_, true) => LEADER_SHARE,
            (_, false) => FOLLOWERS_SHARE / followers,
        };
        self.request_bucket.set_rate(self.limits.rps * share);
        self.write_bucket.set_rate(self.limits.write_rps * share);
    }

    fn send(
        &mut self,
        clock: Clock,
        purpose: Purpose,
        request: KvRequest,
        out: &mut Vec<Action>,
    ) -> OutboundId {
        self.next_outbound += 1;
        let outbound = OutboundId(self.next_outbound);
        let timeout_ms = purpose.timeout_ms();
        let pending = PendingRequest { purpose, request: request.clone(), sent_at: clock.now };
        self.pending.insert(outbound, pending);
        out.push(Action::CallKv { outbound, request, timeout_ms });
        outbound
    }

    /// Sends an election request. It never waits for the rate limit: a lease that is not renewed in time is lost.
    pub(super) fn send_leadership_request(
        &mut self,
        clock: Clock,
        request: KvRequest,
        out: &mut Vec<Action>,
    ) -> OutboundId {
        self.request_bucket.force_take(clock.now, 1);
        self.send(clock, Purpose::Leadership, request, out)
    }

    /// Sends a transaction, or returns `None` if it has to wait for the rate limits.
    pub(super) fn txn(
        &mut self,
        clock: Clock,
        purpose: Purpose,
        preconditions: Vec<Precondition>,
        mutations: Vec<KvMutation>,
        out: &mut Vec<Action>,
    ) -> Option<OutboundId> {
        let writes = mutations.len();
        if self.write_bucket.available(clock.now) < writes || !self.request_bucket.try_take(clock.now, 1) {
            return None;
        }
        self.write_bucket.try_take(clock.now, writes);
        Some(self.send(clock, purpose, KvRequest::Transaction { preconditions, mutations }, out))
    }

    /// Pairs an outcome with its request; `None` for one that is not in flight.
    pub(super) fn complete_request(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
    ) -> Option<CompletedRequest> {
        let PendingRequest { purpose, request, sent_at } = self.pending.remove(&outbound)?;
        let reply = request.parse_reply(outcome);
        self.record_health(clock, &reply);
        self.refresh.complete_request(outbound);
        Some(CompletedRequest { purpose, request, reply, sent_at })
    }

    fn record_health(&mut self, clock: Clock, reply: &KvReply) {
        match reply {
            KvReply::Rejected { status } => {
                self.request_bucket.back_off(clock.now);
                if *status != STATUS_TOO_MANY_REQUESTS {
                    self.failing_since.get_or_insert(clock.now);
                }
            }
            KvReply::Unknown => {
                self.failing_since.get_or_insert(clock.now);
            }
            _ => {
                self.request_bucket.reset_backoff();
                self.failing_since = None;
            }
        }
    }

    /// Whether the store answers this controller. While it does not, user requests are rejected at once; a single
    /// refusal or lost reply does not count.
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        self.failing_since.is_none_or(|since| now.saturating_since(since) < UNREACHABLE_AFTER_MS)
    }
}

#[cfg(test)]
#[path = "tests/kv_client.rs"]
mod tests;
