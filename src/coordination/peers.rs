//! What the other controllers say of themselves, and what follows from it:
//! is a node alone in its trouble, and who is better placed to lead?

use std::collections::HashMap;

use super::Action;
use crate::ids::Millis;
use crate::protocol::peer::PeerMessage;

const BEACON_INTERVAL_MS: u64 = 1000;
/// A beat older than that says nothing about now.
const PEER_TIMEOUT_MS: u64 = 2_600;
/// Workers that turned up here within this time count as misdirected.
const MISDIRECTED_WINDOW_MS: u64 = 7_000;
/// Workers remembered at most.
const MAX_MISDIRECTED: usize = 4096;

#[derive(Debug)]
struct Peer {
    last_beacon_at: Millis,
    store_reachable: bool,
    misdirected: u32,
    /// Strays of nodes that it hears from: this node may not.
    misdirected_elsewhere: u32,
}

impl Peer {
    fn total_misdirected(&self) -> u32 {
        self.misdirected.saturating_add(self.misdirected_elsewhere)
    }
}

#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<String, Peer>,
    misdirected_workers: HashMap<String, Millis>,
    next_beacon_at: Millis,
    /// The leader asked this node to take over.
    pub preferred_until: Millis,
}

impl Peers {
    pub fn send_beacons(
        &mut self,
        now: Millis,
        names: &[String],
        store_reachable: bool,
        out: &mut Vec<Action>,
    ) {
        if now < self.next_beacon_at {
            return;
        }
        self.next_beacon_at = now.saturating_add(BEACON_INTERVAL_MS);
        self.misdirected_workers.retain(|_, at| now.saturating_since(*at) < MISDIRECTED_WINDOW_MS);
        let misdirected = self.misdirected_workers.len() as u32;
        for node in names {
            let others = self.live_peers(now).filter(|(name, _)| *name != node);
            let misdirected_elsewhere = others.map(|(_, peer)| peer.misdirected).sum();
            let message = PeerMessage::HealthStatus {
                kv_reachable: store_reachable,
                misrouted_workers: misdirected,
                misrouted_workers_elsewhere: misdirected_elsewhere,
            };
            out.push(Action::SendPeerMessage { controller: node.clone(), message });
        }
    }

    pub fn receive_beacon(
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

    /// A worker that should report to the leader reported here.
    pub fn record_misdirected(&mut self, now: Millis, machine: &str) {
        if self.misdirected_workers.len() < MAX_MISDIRECTED || self.misdirected_workers.contains_key(machine)
        {
            self.misdirected_workers.insert(machine.into(), now);
        }
    }

    /// This node leads now: workers that report here are not misdirected.
    pub fn clear_misdirected(&mut self) {
        self.misdirected_workers.clear();
    }

    fn live_peers(&self, now: Millis) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.saturating_since(peer.last_beacon_at) < PEER_TIMEOUT_MS)
    }

    /// Has this node said something lately?
    pub fn is_peer_live(&self, now: Millis, controller: &str) -> bool {
        self.live_peers(now).any(|(name, _)| name == controller)
    }

    /// Has any node said something lately?
    pub fn has_live_peer(&self, now: Millis) -> bool {
        self.live_peers(now).next().is_some()
    }

    /// Does another node reach the state service?
    pub fn any_peer_reaches_store(&self, now: Millis) -> bool {
        self.live_peers(now).any(|(_, peer)| peer.store_reachable)
    }

    /// The peer that knows of most workers turning up away from the leader, and of how many.
    /// Between two zones cut from each other that is the node that hears both.
    pub fn best_candidate(&self, now: Millis) -> Option<(String, u32)> {
        let candidates = self.live_peers(now).filter(|(_, peer)| peer.store_reachable);
        let best = candidates
            .max_by_key(|(name, peer)| (peer.total_misdirected(), std::cmp::Reverse((*name).clone())));
        best.map(|(name, peer)| (name.clone(), peer.total_misdirected()))
    }
}
