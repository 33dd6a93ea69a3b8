//! One run: everything is started, loaded, struck, watched, asked at the end, and ended.

mod faults;
mod sampling;
mod start;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use olivelatch::protocol::users::PriorityClass;
use olivelatch_net::client::{CallSlot, HttpClient};
use olivelatch_net::http::Response;
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::HttpServer;
use polling::Events;

use start::{to_json, write_file};

use crate::arrivals::Arrivals;
use crate::changes::ConfigChanges;
use crate::cloud::TestCloud;
use crate::control::{KvMeasurements, TaskEvent, TaskEventKind, ZoneCommand, ZoneStatus};
use crate::error::{ScaleError, io_error};
use crate::html_report;
use crate::invariants::{CancelTimes, InvariantChecker, JobFacts};
use crate::measurements::{
    LatencyHistogram, LeaderChange, ProcessUsage, RunReport, StartLatencies, URGENT_OBJECTIVE_MS,
};
use crate::plan::{FaultKind, Plan};
use crate::processes::{ManagedProcess, create_folder};
use crate::simulated_workers::RunClock;
use crate::users::{UserOutcome, Users};

/// What a run is told on the command line.
#[derive(Debug, Clone)]
pub struct RunArguments {
    pub plan: PathBuf,
    pub out: PathBuf,
    /// The program whose hidden commands serve controllers, workers and the state service: `olivelatchctl` itself.
    pub program: PathBuf,
    /// The controllers' log level.
    pub log_level: String,
}

const POLL_MS: u64 = 10;
/// Zones are asked for news this often.
const STATUS_INTERVAL_MS: u64 = 200;
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Machines come up and go within this after they are due.
const CLOUD_INTERVAL_MS: u64 = 100;
/// Commands in one message to a zone.
const MAX_COMMAND_BYTES: usize = 48 * 1024;
const CONTROL_TIMEOUT_MS: u64 = 10_000;
/// Jobs are told to the workers so long before they are submitted.
const DESCRIBE_AHEAD_MS: u64 = 2_000;
/// A submission that goes out later than planned by more than this is the load side's delay.
const LATE_SUBMISSION_MS: u64 = 250;
const START_TIMEOUT_MS: u64 = 30_000;
const FINAL_POLL_MS: u64 = 60_000;

/// Slots of the run's calls: zones, the state service, changes of configuration, users.
const KV_SLOT: usize = 1_000;
const FIRST_CHANGE_SLOT: usize = 10_000;
const FIRST_USER_SLOT: usize = 1_000_000;

/// How the run talks to one process of hollow workers.
#[derive(Default)]
struct ZoneLink {
    address: Option<SocketAddr>,
    queue: VecDeque<ZoneCommand>,
    /// Commands queued, sent in the open message, and taken.
    queued: u64,
    sent_in_flight: Option<u64>,
    acknowledged: u64,
    next_poll: u64,
    status: ZoneStatus,
    /// As it was when the load began.
    status_at_load_start: ZoneStatus,
}

/// A fault, or its end.
enum FaultAction {
    Begin(FaultKind),
    RestoreCapacity,
    Restart(usize),
    Resume(usize),
    ReconnectZones(Vec<String>),
}

struct ScaleRun {
    plan: Plan,
    clock: RunClock,
    poller: Arc<EventPoller>,
    keys: KeyAllocator,
    server: HttpServer,
    http_client: HttpClient,
    cloud: TestCloud,
    next_cloud_step: u64,
    zones: Vec<ZoneLink>,
    controllers: Vec<SocketAddr>,
    processes: Vec<ManagedProcess>,
    /// Held until the run is over.
    _ports: start::ReservedPorts,
    process_usage: Vec<ProcessUsage>,
    own_usage: ProcessUsage,
    kv_control: SocketAddr,
    kv_measurements: KvMeasurements,
    kv_at_load_start: KvMeasurements,
    next_kv_poll: u64,
    kv_poll_in_flight: bool,
    users: Users,
    arrivals: Arrivals,
    user_by_job: HashMap<String, usize>,
    checker: InvariantChecker,
    /// Events that wait until those of all zones up to their time are there.
    pending_events: Vec<TaskEvent>,
    config_changes: ConfigChanges,
    start_latencies: StartLatencies,
    acceptance_latency: LatencyHistogram,
    fault_actions: Vec<(u64, FaultAction)>,
    /// When the load begins; all its times count from there.
    load_start_ms: u64,
    leader_killed_at: Option<u64>,
    highest_token: u64,
    report: RunReport,
    starts: u64,
    waiting_tasks: i64,
    last_sample_at: u64,
    last_progress_at: u64,
    stop: Arc<AtomicBool>,
    memory_limit: u64,
}

/// Plays a plan. Exit code 1: a rule was broken.
///
/// # Errors
///
/// The plan is invalid, the machine too small for it, or a process or file of the run failed.
pub fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    let plan = Plan::load(&arguments.plan)?;
    let memory_limit = start::check_machine_resources(&plan)?;
    create_folder(&arguments.out)?;
    let mut run = ScaleRun::start(plan, arguments, memory_limit)?;
    let ended = run.run_phases();
    run.report.end_reason = match &ended {
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

impl ScaleRun {
    fn run_phases(&mut self) -> Result<(), ScaleError> {
        self.wait_for_leader()?;
        let settled = self.clock.now() + (self.plan.settle_s * 1000.0) as u64;
        self.run_until(settled, |_| false)?;
        self.start_load();
        let load_end = self.load_start_ms + (self.plan.load_s() * 1000.0) as u64;
        self.run_until(load_end, |_| false)?;
        self.record_load_end(load_end);
        let drained = load_end + (self.plan.drain_s * 1000.0) as u64;
        self.run_until(drained, |run| run.users.unfinished() == 0 && run.config_changes.unfinished() == 0)?;
        self.users.poll_all(self.clock.now());
        let asked = self.clock.now() + FINAL_POLL_MS;
        self.run_until(asked, |run| run.users.unanswered_final_polls() == 0)?;
        let settled = self.clock.now() + 2 * STATUS_INTERVAL_MS;
        self.run_until(settled, |_| false)
    }

    fn wait_for_leader(&mut self) -> Result<(), ScaleError> {
        let patience = self.clock.now() + START_TIMEOUT_MS;
        self.run_until(patience, |run| run.kv_measurements.leader.is_some())?;
        if self.kv_measurements.leader.is_none() && !self.stop.load(Ordering::Relaxed) {
            return Err(ScaleError::Process(format!(
                "no controller leads after {} s",
                START_TIMEOUT_MS / 1000
            )));
        }
        Ok(())
    }

    /// Goes on until a time, or until something is so, or until it is told to stop.
    fn run_until(&mut self, end: u64, done: impl Fn(&ScaleRun) -> bool) -> Result<(), ScaleError> {
        let mut events = Events::new();
        while self.clock.now() < end && !done(self) && !self.stop.load(Ordering::Relaxed) {
            events.clear();
            match self.poller.wait(&mut events, Duration::from_millis(POLL_MS)) {
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error("the poller")(error)),
            }
            let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
            for key in ready {
                self.handle_event(key)?;
            }
            self.step()?;
        }
        Ok(())
    }

    fn handle_event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if self.server.owns_key(key) {
            let mut next = self.server.handle_event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                let request = &incoming.request;
                let (status, body) =
                    self.cloud.handle_request(&request.method, &request.path, &request.body, now);
                next = self.server.respond(incoming.connection, status, body.to_string().as_bytes());
            }
        } else if self.http_client.owns_key(key)
            && let Some((slot, response)) = self.http_client.handle_event(key)
        {
            self.handle_response(slot, response.as_ref())?;
        }
        Ok(())
    }

    fn handle_response(&mut self, slot: CallSlot, response: Option<&Response>) -> Result<(), ScaleError> {
        match slot.0 {
            zone if zone < self.zones.len() => self.handle_zone_response(zone, response),
            KV_SLOT => self.handle_kv_response(response),
            change if change < FIRST_USER_SLOT => {
                self.http_client.abort_call(slot);
                self.config_changes.handle_response(change - FIRST_CHANGE_SLOT, response, self.clock.now());
                Ok(())
            }
            user => {
                self.http_client.abort_call(slot);
                self.handle_user_response(user - FIRST_USER_SLOT, response);
                Ok(())
            }
        }
    }

    fn step(&mut self) -> Result<(), ScaleError> {
        let now = self.clock.now();
        for (slot, response) in self.http_client.expire_calls(now) {
            self.handle_response(slot, response.as_ref())?;
        }
        self.server.close_idle(now);
        if now >= self.next_cloud_step {
            self.next_cloud_step = now + CLOUD_INTERVAL_MS;
            for (zone, command) in self.cloud.machine_changes(now) {
                self.queue_command(zone, command);
            }
        }
        self.apply_due_faults(now)?;
        self.submit_arrivals(now);
        self.send_user_requests(now);
        self.send_config_changes(now);
        for zone in 0..self.zones.len() {
            self.poll_zone(zone, now)?;
        }
        if now >= self.next_kv_poll && !self.kv_poll_in_flight {
            self.next_kv_poll = now + STATUS_INTERVAL_MS;
            self.kv_poll_in_flight = true;
            let request = ("GET", "/figures", b"".as_slice());
            self.http_client.send_request(
                &mut self.keys,
                CallSlot(KV_SLOT),
                self.kv_control,
                request,
                now + CONTROL_TIMEOUT_MS,
            );
        }
        self.check_events();
        if now >= self.last_sample_at + SAMPLE_INTERVAL_MS {
            self.sample_processes(now)?;
        }
        Ok(())
    }

    fn queue_command(&mut self, zone: usize, command: ZoneCommand) -> u64 {
        let link = &mut self.zones[zone];
        link.queue.push_back(command);
        link.queued += 1;
        link.queued
    }

    fn poll_zone(&mut self, zone: usize, now: u64) -> Result<(), ScaleError> {
        let link = &mut self.zones[zone];
        let Some(address) = link.address else { return Ok(()) };
        if link.sent_in_flight.is_some() || (link.queue.is_empty() && now < link.next_poll) {
            return Ok(());
        }
        link.next_poll = now + STATUS_INTERVAL_MS;
        let (mut commands, mut bytes) = (Vec::new(), 0);
        while bytes < MAX_COMMAND_BYTES
            && let Some(command) = link.queue.pop_front()
        {
            let text = to_json(&command, "a command")?;
            bytes += text.len() + 1;
            commands.push(text);
        }
        link.sent_in_flight = Some(commands.len() as u64);
        let body = format!("[{}]", commands.join(","));
        let request = ("POST", "/commands", body.as_bytes());
        self.http_client.send_request(
            &mut self.keys,
            CallSlot(zone),
            address,
            request,
            now + CONTROL_TIMEOUT_MS,
        );
        Ok(())
    }

    fn handle_zone_response(&mut self, zone: usize, response: Option<&Response>) -> Result<(), ScaleError> {
        let name = &self.plan.zones[zone];
        // While the processes start, nobody listens yet; commands that were not taken are lost then.
        let Some(response) = response else {
            let link = &mut self.zones[zone];
            if link.acknowledged == 0 && link.status.until_ms == 0 && self.clock.now() < START_TIMEOUT_MS {
                return self.resend_commands(zone);
            }
            return Err(ScaleError::Process(format!("the hollow workers of {name} do not answer")));
        };
        let news: ZoneStatus = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: format!("news of {name}"), error })?;
        let link = &mut self.zones[zone];
        link.acknowledged += link.sent_in_flight.take().unwrap_or(0);
        self.pending_events.extend(news.events.iter().cloned());
        link.status = ZoneStatus { events: Vec::new(), ..news };
        Ok(())
    }

    /// The process of a zone was not there yet: all machines are told to it again.
    fn resend_commands(&mut self, zone: usize) -> Result<(), ScaleError> {
        let link = &mut self.zones[zone];
        link.sent_in_flight = None;
        link.queue.clear();
        link.queued = 0;
        link.next_poll = self.clock.now() + STATUS_INTERVAL_MS;
        self.cloud.clear_zone(zone);
        Ok(())
    }

    fn handle_kv_response(&mut self, response: Option<&Response>) -> Result<(), ScaleError> {
        self.kv_poll_in_flight = false;
        let now = self.clock.now();
        let Some(response) = response else {
            if now < START_TIMEOUT_MS {
                return Ok(());
            }
            return Err(ScaleError::Process("the state service does not answer".into()));
        };
        let figures: KvMeasurements = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: "the state service's figures".into(), error })?;
        if let Some(leader) =
            figures.leader.as_ref().filter(|leader| self.kv_measurements.leader.as_ref() != Some(leader))
        {
            let after_kill_s = self.leader_killed_at.map(|at| now.saturating_sub(at) as f64 / 1000.0);
            let at_s = now.saturating_sub(self.load_start_ms) as f64 / 1000.0;
            self.report.leader_changes.push(LeaderChange {
                at_s,
                controller: leader.clone(),
                after_kill_s,
                first_start_s: None,
            });
        }
        self.kv_measurements = figures;
        Ok(())
    }

    fn start_load(&mut self) {
        self.load_start_ms = self.clock.now();
        self.kv_at_load_start = self.kv_measurements.clone();
        for link in &mut self.zones {
            link.status_at_load_start = link.status.clone();
        }
        let strikes = self.plan.faults.values().cloned();
        self.fault_actions = strikes
            .map(|fault| (self.load_start_ms + (fault.at_s() * 1000.0) as u64, FaultAction::Begin(fault)))
            .collect();
    }

    /// Jobs that arrive within the time in which workers are told of them.
    fn submit_arrivals(&mut self, now: u64) {
        if self.load_start_ms == u64::MAX {
            return;
        }
        let until = (now + DESCRIBE_AHEAD_MS).saturating_sub(self.load_start_ms);
        while let Some(arrival) = self.arrivals.pop_due(until) {
            let describe = ZoneCommand::Describe(arrival.description.clone());
            let zones = 0..self.zones.len();
            let described_by = zones.map(|zone| self.queue_command(zone, describe.clone())).collect();
            let facts = JobFacts { team: arrival.team, cpus: arrival.cpus };
            self.checker.record_submission(&arrival.job, facts);
            self.user_by_job.insert(arrival.job.clone(), self.users.users.len());
            let at_ms = self.load_start_ms + arrival.at_ms;
            self.users.add_user(arrival, at_ms, described_by);
            self.report.submitted += 1;
        }
    }

    fn send_user_requests(&mut self, now: u64) {
        let taken: Vec<u64> = self.zones.iter().map(|zone| zone.acknowledged).collect();
        for call in self.users.due_requests(now, self.load_start_ms, &taken) {
            let user = &self.users.users[call.user];
            let late_ms = now.saturating_sub(self.load_start_ms + user.arrival.at_ms);
            if user.first_request && late_ms > LATE_SUBMISSION_MS {
                self.report.late_submissions += 1;
                self.report.load_late_max_s = self.report.load_late_max_s.max(late_ms as f64 / 1000.0);
            }
            let slot = CallSlot(FIRST_USER_SLOT + call.user);
            let request = (call.method, call.path.as_str(), call.body.as_slice());
            let address = self.controllers[call.controller];
            if !self.http_client.send_request(&mut self.keys, slot, address, request, call.deadline_ms) {
                self.handle_user_response(call.user, None);
            }
        }
    }

    /// Changes of configuration; each is asked of a controller in turn.
    fn send_config_changes(&mut self, now: u64) {
        if self.load_start_ms == u64::MAX {
            return;
        }
        for call in self.config_changes.due_requests(now, now.saturating_sub(self.load_start_ms)) {
            let address = self.controllers[call.controller % self.controllers.len()];
            let slot = CallSlot(FIRST_CHANGE_SLOT + call.change);
            let request = (call.method, call.path.as_str(), call.body.as_slice());
            if !self.http_client.send_request(&mut self.keys, slot, address, request, call.deadline_ms) {
                self.config_changes.handle_response(call.change, None, now);
            }
        }
    }

    fn handle_user_response(&mut self, at: usize, response: Option<&Response>) {
        let now = self.clock.now();
        let outcome = self.users.handle_response(at, response, now);
        let arrival = &self.users.users[at].arrival;
        let (job, tasks) = (arrival.job.clone(), i64::from(arrival.tasks));
        match outcome {
            UserOutcome::Nothing => {}
            UserOutcome::Accepted { after_ms } => {
                self.report.accepted += 1;
                self.waiting_tasks += tasks;
                let needs = arrival.cpus * f64::from(arrival.tasks);
                let at_limit = self.checker.free_cpus(arrival.team) < needs;
                self.users.users[at].team_at_limit = at_limit;
                self.acceptance_latency.record(after_ms);
            }
            UserOutcome::Cancelled => {
                self.report.cancelled += 1;
                let cancel_ms = (self.plan.workers.cancel_s * 1000.0) as u64;
                self.checker
                    .record_cancellation(&job, CancelTimes { at_ms: now, stopped_by_ms: now + cancel_ms });
            }
            UserOutcome::Done => self.report.done += 1,
            UserOutcome::Abandoned => self.report.abandoned += 1,
            UserOutcome::JobLost => self.checker.record_lost_job(&job),
            UserOutcome::TerminalStateChanged => self.checker.record_terminal_state_change(&job),
        }
    }

    /// Judges the events up to the time that all zones have told of.
    fn check_events(&mut self) {
        let until = self.zones.iter().map(|zone| zone.status.until_ms).min().unwrap_or(0);
        let mut ripe: Vec<TaskEvent> = Vec::new();
        self.pending_events.retain(|event| {
            let take = event.at_ms < until;
            if take {
                ripe.push(event.clone());
            }
            !take
        });
        // What leaves a worker in a millisecond leaves before what comes: clocks of processes tell no more.
        let comes = |event: &TaskEvent| matches!(event.kind, TaskEventKind::Placed | TaskEventKind::Started);
        ripe.sort_by_key(|event| (event.at_ms, comes(event)));
        for event in &ripe {
            self.checker.apply_event(event);
            self.record_start(event);
        }
        self.checker.advance_to(until);
    }

    fn record_start(&mut self, event: &TaskEvent) {
        const TOKEN_SHIFT_BITS: u32 = 24;
        let token = event.attempt >> TOKEN_SHIFT_BITS;
        if event.kind == TaskEventKind::Placed && token > self.highest_token {
            self.highest_token = token;
            if let Some(lead) = self.report.leader_changes.last_mut() {
                let from = self
                    .leader_killed_at
                    .map_or(self.load_start_ms as f64 / 1000.0 + lead.at_s, |at| at as f64 / 1000.0);
                lead.first_start_s = Some(event.at_ms as f64 / 1000.0 - from);
            }
        }
        if event.kind != TaskEventKind::Started {
            return;
        }
        self.starts += 1;
        let Some(user) = event.task.split('/').next().and_then(|job| self.user_by_job.get(job)) else {
            return;
        };
        let arrival = &self.users.users[*user].arrival;
        let phase = self.phase_at(arrival.at_ms).unwrap_or("after").to_string();
        let wait_ms = event.at_ms.saturating_sub(self.load_start_ms + arrival.at_ms);
        if self.start_latencies.record_first_start(&event.task, &arrival.class, &phase, wait_ms) {
            self.waiting_tasks -= 1;
            let urgent =
                self.plan.jobs.get(&arrival.class).is_some_and(|job| job.urgency <= PriorityClass::High);
            if urgent && wait_ms > URGENT_OBJECTIVE_MS {
                self.report.urgent_past_objective += 1;
                self.report.urgent_late_at_limit += u64::from(self.users.users[*user].team_at_limit);
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
        self.processes.iter_mut().for_each(ManagedProcess::kill);
        self.report.phases = self.phase_throughput();
        self.report.compute_peak();
        self.report.start_latencies = self.start_latencies.table();
        self.report.acceptance_latency = self.acceptance_latency.summary();
        self.report.changes = self.config_changes.measurements();
        self.report.user_retries = self.users.retries;
        self.report.unfinished_at_end = self.users.unfinished();
        self.report.unanswered_at_end = self.users.unanswered_final_polls();
        self.report.state.refused = self.kv_measurements.refused;
        self.report.state.keys = self.kv_measurements.keys;
        self.report.processes = self.process_usage.clone();
        self.report.processes.push(self.own_usage.clone());
        self.report.events_checked = self.checker.events_checked();
        self.report.violations = self.checker.violations().to_vec();
        let json = serde_json::to_string_pretty(&self.report)
            .map_err(|error| ScaleError::Json { what: "the report".into(), error })?;
        write_file(&out.join("report.json"), &json)?;
        write_file(&out.join("report.html"), &html_report::render_page(&self.report))?;
        let table = self.report.table();
        write_file(&out.join("report.txt"), &table)?;
        print!("{table}");
        for violation in self.report.violations.iter().take(5) {
            println!("broken: {violation:?}");
        }
        Ok(())
    }
}
