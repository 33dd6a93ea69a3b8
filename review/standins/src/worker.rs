//! A stand-in of a worker, one for each machine: reports to the controllers, takes orders and runs tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Client, Request};
use crate::json::{Json, num, obj, string};
use crate::link::Link;
use crate::rec;
use crate::world::{Place, World};

#[derive(Debug, Clone, Copy)]
pub struct Timings {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
}

/// A controller as a worker knows it.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
}

/// Places with room for tasks.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    pub vcpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Fetching,
    Gathering(Instant),
    Running(Instant),
    Ended(&'static str),
}

#[derive(Debug, Clone)]
struct Task {
    job: String,
    task: u32,
    attempt: u64,
    state: State,
}

struct Inner {
    tasks: Vec<Task>,
    images: BTreeMap<String, Instant>,
    shift: u64,
    tick: u64,
    baton: u64,
    /// When the last report that got an answer was sent, or the session began.
    lease_from: Instant,
    notice: Option<Instant>,
    gone: bool,
    gone_at: Option<Instant>,
    changed: bool,
}

/// Interruptions between this machine and the controllers.
#[derive(Default)]
pub struct Cuts {
    /// Reports arrive; answers and direct orders are lost.
    pub deaf: bool,
}

#[derive(Clone)]
pub struct Worker {
    pub place: Place,
    pub addr: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub cuts: Arc<Mutex<Cuts>>,
    room: Room,
    timings: Timings,
    world: World,
    gangs: Gangs,
}

/// Which tasks of a gang attempt are ready, over all machines.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<(String, u64), Gang>>>);

#[derive(Default, Clone)]
struct Gang {
    ready: BTreeSet<u32>,
    started: Option<Instant>,
    lost: Option<Instant>,
    done: bool,
}

impl Worker {
    pub fn start(
        place: Place,
        room: Room,
        timings: Timings,
        nodes: Vec<Node>,
        world: World,
        gangs: Gangs,
    ) -> Worker {
        let inner = Inner {
            tasks: Vec::new(),
            images: BTreeMap::new(),
            shift: 1,
            tick: 0,
            baton: 0,
            lease_from: Instant::now(),
            notice: None,
            gone: false,
            gone_at: None,
            changed: true,
        };
        let mut worker = Worker {
            place,
            addr: "127.0.0.1:0".parse().expect("address"),
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
            cuts: Arc::default(),
            room,
            timings,
            world,
            gangs,
        };
        let late = Arc::new(Mutex::new(None::<Worker>));
        let handler_worker = late.clone();
        worker.addr = http::serve(Link::new(), move |request| {
            let worker = handler_worker.lock().expect("worker").clone()?;
            worker.answer(&request)
        });
        *late.lock().expect("worker") = Some(worker.clone());
        let (reporting, running) = (worker.clone(), worker.clone());
        std::thread::spawn(move || reporting.report_forever(&nodes));
        std::thread::spawn(move || running.run_forever());
        rec!(
            "machine {} up ({} {} loaner {})",
            worker.place.machine,
            worker.place.boxkind,
            worker.place.hall,
            worker.place.loaners
        );
        worker
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The cloud announces that it takes the machine.
    pub fn give_notice(&self, in_s: f64) {
        rec!("machine {} has notice: {in_s} s", self.place.machine);
        let mut inner = self.lock();
        inner.notice = Some(Instant::now() + Duration::from_secs_f64(in_s));
        inner.changed = true;
    }

    /// The machine is gone with everything on it.
    pub fn end(&self, why: &str) {
        let mut inner = self.lock();
        if inner.gone {
            return;
        }
        inner.gone = true;
        inner.gone_at = Some(Instant::now());
        rec!("machine {} is gone: {why}", self.place.machine);
        let tasks = std::mem::take(&mut inner.tasks);
        drop(inner);
        for task in tasks {
            self.task_left(&task, "machine gone");
        }
    }

    pub fn is_gone(&self) -> bool {
        self.lock().gone
    }

    pub fn gone_for(&self) -> Option<Duration> {
        self.lock().gone_at.map(|at| at.elapsed())
    }

    /// CPUs that no task takes.
    pub fn free_vcpus(&self) -> f64 {
        let used: f64 = {
            let inner = self.lock();
            let facts = self.world.facts();
            inner
                .tasks
                .iter()
                .filter(|task| !matches!(task.state, State::Ended(_)))
                .filter_map(|task| Some(facts.jobs.get(&task.job)?.vcpus))
                .sum()
        };
        self.room.vcpus - used
    }

    fn task_left(&self, task: &Task, why: &str) {
        self.gangs
            .0
            .lock()
            .expect("gangs")
            .entry((task.job.clone(), task.attempt))
            .or_default()
            .ready
            .remove(&task.task);
        self.lose_gang(task);
        self.world.leaves(&task.job, task.task, &self.place.machine, why);
    }

    /// The other tasks of a gang that runs notice that this one is gone.
    fn lose_gang(&self, task: &Task) {
        if self.world.facts().jobs.get(&task.job).is_some_and(|spec| spec.shape == "gang") {
            let mut gangs = self.gangs.0.lock().expect("gangs");
            let gang = gangs.entry((task.job.clone(), task.attempt)).or_default();
            if gang.started.is_some() && !gang.done {
                gang.lost.get_or_insert_with(Instant::now);
            }
        }
    }

    /// The body of a report, with the next tick.
    fn report(&self, inner: &mut Inner) -> String {
        inner.tick += 1;
        let pieces = inner
            .tasks
            .iter()
            .map(|task| {
                let mut fields = vec![
                    ("piece", string(format!("{}/{}", task.job, task.task))),
                    ("try", num(task.attempt)),
                ];
                match &task.state {
                    State::Fetching => fields.push(("status", string("fetching"))),
                    State::Gathering(_) => fields.push(("status", string("gathering"))),
                    State::Running(_) => fields.push(("status", string("running"))),
                    State::Ended(cause) => {
                        fields.push(("status", string("ended")));
                        fields.push(("cause", string(*cause)));
                    }
                }
                obj(fields)
            })
            .collect();
        let warning = inner
            .notice
            .map_or(Json::Null, |until| num(until.saturating_duration_since(Instant::now()).as_secs_f64()));
        obj(vec![
            ("box", string(self.place.machine.clone())),
            ("endpoint", string(self.addr.to_string())),
            ("boxkind", string(self.place.boxkind.clone())),
            ("hall", string(self.place.hall.clone())),
            ("loaners", Json::Bool(self.place.loaners)),
            ("shift", num(inner.shift)),
            ("tick", num(inner.tick)),
            ("baton", num(inner.baton)),
            ("warning_s", warning),
            ("pieces", Json::Arr(pieces)),
        ])
        .text()
    }

    /// Ends the session if its lease is over. Every action of the worker begins with this check.
    fn check_lease(&self, inner: &mut Inner) {
        if inner.lease_from.elapsed().as_secs_f64() <= self.timings.lease_s {
            return;
        }
        inner.shift += 1;
        inner.lease_from = Instant::now();
        inner.changed = true;
        rec!("machine {} begins session {}: its lease is over", self.place.machine, inner.shift);
        for task in std::mem::take(&mut inner.tasks) {
            self.task_left(&task, "killed: lease over");
        }
    }

    fn see_baton(&self, inner: &mut Inner, baton: u64) {
        if baton > inner.baton {
            inner.baton = baton;
            inner.changed = true;
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.cuts.lock().expect("cuts").deaf {
            rec!("lost on the way to {}: {}", self.place.machine, request.body);
            // The request is lost, and the sender gets no answer.
            std::thread::sleep(Duration::from_secs(10));
            return None;
        }
        let mut inner = self.lock();
        if inner.gone {
            return None;
        }
        self.check_lease(&mut inner);
        if request.path == "/status" {
            return Some((200, self.report(&mut inner)));
        }
        let body = Json::parse(&request.body)?;
        let (Some(baton), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < inner.baton || shift != inner.shift {
            return Some((409, self.report(&mut inner)));
        }
        self.see_baton(&mut inner, baton);
        self.execute(&mut inner, body.get("orders").arr(), "direct");
        Some((200, self.report(&mut inner)))
    }

    fn execute(&self, inner: &mut Inner, orders: &[Json], how: &str) {
        for order in orders {
            let Some((job, task)) = order.get("piece").str().split_once('/') else { continue };
            let (job, task) = (job.to_string(), task.parse::<u32>().unwrap_or(u32::MAX));
            let attempt = order.get("try").u64().unwrap_or(0);
            rec!("order {how} {} {} {job}/{task} try {attempt}", self.place.machine, order.get("verb").str());
            let known =
                inner.tasks.iter().position(|t| t.job == job && t.task == task && t.attempt == attempt);
            match (order.get("verb").str(), known) {
                ("run", None) => {
                    let state = self.admit(inner, &job, task);
                    inner.tasks.push(Task { job, task, attempt, state });
                    inner.changed = true;
                }
                ("halt", Some(index)) => {
                    let halted = &mut inner.tasks[index];
                    if !matches!(halted.state, State::Ended(_)) {
                        halted.state = State::Ended("halted");
                        inner.changed = true;
                        let halted = inner.tasks[index].clone();
                        self.task_left(&halted, "halted");
                    }
                }
                ("reap", Some(index)) if matches!(inner.tasks[index].state, State::Ended(_)) => {
                    inner.tasks.remove(index);
                    inner.changed = true;
                }
                _ => {}
            }
        }
    }

    fn admit(&self, inner: &mut Inner, job: &str, task: u32) -> State {
        let facts = self.world.facts();
        let Some(spec) = facts.jobs.get(job).filter(|spec| task < spec.pieces) else {
            return State::Ended("unknown");
        };
        let live: Vec<&Task> = inner.tasks.iter().filter(|t| !matches!(t.state, State::Ended(_))).collect();
        if live.iter().any(|t| t.job == job && t.task == task) {
            return State::Ended("busy");
        }
        let used = |amount: fn(&crate::world::Job) -> f64| -> f64 {
            live.iter().filter_map(|t| facts.jobs.get(&t.job)).map(amount).sum()
        };
        if used(|spec| spec.vcpus) + spec.vcpus > self.room.vcpus + 1e-9
            || used(|spec| spec.memory_gb) + spec.memory_gb > self.room.memory_gb + 1e-9
        {
            return State::Ended("full");
        }
        let fetch = Duration::from_secs_f64(spec.size_gb / self.room.pull_gb_per_s);
        inner.images.entry(spec.bundle.clone()).or_insert_with(|| Instant::now() + fetch);
        State::Fetching
    }

    fn run_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut inner = self.lock();
            if inner.gone {
                return;
            }
            self.check_lease(&mut inner);
            if inner.notice.is_some_and(|until| until <= Instant::now()) {
                drop(inner);
                self.end("taken back");
                return;
            }
            for index in 0..inner.tasks.len() {
                self.advance(&mut inner, index);
            }
            if inner.changed {
                self.inner.1.notify_all();
            }
        }
    }

    fn advance(&self, inner: &mut Inner, index: usize) {
        let task = inner.tasks[index].clone();
        let Some(spec) = self.world.facts().jobs.get(&task.job).cloned() else { return };
        let key = (task.job.clone(), task.attempt);
        let now = Instant::now();
        let already_done =
            self.world.facts().done.get(&task.job).is_some_and(|done| done.contains(&task.task));
        let next = match &task.state {
            State::Fetching if inner.images.get(&spec.bundle).is_some_and(|ready| *ready <= now) => {
                self.world.starts(&task.job, task.task, task.attempt, &self.place);
                if already_done {
                    State::Ended("done")
                } else if spec.shape == "gang" {
                    self.gangs.0.lock().expect("gangs").entry(key).or_default().ready.insert(task.task);
                    State::Gathering(now)
                } else {
                    State::Running(now)
                }
            }
            State::Gathering(since) => {
                let mut gangs = self.gangs.0.lock().expect("gangs");
                let gang = gangs.entry(key).or_default();
                if gang.ready.len() as u32 == spec.pieces {
                    let started = *gang.started.get_or_insert(now);
                    State::Running(started)
                } else if since.elapsed().as_secs_f64() > self.timings.gang_wait_s {
                    State::Ended("incomplete")
                } else {
                    return;
                }
            }
            State::Running(since) => {
                if spec.shape == "gang" {
                    let mut gangs = self.gangs.0.lock().expect("gangs");
                    let gang = gangs.entry(key).or_default();
                    let over = since.elapsed().as_secs_f64() >= spec.run_s && gang.lost.is_none();
                    if gang.done || over {
                        gang.done = true;
                        // They complete together.
                        self.world.facts().done.entry(task.job.clone()).or_default().extend(0..spec.pieces);
                        State::Ended("done")
                    } else if gang
                        .lost
                        .is_some_and(|lost| lost.elapsed().as_secs_f64() > self.timings.gang_peer_s / 2.0)
                    {
                        State::Ended("peers")
                    } else {
                        return;
                    }
                } else if spec.shape != "daemon" && since.elapsed().as_secs_f64() >= spec.run_s {
                    State::Ended("done")
                } else {
                    return;
                }
            }
            _ => return,
        };
        inner.tasks[index].state = next.clone();
        inner.changed = true;
        if let State::Ended(cause) = next {
            self.task_left(&task, cause);
        }
    }

    fn report_forever(&self, nodes: &[Node]) {
        let mut at = self.place.machine.bytes().map(usize::from).sum::<usize>() % nodes.len();
        let mut clients: Vec<Client> = nodes.iter().map(|node| Client::new(node.front)).collect();
        loop {
            let sent = Instant::now();
            let (body, shift) = {
                let mut inner = self.lock();
                if inner.gone {
                    return;
                }
                self.check_lease(&mut inner);
                inner.changed = false;
                (self.report(&mut inner), inner.shift)
            };
            let answer = clients[at].call("POST", "/v1/report", &body, Duration::from_secs(4));
            let deaf = self.cuts.lock().expect("cuts").deaf;
            if deaf {
                // The answer is lost: the worker waits for it as long as it ever does.
                std::thread::sleep(Duration::from_secs(4).saturating_sub(sent.elapsed()));
            }
            match answer.filter(|_| !deaf) {
                Some((200, text)) => {
                    self.take_answer(&text, sent, shift);
                    self.wait_for_change(sent);
                }
                Some((421, text)) => {
                    let home =
                        Json::parse(&text).map(|body| body.get("home").str().to_string()).unwrap_or_default();
                    clients[at] = Client::new(nodes[at].front);
                    match nodes.iter().position(|node| node.name == home).filter(|index| *index != at) {
                        Some(index) => {
                            at = index;
                            std::thread::sleep(Duration::from_millis(100));
                        }
                        None => {
                            at = (at + 1) % nodes.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                }
                _ => {
                    clients[at] = Client::new(nodes[at].front);
                    at = (at + 1) % nodes.len();
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
        }
    }

    fn take_answer(&self, text: &str, sent: Instant, shift: u64) {
        let Some(body) = Json::parse(text) else { return };
        let mut inner = self.lock();
        self.check_lease(&mut inner);
        let Some(baton) = body.get("baton").u64() else { return };
        let too_late = sent.elapsed() > Duration::from_secs(4);
        if inner.gone || inner.shift != shift || baton < inner.baton || too_late {
            return;
        }
        inner.lease_from = inner.lease_from.max(sent);
        self.see_baton(&mut inner, baton);
        self.execute(&mut inner, body.get("orders").arr(), "answer");
    }

    /// Waits for the next report: a while after the last one, or for a change, but half a second at least.
    fn wait_for_change(&self, sent: Instant) {
        std::thread::sleep(Duration::from_millis(500).saturating_sub(sent.elapsed()));
        let jitter = 0.75 + 0.5 * f64::from((sent.elapsed().subsec_nanos() / 1000) % 1000) / 1000.0;
        let until = sent + Duration::from_secs_f64(self.timings.report_s * jitter);
        let mut inner = self.lock();
        while !inner.changed && !inner.gone {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}
