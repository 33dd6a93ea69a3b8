//! Our own calls: to the state service, the cloud and the workers.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use super::{ByKey, TransportContext};
use crate::coordination::{Event, OutboundId};
use crate::ids::Millis;
use crate::protocol::{HttpOutcome, HttpRequest};
use olivelatch_net::http::{Parsed, parse_response, write_request};
use olivelatch_net::stream::{BufferedStream, StreamState};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    KvStore,
    Cloud,
    Worker(SocketAddr),
}

/// Connections to one target at once. The state service gets enough that a
/// renewal does not wait behind a transaction.
fn max_connections(target: Target) -> usize {
    match target {
        Target::KvStore => 6,
        Target::Cloud => 2,
        Target::Worker(_) => 1,
    }
}

const IDLE_TIMEOUT_MS: u64 = 20_000;
/// Idle connections are looked for that often, as there are hundreds of them.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;
/// The part of the settings' memory that one answer may take: it is held three times while
/// it is read. Pages of the state service and the cloud's lists are far smaller.
const RESPONSE_MEMORY_SHARE: f64 = 0.1;
/// Idle connections that give way at once when sockets run short.
const MAX_EVICTED_IDLE: usize = 64;
/// Room for an answer's head and chunks.
const HEADER_ROOM: usize = 1024 * 1024;

struct ClientConnection {
    stream: BufferedStream,
    target: Target,
    outbound: Option<OutboundId>,
    last_active: Millis,
}

#[derive(Default)]
struct ConnectionPool {
    idle: Vec<usize>,
    open: usize,
    queue: VecDeque<(OutboundId, HttpRequest)>,
}

pub struct ClientConnections {
    connections: ByKey<ClientConnection>,
    pools: HashMap<Target, ConnectionPool>,
    outstanding: HashMap<OutboundId, (Target, Option<usize>)>,
    deadlines: BTreeSet<(Millis, OutboundId)>,
    idle_checked_at: Millis,
    kv_addr: SocketAddr,
    cloud_addr: SocketAddr,
    max_response_bytes: usize,
    /// Sockets that the whole process may have, and has beside these.
    max_sockets: usize,
    pub other_sockets: usize,
}

impl ClientConnections {
    /// On a machine with so much memory, in a process with `most` sockets.
    pub fn new(
        kv_addr: SocketAddr,
        cloud_addr: SocketAddr,
        mem_mb: f64,
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
            max_response_bytes: ((mem_mb * RESPONSE_MEMORY_SHARE) as usize).max(1) * 1024 * 1024,
        }
    }

    pub fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    pub fn is_worker(&self, key: usize) -> bool {
        self.connections.get(&key).is_some_and(|client| matches!(client.target, Target::Worker(_)))
    }

    pub fn request_kv_store(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.enqueue_request(context, Target::KvStore, outbound, request, timeout_ms);
    }

    pub fn request_cloud(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.enqueue_request(context, Target::Cloud, outbound, request, timeout_ms);
    }

    pub fn request_worker(
        &mut self,
        context: &mut TransportContext,
        outbound: OutboundId,
        endpoint: &str,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        match endpoint.parse() {
            Ok(addr) => self.enqueue_request(context, Target::Worker(addr), outbound, request, timeout_ms),
            Err(_) => context.pending_events.push_back(outcome_event(
                Target::Worker(self.cloud_addr),
                outbound,
                HttpOutcome::NotSent,
            )),
        }
    }

    fn enqueue_request(
        &mut self,
        context: &mut TransportContext,
        target: Target,
        ask: OutboundId,
        request: HttpRequest,
        timeout_ms: u64,
    ) {
        self.deadlines.insert((context.now().saturating_add(timeout_ms), ask));
        self.outstanding.insert(ask, (target, None));
        self.pools.entry(target).or_default().queue.push_back((ask, request));
        self.dispatch_queued(context, target);
    }

    fn target_addr(&self, target: Target) -> SocketAddr {
        match target {
            Target::KvStore => self.kv_addr,
            Target::Cloud => self.cloud_addr,
            Target::Worker(addr) => addr,
        }
    }

    /// No socket is left in the process.
    pub fn is_out_of_sockets(&self) -> bool {
        self.connections.len() + self.other_sockets >= self.max_sockets
    }

    /// Connections to workers that wait for their next call give way, the longest idle first. A new leader greets every
    /// machine while all of them report to it: with half as many again there were not sockets for both, and users were
    /// refused.
    pub fn evict_idle_workers(&mut self, context: &mut TransportContext) {
        let idle = |client: &ClientConnection| {
            client.outbound.is_none() && matches!(client.target, Target::Worker(_))
        };
        let idle = self.connections.iter().filter(|(_, client)| idle(client));
        let mut idle: Vec<(Millis, usize)> = idle.map(|(key, client)| (client.last_active, *key)).collect();
        idle.sort_unstable();
        for (_, key) in idle.into_iter().take(MAX_EVICTED_IDLE) {
            self.close(context, key);
        }
    }

    /// Hands waiting calls to idle or new connections.
    fn dispatch_queued(&mut self, context: &mut TransportContext, target: Target) {
        let worker = matches!(target, Target::Worker(_));
        if worker && self.is_out_of_sockets() && self.pools.get(&target).is_some_and(|pool| pool.open == 0) {
            self.evict_idle_workers(context);
        }
        // The state service and the cloud have theirs whatever happens.
        let out_of_sockets = worker && self.is_out_of_sockets();
        loop {
            let addr = self.target_addr(target);
            let Some(pool) = self.pools.get_mut(&target) else {
                return;
            };
            let Some((outbound, request)) = pool.queue.pop_front() else {
                return;
            };
            if !self.outstanding.contains_key(&outbound) {
                continue;
            }
            let key = match pool.idle.pop() {
                Some(key) => key,
                None if out_of_sockets && pool.open == 0 => {
                    self.complete_request(context, outbound, HttpOutcome::NotSent);
                    continue;
                }
                None if pool.open < max_connections(target) => {
                    let key = context.allocate_key();
                    match BufferedStream::connect(&context.poller, addr, key) {
                        Ok(stream) => {
                            pool.open += 1;
                            let client = ClientConnection {
                                stream,
                                target,
                                outbound: None,
                                last_active: context.now(),
                            };
                            self.connections.insert(key, client);
                            key
                        }
                        Err(_) => {
                            self.complete_request(context, outbound, HttpOutcome::NotSent);
                            continue;
                        }
                    }
                }
                None => {
                    pool.queue.push_front((outbound, request));
                    return;
                }
            };
            self.send_request(context, key, outbound, &request, addr);
        }
    }

    fn send_request(
        &mut self,
        context: &mut TransportContext,
        key: usize,
        outbound: OutboundId,
        request: &HttpRequest,
        addr: SocketAddr,
    ) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        let mut bytes = Vec::with_capacity(request.body.len() + 200);
        write_request(&mut bytes, request.method, &request.path, &addr.to_string(), &request.body);
        client.stream.queue(&bytes);
        client.outbound = Some(outbound);
        if let Some(entry) = self.outstanding.get_mut(&outbound) {
            entry.1 = Some(key);
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

    pub fn handle_socket_event(&mut self, context: &mut TransportContext, key: usize) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        client.last_active = context.now();
        let target = client.target;
        if client.stream.connecting {
            self.flush(context, key);
            return;
        }
        let read = client.stream.read_available(self.max_response_bytes + HEADER_ROOM);
        match parse_response(&client.stream.input, self.max_response_bytes) {
            Parsed::Complete(response, taken) if client.outbound.is_some() => {
                client.stream.consume_input(taken);
                let outbound = client.outbound.take();
                let keep = response.keep_alive && read == StreamState::Open && client.stream.input.is_empty();
                if let Some(outbound) = outbound {
                    let outcome = HttpOutcome::Response { status: response.status, body: response.body };
                    self.complete_request(context, outbound, outcome);
                }
                if keep {
                    self.pools.entry(target).or_default().idle.push(key);
                    self.flush(context, key);
                } else {
                    self.close(context, key);
                }
                self.dispatch_queued(context, target);
            }
            Parsed::Partial if read == StreamState::Open => self.flush(context, key),
            Parsed::TooLong => {
                let outbound = client.outbound.take();
                if let Some(outbound) = outbound {
                    self.complete_request(context, outbound, HttpOutcome::TooLarge);
                }
                self.close(context, key);
            }
            // Closed, garbage, or an answer to nothing.
            _ => self.close(context, key),
        }
    }

    fn close(&mut self, context: &mut TransportContext, key: usize) {
        let Some(client) = self.connections.remove(&key) else {
            return;
        };
        let pool = self.pools.entry(client.target).or_default();
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|idle| *idle != key);
        if let Some(outbound) = client.outbound {
            // A connection that was given up before it stood never completes later.
            let lost = if client.stream.connecting { HttpOutcome::NotSent } else { HttpOutcome::Unknown };
            self.complete_request(context, outbound, lost);
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
        result: HttpOutcome,
    ) {
        if let Some((target, _)) = self.outstanding.remove(&outbound) {
            context.pending_events.push_back(outcome_event(target, outbound, result));
        }
    }

    pub fn expire(&mut self, context: &mut TransportContext) {
        let now = context.now();
        while let Some((at, outbound)) = self.deadlines.first().copied()
            && at <= now
        {
            self.deadlines.pop_first();
            match self.outstanding.get(&outbound).copied() {
                Some((_, Some(key))) => self.close(context, key),
                Some((_, None)) => self.complete_request(context, outbound, HttpOutcome::NotSent),
                None => {}
            }
        }
        if now.saturating_since(self.idle_checked_at) < IDLE_CHECK_INTERVAL_MS {
            return;
        }
        self.idle_checked_at = now;
        let idle = |client: &ClientConnection| {
            client.outbound.is_none() && now.saturating_since(client.last_active) > IDLE_TIMEOUT_MS
        };
        let stale: Vec<usize> =
            self.connections.iter().filter(|(_, client)| idle(client)).map(|(key, _)| *key).collect();
        for key in stale {
            self.close(context, key);
        }
    }
}

fn outcome_event(target: Target, outbound: OutboundId, outcome: HttpOutcome) -> Event {
    match target {
        Target::KvStore => Event::Kv { outbound, outcome },
        Target::Cloud => Event::Cloud { outbound, outcome },
        Target::Worker(_) => Event::WorkerCommands { outbound, outcome },
    }
}
