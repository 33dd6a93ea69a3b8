//! An HTTP server on `polling`. It returns requests to the caller, which passes back the responses; it neither waits
//! nor reads a clock.
//!
//! It is meant for programs that serve a few hundred connections, such as the local cluster. The controller has its own
//! server (`src/transport/servers.rs`) with memory budgets for small machines.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use polling::Event;

use crate::http::{JSON_CONTENT_TYPE, MAX_BODY_BYTES, Parsed, Request, parse_request, write_response};
use crate::poller::{EventPoller, KeyAllocator, Registration};
use crate::stream::{BufferedStream, StreamState};

/// Maximum number of open connections; further ones are closed as soon as they are accepted.
const MAX_CONNECTIONS: usize = 4_000;
/// Maximum size of a buffered request.
const MAX_INPUT_BYTES: usize = MAX_BODY_BYTES + 32 * 1024;
/// A connection with more unsent response data than this is closed.
const MAX_OUTPUT_BYTES: usize = 16 * 1024 * 1024;
/// A connection without socket events for longer than this is closed, unless a request is waiting for its response.
const IDLE_TIMEOUT_MS: u64 = 120_000;

/// Identifies one of the server's listeners; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ListenerId(pub usize);

/// Identifies the connection of a request that is waiting for its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(usize);

/// A received request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The connection to which the response must be sent.
    pub connection: ConnectionId,
    /// The listener that accepted the connection.
    pub listener: ListenerId,
    /// The parsed request.
    pub request: Request,
}

struct Connection {
    stream: BufferedStream,
    listener: ListenerId,
    /// A request is waiting for its response. Later requests stay in the input buffer.
    request_in_flight: bool,
    /// The connection stays open after the response.
    keep_alive: bool,
    /// Time of the last socket event, in milliseconds of the caller's clock.
    last_active_ms: u64,
}

/// An HTTP server with its listeners and their connections.
pub struct HttpServer {
    poller: Arc<EventPoller>,
    listeners: HashMap<usize, (Registration<TcpListener>, ListenerId)>,
    connections: HashMap<usize, Connection>,
}

impl HttpServer {
    /// Creates a server without listeners.
    pub fn new(poller: &Arc<EventPoller>) -> HttpServer {
        HttpServer { poller: poller.clone(), listeners: HashMap::new(), connections: HashMap::new() }
    }

    /// Listens on an address and returns it with the actual port; port 0 selects a free one.
    ///
    /// # Errors
    /// Returns an error if listening on the address fails.
    pub fn listen(
        &mut self,
        keys: &mut KeyAllocator,
        addr: SocketAddr,
        listener_id: ListenerId,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let key = keys.next_key();
        let registration = Registration::new(&self.poller, listener, Event::readable(key))?;
        self.listeners.insert(key, (registration, listener_id));
        Ok(addr)
    }

    /// Closes a listener and all its connections.
    pub fn close_listener(&mut self, listener: ListenerId) {
        self.listeners.retain(|_, (_, other)| *other != listener);
        self.connections.retain(|_, connection| connection.listener != listener);
    }

    /// Returns whether events with this key must be passed to [`HttpServer::handle_event`].
    pub fn owns_key(&self, key: usize) -> bool {
        self.listeners.contains_key(&key) || self.connections.contains_key(&key)
    }

    /// Handles an event, and returns the connection's next request if it is complete. Each connection has at most one
    /// request waiting for its response.
    pub fn handle_event(
        &mut self,
        keys: &mut KeyAllocator,
        key: usize,
        now_ms: u64,
    ) -> Option<IncomingRequest> {
        if self.listeners.contains_key(&key) {
            self.accept(keys, key, now_ms);
            return None;
        }
        let connection = self.connections.get_mut(&key)?;
        connection.last_active_ms = now_ms;
        let read = connection.stream.read_available(MAX_INPUT_BYTES);
        if read == StreamState::Closed {
            connection.keep_alive = false;
            if !connection.request_in_flight && connection.stream.pending_output() == 0 {
                self.connections.remove(&key);
                return None;
            }
        }
        self.next_request(key)
    }

    fn accept(&mut self, keys: &mut KeyAllocator, key: usize, now_ms: u64) {
        let Some((registration, listener)) = self.listeners.get(&key) else { return };
        while let Ok((socket, _)) = registration.source().accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                continue;
            }
            let key = keys.next_key();
            if let Ok(stream) = BufferedStream::from_accepted(&self.poller, socket, key) {
                let connection = Connection {
                    stream,
                    listener: *listener,
                    request_in_flight: false,
                    keep_alive: true,
                    last_active_ms: now_ms,
                };
                self.connections.insert(key, connection);
            }
        }
        // If this fails, the listener accepts no further connections, which clients notice.
        let _ = registration.set_interest(true, false);
    }

    fn next_request(&mut self, key: usize) -> Option<IncomingRequest> {
        let connection = self.connections.get_mut(&key)?;
        let parsed = if connection.request_in_flight {
            Parsed::Partial
        } else {
            parse_request(&connection.stream.input)
        };
        match parsed {
            Parsed::Complete(request, consumed) => {
                connection.stream.consume_input(consumed);
                connection.request_in_flight = true;
                connection.keep_alive &= request.keep_alive;
                let listener = connection.listener;
                self.flush_output(key);
                Some(IncomingRequest { connection: ConnectionId(key), listener, request })
            }
            Parsed::Partial => {
                self.flush_output(key);
                None
            }
            Parsed::Malformed | Parsed::TooLong => {
                connection.request_in_flight = true;
                connection.keep_alive = false;
                self.respond(ConnectionId(key), 400, br#"{"error":"malformed request"}"#);
                None
            }
        }
    }

    /// Sends the response to a request. Returns the connection's next request if it is already complete.
    pub fn respond(&mut self, id: ConnectionId, status: u16, body: &[u8]) -> Option<IncomingRequest> {
        let connection = self.connections.get_mut(&id.0)?;
        let mut bytes = Vec::with_capacity(body.len() + 200);
        write_response(&mut bytes, status, JSON_CONTENT_TYPE, None, body, connection.keep_alive);
        connection.stream.queue(&bytes);
        connection.request_in_flight = false;
        if connection.keep_alive {
            self.next_request(id.0)
        } else {
            self.flush_output(id.0);
            None
        }
    }

    fn flush_output(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let mut state = connection.stream.flush();
        let pending = connection.stream.pending_output();
        if pending > MAX_OUTPUT_BYTES
            || (pending == 0 && !connection.request_in_flight && !connection.keep_alive)
        {
            state = StreamState::Closed;
        }
        if state == StreamState::Open {
            state = connection
                .stream
                .rearm(!connection.request_in_flight && connection.stream.input.len() < MAX_INPUT_BYTES);
        }
        if state == StreamState::Closed {
            self.connections.remove(&key);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&mut self, now_ms: u64) {
        self.connections.retain(|_, connection| {
            connection.request_in_flight || now_ms.saturating_sub(connection.last_active_ms) < IDLE_TIMEOUT_MS
        });
    }
}
