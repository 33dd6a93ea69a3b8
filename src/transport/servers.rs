//! Connections of users, workers, operators and health checks.
//!
//! This module owns these connections and the requests that wait for a response. The number of connections and the
//! total memory of their buffers are bounded. Heartbeats have an additional memory budget.

use std::collections::HashMap;
use std::net::TcpStream;

use super::context::{ByKey, TransportContext};
use super::router::{EnabledApis, Route, route};
use super::server_connection::{MAX_INPUT_BYTES, NextRequest, ServerConnection};
use crate::coordination::{Event, InboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use olivelatch_net::http::Request;
use olivelatch_net::stream::{BufferedStream, StreamState};

/// A connection whose request stays incomplete for longer than this is closed.
const PARTIAL_REQUEST_TIMEOUT_MS: u64 = 10_000;
/// A connection without a request for longer than this is closed.
const IDLE_TIMEOUT_MS: u64 = 120_000;
/// Time between two scans for connections to close.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;
/// A connection with more unread response data than this is closed.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;
/// Limit of a connection's buffer, in each direction, while all buffers together exceed their budget. Requests within
/// this limit are served as usual.
const SCARCE_BUFFER_BYTES: usize = 4 * 1024;
/// Fraction of the controller's memory available to the buffers. Heartbeats may use the same amount in addition, so
/// that a flood of user requests does not make workers' leases expire.
const BUFFER_MEMORY_SHARE: f64 = 0.25;

/// The controller's readiness and the interfaces that it serves.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointState {
    /// Whether the health check responds with success.
    pub(super) ready: bool,
    pub(super) enabled_apis: EnabledApis,
}

/// All open connections accepted on the HTTP address.
pub(super) struct ServerConnections {
    connections: ByKey<ServerConnection>,
    /// Keys of the connections whose requests wait for the controller's response.
    pending_requests: HashMap<InboundId, usize>,
    /// Id of the last request passed to the controller.
    last_inbound: u64,
    max_connections: usize,
    idle_checked_at: Millis,
    /// Total memory of all buffers, in bytes.
    buffered_bytes: usize,
    /// Budget for `buffered_bytes`; buffers of single connections are limited while it is exceeded.
    buffer_budget: usize,
}

impl ServerConnections {
    /// Allows at most `max_connections` in a controller with `memory_mb` megabytes of memory.
    pub(super) fn new(max_connections: usize, memory_mb: f64) -> ServerConnections {
        ServerConnections {
            connections: HashMap::new(),
            pending_requests: HashMap::new(),
            last_inbound: 0,
            max_connections,
            idle_checked_at: Millis::default(),
            buffered_bytes: 0,
            buffer_budget: (memory_mb * 1024.0 * 1024.0 * BUFFER_MEMORY_SHARE) as usize,
        }
    }

    /// Returns whether the key belongs to one of these connections.
    pub(super) fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Returns whether the last request on the connection was a heartbeat.
    pub(super) fn is_worker(&self, key: usize) -> bool {
        self.connections.get(&key).is_some_and(|server| server.is_worker)
    }

    /// Registers an accepted connection. At the connection limit, the one that has been idle longest is closed first.
    pub(super) fn accept(&mut self, context: &mut TransportContext, socket: TcpStream) {
        if self.connections.len() >= self.max_connections {
            self.close_longest_idle();
        }
        let key = context.allocate_key();
        if let Ok(stream) = BufferedStream::from_accepted(&context.poller, socket, key) {
            self.connections.insert(key, ServerConnection::new(stream, context.now()));
        }
    }

    /// Closes the connection that has been idle longest, so that slow or idle clients do not keep others out.
    /// Connections without a pending request are closed first.
    fn close_longest_idle(&mut self) {
        let longest_idle =
            self.connections.iter().min_by_key(|(_, server)| (server.inbound.is_some(), server.last_active));
        if let Some(key) = longest_idle.map(|(key, _)| *key) {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(server) = self.connections.remove(&key) {
            self.buffered_bytes -= server.buffered_bytes;
            if let Some(inbound) = server.inbound {
                self.pending_requests.remove(&inbound);
            }
        }
    }

    /// Updates the memory accounting for one connection. Each buffer is bounded, but all of them together could exceed
    /// the controller's memory.
    fn update_buffered_bytes(&mut self, key: usize) {
        if let Some(server) = self.connections.get_mut(&key) {
            let capacity = server.stream.buffer_capacity();
            self.buffered_bytes = self.buffered_bytes - server.buffered_bytes + capacity;
            server.buffered_bytes = capacity;
        }
    }

    fn is_memory_scarce(&self) -> bool {
        self.buffered_bytes > self.buffer_budget
    }

    /// Returns how many bytes of a request the connection may currently buffer.
    fn max_input_bytes(&self, key: usize) -> usize {
        if !self.is_memory_scarce() {
            return MAX_INPUT_BYTES;
        }
        let is_within_reserve = self.buffered_bytes <= 2 * self.buffer_budget;
        let is_heartbeat = self.connections.get(&key).is_some_and(ServerConnection::is_sending_heartbeat);
        if is_within_reserve && is_heartbeat { MAX_INPUT_BYTES } else { SCARCE_BUFFER_BYTES }
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> u64 {
        self.connections.len() as u64
    }

    /// Reads from a connection, handles its requests and writes its responses.
    pub(super) fn handle_socket_event(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        endpoint_state: EndpointState,
    ) {
        let Some(read) = self.read_input(key) else {
            return;
        };
        self.process_requests(context, key, endpoint_state);
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        // A client that has closed its sending side may still read responses.
        if read == StreamState::Closed {
            let is_flushed = server.closing && server.stream.pending_output() == 0;
            if server.inbound.is_none() || is_flushed {
                self.close(key);
                return;
            }
            server.keep_alive = false;
        }
        self.flush(key);
    }

    /// Reads as much as may be buffered. The limit may rise once the first bytes identify the request as a heartbeat.
    fn read_input(&mut self, key: usize) -> Option<StreamState> {
        let limit = self.max_input_bytes(key);
        let mut read = self.connections.get_mut(&key)?.stream.read_available(limit);
        let new_limit = self.max_input_bytes(key);
        if new_limit > limit {
            read = self.connections.get_mut(&key)?.stream.read_available(new_limit);
        }
        self.update_buffered_bytes(key);
        Some(read)
    }

    /// Handles requests in the input buffer until one has to wait for its response.
    fn process_requests(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        endpoint_state: EndpointState,
    ) {
        loop {
            let max_input = self.max_input_bytes(key);
            let Some(server) = self.connections.get_mut(&key) else {
                return;
            };
            if server.discard_input {
                server.stream.input.clear();
            }
            if server.inbound.is_some() || server.closing {
                return;
            }
            match server.next_request(max_input) {
                NextRequest::Incomplete => return,
                NextRequest::OutOfMemory => {
                    server.keep_alive = false;
                    server.discard_input = true;
                    server.respond(&HttpResponse::retry_later("request buffers are full", 1));
                    return;
                }
                NextRequest::Malformed => {
                    server.last_active = context.now();
                    server.keep_alive = false;
                    server.respond(&HttpResponse::error(400, "malformed request"));
                    return;
                }
                NextRequest::Complete(request) => {
                    server.last_active = context.now();
                    self.dispatch(context, key, &request, endpoint_state);
                }
            }
        }
    }

    /// Responds to a request immediately, or passes it to the controller.
    fn dispatch(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        request: &Request,
        endpoint_state: EndpointState,
    ) {
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        server.keep_alive = request.keep_alive;
        let routed = route(request, endpoint_state.enabled_apis);
        server.is_worker = matches!(routed, Route::Heartbeat(_));
        match routed {
            Route::Respond(response) => server.respond(&response),
            Route::Ready if endpoint_state.ready => server.respond(&HttpResponse::json(200, &"ready")),
            Route::Ready => server.respond(&HttpResponse::retry_later("not ready", 1)),
            Route::User(request) => self.forward(context, key, |inbound| Event::User { inbound, request }),
            Route::Operator(request) => {
                self.forward(context, key, |inbound| Event::Operator { inbound, request });
            }
            Route::Graph(request) => {
                self.forward(context, key, |inbound| Event::Graph { inbound, request: *request });
            }
            Route::Config(request) => {
                self.forward(context, key, |inbound| Event::Config { inbound, request: *request });
            }
            Route::Heartbeat(heartbeat) => {
                self.forward(context, key, |inbound| Event::Heartbeat { inbound, heartbeat: *heartbeat });
            }
        }
    }

    /// Queues a request as an event for the controller.
    fn forward(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        to_event: impl FnOnce(InboundId) -> Event,
    ) {
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        self.last_inbound += 1;
        let inbound = InboundId(self.last_inbound);
        server.inbound = Some(inbound);
        self.pending_requests.insert(inbound, key);
        context.pending_events.push_back(to_event(inbound));
    }

    /// Writes pending output and registers interest in the next socket event.
    fn flush(&mut self, key: usize) {
        let max_output = if self.is_memory_scarce() { SCARCE_BUFFER_BYTES } else { MAX_OUTPUT_BYTES };
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        let mut state = server.stream.flush();
        let pending = server.stream.pending_output();
        if pending > max_output || (server.closing && pending == 0 && !server.discard_input) {
            state = StreamState::Closed;
        }
        if server.discard_input && pending == 0 {
            server.stream.shutdown_write();
        }
        if state == StreamState::Open {
            let can_read = server.stream.input.len() < MAX_INPUT_BYTES && server.inbound.is_none();
            state = server.stream.rearm(can_read);
        }
        self.update_buffered_bytes(key);
        if state == StreamState::Closed {
            self.close(key);
        }
    }

    /// Sends the controller's response to a request, unless the connection has been closed.
    pub(super) fn send_response(
        &mut self,
        context: &mut TransportContext,
        inbound: InboundId,
        response: &HttpResponse,
    ) {
        let Some(key) = self.pending_requests.remove(&inbound) else {
            return;
        };
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        server.last_active = context.now();
        server.respond(response);
        self.flush(key);
    }

    /// Closes connections that have been idle, or sending an incomplete request, for too long.
    pub(super) fn expire(&mut self, context: &mut TransportContext) {
        let now = context.now();
        if now.saturating_since(self.idle_checked_at) < IDLE_CHECK_INTERVAL_MS {
            return;
        }
        self.idle_checked_at = now;
        let is_expired = |server: &ServerConnection| {
            let is_partial = server.discard_input || !server.stream.input.is_empty();
            let limit = if is_partial { PARTIAL_REQUEST_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
            server.inbound.is_none() && now.saturating_since(server.last_active) > limit
        };
        let stale: Vec<usize> =
            self.connections.iter().filter(|(_, server)| is_expired(server)).map(|(key, _)| *key).collect();
        for key in stale {
            self.close(key);
        }
    }
}
