//! Health beacons between controllers. They show whether the store is unreachable for this controller alone,
//! and which controller should lead instead because the workers that the leader lost report to it.
//!
//! [`Peers`] owns the last beacon of each other controller and the workers that reported here although
//! another controller leads. It performs no I/O and reads no clock; its memory is bounded by the number of
//! controllers and by `MAX_MISDIRECTED`.

use std::collections::HashMap;

use super::Action;
use crate::ids::Millis;
use crate::protocol::peer::PeerMessage;

/// Interval between two beacons, in milliseconds.
const BEACON_INTERVAL_MS: u64 = 1000;
/// A controller whose last beacon is this many milliseconds old does not count as live.
const PEER_TIMEOUT_MS: u64 = 2_600;
/// A worker counts as misdirected for this many milliseconds after it reported here.
const MISDIRECTED_WINDOW_MS: u64 = 7_000;
/// Maximum number of misdirected workers that are remembered.
const MAX_MISDIRECTED: usize = 4096;

/// The last beacon of another controller.
#[derive(Debug)]
struct Peer {
    last_beacon_at: Millis,
    store_reachable: bool,
    /// Number of workers that reported to it although another controller leads.
    misdirected: u32,
    /// Sum of the same numbers from the controllers whose beacons it receives; this controller may not
    /// receive them.
    misdirected_elsewhere: u32,
}

impl Peer {
    fn total_misdirected(&self) -> u32 {
        self.misdirected.saturating_add(self.misdirected_elsewhere)
    }
}

/// The other controllers as their beacons show them.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<String, Peer>,
    misdirected_workers: HashMap<String, Millis>,
    next_beacon_at: Millis,
    /// Time until which this controller campaigns ahead of the others, because the leader asked it to take
    /// over.
    pub(super) preferred_until: Millis,
}

impl Peers {
    /// Sends a beacon to each of `controllers`, if one is due.
    pub(super) fn send_beacons(
        &mut self,
        now: Millis,
        controllers: &[String],
        store_reachable: bool,
        out: &mut Vec<Action>,
    ) {
        if now < self.next_beacon_at {
            return;
        }
        self.next_beacon_at = now.saturating_add(BEACON_INTERVAL_MS);
        self.misdirected_workers
            .retain(|_, reported_at| now.saturating_since(*reported_at) < MISDIRECTED_WINDOW_MS);
        let misdirected = self.misdirected_workers.len() as u32;
        for controller in controllers {
            let others = self.live_peers(now).filter(|(name, _)| *name != controller);
            let misdirected_elsewhere = others.map(|(_, peer)| peer.misdirected).sum();
            let message = PeerMessage::HealthStatus {
                kv_reachable: store_reachable,
                misdirected_workers: misdirected,
                misdirected_workers_elsewhere: misdirected_elsewhere,
            };
            out.push(Action::SendPeerMessage { controller: controller.clone(), message });
        }
    }

    /// Stores a controller's beacon in place of its previous one.
    pub(super) fn receive_beacon(
        &mut self,
        now: Millis,
        controller: &str,
        store_reachable: bool,
        misdirected: u32,
        misdirected_elsewhere: u32,
    ) {
        self.peers.insert(
            controller.into(),
            Peer { last_beacon_at: now, store_reachable, misdirected, misdirected_elsewhere },
        );
    }

    /// Records that a worker reported here although it should report to the leader.
    pub(super) fn record_misdirected(&mut self, now: Millis, machine: &str) {
        if self.misdirected_workers.len() < MAX_MISDIRECTED || self.misdirected_workers.contains_key(machine)
        {
            self.misdirected_workers.insert(machine.into(), now);
        }
    }

    /// Forgets the misdirected workers, because this controller now leads and workers are right to report
    /// here.
    pub(super) fn clear_misdirected(&mut self) {
        self.misdirected_workers.clear();
    }

    fn live_peers(&self, now: Millis) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.saturating_since(peer.last_beacon_at) < PEER_TIMEOUT_MS)
    }

    /// Returns whether the controller's last beacon is recent.
    pub(super) fn is_peer_live(&self, now: Millis, controller: &str) -> bool {
        self.live_peers(now).any(|(name, _)| name == controller)
    }

    /// Returns whether any other controller's last beacon is recent.
    pub(super) fn has_live_peer(&self, now: Millis) -> bool {
        self.live_peers(now).next().is_some()
    }

    /// Returns whether another live controller reaches the key-value store.
    pub(super) fn any_peer_reaches_store(&self, now: Millis) -> bool {
        self.live_peers(now).any(|(_, peer)| peer.store_reachable)
    }

    /// Returns the live controller that reaches the store and counts the most misdirected workers, together
    /// with their number. If two zones cannot reach each other, this is the controller that reaches both.
    pub(super) fn best_candidate(&self, now: Millis) -> Option<(String, u32)> {
        let candidates = self.live_peers(now).filter(|(_, peer)| peer.store_reachable);
        let best = candidates
            .max_by_key(|(name, peer)| (peer.total_misdirected(), std::cmp::Reverse((*name).clone())));
        best.map(|(name, peer)| (name.clone(), peer.total_misdirected()))
    }
}

#[cfg(test)]
#[path = "tests/peers.rs"]
mod tests;
