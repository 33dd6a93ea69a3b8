//! Connections between controllers. Each node opens one to each other for what it says.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::{ByKey, TransportContext};
use crate::coordination::Event;
use crate::ids::Millis;
use crate::protocol::peer::{MAX_FRAME_BYTES, PeerMessage, decode, encode};
use crate::settings::Settings;
use olivelatch_net::stream::{BufferedStream, StreamState};

/// A peer that takes nothing gets no more than this kept for it.
const MAX_PENDING_BYTES: usize = 256 * 1024;
const MAX_INCOMING: usize = 64;
const ERROR_LOG_INTERVAL_MS: u64 = 10_000;
const RECONNECT_DELAY_MS: u64 = 500;
/// A connection that does not stand by then is tried anew: one to a machine without power hangs for as long as that lasts,
/// and long after.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// A peer that said nothing for so long and calls again may be another process: what goes to the one before is lost.
const PEER_SILENT_MS: u64 = 3_000;

struct IncomingConnection {
    stream: BufferedStream,
    /// Known once it has said hello.
    controller: Option<String>,
    opened_at: Millis,
}

struct OutgoingConnection {
    stream: BufferedStream,
    controller: String,
    opened_at: Millis,
}

pub struct Mesh {
    own_name: String,
    addrs: HashMap<String, SocketAddr>,
    incoming: ByKey<IncomingConnection>,
    outgoing: ByKey<OutgoingConnection>,
    outgoing_by_controller: HashMap<String, usize>,
    last_attempts: HashMap<String, Millis>,
    last_error_logged_at: Millis,
    /// When each node last said anything.
    last_received: HashMap<String, Millis>,
    /// Frames that were not taken: garbage, strangers, what came over a connection that another has replaced.
    pub dropped: u64,
}

impl Mesh {
    pub fn new(settings: &Settings) -> Mesh {
        Mesh {
            own_name: settings.controller.clone(),
            addrs: settings.peers.iter().map(|other| (other.controller.clone(), other.addr)).collect(),
            incoming: HashMap::new(),
            outgoing: HashMap::new(),
            outgoing_by_controller: HashMap::new(),
            last_attempts: HashMap::new(),
            last_error_logged_at: Millis::default(),
            last_received: HashMap::new(),
            dropped: 0,
        }
    }

    pub fn accept(&mut self, context: &mut TransportContext, socket: TcpStream) {
        if self.incoming.len() >= MAX_INCOMING {
            self.count_and_log_drop(context, "too many mesh connections");
            // One that has not said who it is for longest gives way: whoever opens many and says nothing keeps nobody out.
            let unidentified = self.incoming.iter().filter(|(_, peer)| peer.controller.is_none());
            let Some(oldest) = unidentified.min_by_key(|(_, peer)| peer.opened_at).map(|(key, _)| *key)
            else {
                return;
            };
            self.close(oldest);
        }
        let key = context.allocate_key();
        if let Ok(stream) = BufferedStream::from_accepted(&context.poller, socket, key) {
            self.incoming
                .insert(key, IncomingConnection { stream, controller: None, opened_at: context.now() });
        }
    }

    /// A node calls. It has one connection: whatever came before is of a former process, or of one that gave it up, and
    /// late words on it are not taken. Two that replace each other settle, as the one that lives calls again.
    fn identify_peer(&mut self, context: &TransportContext, key: usize, controller: &str) {
        let now = context.now();
        let was_silent = self
            .last_received
            .insert(controller.into(), now)
            .is_none_or(|at| now.saturating_since(at) > PEER_SILENT_MS);
        let others = self
            .incoming
            .iter()
            .filter(|(other, peer)| **other != key && peer.controller.as_deref() == Some(controller));
        for other in others.map(|(other, _)| *other).collect::<Vec<usize>>() {
            self.dropped += 1;
            self.close(other);
        }
        if let Some(peer) = self.incoming.get_mut(&key) {
            peer.controller = Some(controller.into());
        }
        let ours = self.outgoing_by_controller.get(controller).copied();
        let old = |key: &usize| {
            self.outgoing.get(key).is_some_and(|peer| now.saturating_since(peer.opened_at) > PEER_SILENT_MS)
        };
        if let Some(ours) = ours.filter(|key| was_silent && old(key)) {
            self.close(ours);
            self.last_attempts.remove(controller);
        }
    }

    pub fn open_connections(&self) -> usize {
        self.incoming.len() + self.outgoing.len()
    }

    /// Garbage on the mesh is worth a line, but not a flood of them.
    fn count_and_log_drop(&mut self, context: &TransportContext, reason: &str) {
        self.dropped += 1;
        let now = context.now();
        if now.saturating_since(self.last_error_logged_at) >= ERROR_LOG_INTERVAL_MS {
            self.last_error_logged_at = now;
            log::error!("mesh: {reason}");
        }
    }

    pub fn send(&mut self, context: &mut TransportContext, controller: &str, message: &PeerMessage) {
        let is_stuck_connecting = |peer: &OutgoingConnection| {
            peer.stream.connecting && context.now().saturating_since(peer.opened_at) > CONNECT_TIMEOUT_MS
        };
        if let Some(key) = self.outgoing_by_controller.get(controller).copied()
            && self.outgoing.get(&key).is_some_and(is_stuck_connecting)
        {
            self.close(key);
        }
        let Some(key) = self
            .outgoing_by_controller
            .get(controller)
            .copied()
            .or_else(|| self.connect(context, controller))
        else {
            return;
        };
        let Some(peer) = self.outgoing.get_mut(&key) else {
            return;
        };
        if peer.stream.pending_output() > MAX_PENDING_BYTES {
            self.close(key);
            return;
        }
        peer.stream.queue(&encode(message));
        if !peer.stream.connecting {
            self.flush(key);
        }
    }

    fn connect(&mut self, context: &mut TransportContext, controller: &str) -> Option<usize> {
        let addr = *self.addrs.get(controller)?;
        let now = context.now();
        if self.last_attempts.get(controller).is_some_and(|at| now.saturating_since(*at) < RECONNECT_DELAY_MS)
        {
            return None;
        }
        self.last_attempts.insert(controller.into(), now);
        let key = context.allocate_key();
        let mut stream = BufferedStream::connect(&context.poller, addr, key).ok()?;
        stream.queue(&encode(&PeerMessage::Hello { controller: self.own_name.clone() }));
        self.outgoing
            .insert(key, OutgoingConnection { stream, controller: controller.into(), opened_at: now });
        self.outgoing_by_controller.insert(controller.into(), key);
        Some(key)
    }

    fn flush(&mut self, key: usize) {
        let Some(peer) = self.outgoing.get_mut(&key) else {
            return;
        };
        if peer.stream.flush() == StreamState::Closed || peer.stream.rearm(true) == StreamState::Closed {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(peer) = self.outgoing.remove(&key) {
            self.outgoing_by_controller.remove(&peer.controller);
        }
        self.incoming.remove(&key);
    }

    pub fn handle_socket_event(&mut self, context: &mut TransportContext, key: usize) {
        if let Some(peer) = self.outgoing.get_mut(&key) {
            // Nothing is ever said on this side; reading only shows that the peer has gone.
            let peer_closed = !peer.stream.connecting && peer.stream.read_available(1) == StreamState::Closed;
            if peer_closed || !peer.stream.input.is_empty() {
                self.close(key);
            } else {
                self.flush(key);
            }
            return;
        }
        let Some(peer) = self.incoming.get_mut(&key) else {
            return;
        };
        let read = peer.stream.read_available(MAX_FRAME_BYTES + 4);
        let trusted = self.read_frames(context, key);
        let Some(peer) = self.incoming.get_mut(&key) else {
            return;
        };
        if !trusted || read == StreamState::Closed || peer.stream.rearm(true) == StreamState::Closed {
            self.close(key);
        }
    }

    /// Takes whole frames; false if the peer cannot be trusted with any more.
    fn read_frames(&mut self, context: &mut TransportContext, key: usize) -> bool {
        loop {
            let Some(peer) = self.incoming.get_mut(&key) else {
                return false;
            };
            let input = &peer.stream.input;
            let Some(length) = input.first_chunk::<4>().map(|bytes| u32::from_le_bytes(*bytes) as usize)
            else {
                return true;
            };
            if length > MAX_FRAME_BYTES {
                self.count_and_log_drop(context, "a frame is too long");
                return false;
            }
            let Some(message) = input.get(4..4 + length).map(decode) else {
                return true;
            };
            peer.stream.consume_input(4 + length);
            let problem = match (message, &peer.controller) {
                (Some(PeerMessage::Hello { controller: node }), None) if self.addrs.contains_key(&node) => {
                    self.identify_peer(context, key, &node);
                    continue;
                }
                // A second hello of one connection is a copy.
                (Some(PeerMessage::Hello { .. }), Some(_)) => {
                    self.dropped += 1;
                    continue;
                }
                (Some(message), Some(node)) => {
                    self.last_received.insert(node.clone(), context.now());
                    context.pending_events.push_back(Event::Peer { controller: node.clone(), message });
                    continue;
                }
                (Some(_), None) => "a node that is not in the settings",
                (None, _) => "a message that does not validate",
            };
            self.count_and_log_drop(context, problem);
            return false;
        }
    }
}
