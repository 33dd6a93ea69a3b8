//! Connections of users, workers and health checks.

use std::collections::HashMap;
use std::net::TcpStream;

use super::router::{EnabledApis, Route, route};
use super::{ByKey, TransportContext, next_inbound_id};
use crate::coordination::{Event, InboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use olivelatch_net::http::{
    JSON_CONTENT_TYPE, MAX_BODY_BYTES, OPENMETRICS_CONTENT_TYPE, Parsed, parse_request, write_response,
};
use olivelatch_net::stream::{BufferedStream, StreamState};

/// A request that is not whole by then, and a connection that says nothing.
const PARTIAL_REQUEST_TIMEOUT_MS: u64 = 10_000;
const IDLE_TIMEOUT_MS: u64 = 120_000;
const MAX_INPUT_BYTES: usize = MAX_BODY_BYTES + 32 * 1024;
/// An answer that nobody takes is not kept beyond this.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;
/// While all buffers together hold too much, a connection gets no more than this for each
/// direction. What fits is served as ever.
const SCARCE_BUFFER_BYTES: usize = 4 * 1024;
/// The part of the settings' memory that the buffers may hold; workers' reports may take as
/// much again, so that a flood from users does not cost the machines.
const BUFFER_MEMORY_SHARE: f64 = 0.25;

/// How a worker's report begins.
const HEARTBEAT_PREFIX: &[u8] = b"POST /v1/report ";

struct ServerConnection {
    stream: BufferedStream,
    /// The request being worked on; further ones wait in the buffer.
    inbound: Option<InboundId>,
    keep_alive: bool,
    closing: bool,
    /// Its last request was a report.
    is_worker: bool,
    /// Answered before it was whole: the rest is thrown away, as closing at once could take
    /// the answer from a user who is still sending.
    discard_input: bool,
    last_active: Millis,
    /// What its buffers held when last counted.
    buffered_bytes: usize,
}

/// What the node shows to whoever asks.
#[derive(Debug, Clone, Copy)]
pub struct EndpointState {
    pub ready: bool,
    pub enabled_apis: EnabledApis,
}

pub struct ServerConnections {
    connections: ByKey<ServerConnection>,
    pending_requests: HashMap<InboundId, usize>,
    last_inbound: u64,
    max_connections: usize,
    idle_checked_at: Millis,
    /// Bytes that all buffers hold, and may hold.
    buffered_bytes: usize,
    buffer_budget: usize,
}

impl ServerConnections {
    /// At most so many connections, on a machine with so much memory.
    pub fn new(max_connections: usize, mem_mb: f64) -> ServerConnections {
        ServerConnections {
            connections: HashMap::new(),
            pending_requests: HashMap::new(),
            last_inbound: 0,
            max_connections,
            idle_checked_at: Millis::default(),
            buffered_bytes: 0,
            buffer_budget: (mem_mb * 1024.0 * 1024.0 * BUFFER_MEMORY_SHARE) as usize,
        }
    }

    pub fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Its last request was a report.
    pub fn is_worker(&self, key: usize) -> bool {
        self.connections.get(&key).is_some_and(|server| server.is_worker)
    }

    pub fn accept(&mut self, context: &mut TransportContext, socket: TcpStream) {
        if self.connections.len() >= self.max_connections {
            self.close_most_idle();
        }
        let key = context.allocate_key();
        if let Ok(stream) = BufferedStream::from_accepted(&context.poller, socket, key) {
            let active = context.now();
            let server = ServerConnection {
                stream,
                inbound: None,
                keep_alive: true,
                closing: false,
                is_worker: false,
                discard_input: false,
                last_active: active,
                buffered_bytes: 0,
            };
            self.connections.insert(key, server);
        }
    }

    /// Slow or silent connections must not keep others out.
    fn close_most_idle(&mut self) {
        let idlest =
            self.connections.iter().min_by_key(|(_, server)| (server.inbound.is_some(), server.last_active));
        if let Some(key) = idlest.map(|(key, _)| *key) {
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

    /// Each connection is bounded, but a thousand of them together are more than there is.
    fn update_buffered_bytes(&mut self, key: usize) {
        if let Some(server) = self.connections.get_mut(&key) {
            let held = server.stream.buffer_capacity();
            self.buffered_bytes = self.buffered_bytes - server.buffered_bytes + held;
            server.buffered_bytes = held;
        }
    }

    fn is_memory_scarce(&self) -> bool {
        self.buffered_bytes > self.buffer_budget
    }

    /// How much of a request may be held now.
    fn max_input_bytes(&self, key: usize) -> usize {
        if !self.is_memory_scarce() {
            return MAX_INPUT_BYTES;
        }
        let report = |server: &ServerConnection| server.stream.input.starts_with(HEARTBEAT_PREFIX);
        let reserved =
            self.buffered_bytes <= 2 * self.buffer_budget && self.connections.get(&key).is_some_and(report);
        if reserved { MAX_INPUT_BYTES } else { SCARCE_BUFFER_BYTES }
    }

    /// Open connections.
    pub fn open_connections(&self) -> u64 {
        self.connections.len() as u64
    }

    pub fn handle_socket_event(
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
        // A peer that has closed may still read what is on its way.
        let finished = read == StreamState::Closed && server.inbound.is_none();
        if finished || read == StreamState::Closed && server.stream.pending_output() == 0 && server.closing {
            self.close(key);
            return;
        }
        if read == StreamState::Closed {
            server.keep_alive = false;
        }
        self.flush(key);
    }

    /// Reads what may be held. What a request wants is known by its first bytes.
    fn read_input(&mut self, key: usize) -> Option<StreamState> {
        let most = self.max_input_bytes(key);
        let mut read = self.connections.get_mut(&key)?.stream.read_available(most);
        let more = self.max_input_bytes(key);
        if more > most {
            read = self.connections.get_mut(&key)?.stream.read_available(more);
        }
        self.update_buffered_bytes(key);
        Some(read)
    }

    /// Takes requests from the buffer until one has to wait for its answer.
    fn process_requests(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        endpoint_state: EndpointState,
    ) {
        loop {
            let most = self.max_input_bytes(key);
            let Some(server) = self.connections.get_mut(&key) else {
                return;
            };
            if server.discard_input {
                server.stream.input.clear();
            }
            if server.inbound.is_some() || server.closing {
                return;
            }
            let request = match parse_request(&server.stream.input) {
                Parsed::Partial if server.stream.input.len() >= MAX_INPUT_BYTES => None,
                Parsed::Partial if server.stream.input.len() >= most => {
                    server.keep_alive = false;
                    server.discard_input = true;
                    Self::respond(server, &HttpResponse::retry_later("out of memory for requests", 1));
                    return;
                }
                Parsed::Partial => return,
                Parsed::Malformed | Parsed::TooLong => None,
                Parsed::Complete(request, taken) => {
                    server.stream.consume_input(taken);
                    Some(request)
                }
            };
            server.last_active = context.now();
            let Some(request) = request else {
                server.keep_alive = false;
                Self::respond(server, &HttpResponse::error(400, "malformed request"));
                return;
            };
            server.keep_alive = request.keep_alive;
            let routed = route(&request, endpoint_state.enabled_apis);
            server.is_worker = matches!(routed, Route::Heartbeat(_));
            match routed {
                Route::Respond(answer) => Self::respond(server, &answer),
                Route::Ready if endpoint_state.ready => {
                    Self::respond(server, &HttpResponse::json(200, &"ready"))
                }
                Route::Ready => Self::respond(server, &HttpResponse::retry_later("not ready", 1)),
                Route::User(request) => {
                    let inbound = next_inbound_id(&mut self.last_inbound);
                    server.inbound = Some(inbound);
                    self.pending_requests.insert(inbound, key);
                    context.pending_events.push_back(Event::User { inbound, request });
                }
                Route::Operator(request) => {
                    let inbound = next_inbound_id(&mut self.last_inbound);
                    server.inbound = Some(inbound);
                    self.pending_requests.insert(inbound, key);
                    context.pending_events.push_back(Event::Operator { inbound, request });
                }
                Route::Graph(request) => {
                    let inbound = next_inbound_id(&mut self.last_inbound);
                    server.inbound = Some(inbound);
                    self.pending_requests.insert(inbound, key);
                    context.pending_events.push_back(Event::Graph { inbound, request: *request });
                }
                Route::Config(request) => {
                    let inbound = next_inbound_id(&mut self.last_inbound);
                    server.inbound = Some(inbound);
                    self.pending_requests.insert(inbound, key);
                    context.pending_events.push_back(Event::Config { inbound, request: *request });
                }
                Route::Heartbeat(report) => {
                    let inbound = next_inbound_id(&mut self.last_inbound);
                    server.inbound = Some(inbound);
                    self.pending_requests.insert(inbound, key);
                    context.pending_events.push_back(Event::Heartbeat { inbound, heartbeat: *report });
                }
            }
        }
    }

    fn respond(server: &mut ServerConnection, response: &HttpResponse) {
        let mut bytes = Vec::with_capacity(response.body.len() + 200);
        let content_type = if response.is_text { OPENMETRICS_CONTENT_TYPE } else { JSON_CONTENT_TYPE };
        write_response(
            &mut bytes,
            response.status,
            content_type,
            response.retry_after_s,
            &response.body,
            server.keep_alive,
        );
        server.stream.queue(&bytes);
        server.inbound = None;
        server.closing = !server.keep_alive;
    }

    /// Sends what is pending and waits for what comes next.
    fn flush(&mut self, key: usize) {
        let most = if self.is_memory_scarce() { SCARCE_BUFFER_BYTES } else { MAX_OUTPUT_BYTES };
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        let mut flow = server.stream.flush();
        let pending = server.stream.pending_output();
        if pending > most || (server.closing && pending == 0 && !server.discard_input) {
            flow = StreamState::Closed;
        }
        if server.discard_input && pending == 0 {
            server.stream.shutdown_write();
        }
        if flow == StreamState::Open {
            let room = server.stream.input.len() < MAX_INPUT_BYTES && server.inbound.is_none();
            flow = server.stream.rearm(room);
        }
        self.update_buffered_bytes(key);
        if flow == StreamState::Closed {
            self.close(key);
        }
    }

    pub fn send_response(
        &mut self,
        context: &mut TransportContext,
        inbound: InboundId,
        answer: &HttpResponse,
    ) {
        let Some(key) = self.pending_requests.remove(&inbound) else {
            return;
        };
        let Some(server) = self.connections.get_mut(&key) else {
            return;
        };
        server.last_active = context.now();
        Self::respond(server, answer);
        self.flush(key);
    }

    pub fn expire(&mut self, context: &mut TransportContext) {
        let now = context.now();
        if now.saturating_since(self.idle_checked_at) < 1000 {
            return;
        }
        self.idle_checked_at = now;
        let is_expired = |server: &ServerConnection| {
            let half = server.discard_input || !server.stream.input.is_empty();
            let limit = if half { PARTIAL_REQUEST_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
            server.inbound.is_none() && now.saturating_since(server.last_active) > limit
        };
        let stale: Vec<usize> =
            self.connections.iter().filter(|(_, server)| is_expired(server)).map(|(key, _)| *key).collect();
        for key in stale {
            self.close(key);
        }
    }
}
