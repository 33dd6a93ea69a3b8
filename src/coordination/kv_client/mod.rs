//! This controller's dealings with the state service: loading the mirror,
//! keeping it fresh, read barriers, and the shares of the rate limits.

use std::collections::HashMap;

use super::token_bucket::TokenBucket;
use super::{Action, Clock, OutboundId};
use crate::bookkeeping::records::KEY_PREFIX;
use crate::bookkeeping::store_cache::{ChangeEvent, StoreCache};
use crate::ids::{Millis, Revision};
use crate::protocol::HttpOutcome;
use crate::protocol::kv::{KvEntry, KvMutation, KvReply, KvRequest, Precondition};
use crate::settings::KvLimits;

/// Whom the reply is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Purpose {
    Page,
    Poll,
    UserTxn,
    GraphTxn,
    ConfigTxn,
    LeaderTxn,
    Leadership,
}

#[derive(Debug)]
struct PendingRequest {
    purpose: Purpose,
    request: KvRequest,
    sent_at: Millis,
}

/// A reply and what it answers.
#[derive(Debug)]
pub struct CompletedRequest {
    pub purpose: Purpose,
    pub request: KvRequest,
    pub reply: KvReply,
    pub sent_at: Millis,
}

const PAGE_SIZE: u32 = 500;
pub const POLL_TIMEOUT_MS: u64 = 1200;
const TXN_TIMEOUT_MS: u64 = 1500;
/// Trouble that is over by then was none.
const UNREACHABLE_AFTER_MS: u64 = 500;
/// Between polls that somebody waits for, and when nobody does.
const WAITED_POLL_INTERVAL_MS: u64 = 40;

#[derive(Debug)]
pub struct KvClient {
    next_outbound: u64,
    pending: HashMap<OutboundId, PendingRequest>,
    pub request_bucket: TokenBucket,
    pub write_bucket: TokenBucket,
    limits: KvLimits,
    controller_count: usize,
    pub loaded: bool,
    page_cursor: Option<String>,
    load_revision: Option<Revision>,
    poll_in_flight: Option<OutboundId>,
    page_in_flight: Option<OutboundId>,
    last_poll_at: Millis,
    /// When the last poll that was answered went out.
    pub fresh_as_of: Option<Millis>,
    /// When any answer last came that was no refusal.
    pub last_served_at: Option<Millis>,
    /// When it last refused or kept silent, since it last served.
    pub failing_since: Option<Millis>,
}

impl KvClient {
    pub fn new(limits: KvLimits, nodes: usize, now: Millis) -> KvClient {
        let mut kv = KvClient {
            next_outbound: 0,
            pending: HashMap::new(),
            request_bucket: TokenBucket::new(1.0, now),
            write_bucket: TokenBucket::new(1.0, now),
            limits,
            controller_count: nodes,
            loaded: false,
            page_cursor: None,
            load_revision: None,
            poll_in_flight: None,
            page_in_flight: None,
            last_poll_at: Millis::default(),
            fresh_as_of: None,
            last_served_at: None,
            failing_since: None,
        };
        kv.set_is_leader(false);
        kv
    }

    /// The leader gets most of the limits, the others share the rest.
    pub fn set_is_leader(&mut self, is_leader: bool) {
        let others = self.controller_count.saturating_sub(1).max(1) as f64;
        let share = match (self.controller_count, is_leader) {
            (1, _) => 0.95,
            (_, true) => 0.55,
            (_, false) => 0.4 / others,
        };
        self.request_bucket.set_rate(self.limits.rps * share);
        self.write_bucket.set_rate(self.limits.write_rps * share);
    }

    pub fn send(
        &mut self,
        clock: Clock,
        purpose: Purpose,
        request: KvRequest,
        out: &mut Vec<Action>,
    ) -> OutboundId {
        self.next_outbound += 1;
        let outbound = OutboundId(self.next_outbound);
        let timeout_ms = match purpose {
            Purpose::Poll | Purpose::Page | Purpose::Leadership => POLL_TIMEOUT_MS,
            Purpose::UserTxn | Purpose::GraphTxn | Purpose::ConfigTxn | Purpose::LeaderTxn => TXN_TIMEOUT_MS,
        };
        let request_in_flight = PendingRequest { purpose, request: request.clone(), sent_at: clock.now };
        self.pending.insert(outbound, request_in_flight);
        out.push(Action::CallKv { outbound, request, timeout_ms });
        outbound
    }

    /// Leadership must not wait behind anything else.
    pub fn send_leadership_request(
        &mut self,
        clock: Clock,
        request: KvRequest,
        out: &mut Vec<Action>,
    ) -> OutboundId {
        self.request_bucket.force_take(clock.now, 1);
        self.send(clock, Purpose::Leadership, request, out)
    }

    /// A transaction within both limits, or None if it has to wait.
    pub fn txn(
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

    pub fn complete_request(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
    ) -> Option<CompletedRequest> {
        let completed = self.pending.remove(&outbound)?;
        let reply = completed.request.parse_reply(outcome);
        self.record_health(clock, &reply);
        if self.poll_in_flight == Some(outbound) {
            self.poll_in_flight = None;
        }
        if self.page_in_flight == Some(outbound) {
            self.page_in_flight = None;
        }
        Some(CompletedRequest {
            purpose: completed.purpose,
            request: completed.request,
            reply,
            sent_at: completed.sent_at,
        })
    }

    fn record_health(&mut self, clock: Clock, reply: &KvReply) {
        match reply {
            KvReply::Rejected { status } => {
                self.request_bucket.back_off(clock.now);
                if *status != 429 {
                    self.failing_since.get_or_insert(clock.now);
                }
            }
            KvReply::Unknown => {
                self.failing_since.get_or_insert(clock.now);
            }
            _ => {
                self.request_bucket.reset_backoff();
                self.last_served_at = Some(clock.now);
                self.failing_since = None;
            }
        }
    }

    /// True while the service answers this node; false lets users be told at once to come back.
    /// One refusal or lost answer is a hiccup that those who wait need not hear of.
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.failing_since.is_none_or(|since| now.saturating_since(since) < UNREACHABLE_AFTER_MS)
    }

    /// Reads pages until the mirror is whole, then polls for changes.
    /// `due_ms` is how long a poll may wait when nobody waits for it. `kept` requests are left for writes: polls of
    /// users took all there were on a follower, and submissions waited seconds behind them.
    pub fn refresh_cache(
        &mut self,
        clock: Clock,
        has_waiters: bool,
        idle_interval_ms: u64,
        reserved: usize,
        cache: &StoreCache,
        out: &mut Vec<Action>,
    ) {
        if !self.loaded {
            if self.page_in_flight.is_none() && self.request_bucket.try_take(clock.now, 1) {
                let request = KvRequest::ListPage {
                    prefix: KEY_PREFIX.into(),
                    after: self.page_cursor.clone(),
                    limit: PAGE_SIZE,
                };
                self.page_in_flight = Some(self.send(clock, Purpose::Page, request, out));
            }
            return;
        }
        let min_interval_ms = if has_waiters { WAITED_POLL_INTERVAL_MS } else { idle_interval_ms };
        if self.poll_in_flight.is_some() || clock.now.saturating_since(self.last_poll_at) < min_interval_ms {
            return;
        }
        // Under a limit that small nothing can be left.
        let kept = reserved.min((self.request_bucket.rate() as usize).saturating_sub(1));
        if self.request_bucket.available(clock.now) > kept && self.request_bucket.try_take(clock.now, 1) {
            self.last_poll_at = clock.now;
            let request = KvRequest::PollChanges { prefix: KEY_PREFIX.into(), after: cache.revision };
            self.poll_in_flight = Some(self.send(clock, Purpose::Poll, request, out));
        }
    }

    /// The next poll need not wait.
    pub fn poll_now(&mut self) {
        self.last_poll_at = Millis::default();
    }

    /// A page of the first reading. True when the mirror is whole.
    pub fn apply_page(&mut self, reply: KvReply, cache: &mut StoreCache) -> bool {
        let KvReply::ListPage { entries: pairs, has_more: more, revision } = reply else {
            return false;
        };
        let base = *self.load_revision.get_or_insert(revision);
        self.page_cursor = pairs.last().map(|pair| pair.key.clone()).or(self.page_cursor.take());
        for pair in &pairs {
            cache.apply(pair);
        }
        if !more {
            // Changes after the first page's revision are read once more; older ones change nothing.
            cache.advance_revision(base);
            self.loaded = true;
        }
        self.loaded
    }

    /// Changes since the last poll. None: the mirror has to be read anew.
    pub fn apply_poll(
        &mut self,
        sent_at: Millis,
        reply: KvReply,
        cache: &mut StoreCache,
    ) -> Option<Vec<ChangeEvent>> {
        match reply {
            KvReply::ChangedEntries { entries: pairs, revision } => {
                let events = pairs.iter().filter_map(|pair: &KvEntry| cache.apply(pair)).collect();
                cache.advance_revision(revision);
                self.fresh_as_of = Some(self.fresh_as_of.unwrap_or_default().max(sent_at));
                Some(events)
            }
            KvReply::Compacted => {
                self.restart_load();
                None
            }
            _ => Some(Vec::new()),
        }
    }

    fn restart_load(&mut self) {
        self.loaded = false;
        self.page_cursor = None;
        self.load_revision = None;
        self.fresh_as_of = None;
    }
}
