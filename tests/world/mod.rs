//! A region in virtual time: real controllers (coordination and bookkeeping), stand-ins around them, and the rules of the
//! users' protocol checked at every start of a task.

// Each test program uses a part of it.
#![allow(dead_code)]

mod asked;
mod conditions;
mod config;
pub mod flows;
mod graphs;
mod load;
mod looks;
mod rules;

mod stored;
mod stream;
mod trace;
mod troubles;
mod verbs;
mod waiting;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use asked::{About, Asked};
use flows::Flows;
use load::Load;
use looks::Looks;
use olivelatch::coordination::node::Node;
use olivelatch::coordination::{CallId, Input, Output};
use olivelatch::ids::JobId;
use olivelatch::protocol::graphs::GraphAsked;
use olivelatch::protocol::mesh::MeshMessage;
use olivelatch::protocol::state::StateRequest;
use olivelatch::protocol::users::{UserRequest, read_submission};
use olivelatch::protocol::workers::read_report;
use olivelatch::protocol::{Answer, Outcome};
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use olivelatch_region::Cloud;
use olivelatch_store::Engine;
use olivelatch_worker::{Description, Descriptions, Effect, GangTimes, Work, Worker, coordinate};
use serde_json::{Value, json};
use stream::Stream;
use trace::Trace;
use troubles::{Pace, Troubles};
use waiting::Waiting;

pub const STEP_MS: u64 = 20;
const START_MS: u64 = 100_000;

pub struct Slot {
    pub node: Option<Node>,
    name: String,
    zone: String,
    cuts: HashSet<String>,
    life: u64,
    load: Load,
    pace: Pace,
}

impl Slot {
    pub fn leads(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.leader().is_some())
    }
}

pub struct World {
    pub now: u64,
    config: Value,
    tunables: String,
    pub nodes: Vec<Slot>,
    pub state: Engine,
    outage: bool,
    cloud: Cloud,
    cloud_down: bool,
    workers: Vec<Worker>,
    hung: HashSet<String>,
    worker_node: Vec<(usize, u64, Option<u64>)>,
    jobs: Descriptions,
    /// Since when an attempt of a gang lacks a member.
    broken_gangs: BTreeMap<(String, u64), u64>,
    specs: BTreeMap<String, Value>,
    accepted: HashSet<String>,
    retries: Vec<(u64, String)>,
    /// Cancellations that no node has taken yet, and when they are repeated.
    aborts: BTreeMap<String, u64>,
    withdrawn: BTreeMap<String, u64>,
    final_states: BTreeMap<String, String>,
    calls: BTreeMap<(usize, u64), Call>,
    pub next_call: u64,
    broken: Vec<String>,
    zone_cuts: HashSet<(String, String)>,
    /// What a controller can do a second, in units of a report; none: no limit.
    processor: Option<f64>,
    lost_direct: bool,
    /// Answers with changes are longer than a controller may hold.
    long_changes: bool,
    held_direct: Vec<(usize, Vec<u8>)>,
    /// What becomes of transactions while their answers are lost.
    txns: Txns,
    held_txns: Vec<Vec<u8>>,
    troubles: Troubles,
    looks: Looks,
    waiting: Waiting,
    stream: Option<Stream>,
    mesh: Mesh,
    /// What controllers said to each other and was held back: to whom, from whom.
    held_mesh: Vec<(usize, String, MeshMessage)>,
    /// Users that ask about a job again and again: its name, how often and when next (ms).
    askers: Vec<(String, u64, u64)>,
    pub counters: BTreeMap<&'static str, u64>,
    asked: Asked,
    pub flows: Flows,
    changes_of_config: config::Changes,
    /// Processor time of the controllers' own code.
    pub spent: Spent,
    /// Changes that the state service has carried out.
    pub written: u64,
    /// When the first task of each job got its image.
    pub started: BTreeMap<String, u64>,
    /// And the latest one.
    last_start: BTreeMap<String, u64>,
    /// Final states when an operator's question went out: an answer must not be older.
    known_then: BTreeMap<(usize, u64), BTreeMap<String, String>>,
    trace: Trace,
}

/// How long controllers took over their events, all together and at most over one.
#[derive(Default, Clone, Copy)]
pub struct Spent {
    pub all: Duration,
    pub most: Duration,
    /// What that event was.
    pub kind: &'static str,
}

impl Spent {
    fn add(&mut self, took: Duration, kind: &'static str) {
        self.all += took;
        if took > self.most {
            (self.most, self.kind) = (took, kind);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Txns {
    Fine,
    /// Carried out, but the answer is lost.
    Lost,
    /// Carried out only when they are delivered.
    Late,
}

/// What becomes of what controllers say to each other.
#[derive(Clone, Copy, PartialEq)]
enum Mesh {
    Fine,
    /// Delivered later, perhaps after the sender has ended.
    Held,
    /// Delivered, and once more later.
    Twice,
}

enum Call {
    User {
        id: String,
        expect: Option<u16>,
        raw: bool,
    },
    Report {
        worker: usize,
        sent: u64,
        session: u64,
    },
    Operator(About),
    Graph(flows::Send),
    Run(String),
    /// A change of configuration, by its name.
    Config(String),
}

fn word<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(words: &[&str], name: &str, default: f64) -> f64 {
    word(words, name).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}={text}")))
}

impl World {
    pub fn new() -> World {
        let config = json!({"node": "n0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "cluster": {"count": 3, "zones": ["a", "b", "c"], "teams": [], "objectives": [],
                "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0,
                    "cancel_s": 32.0},
                "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8},
                "cloud": {"rps": 5.0, "list_lag_s": 5.0},
                "quota": {"core_share": 1.0, "mem_mb": 100.0, "max_connections": 1000},
                "time_bound_ms": 10.0}});
        World {
            now: START_MS,
            config,
            tunables: String::new(),
            nodes: Vec::new(),
            state: Engine::default(),
            outage: false,
            cloud: Cloud::default(),
            cloud_down: false,
            workers: Vec::new(),
            hung: HashSet::new(),
            worker_node: Vec::new(),
            jobs: Descriptions::new(),
            broken_gangs: BTreeMap::new(),
            specs: BTreeMap::new(),
            accepted: HashSet::new(),
            retries: Vec::new(),
            aborts: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            final_states: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            broken: Vec::new(),
            zone_cuts: HashSet::new(),
            processor: None,
            lost_direct: false,
            long_changes: false,
            held_direct: Vec::new(),
            txns: Txns::Fine,
            held_txns: Vec::new(),
            troubles: Troubles::default(),
            looks: Looks::default(),
            waiting: Waiting::default(),
            stream: None,
            mesh: Mesh::Fine,
            held_mesh: Vec::new(),
            askers: Vec::new(),
            counters: BTreeMap::new(),
            asked: Asked::default(),
            flows: Flows::default(),
            changes_of_config: config::Changes::default(),
            spent: Spent::default(),
            written: 0,
            started: BTreeMap::new(),
            last_start: BTreeMap::new(),
            known_then: BTreeMap::new(),
            trace: Trace::default(),
        }
    }

    /// A world whose messages are written to a file of this name, if the environment names a folder for them.
    pub fn traced(name: &str) -> World {
        World { trace: Trace::to(name), ..World::new() }
    }

    fn boot(&mut self, at: usize) {
        let mut config = self.config.clone();
        config["node"] = json!(self.nodes[at].name);
        config["zone"] = json!(self.nodes[at].zone);
        let others = self.nodes.iter().enumerate().filter(|(other, _)| *other != at);
        let others: Vec<Value> = others
            .map(|(ix, slot)| json!({"node": slot.name, "zone": slot.zone, "addr": format!("127.0.0.1:{}", ix + 10)}))
            .collect();
        config["others"] = json!(others);
        config["cluster"]["count"] = json!(self.nodes.len());
        let settings = Settings::parse("scenario", &config.to_string()).expect("settings");
        let mut tunables = Tunables::parse("scenario", &self.tunables).expect("tunables");
        let changes = &self.changes_of_config;
        tunables.config.enabled = changes.enabled && !changes.off.contains(&self.nodes[at].name);
        self.nodes[at].life += 1;
        self.nodes[at].load = self.processor.map(Load::new).unwrap_or_default();
        let seed = at as u64 * 1000 + self.nodes[at].life;
        self.nodes[at].node = Some(Node::new(settings, tunables, seed, self.clock(at)));
    }

    fn cut(&self, node: usize, what: &str) -> bool {
        let cuts = &self.nodes[node].cuts;
        cuts.contains(what) || (cuts.contains("all") && what != "none")
    }

    fn zones_cut(&self, a: &str, b: &str) -> bool {
        self.zone_cuts.contains(&(a.into(), b.into())) || self.zone_cuts.contains(&(b.into(), a.into()))
    }

    fn tell(&mut self, at: usize, input: Input) {
        if self.nodes[at].pace.frozen {
            self.nodes[at].pace.missed.push(input);
            return;
        }
        let now = self.now;
        if let Some(input) = self.nodes[at].load.take(now, input) {
            self.tell_now(at, input);
        }
    }

    fn tell_now(&mut self, at: usize, input: Input) {
        let clock = self.clock(at);
        let Slot { node: Some(node), name, .. } = &mut self.nodes[at] else { return };
        let name = name.clone();
        self.trace.event(self.now, &name, &input);
        let (began, kind) = (Instant::now(), input.kind());
        let outputs = node.handle(clock, input);
        self.spent.add(began.elapsed(), kind);
        for output in outputs {
            self.trace.action(self.now, &name, &output);
            self.carry_out(at, output);
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::Answer { call, answer } => self.answered(at, call, &answer),
            Output::State { ask, request, timeout_ms } => {
                let blind = self.cut(at, "polls") && matches!(request, StateRequest::Changes { .. });
                let outcome = if self.outage || blind || self.cut(at, "state") {
                    Outcome::Response { status: 503, body: Vec::new() }
                } else {
                    let call = request.to_call();
                    let mode = if call.path == "/txn" { self.txns } else { Txns::Fine };
                    if mode == Txns::Late {
                        match self.troubles.late_ms {
                            Some(late) => self.txn_later(late, call.body.clone()),
                            None => self.held_txns.push(call.body.clone()),
                        }
                        self.tell(at, Input::State { ask, outcome: Outcome::Unknown });
                        return;
                    }
                    let (status, body) = self.state.call(call.method, &call.path, &call.body, self.now);
                    if call.path == "/txn" && status == 200 {
                        let txn: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
                        self.written += txn["then"].as_array().map_or(0, |changes| changes.len() as u64);
                    }
                    match mode {
                        _ if self.long_changes && call.path.starts_with("/changes") => Outcome::TooLong,
                        Txns::Lost => Outcome::Unknown,
                        _ => Outcome::Response { status, body: body.to_string().into_bytes() },
                    }
                };
                self.state_answers(at, ask, outcome, timeout_ms);
            }
            Output::Cloud { ask, request, timeout_ms } => {
                let outcome = if self.cloud_down {
                    Outcome::Response { status: 503, body: b"{\"error\":\"trouble\"}".to_vec() }
                } else {
                    let call = request.to_call();
                    let (status, body) = self.cloud.call(call.method, &call.path, &call.body, self.now);
                    Outcome::Response { status, body: body.to_string().into_bytes() }
                };
                self.cloud_answers(at, ask, outcome, timeout_ms);
            }
            Output::Orders { ask, endpoint, call, .. } => {
                self.nodes[at].load.commanded();
                let worker = self.workers.iter().position(|worker| worker.machine.endpoint == endpoint);
                let reach = worker.is_some_and(|worker| self.reaches(at, worker) && !self.cut(at, "orders"));
                let outcome = match worker.filter(|_| reach) {
                    Some(worker) if self.troubles.deaf.contains(&self.workers[worker].machine.name) => {
                        Outcome::Unknown
                    }
                    Some(worker) if self.lost_direct => {
                        self.held_direct.push((worker, call.body.clone()));
                        Outcome::Unknown
                    }
                    Some(worker) => {
                        let (status, body) = self.workers[worker].direct(&call.body, self.now, &self.jobs);
                        Outcome::Response { status, body: body.to_string().into_bytes() }
                    }
                    None => Outcome::NotSent,
                };
                self.tell(at, Input::Orders { ask, outcome });
            }
            Output::Mesh { node, message } => {
                let Some(to) = self.nodes.iter().position(|slot| slot.name == node) else { return };
                let apart = self.zones_cut(&self.nodes[at].zone, &self.nodes[to].zone);
                if apart || self.cut(at, "mesh") || self.cut(to, "mesh") {
                    return;
                }
                let from = self.nodes[at].name.clone();
                if self.mesh != Mesh::Fine {
                    self.held_mesh.push((to, from.clone(), message.clone()));
                }
                if self.mesh == Mesh::Held {
                    return;
                }
                self.tell(to, Input::Mesh { node: from, message });
            }
        }
    }

    fn reaches(&self, node: usize, worker: usize) -> bool {
        let worker = &self.workers[worker];
        let gone = !self.cloud.machines.iter().any(|machine| machine.name == worker.machine.name);
        !gone
            && !self.hung.contains(&worker.machine.name)
            && !self.cut(node, "workers")
            && !self.zones_cut(&self.nodes[node].zone, &worker.machine.zone)
    }

    fn answered(&mut self, at: usize, call: CallId, answer: &Answer) {
        let Some(waiting) = self.calls.remove(&(at, call.0)) else { return };
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        match waiting {
            Call::Report { worker, sent, session } => {
                self.report_answered(worker, sent, session, answer.status, &body)
            }
            Call::Operator(about) => {
                let known = self.known_then.remove(&(at, call.0)).unwrap_or_default();
                let wrong = self.asked.contradiction(&about, answer, &known);
                let wrong = wrong.or(self.asked.answered(&about, answer, self.now).err());
                self.broken.extend(wrong);
            }
            Call::Graph(send) => {
                let wrong = self.flows.answered(send, Some(answer), self.now).err();
                self.broken.extend(wrong);
                self.accepted.extend(std::mem::take(&mut self.flows.accepted));
            }
            Call::Config(name) => self.config_answered(&name, Some(answer)),
            Call::Run(path) => {
                let wrong = self.flows.seen(&path, answer).err();
                self.broken.extend(wrong);
            }
            Call::User { id, expect, raw } => {
                if let Some(expect) = expect
                    && answer.status != expect
                {
                    self.broken.push(format!("{id}: answered {} instead of {expect}", answer.status));
                }
                if answer.status < 300 && !raw {
                    self.note_status(&id, body["status"].as_str().unwrap_or(""));
                }
                if answer.status < 300 && !raw {
                    self.troubles.known.insert(id.clone(), self.now);
                    if self.accepted.insert(id.clone()) {
                        self.look_closely(&id);
                    }
                }
                if matches!(answer.status, 400 | 422) && !raw && self.accepted.contains(&id) {
                    self.broken.push(format!("forgotten: {id} got {}", answer.status));
                }
                let again = answer.status == 503 && expect.is_none() && !raw;
                if again && self.unheard(&id) {
                    self.retries.push((self.now + 1000, id.clone()));
                }
                if answer.status == 404 && self.accepted.contains(&id) {
                    self.broken.push(format!("forgotten: {id}"));
                }
            }
        }
    }

    /// Submitted, and no node has said yet that it is accepted.
    fn unheard(&self, id: &str) -> bool {
        self.specs.contains_key(id) && !self.accepted.contains(id)
    }

    fn note_status(&mut self, id: &str, status: &str) {
        if let Some(known) = self.final_states.get(id)
            && known != status
        {
            self.broken.push(format!("went_back: {id} was {known} and is {status}"));
        }
        if status == "done" || status == "withdrawn" {
            let before = self.final_states.insert(id.into(), status.into());
            if before.is_none() {
                self.look_closely(id);
            }
        }
        if status == "withdrawn" {
            self.withdrawn.entry(id.into()).or_insert(self.now);
        }
    }

    fn report_answered(&mut self, worker: usize, sent: u64, session: u64, status: u16, body: &Value) {
        let now = self.now;
        // The worker has given it up, and reports elsewhere.
        if now >= sent + 4000 || self.troubles.deaf.contains(&self.workers[worker].machine.name) {
            return;
        }
        self.worker_node[worker].2 = None;
        if status == 200 && self.workers[worker].session == session {
            self.workers[worker].answer(body, sent, now, &self.jobs);
            return;
        }
        let home =
            body["home"].as_str().and_then(|home| self.nodes.iter().position(|slot| slot.name == home));
        let state = &mut self.worker_node[worker];
        match home.filter(|home| status == 421 && *home != state.0) {
            Some(home) => *state = (home, now, None),
            None => *state = ((state.0 + 1) % self.nodes.len(), now + 1000, None),
        }
    }

    /// Ask a node that runs; the load balancer would do the same.
    fn ask(&mut self, request: UserRequest, id: &str, expect: Option<u16>, raw: bool) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|at| !self.cut(*at, "users") && self.nodes[*at].node.as_ref().is_some_and(Node::ready))
            .collect();
        let Some(at) = up.get(self.next_call as usize % up.len().max(1)).copied() else {
            if self.unheard(id) && !raw {
                self.retries.push((self.now + 1000, id.into()));
            }
            return;
        };
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert((at, call), Call::User { id: id.into(), expect, raw });
        self.tell(at, Input::User { call: CallId(call), request });
    }

    /// Users repeat a cancellation until it is answered.
    fn repeat_aborts(&mut self) {
        let finals = &self.final_states;
        self.aborts.retain(|id, _| !finals.contains_key(id));
        let due: Vec<String> =
            self.aborts.iter().filter(|(_, at)| **at <= self.now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.aborts.insert(id.clone(), self.now + 1000);
            let job = JobId::parse(&id).expect("a job");
            self.ask(UserRequest::Abort { id: job }, &id, None, false);
        }
    }

    /// Users that ask about their jobs whatever the answer.
    fn ask_again(&mut self) {
        for at in 0..self.askers.len() {
            while self.askers[at].2 <= self.now {
                let id = self.askers[at].0.clone();
                self.askers[at].2 += self.askers[at].1;
                self.poll(&id);
            }
        }
    }

    /// Operators ask whoever runs, ready or not.
    fn ask_as_operator(&mut self) {
        for (about, request) in self.asked.due(self.now) {
            let up: Vec<usize> = (0..self.nodes.len()).filter(|at| self.nodes[*at].node.is_some()).collect();
            let Some(at) = up.get(self.next_call as usize % up.len().max(1)).copied() else { return };
            self.next_call += 1;
            let call = self.next_call;
            self.calls.insert((at, call), Call::Operator(about));
            self.known_then.insert((at, call), self.final_states.clone());
            self.tell(at, Input::Operator { call: CallId(call), request });
        }
    }

    /// Clients of graphs: changes to whoever is ready, questions to whoever runs.
    fn ask_about_graphs(&mut self) {
        for send in self.flows.due(self.now) {
            let GraphAsked::Change(request) = flows::asked("POST", &send.path, &send.body) else { continue };
            match self.pick(|world, at| {
                !world.cut(at, "users") && world.nodes[at].node.as_ref().is_some_and(Node::ready)
            }) {
                Some(at) => {
                    let call = self.call(at, Call::Graph(send));
                    self.tell(at, Input::Graph { call, request });
                }
                None => drop(self.flows.answered(send, None, self.now)),
            }
        }
        for path in self.flows.looks(self.now) {
            let GraphAsked::Look(request) = flows::asked("GET", &path, &Value::Null) else { continue };
            let Some(at) = self.pick(|world, at| world.nodes[at].node.is_some()) else { return };
            let call = self.call(at, Call::Run(path));
            self.tell(at, Input::Operator { call, request });
        }
    }

    /// One of the controllers that will do, in turn.
    fn pick(&self, will_do: impl Fn(&World, usize) -> bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|at| will_do(self, *at)).collect();
        up.get(self.next_call as usize % up.len().max(1)).copied()
    }

    fn call(&mut self, at: usize, call: Call) -> CallId {
        self.next_call += 1;
        self.calls.insert((at, self.next_call), call);
        CallId(self.next_call)
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.arrivals();
        self.ask_about_graphs();
        self.ask_as_operator();
        self.step_config();
        self.repeat_aborts();
        self.ask_again();
        self.step_looks();
        self.step_stream();
        self.boot_machines();
        let lease = self.config["cluster"]["workers"]["lease_s"].as_f64().unwrap_or(12.0) * 1000.0;
        for at in 0..self.workers.len() {
            let here =
                self.cloud.machines.iter().any(|machine| machine.name == self.workers[at].machine.name);
            if !here || self.hung.contains(&self.workers[at].machine.name) {
                // A machine that hangs beyond its lease carries nothing out when it goes on.
                let over = self.now > self.workers[at].answered + lease as u64;
                if !here || over {
                    self.workers[at].step(self.now, lease as u64, &BTreeMap::new());
                }
                self.workers[at].attempts.retain(|_| here);
                self.judge_withdrawn(at);
                continue;
            }
            self.workers[at].step(self.now, lease as u64, &self.jobs);
            self.judge(at);
            self.report(at);
        }
        self.gangs();
        self.judge_waiting();
        let (due, rest) = std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= self.now);
        self.retries = rest;
        let due: Vec<(u64, String)> = due;
        for (_, id) in due {
            let request = read_submission(self.specs[&id].to_string().as_bytes()).expect("a submission");
            self.ask(request, &id, None, false);
        }
        self.copies_for_next();
        for at in 0..self.nodes.len() {
            if !self.nodes[at].pace.frozen {
                self.work_off(at);
                self.tell(at, Input::Tick);
            }
        }
        let seen: Vec<(&'static str, u64)> = self
            .nodes
            .iter()
            .filter_map(|slot| slot.node.as_ref()?.leader())
            .flat_map(|leader| {
                let c = &leader.counters;
                [
                    ("shared", c.to_shared),
                    ("dedicated", c.to_dedicated),
                    ("steals", c.steals),
                    ("stolen", c.stolen),
                    ("spilled", c.spilled),
                    ("preempted", c.preempted),
                    ("lost", c.lost_machines),
                    ("bound", c.bound),
                    ("looked", c.looked_at),
                    ("searches", c.searches),
                    ("changes", c.changes),
                    ("greeted", c.greeted),
                    ("greeted_at_once", c.greeted_at_once),
                ]
            })
            .collect();
        for (name, value) in seen {
            let most = self.counters.entry(name).or_default();
            *most = (*most).max(value);
        }
    }

    /// Gangs gather and miss their members.
    fn gangs(&mut self) {
        let time = |name: &str| self.config["cluster"]["workers"][name].as_f64().unwrap_or(0.0) * 1000.0;
        let times = GangTimes { wait_ms: time("gang_wait_s") as u64, peer_ms: time("gang_peer_s") as u64 };
        coordinate(&mut self.workers, self.now, times, &self.jobs, &mut self.broken_gangs);
        // Nothing runs here but in virtual time.
        let effects = self.workers.iter_mut().flat_map(|worker| worker.take_effects());
        let killed = effects.filter(|effect| matches!(effect, Effect::Kill { .. })).count();
        self.troubles.lost_with_lease += killed as u64;
    }

    fn boot_machines(&mut self) {
        for machine in &self.cloud.machines {
            let known = self.workers.iter().any(|worker| worker.machine.name == machine.name);
            if machine.up_at <= self.now && !known {
                let kind = self.cloud.kinds.iter().find(|kind| kind.name == machine.kind).cloned();
                let kind = kind.expect("a known kind");
                let on = machine.machine(&kind, machine.endpoint.clone());
                self.workers.push(Worker::new(on, self.now));
                self.worker_node.push((self.workers.len() % self.nodes.len(), self.now, None));
            }
        }
    }

    fn report(&mut self, at: usize) {
        let (node, due, open) = self.worker_node[at];
        if let Some(sent) = open {
            // No response within 4 s: the next node, 1 s later.
            if self.now >= sent + 4000 {
                self.worker_node[at] = ((node + 1) % self.nodes.len(), self.now + 1000, None);
            }
            return;
        }
        let every = (self.config["cluster"]["workers"]["report_s"].as_f64().unwrap_or(2.0) * 1000.0) as u64;
        let soon = self.workers[at].changed && self.now + every >= due + 500;
        if self.now < due && !soon {
            return;
        }
        self.workers[at].changed = false;
        let session = self.workers[at].session;
        let body = self.workers[at].report(self.now).to_string();
        self.worker_node[at] = (node, self.now + every, Some(self.now));
        if self.nodes[node].node.is_none() {
            self.worker_node[at] = ((node + 1) % self.nodes.len(), self.now + 1000, None);
            return;
        }
        if !self.reaches(node, at) || self.troubles.mute.contains(&self.workers[at].machine.name) {
            return;
        }
        let report = read_report(body.as_bytes()).expect("a report of the protocol's form");
        self.copy_report(node, body.as_bytes());
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert((node, call), Call::Report { worker: at, sent: self.now, session });
        self.tell(node, Input::Report { call: CallId(call), report });
    }

    fn submit(&mut self, words: &[&str]) {
        let (id, spec, expect) = self.describe(words);
        let request = read_submission(spec.to_string().as_bytes()).expect("a submission");
        self.ask(request, &id, expect, false);
    }

    /// The job's description; workers and the rules know it from now on.
    fn describe(&mut self, words: &[&str]) -> (String, Value, Option<u16>) {
        let id = format!("job-{:06}", words[0].parse::<u64>().expect("a job number"));
        let flag = |name: &str| words.contains(&name);
        let shape = if flag("gang") {
            "gang"
        } else if flag("service") {
            "daemon"
        } else {
            "array"
        };
        let spec = json!({"uid": id, "jobclass": word(words, "class").unwrap_or("work"),
            "owner": word(words, "team").unwrap_or("core"), "shape": shape,
            "urgency": word(words, "urgency").unwrap_or("normal"), "pieces": number(words, "tasks", 1.0) as u64,
            "vcpus": number(words, "cpus", 1.0), "accelerators": number(words, "gpus", 0.0),
            "memory_gb": number(words, "memory", 1.0), "bundle": word(words, "image").unwrap_or("img-1"),
            "size_gb": number(words, "size", 0.1),
            "boxkinds": word(words, "kinds").map(|kinds| kinds.split(',').collect::<Vec<_>>()),
            "hall": word(words, "zone"), "together": flag("together"), "scatter": flag("scatter"),
            "loaners": flag("spot"), "guess_s": number(words, "guess", number(words, "run", 5.0)),
            "snapshot_s": number(words, "checkpoint", 0.0), "flush_s": number(words, "save", 1.0),
            "due_s": word(words, "due").map(|due| due.parse::<f64>().expect("due"))});
        let run_ms =
            if shape == "daemon" { u64::MAX / 4 } else { (number(words, "run", 5.0) * 1000.0) as u64 };
        let expect = word(words, "expect").map(|code| code.parse().expect("a status"));
        if expect.is_none_or(|code: u16| code < 300) {
            let facts = Description {
                cpus: number(words, "cpus", 1.0),
                gpus: number(words, "gpus", 0.0),
                memory_gb: number(words, "memory", 1.0),
                image: word(words, "image").unwrap_or("img-1").into(),
                size_gb: number(words, "size", 0.1),
                gang: shape == "gang",
                tasks: number(words, "tasks", 1.0) as u32,
                checkpoint: number(words, "checkpoint", 0.0) > 0.0,
                save_ms: (number(words, "save", 1.0) * 1000.0) as u64,
                work: Work::Takes {
                    run_ms,
                    fails: flag("fails"),
                    gives: word(words, "gives").map(|n| n.parse().expect("gives")),
                },
                inputs: BTreeMap::new(),
                map: None,
            };
            self.jobs.insert(id.clone(), facts);
            self.specs.insert(id.clone(), spec.clone());
        }
        (id, spec, expect)
    }

    fn poll(&mut self, id: &str) {
        let job = JobId::parse(id).expect("a job");
        self.ask(UserRequest::Poll { id: job }, id, None, false);
    }
}
