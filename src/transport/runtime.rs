//! The event loop: waits for sockets, passes events to the controller and performs its actions.
//!
//! Socket events of workers are handled after all others, and only a limited number of them per loop iteration.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use polling::{Event as SocketEvent, Events};
use rand::TryRng;
use rand::rngs::SysRng;

use super::clients::ClientConnections;
use super::context::TransportContext;
use super::mesh::Mesh;
use super::metrics::{self, MetricsSnapshot};
use super::router::EnabledApis;
use super::servers::{EndpointState, ServerConnections};
use super::timings::Timings;
use crate::coordination::controller::Controller;
use crate::coordination::{Action, Event, InboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::settings::{ControllerLimits, Settings};
use crate::tunables::Tunables;
use olivelatch_net::poller::{EventPoller, Registration};

/// Poller keys of the two listeners. Keys of connections are allocated after them.
const HTTP_LISTENER_KEY: usize = 0;
const MESH_LISTENER_KEY: usize = 1;
/// Maximum time between two ticks of the controller.
const TICK_MS: u64 = 50;
/// Maximum time between two ticks while the controller is idle. With the shorter interval, waking up was half of a
/// follower's work.
const IDLE_TICK_MS: u64 = 200;
/// Maximum number of socket events that one system call returns.
const EVENT_CAPACITY: usize = 256;
/// File descriptors reserved in addition to the counted sockets: two listeners, the poller, the standard streams and an
/// operator's shell.
const RESERVED_SOCKETS: usize = 20;
/// Sockets reserved for outbound requests, which users, workers and operators cannot use: this number plus the fraction
/// `1 / CLIENT_SOCKET_DIVISOR` of all sockets.
const MIN_CLIENT_SOCKETS: usize = 100;
const CLIENT_SOCKET_DIVISOR: usize = 10;
/// Minimum number of connections of users, workers and operators, even if fewer sockets remain for outbound requests.
const MIN_SERVER_CONNECTIONS: usize = 50;
/// Maximum number of worker events that are handled before the poller is checked for other events.
const WORKER_EVENTS_PER_ITERATION: usize = 16;

/// A socket event of a worker that has not been handled yet.
struct DeferredEvent {
    received_at: Millis,
    event: SocketEvent,
}

/// The controller, its sockets and the event loop.
pub(super) struct TransportRuntime {
    context: TransportContext,
    /// Locked for the handling of one event at a time. No I/O is done while the lock is held.
    controller: Mutex<Controller>,
    http_listener: Registration<TcpListener>,
    mesh_listener: Registration<TcpListener>,
    servers: ServerConnections,
    clients: ClientConnections,
    mesh: Mesh,
    timings: Timings,
    /// Number of responses by HTTP status, for scrapes.
    responses_by_status: BTreeMap<u16, u64>,
}

fn listen(poller: &Arc<EventPoller>, addr: SocketAddr, key: usize) -> io::Result<Registration<TcpListener>> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Registration::new(poller, listener, SocketEvent::readable(key))
}

/// Returns the maximum number of connections of users, workers and operators.
fn max_server_connections(limits: ControllerLimits) -> usize {
    let reserved = MIN_CLIENT_SOCKETS + limits.max_connections / CLIENT_SOCKET_DIVISOR;
    limits.max_connections.saturating_sub(reserved).max(MIN_SERVER_CONNECTIONS)
}

/// Returns a random seed. Controllers that start at the same moment must not act in lockstep, and a process that
/// restarts immediately must not be mistaken for its predecessor: neither its name nor the time of day distinguishes
/// them.
fn random_seed() -> io::Result<u64> {
    SysRng.try_next_u64().map_err(io::Error::other)
}

impl TransportRuntime {
    /// Listens on the addresses in the settings and creates the controller.
    pub(super) fn start(settings: Settings, tunables: Tunables) -> io::Result<TransportRuntime> {
        let poller = Arc::new(EventPoller::new()?);
        let context = TransportContext::new(poller.clone(), MESH_LISTENER_KEY);
        let http_listener = listen(&poller, settings.http_addr, HTTP_LISTENER_KEY)?;
        let mesh_listener = listen(&poller, settings.peer_addr, MESH_LISTENER_KEY)?;
        let limits = settings.limits;
        let clock = context.clock();
        let seed = random_seed()?;
        log::info!(
            "serving users and workers on {}, controllers on {}",
            settings.http_addr,
            settings.peer_addr
        );
        Ok(TransportRuntime {
            servers: ServerConnections::new(max_server_connections(limits), limits.memory_mb),
            clients: ClientConnections::new(
                settings.kv_addr,
                settings.cloud_addr,
                limits.memory_mb,
                limits.max_connections.saturating_sub(RESERVED_SOCKETS),
            ),
            mesh: Mesh::new(&settings),
            timings: Timings::new(tunables.operators.enabled),
            responses_by_status: BTreeMap::new(),
            controller: Mutex::new(Controller::new(settings, tunables, seed, clock)),
            context,
            http_listener,
            mesh_listener,
        })
    }

    /// Runs the event loop until the poller fails.
    pub(super) fn run(&mut self) -> io::Result<()> {
        let capacity = NonZeroUsize::new(EVENT_CAPACITY).unwrap_or(NonZeroUsize::MIN);
        let mut events = Events::with_capacity(capacity);
        let mut deferred: VecDeque<DeferredEvent> = VecDeque::new();
        let mut last_tick = Millis::default();
        loop {
            let tick_ms = if self.lock_controller().is_idle() { IDLE_TICK_MS } else { TICK_MS };
            let until_tick = tick_ms.saturating_sub(self.context.now().saturating_since(last_tick)).max(1);
            let timeout_ms = if deferred.is_empty() { until_tick } else { 0 };
            self.wait_for_events(&mut events, timeout_ms)?;
            self.handle_or_defer(&events, &mut deferred);
            self.drain_events();
            let waited_ms = self.handle_deferred(&mut deferred);
            self.drain_events();
            let now = self.context.now();
            self.lock_controller().record_event_wait(now, waited_ms);
            if now.saturating_since(last_tick) >= tick_ms {
                last_tick = now;
                self.tick(now);
            }
        }
    }

    fn wait_for_events(&self, events: &mut Events, timeout_ms: u64) -> io::Result<()> {
        events.clear();
        match self.context.poller.wait(events, Duration::from_millis(timeout_ms)) {
            Ok(_) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Handles socket events of users, the store, the cloud and peers immediately, and defers those of workers.
    fn handle_or_defer(&mut self, events: &Events, deferred: &mut VecDeque<DeferredEvent>) {
        let woken_at = self.context.now();
        for event in events.iter() {
            if self.can_defer(event.key) {
                deferred.push_back(DeferredEvent { received_at: woken_at, event });
            } else {
                self.handle_socket_event(event);
            }
        }
    }

    /// Handles a limited number of deferred events. Returns how long the first of them waited, in milliseconds.
    fn handle_deferred(&mut self, deferred: &mut VecDeque<DeferredEvent>) -> u64 {
        let waited_ms =
            deferred.front().map_or(0, |first| self.context.now().saturating_since(first.received_at));
        for DeferredEvent { event, .. } in deferred.drain(..deferred.len().min(WORKER_EVENTS_PER_ITERATION)) {
            self.handle_socket_event(event);
        }
        waited_ms
    }

    fn tick(&mut self, now: Millis) {
        let started = self.timings.start();
        self.clients.expire(&mut self.context);
        self.servers.expire(&mut self.context);
        self.timings.stop("transport-housekeeping", started);
        self.timings.log_recent(now, &self.context.poller.syscalls);
        self.context.pending_events.push_back(Event::Tick);
        self.drain_events();
    }

    /// Returns whether the socket belongs to a worker, whose events may be deferred. There are hundreds of workers, and
    /// they can wait; lease renewals and users cannot. Without deferral, when all workers were ready at the same time,
    /// the response to a lease renewal was read seconds late and leadership was lost repeatedly.
    fn can_defer(&self, key: usize) -> bool {
        self.servers.is_worker(key) || self.clients.is_worker(key)
    }

    /// Handles an event of any socket: accepts connections, or reads, parses and writes on one.
    fn handle_socket_event(&mut self, event: SocketEvent) {
        let started = self.timings.start();
        let kind = match event.key {
            HTTP_LISTENER_KEY => {
                self.accept_http_connections();
                "transport-accept"
            }
            MESH_LISTENER_KEY => {
                self.accept_mesh_connections();
                "transport-accept"
            }
            key if self.servers.has_connection(key) => {
                let endpoint_state = self.endpoint_state();
                self.servers.handle_socket_event(&mut self.context, key, endpoint_state);
                "transport-request"
            }
            key if self.clients.has_connection(key) => {
                self.clients.handle_socket_event(&mut self.context, key);
                "transport-answer"
            }
            key => {
                self.mesh.handle_socket_event(&mut self.context, key);
                "transport-mesh"
            }
        };
        self.timings.stop(kind, started);
    }

    fn endpoint_state(&self) -> EndpointState {
        let controller = self.lock_controller();
        let enabled_apis = EnabledApis {
            operators: controller.serves_operators(),
            graphs: controller.serves_graphs(),
            config: controller.serves_config(),
        };
        EndpointState { ready: controller.is_ready(), enabled_apis }
    }

    fn respond_with_metrics(&mut self, inbound: InboundId) {
        let status = self.lock_controller().status(self.context.clock());
        let snapshot = MetricsSnapshot {
            status,
            responses_by_status: self.responses_by_status.clone(),
            event_durations: self.timings.duration_histograms(),
            connections: self.servers.open_connections(),
            mesh_dropped: self.mesh.dropped,
        };
        let response = HttpResponse {
            is_text: true,
            ..HttpResponse::json_bytes(metrics::render_openmetrics(snapshot).into_bytes())
        };
        self.perform_action(Action::Respond { inbound, response });
    }

    fn accept_http_connections(&mut self) {
        while let Ok((socket, _)) = self.http_listener.source().accept() {
            self.update_socket_count();
            if self.clients.is_out_of_sockets() {
                self.clients.evict_idle_workers(&mut self.context);
            }
            self.servers.accept(&mut self.context, socket);
        }
        if self.http_listener.set_interest(true, false).is_err() {
            log::error!(
                "polling the HTTP listener failed: no new connections of users, workers or operators are accepted"
            );
        }
    }

    /// Updates the number of open sockets that do not belong to outbound requests.
    fn update_socket_count(&mut self) {
        self.clients.other_sockets = self.servers.open_connections() as usize + self.mesh.open_connections();
    }

    fn accept_mesh_connections(&mut self) {
        while let Ok((socket, _)) = self.mesh_listener.source().accept() {
            self.mesh.accept(&mut self.context, socket);
        }
        if self.mesh_listener.set_interest(true, false).is_err() {
            log::error!(
                "polling the mesh listener failed: no new connections of other controllers are accepted"
            );
        }
    }

    fn lock_controller(&self) -> MutexGuard<'_, Controller> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes pending events to the controller and performs the actions that it returns, until no events are pending.
    fn drain_events(&mut self) {
        while let Some(event) = self.context.pending_events.pop_front() {
            if let Event::Operator { inbound, request: OperatorRequest::Metrics } = event {
                self.respond_with_metrics(inbound);
                continue;
            }
            let clock = self.context.clock();
            let (kind, started) = (event.name(), self.timings.start());
            let actions = self.lock_controller().receive_event(clock, event);
            self.timings.stop(kind, started);
            self.perform_actions(actions);
            if self.context.pending_events.is_empty() {
                self.step();
            }
        }
    }

    fn step(&mut self) {
        let clock = self.context.clock();
        let started = self.timings.start();
        let actions = self.lock_controller().step(clock);
        self.timings.stop("step", started);
        self.perform_actions(actions);
    }

    /// Performs the actions returned by the controller.
    fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let started = self.timings.start();
            self.perform_action(action);
            self.timings.stop("transport-write", started);
        }
    }

    fn perform_action(&mut self, action: Action) {
        let context = &mut self.context;
        match action {
            Action::Respond { inbound, response } => {
                *self.responses_by_status.entry(response.status).or_default() += 1;
                self.servers.send_response(context, inbound, &response);
            }
            Action::CallKv { outbound, request, timeout_ms } => {
                self.clients.request_kv_store(context, outbound, request.to_http_request(), timeout_ms);
            }
            Action::CallCloud { outbound, request, timeout_ms } => {
                self.clients.request_cloud(context, outbound, request.to_http_request(), timeout_ms);
            }
            Action::SendWorkerCommands { outbound, endpoint, request, timeout_ms, .. } => {
                self.update_socket_count();
                self.clients.request_worker(&mut self.context, outbound, &endpoint, request, timeout_ms);
            }
            Action::SendPeerMessage { controller, message } => {
                self.mesh.send(context, &controller, &message);
            }
        }
    }
}
