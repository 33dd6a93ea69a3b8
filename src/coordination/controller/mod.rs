//! One controller: receives events, keeps its cache of the store fresh, and returns the resulting actions. It
//! owns all state of a controller's process, performs no I/O and reads no clock.
//!
//! Each submodule handles the events of one interface; `step` does the work that is due regardless of which
//! events arrived.

mod catalog;
mod config_requests;
mod direct_commands;
mod graph_requests;
mod isolation;
mod job_counters;
mod kv_replies;
mod leadership;
mod operator_queries;
mod operator_views;
mod peer_messages;
mod step;
mod watermarks;
mod workers;

use catalog::CatalogLoader;
use direct_commands::DirectCommands;
use isolation::IsolationDetector;
use job_counters::JobCountersLog;
use leadership::AcquiredLeadership;
use olivelatch_admission::pressure::Pressure;

use crate::coordination::config_requests::ConfigRequestHandler;
use crate::coordination::controller_state::ControllerState;
use crate::coordination::graph_requests::GraphRequestHandler;
use crate::coordination::kv_client::KvClient;
use crate::coordination::leader::Leader;
use crate::coordination::leadership::Leadership;
use crate::coordination::operator_queries::OperatorQueryHandler;
use crate::coordination::peers::Peers;
use crate::coordination::user_requests::UserRequestHandler;
use crate::coordination::{Action, Clock, Event};
use crate::ids::Millis;
use crate::protocol::config::ENTRY_FORMAT_VERSION;
use crate::settings::Settings;
use crate::tunables::Tunables;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The state of one controller's process.
pub struct Controller {
    state: ControllerState,
    /// Seeds the random generator of each term as leader; forwarded queries are numbered after it.
    seed: u64,
    kv_client: KvClient,
    leadership: Leadership,
    /// Present while the leader key is held but the cache has not read up to its fencing token.
    acquired_leadership: Option<AcquiredLeadership>,
    /// How many times this controller has begun to lead.
    leaderships_started: u64,
    user_requests: UserRequestHandler,
    graph_requests: GraphRequestHandler,
    config_requests: ConfigRequestHandler,
    operator_queries: OperatorQueryHandler,
    direct_commands: DirectCommands,
    catalog: CatalogLoader,
    peers: Peers,
    peer_names: Vec<String>,
    isolation: IsolationDetector,
    /// How far this controller lags behind its events.
    pressure: Pressure,
    counters_log: JobCountersLog,
    /// When the last event was received.
    now: Millis,
    started_at: Millis,
    /// When the periodic scans are next due.
    next_scan_at: Millis,
}

impl Controller {
    /// Creates a controller that has not read the store yet. `seed` must differ from process to process.
    pub fn new(settings: Settings, tunables: Tunables, seed: u64, clock: Clock) -> Controller {
        let leader_lease_ms = (tunables.leader_lease_s * MILLIS_PER_SECOND) as u64;
        let config_format = tunables.config.enabled.then_some(ENTRY_FORMAT_VERSION);
        let peer_names: Vec<String> = settings.peers.iter().map(|peer| peer.controller.clone()).collect();
        Controller {
            seed,
            kv_client: KvClient::new(settings.kv_limits, settings.controller_count, clock.now),
            leadership: Leadership::new(&settings.controller, leader_lease_ms)
                .with_config_format(config_format),
            acquired_leadership: None,
            leaderships_started: 0,
            user_requests: UserRequestHandler::new(&tunables),
            graph_requests: GraphRequestHandler::default(),
            config_requests: ConfigRequestHandler::default(),
            operator_queries: OperatorQueryHandler::new(&tunables.operators, seed, clock.now),
            direct_commands: DirectCommands::default(),
            catalog: CatalogLoader::default(),
            peers: Peers::default(),
            isolation: IsolationDetector::default(),
            pressure: Pressure::default(),
            counters_log: JobCountersLog::new(clock.now),
            now: clock.now,
            started_at: clock.now,
            next_scan_at: Millis::default(),
            state: ControllerState::new(settings, tunables, &peer_names),
            peer_names,
        }
    }

    /// Returns whether this controller can serve users' requests.
    ///
    /// A controller that alone cannot reach the store is not ready, so that users are sent to the others. In
    /// an outage that affects all controllers, they stay in the load balancer, so that recovery is quick.
    pub fn is_ready(&self) -> bool {
        self.kv_client.loaded
            && !self.state.cache.machine_types.is_empty()
            && !self.isolation.is_isolated(self.now)
    }

    /// Returns whether this controller follows a leader and no client waits for it, so that its next step may
    /// be delayed slightly.
    pub fn is_idle(&self) -> bool {
        let follows = !self.leads_or_will() && self.kv_client.loaded && self.state.known_leader().is_some();
        let pending = self.user_requests.pending_count()
            + self.graph_requests.pending_count()
            + self.config_requests.pending_count();
        follows && pending == 0 && self.now >= self.peers.preferred_until
    }

    /// Returns the leader's state while this controller leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.state.leader.as_ref()
    }

    /// Records how long a worker's event has waited. The resulting pressure level determines what load the
    /// leader sheds (docs/overload.md).
    pub fn record_event_wait(&mut self, now: Millis, wait_ms: u64) {
        if !self.state.tunables.overload.load_shedding {
            return;
        }
        if self.pressure.record_wait(now.0, wait_ms) {
            let level = self.pressure.level();
            log::info!(event = "pressure", level:? = level; "pressure: {level:?}");
        }
        if let Some(leader) = &mut self.state.leader {
            leader.pressure = self.pressure.level();
        }
    }

    /// Handles one event, then does the work that is due.
    pub fn handle_event(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        let mut out = self.receive_event(clock, event);
        out.extend(self.step(clock));
        out
    }

    /// Handles one event and responds to it. All other work that results from it is left to the next step.
    pub fn receive_event(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = clock.now;
        self.dispatch(clock, event, &mut out);
        for id in self.user_requests.take_reported_done() {
            self.state.cache.count_notified_done(id);
        }
        out
    }

    fn dispatch(&mut self, clock: Clock, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::User { inbound, request } => {
                let response =
                    self.user_requests.receive(clock, inbound, request, &self.kv_client, &self.state);
                out.extend(response.map(|response| Action::Respond { inbound, response }));
            }
            Event::Heartbeat { inbound, heartbeat } => {
                self.handle_heartbeat(clock, inbound, &heartbeat, out);
            }
            Event::Kv { outbound, outcome } => self.handle_kv_response(clock, outbound, &outcome, out),
            Event::Cloud { outbound, outcome } => self.handle_cloud_response(clock, outbound, &outcome),
            Event::WorkerCommands { outbound, outcome } => {
                self.handle_commands_response(clock, outbound, &outcome);
            }
            Event::Peer { controller, message } => {
                self.handle_peer_message(clock, &controller, message, out);
            }
            Event::Operator { inbound, request } => {
                self.handle_operator_query(clock, inbound, request, out);
            }
            Event::Graph { inbound, request } => self.handle_graph_request(clock, inbound, request, out),
            Event::Config { inbound, request } => self.handle_config_request(clock, inbound, request, out),
        }
    }
}
