//! One scale run: starts all processes, applies the load and the faults, polls every accepted job once more
//! at the end, and then kills all processes.
//!
//! This module owns the state of the run and its event loop. `start` starts the processes, `process_group`
//! holds them, `network` owns the sockets, `zones` and `kv_poll` exchange messages with the processes, `load`
//! sends the requests of users and operators, `faults` injects the faults, `task_events` passes the workers'
//! events to the checker, and `sampling` measures the resource usage.

mod faults;
mod kv_poll;
mod load;
mod network;
mod process_group;
mod sampling;
mod start;
mod task_events;
mod zones;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;
use polling::Events;

use self::faults::ScheduledFault;
use self::kv_poll::{KV_SLOT, KvPoller};
use self::load::{FIRST_CHANGE_SLOT, FIRST_USER_SLOT, Load};
use self::network::Network;
use self::process_group::ProcessGroup;
use self::sampling::RunMeasurements;
use self::start::write_file;
use self::zones::ZoneLink;
use crate::cloud::TestCloud;
use crate::control::TaskEvent;
use crate::error::ScaleError;
use crate::html_report;
use crate::invariants::InvariantChecker;
use crate::measurements::RunReport;
use crate::plan::Plan;
use crate::processes::create_output_directory;
use crate::simulated_workers::RunClock;

/// The command-line arguments of a run.
#[derive(Debug, Clone)]
pub struct RunArguments {
    /// Path of the plan.
    pub plan: PathBuf,
    /// Directory for logs, settings, the kv store's file and the report.
    pub out: PathBuf,
    /// Path of `olivelatchctl` itself, whose hidden commands run controllers, simulated workers and the kv
    /// store.
    pub program: PathBuf,
    /// Log level of the processes of the run.
    pub log_level: String,
}

/// Interval at which each zone and the kv store are polled.
const STATUS_INTERVAL_MS: u64 = 200;
/// Interval at which machines that have become ready are booted and removed machines are stopped.
const CLOUD_INTERVAL_MS: u64 = 100;
/// Time-out of a request to a zone's process or to the kv store's process.
const CONTROL_REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Time within which the processes must respond and a controller must become leader.
const START_TIMEOUT_MS: u64 = 30_000;
/// Time-out of the final poll of all jobs.
const FINAL_POLL_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of violations that are printed; the report lists all of them.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// The state of a run. Times are in milliseconds since its start.
struct ScaleRun {
    plan: Plan,
    clock: RunClock,
    network: Network,
    cloud: TestCloud,
    next_cloud_step: u64,
    /// Links to the zones' processes, in the order of the plan's zones.
    zones: Vec<ZoneLink>,
    /// Addresses of the controllers.
    controllers: Vec<SocketAddr>,
    processes: ProcessGroup,
    kv: KvPoller,
    load: Load,
    checker: InvariantChecker,
    /// Events that have not been checked because another zone has not yet delivered its events up to their
    /// time.
    pending_events: Vec<TaskEvent>,
    measurements: RunMeasurements,
    fault_schedule: Vec<ScheduledFault>,
    /// Time of the last fault that killed a leader.
    leader_killed_at: Option<u64>,
    /// Highest fencing token seen in an attempt on a worker.
    highest_token: u64,
    report: RunReport,
    /// Set by a signal that stops the run.
    stop: Arc<AtomicBool>,
}

/// Runs a plan. The exit code is 1 if an invariant was violated or a signal stopped the run.
///
/// # Errors
///
/// The plan is invalid, the machine is too small for it, or a process or a file of the run failed.
pub fn run(arguments: &RunArguments) -> Result<ExitCode, ScaleError> {
    let plan = Plan::load(&arguments.plan)?;
    let memory_limit = start::check_machine_resources(&plan)?;
    create_output_directory(&arguments.out)?;
    let mut run = ScaleRun::start(plan, arguments, memory_limit)?;
    let result = run.run_phases();
    run.report.end_reason = match &result {
        Ok(()) if run.is_stopped() => "interrupted".into(),
        Ok(()) => "played whole".into(),
        Err(error) => format!("ended early: {error}"),
    };
    run.finish(&arguments.out)?;
    result?;
    let has_violations = !run.report.violations.is_empty();
    Ok(if has_violations || run.is_stopped() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

impl ScaleRun {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn run_phases(&mut self) -> Result<(), ScaleError> {
        self.wait_for_leader()?;
        let settle_end = self.clock.now() + (self.plan.settle_s * 1000.0) as u64;
        self.run_until(settle_end, |_| false)?;
        self.start_load();
        let load_end = self.load.start_ms + (self.plan.load_s() * 1000.0) as u64;
        self.run_until(load_end, |_| false)?;
        self.record_load_end(load_end);
        let drain_deadline = load_end + (self.plan.drain_s * 1000.0) as u64;
        self.run_until(drain_deadline, |run| {
            run.load.users.unfinished_jobs() == 0 && run.load.config_changes.unfinished() == 0
        })?;
        self.load.users.schedule_final_polls(self.clock.now());
        let final_poll_deadline = self.clock.now() + FINAL_POLL_TIMEOUT_MS;
        self.run_until(final_poll_deadline, |run| run.load.users.unanswered_final_polls() == 0)?;
        // Wait for the next polls of the zones, which deliver their last events.
        let delivery_end = self.clock.now() + 2 * STATUS_INTERVAL_MS;
        self.run_until(delivery_end, |_| false)
    }

    fn wait_for_leader(&mut self) -> Result<(), ScaleError> {
        let deadline = self.clock.now() + START_TIMEOUT_MS;
        self.run_until(deadline, |run| run.kv.measurements.leader.is_some())?;
        if self.kv.measurements.leader.is_none() && !self.is_stopped() {
            return Err(ScaleError::Process(format!(
                "no controller became leader within {} s; see the controllers' logs in the output directory",
                START_TIMEOUT_MS / 1000
            )));
        }
        Ok(())
    }

    /// Runs the event loop until the time `end`, until `done` returns true, or until a signal stops the run.
    fn run_until(&mut self, end: u64, done: impl Fn(&ScaleRun) -> bool) -> Result<(), ScaleError> {
        let mut events = Events::new();
        while self.clock.now() < end && !done(self) && !self.is_stopped() {
            for key in self.network.wait(&mut events)? {
                self.handle_event(key)?;
            }
            self.step()?;
        }
        Ok(())
    }

    fn handle_event(&mut self, key: usize) -> Result<(), ScaleError> {
        let now = self.clock.now();
        let Network { server, http_client, keys, .. } = &mut self.network;
        if server.owns_key(key) {
            let mut next = server.handle_event(keys, key, now);
            while let Some(incoming) = next {
                let request = &incoming.request;
                let (status, body) =
                    self.cloud.handle_request(&request.method, &request.path, &request.body, now);
                next = server.respond(incoming.connection, status, body.to_string().as_bytes());
            }
        } else if http_client.owns_key(key)
            && let Some((slot, response)) = http_client.handle_event(key)
        {
            self.handle_response(slot, response.as_ref())?;
        }
        Ok(())
    }

    /// Passes a response, or `None` if the request failed, to the sender that owns the call slot.
    fn handle_response(&mut self, slot: CallSlot, response: Option<&Response>) -> Result<(), ScaleError> {
        match slot.0 {
            zone if zone < self.zones.len() => self.handle_zone_response(zone, response),
            KV_SLOT => self.handle_kv_response(response),
            // Each change and each user has a slot of its own, so the connection is closed: it would stay open
            // until the slot's next request.
            change if change < FIRST_USER_SLOT => {
                self.network.http_client.abort_call(slot);
                let change = change - FIRST_CHANGE_SLOT;
                self.load.config_changes.handle_response(change, response, self.clock.now());
                Ok(())
            }
            user => {
                self.network.http_client.abort_call(slot);
                self.handle_user_response(user - FIRST_USER_SLOT, response);
                Ok(())
            }
        }
    }

    fn step(&mut self) -> Result<(), ScaleError> {
        let now = self.clock.now();
        for (slot, response) in self.network.http_client.expire_calls(now) {
            self.handle_response(slot, response.as_ref())?;
        }
        self.network.server.close_idle(now);
        self.step_cloud(now);
        self.apply_due_faults(now)?;
        self.submit_arrivals(now);
        self.send_user_requests(now);
        self.send_config_changes(now);
        for (index, zone) in self.zones.iter_mut().enumerate() {
            zone.poll(CallSlot(index), &mut self.network, now)?;
        }
        self.kv.poll(&mut self.network, now);
        self.check_events();
        self.sample_processes(now)
    }

    /// Queues the commands to boot and remove machines, if `CLOUD_INTERVAL_MS` has passed.
    fn step_cloud(&mut self, now: u64) {
        if now < self.next_cloud_step {
            return;
        }
        self.next_cloud_step = now + CLOUD_INTERVAL_MS;
        for (zone, command) in self.cloud.machine_changes(now) {
            self.zones[zone].queue_command(command);
        }
    }

    /// Kills all processes and writes the report files.
    fn finish(&mut self, out: &Path) -> Result<(), ScaleError> {
        self.processes.kill_all();
        self.complete_report();
        let json = serde_json::to_string_pretty(&self.report)
            .map_err(|error| ScaleError::Json { what: "the report".into(), error })?;
        write_file(&out.join("report.json"), &json)?;
        write_file(&out.join("report.html"), &html_report::render_page(&self.report))?;
        let table = self.report.table();
        write_file(&out.join("report.txt"), &table)?;
        print!("{table}");
        for violation in self.report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("violation: {violation:?}");
        }
        Ok(())
    }

    fn complete_report(&mut self) {
        self.report.phases = self.phase_throughput();
        self.report.compute_peaks();
        self.report.start_latencies = self.measurements.start_latencies.summaries();
        self.report.acceptance_latency = self.measurements.acceptance_latency.summary();
        self.report.changes = self.load.config_changes.measurements();
        self.report.user_retries = self.load.users.retries;
        self.report.unfinished_at_end = self.load.users.unfinished_jobs();
        self.report.unanswered_at_end = self.load.users.unanswered_final_polls();
        self.report.state.refused = self.kv.measurements.refused;
        self.report.state.keys = self.kv.measurements.keys;
        self.report.processes = self.processes.usage();
        self.report.events_checked = self.checker.events_checked();
        self.report.violations = self.checker.violations().to_vec();
    }
}
