//! How far each controller has read the records, and which ends may be told by that.
//!
//! An end is stable once no controller can answer with anything older any more. Whoever has read up to the end's revision
//! cannot, and says so to the others; of whoever says nothing, time tells: answers are given by reads of a bounded age.
//! Decides nothing else: what ended is in the records alone. No I/O, no clock; bounded by the ends of a few seconds.

use std::collections::{BTreeMap, HashMap};

use super::kv_client::POLL_TIMEOUT_MS;
use super::leadership::MAX_CACHE_AGE_MS;
use crate::bookkeeping::store_cache::{NewTerminal, ObservedLeader};
use crate::ids::{JobId, Millis, Revision};

/// Clocks of two nodes drift apart, and run in steps.
const CLOCK_DRIFT_MS: u64 = 50;
/// No node answers by a read that was sent longer ago.
pub const MAX_READ_AGE_MS: u64 = POLL_TIMEOUT_MS;
/// After that no read from before an end that is known here can be answered by.
const STABLE_AFTER_MS: u64 = MAX_READ_AGE_MS + CLOCK_DRIFT_MS;
/// After that a leader that has not seen a cancellation starts nothing any more.
pub const STOPPED_AFTER_MS: u64 = MAX_CACHE_AGE_MS + CLOCK_DRIFT_MS;
/// Between two requests to look at the records.
const REQUEST_INTERVAL_MS: u64 = 200;

/// An end that became known here a moment ago.
#[derive(Debug, Clone, Copy)]
struct RecentTerminal {
    revision: Revision,
    seen_at: Millis,
    cancelled: bool,
}

#[derive(Debug, Default)]
pub struct ReadWatermarks {
    peer_reads: BTreeMap<String, Revision>,
    recent_terminal: HashMap<JobId, RecentTerminal>,
    /// The records were being read until then: which of their ends are recent is not known.
    last_loading_at: Option<Millis>,
    /// The newest end that is known here, and up to where the others were told that this node has read.
    newest_revision: Revision,
    announced_revision: Revision,
    next_request_at: Millis,
}

impl ReadWatermarks {
    pub fn new(peers: &[String]) -> ReadWatermarks {
        let peer_reads = peers.iter().map(|node| (node.clone(), Revision(0))).collect();
        ReadWatermarks { peer_reads, ..ReadWatermarks::default() }
    }

    /// Ends that the mirror has just learned.
    pub fn add_terminal(&mut self, terminal: Vec<NewTerminal>, now: Millis) {
        for NewTerminal { id, revision, cancelled } in terminal {
            self.newest_revision = self.newest_revision.max(revision);
            self.recent_terminal.insert(id, RecentTerminal { revision, seen_at: now, cancelled });
        }
    }

    /// The records are read anew.
    pub fn restart_load(&mut self, now: Millis) {
        self.last_loading_at = Some(now);
        self.recent_terminal.clear();
    }

    /// Another node has read up to there, and answers with nothing older.
    pub fn record_peer_read(&mut self, peer: &str, revision: Revision) {
        if let Some(known) = self.peer_reads.get_mut(peer) {
            *known = revision.max(*known);
        }
    }

    /// Has this other node said that it has read up to there?
    pub fn has_read(&self, peer: &str, revision: Revision) -> bool {
        self.peer_reads.get(peer).is_some_and(|read| *read >= revision)
    }

    /// The others wait to hear that this node has read up to there.
    pub fn require_announcement(&mut self, revision: Revision) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// May a user be told of the end? `read`: up to where this node has read; `leader`: who led then.
    pub fn is_stable(&self, id: JobId, now: Millis, read: Revision, leader: Option<&ObservedLeader>) -> bool {
        let has_elapsed = |since: Millis, after: u64| now.saturating_since(since) >= after;
        if self.peer_reads.is_empty() {
            return true;
        }
        if self.last_loading_at.is_some_and(|at| !has_elapsed(at, STABLE_AFTER_MS)) {
            return false;
        }
        let Some(terminal) = self.recent_terminal.get(&id) else { return true };
        let has_read = |node: &str| self.peer_reads.get(node).is_none_or(|read| *read >= terminal.revision);
        let readable_everywhere = has_elapsed(terminal.seen_at, STABLE_AFTER_MS)
            || self.peer_reads.values().all(|read| *read >= terminal.revision);
        // Who leads since then has read the end; nobody led, or this node, and starts nothing either.
        let leader_knows =
            |leader: &ObservedLeader| leader.revision > terminal.revision || has_read(&leader.controller);
        let stopped = !terminal.cancelled
            || has_elapsed(terminal.seen_at, STOPPED_AFTER_MS)
            || (read >= terminal.revision && leader.is_none_or(leader_knows));
        readable_everywhere && stopped
    }

    /// What is old is stable for good.
    pub fn expire_old(&mut self, now: Millis) {
        if !self.recent_terminal.is_empty() {
            self.recent_terminal.retain(|_, end| now.saturating_since(end.seen_at) < STOPPED_AFTER_MS);
        }
        self.last_loading_at = self.last_loading_at.filter(|at| now.saturating_since(*at) < STABLE_AFTER_MS);
    }

    /// What the others should hear: this node has read up to there, ends included that they may wait to tell.
    pub fn take_announcement(&mut self, read: Revision) -> Option<Revision> {
        if self.newest_revision <= self.announced_revision || read < self.newest_revision {
            return None;
        }
        self.announced_revision = read;
        Some(read)
    }

    /// Somebody waits for this end: who should look at the records, and up to where.
    pub fn peers_to_poll(&mut self, id: JobId, now: Millis) -> Option<(Vec<String>, Revision)> {
        let terminal = *self.recent_terminal.get(&id).filter(|_| now >= self.next_request_at)?;
        self.next_request_at = now.saturating_add(REQUEST_INTERVAL_MS);
        let behind = self.peer_reads.iter().filter(|(_, read)| **read < terminal.revision);
        Some((behind.map(|(node, _)| node.clone()).collect(), terminal.revision))
    }
}
