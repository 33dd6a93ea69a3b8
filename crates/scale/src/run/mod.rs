//! One run: everything is started, loaded, struck, watched, asked at the end, and ended.

mod faults;
mod start;
mod watch;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use olivelatch::protocol::users::Urgency;
use olivelatch_net::caller::{Caller, Slot};
use olivelatch_net::http::Response;
use olivelatch_net::poll::{Gate, Keys};
use olivelatch_net::server::HttpServer;
use polling::Events;

use start::{to_json, write_file};

use crate::arrivals::Arrivals;
use crate::changes::Changes;
use crate::check::{Cancelled, Check, JobFacts};
use crate::cloud::RunCloud;
use crate::control::{StateFigures, TaskEvent, TaskEventKind, ZoneCommand, ZoneNews};
use crate::error::{ScaleError, io_error};
use crate::figures::{Lead, ProcessFigures, Report, Times, URGENT_AIM_MS, Waits};
use crate::hollow::RunClock;
use crate::page;
use crate::plan::{FaultKind, Plan};
use crate::processes::{Managed, make_folder};
use crate::users::{Outcome, Users};

/// What a run is told on the command line.
#[derive(Debug, Clone)]
pub struct RunArguments {
    pub plan: PathBuf,
    pub out: PathBuf,
    /// The program whose hidden commands serve controllers, workers and the state service: `latch` itself.
    pub program: PathBuf,
    /// The controllers' log level.
    pub log_level: String,
}

const WAIT_MS: u64 = 10;
/// Zones are asked for news this often.
const NEWS_MS: u64 = 200;
const SAMPLE_MS: u64 = 1_000;
/// Machines come up and go within this after they are due.
const CLOUD_MS: u64 = 100;
/// Commands in one message to a zone.
const COMMAND_BYTES: usize = 48 * 1024;
const CONTROL_PATIENCE_MS: u64 = 10_000;
/// Jobs are told to the workers so long before they are submitted.
const DESCRIBE_AHEAD_MS: u64 = 2_000;
/// A submission that goes out later than planned by more than this is the load side's delay.
const LATE_MS: u64 = 250;
const START_PATIENCE_MS: u64 = 30_000;
const LAST_QUESTIONS_MS: u64 = 60_000;

/// Slots of the run's calls: zones, the state service, changes of configuration, users.
const STATE_SLOT: usize = 1_000;
const FIRST_CHANGE: usize = 10_000;
const FIRST_USER: usize = 1_000_000;

/// How the run talks to one process of hollow workers.
#[derive(Default)]
struct ZoneLink {
    address: Option<SocketAddr>,
    queue: VecDeque<ZoneCommand>,
    /// Commands queued, sent in the open message, and taken.
    queued: u64,
    open: Option<u64>,
    taken: u64,
    next: u64,
    news: ZoneNews,
    /// As it was when the load began.
    before: ZoneNews,
}

/// A fault, or its end.
enum Strike {
    Begin(FaultKind),
    RoomIsBack,
    Restart(usize),
    Thaw(usize),
    Heal(Vec<String>),
}

struct Run {
    plan: Plan,
    clock: RunClock,
    gate: Arc<Gate>,
    keys: Keys,
    server: HttpServer,
    caller: Caller,
    cloud: RunCloud,
    cloud_next: u64,
    zones: Vec<ZoneLink>,
    controllers: Vec<SocketAddr>,
    processes: Vec<Managed>,
    /// Held until the run is over.
    _ports: start::Ports,
    figures: Vec<ProcessFigures>,
    own: ProcessFigures,
    state_control: SocketAddr,
    state: StateFigures,
    state_before: StateFigures,
    state_next: u64,
    state_open: bool,
    users: Users,
    arrivals: Arrivals,
    by_job: HashMap<String, usize>,
    check: Check,
    /// Events that wait until those of all zones up to their time are there.
    events: Vec<TaskEvent>,
    changes: Changes,
    waits: Waits,
    acceptance: Times,
    strikes: Vec<(u64, Strike)>,
    /// When the load begins; all its times count from there.
    load_from: u64,
    killed_leader: Option<u64>,
    newest_token: u64,
    report: Report,
    starts: u64,
    waiting: i64,
    sampled: u64,
    progress: u64,
    stop: Arc<AtomicBool>,
    memory_limit: u64,
}

/// Plays a plan. Exit code 1: a rule was broken.
pub fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    let plan = Plan::load(&arguments.plan)?;
    let memory_limit = start::refuse_if_too_small(&plan)?;
    make_folder(&arguments.out)?;
    let mut run = Run::start(plan, arguments, memory_limit)?;
    let ended = run.play();
    run.report.ended = match &ended {
        Ok(()) if run.stop.load(Ordering::Relaxed) => "interrupted".into(),
        Ok(()) => "played whole".into(),
        Err(error) => format!("ended early: {error}"),
    };
    run.finish(&arguments.out)?;
    ended?;
    let interrupted = run.stop.load(Ordering::Relaxed);
    let broken = !run.report.violations.is_empty();
    Ok(if broken || interrupted { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

impl Run {
    fn play(&mut self) -> Result<(), ScaleError> {
        self.wait_for_leader()?;
        let settled = self.clock.now() + (self.plan.settle_s * 1000.0) as u64;
        self.until(settled, |_| false)?;
        self.begin_load();
        let load_end = self.load_from + (self.plan.load_s() * 1000.0) as u64;
        self.until(load_end, |_| false)?;
        self.end_load(load_end);
        let drained = load_end + (self.plan.drain_s * 1000.0) as u64;
        self.until(drained, |run| run.users.open() == 0 && run.changes.open() == 0)?;
        self.users.ask_all(self.clock.now());
        let asked = self.clock.now() + LAST_QUESTIONS_MS;
        self.until(asked, |run| run.users.unanswered() == 0)?;
        let settled = self.clock.now() + 2 * NEWS_MS;
        self.until(settled, |_| false)
    }

    fn wait_for_leader(&mut self) -> Result<(), ScaleError> {
        let patience = self.clock.now() + START_PATIENCE_MS;
        self.until(patience, |run| run.state.leader.is_some())?;
        if self.state.leader.is_none() && !self.stop.load(Ordering::Relaxed) {
            return Err(ScaleError::Process(format!(
                "no controller leads after {} s",
                START_PATIENCE_MS / 1000
            )));
        }
        Ok(())
    }

    /// Goes on until a time, or until something is so, or until it is told to stop.
    fn until(&mut self, end: u64, done: impl Fn(&Run) -> bool) -> Result<(), ScaleError> {
        let mut events = Events::new();
        while self.clock.now() < end && !done(self) && !self.stop.load(Ordering::Relaxed) {
            events.clear();
            match self.gate.wait(&mut events, Duration::from_millis(WAIT_MS)) {
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error("the poller")(error)),
            }
            let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
            for key in ready {
                self.event(key)?;
            }
            self.step()?;
        }
        Ok(())
    }

    fn event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if self.server.owns(key) {
            let mut next = self.server.event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                let request = &incoming.request;
                let (status, body) = self.cloud.call(&request.method, &request.path, &request.body, now);
                next = self.server.answer(incoming.conn, status, body.to_string().as_bytes());
            }
        } else if self.caller.owns(key)
            && let Some((slot, response)) = self.caller.event(key)
        {
            self.answered(slot, response.as_ref())?;
        }
        Ok(())
    }

    fn answered(&mut self, slot: Slot, response: Option<&Response>) -> Result<(), ScaleError> {
        match slot.0 {
            zone if zone < self.zones.len() => self.zone_answered(zone, response),
            STATE_SLOT => self.state_answered(response),
            change if change < FIRST_USER => {
                self.caller.hang_up(slot);
                self.changes.answered(change - FIRST_CHANGE, response, self.clock.now());
                Ok(())
            }
            user => {
                self.caller.hang_up(slot);
                self.user_answered(user - FIRST_USER, response);
                Ok(())
            }
        }
    }

    fn step(&mut self) -> Result<(), ScaleError> {
        let now = self.clock.now();
        for (slot, response) in self.caller.expire(now) {
            self.answered(slot, response.as_ref())?;
        }
        self.server.expire(now);
        if now >= self.cloud_next {
            self.cloud_next = now + CLOUD_MS;
            for (zone, command) in self.cloud.follow(now) {
                self.command(zone, command);
            }
        }
        self.strike(now)?;
        self.arrive(now);
        self.call_users(now);
        self.call_operators(now);
        for zone in 0..self.zones.len() {
            self.call_zone(zone, now)?;
        }
        if now >= self.state_next && !self.state_open {
            self.state_next = now + NEWS_MS;
            self.state_open = true;
            let request = ("GET", "/figures", b"".as_slice());
            self.caller.call(
                &mut self.keys,
                Slot(STATE_SLOT),
                self.state_control,
                request,
                now + CONTROL_PATIENCE_MS,
            );
        }
        self.judge();
        if now >= self.sampled + SAMPLE_MS {
            self.sample(now)?;
        }
        Ok(())
    }

    fn command(&mut self, zone: usize, command: ZoneCommand) -> u64 {
        let link = &mut self.zones[zone];
        link.queue.push_back(command);
        link.queued += 1;
        link.queued
    }

    fn call_zone(&mut self, zone: usize, now: u64) -> Result<(), ScaleError> {
        let link = &mut self.zones[zone];
        let Some(address) = link.address else { return Ok(()) };
        if link.open.is_some() || (link.queue.is_empty() && now < link.next) {
            return Ok(());
        }
        link.next = now + NEWS_MS;
        let (mut commands, mut bytes) = (Vec::new(), 0);
        while bytes < COMMAND_BYTES
            && let Some(command) = link.queue.pop_front()
        {
            let text = to_json(&command, "a command")?;
            bytes += text.len() + 1;
            commands.push(text);
        }
        link.open = Some(commands.len() as u64);
        let body = format!("[{}]", commands.join(","));
        let request = ("POST", "/commands", body.as_bytes());
        self.caller.call(&mut self.keys, Slot(zone), address, request, now + CONTROL_PATIENCE_MS);
        Ok(())
    }

    fn zone_answered(&mut self, zone: usize, response: Option<&Response>) -> Result<(), ScaleError> {
        let name = &self.plan.zones[zone];
        // While the processes start, nobody listens yet; commands that were not taken are lost then.
        let Some(response) = response else {
            let link = &mut self.zones[zone];
            if link.taken == 0 && link.news.until_ms == 0 && self.clock.now() < START_PATIENCE_MS {
                return self.begin_again(zone);
            }
            return Err(ScaleError::Process(format!("the hollow workers of {name} do not answer")));
        };
        let news: ZoneNews = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: format!("news of {name}"), error })?;
        let link = &mut self.zones[zone];
        link.taken += link.open.take().unwrap_or(0);
        self.events.extend(news.events.iter().cloned());
        link.news = ZoneNews { events: Vec::new(), ..news };
        Ok(())
    }

    /// The process of a zone was not there yet: all machines are told to it again.
    fn begin_again(&mut self, zone: usize) -> Result<(), ScaleError> {
        let link = &mut self.zones[zone];
        link.open = None;
        link.queue.clear();
        link.queued = 0;
        link.next = self.clock.now() + NEWS_MS;
        self.cloud.forget_zone(zone);
        Ok(())
    }

    fn state_answered(&mut self, response: Option<&Response>) -> Result<(), ScaleError> {
        self.state_open = false;
        let now = self.clock.now();
        let Some(response) = response else {
            if now < START_PATIENCE_MS {
                return Ok(());
            }
            return Err(ScaleError::Process("the state service does not answer".into()));
        };
        let figures: StateFigures = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: "the state service's figures".into(), error })?;
        if let Some(leader) =
            figures.leader.as_ref().filter(|leader| self.state.leader.as_ref() != Some(leader))
        {
            let after_kill_s = self.killed_leader.map(|at| now.saturating_sub(at) as f64 / 1000.0);
            let at_s = now.saturating_sub(self.load_from) as f64 / 1000.0;
            self.report.leads.push(Lead { at_s, node: leader.clone(), after_kill_s, first_start_s: None });
        }
        self.state = figures;
        Ok(())
    }

    fn begin_load(&mut self) {
        self.load_from = self.clock.now();
        self.state_before = self.state.clone();
        for link in &mut self.zones {
            link.before = link.news.clone();
        }
        let strikes = self.plan.faults.values().cloned();
        self.strikes = strikes
            .map(|fault| (self.load_from + (fault.at_s() * 1000.0) as u64, Strike::Begin(fault)))
            .collect();
    }

    /// Jobs that arrive within the time in which workers are told of them.
    fn arrive(&mut self, now: u64) {
        if self.load_from == u64::MAX {
            return;
        }
        let until = (now + DESCRIBE_AHEAD_MS).saturating_sub(self.load_from);
        while let Some(arrival) = self.arrivals.next_until(until) {
            let describe = ZoneCommand::Describe(arrival.description.clone());
            let zones = 0..self.zones.len();
            let described_by = zones.map(|zone| self.command(zone, describe.clone())).collect();
            let facts = JobFacts { team: arrival.team, cpus: arrival.cpus };
            self.check.submitted(&arrival.job, facts);
            self.by_job.insert(arrival.job.clone(), self.users.all.len());
            let at_ms = self.load_from + arrival.at_ms;
            self.users.arrive(arrival, at_ms, described_by);
            self.report.submitted += 1;
        }
    }

    fn call_users(&mut self, now: u64) {
        let taken: Vec<u64> = self.zones.iter().map(|zone| zone.taken).collect();
        for call in self.users.due(now, self.load_from, &taken) {
            let user = &self.users.all[call.user];
            let late_ms = now.saturating_sub(self.load_from + user.arrival.at_ms);
            if user.first_call && late_ms > LATE_MS {
                self.report.load_late += 1;
                self.report.load_late_max_s = self.report.load_late_max_s.max(late_ms as f64 / 1000.0);
            }
            let slot = Slot(FIRST_USER + call.user);
            let request = (call.method, call.path.as_str(), call.body.as_slice());
            let address = self.controllers[call.controller];
            if !self.caller.call(&mut self.keys, slot, address, request, call.until_ms) {
                self.user_answered(call.user, None);
            }
        }
    }

    /// Changes of configuration; each is asked of a controller in turn.
    fn call_operators(&mut self, now: u64) {
        if self.load_from == u64::MAX {
            return;
        }
        for call in self.changes.due(now, now.saturating_sub(self.load_from)) {
            let address = self.controllers[call.controller % self.controllers.len()];
            let slot = Slot(FIRST_CHANGE + call.change);
            let request = (call.method, call.path.as_str(), call.body.as_slice());
            if !self.caller.call(&mut self.keys, slot, address, request, call.until_ms) {
                self.changes.answered(call.change, None, now);
            }
        }
    }

    fn user_answered(&mut self, at: usize, response: Option<&Response>) {
        let now = self.clock.now();
        let outcome = self.users.answered(at, response, now);
        let arrival = &self.users.all[at].arrival;
        let (job, tasks) = (arrival.job.clone(), i64::from(arrival.tasks));
        match outcome {
            Outcome::Nothing => {}
            Outcome::Accepted { after_ms } => {
                self.report.accepted += 1;
                self.waiting += tasks;
                let needs = arrival.cpus * f64::from(arrival.tasks);
                let at_limit = self.check.room(arrival.team) < needs;
                self.users.all[at].team_at_limit = at_limit;
                self.acceptance.record(after_ms);
            }
            Outcome::Cancelled => {
                self.report.cancelled += 1;
                let cancel_ms = (self.plan.workers.cancel_s * 1000.0) as u64;
                self.check.cancelled(&job, Cancelled { at_ms: now, gone_by_ms: now + cancel_ms });
            }
            Outcome::Done => self.report.done += 1,
            Outcome::GivenUp => self.report.given_up += 1,
            Outcome::Forgotten => self.check.forgotten(&job),
            Outcome::WentBack => self.check.went_back(&job),
        }
    }

    /// Judges the events up to the time that all zones have told of.
    fn judge(&mut self) {
        let until = self.zones.iter().map(|zone| zone.news.until_ms).min().unwrap_or(0);
        let mut ripe: Vec<TaskEvent> = Vec::new();
        self.events.retain(|event| {
            let take = event.at_ms < until;
            if take {
                ripe.push(event.clone());
            }
            !take
        });
        // What leaves a worker in a millisecond leaves before what comes: clocks of processes tell no more.
        let comes = |event: &TaskEvent| matches!(event.kind, TaskEventKind::On | TaskEventKind::Runs);
        ripe.sort_by_key(|event| (event.at_ms, comes(event)));
        for event in &ripe {
            self.check.take(event);
            self.started(event);
        }
        self.check.pass(until);
    }

    fn started(&mut self, event: &TaskEvent) {
        const TOKEN_SHIFT: u32 = 24;
        let token = event.attempt >> TOKEN_SHIFT;
        if event.kind == TaskEventKind::On && token > self.newest_token {
            self.newest_token = token;
            if let Some(lead) = self.report.leads.last_mut() {
                let from = self
                    .killed_leader
                    .map_or(self.load_from as f64 / 1000.0 + lead.at_s, |at| at as f64 / 1000.0);
                lead.first_start_s = Some(event.at_ms as f64 / 1000.0 - from);
            }
        }
        if event.kind != TaskEventKind::Runs {
            return;
        }
        self.starts += 1;
        let Some(user) = event.task.split('/').next().and_then(|job| self.by_job.get(job)) else { return };
        let arrival = &self.users.all[*user].arrival;
        let phase = self.phase_at(arrival.at_ms).unwrap_or("after").to_string();
        let wait_ms = event.at_ms.saturating_sub(self.load_from + arrival.at_ms);
        if self.waits.first_start(&event.task, &arrival.class, &phase, wait_ms) {
            self.waiting -= 1;
            let urgent = self.plan.jobs.get(&arrival.class).is_some_and(|job| job.urgency <= Urgency::High);
            if urgent && wait_ms > URGENT_AIM_MS {
                self.report.urgent_late += 1;
                self.report.urgent_late_at_limit += u64::from(self.users.all[*user].team_at_limit);
            }
        }
    }

    /// The phase at a time of the load.
    fn phase_at(&self, at_ms: u64) -> Option<&str> {
        let mut end_s = 0.0;
        let mut phases = self.plan.phases.iter();
        let found = phases.find(|(_, phase)| {
            end_s += phase.seconds;
            (at_ms as f64) < end_s * 1000.0
        });
        found.map(|(name, _)| name.as_str())
    }

    /// Ends everything and writes what was measured.
    fn finish(&mut self, out: &Path) -> Result<(), ScaleError> {
        self.processes.iter_mut().for_each(Managed::kill);
        self.report.phases = self.phase_figures();
        self.report.find_peak();
        self.report.waits = self.waits.table();
        self.report.acceptance = self.acceptance.wait();
        self.report.changes = self.changes.figures();
        self.report.user_retries = self.users.retries;
        self.report.open_at_end = self.users.open();
        self.report.unanswered_at_end = self.users.unanswered();
        self.report.state.refused = self.state.refused;
        self.report.state.keys = self.state.keys;
        self.report.processes = self.figures.clone();
        self.report.processes.push(self.own.clone());
        self.report.events_judged = self.check.judged();
        self.report.violations = self.check.violations().to_vec();
        let json = serde_json::to_string_pretty(&self.report)
            .map_err(|error| ScaleError::Json { what: "the report".into(), error })?;
        write_file(&out.join("report.json"), &json)?;
        write_file(&out.join("report.html"), &page::page(&self.report))?;
        let table = self.report.table();
        write_file(&out.join("report.txt"), &table)?;
        print!("{table}");
        for violation in self.report.violations.iter().take(5) {
            println!("broken: {violation:?}");
        }
        Ok(())
    }
}
