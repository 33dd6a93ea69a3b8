//! Sockets, timers and the clock: one thread around `polling`.

mod clients;
mod mesh;
mod metrics;
mod router;
mod servers;
mod timings;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use polling::{Event as SocketEvent, Events};
use rand::TryRng;
use rand::rngs::SysRng;

use crate::coordination::controller::Controller;
use crate::coordination::{Action, Clock, Event, InboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::settings::Settings;
use crate::transport::router::EnabledApis;
use crate::tunables::Tunables;
use clients::ClientConnections;
use mesh::Mesh;
use metrics::MetricsSnapshot;
use olivelatch_net::poller::{EventPoller, Registration};
use servers::{EndpointState, ServerConnections};
use timings::Timings;

const FRONT_KEY: usize = 0;
const MESH_KEY: usize = 1;
const FIRST_KEY: usize = 2;
/// Without events the node is asked that often what is due; less often while nobody waits
/// for it, as waking up was half of what a follower did.
const TICK_MS: u64 = 50;
const IDLE_TICK_MS: u64 = 200;
const EVENT_CAPACITY: usize = 256;
/// Sockets beside all that is counted: two listeners, the poller, standard streams, what a person's shell opens.
const RESERVED_SOCKETS: usize = 20;
/// So many workers are served before others' events are looked for again.
const WORKER_EVENTS_PER_TURN: usize = 16;

/// What the transport's parts share.
pub struct TransportContext {
    poller: Arc<EventPoller>,
    next_key: usize,
    start: Instant,
    /// What the node is to be told next.
    pending_events: VecDeque<Event>,
}

impl TransportContext {
    fn allocate_key(&mut self) -> usize {
        self.next_key += 1;
        self.next_key
    }

    pub fn now(&self) -> Millis {
        // One second ahead, so that "never" (0) lies well in the past.
        Millis(self.start.elapsed().as_millis() as u64 + 100_000)
    }

    fn clock(&self) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { now: self.now(), wall_ms: wall.as_millis() as u64 }
    }
}

struct TransportRuntime {
    context: TransportContext,
    /// Locked for one event at a time; no I/O happens meanwhile.
    controller: Mutex<Controller>,
    front_listener: Registration<TcpListener>,
    mesh_listener: Registration<TcpListener>,
    servers: ServerConnections,
    clients: ClientConnections,
    mesh: Mesh,
    timings: Timings,
    /// Answers by status, for scrapes.
    responses_by_status: BTreeMap<u16, u64>,
}

fn listen(
    poller: &Arc<EventPoller>,
    addr: std::net::SocketAddr,
    key: usize,
) -> io::Result<Registration<TcpListener>> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Registration::new(poller, listener, SocketEvent::readable(key))
}

/// Runs a controller until it is killed.
pub fn serve(settings: Settings, tunables: Tunables) -> io::Result<()> {
    let poller = Arc::new(EventPoller::new()?);
    let context = TransportContext {
        poller: poller.clone(),
        next_key: FIRST_KEY,
        start: Instant::now(),
        pending_events: VecDeque::new(),
    };
    let front = listen(&poller, settings.http_addr, FRONT_KEY)?;
    let mesh_listener = listen(&poller, settings.peer_addr, MESH_KEY)?;
    // Sockets for our own calls are kept free; connections to workers take more of them while there are any.
    let spare = 100 + settings.limits.max_connections / 10;
    let sockets = settings.limits.max_connections.saturating_sub(RESERVED_SOCKETS);
    let most = settings.limits.max_connections.saturating_sub(spare).max(50);
    let clock = context.clock();
    let seed = random_seed()?;
    log::info!("serving users and workers on {}, controllers on {}", settings.http_addr, settings.peer_addr);
    let mut runtime = TransportRuntime {
        servers: ServerConnections::new(most, settings.limits.memory_mb),
        clients: ClientConnections::new(
            settings.kv_addr,
            settings.cloud_addr,
            settings.limits.memory_mb,
            sockets,
        ),
        mesh: Mesh::new(&settings),
        timings: Timings::new(tunables.operators.enabled),
        responses_by_status: BTreeMap::new(),
        controller: Mutex::new(Controller::new(settings, tunables, seed, clock)),
        context,
        front_listener: front,
        mesh_listener,
    };
    runtime.run()
}

/// Nodes that start at the same moment should not act in step, and a process that is back at once must not take itself for
/// the one before: neither its name nor the time of day tells them apart.
fn random_seed() -> io::Result<u64> {
    SysRng.try_next_u64().map_err(io::Error::other)
}

impl TransportRuntime {
    fn run(&mut self) -> io::Result<()> {
        let capacity = NonZeroUsize::new(EVENT_CAPACITY).unwrap_or(NonZeroUsize::MIN);
        let mut events = Events::with_capacity(capacity);
        // Each with the time since when it waits.
        let mut deferred: VecDeque<(Millis, SocketEvent)> = VecDeque::new();
        let mut last_tick = Millis::default();
        loop {
            let now = self.context.now();
            let tick_ms = if self.lock_controller().is_idle() { IDLE_TICK_MS } else { TICK_MS };
            let due = tick_ms.saturating_sub(now.saturating_since(last_tick)).max(1);
            let wait = if deferred.is_empty() { due } else { 0 };
            events.clear();
            match self.context.poller.wait(&mut events, Duration::from_millis(wait)) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            let woken_at = self.context.now();
            for event in events.iter() {
                if self.can_defer(event.key) {
                    deferred.push_back((woken_at, event));
                } else {
                    self.handle_socket_event(event);
                }
            }
            self.drain_events();
            let waited = deferred.front().map_or(0, |(since, _)| self.context.now().saturating_since(*since));
            for (_, event) in deferred.drain(..deferred.len().min(WORKER_EVENTS_PER_TURN)) {
                self.handle_socket_event(event);
            }
            self.drain_events();
            let now = self.context.now();
            self.lock_controller().record_event_wait(now, waited);
            if now.saturating_since(last_tick) >= tick_ms {
                last_tick = now;
                let started = self.timings.start();
                self.clients.expire(&mut self.context);
                self.servers.expire(&mut self.context);
                self.timings.stop("transport-housekeeping", started);
                self.timings.log_recent(now, &self.context.poller.syscalls);
                self.context.pending_events.push_back(Event::Tick);
                self.drain_events();
            }
        }
    }

    /// Workers are hundreds and patient; the lease and users are not. With all workers ready at
    /// once a renewal's answer came seconds late, and the lead was lost again and again.
    fn can_defer(&self, key: usize) -> bool {
        self.servers.is_worker(key) || self.clients.is_worker(key)
    }

    /// Reads and parses what a socket has for us.
    fn handle_socket_event(&mut self, event: SocketEvent) {
        let started = self.timings.start();
        let kind = match event.key {
            FRONT_KEY => {
                self.accept_front_connections();
                "transport-accept"
            }
            MESH_KEY => {
                self.accept_mesh_connections();
                "transport-accept"
            }
            key if self.servers.has_connection(key) => {
                let facing = self.endpoint_state();
                self.servers.handle_socket_event(&mut self.context, key, facing);
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
        let interfaces = EnabledApis {
            operators: controller.serves_operators(),
            graphs: controller.serves_graphs(),
            config: controller.serves_config(),
        };
        EndpointState { ready: controller.is_ready(), enabled_apis: interfaces }
    }

    fn respond_with_metrics(&mut self, inbound: InboundId) {
        let status = self.lock_controller().status(self.context.clock());
        let scrape = MetricsSnapshot {
            status,
            responses_by_status: self.responses_by_status.clone(),
            event_durations: self.timings.duration_histograms(),
            connections: self.servers.open_connections(),
            mesh_dropped: self.mesh.dropped,
        };
        let response = HttpResponse {
            is_text: true,
            ..HttpResponse::json_bytes(metrics::render_openmetrics(scrape).into_bytes())
        };
        self.perform_action(Action::Respond { inbound, response });
    }

    fn accept_front_connections(&mut self) {
        while let Ok((socket, _)) = self.front_listener.source().accept() {
            self.update_socket_count();
            if self.clients.is_out_of_sockets() {
                self.clients.evict_idle_workers(&mut self.context);
            }
            self.servers.accept(&mut self.context, socket);
        }
        if self.front_listener.set_interest(true, false).is_err() {
            log::error!("cannot accept on the front address");
        }
    }

    /// What the process holds beside connections to workers.
    fn update_socket_count(&mut self) {
        self.clients.other_sockets = self.servers.open_connections() as usize + self.mesh.open_connections();
    }

    fn accept_mesh_connections(&mut self) {
        while let Ok((socket, _)) = self.mesh_listener.source().accept() {
            self.mesh.accept(&mut self.context, socket);
        }
        if self.mesh_listener.set_interest(true, false).is_err() {
            log::error!("cannot accept on the mesh address");
        }
    }

    fn lock_controller(&self) -> MutexGuard<'_, Controller> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the node what happened and carries out what it decides, until nothing is left.
    fn drain_events(&mut self) {
        while let Some(input) = self.context.pending_events.pop_front() {
            if let Event::Operator { inbound: call, request: OperatorRequest::Metrics } = input {
                self.respond_with_metrics(call);
                continue;
            }
            let clock = self.context.clock();
            let (kind, started) = (input.name(), self.timings.start());
            let outputs = self.lock_controller().receive_event(clock, input);
            self.timings.stop(kind, started);
            self.perform_actions(outputs);
            if self.context.pending_events.is_empty() {
                self.step();
            }
        }
    }

    fn step(&mut self) {
        let clock = self.context.clock();
        let started = self.timings.start();
        let outputs = self.lock_controller().step(clock);
        self.timings.stop("step", started);
        self.perform_actions(outputs);
    }

    /// Writes what the node decided.
    fn perform_actions(&mut self, actions: Vec<Action>) {
        for output in actions {
            let started = self.timings.start();
            self.perform_action(output);
            self.timings.stop("transport-write", started);
        }
    }

    fn perform_action(&mut self, action: Action) {
        let common = &mut self.context;
        match action {
            Action::Respond { inbound: call, response: answer } => {
                *self.responses_by_status.entry(answer.status).or_default() += 1;
                self.servers.send_response(common, call, &answer);
            }
            Action::CallKv { outbound: ask, request, timeout_ms } => {
                self.clients.request_kv_store(common, ask, request.to_http_request(), timeout_ms);
            }
            Action::CallCloud { outbound: ask, request, timeout_ms } => {
                self.clients.request_cloud(common, ask, request.to_http_request(), timeout_ms);
            }
            Action::SendWorkerCommands { outbound: ask, endpoint, request: call, timeout_ms, .. } => {
                self.update_socket_count();
                self.clients.request_worker(&mut self.context, ask, &endpoint, call, timeout_ms);
            }
            Action::SendPeerMessage { controller: node, message } => self.mesh.send(common, &node, &message),
        }
    }
}

/// Calls are numbered as they come.
fn next_inbound_id(counter: &mut u64) -> InboundId {
    *counter += 1;
    InboundId(*counter)
}

type ByKey<T> = HashMap<usize, T>;
