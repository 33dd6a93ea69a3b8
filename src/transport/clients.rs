//! Outbound requests to the key-value store, the cloud and the workers.
//!
//! This module owns the connections, queues and deadlines of these requests and reports exactly one outcome for each.
//! The number of sockets and the size of responses are bounded.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::client_connection::{Acquired, ClientConnection, ConnectionPool, Outstanding, Target};
use super::context::{ByKey, TransportContext};
use crate::coordination::{Event, OutboundId};
use crate::ids::Millis;
use crate::protocol::{HttpOutcome, HttpRequest};
use olivelatch_net::http::{Parsed, Response, parse_response, write_request};
use olivelatch_net::stream::{BufferedStream, StreamState};

/// An idle connection is closed after this time.
const IDLE_TIMEOUT_MS: u64 = 20_000;
/// Time between two scans for idle connections. There are hundreds of connections, so not every tick scans them.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Maximum size of one response, as a fraction of the controller's memory. Three copies of a response exist while it is
/// parsed. Pages of the store and lists of the cloud are far smaller than this limit.
const RESPONSE_MEMORY_SHARE: f64 = 0.1;
/// Maximum number of idle connections that one eviction closes when sockets run out.
const MAX_EVICTED_IDLE: usize = 64;
/// Buffer space for the head and the chunk sizes of a response, in addition to its body.
const RESPONSE_OVERHEAD_BYTES: usize = 1024 * 1024;
/// Estimated size of a request's head, for the initial capacity of the output buffer.
const REQUEST_HEAD_BYTES: usize = 200;
const BYTES_PER_MB: usize = 1024 * 1024;

/// The outbound requests and their connections.
pub(super) struct ClientConnections {
    connections: ByKey<ClientConnection>,
    pools: HashMap<Target, ConnectionPool>,
    outstanding: HashMap<OutboundId, Outstanding>,
    /// When each request times out. Entries of completed requests stay until their deadline.
    deadlines: BTreeSet<(Millis, OutboundId)>,
    idle_checked_at: Millis,
    kv_addr: SocketAddr,
    cloud_addr: SocketAddr,
    max_response_bytes: usize,
    /// Maximum number of sockets of the whole process.
    max_sockets: usize,
    /// Number of open sockets of the process that do not belong to these connections. Updated by the caller.
    pub(super) other_sockets: usize,
}

impl ClientConnections {
    /// Creates the pools of a controller with `memory_mb` megabytes of memory and at most `max_sockets` sockets.
    pub(super) fn new(
        kv_addr: SocketAddr,
        cloud_addr: SocketAddr,
        memory_mb: f64,
        max_sockets: usize,
    ) -> ClientConnections {
        ClientConnections {
            max_sockets,
            other_sockets: 0,
            connections: HashMap::new(),
            pools: HashMap::new(),
            outstanding: HashMap::new(),
            deadlines: BTreeSet::new(),
            idle_checked_at: Millis::default(),
            kv_addr,
            cloud_addr,
            max_response_bytes: ((memory_mb * RESPONSE_MEMORY_SHARE) as usize).max(1) * BYTES_PER_MB,
        }
    }

    /// Returns whether the key belongs to one of these connections.
    pub(super) fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Returns whether the connection with this key goes to a worker.
    pub(super) fn is_worker(&self, key: usize) -> bool {
        self.connections.get(&key).is_some_and(|client| matches!(client.target, Target::Worker(_)))
    }

    /// Sends a request to the key-value store.
    pub(super) fn request_kv_store(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.enqueue_request(context, Target::KvStore, outbound, request, timeout_ms);
    }

    /// Sends a request to the cloud.
    pub(super) fn request_cloud(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.enqueue_request(context, Target::Cloud, outbound, request, timeout_ms);
    }

    /// Sends a request to a worker. If the endpoint is not a socket address, the request is reported as not sent.
    pub(super) fn request_worker(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        endpoint: &str,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        match endpoint.parse() {
            Ok(addr) => self.enqueue_request(context, Target::Worker(addr), outbound, request, timeout_ms),
            Err(_) => context
                .pending_events
                .push_back(Event::WorkerCommands { outbound, outcome: HttpOutcome::NotSent }),
        }
    }

    fn enqueue_request(
        &mut self,
        context: &mut TransportContext,
        target: Target,
        outbound: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.deadlines.insert((context.now().saturating_add(timeout_ms), outbound));
        self.outstanding.insert(outbound, Outstanding { target, connection: None });
        self.pools.entry(target).or_default().queue.push_back((outbound, request));
        self.dispatch_queued(context, target);
    }

    fn target_addr(&self, target: Target) -> SocketAddr {
        match target {
            Target::KvStore => self.kv_addr,
            Target::Cloud => self.cloud_addr,
            Target::Worker(addr) => addr,
        }
    }

    /// Returns whether the process has reached its socket limit.
    pub(super) fn is_out_of_sockets(&self) -> bool {
        self.connections.len() + self.other_sockets >= self.max_sockets
    }

    /// Closes idle connections to workers, starting with the one that has been idle longest. A new leader announces
    /// itself to every machine while all of them send it heartbeats. Without eviction there were too few sockets for
    /// both, and users' connections were rejected.
    pub(super) fn evict_idle_workers(&mut self, context: &mut TransportContext) {
        let is_idle_worker = |client: &ClientConnection| {
            client.outbound.is_none() && matches!(client.target, Target::Worker(_))
        };
        let mut idle: Vec<(Millis, usize)> = self
            .connections
            .iter()
            .filter(|(_, client)| is_idle_worker(client))
            .map(|(key, client)| (client.last_active, *key))
            .collect();
        idle.sort_unstable();
        for (_, key) in idle.into_iter().take(MAX_EVICTED_IDLE) {
            self.close(context, key);
        }
    }

    /// Sends queued requests to the target for as long as an idle or a new connection is available.
    fn dispatch_queued(&mut self, context: &mut TransportContext, target: Target) {
        let is_worker = matches!(target, Target::Worker(_));
        let has_no_connection = self.pools.get(&target).is_some_and(|pool| pool.open == 0);
        if is_worker && has_no_connection && self.is_out_of_sockets() {
            self.evict_idle_workers(context);
        }
        // Connections to the store and the cloud may be opened even when the process is out of sockets.
        let out_of_sockets = is_worker && self.is_out_of_sockets();
        loop {
            let Some(pool) = self.pools.get_mut(&target) else {
                return;
            };
            let Some((outbound, request)) = pool.queue.pop_front() else {
                return;
            };
            if !self.outstanding.contains_key(&outbound) {
                continue;
            }
            match self.acquire_connection(context, target, out_of_sockets) {
                Acquired::Connection(key) => self.send_request(context, key, outbound, &request),
                Acquired::Unavailable => self.complete_request(context, outbound, HttpOutcome::NotSent),
                Acquired::Busy => {
                    self.pools.entry(target).or_default().queue.push_front((outbound, request));
                    return;
                }
            }
        }
    }

    /// Returns an idle connection, or opens a new one if the target's limit allows it.
    fn acquire_connection(
        &mut self,
        context: &mut TransportContext,
        target: Target,
        out_of_sockets: bool,
    ) -> Acquired {
        let addr = self.target_addr(target);
        let pool = self.pools.entry(target).or_default();
        if let Some(key) = pool.idle.pop() {
            return Acquired::Connection(key);
        }
        if out_of_sockets && pool.open == 0 {
            return Acquired::Unavailable;
        }
        if pool.open >= target.max_connections() {
            return Acquired::Busy;
        }
        let key = context.allocate_key();
        let Ok(stream) = BufferedStream::connect(&context.poller, addr, key) else {
            return Acquired::Unavailable;
        };
        pool.open += 1;
        let client = ClientConnection { stream, target, outbound: None, last_active: context.now() };
        self.connections.insert(key, client);
        Acquired::Connection(key)
    }

    fn send_request(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        outbound: OutboundId,
        request: &HttpRequest,
    ) {
        let Some(target) = self.connections.get(&key).map(|client| client.target) else {
            return;
        };
        let host = self.target_addr(target).to_string();
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        let mut bytes = Vec::with_capacity(request.body.len() + REQUEST_HEAD_BYTES);
        write_request(&mut bytes, request.method, &request.path, &host, &request.body);
        client.stream.queue(&bytes);
        client.outbound = Some(outbound);
        if let Some(outstanding) = self.outstanding.get_mut(&outbound) {
            outstanding.connection = Some(key);
        }
        if !client.stream.connecting {
            self.flush(context, key);
        }
    }

    fn flush(&mut self, context: &mut TransportContext, key: usize) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        if client.stream.flush() == StreamState::Closed || client.stream.rearm(true) == StreamState::Closed {
            self.close(context, key);
        }
    }

    /// Writes to or reads from a connection. A complete response becomes the outcome of its request.
    pub(super) fn handle_socket_event(&mut self, context: &mut TransportContext, key: usize) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        client.last_active = context.now();
        if client.stream.connecting {
            self.flush(context, key);
            return;
        }
        let read = client.stream.read_available(self.max_response_bytes + RESPONSE_OVERHEAD_BYTES);
        match parse_response(&client.stream.input, self.max_response_bytes) {
            Parsed::Complete(response, consumed) if client.outbound.is_some() => {
                client.stream.consume_input(consumed);
                self.receive_response(context, key, response, read);
            }
            Parsed::Partial if read == StreamState::Open => self.flush(context, key),
            Parsed::TooLong => {
                if let Some(outbound) = client.outbound.take() {
                    self.complete_request(context, outbound, HttpOutcome::TooLarge);
                }
                self.close(context, key);
            }
            // The peer closed the connection, or sent a malformed or an unrequested response.
            _ => self.close(context, key),
        }
    }

    fn receive_response(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        response: Response,
        read: StreamState,
    ) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        let target = client.target;
        let is_reusable = response.keep_alive && read == StreamState::Open && client.stream.input.is_empty();
        if let Some(outbound) = client.outbound.take() {
            let outcome = HttpOutcome::Response { status: response.status, body: response.body };
            self.complete_request(context, outbound, outcome);
        }
        if is_reusable {
            self.pools.entry(target).or_default().idle.push(key);
            self.flush(context, key);
        } else {
            self.close(context, key);
        }
        self.dispatch_queued(context, target);
    }

    fn close(&mut self, context: &mut TransportContext, key: usize) {
        let Some(client) = self.connections.remove(&key) else {
            return;
        };
        let pool = self.pools.entry(client.target).or_default();
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|idle| *idle != key);
        if let Some(outbound) = client.outbound {
            // Nothing was sent if the connection was never established.
            let outcome = if client.stream.connecting { HttpOutcome::NotSent } else { HttpOutcome::Unknown };
            self.complete_request(context, outbound, outcome);
        }
        let target = client.target;
        drop(client);
        self.dispatch_queued(context, target);
        if let Some(pool) = self.pools.get(&target)
            && pool.open == 0
            && pool.queue.is_empty()
        {
            self.pools.remove(&target);
        }
    }

    fn complete_request(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        outcome: HttpOutcome,
    ) {
        if let Some(outstanding) = self.outstanding.remove(&outbound) {
            context.pending_events.push_back(outstanding.target.outcome_event(outbound, outcome));
        }
    }

    /// Completes requests whose deadline has passed, and closes connections that have been idle for too long.
    pub(super) fn expire(&mut self, context: &mut TransportContext) {
        self.expire_requests(context);
        self.close_idle(context);
    }

    fn expire_requests(&mut self, context: &mut TransportContext) {
        let now = context.now();
        while let Some((deadline, outbound)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            match self.outstanding.get(&outbound).map(|outstanding| outstanding.connection) {
                Some(Some(key)) => self.close(context, key),
                Some(None) => self.complete_request(context, outbound, HttpOutcome::NotSent),
                None => {}
            }
        }
    }

    fn close_idle(&mut self, context: &mut TransportContext) {
        let now = context.now();
        if now.saturating_since(self.idle_checked_at) < IDLE_CHECK_INTERVAL_MS {
            return;
        }
        self.idle_checked_at = now;
        let is_stale = |client: &ClientConnection| {
            client.outbound.is_none() && now.saturating_since(client.last_active) > IDLE_TIMEOUT_MS
        };
        let stale: Vec<usize> =
            self.connections.iter().filter(|(_, client)| is_stale(client)).map(|(key, _)| *key).collect();
        for key in stale {
            self.close(context, key);
        }
    }
}
