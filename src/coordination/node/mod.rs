//! One controller: events in, actions out.

mod accounts;
mod config;
mod graphs;
mod operators;
mod records;
mod watermarks;

use std::collections::HashMap;
use std::sync::Arc;

use olivelatch_admission::pressure::{Level, Pressure};

use crate::bookkeeping::accounts::Account;
use crate::bookkeeping::mirror::Mirror;
use crate::coordination::config::ConfigDesk;
use crate::coordination::graphs::GraphDesk;
use crate::coordination::leader::Leader;
use crate::coordination::leader::machines::orders::{Direct, DirectOutcome};
use crate::coordination::leader::machines::reports::Verdict;
use crate::coordination::leadership::{Leadership, STALE_MS};
use crate::coordination::ledger::Ledger;
use crate::coordination::operators::Operators;
use crate::coordination::peers::Peers;
use crate::coordination::users::{Records, Users};
use crate::coordination::watermarks::Watermarks;
use crate::coordination::{AskId, CallId, Clock, Input, Output};
use crate::ids::{Millis, Revision, Token};
use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::config::FORMAT;
use crate::protocol::mesh::MeshMessage;
use crate::protocol::workers::{Report, elsewhere, orders_answer, orders_call, read_report};
use crate::protocol::{Answer, Outcome};
use crate::settings::Settings;
use crate::tunables::Tunables;

/// How often changes are looked for when nobody waits for them.
const LEADER_POLL_MS: u64 = 250;
const FOLLOWER_POLL_MS: u64 = 500;
const DIRECT_TIMEOUT_MS: u64 = 2_500;
const CATALOG_RETRY_MS: u64 = 3_000;
/// Nodes hear of one another's state with that much delay.
const ALONE_MS: u64 = 1_500;
/// A new leader first lets its workers find it.
const SETTLE_MS: u64 = 8_000;
const FAVOURED_MS: u64 = 3_000;
/// What only time changes (silent machines, forgotten thieves) is looked at that often, so
/// that events cost the same however many machines there are.
const LOOK_AROUND_MS: u64 = 250;
const DIRECT_ASK: u64 = 1 << 63;
const CATALOG_ASK: AskId = AskId((1 << 63) - 1);

pub struct Node {
    settings: Arc<Settings>,
    tunables: Arc<Tunables>,
    seed: u64,
    mirror: Mirror,
    ledger: Ledger,
    leadership: Leadership,
    users: Users,
    graph_desk: GraphDesk,
    config_desk: ConfigDesk,
    leader: Option<Leader>,
    /// Acquired, but the mirror does not reach up to the token yet.
    taking_over: Option<(Token, Millis)>,
    directs: HashMap<AskId, Direct>,
    next_direct: u64,
    catalog_next: Millis,
    peers: Peers,
    watermarks: Watermarks,
    others: Vec<String>,
    now: Millis,
    /// Since when only this node has trouble with the state service.
    alone_since: Option<Millis>,
    /// When the leader next looks at all its machines.
    look_around_next: Millis,
    operators: Operators,
    started: Millis,
    /// Times that this node began to lead.
    takeovers: u64,
    /// How far it is behind its events.
    pressure: Pressure,
    /// When accounts are next shown, and what was shown last.
    accounts_next: Millis,
    accounts_shown: Vec<Account>,
}

impl Node {
    pub fn new(settings: Settings, tunables: Tunables, seed: u64, clock: Clock) -> Node {
        let life_ms = (tunables.leader_life_s * 1000.0) as u64;
        let others: Vec<String> = settings.others.iter().map(|other| other.node.clone()).collect();
        let operators = tunables.operators.clone();
        let graphs = tunables.graphs.enabled;
        let config = tunables.config.enabled.then_some(FORMAT);
        Node {
            leadership: Leadership::new(&settings.node, life_ms).acting_by(config),
            ledger: Ledger::new(settings.state_limits, settings.nodes, clock.now),
            settings: Arc::new(settings),
            tunables: Arc::new(tunables),
            seed,
            mirror: Mirror::default(),
            users: Users::new(operators.enabled, graphs),
            graph_desk: GraphDesk::default(),
            config_desk: ConfigDesk::default(),
            operators: Operators::new(&operators, seed, clock.now),
            started: clock.now,
            takeovers: 0,
            pressure: Pressure::default(),
            accounts_next: clock.now,
            accounts_shown: Vec::new(),
            leader: None,
            taking_over: None,
            directs: HashMap::new(),
            next_direct: DIRECT_ASK,
            catalog_next: Millis::default(),
            peers: Peers::default(),
            watermarks: Watermarks::new(&others),
            others,
            now: clock.now,
            alone_since: None,
            look_around_next: Millis::default(),
        }
    }

    /// Can this node take users' requests?
    /// A node that alone is refused by the state service sends its users elsewhere; in an
    /// outage for all, nodes keep their place in the balancer, so that recovery is quick.
    pub fn ready(&self) -> bool {
        let alone = self.alone_since.is_some_and(|since| self.now.since(since) > ALONE_MS);
        self.ledger.loaded && !self.mirror.kinds.is_empty() && !alone
    }

    /// It follows a leader and nobody waits for it: what is due can wait a little.
    pub fn quiet(&self) -> bool {
        let leads = self.leader.is_some() || self.taking_over.is_some();
        let follows = !leads && self.ledger.loaded && self.mirror.leader.is_some();
        let held = self.users.held() + self.graph_desk.held() + self.config_desk.held();
        follows && held == 0 && self.now >= self.peers.favoured_until
    }

    /// What only a leader has.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// A worker's event is looked at that waited so long; what is left undone follows from it (docs/overload.md).
    pub fn waited(&mut self, now: Millis, wait_ms: u64) {
        if !self.tunables.overload.pressure {
            return;
        }
        if self.pressure.waited(now.0, wait_ms) {
            log::info!(event = "pressure", level:? = self.pressure.level(); "pressure: {:?}", self.pressure.level());
        }
        if let Some(leader) = &mut self.leader {
            leader.pressure = self.pressure.level();
        }
    }

    /// Takes one event in and does what is due.
    pub fn handle(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        let mut out = self.take(clock, input);
        out.extend(self.step(clock));
        out
    }

    /// Takes an event in and answers it; what else follows from it is left to the next step.
    pub fn take(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = clock.now;
        match input {
            Input::Tick => {}
            Input::User { call, request } => {
                let records =
                    Records { mirror: &self.mirror, watermarks: &self.watermarks, settings: &self.settings };
                let answer = self.users.take(clock, call, request, &self.ledger, &records);
                out.extend(answer.map(|answer| Output::Answer { call, answer }));
            }
            Input::Report { call, report } => self.report(clock, call, &report, &mut out),
            Input::State { ask, outcome } => self.state_answered(clock, ask, &outcome, &mut out),
            Input::Cloud { ask, outcome } => self.cloud_answered(clock, ask, &outcome),
            Input::Orders { ask, outcome } => self.orders_answered(clock, ask, &outcome),
            Input::Mesh { node, message } => self.mesh(clock, &node, message, &mut out),
            Input::Operator { call, request } => self.operator(clock, call, request, &mut out),
            Input::Graph { call, request } => self.graph(clock, call, request, &mut out),
            Input::Config { call, request } => self.config(clock, call, request, &mut out),
        }
        for id in self.users.take_told() {
            self.mirror.told_done(id);
        }
        out
    }

    /// What is due now, whatever the events were: one step for all that came in together.
    pub fn step(&mut self, clock: Clock) -> Vec<Output> {
        let mut outputs = Vec::new();
        let out = &mut outputs;
        let leads = self.leader.is_some() || self.taking_over.is_some();
        let due = if leads { LEADER_POLL_MS } else { FOLLOWER_POLL_MS };
        let favoured = clock.now < self.peers.favoured_until;
        self.leadership.tick(clock, favoured, &self.mirror, &mut self.ledger, out);
        let asked = self.users.wants_barrier()
            || self.operators.wants_barrier()
            || self.graph_desk.wants_barrier()
            || self.config_desk.wants_barrier(&self.mirror);
        let wanted = asked || self.taking_over.is_some() || favoured;
        let writes_wait = self.users.writes_wait() || self.config_desk.writes_wait();
        let kept = usize::from(writes_wait) + usize::from(self.leader.is_some());
        self.ledger.keep_fresh(clock, wanted, due, kept, &self.mirror, out);
        self.settle(clock, out);
        self.users.expire(clock, self.ledger.reachable(clock.now), out);
        if self.operators.enabled {
            self.operators_overdue(clock, out);
        }
        let ops = self.settings.state_limits.txn_ops;
        self.users.write(clock, ops, &self.mirror, &mut self.ledger, out);
        self.step_graphs(clock, out);
        self.step_config(clock, out);
        self.learn_catalog(clock, out);
        self.peers.beat(clock.now, &self.others, self.ledger.reachable(clock.now), out);
        // At both ends of an outage for all, nodes notice at different moments. Who hears nobody either is cut off.
        let apart = !self.others.is_empty() && !self.peers.any(clock.now);
        let alone = !self.ledger.reachable(clock.now) && (apart || self.peers.any_state_ok(clock.now));
        self.alone_since = self.alone_since.or(Some(clock.now)).filter(|_| alone);
        if clock.now >= self.look_around_next {
            self.consider_resigning(clock, out);
            self.show_accounts(clock);
        }
        self.lead(clock, out);
        outputs
    }

    /// A node that knows no machine types asks the cloud itself.
    fn learn_catalog(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if self.ledger.loaded && self.mirror.kinds.is_empty() && clock.now >= self.catalog_next {
            self.catalog_next = clock.now.plus(CATALOG_RETRY_MS);
            out.push(Output::Cloud { ask: CATALOG_ASK, request: CloudRequest::Catalog, timeout_ms: 3_000 });
        }
    }

    fn lead(&mut self, clock: Clock, out: &mut Vec<Output>) {
        let may_run = self.may_run(clock);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.journal.tell_time(clock.wall_ms);
        let look_around = clock.now >= self.look_around_next;
        if look_around {
            self.look_around_next = clock.now.plus(LOOK_AROUND_MS);
            leader.expire(clock);
        }
        if !may_run {
            return;
        }
        if look_around {
            leader.suspect(clock);
            leader.sweep(clock);
            leader.look_at_runs(&self.mirror, clock);
            leader.status(clock.now);
        }
        leader.place(clock);
        leader.run_fleet(clock, &self.mirror, out);
        leader.write(clock, &self.mirror, &mut self.ledger, out);
        for direct in leader.direct(clock, may_run) {
            let machine = &leader.machines[direct.machine.at()];
            self.next_direct += 1;
            let ask = AskId(self.next_direct);
            out.push(Output::Orders {
                ask,
                endpoint: machine.endpoint.clone(),
                call: orders_call(leader.token, direct.session, &direct.orders),
                timeout_ms: DIRECT_TIMEOUT_MS,
            });
            self.directs.insert(ask, direct);
        }
    }

    /// A leader that its workers cannot reach keeps nobody else from leading: without
    /// this, a node cut off from the network but not from the state service would renew
    /// its lease while every worker's lease runs out.
    fn consider_resigning(&mut self, clock: Clock, out: &mut Vec<Output>) {
        let Some(leader) = &self.leader else { return };
        // Who is behind its events has not looked at what its workers say: their silence is its own.
        let behind = self.pressure.level() > Level::Calm;
        if behind || self.others.is_empty() || clock.now.since(leader.acquired) < SETTLE_MS {
            return;
        }
        let (all, silent) = leader.silent_workers(clock.now);
        if silent < 2 {
            return;
        }
        let best = self.peers.best_placed(clock.now);
        let misdirected = best.as_ref().map_or(0, |(_, misdirected)| *misdirected as usize);
        let elsewhere = silent * 7 >= all && misdirected * 10 >= silent * 6;
        if silent < all && !elsewhere {
            return;
        }
        log::info!("resigns: {silent} of {all} workers are silent, {misdirected} of them seen elsewhere");
        if let Some((node, _)) = best {
            out.push(Output::Mesh { node, message: MeshMessage::Yield });
        }
        self.leadership.resign(clock, &mut self.ledger, out);
        self.step_down();
    }

    /// Entitled: the lease is certainly ours and the mirror is fresh.
    fn may_run(&self, clock: Clock) -> bool {
        let fresh = self.ledger.fresh.is_some_and(|fresh| clock.now.since(fresh) < STALE_MS);
        self.leader.is_some() && fresh && self.leadership.entitled(clock.now)
    }

    fn report(&mut self, clock: Clock, call: CallId, report: &Report, out: &mut Vec<Output>) {
        let answer = self.report_answer(clock, report);
        out.push(Output::Answer { call, answer });
    }

    fn report_answer(&mut self, clock: Clock, report: &Report) -> Answer {
        let may_run = self.may_run(clock);
        let until = self.leadership.answers_until(&self.settings.workers, self.ledger.fresh);
        if let Some(leader) = &mut self.leader {
            if report.token > leader.token {
                log::info!("{} has heard of a later leader", report.machine);
                self.step_down();
                return elsewhere(None);
            }
            if clock.now >= until {
                return Answer::later("not entitled", 1);
            }
            return match leader.report(&mut self.mirror, clock, report, may_run) {
                Verdict::Orders(orders) => orders_answer(leader.token, &orders),
                Verdict::Starve => Answer::later("not entitled", 1),
            };
        }
        match &self.mirror.leader {
            Some(leader) if leader.node != self.settings.node => {
                self.peers.saw_misdirected(clock.now, &report.machine);
                elsewhere(Some(&leader.node))
            }
            _ => Answer::later("no leader", 1),
        }
    }

    fn step_down(&mut self) {
        if self.leader.take().is_some() {
            log::info!("leads no more");
        }
        self.taking_over = None;
        self.directs.clear();
        self.leadership.step_down();
        self.ledger.set_leading(false);
    }

    fn cloud_answered(&mut self, clock: Clock, ask: AskId, outcome: &Outcome) {
        if ask == CATALOG_ASK {
            if let CloudReply::Catalog(entries) = CloudRequest::Catalog.read_reply(outcome) {
                for entry in entries {
                    self.mirror.kinds.insert(entry.name.clone(), entry);
                }
                if let Some(leader) = &mut self.leader {
                    leader.learn_kinds(&mut self.mirror);
                }
            }
            return;
        }
        if let Some(leader) = &mut self.leader
            && leader.owns_ask(ask)
        {
            leader.cloud_answered(clock, ask, outcome, &mut self.mirror);
        }
    }

    fn orders_answered(&mut self, clock: Clock, ask: AskId, outcome: &Outcome) {
        let Some(direct) = self.directs.remove(&ask) else {
            return;
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let verdict = match outcome {
            Outcome::Response { status: 200, .. } => DirectOutcome::Executed,
            Outcome::Response { .. } | Outcome::NotSent => DirectOutcome::Refused,
            Outcome::Unknown | Outcome::TooLong => DirectOutcome::Unknown,
        };
        if let Outcome::Response { body, .. } = outcome
            && let Some(report) = read_report(body)
        {
            if report.token > leader.token {
                log::info!("{} has heard of a later leader", report.machine);
                self.step_down();
                return;
            }
            let known = leader.machines[direct.machine.at()].name == report.machine;
            if known {
                leader.observe_direct(direct.machine, clock, &report);
            }
        }
        leader.direct_outcome(&direct, verdict, clock);
    }

    fn mesh(&mut self, clock: Clock, node: &str, message: MeshMessage, out: &mut Vec<Output>) {
        match message {
            MeshMessage::Beat { state_ok, misdirected, misdirected_elsewhere } => {
                self.peers.heard(clock.now, node, state_ok, misdirected, misdirected_elsewhere);
            }
            MeshMessage::Yield => {
                log::info!("{node} would like this node to lead");
                self.peers.favoured_until = clock.now.plus(FAVOURED_MS);
                self.ledger.look_now();
            }
            MeshMessage::Hello { .. } => {}
            MeshMessage::Notify { revision } => self.notified(node, revision, out),
            MeshMessage::Read { revision } => self.watermarks.told(node, Revision(revision)),
            MeshMessage::Ask { ask, question } => self.asked_by_node(clock, node, ask, &question, out),
            MeshMessage::Told { ask, status, retry_after_s, body } => {
                let answer = Answer { status, retry_after_s, ..Answer::raw(body) };
                self.told_by_leader(clock, ask, answer, out);
            }
        }
    }
}
