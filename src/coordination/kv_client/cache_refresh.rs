//! Keeps the cache up to date: loads all records page by page, then polls for changes. Polls also serve as
//! read barriers for clients' requests: an answered poll covers everything that was committed before it was
//! sent.

use super::{KvClient, Purpose};
use crate::bookkeeping::records::KEY_PREFIX;
use crate::bookkeeping::store_cache::{ChangeEvent, StoreCache};
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::{Millis, Revision};
use crate::protocol::kv::{KvReply, KvRequest};

/// Records per page of a load.
const PAGE_SIZE: u32 = 500;
/// Minimum interval between polls while something waits for a newer read, in milliseconds.
const AWAITED_POLL_INTERVAL_MS: u64 = 40;

/// Progress of the load, and the reads in flight.
#[derive(Debug, Default)]
pub(super) struct RefreshState {
    /// The last key that was loaded; the next page begins after it.
    page_cursor: Option<String>,
    /// Store revision at which the first page was read.
    load_revision: Option<Revision>,
    page_in_flight: Option<OutboundId>,
    poll_in_flight: Option<OutboundId>,
    last_poll_at: Millis,
}

impl RefreshState {
    /// Records that a request is no longer in flight, if it was a read.
    pub(super) fn complete_request(&mut self, outbound: OutboundId) {
        self.poll_in_flight.take_if(|in_flight| *in_flight == outbound);
        self.page_in_flight.take_if(|in_flight| *in_flight == outbound);
    }
}

impl KvClient {
    /// Loads the next page until the cache is complete, then polls for changes.
    ///
    /// `has_waiters` is set while something waits for a newer read, `idle_interval_ms` is the interval
    /// between polls otherwise, and `reserved` is the number of requests that polls leave for writes: when
    /// polls for users used up a follower's share of the rate limit, submissions waited for seconds.
    pub(in crate::coordination) fn refresh_cache(
        &mut self,
        clock: Clock,
        has_waiters: bool,
        idle_interval_ms: u64,
        reserved: usize,
        cache: &StoreCache,
        out: &mut Vec<Action>,
    ) {
        if !self.loaded {
            self.load_page(clock, out);
            return;
        }
        let min_interval_ms = if has_waiters { AWAITED_POLL_INTERVAL_MS } else { idle_interval_ms };
        let since_poll_ms = clock.now.saturating_since(self.refresh.last_poll_at);
        if self.refresh.poll_in_flight.is_none() && since_poll_ms >= min_interval_ms {
            self.poll_changes(clock, reserved, cache.revision, out);
        }
    }

    fn load_page(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if self.refresh.page_in_flight.is_none() && self.request_bucket.try_take(clock.now, 1) {
            let request = KvRequest::ListPage {
                prefix: KEY_PREFIX.into(),
                after: self.refresh.page_cursor.clone(),
                limit: PAGE_SIZE,
            };
            self.refresh.page_in_flight = Some(self.send(clock, Purpose::Page, request, out));
        }
    }

    fn poll_changes(&mut self, clock: Clock, reserved: usize, after: Revision, out: &mut Vec<Action>) {
        // At least one request per second remains for polls, however low the rate limit is.
        let reserved = reserved.min((self.request_bucket.rate() as usize).saturating_sub(1));
        if self.request_bucket.available(clock.now) > reserved && self.request_bucket.try_take(clock.now, 1) {
            self.refresh.last_poll_at = clock.now;
            let request = KvRequest::PollChanges { prefix: KEY_PREFIX.into(), after };
            self.refresh.poll_in_flight = Some(self.send(clock, Purpose::Poll, request, out));
        }
    }

    /// Lets the next poll be sent without waiting for its interval.
    pub(in crate::coordination) fn poll_now(&mut self) {
        self.refresh.last_poll_at = Millis::default();
    }

    /// Applies a page of the load to the cache. Returns true once the cache is complete.
    pub(in crate::coordination) fn apply_page(&mut self, reply: KvReply, cache: &mut StoreCache) -> bool {
        let KvReply::ListPage { entries, has_more, revision } = reply else {
            return false;
        };
        let first_revision = *self.refresh.load_revision.get_or_insert(revision);
        if let Some(last) = entries.last() {
            self.refresh.page_cursor = Some(last.key.clone());
        }
        for entry in &entries {
            cache.apply(entry);
        }
        if !has_more {
            // All changes since the first page are polled. Those that a later page already contained have no
            // effect.
            cache.advance_revision(first_revision);
            self.loaded = true;
        }
        self.loaded
    }

    /// Applies the changes of a poll to the cache. Returns `None` if the store has compacted the changes, so
    /// that all records have to be loaded again.
    pub(in crate::coordination) fn apply_poll(
        &mut self,
        poll: OutboundId,
        sent_at: Millis,
        reply: KvReply,
        cache: &mut StoreCache,
    ) -> Option<Vec<ChangeEvent>> {
        match reply {
            KvReply::ChangedEntries { entries, revision } => {
                let events = entries.iter().filter_map(|entry| cache.apply(entry)).collect();
                cache.advance_revision(revision);
                self.last_applied_poll = self.last_applied_poll.max(Some(poll));
                self.fresh_as_of = self.fresh_as_of.max(Some(sent_at));
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
        self.last_applied_poll = None;
        self.fresh_as_of = None;
        self.refresh.page_cursor = None;
        self.refresh.load_revision = None;
    }
}
