//! Connections between controllers. Each controller opens one connection to every other one and only sends over it;
//! it receives over the connections that the others open.
//!
//! This module owns these connections. Messages are dropped rather than queued without bound, since peers repeat the
//! messages that matter.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};

use super::context::{ByKey, TransportContext};
use crate::coordination::Event;
use crate::ids::Millis;
use crate::protocol::peer::{FRAME_HEADER_BYTES, MAX_FRAME_BYTES, PeerMessage, decode, encode};
use crate::settings::Settings;
use olivelatch_net::stream::{BufferedStream, StreamState};

/// Maximum output that is buffered for a peer. The connection is closed when a slow peer exceeds it.
const MAX_PENDING_BYTES: usize = 256 * 1024;
/// Maximum number of connections that other controllers may have open.
const MAX_INCOMING: usize = 64;
/// Minimum time between two log lines about dropped messages.
const ERROR_LOG_INTERVAL_MS: u64 = 10_000;
/// Minimum time between two attempts to connect to a peer.
const RECONNECT_DELAY_MS: u64 = 500;
/// A connection attempt that takes longer is abandoned and repeated. Otherwise an attempt to reach a machine that is
/// powered off would hang until long after the machine is back.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// A peer that connects again after sending nothing for this time may have restarted, so the connection to its former
/// process is replaced.
const PEER_SILENT_MS: u64 = 3_000;

/// A connection opened by a peer, over which the peer sends.
struct IncomingConnection {
    stream: BufferedStream,
    /// Name of the peer; `None` until its hello has arrived.
    controller: Option<String>,
    opened_at: Millis,
}

/// A connection to a peer, over which this controller sends.
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
    /// Time of the last attempt to connect to each peer.
    last_attempts: HashMap<String, Millis>,
    last_error_logged_at: Millis,
    /// Time when the last message of each peer arrived.
    last_received: HashMap<String, Millis>,
    /// Number of messages and connections dropped: invalid, duplicate or from an unknown peer, above the connection
    /// limit, or replaced by a newer connection.
    pub(super) dropped: u64,
}

impl Mesh {
    /// Creates a mesh with the peers in the settings, without any connection yet.
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

    /// Registers a connection that was accepted on the mesh address.
    pub(super) fn accept(&mut self, context: &mut TransportContext, socket: TcpStream) {
        if self.incoming.len() >= MAX_INCOMING {
            self.count_and_log_drop(
                context,
                "incoming connection limit reached; dropping an unidentified connection",
            );
            // Closes the oldest unidentified connection, so that a flood of connections cannot lock out a peer.
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

    /// Handles the hello of a peer. Each peer has one incoming connection: an earlier one belongs to a former process
    /// or was abandoned by the peer, so it is closed and its remaining messages are dropped. Two processes of a peer
    /// may replace each other's connection; this ends with a connection of the live process, since it connects again.
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
        let is_superseded = |other: &usize, peer: &IncomingConnection| {
            *other != key && peer.controller.as_deref() == Some(controller)
        };
        let superseded: Vec<usize> = self
            .incoming
            .iter()
            .filter(|(other, peer)| is_superseded(other, peer))
            .map(|(other, _)| *other)
            .collect();
        for other in superseded {
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

    /// Returns the number of connections in both directions.
    pub(super) fn open_connections(&self) -> usize {
        self.incoming.len() + self.outgoing.len()
    }

    /// Counts a dropped message or connection, and logs the reason unless another one was logged recently.
    fn count_and_log_drop(&mut self, context: &TransportContext, reason: &str) {
        self.dropped += 1;
        let now = context.now();
        if now.saturating_since(self.last_error_logged_at) >= ERROR_LOG_INTERVAL_MS {
            self.last_error_logged_at = now;
            log::error!("mesh: {reason}");
        }
    }

    /// Sends a message, opening a connection if there is none. The message is lost if none can be opened.
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

    /// Writes to or reads from a connection. Messages received become events.
    pub(super) fn handle_socket_event(&mut self, context: &mut TransportContext, key: usize) {
        if let Some(peer) = self.outgoing.get_mut(&key) {
            // The peer never sends over this connection; reading only detects that the peer has closed it.
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

    /// Handles all complete frames in the input buffer. Returns false if the connection must be closed.
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
                self.count_and_log_drop(context, "frame exceeds the size limit; closing the connection");
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

    /// Handles the message of one frame. An error is the reason why the connection must be closed.
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
            // A repeated hello on an identified connection is counted and ignored.
            (Some(PeerMessage::Hello { .. }), Some(_)) => self.dropped += 1,
            (Some(message), Some(controller)) => {
                self.last_received.insert(controller.clone(), context.now());
                context.pending_events.push_back(Event::Peer { controller, message });
            }
            (Some(_), None) => {
                return Err("sender is not a controller in the settings; closing the connection");
            }
            (None, _) => return Err("message is invalid; closing the connection"),
        }
        Ok(())
    }
}
