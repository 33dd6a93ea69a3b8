//! Tracks the revision up to which each controller has read the records, and decides which terminal states
//! may be shown to users.
//!
//! A terminal state is stable once no controller can respond with an older state of the job. A controller
//! that has read up to the revision of the terminal state cannot, and announces to the others how far it has
//! read. For a controller that announces nothing, a time bound holds: users are answered only from reads of
//! limited age. Whether a job has finished is decided by the records alone, not here. This module performs no
//! I/O and reads no clock; its memory is bounded by the number of terminal states of a few seconds.

use std::collections::{BTreeMap, HashMap};

use super::kv_client::POLL_TIMEOUT_MS;
use super::leadership::MAX_CACHE_AGE_MS;
use crate::bookkeeping::store_cache::{NewTerminal, ObservedLeader};
use crate::ids::{JobId, Millis, Revision};

/// How far two controllers' clocks can drift apart during the periods below, timer granularity included, in
/// milliseconds.
const CLOCK_DRIFT_MS: u64 = 50;
/// No controller responds from a read that was sent more than this many milliseconds ago.
pub(super) const MAX_READ_AGE_MS: u64 = POLL_TIMEOUT_MS;
/// This many milliseconds after a terminal state was read here, no controller responds from a read that lacks
/// it.
const STABLE_AFTER_MS: u64 = MAX_READ_AGE_MS + CLOCK_DRIFT_MS;
/// This many milliseconds after a cancellation was read here, a leader that has not read it starts no tasks,
/// because its cache is too old.
pub(super) const STOPPED_AFTER_MS: u64 = MAX_CACHE_AGE_MS + CLOCK_DRIFT_MS;
/// Minimum interval between requests to the other controllers to poll, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 200;

/// A terminal state that this controller has read within the last few seconds.
#[derive(Debug, Clone, Copy)]
struct RecentTerminal {
    revision: Revision,
    seen_at: Millis,
    cancelled: bool,
}

/// How far each controller has read the records, and the recent terminal states.
#[derive(Debug, Default)]
pub struct ReadWatermarks {
    peer_reads: BTreeMap<String, Revision>,
    recent_terminals: HashMap<JobId, RecentTerminal>,
    /// When the last page of a load was read. It is unknown which of the terminal states in the loaded pages
    /// are recent.
    last_loading_at: Option<Millis>,
    /// The newest revision that the other controllers may wait for this one to read.
    newest_revision: Revision,
    /// The revision up to which this controller has announced that it has read.
    announced_revision: Revision,
    next_request_at: Millis,
}

impl ReadWatermarks {
    /// Creates the watermarks of a controller. `peers` are the names of the other controllers.
    pub fn new(peers: &[String]) -> ReadWatermarks {
        let peer_reads = peers.iter().map(|peer| (peer.clone(), Revision(0))).collect();
        ReadWatermarks { peer_reads, ..ReadWatermarks::default() }
    }

    /// Adds terminal states that the cache has just received.
    pub fn add_terminal(&mut self, terminals: Vec<NewTerminal>, now: Millis) {
        for NewTerminal { id, revision, cancelled } in terminals {
            self.newest_revision = self.newest_revision.max(revision);
            self.recent_terminals.insert(id, RecentTerminal { revision, seen_at: now, cancelled });
        }
    }

    /// Records that a page of a load was read, which restarts the wait for all terminal states.
    pub fn record_page_load(&mut self, now: Millis) {
        self.last_loading_at = Some(now);
        self.recent_terminals.clear();
    }

    /// Records another controller's announcement that it has read up to the revision and responds with
    /// nothing older.
    pub fn record_peer_read(&mut self, peer: &str, revision: Revision) {
        if let Some(known) = self.peer_reads.get_mut(peer) {
            *known = revision.max(*known);
        }
    }

    /// Returns whether the other controller has announced that it has read up to the revision.
    pub(super) fn has_read(&self, peer: &str, revision: Revision) -> bool {
        self.peer_reads.get(peer).is_some_and(|read| *read >= revision)
    }

    /// Requires this controller to announce when it has read up to the revision, because the other
    /// controllers wait for that.
    pub(super) fn require_announcement(&mut self, revision: Revision) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Returns whether the job's terminal state may be shown to users. `read` is the revision up to which
    /// this controller has read, and `leader` is the leader at that revision.
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
        // A leader that was elected after the terminal state was written reads it before it starts tasks. If
        // there is no leader, or this controller leads, no task of the job starts either.
        let leader_has_read =
            |leader: &ObservedLeader| leader.revision > terminal.revision || has_read(&leader.controller);
        let stopped = !terminal.cancelled
            || has_elapsed(terminal.seen_at, STOPPED_AFTER_MS)
            || (read >= terminal.revision && leader.is_none_or(leader_has_read));
        readable_everywhere && stopped
    }

    /// Removes old terminal states: they are permanently stable and need no entry.
    pub(super) fn expire_old(&mut self, now: Millis) {
        if !self.recent_terminals.is_empty() {
            self.recent_terminals
                .retain(|_, terminal| now.saturating_since(terminal.seen_at) < STOPPED_AFTER_MS);
        }
        self.last_loading_at.take_if(|loading_at| now.saturating_since(*loading_at) >= STABLE_AFTER_MS);
    }

    /// Returns the revision to announce to the other controllers if this one has newly read something that
    /// they may wait for.
    pub fn take_announcement(&mut self, read: Revision) -> Option<Revision> {
        if self.newest_revision <= self.announced_revision || read < self.newest_revision {
            return None;
        }
        self.announced_revision = read;
        Some(read)
    }

    /// Returns the controllers that should poll so that the job's terminal state becomes stable, and the
    /// revision that they should reach. Returns `None` if the terminal state is not recent or the last call
    /// was too recent.
    pub(super) fn peers_to_poll(&mut self, id: JobId, now: Millis) -> Option<(Vec<String>, Revision)> {
        let terminal = *self.recent_terminals.get(&id).filter(|_| now >= self.next_request_at)?;
        self.next_request_at = now.saturating_add(REQUEST_INTERVAL_MS);
        let behind = self.peer_reads.iter().filter(|(_, read)| **read < terminal.revision);
        Some((behind.map(|(peer, _)| peer.clone()).collect(), terminal.revision))
    }
}
