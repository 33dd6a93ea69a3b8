//! Up to which revision each controller has read the records, and which terminal states may be shown to users.
//!
//! A terminal state is stable once no controller can respond with an older state of the job. A controller that has read up
//! to its revision cannot, and announces so to the others. A controller that announces nothing is bounded by time: users are
//! answered from reads of a limited age. Whether a job has ended is decided by the records alone, not here. No I/O, no
//! clock; memory is bounded by the terminal states of a few seconds.

use std::collections::{BTreeMap, HashMap};

use super::kv_client::POLL_TIMEOUT_MS;
use super::leadership::MAX_CACHE_AGE_MS;
use crate::bookkeeping::store_cache::{NewTerminal, ObservedLeader};
use crate::ids::{JobId, Millis, Revision};

/// Difference that two controllers' clocks gather over the periods below, timer steps included, in milliseconds.
const CLOCK_DRIFT_MS: u64 = 50;
/// No controller responds from a read that was sent more than this many milliseconds ago.
pub(super) const MAX_READ_AGE_MS: u64 = POLL_TIMEOUT_MS;
/// This many milliseconds after a terminal state was seen here, no controller responds from a read before it.
const STABLE_AFTER_MS: u64 = MAX_READ_AGE_MS + CLOCK_DRIFT_MS;
/// This many milliseconds after a cancellation was seen here, a leader that has not seen it starts no tasks: its cache is
/// too old.
pub(super) const STOPPED_AFTER_MS: u64 = MAX_CACHE_AGE_MS + CLOCK_DRIFT_MS;
/// Between two requests to poll, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 200;

/// A terminal state that became known here within the last seconds.
#[derive(Debug, Clone, Copy)]
struct RecentTerminal {
    revision: Revision,
    seen_at: Millis,
    cancelled: bool,
}

/// How far each controller has read, and the recent terminal states.
#[derive(Debug, Default)]
pub struct ReadWatermarks {
    peer_reads: BTreeMap<String, Revision>,
    recent_terminals: HashMap<JobId, RecentTerminal>,
    /// When the cache was last being loaded: which of the terminal states loaded then are recent is not known.
    last_loading_at: Option<Millis>,
    /// The newest revision whose reading the other controllers wait for.
    newest_revision: Revision,
    /// The revision up to which this controller has announced its reading.
    announced_revision: Revision,
    next_request_at: Millis,
}

impl ReadWatermarks {
    /// `peers`: the other controllers.
    pub fn new(peers: &[String]) -> ReadWatermarks {
        let peer_reads = peers.iter().map(|peer| (peer.clone(), Revision(0))).collect();
        ReadWatermarks { peer_reads, ..ReadWatermarks::default() }
    }

    /// Terminal states that the cache has just learned.
    pub fn add_terminal(&mut self, terminals: Vec<NewTerminal>, now: Millis) {
        for NewTerminal { id, revision, cancelled } in terminals {
            self.newest_revision = self.newest_revision.max(revision);
            self.recent_terminals.insert(id, RecentTerminal { revision, seen_at: now, cancelled });
        }
    }

    /// The cache is being loaded.
    pub fn record_page_load(&mut self, now: Millis) {
        self.last_loading_at = Some(now);
        self.recent_terminals.clear();
    }

    /// Another controller announced that it has read up to the revision; it responds with nothing older.
    pub fn record_peer_read(&mut self, peer: &str, revision: Revision) {
        if let Some(known) = self.peer_reads.get_mut(peer) {
            *known = revision.max(*known);
        }
    }

    /// Whether the other controller has announced that it has read up to the revision.
    pub(super) fn has_read(&self, peer: &str, revision: Revision) -> bool {
        self.peer_reads.get(peer).is_some_and(|read| *read >= revision)
    }

    /// The other controllers wait for this one to announce that it has read up to the revision.
    pub(super) fn require_announcement(&mut self, revision: Revision) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Whether the job's terminal state may be shown to users. `read`: up to where this controller has read; `leader`: who
    /// led then.
    pub fn is_stable(&self, id: JobId, now: Millis, read: Revision, leader: Option<&ObservedLeader>) -> bool {
        let has_elapsed = |since: Millis, period_ms: u64| now.saturating_since(since) >= period_ms;
        if self.peer_reads.is_empty() {
            return true;
        }
        if self.last_loading_at.is_some_and(|loading_at| !has_elapsed(loading_at, STABLE_AFTER_MS)) {
            return false;
        }
        let Some(terminal) = self.recent_terminals.get(&id) else { return true };
        let has_read = |peer: &str| self.peer_reads.get(peer).is_none_or(|read| *read >= terminal.revision);
        let readable_everywhere = has_elapsed(terminal.seen_at, STABLE_AFTER_MS)
            || self.peer_reads.values().all(|read| *read >= terminal.revision);
        // A later leader has read the terminal state before it starts tasks. Without a leader, or with this controller
        // leading, no task of the job starts either.
        let leader_knows =
            |leader: &ObservedLeader| leader.revision > terminal.revision || has_read(&leader.controller);
        let stopped = !terminal.cancelled
            || has_elapsed(terminal.seen_at, STOPPED_AFTER_MS)
            || (read >= terminal.revision && leader.is_none_or(leader_knows));
        readable_everywhere && stopped
    }

    /// Old terminal states are stable permanently and need no entry.
    pub(super) fn expire_old(&mut self, now: Millis) {
        if !self.recent_terminals.is_empty() {
            self.recent_terminals
                .retain(|_, terminal| now.saturating_since(terminal.seen_at) < STOPPED_AFTER_MS);
        }
        self.last_loading_at.take_if(|loading_at| now.saturating_since(*loading_at) >= STABLE_AFTER_MS);
    }

    /// The revision to announce to the other controllers, if this one has read something that they may wait for.
    pub fn take_announcement(&mut self, read: Revision) -> Option<Revision> {
        if self.newest_revision <= self.announced_revision || read < self.newest_revision {
            return None;
        }
        self.announced_revision = read;
        Some(read)
    }

    /// Somebody waits for the job's terminal state to become stable: the controllers that should poll, and the revision they
    /// should reach. Rate-limited.
    pub(super) fn peers_to_poll(&mut self, id: JobId, now: Millis) -> Option<(Vec<String>, Revision)> {
        let terminal = *self.recent_terminals.get(&id).filter(|_| now >= self.next_request_at)?;
        self.next_request_at = now.saturating_add(REQUEST_INTERVAL_MS);
        let behind = self.peer_reads.iter().filter(|(_, read)| **read < terminal.revision);
        Some((behind.map(|(peer, _)| peer.clone()).collect(), terminal.revision))
    }
}
