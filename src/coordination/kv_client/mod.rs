//! This controller's client of the key-value store: requests in flight, its share of the rate limits, and
//! whether the store is reachable. `cache_refresh` uses it to keep the cache up to date.
//!
//! [`KvClient`] performs no I/O: it returns requests as actions and receives replies as outcomes. The number
//! of requests in flight is bounded by the rate limits, and each request ends with an outcome, which may be a
//! time-out.

mod cache_refresh;

use std::collections::HashMap;

use super::token_bucket::TokenBucket;
use super::{Action, Clock, OutboundId};
use crate::ids::Millis;
use crate::protocol::HttpOutcome;
use crate::protocol::kv::{KvMutation, KvReply, KvRequest, Precondition};
use crate::settings::KvLimits;
use cache_refresh::RefreshState;

/// Time-out of a read or a leadership request, in milliseconds.
pub(super) const POLL_TIMEOUT_MS: u64 = 1200;
/// Time-out of a transaction, in milliseconds.
const TXN_TIMEOUT_MS: u64 = 1500;
/// The store counts as unreachable once requests have failed for this many milliseconds.
const UNREACHABLE_AFTER_MS: u64 = 500;
/// Share of the rate limits that a single controller uses.
const SINGLE_CONTROLLER_SHARE: f64 = 0.95;
/// The leader's share of the rate limits.
const LEADER_SHARE: f64 = 0.55;
/// Share of the rate limits that all followers together use.
const FOLLOWERS_SHARE: f64 = 0.4;
/// HTTP status of a request that exceeds the store's rate limit.
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// The purpose of a request, which determines the component that handles the reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Purpose {
    /// A page of a load of all records.
    Page,
    /// A poll for changes since the last read.
    Poll,
    /// A transaction that accepts or cancels users' jobs.
    UserTxn,
    /// A transaction that changes a run of a graph: an upload, commit, cancellation or rerun.
    GraphTxn,
    /// A transaction that changes a configuration entry.
    ConfigTxn,
    /// A transaction that writes the leader's records.
    LeaderTxn,
    /// An election request, which concerns the leader key and its lease.
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
    /// The purpose of the request, which determines the component that handles the reply.
    pub purpose: Purpose,
    /// The request as it was sent.
    pub request: KvRequest,
    /// The store's reply, or `KvReply::Unknown` if there was none.
    pub reply: KvReply,
    /// The id under which the request was sent.
    pub outbound: OutboundId,
    /// When the request was sent.
    pub sent_at: Millis,
}

/// This controller's client of the key-value store.
#[derive(Debug)]
pub struct KvClient {
    /// The request that was sent last. Ids increase in the order in which requests are sent.
    last_sent: OutboundId,
    pending: HashMap<OutboundId, PendingRequest>,
    /// Limits the rate of all requests.
    request_bucket: TokenBucket,
    /// Limits the rate of mutations, in addition to the requests that carry them.
    pub(super) write_bucket: TokenBucket,
    limits: KvLimits,
    controller_count: usize,
    /// Whether the cache contains all records; until then pages are loaded.
    pub(super) loaded: bool,
    /// The last answered poll: the cache contains all changes that were committed before it was sent.
    pub(super) last_applied_poll: Option<OutboundId>,
    /// When the last answered poll was sent. Tells the age of the cache; what happened before or after the poll
    /// follows from `last_applied_poll`.
    pub(super) fresh_as_of: Option<Millis>,
    /// When the first request failed since the store last served one. Refusals because of the rate limit do
    /// not count.
    pub(super) failing_since: Option<Millis>,
    refresh: RefreshState,
}

impl KvClient {
    /// Creates the client of a follower that has loaded no records yet.
    pub(super) fn new(limits: KvLimits, controller_count: usize, now: Millis) -> KvClient {
        let mut kv = KvClient {
            last_sent: OutboundId::default(),
            pending: HashMap::new(),
            request_bucket: TokenBucket::new(1.0, now),
            write_bucket: TokenBucket::new(1.0, now),
            limits,
            controller_count,
            loaded: false,
            last_applied_poll: None,
            fresh_as_of: None,
            failing_since: None,
            refresh: RefreshState::default(),
        };
        kv.set_is_leader(false);
        kv
    }

    /// Sets this controller's share of the rate limits: the leader gets the largest share, and the followers
    /// divide the rest.
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
        self.last_sent = OutboundId(self.last_sent.0 + 1);
        let outbound = self.last_sent;
        let timeout_ms = purpose.timeout_ms();
        let pending = PendingRequest { purpose, request: request.clone(), sent_at: clock.now };
        self.pending.insert(outbound, pending);
        out.push(Action::CallKv { outbound, request, timeout_ms });
        outbound
    }

    /// Returns the id of the request that was sent last. A read with a higher id is sent after this moment.
    pub(super) fn last_sent(&self) -> OutboundId {
        self.last_sent
    }

    /// Sends an election request. It never waits for the rate limit, because a lease that is not renewed in
    /// time is lost.
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

    /// Matches an outcome with its request; returns `None` if no such request is in flight.
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
        Some(CompletedRequest { purpose, request, reply, outbound, sent_at })
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

    /// Returns whether the store answers this controller. While it does not, clients' requests are rejected
    /// at once. A failure that is followed by a success within `UNREACHABLE_AFTER_MS` does not count.
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        self.failing_since.is_none_or(|since| now.saturating_since(since) < UNREACHABLE_AFTER_MS)
    }
}

#[cfg(test)]
#[path = "tests/kv_client.rs"]
mod tests;
