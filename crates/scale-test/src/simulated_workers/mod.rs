//! The process that runs all simulated workers of a zone: the worker's own code and real HTTP, with simulated
//! tasks and image fetches.
//!
//! `control_protocol` carries out the run's commands, `controller_traffic` exchanges messages with the
//! controllers, and `observation` derives the events for the checker. This module owns the zone's state and
//! its event loop.

mod clock;
mod control_protocol;
mod controller_traffic;
mod observation;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use olivelatch_net::client::HttpClient;
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{ConnectionId, HttpServer, IncomingRequest, ListenerId};
use olivelatch_worker::{GangTimes, HeartbeatTimes, JobDescriptions, Worker, coordinate_gangs};
use polling::Events;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

pub(crate) use self::clock::{RunClock, unix_ms};
use self::observation::WorkerContext;
use crate::control::ZoneStatus;
use crate::error::{ScaleError, io_error};
use crate::plan::Defect;

/// The arguments of a process of simulated workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneProcessArguments {
    /// Address at which the process receives the run's commands.
    pub control: SocketAddr,
    /// Addresses of the controllers, by controller index.
    pub controllers: Vec<SocketAddr>,
    /// Start of the run, in Unix time in milliseconds. The times of all processes count from it.
    pub epoch_ms: u64,
    /// Mean time between a worker's heartbeats, in milliseconds.
    pub report_ms: u64,
    /// Time after which a worker's lease expires if it is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// Time that a gang waits for all its members, in milliseconds.
    pub gang_wait_ms: u64,
    /// Time that a member of a gang may be missing before the others are stopped, in milliseconds.
    pub gang_peer_ms: u64,
    /// Seed of the zone's random number generator.
    pub seed: u64,
    /// Defect that the workers have on purpose, to test the checker.
    pub defect: Option<Defect>,
}

/// Listener of the control protocol; the listeners of the workers have higher ids.
const CONTROL_LISTENER: ListenerId = ListenerId(0);
/// Maximum time that the event loop waits for socket events between two steps.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks of the gangs.
const GANG_CHECK_MS: u64 = 100;
/// Minimum time between a heartbeat and the next one that a change triggers.
const MIN_HEARTBEAT_GAP_MS: u64 = 500;
/// Time after a failed heartbeat before the next controller is tried.
const HEARTBEAT_RETRY_MS: u64 = 1_000;
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// The process exits if it has received no message from the run for this long, because the run has then
/// ended.
const CONTROL_LOSS_TIMEOUT_MS: u64 = 15_000;
/// Estimated size of the HTTP head of a control message in bytes.
const MESSAGE_HEAD_BYTES: u64 = 200;

/// Bytes of the control messages. They are subtracted from the traffic of the process, so that only the
/// workers' own traffic is reported.
#[derive(Default)]
struct ControlTraffic {
    bytes_in: u64,
    bytes_out: u64,
}

struct Zone {
    arguments: ZoneProcessArguments,
    heartbeat_times: HeartbeatTimes,
    clock: RunClock,
    poller: Arc<EventPoller>,
    keys: KeyAllocator,
    server: HttpServer,
    http_client: HttpClient,
    rng: StdRng,
    workers: Vec<Worker>,
    /// Listener, heartbeat sender and observed attempts of each worker, at the same indices as `workers`.
    worker_contexts: Vec<WorkerContext>,
    /// Index in `workers` of the worker that a listener belongs to.
    worker_by_listener: HashMap<ListenerId, usize>,
    next_listener: usize,
    jobs: JobDescriptions,
    /// Time since which a member of a started gang has been missing, by job and attempt; state of
    /// `coordinate_gangs`.
    incomplete_gangs: BTreeMap<(String, u64), u64>,
    next_gang_check: u64,
    partitioned: bool,
    /// Connections with a request that arrived during the partition; the response is delayed until the
    /// partition ends.
    unanswered_connections: Vec<ConnectionId>,
    status: ZoneStatus,
    control_traffic: ControlTraffic,
    last_command_at: u64,
}

/// Serves a zone's simulated workers until the run ends.
///
/// # Errors
///
/// A listener cannot be opened or polled.
pub fn serve_zone(arguments: ZoneProcessArguments) -> Result<(), ScaleError> {
    let mut zone = Zone::new(arguments)?;
    let mut events = Events::new();
    while zone.clock.now() < zone.last_command_at + CONTROL_LOSS_TIMEOUT_MS {
        events.clear();
        zone.poller.wait(&mut events, POLL_INTERVAL).map_err(io_error("polling sockets"))?;
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            zone.handle_event(key)?;
        }
        zone.step();
    }
    Ok(())
}

impl Zone {
    fn new(arguments: ZoneProcessArguments) -> Result<Zone, ScaleError> {
        let poller = Arc::new(EventPoller::new().map_err(io_error("creating the socket poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&poller));
        server
            .listen(&mut keys, arguments.control, CONTROL_LISTENER)
            .map_err(io_error(format!("listening on {}", arguments.control)))?;
        let clock = RunClock::new(arguments.epoch_ms);
        Ok(Zone {
            heartbeat_times: HeartbeatTimes {
                interval_ms: arguments.report_ms,
                min_change_interval_ms: MIN_HEARTBEAT_GAP_MS,
                retry_ms: HEARTBEAT_RETRY_MS,
                response_timeout_ms: HEARTBEAT_TIMEOUT_MS,
            },
            http_client: HttpClient::new(&poller),
            rng: StdRng::seed_from_u64(arguments.seed),
            last_command_at: clock.now(),
            clock,
            poller,
            keys,
            server,
            workers: Vec::new(),
            worker_contexts: Vec::new(),
            worker_by_listener: HashMap::new(),
            next_listener: CONTROL_LISTENER.0 + 1,
            jobs: JobDescriptions::new(),
            incomplete_gangs: BTreeMap::new(),
            next_gang_check: 0,
            partitioned: false,
            unanswered_connections: Vec::new(),
            status: ZoneStatus::default(),
            control_traffic: ControlTraffic::default(),
            arguments,
        })
    }

    fn handle_event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if self.server.owns_key(key) {
            let mut next = self.server.handle_event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now)?;
            }
        } else if self.http_client.owns_key(key)
            && let Some((slot, response)) = self.http_client.handle_event(key)
        {
            self.handle_heartbeat_response(slot, response.as_ref(), now);
        }
        Ok(())
    }

    /// Responds to a request; returns the next request on the same connection, if it has already arrived.
    fn handle_request(
        &mut self,
        incoming: IncomingRequest,
        now: u64,
    ) -> Result<Option<IncomingRequest>, ScaleError> {
        let IncomingRequest { connection, listener, request } = incoming;
        if listener == CONTROL_LISTENER {
            let body = self.handle_control_message(&request.body, now)?;
            self.control_traffic.bytes_in += request.body.len() as u64 + MESSAGE_HEAD_BYTES;
            self.control_traffic.bytes_out += body.len() as u64 + MESSAGE_HEAD_BYTES;
            return Ok(self.server.respond(connection, 200, &body));
        }
        if self.partitioned {
            self.unanswered_connections.push(connection);
            return Ok(None);
        }
        let route = (request.method.as_str(), request.path.as_str());
        let (status, body) = self.handle_worker_request(listener, route, &request.body, now);
        Ok(self.server.respond(connection, status, body.to_string().as_bytes()))
    }

    /// Advances all workers to the present time, records the events and sends the heartbeats that are due.
    fn step(&mut self) {
        let now = self.clock.now();
        for (slot, response) in self.http_client.expire_calls(now) {
            self.handle_heartbeat_response(slot, response.as_ref(), now);
        }
        self.server.close_idle(now);
        for worker in &mut self.workers {
            worker.advance(now, self.arguments.lease_ms, &self.jobs);
            worker.started_tasks.clear();
            worker.take_process_actions();
        }
        if now >= self.next_gang_check {
            self.next_gang_check = now + GANG_CHECK_MS;
            self.check_gangs(now);
        }
        self.observe_workers(now);
        if !self.partitioned {
            self.send_heartbeats(now);
        }
    }

    fn check_gangs(&mut self, now: u64) {
        let times = GangTimes {
            gather_timeout_ms: self.arguments.gang_wait_ms,
            peer_loss_timeout_ms: self.arguments.gang_peer_ms,
        };
        coordinate_gangs(&mut self.workers, now, times, &self.jobs, &mut self.incomplete_gangs);
    }

    /// Records an event for each task whose state has changed since the last call.
    fn observe_workers(&mut self, now: u64) {
        for (worker, context) in self.workers.iter().zip(&mut self.worker_contexts) {
            context.observe(worker, now, &mut self.status.events);
        }
    }
}
