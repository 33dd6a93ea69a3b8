//! Connections between controllers. Each node opens one to each other for what it says.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::{Common, Keyed};
use crate::coordination::Input;
use crate::ids::Millis;
use crate::protocol::mesh::{LARGEST_FRAME, MeshMessage, decode, encode};
use crate::settings::Settings;
use olivelatch_net::stream::{Flow, Stream};

/// A peer that takes nothing gets no more than this kept for it.
const MOST_PENDING: usize = 256 * 1024;
const MOST_INCOMING: usize = 64;
const COMPLAIN_EVERY_MS: u64 = 10_000;
const RECONNECT_MS: u64 = 500;
/// A connection that does not stand by then is tried anew: one to a machine without power hangs for as long as that lasts,
/// and long after.
const CONNECT_MS: u64 = 2_000;
/// A peer that said nothing for so long and calls again may be another process: what goes to the one before is lost.
const BREAK_MS: u64 = 3_000;

struct Incoming {
    stream: Stream,
    /// Known once it has said hello.
    node: Option<String>,
    since: Millis,
}

struct Outgoing {
    stream: Stream,
    node: String,
    since: Millis,
}

pub struct Mesh {
    own: String,
    addrs: HashMap<String, SocketAddr>,
    incoming: Keyed<Incoming>,
    outgoing: Keyed<Outgoing>,
    by_node: HashMap<String, usize>,
    tried: HashMap<String, Millis>,
    complained: Millis,
    /// When each node last said anything.
    heard: HashMap<String, Millis>,
    /// Frames that were not taken: garbage, strangers, what came over a connection that another has replaced.
    pub dropped: u64,
}

impl Mesh {
    pub fn new(settings: &Settings) -> Mesh {
        Mesh {
            own: settings.node.clone(),
            addrs: settings.others.iter().map(|other| (other.node.clone(), other.addr)).collect(),
            incoming: HashMap::new(),
            outgoing: HashMap::new(),
            by_node: HashMap::new(),
            tried: HashMap::new(),
            complained: Millis::default(),
            heard: HashMap::new(),
            dropped: 0,
        }
    }

    pub fn accept(&mut self, common: &mut Common, socket: TcpStream) {
        if self.incoming.len() >= MOST_INCOMING {
            self.complain(common, "too many mesh connections");
            // One that has not said who it is for longest gives way: whoever opens many and says nothing keeps nobody out.
            let nameless = self.incoming.iter().filter(|(_, peer)| peer.node.is_none());
            let Some(oldest) = nameless.min_by_key(|(_, peer)| peer.since).map(|(key, _)| *key) else {
                return;
            };
            self.close(oldest);
        }
        let key = common.key();
        if let Ok(stream) = Stream::accepted(&common.gate, socket, key) {
            self.incoming.insert(key, Incoming { stream, node: None, since: common.now() });
        }
    }

    /// A node calls. It has one connection: whatever came before is of a former process, or of one that gave it up, and
    /// late words on it are not taken. Two that replace each other settle, as the one that lives calls again.
    fn named(&mut self, common: &Common, key: usize, node: &str) {
        let now = common.now();
        let quiet = self.heard.insert(node.into(), now).is_none_or(|at| now.since(at) > BREAK_MS);
        let others =
            self.incoming.iter().filter(|(other, peer)| **other != key && peer.node.as_deref() == Some(node));
        for other in others.map(|(other, _)| *other).collect::<Vec<usize>>() {
            self.dropped += 1;
            self.close(other);
        }
        if let Some(peer) = self.incoming.get_mut(&key) {
            peer.node = Some(node.into());
        }
        let ours = self.by_node.get(node).copied();
        let old = |key: &usize| self.outgoing.get(key).is_some_and(|peer| now.since(peer.since) > BREAK_MS);
        if let Some(ours) = ours.filter(|key| quiet && old(key)) {
            self.close(ours);
            self.tried.remove(node);
        }
    }

    pub fn count_open(&self) -> usize {
        self.incoming.len() + self.outgoing.len()
    }

    /// Garbage on the mesh is worth a line, but not a flood of them.
    fn complain(&mut self, common: &Common, what: &str) {
        self.dropped += 1;
        let now = common.now();
        if now.since(self.complained) >= COMPLAIN_EVERY_MS {
            self.complained = now;
            log::error!("mesh: {what}");
        }
    }

    pub fn send(&mut self, common: &mut Common, node: &str, message: &MeshMessage) {
        let hangs = |peer: &Outgoing| peer.stream.connecting && common.now().since(peer.since) > CONNECT_MS;
        if let Some(key) = self.by_node.get(node).copied()
            && self.outgoing.get(&key).is_some_and(hangs)
        {
            self.close(key);
        }
        let Some(key) = self.by_node.get(node).copied().or_else(|| self.connect(common, node)) else {
            return;
        };
        let Some(peer) = self.outgoing.get_mut(&key) else {
            return;
        };
        if peer.stream.pending() > MOST_PENDING {
            self.close(key);
            return;
        }
        peer.stream.queue(&encode(message));
        if !peer.stream.connecting {
            self.push(key);
        }
    }

    fn connect(&mut self, common: &mut Common, node: &str) -> Option<usize> {
        let addr = *self.addrs.get(node)?;
        let now = common.now();
        if self.tried.get(node).is_some_and(|at| now.since(*at) < RECONNECT_MS) {
            return None;
        }
        self.tried.insert(node.into(), now);
        let key = common.key();
        let mut stream = Stream::connect(&common.gate, addr, key).ok()?;
        stream.queue(&encode(&MeshMessage::Hello { node: self.own.clone() }));
        self.outgoing.insert(key, Outgoing { stream, node: node.into(), since: now });
        self.by_node.insert(node.into(), key);
        Some(key)
    }

    fn push(&mut self, key: usize) {
        let Some(peer) = self.outgoing.get_mut(&key) else {
            return;
        };
        if peer.stream.flush() == Flow::Closed || peer.stream.rearm(true) == Flow::Closed {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(peer) = self.outgoing.remove(&key) {
            self.by_node.remove(&peer.node);
        }
        self.incoming.remove(&key);
    }

    pub fn event(&mut self, common: &mut Common, key: usize) {
        if let Some(peer) = self.outgoing.get_mut(&key) {
            // Nothing is ever said on this side; reading only shows that the peer has gone.
            let gone = !peer.stream.connecting && peer.stream.fill(1) == Flow::Closed;
            if gone || !peer.stream.input.is_empty() {
                self.close(key);
            } else {
                self.push(key);
            }
            return;
        }
        let Some(peer) = self.incoming.get_mut(&key) else {
            return;
        };
        let read = peer.stream.fill(LARGEST_FRAME + 4);
        let fine = self.frames(common, key);
        let Some(peer) = self.incoming.get_mut(&key) else {
            return;
        };
        if !fine || read == Flow::Closed || peer.stream.rearm(true) == Flow::Closed {
            self.close(key);
        }
    }

    /// Takes whole frames; false if the peer cannot be trusted with any more.
    fn frames(&mut self, common: &mut Common, key: usize) -> bool {
        loop {
            let Some(peer) = self.incoming.get_mut(&key) else {
                return false;
            };
            let input = &peer.stream.input;
            let Some(length) = input.first_chunk::<4>().map(|bytes| u32::from_le_bytes(*bytes) as usize)
            else {
                return true;
            };
            if length > LARGEST_FRAME {
                self.complain(common, "a frame is too long");
                return false;
            }
            let Some(message) = input.get(4..4 + length).map(decode) else {
                return true;
            };
            peer.stream.take_input(4 + length);
            let problem = match (message, &peer.node) {
                (Some(MeshMessage::Hello { node }), None) if self.addrs.contains_key(&node) => {
                    self.named(common, key, &node);
                    continue;
                }
                // A second hello of one connection is a copy.
                (Some(MeshMessage::Hello { .. }), Some(_)) => {
                    self.dropped += 1;
                    continue;
                }
                (Some(message), Some(node)) => {
                    self.heard.insert(node.clone(), common.now());
                    common.inputs.push_back(Input::Mesh { node: node.clone(), message });
                    continue;
                }
                (Some(_), None) => "a node that is not in the settings",
                (None, _) => "a message that does not validate",
            };
            self.complain(common, problem);
            return false;
        }
    }
}
