//! One controller: events in, actions out.

mod config_requests;
mod graph_requests;
mod job_counters;
mod kv_replies;
mod operator_queries;
mod watermarks;

use std::collections::HashMap;
use std::sync::Arc;

use olivelatch_admission::pressure::{Pressure, PressureLevel};

use crate::bookkeeping::job_counters::JobCounters;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::config_requests::ConfigRequestHandler;
use crate::coordination::graph_requests::GraphRequestHandler;
use crate::coordination::kv_client::KvClient;
use crate::coordination::leader::Leader;
use crate::coordination::leader::machines::commands::{DirectMessage, DirectOutcome};
use crate::coordination::leader::machines::heartbeats::HeartbeatReply;
use crate::coordination::leadership::{Leadership, MAX_CACHE_AGE_MS};
use crate::coordination::operator_queries::OperatorQueryHandler;
use crate::coordination::peers::Peers;
use crate::coordination::read_watermarks::ReadWatermarks;
use crate::coordination::user_requests::{UserRequestContext, UserRequestHandler};
use crate::coordination::{Action, Clock, Event, InboundId, OutboundId};
use crate::ids::{FencingToken, Millis, Revision};
use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::config::ENTRY_FORMAT_VERSION;
use crate::protocol::peer::PeerMessage;
use crate::protocol::workers::{
    Heartbeat, commands_request, commands_response, parse_heartbeat, redirect_response,
};
use crate::protocol::{HttpOutcome, HttpResponse};
use crate::settings::Settings;
use crate::tunables::Tunables;

/// How often changes are looked for when nobody waits for them.
const LEADER_POLL_MS: u64 = 250;
const FOLLOWER_POLL_MS: u64 = 500;
const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_500;
const CATALOG_RETRY_MS: u64 = 3_000;
/// Nodes hear of one another's state with that much delay.
const ISOLATED_MS: u64 = 1_500;
/// A new leader first lets its workers find it.
const LEADER_SETTLE_MS: u64 = 8_000;
const PREFERRED_LEADER_MS: u64 = 3_000;
/// What only time changes (silent machines, forgotten thieves) is looked at that often, so
/// that events cost the same however many machines there are.
const SCAN_INTERVAL_MS: u64 = 250;
const DIRECT_ID_BASE: u64 = 1 << 63;
const CATALOG_OUTBOUND_ID: OutboundId = OutboundId((1 << 63) - 1);

pub struct Controller {
    settings: Arc<Settings>,
    tunables: Arc<Tunables>,
    seed: u64,
    cache: StoreCache,
    kv_client: KvClient,
    leadership: Leadership,
    user_requests: UserRequestHandler,
    graph_requests: GraphRequestHandler,
    config_requests: ConfigRequestHandler,
    leader: Option<Leader>,
    /// Acquired, but the mirror does not reach up to the token yet.
    pending_leadership: Option<(FencingToken, Millis)>,
    direct_commands: HashMap<OutboundId, DirectMessage>,
    last_direct_id: u64,
    next_catalog_at: Millis,
    peers: Peers,
    watermarks: ReadWatermarks,
    peer_names: Vec<String>,
    now: Millis,
    /// Since when only this node has trouble with the state service.
    isolated_since: Option<Millis>,
    /// When the leader next looks at all its machines.
    next_scan_at: Millis,
    operator_queries: OperatorQueryHandler,
    started_at: Millis,
    /// Times that this node began to lead.
    leaderships_started: u64,
    /// How far it is behind its events.
    pressure: Pressure,
    /// When accounts are next shown, and what was shown last.
    next_counters_log_at: Millis,
    logged_counters: Vec<JobCounters>,
}

impl Controller {
    pub fn new(settings: Settings, tunables: Tunables, seed: u64, clock: Clock) -> Controller {
        let life_ms = (tunables.leader_lease_s * 1000.0) as u64;
        let peer_names: Vec<String> = settings.peers.iter().map(|other| other.controller.clone()).collect();
        let operators = tunables.operators.clone();
        let graphs = tunables.graphs.enabled;
        let config = tunables.config.enabled.then_some(ENTRY_FORMAT_VERSION);
        Controller {
            leadership: Leadership::new(&settings.controller, life_ms).with_config_format(config),
            kv_client: KvClient::new(settings.kv_limits, settings.controller_count, clock.now),
            settings: Arc::new(settings),
            tunables: Arc::new(tunables),
            seed,
            cache: StoreCache::default(),
            user_requests: UserRequestHandler::new(operators.enabled, graphs),
            graph_requests: GraphRequestHandler::default(),
            config_requests: ConfigRequestHandler::default(),
            operator_queries: OperatorQueryHandler::new(&operators, seed, clock.now),
            started_at: clock.now,
            leaderships_started: 0,
            pressure: Pressure::default(),
            next_counters_log_at: clock.now,
            logged_counters: Vec::new(),
            leader: None,
            pending_leadership: None,
            direct_commands: HashMap::new(),
            last_direct_id: DIRECT_ID_BASE,
            next_catalog_at: Millis::default(),
            peers: Peers::default(),
            watermarks: ReadWatermarks::new(&peer_names),
            peer_names,
            now: clock.now,
            isolated_since: None,
            next_scan_at: Millis::default(),
        }
    }

    /// Can this node take users' requests?
    /// A node that alone is refused by the state service sends its users elsewhere; in an
    /// outage for all, nodes keep their place in the balancer, so that recovery is quick.
    pub fn is_ready(&self) -> bool {
        let isolated =
            self.isolated_since.is_some_and(|since| self.now.saturating_since(since) > ISOLATED_MS);
        self.kv_client.loaded && !self.cache.machine_types.is_empty() && !isolated
    }

    /// It follows a leader and nobody waits for it: what is due can wait a little.
    pub fn is_idle(&self) -> bool {
        let is_leading = self.leader.is_some() || self.pending_leadership.is_some();
        let follows = !is_leading && self.kv_client.loaded && self.cache.leader.is_some();
        let pending = self.user_requests.unsent_count()
            + self.graph_requests.pending_count()
            + self.config_requests.pending_count();
        follows && pending == 0 && self.now >= self.peers.preferred_until
    }

    /// What only a leader has.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// A worker's event is looked at that waited so long; what is left undone follows from it (docs/overload.md).
    pub fn record_event_wait(&mut self, now: Millis, wait_ms: u64) {
        if !self.tunables.overload.load_shedding {
            return;
        }
        if self.pressure.record_wait(now.0, wait_ms) {
            log::info!(event = "pressure", level:? = self.pressure.level(); "pressure: {:?}", self.pressure.level());
        }
        if let Some(leader) = &mut self.leader {
            leader.pressure = self.pressure.level();
        }
    }

    /// Takes one event in and does what is due.
    pub fn handle_event(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        let mut out = self.receive_event(clock, event);
        out.extend(self.step(clock));
        out
    }

    /// Takes an event in and answers it; what else follows from it is left to the next step.
    pub fn receive_event(&mut self, clock: Clock, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = clock.now;
        match event {
            Event::Tick => {}
            Event::User { inbound: call, request } => {
                let context = UserRequestContext {
                    cache: &self.cache,
                    watermarks: &self.watermarks,
                    settings: &self.settings,
                };
                let response = self.user_requests.receive(clock, call, request, &self.kv_client, &context);
                out.extend(response.map(|answer| Action::Respond { inbound: call, response: answer }));
            }
            Event::Heartbeat { inbound: call, heartbeat: report } => {
                self.handle_heartbeat(clock, call, &report, &mut out)
            }
            Event::Kv { outbound: ask, outcome } => self.handle_kv_response(clock, ask, &outcome, &mut out),
            Event::Cloud { outbound: ask, outcome } => self.handle_cloud_response(clock, ask, &outcome),
            Event::WorkerCommands { outbound: ask, outcome } => {
                self.handle_commands_response(clock, ask, &outcome)
            }
            Event::Peer { controller: node, message } => {
                self.handle_mesh_message(clock, &node, message, &mut out)
            }
            Event::Operator { inbound: call, request } => {
                self.handle_operator_query(clock, call, request, &mut out)
            }
            Event::Graph { inbound: call, request } => {
                self.handle_graph_request(clock, call, request, &mut out)
            }
            Event::Config { inbound: call, request } => {
                self.handle_config_request(clock, call, request, &mut out)
            }
        }
        for id in self.user_requests.take_reported_done() {
            self.cache.count_notified_done(id);
        }
        out
    }

    /// What is due now, whatever the events were: one step for all that came in together.
    pub fn step(&mut self, clock: Clock) -> Vec<Action> {
        let mut outputs = Vec::new();
        let out = &mut outputs;
        let is_leading = self.leader.is_some() || self.pending_leadership.is_some();
        let due = if is_leading { LEADER_POLL_MS } else { FOLLOWER_POLL_MS };
        let preferred = clock.now < self.peers.preferred_until;
        self.leadership.tick(clock, preferred, &self.cache, &mut self.kv_client, out);
        let barrier_needed = self.user_requests.needs_read_barrier()
            || self.operator_queries.needs_read_barrier()
            || self.graph_requests.needs_read_barrier()
            || self.config_requests.needs_read_barrier(&self.cache);
        let read_wanted = barrier_needed || self.pending_leadership.is_some() || preferred;
        let writes_wait =
            self.user_requests.has_writes_to_send() || self.config_requests.has_writes_to_send();
        let reserved_requests = usize::from(writes_wait) + usize::from(self.leader.is_some());
        self.kv_client.refresh_cache(clock, read_wanted, due, reserved_requests, &self.cache, out);
        self.process_watermarks(clock, out);
        self.user_requests.expire(clock, self.kv_client.is_reachable(clock.now), out);
        if self.operator_queries.enabled {
            self.expire_operator_queries(clock, out);
        }
        let ops = self.settings.kv_limits.max_txn_ops;
        self.user_requests.send_writes(clock, ops, &self.cache, &mut self.kv_client, out);
        self.process_graph_requests(clock, out);
        self.process_config_requests(clock, out);
        self.request_catalog(clock, out);
        self.peers.send_beacons(clock.now, &self.peer_names, self.kv_client.is_reachable(clock.now), out);
        // At both ends of an outage for all, nodes notice at different moments. Who hears nobody either is cut off.
        let cut_off = !self.peer_names.is_empty() && !self.peers.has_live_peer(clock.now);
        let isolated = !self.kv_client.is_reachable(clock.now)
            && (cut_off || self.peers.any_peer_reaches_store(clock.now));
        self.isolated_since = self.isolated_since.or(Some(clock.now)).filter(|_| isolated);
        if clock.now >= self.next_scan_at {
            self.step_down_if_unreachable(clock, out);
            self.log_job_counters(clock);
        }
        self.run_leader(clock, out);
        outputs
    }

    /// A node that knows no machine types asks the cloud itself.
    fn request_catalog(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if self.kv_client.loaded && self.cache.machine_types.is_empty() && clock.now >= self.next_catalog_at {
            self.next_catalog_at = clock.now.saturating_add(CATALOG_RETRY_MS);
            out.push(Action::CallCloud {
                outbound: CATALOG_OUTBOUND_ID,
                request: CloudRequest::Catalog,
                timeout_ms: 3_000,
            });
        }
    }

    fn run_leader(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let may_act = self.may_act(clock);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.event_log.set_wall_time(clock.wall_ms);
        let scan_due = clock.now >= self.next_scan_at;
        if scan_due {
            self.next_scan_at = clock.now.saturating_add(SCAN_INTERVAL_MS);
            leader.expire_machine_leases(clock);
        }
        if !may_act {
            return;
        }
        if scan_due {
            leader.return_silent_spot_machines(clock);
            leader.sweep(clock);
            leader.scan_dag_runs(&self.cache, clock);
            leader.log_status(clock.now);
        }
        leader.place_tasks(clock);
        leader.run_provisioner(clock, &self.cache, out);
        leader.write_records(clock, &self.cache, &mut self.kv_client, out);
        for direct in leader.take_direct_messages(clock, may_act) {
            let machine = &leader.cluster.machines[direct.machine.index()];
            self.last_direct_id += 1;
            let outbound = OutboundId(self.last_direct_id);
            out.push(Action::SendWorkerCommands {
                outbound,
                endpoint: machine.endpoint.clone(),
                request: commands_request(leader.term.token(), direct.epoch, &direct.commands),
                timeout_ms: DIRECT_COMMAND_TIMEOUT_MS,
            });
            self.direct_commands.insert(outbound, direct);
        }
    }

    /// A leader that its workers cannot reach keeps nobody else from leading: without
    /// this, a node cut off from the network but not from the state service would renew
    /// its lease while every worker's lease runs out.
    fn step_down_if_unreachable(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let Some(leader) = &self.leader else { return };
        // Who is behind its events has not looked at what its workers say: their silence is its own.
        let behind = self.pressure.level() > PressureLevel::Calm;
        if behind
            || self.peer_names.is_empty()
            || clock.now.saturating_since(leader.term.acquired_at()) < LEADER_SETTLE_MS
        {
            return;
        }
        let (all, silent) = leader.count_overdue_workers(clock.now);
        if silent < 2 {
            return;
        }
        let best = self.peers.best_candidate(clock.now);
        let misdirected = best.as_ref().map_or(0, |(_, misdirected)| *misdirected as usize);
        let reachable_elsewhere = silent * 7 >= all && misdirected * 10 >= silent * 6;
        if silent < all && !reachable_elsewhere {
            return;
        }
        log::info!("resigns: {silent} of {all} workers are silent, {misdirected} of them seen elsewhere");
        if let Some((node, _)) = best {
            out.push(Action::SendPeerMessage { controller: node, message: PeerMessage::TransferLeadership });
        }
        self.leadership.step_down(clock, &mut self.kv_client, out);
        self.step_down();
    }

    /// Entitled: the lease is certainly ours and the mirror is fresh.
    fn may_act(&self, clock: Clock) -> bool {
        let fresh = self
            .kv_client
            .fresh_as_of
            .is_some_and(|fresh| clock.now.saturating_since(fresh) < MAX_CACHE_AGE_MS);
        self.leader.is_some() && fresh && self.leadership.has_valid_lease(clock.now)
    }

    fn handle_heartbeat(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        report: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let response = self.heartbeat_response(clock, report);
        out.push(Action::Respond { inbound, response });
    }

    fn heartbeat_response(&mut self, clock: Clock, report: &Heartbeat) -> HttpResponse {
        let may_act = self.may_act(clock);
        let respond_until =
            self.leadership.serves_workers_until(&self.settings.worker_timings, self.kv_client.fresh_as_of);
        if let Some(leader) = &mut self.leader {
            if report.token > leader.term.token() {
                log::info!("{} has heard of a later leader", report.machine);
                self.step_down();
                return redirect_response(None);
            }
            if clock.now >= respond_until {
                return HttpResponse::retry_later("not entitled", 1);
            }
            return match leader.handle_heartbeat(&mut self.cache, clock, report, may_act) {
                HeartbeatReply::Commands(orders) => commands_response(leader.term.token(), &orders),
                HeartbeatReply::Reject => HttpResponse::retry_later("not entitled", 1),
            };
        }
        match &self.cache.leader {
            Some(leader) if leader.controller != self.settings.controller => {
                self.peers.record_misdirected(clock.now, &report.machine);
                redirect_response(Some(&leader.controller))
            }
            _ => HttpResponse::retry_later("no leader", 1),
        }
    }

    fn step_down(&mut self) {
        if self.leader.take().is_some() {
            log::info!("leads no more");
        }
        self.pending_leadership = None;
        self.direct_commands.clear();
        self.leadership.become_follower();
        self.kv_client.set_is_leader(false);
    }

    fn handle_cloud_response(&mut self, clock: Clock, outbound: OutboundId, outcome: &HttpOutcome) {
        if outbound == CATALOG_OUTBOUND_ID {
            if let CloudReply::Catalog(entries) = CloudRequest::Catalog.parse_reply(outcome) {
                for entry in entries {
                    self.cache.machine_types.insert(entry.name.clone(), entry);
                }
                if let Some(leader) = &mut self.leader {
                    leader.load_machine_types(&mut self.cache);
                }
            }
            return;
        }
        if let Some(leader) = &mut self.leader
            && leader.owns_outbound(outbound)
        {
            leader.handle_cloud_response(clock, outbound, outcome, &mut self.cache);
        }
    }

    fn handle_commands_response(&mut self, clock: Clock, outbound: OutboundId, outcome: &HttpOutcome) {
        let Some(direct) = self.direct_commands.remove(&outbound) else {
            return;
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let result = match outcome {
            HttpOutcome::Response { status: 200, .. } => DirectOutcome::Executed,
            HttpOutcome::Response { .. } | HttpOutcome::NotSent => DirectOutcome::Refused,
            HttpOutcome::Unknown | HttpOutcome::TooLarge => DirectOutcome::Unknown,
        };
        if let HttpOutcome::Response { body, .. } = outcome
            && let Some(report) = parse_heartbeat(body)
        {
            if report.token > leader.term.token() {
                log::info!("{} has heard of a later leader", report.machine);
                self.step_down();
                return;
            }
            let same_machine = leader.cluster.machines[direct.machine.index()].name == report.machine;
            if same_machine {
                leader.observe_command_response(direct.machine, clock, &report);
            }
        }
        leader.handle_direct_outcome(&direct, result, clock);
    }

    fn handle_mesh_message(
        &mut self,
        clock: Clock,
        controller: &str,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::HealthStatus {
                kv_reachable: state_ok,
                misrouted_workers: misdirected,
                misrouted_workers_elsewhere: misdirected_elsewhere,
            } => {
                self.peers.receive_beacon(
                    clock.now,
                    controller,
                    state_ok,
                    misdirected,
                    misdirected_elsewhere,
                );
            }
            PeerMessage::TransferLeadership => {
                log::info!("{controller} would like this node to lead");
                self.peers.preferred_until = clock.now.saturating_add(PREFERRED_LEADER_MS);
                self.kv_client.poll_now();
            }
            PeerMessage::Hello { .. } => {}
            PeerMessage::RevisionNotice { revision } => {
                self.handle_write_notification(controller, revision, out)
            }
            PeerMessage::ReadWatermark { revision } => {
                self.watermarks.record_peer_read(controller, Revision(revision))
            }
            PeerMessage::Query { query_id: ask, query: question } => {
                self.receive_forwarded_query(clock, controller, ask, &question, out)
            }
            PeerMessage::QueryResponse { query_id: ask, status, retry_after_s, body } => {
                let response = HttpResponse { status, retry_after_s, ..HttpResponse::json_bytes(body) };
                self.receive_leader_response(clock, ask, response, out);
            }
        }
    }
}
