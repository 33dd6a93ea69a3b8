//! Connections between controllers: each opens one to every other, over which it sends and never receives.
//!
//! It owns these connections. Messages are dropped rather than queued without bound: the peers repeat what matters.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::context::{ByKey, TransportContext};
use crate::coordination::Event;
use crate::ids::Millis;
use crate::protocol::peer::{FRAME_HEADER_BYTES, MAX_FRAME_BYTES, PeerMessage, decode, encode};
use crate::settings::Settings;
use olivelatch_net::stream::{BufferedStream, StreamState};

/// Most output that is buffered for a peer; the connection to one that reads more slowly is closed.
const MAX_PENDING_BYTES: usize = 256 * 1024;
/// Most connections that other controllers may have open.
const MAX_INCOMING: usize = 64;
/// Shortest time between two log lines about rejected messages.
const ERROR_LOG_INTERVAL_MS: u64 = 10_000;
/// Shortest time between two attempts to connect to a peer.
const RECONNECT_DELAY_MS: u64 = 500;
/// A connection that is not established by then is tried again: one to a machine without power hangs for as long as that
/// lasts, and long after.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// A peer that sent nothing for so long and connects again may be another process: our connection to the former one is
/// replaced.
const PEER_SILENT_MS: u64 = 3_000;

/// A connection over which a peer sends.
struct IncomingConnection {
    stream: BufferedStream,
    /// Known once the hello has arrived.
    controller: Option<String>,
    opened_at: Millis,
}

/// A connection over which we send.
struct OutgoingConnection {
    stream: BufferedStream,
    controller: String,
    opened_at: Millis,
}

/// The connections to and from all other controllers.
pub(super) struct Mesh {
    own_name: String,
    addrs: HashMap<String, SocketAddr>,
    incoming: ByKey<IncomingConnection>,
    outgoing: ByKey<OutgoingConnection>,
    outgoing_by_controller: HashMap<String, usize>,
    /// When we last tried to connect to each peer.
    last_attempts: HashMap<String, Millis>,
    last_error_logged_at: Millis,
    /// When each peer last sent a message.
    last_received: HashMap<String, Millis>,
    /// Messages and connections that were rejected: garbage, unknown peers, connections that newer ones replaced.
    pub(super) dropped: u64,
}

impl Mesh {
    /// A mesh without connections, to the peers of the settings.
    pub(super) fn new(settings: &Settings) -> Mesh {
        Mesh {
            own_name: settings.controller.clone(),
            addrs: settings.peers.iter().map(|peer| (peer.controller.clone(), peer.addr)).collect(),
            incoming: HashMap::new(),
            outgoing: HashMap::new(),
            outgoing_by_controller: HashMap::new(),
            last_attempts: HashMap::new(),
            last_error_logged_at: Millis::default(),
            last_received: HashMap::new(),
            dropped: 0,
        }
    }

    /// Takes a connection that a peer has opened.
    pub(super) fn accept(&mut self, context: &mut TransportContext, socket: TcpStream) {
        if self.incoming.len() >= MAX_INCOMING {
            self.count_and_log_drop(context, "too many mesh connections");
            // The oldest one that is not identified gives way, so that opening many of them keeps no peer out.
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

    /// A peer has sent its hello. It has one connection: an earlier one belongs to a former process or was given up, and
    /// late messages on it are dropped. Two that replace each other settle, as the live one connects again.
    fn identify_peer(&mut self, context: &TransportContext, key: usize, controller: &str) {
        let now = context.now();
        let last_received = self.last_received.insert(controller.into(), now);
        let was_silent = last_received.is_none_or(|last| now.saturating_since(last) > PEER_SILENT_MS);
        self.close_other_incoming(key, controller);
        if let Some(peer) = self.incoming.get_mut(&key) {
            peer.controller = Some(controller.into());
        }
        if was_silent {
            self.close_old_outgoing(now, controller);
        }
    }

    fn close_other_incoming(&mut self, key: usize, controller: &str) {
        let is_same_peer = |other: &usize, peer: &IncomingConnection| {
            *other != key && peer.controller.as_deref() == Some(controller)
        };
        let others: Vec<usize> = self
            .incoming
            .iter()
            .filter(|(other, peer)| is_same_peer(other, peer))
            .map(|(other, _)| *other)
            .collect();
        for other in others {
            self.dropped += 1;
            self.close(other);
        }
    }

    fn close_old_outgoing(&mut self, now: Millis, controller: &str) {
        let is_old = |key: &usize| {
            self.outgoing.get(key).is_some_and(|peer| now.saturating_since(peer.opened_at) > PEER_SILENT_MS)
        };
        let outgoing = self.outgoing_by_controller.get(controller).copied();
        if let Some(key) = outgoing.filter(is_old) {
            self.close(key);
            self.last_attempts.remove(controller);
        }
    }

    /// Number of connections, in both directions.
    pub(super) fn open_connections(&self) -> usize {
        self.incoming.len() + self.outgoing.len()
    }

    /// Counts what was rejected, and logs it unless something was logged recently.
    fn count_and_log_drop(&mut self, context: &TransportContext, reason: &str) {
        self.dropped += 1;
        let now = context.now();
        if now.saturating_since(self.last_error_logged_at) >= ERROR_LOG_INTERVAL_MS {
            self.last_error_logged_at = now;
            log::error!("mesh: {reason}");
        }
    }

    /// Sends a message, over a new connection if necessary. It is lost if there can be none.
    pub(super) fn send(&mut self, context: &mut TransportContext, controller: &str, message: &PeerMessage) {
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
        if self
            .last_attempts
            .get(controller)
            .is_some_and(|last| now.saturating_since(*last) < RECONNECT_DELAY_MS)
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

    /// Writes to or reads from a connection; messages become events.
    pub(super) fn handle_socket_event(&mut self, context: &mut TransportContext, key: usize) {
        if let Some(peer) = self.outgoing.get_mut(&key) {
            // The peer never sends on this connection; reading only shows that it has closed it.
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
        let read = peer.stream.read_available(FRAME_HEADER_BYTES + MAX_FRAME_BYTES);
        let is_valid = self.read_frames(context, key);
        let Some(peer) = self.incoming.get_mut(&key) else {
            return;
        };
        if !is_valid || read == StreamState::Closed || peer.stream.rearm(true) == StreamState::Closed {
            self.close(key);
        }
    }

    /// Handles complete frames; false if the connection is to be closed.
    fn read_frames(&mut self, context: &mut TransportContext, key: usize) -> bool {
        loop {
            let Some(peer) = self.incoming.get_mut(&key) else {
                return false;
            };
            let input = &peer.stream.input;
            let Some(length) =
                input.first_chunk::<FRAME_HEADER_BYTES>().map(|bytes| u32::from_le_bytes(*bytes) as usize)
            else {
                return true;
            };
            if length > MAX_FRAME_BYTES {
                self.count_and_log_drop(context, "a frame is too long");
                return false;
            }
            let Some(message) = input.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length).map(decode) else {
                return true;
            };
            peer.stream.consume_input(FRAME_HEADER_BYTES + length);
            let sender = peer.controller.clone();
            if let Err(reason) = self.receive_message(context, key, sender, message) {
                self.count_and_log_drop(context, reason);
                return false;
            }
        }
    }

    /// Handles a frame's message; the error says why the connection is to be closed.
    fn receive_message(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        sender: Option<String>,
        message: Option<PeerMessage>,
    ) -> Result<(), &'static str> {
        match (message, sender) {
            (Some(PeerMessage::Hello { controller }), None) if self.addrs.contains_key(&controller) => {
                self.identify_peer(context, key, &controller);
            }
            // A second hello on one connection is a duplicate.
            (Some(PeerMessage::Hello { .. }), Some(_)) => self.dropped += 1,
            (Some(message), Some(controller)) => {
                self.last_received.insert(controller.clone(), context.now());
                context.pending_events.push_back(Event::Peer { controller, message });
            }
            (Some(_), None) => return Err("a controller that is not in the settings"),
            (None, _) => return Err("a message that does not validate"),
        }
        Ok(())
    }
}
