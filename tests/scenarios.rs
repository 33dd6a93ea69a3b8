//! Runs every file of `tests/scenarios/` in virtual time: real controllers
//! (coordination and bookkeeping), stand-ins around them, and the rules of the
//! users' protocol checked at every start of a task. A failure names file and line.

mod asked;
mod flows;

use std::collections::{BTreeMap, HashSet};
use std::path::Path;

use asked::{About, Asked, job_name};
use flows::Flows;
use olivelatch::coordination::node::Node;
use olivelatch::coordination::{CallId, Clock, Input, Output};
use olivelatch::ids::{JobId, Millis};
use olivelatch::protocol::graphs::GraphAsked;
use olivelatch::protocol::operators::read_operator;
use olivelatch::protocol::users::{UserRequest, read_submission};
use olivelatch::protocol::workers::read_report;
use olivelatch::protocol::{Answer, Outcome};
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use olivelatch_region::{Cloud, KindSpec};
use olivelatch_store::Engine;
use olivelatch_worker::{Description, Descriptions, GangTimes, Work, Worker, coordinate};
use serde_json::{Value, json};

const STEP_MS: u64 = 20;
const START_MS: u64 = 100_000;

struct Slot {
    node: Option<Node>,
    name: String,
    zone: String,
    cuts: HashSet<String>,
    life: u64,
}

impl Slot {
    fn leads(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.leader().is_some())
    }
}

struct World {
    now: u64,
    config: Value,
    tunables: String,
    nodes: Vec<Slot>,
    state: Engine,
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
    next_call: u64,
    broken: Vec<String>,
    zone_cuts: HashSet<(String, String)>,
    lost_direct: bool,
    /// Answers with changes are longer than a controller may hold.
    long_changes: bool,
    held_direct: Vec<(usize, Vec<u8>)>,
    /// What becomes of transactions while their answers are lost.
    txns: Txns,
    held_txns: Vec<Vec<u8>>,
    counters: BTreeMap<&'static str, u64>,
    asked: Asked,
    flows: Flows,
    /// Final states when an operator's question went out: an answer must not be older.
    known_then: BTreeMap<(usize, u64), BTreeMap<String, String>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Txns {
    Fine,
    /// Carried out, but the answer is lost.
    Lost,
    /// Carried out only when they are delivered.
    Late,
}

enum Call {
    User { id: String, expect: Option<u16>, raw: bool },
    Report { worker: usize, sent: u64, session: u64 },
    Operator(About),
    Graph(flows::Send),
    Run(String),
}

fn word<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(words: &[&str], name: &str, default: f64) -> f64 {
    word(words, name).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}={text}")))
}

impl World {
    fn new() -> World {
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
            lost_direct: false,
            long_changes: false,
            held_direct: Vec::new(),
            txns: Txns::Fine,
            held_txns: Vec::new(),
            counters: BTreeMap::new(),
            asked: Asked::default(),
            flows: Flows::default(),
            known_then: BTreeMap::new(),
        }
    }

    fn clock(&self) -> Clock {
        Clock { now: Millis(self.now), wall_ms: 1_700_000_000_000 + self.now }
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
        let tunables = Tunables::parse("scenario", &self.tunables).expect("tunables");
        self.nodes[at].life += 1;
        let seed = at as u64 * 1000 + self.nodes[at].life;
        self.nodes[at].node = Some(Node::new(settings, tunables, seed, self.clock()));
    }

    fn cut(&self, node: usize, what: &str) -> bool {
        let cuts = &self.nodes[node].cuts;
        cuts.contains(what) || (cuts.contains("all") && what != "none")
    }

    fn zones_cut(&self, a: &str, b: &str) -> bool {
        self.zone_cuts.contains(&(a.into(), b.into())) || self.zone_cuts.contains(&(b.into(), a.into()))
    }

    fn tell(&mut self, at: usize, input: Input) {
        let clock = self.clock();
        let Some(node) = self.nodes[at].node.as_mut() else { return };
        for output in node.handle(clock, input) {
            self.carry_out(at, output);
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        match output {
            Output::Answer { call, answer } => self.answered(at, call, &answer),
            Output::State { ask, request, .. } => {
                let outcome = if self.outage || self.cut(at, "state") {
                    Outcome::Response { status: 503, body: Vec::new() }
                } else {
                    let call = request.to_call();
                    let mode = if call.path == "/txn" { self.txns } else { Txns::Fine };
                    if mode == Txns::Late {
                        self.held_txns.push(call.body.clone());
                        self.tell(at, Input::State { ask, outcome: Outcome::Unknown });
                        return;
                    }
                    let (status, body) = self.state.call(call.method, &call.path, &call.body, self.now);
                    match mode {
                        _ if self.long_changes && call.path.starts_with("/changes") => Outcome::TooLong,
                        Txns::Lost => Outcome::Unknown,
                        _ => Outcome::Response { status, body: body.to_string().into_bytes() },
                    }
                };
                self.tell(at, Input::State { ask, outcome });
            }
            Output::Cloud { ask, request, .. } => {
                let outcome = if self.cloud_down {
                    Outcome::Response { status: 503, body: b"{\"error\":\"trouble\"}".to_vec() }
                } else {
                    let call = request.to_call();
                    let (status, body) = self.cloud.call(call.method, &call.path, &call.body, self.now);
                    Outcome::Response { status, body: body.to_string().into_bytes() }
                };
                self.tell(at, Input::Cloud { ask, outcome });
            }
            Output::Orders { ask, endpoint, call, .. } => {
                let worker = self.workers.iter().position(|worker| worker.machine.endpoint == endpoint);
                let reach = worker.is_some_and(|worker| self.reaches(at, worker));
                let outcome = match worker.filter(|_| reach) {
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
                    self.accepted.insert(id.clone());
                }
                let again = answer.status == 503 && expect.is_none() && !raw;
                if again && self.specs.contains_key(&id) && !self.accepted.contains(&id) {
                    self.retries.push((self.now + 1000, id.clone()));
                }
                if answer.status == 404 && self.accepted.contains(&id) {
                    self.broken.push(format!("forgotten: {id}"));
                }
            }
        }
    }

    fn note_status(&mut self, id: &str, status: &str) {
        if let Some(known) = self.final_states.get(id)
            && known != status
        {
            self.broken.push(format!("went_back: {id} was {known} and is {status}"));
        }
        if status == "done" || status == "withdrawn" {
            self.final_states.insert(id.into(), status.into());
        }
        if status == "withdrawn" {
            self.withdrawn.entry(id.into()).or_insert(self.now);
        }
    }

    fn report_answered(&mut self, worker: usize, sent: u64, session: u64, status: u16, body: &Value) {
        self.worker_node[worker].2 = None;
        let now = self.now;
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
        let Some(at) = up.get(self.next_call as usize % up.len().max(1)).copied() else { return };
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

    fn step(&mut self) {
        self.now += STEP_MS;
        self.ask_about_graphs();
        self.ask_as_operator();
        self.repeat_aborts();
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
                self.workers[at].pieces.retain(|_| here);
                continue;
            }
            self.workers[at].step(self.now, lease as u64, &self.jobs);
            self.judge(at);
            self.report(at);
        }
        self.gangs();
        let (due, rest) = std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= self.now);
        self.retries = rest;
        let due: Vec<(u64, String)> = due;
        for (_, id) in due {
            let request = read_submission(self.specs[&id].to_string().as_bytes()).expect("a submission");
            self.ask(request, &id, None, false);
        }
        for at in 0..self.nodes.len() {
            self.tell(at, Input::Tick);
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
        self.workers.iter_mut().for_each(|worker| drop(worker.take_effects()));
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
        if !self.reaches(node, at) {
            return;
        }
        let report = read_report(body.as_bytes()).expect("a report of the protocol's form");
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert((node, call), Call::Report { worker: at, sent: self.now, session });
        self.tell(node, Input::Report { call: CallId(call), report });
    }

    /// The rules, at every start of a task and at every moment.
    fn judge(&mut self, at: usize) {
        let started = std::mem::take(&mut self.workers[at].started);
        for task in started {
            let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != at && worker.pieces.iter().any(|p| p.task == task && p.on && !p.ended())
            });
            if elsewhere {
                self.broken.push(format!("ran_twice: {task}"));
            }
            let job = task.split('/').next().unwrap_or("").to_string();
            self.broken.extend(self.flows.started_too_early(&job, &self.state));
            self.judge_place(at, &job, &task);
        }
        let limit = (self.config["cluster"]["workers"]["cancel_s"].as_f64().unwrap_or(0.0) * 1000.0) as u64;
        for piece in &self.workers[at].pieces {
            let told = self.withdrawn.get(piece.job());
            if piece.on && !piece.ended() && told.is_some_and(|told| self.now > told + limit) {
                self.broken.push(format!("ran_cancelled: {}", piece.task));
            }
        }
    }

    fn judge_place(&mut self, at: usize, job: &str, task: &str) {
        let Some(spec) = self.specs.get(job).cloned() else { return };
        let worker = &self.workers[at];
        let kinds = spec["boxkinds"].as_array();
        let wrong = kinds.is_some_and(|kinds| !kinds.contains(&json!(worker.machine.kind)))
            || spec["hall"].as_str().is_some_and(|zone| zone != worker.machine.zone)
            || (worker.machine.spot && spec["loaners"] != json!(true));
        let zones: Vec<&str> = self
            .workers
            .iter()
            .flat_map(|worker| worker.pieces.iter().map(move |piece| (worker, piece)))
            .filter(|(_, piece)| piece.job() == job && piece.on && !piece.ended())
            .map(|(worker, _)| worker.machine.zone.as_str())
            .collect();
        let here = zones.iter().filter(|zone| **zone == worker.machine.zone).count();
        let apart = spec["together"] == json!(true) && here < zones.len();
        let most = (spec["pieces"].as_u64().unwrap_or(1) as usize).div_ceil(2);
        let crowded = spec["scatter"] == json!(true) && here > most;
        if wrong || apart || crowded {
            self.broken.push(format!("wrong_place: {task} on {}", worker.machine.name));
        }
        let team = spec["owner"].as_str().unwrap_or("");
        let limit = self.config["cluster"]["teams"]
            .as_array()
            .and_then(|teams| teams.iter().find(|t| t["name"] == json!(team))?["cpus_max"].as_f64())
            .unwrap_or(0.0);
        let used: f64 = self
            .workers
            .iter()
            .flat_map(|worker| &worker.pieces)
            .filter(|piece| piece.on && !piece.ended())
            .filter(|piece| self.specs.get(piece.job()).is_some_and(|other| other["owner"] == json!(team)))
            .filter_map(|piece| self.jobs.get(piece.job()).map(|job| job.cpus))
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            self.broken.push(format!("quota: {team} uses {used}"));
        }
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

    fn holds(&mut self, words: &[&str]) -> bool {
        let compare = |value: u64, op: &str, right: &str| {
            let right: u64 = right.parse().expect("a number");
            match op {
                ">=" => value >= right,
                "<=" => value <= right,
                "=" => value == right,
                _ => panic!("unknown comparison {op}"),
            }
        };
        let name = |word: &str| format!("job-{:06}", word.parse::<u64>().expect("a job number"));
        let on = |worker: &Worker| worker.pieces.iter().filter(|p| p.on && !p.ended()).count() as u64;
        match words {
            [status @ ("done" | "withdrawn"), id] => {
                let id = name(id);
                if !self.final_states.contains_key(&id) && self.now % 500 == 0 {
                    self.poll(&id);
                }
                self.final_states.get(&id).is_some_and(|known| known == status)
            }
            ["explained", id, word] => {
                self.asked.watch("explain", &job_name(id));
                self.asked.says("explain", &job_name(id), word)
            }
            ["unexplained", id, word] => {
                let id = job_name(id);
                self.asked.watch("explain", &id);
                self.asked.answer("explain", &id).is_some() && !self.asked.says("explain", &id, word)
            }
            ["noted", id, word] => {
                self.asked.watch("events", &job_name(id));
                self.asked.says("events", &job_name(id), word)
            }
            ["inspected", id, pointer, "=", value] => {
                self.asked.watch("inspect", &job_name(id));
                let found =
                    self.asked.answer("inspect", &job_name(id)).and_then(|body| body.pointer(pointer));
                found.is_some_and(|found| found.to_string().trim_matches('"') == *value)
            }
            ["figure", id, pointer, op, right] => {
                self.asked.watch("explain", &job_name(id));
                let found =
                    self.asked.answer("explain", &job_name(id)).and_then(|body| body.pointer(pointer));
                found.and_then(Value::as_f64).is_some_and(|found| compare(found as u64, op, right))
            }
            ["record", key, op @ ("has" | "lacks"), word] => {
                let value = self.state.get(key).map(Value::to_string);
                value.is_some_and(|value| value.contains(word) == (*op == "has"))
            }
            ["node", run, node, state] => {
                self.flows.node(run, node).is_some_and(|found| found["state"] == **state)
            }
            ["node", run, node, pointer, op, right] => {
                let found = self.flows.node(run, node).and_then(|found| found.pointer(pointer));
                found.and_then(Value::as_u64).is_some_and(|found| compare(found, op, right))
            }
            ["run", run, state] => self.flows.row(run).is_some_and(|row| row["state"] == **state),
            ["nodes", run, state, op, right] => {
                let found = self.flows.row(run).map(|row| row["states"][*state].as_u64().unwrap_or(0));
                found.is_some_and(|found| compare(found, op, right))
            }
            ["sent"] => self.flows.idle() && !self.calls.values().any(|call| matches!(call, Call::Graph(_))),
            ["keys", prefix, op, right] => {
                let count = self.state.keys().filter(|key| key.starts_with(prefix)).count();
                compare(count as u64, op, right)
            }
            ["listed", op, right] => self.asked.walked().is_some_and(|rows| compare(rows as u64, op, right)),
            ["running", id, op, right] => {
                let id = name(id);
                let pieces = self.workers.iter().flat_map(|worker| &worker.pieces);
                let count = pieces.filter(|p| p.job() == id && p.on && !p.ended()).count();
                compare(count as u64, op, right)
            }
            ["counter", name, op, right] => {
                compare(self.counters.get(*name).copied().unwrap_or(0), op, right)
            }
            ["machines", op, right] => compare(self.cloud.machines.len() as u64, op, right),
            ["workers", op, right] => compare(self.workers.len() as u64, op, right),
            ["tasks", op, right] => compare(self.workers.iter().map(on).sum(), op, right),
            ["leader", op, node] => {
                let leads_any =
                    self.nodes.iter().any(|slot| slot.leads() && (*node == "any" || slot.name == *node));
                (*op == "=") == leads_any
            }
            ["leaders", op, right] => {
                compare(self.nodes.iter().filter(|slot| slot.leads()).count() as u64, op, right)
            }
            ["quiet", op, right] => {
                let quiet = |slot: &&Slot| slot.node.as_ref().is_some_and(Node::quiet);
                compare(self.nodes.iter().filter(quiet).count() as u64, op, right)
            }
            ["ready", node] => {
                let slot = self.nodes.iter().find(|slot| slot.name == *node).expect("a node");
                slot.node.as_ref().is_some_and(Node::ready)
            }
            ["unready", "any"] => {
                self.nodes.iter().any(|slot| slot.node.as_ref().is_some_and(|node| !node.ready()))
            }
            ["released", host] => self.cloud.released.iter().any(|name| name == host),
            ["grants", op, right] => compare(self.state.grants(), op, right),
            ["records", op, right] => compare(self.state.len() as u64, op, right),
            _ => panic!("unknown condition {words:?}"),
        }
    }

    fn node(&self, name: &str) -> usize {
        if name == "leader" {
            return self.nodes.iter().position(Slot::leads).expect("a leader");
        }
        self.nodes.iter().position(|slot| slot.name == name).expect("a node")
    }

    fn command(&mut self, words: &[&str]) -> Result<(), String> {
        let (verb, rest) = words.split_first().ok_or("an empty line")?;
        let (_, act) = VERBS.iter().find(|(name, _)| name == verb).ok_or("unknown command")?;
        act(self, rest)?;
        match self.broken.first() {
            Some(broken) => Err(format!("rule broken: {broken}")),
            None => Ok(()),
        }
    }

    fn settings(&mut self, words: &[&str]) -> Done {
        let (section, pairs) = words.split_first().ok_or("a section")?;
        for pair in pairs {
            let (name, value) = pair.split_once('=').ok_or("name=value")?;
            let value: f64 = value.parse().map_err(|_| "a number")?;
            let exact = if value.fract() == 0.0 { json!(value as u64) } else { json!(value) };
            self.config["cluster"][*section][name] = exact;
        }
        Ok(())
    }

    fn tunable(&mut self, words: &[&str]) -> Done {
        let [name, value] = words else { return wrong("NAME VALUE") };
        self.tunables.push_str(&format!("{name} = {value}\n"));
        Ok(())
    }

    /// Turns the operators' interface on.
    fn operators(&mut self, words: &[&str]) -> Done {
        let settings = words.iter().map(|pair| format!("  {}\n", pair.replace('=', " = ")));
        let block: String = settings.collect();
        self.tunables.push_str(&format!("operators {{\n  enabled = true\n{block}}}\n"));
        Ok(())
    }

    /// Turns the graphs' interface on, with the operators': pool:NAME=SLOTS, other settings as they are.
    fn graphs(&mut self, words: &[&str]) -> Done {
        let (pools, settings): (Vec<&str>, Vec<&str>) =
            words.iter().partition(|word| word.starts_with("pool:"));
        let line = |pair: &str| format!("  {}\n", pair.replace('=', " = "));
        let pools: String = pools.iter().map(|pool| line(&pool[5..])).collect();
        let settings: String = settings.iter().map(|pair| line(pair)).collect();
        self.tunables.push_str("operators {\n  enabled = true\n}\n");
        self.tunables
            .push_str(&format!("graphs {{\n  enabled = true\n{settings}  pools = {{\n{pools}  }}\n}}\n"));
        Ok(())
    }

    /// A node of a run that is being drafted: RUN NAME JOB [after=A,B*] [map=A] [rule= tries= wait= limit= pool=
    /// output=], and the words of a job.
    fn node_of(&mut self, words: &[&str]) -> Done {
        let [run, name, rest @ ..] = words else { return wrong("RUN NAME JOB ...") };
        let job: u64 = rest.first().and_then(|job| job.parse().ok()).ok_or("a job's number")?;
        let (_, mut spec, _) = self.describe(rest);
        spec["uid"] = json!("");
        let template = json!({"spec": spec, "rule": word(rest, "rule").unwrap_or("all_success"),
            "tries": number(rest, "tries", 1.0) as u32, "wait_s": number(rest, "wait", 1.0),
            "most_wait_s": number(rest, "most_wait", 60.0), "limit_s": word(rest, "limit").map(|l| l.parse::<f64>().expect("limit")),
            "pool": word(rest, "pool"), "output_gb": number(rest, "output", 0.0)});
        let template = serde_json::from_value(template).map_err(|error| error.to_string())?;
        let after: Vec<&str> = word(rest, "after").map_or(Vec::new(), |after| after.split(',').collect());
        self.flows.draft(run).add(name, job, template, &after, word(rest, "map"));
        Ok(())
    }

    /// Many nodes alike: RUN PREFIX FIRST-JOB COUNT, and the words of a node.
    fn fan(&mut self, words: &[&str]) -> Done {
        let [run, prefix, job, count, rest @ ..] = words else { return wrong("RUN PREFIX JOB COUNT ...") };
        let job: u64 = job.parse().map_err(|_| "a job's number")?;
        for at in 0..count.parse::<u64>().map_err(|_| "a count")? {
            let (name, job) = (format!("{prefix}{at}"), (job + at).to_string());
            let words: Vec<&str> =
                [*run, name.as_str(), job.as_str()].into_iter().chain(rest.iter().copied()).collect();
            self.node_of(&words)?;
        }
        Ok(())
    }

    /// Uploads the first parts of a run and no more: RUN COUNT [bytes=].
    fn upload(&mut self, words: &[&str]) -> Done {
        let [run, count, rest @ ..] = words else { return wrong("RUN COUNT [bytes=]") };
        let most = count.parse().map_err(|_| "a count")?;
        self.flows.upload(self.now, run, number(rest, "bytes", 3_900.0) as usize, most);
        Ok(())
    }

    /// Uploads and commits: RUN GRAPH [most=] [bytes=] [expect=]; `alone`: without the upload.
    fn commit(&mut self, words: &[&str]) -> Done {
        let [run, graph, rest @ ..] = words else { return wrong("RUN GRAPH ...") };
        let bytes = number(rest, "bytes", 3_900.0) as usize;
        let most = if rest.contains(&"alone") { 0 } else { usize::MAX };
        let parts = self.flows.upload(self.now, run, bytes, most);
        let expect = word(rest, "expect").map(status_of).transpose()?;
        self.flows.commit(self.now, run, graph, parts, number(rest, "most", 1.0) as u64, expect);
        Ok(())
    }

    fn cancel_run(&mut self, words: &[&str]) -> Done {
        let [run] = words else { return wrong("RUN") };
        self.flows.cancel(self.now, run);
        Ok(())
    }

    /// Does a node and all behind it over: RUN NODE FIRST-JOB; the new jobs fail no more.
    fn redo(&mut self, words: &[&str]) -> Done {
        let [run, node, job] = words else { return wrong("RUN NODE JOB") };
        let job = job.parse().map_err(|_| "a job's number")?;
        for (old, new) in self.flows.redo(self.now, run, node, job) {
            if let (Some(mut facts), Some(spec)) =
                (self.jobs.get(&old).cloned(), self.specs.get(&old).cloned())
            {
                if let Work::Takes { fails, .. } = &mut facts.work {
                    *fails = false;
                }
                self.jobs.insert(new.clone(), facts);
                self.specs.insert(new, spec);
            }
        }
        Ok(())
    }

    /// Walks the list of jobs page by page, with a pause after each.
    fn list(&mut self, words: &[&str]) -> Done {
        let filters: String = ["team", "class", "state"]
            .iter()
            .filter_map(|name| Some(format!("&{name}={}", word(words, name)?)))
            .collect();
        let (limit, pause) = (number(words, "limit", 100.0), number(words, "pause", 0.0));
        self.asked.start_walk(self.now, limit as u64, (pause * 1000.0) as u64, &filters);
        Ok(())
    }

    fn team(&mut self, words: &[&str]) -> Done {
        let (name, rest) = words.split_first().ok_or("a name")?;
        let team = json!({"name": name, "cpus": number(rest, "guaranteed", 0.0),
            "cpus_max": number(rest, "max", 0.0), "gpus": 0.0, "gpus_max": 0.0});
        self.config["cluster"]["teams"].as_array_mut().expect("teams").push(team);
        Ok(())
    }

    fn objective(&mut self, words: &[&str]) -> Done {
        let [class, within] = words else { return wrong("CLASS SECONDS") };
        let aim = json!({"kind": "finished", "class": class, "within_s": seconds_of(within)?});
        self.config["cluster"]["objectives"].as_array_mut().expect("objectives").push(aim);
        Ok(())
    }

    fn kind(&mut self, words: &[&str]) -> Done {
        let (name, rest) = words.split_first().ok_or("a name")?;
        self.cloud.kinds.push(KindSpec {
            name: (*name).into(),
            cpus: number(rest, "cpus", 4.0),
            memory: number(rest, "memory", 64.0),
            gpus: number(rest, "gpus", 0.0),
            fetch: number(rest, "fetch", 1.0),
            boot_s: number(rest, "boot", 5.0),
            zones: word(rest, "zones").unwrap_or("a").split(',').map(String::from).collect(),
            count: number(rest, "count", 10.0) as usize,
            spot: number(rest, "spot", 0.0) as usize,
        });
        Ok(())
    }

    fn start_nodes(&mut self, zones: &[&str]) -> Done {
        for (at, zone) in zones.iter().enumerate() {
            let name = format!("n{at}");
            let cuts = HashSet::new();
            self.nodes.push(Slot { node: None, name, zone: (*zone).into(), cuts, life: 0 });
        }
        (0..self.nodes.len()).for_each(|at| self.boot(at));
        Ok(())
    }

    fn machine(&mut self, words: &[&str]) -> Done {
        let [kind, zone, rest @ ..] = words else { return wrong("KIND ZONE [spot]") };
        self.cloud.add(kind, zone, rest.contains(&"spot"), self.now, 0);
        Ok(())
    }

    fn machines(&mut self, words: &[&str]) -> Done {
        let [kind, zone, count] = words else { return wrong("KIND ZONE COUNT") };
        for _ in 0..count.parse::<usize>().map_err(|_| "a count")? {
            self.cloud.add(kind, zone, false, self.now, 0);
        }
        Ok(())
    }

    /// As an earlier version would have left it.
    fn record(&mut self, words: &[&str]) -> Done {
        let (key, text) = words.split_first().ok_or("a key")?;
        let value: Value = serde_json::from_str(&text.join(" ")).map_err(|error| error.to_string())?;
        self.state.put(key, value);
        Ok(())
    }

    /// Accepted by an earlier version.
    fn known(&mut self, words: &[&str]) -> Done {
        let (id, ..) = self.describe(words);
        self.accepted.insert(id);
        Ok(())
    }

    fn raw(&mut self, words: &[&str]) -> Done {
        let (code, text) = words.split_first().ok_or("a status")?;
        match read_submission(text.join(" ").as_bytes()) {
            Err(answer) if answer.status.to_string() == *code => {}
            Err(answer) => return Err(format!("answered {}", answer.status)),
            Ok(request) => self.ask(request, "raw", Some(status_of(code)?), true),
        }
        Ok(())
    }

    fn poll_expecting(&mut self, words: &[&str]) -> Done {
        let [id, code] = words else { return wrong("JOB STATUS") };
        let (id, job) = job_of(id)?;
        self.ask(UserRequest::Poll { id: job }, &id, Some(status_of(code)?), true);
        Ok(())
    }

    fn abort(&mut self, words: &[&str]) -> Done {
        let [id] = words else { return wrong("JOB") };
        let (id, _) = job_of(id)?;
        self.aborts.insert(id, self.now);
        self.repeat_aborts();
        Ok(())
    }

    fn advance(&mut self, words: &[&str]) -> Done {
        let [seconds] = words else { return wrong("SECONDS") };
        let until = self.in_seconds(seconds)?;
        while self.now < until {
            self.step();
        }
        Ok(())
    }

    fn until(&mut self, words: &[&str]) -> Done {
        let (seconds, condition) = words.split_first().ok_or("SECONDS CONDITION")?;
        let until = self.in_seconds(seconds)?;
        while !self.holds(condition) {
            if self.now >= until {
                return Err(format!("not within {seconds} s{}", self.flows.shown()));
            }
            self.step();
        }
        Ok(())
    }

    fn expect(&mut self, condition: &[&str]) -> Done {
        if self.holds(condition) { Ok(()) } else { Err(format!("does not hold {:?}", self.counters)) }
    }

    fn never(&mut self, words: &[&str]) -> Done {
        let (seconds, condition) = words.split_first().ok_or("SECONDS CONDITION")?;
        let until = self.in_seconds(seconds)?;
        while self.now < until {
            self.step();
            if self.holds(condition) {
                return Err("it did".into());
            }
        }
        Ok(())
    }

    fn kill(&mut self, words: &[&str]) -> Done {
        let [node] = words else { return wrong("NODE") };
        let at = self.node(node);
        self.nodes[at].node = None;
        let open: Vec<(usize, u64)> = self.calls.keys().filter(|(node, _)| *node == at).copied().collect();
        for call in open {
            match self.calls.remove(&call) {
                Some(Call::Report { worker, .. }) => {
                    self.worker_node[worker] = ((at + 1) % self.nodes.len(), self.now + 1000, None);
                }
                // The client asks another one.
                Some(Call::Graph(send)) => drop(self.flows.answered(send, None, self.now)),
                _ => {}
            }
        }
        Ok(())
    }

    fn start(&mut self, words: &[&str]) -> Done {
        let [node] = words else { return wrong("NODE") };
        self.boot(self.node(node));
        Ok(())
    }

    fn start_all(&mut self, _: &[&str]) -> Done {
        for at in 0..self.nodes.len() {
            if self.nodes[at].node.is_none() {
                self.boot(at);
            }
        }
        Ok(())
    }

    fn cut_off(&mut self, words: &[&str]) -> Done {
        let [node, what] = words else { return wrong("NODE WHAT") };
        let at = self.node(node);
        self.nodes[at].cuts.insert((*what).into());
        Ok(())
    }

    fn heal(&mut self, _: &[&str]) -> Done {
        self.nodes.iter_mut().for_each(|slot| slot.cuts.clear());
        self.zone_cuts.clear();
        Ok(())
    }

    fn part(&mut self, words: &[&str]) -> Done {
        let [a, b] = words else { return wrong("ZONE ZONE") };
        self.zone_cuts.insert(((*a).into(), (*b).into()));
        Ok(())
    }

    fn set_outage(&mut self, words: &[&str]) -> Done {
        self.outage = words == ["on"];
        if !self.outage {
            self.state.refresh_leases(self.now);
        }
        Ok(())
    }

    fn set_cloud(&mut self, words: &[&str]) -> Done {
        self.cloud_down = words == ["down"];
        Ok(())
    }

    fn hang(&mut self, words: &[&str]) -> Done {
        let [host] = words else { return wrong("HOST") };
        self.hung.insert((*host).into());
        Ok(())
    }

    fn unhang(&mut self, words: &[&str]) -> Done {
        let [host] = words else { return wrong("HOST") };
        self.hung.remove(*host);
        Ok(())
    }

    fn worker(&mut self, host: &str) -> Result<&mut Worker, String> {
        self.workers.iter_mut().find(|worker| worker.machine.name == host).ok_or(format!("no worker {host}"))
    }

    fn sick(&mut self, words: &[&str]) -> Done {
        let [host] = words else { return wrong("HOST") };
        self.worker(host)?.sick = true;
        Ok(())
    }

    /// The job's tasks fail no more.
    fn mend(&mut self, words: &[&str]) -> Done {
        let [id] = words else { return wrong("JOB") };
        let (id, _) = job_of(id)?;
        match self.jobs.get_mut(&id).map(|job| &mut job.work) {
            Some(Work::Takes { fails, .. }) => *fails = false,
            _ => return Err("an unknown job".into()),
        }
        Ok(())
    }

    fn slow(&mut self, words: &[&str]) -> Done {
        let [host, times] = words else { return wrong("HOST TIMES") };
        self.worker(host)?.slow = times.parse().map_err(|_| "a number")?;
        Ok(())
    }

    fn notice(&mut self, words: &[&str]) -> Done {
        let [host, seconds] = words else { return wrong("HOST SECONDS") };
        let until = self.in_seconds(seconds)?;
        let worker = self.worker(host)?;
        worker.notice_until = Some(until);
        worker.changed = true;
        Ok(())
    }

    fn take(&mut self, words: &[&str]) -> Done {
        let [host] = words else { return wrong("HOST") };
        self.cloud.machines.retain(|machine| machine.name != *host);
        Ok(())
    }

    fn changes(&mut self, words: &[&str]) -> Done {
        self.long_changes = words == ["long"];
        Ok(())
    }

    fn direct(&mut self, words: &[&str]) -> Done {
        self.lost_direct = words == ["lost"];
        Ok(())
    }

    fn set_txns(&mut self, words: &[&str]) -> Done {
        self.txns = match words {
            ["lost"] => Txns::Lost,
            ["late"] => Txns::Late,
            _ => Txns::Fine,
        };
        Ok(())
    }

    fn deliver(&mut self, _: &[&str]) -> Done {
        for body in std::mem::take(&mut self.held_txns) {
            self.state.call("POST", "/txn", &body, self.now);
        }
        for (worker, body) in std::mem::take(&mut self.held_direct) {
            self.workers[worker].direct(&body, self.now, &self.jobs);
        }
        Ok(())
    }

    fn in_seconds(&self, seconds: &str) -> Result<u64, String> {
        Ok(self.now + (seconds_of(seconds)? * 1000.0) as u64)
    }
}

type Done = Result<(), String>;
type Verb = fn(&mut World, &[&str]) -> Done;

/// What a line of a scenario may begin with.
const VERBS: &[(&str, Verb)] = &[
    ("settings", World::settings),
    ("tunable", World::tunable),
    ("operators", World::operators),
    ("list", World::list),
    ("graphs", World::graphs),
    ("node", World::node_of),
    ("fan", World::fan),
    ("upload", World::upload),
    ("commit", World::commit),
    ("cancel-run", World::cancel_run),
    ("redo", World::redo),
    ("team", World::team),
    ("objective", World::objective),
    ("kind", World::kind),
    ("nodes", World::start_nodes),
    ("machine", World::machine),
    ("machines", World::machines),
    ("record", World::record),
    ("known", World::known),
    ("submit", |world, rest| {
        world.submit(rest);
        Ok(())
    }),
    ("raw", World::raw),
    ("poll", World::poll_expecting),
    ("abort", World::abort),
    ("advance", World::advance),
    ("until", World::until),
    ("expect", World::expect),
    ("never", World::never),
    ("kill", World::kill),
    ("start", World::start),
    ("start-all", World::start_all),
    ("cut", World::cut_off),
    ("heal", World::heal),
    ("part", World::part),
    ("outage", World::set_outage),
    ("cloud", World::set_cloud),
    ("hang", World::hang),
    ("unhang", World::unhang),
    ("sick", World::sick),
    ("slow", World::slow),
    ("mend", World::mend),
    ("notice", World::notice),
    ("take", World::take),
    ("changes", World::changes),
    ("direct", World::direct),
    ("txns", World::set_txns),
    ("deliver", World::deliver),
];

fn wrong(expected: &str) -> Done {
    Err(format!("expected {expected}"))
}

fn seconds_of(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("expected seconds, not {text}"))
}

fn status_of(text: &str) -> Result<u16, String> {
    text.parse().map_err(|_| format!("expected a status, not {text}"))
}

/// A job by its number, as the wire and as the controllers name it.
fn job_of(number: &str) -> Result<(String, JobId), String> {
    let number: u64 = number.parse().map_err(|_| format!("expected a job's number, not {number}"))?;
    let job = JobId(number);
    Ok((job.to_string(), job))
}

/// Plays one file; the error names the line.
fn play(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let mut world = World::new();
    let mut lines = 0;
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        lines += 1;
        let place = || format!("{}:{}: {line}", path.display(), at + 1);
        world.command(&words).map_err(|problem| format!("{}: {problem}", place()))?;
    }
    if lines == 0 { Err(format!("{}: empty", path.display())) } else { Ok(()) }
}

#[test]
fn every_scenario_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenarios")
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| only.as_ref().is_none_or(|only| path.to_string_lossy().contains(only.as_str())))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios");
    let failed: Vec<String> = files.iter().filter_map(|path| play(path).err()).collect();
    assert!(failed.is_empty(), "{} of {} scenarios:\n{}", failed.len(), files.len(), failed.join("\n"));
}

/// For docs/measurements.md, not part of CI:
///     cargo test --release --test scenarios -- --ignored --nocapture
#[test]
#[ignore = "a measurement"]
fn lists_and_explanations_at_size() {
    let mut world = World::new();
    let lines = [
        "operators explains_per_s=100000",
        "settings state rps=100000 write_rps=100000",
        "team core max=5200",
        "kind small cpus=4 boot=2 count=0",
        "machines small a 1300",
        "nodes a b c",
        "until 5 leader = any",
        "until 30 workers = 1300",
        "submit 900001 tasks=5200 run=1000 guess=1000",
        "until 60 tasks >= 5000",
        "submit 900002 tasks=100 run=10",
        "advance 5",
    ];
    for at in 0..100_000_u64 {
        let detail = json!({"team": "core", "class": "work", "tasks": 3, "accepted": 5});
        world
            .state
            .put(&format!("olivelatch/end/job-{at:06}"), json!({"end": "done", "at": 7, "detail": detail}));
    }
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        world.command(&words).expect(line);
    }
    let at = world.node("leader");
    let follower = (at + 1) % 3;
    for (what, at, path) in [
        ("explain, a job behind its team's limit", at, "jobs/job-900002/explain"),
        ("explain, a job of 5,200 running tasks", at, "jobs/job-900001/explain"),
        ("list, 500 of 100,000 ended", at, "jobs?limit=500"),
        ("list, live ones behind 100,000 ended", at, "jobs?state=live&limit=500"),
        ("list, 500 of 100,000 ended, a follower", follower, "jobs?limit=500"),
        ("inspect, 500 tasks of 5,200", at, "jobs/job-900001?limit=500"),
        ("explain once more, behind the team's limit", at, "jobs/job-900002/explain"),
    ] {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let mut took = Vec::new();
        let mut bytes = 0;
        for _ in 0..50 {
            let request = read_operator(path, query).expect("a path").expect("a question");
            world.next_call += 1;
            let call = CallId(world.next_call);
            let clock = world.clock();
            let node = world.nodes[at].node.as_mut().expect("a node");
            node.take(clock, Input::Operator { call, request });
            // Its poll and the barrier: what the node does until the answer is there.
            for _ in 0..20 {
                world.now += STEP_MS;
                let clock = world.clock();
                let Some(node) = world.nodes[at].node.as_mut() else { continue };
                let outputs = node.step(clock);
                let mut answered = false;
                for output in outputs {
                    if let Output::State { ask, request, .. } = output {
                        let asked = request.to_call();
                        let (status, body) =
                            world.state.call(asked.method, &asked.path, &asked.body, world.now);
                        let outcome = Outcome::Response { status, body: body.to_string().into_bytes() };
                        let node = world.nodes[at].node.as_mut().expect("a node");
                        let started = std::time::Instant::now();
                        let out = node.take(clock, Input::State { ask, outcome });
                        for output in out {
                            if let Output::Answer { call: answered_call, answer } = output
                                && answered_call == call
                            {
                                took.push(started.elapsed().as_micros() as u64);
                                bytes = answer.body.len();
                                answered = true;
                            }
                        }
                    }
                }
                if answered {
                    break;
                }
            }
            // Workers and the other nodes go on meanwhile.
            (0..25).for_each(|_| world.step());
        }
        took.sort_unstable();
        println!(
            "{what}: {} us in the median, {} at most, {bytes} bytes",
            took[took.len() / 2],
            took[took.len() - 1]
        );
    }
}

/// The runner itself must be able to fail, and must say where.
#[test]
fn a_wrong_scenario_fails_and_names_its_line() {
    let path = std::env::temp_dir().join(format!("olivelatch-wrong-{}.txt", std::process::id()));
    std::fs::write(&path, "team core\nkind k\nnodes a\nuntil 5 done 1\n").expect("a file");
    let result = play(&path);
    let _ = std::fs::remove_file(&path);
    let problem = result.expect_err("it cannot hold");
    assert!(problem.contains(":4: until 5 done 1"), "{problem}");
}
