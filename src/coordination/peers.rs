//! What the other controllers say of themselves, and what follows from it:
//! is a node alone in its trouble, and who is better placed to lead?

use std::collections::HashMap;

use super::Output;
use crate::ids::Millis;
use crate::protocol::mesh::MeshMessage;

const BEAT_MS: u64 = 1000;
/// A beat older than that says nothing about now.
const FRESH_MS: u64 = 2_600;
/// Workers that turned up here within this time count as misdirected.
const MISDIRECTED_MS: u64 = 7_000;
/// Workers remembered at most.
const MOST_MISDIRECTED: usize = 4096;

#[derive(Debug)]
struct Peer {
    heard: Millis,
    state_ok: bool,
    misdirected: u32,
    /// Strays of nodes that it hears from: this node may not.
    misdirected_elsewhere: u32,
}

impl Peer {
    fn all_misdirected(&self) -> u32 {
        self.misdirected.saturating_add(self.misdirected_elsewhere)
    }
}

#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<String, Peer>,
    misdirected: HashMap<String, Millis>,
    next_beat: Millis,
    /// The leader asked this node to take over.
    pub favoured_until: Millis,
}

impl Peers {
    pub fn beat(&mut self, now: Millis, names: &[String], state_ok: bool, out: &mut Vec<Output>) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now.plus(BEAT_MS);
        self.misdirected.retain(|_, at| now.since(*at) < MISDIRECTED_MS);
        let misdirected = self.misdirected.len() as u32;
        for node in names {
            let others = self.fresh(now).filter(|(name, _)| *name != node);
            let misdirected_elsewhere = others.map(|(_, peer)| peer.misdirected).sum();
            let message = MeshMessage::Beat { state_ok, misdirected, misdirected_elsewhere };
            out.push(Output::Mesh { node: node.clone(), message });
        }
    }

    pub fn heard(
        &mut self,
        now: Millis,
        node: &str,
        state_ok: bool,
        misdirected: u32,
        misdirected_elsewhere: u32,
    ) {
        self.peers.insert(node.into(), Peer { heard: now, state_ok, misdirected, misdirected_elsewhere });
    }

    /// A worker that should report to the leader reported here.
    pub fn saw_misdirected(&mut self, now: Millis, machine: &str) {
        if self.misdirected.len() < MOST_MISDIRECTED || self.misdirected.contains_key(machine) {
            self.misdirected.insert(machine.into(), now);
        }
    }

    /// This node leads now: workers that report here are not misdirected.
    pub fn clear_misdirected(&mut self) {
        self.misdirected.clear();
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) < FRESH_MS)
    }

    /// Has this node said something lately?
    pub fn hears(&self, now: Millis, node: &str) -> bool {
        self.fresh(now).any(|(name, _)| name == node)
    }

    /// Has any node said something lately?
    pub fn any(&self, now: Millis) -> bool {
        self.fresh(now).next().is_some()
    }

    /// Does another node reach the state service?
    pub fn any_state_ok(&self, now: Millis) -> bool {
        self.fresh(now).any(|(_, peer)| peer.state_ok)
    }

    /// The peer that knows of most workers turning up away from the leader, and of how many.
    /// Between two zones cut from each other that is the node that hears both.
    pub fn best_placed(&self, now: Millis) -> Option<(String, u32)> {
        let able = self.fresh(now).filter(|(_, peer)| peer.state_ok);
        let best =
            able.max_by_key(|(name, peer)| (peer.all_misdirected(), std::cmp::Reverse((*name).clone())));
        best.map(|(name, peer)| (name.clone(), peer.all_misdirected()))
    }
}
