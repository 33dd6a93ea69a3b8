//! Drives the load of a run: jobs arrive, users submit, poll and cancel them, and operators change the
//! configuration.

use std::collections::HashMap;

use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;

use super::ScaleRun;
use super::faults::ScheduledFault;
use crate::arrivals::Arrivals;
use crate::changes::ConfigChanges;
use crate::control::ZoneCommand;
use crate::invariants::{CancelTimes, JobFacts};
use crate::plan::Plan;
use crate::users::{UserOutcome, UserRequestToSend, Users};

/// Jobs are described to the workers this long before they are submitted.
const DESCRIBE_AHEAD_MS: u64 = 2_000;
/// A submission counts as late if it is sent later than planned by more than this.
const LATE_SUBMISSION_MS: u64 = 250;
/// Call slot of the first configuration change; each change has a slot of its own.
pub(super) const FIRST_CHANGE_SLOT: usize = 10_000;
/// Call slot of the first user; each user has a slot of its own. Smaller slots belong to changes.
pub(super) const FIRST_USER_SLOT: usize = 1_000_000;
/// Value of `Load::start_ms` before the load begins; it is later than any time of the run.
const NOT_STARTED: u64 = u64::MAX;

/// The jobs that are still to arrive, the users and the configuration changes.
pub(super) struct Load {
    /// Time of the run at which the load began; `NOT_STARTED` before.
    pub(super) start_ms: u64,
    arrivals: Arrivals,
    pub(super) users: Users,
    /// Index of the user of each job.
    pub(super) user_by_job: HashMap<String, usize>,
    pub(super) config_changes: ConfigChanges,
}

impl Load {
    pub(super) fn new(plan: &Plan) -> Load {
        Load {
            start_ms: NOT_STARTED,
            arrivals: Arrivals::new(plan),
            users: Users::new(plan.controllers, plan.seed),
            user_by_job: HashMap::new(),
            config_changes: ConfigChanges::new(&plan.change_series, plan.team_settings(), plan.seed),
        }
    }

    pub(super) fn has_started(&self) -> bool {
        self.start_ms != NOT_STARTED
    }
}

impl ScaleRun {
    /// Begins the load and schedules the plan's faults.
    pub(super) fn start_load(&mut self) {
        let start_ms = self.clock.now();
        self.load.start_ms = start_ms;
        self.kv.at_load_start = self.kv.measurements.clone();
        for link in &mut self.zones {
            link.status_at_load_start = link.status.clone();
        }
        let faults = self.plan.faults.values();
        self.fault_schedule = faults.map(|fault| ScheduledFault::planned(fault, start_ms)).collect();
    }

    /// Describes the jobs that arrive within `DESCRIBE_AHEAD_MS` to the workers, and adds a user for each.
    pub(super) fn submit_arrivals(&mut self, now: u64) {
        if !self.load.has_started() {
            return;
        }
        let until = (now + DESCRIBE_AHEAD_MS).saturating_sub(self.load.start_ms);
        while let Some(arrival) = self.load.arrivals.pop_due(until) {
            let describe = ZoneCommand::Describe(arrival.description.clone());
            let required_commands =
                self.zones.iter_mut().map(|zone| zone.queue_command(describe.clone())).collect();
            let facts = JobFacts { team: arrival.team, cpus: arrival.cpus };
            self.checker.record_submission(&arrival.job, facts);
            self.load.user_by_job.insert(arrival.job.clone(), self.load.users.users.len());
            let at_ms = self.load.start_ms + arrival.at_ms;
            self.load.users.add_user(arrival, at_ms, required_commands);
            self.report.submitted += 1;
        }
    }

    pub(super) fn send_user_requests(&mut self, now: u64) {
        let acknowledged: Vec<u64> = self.zones.iter().map(|zone| zone.acknowledged).collect();
        for request in self.load.users.due_requests(now, self.load.start_ms, &acknowledged) {
            self.record_submission_delay(&request, now);
            let slot = CallSlot(FIRST_USER_SLOT + request.user);
            let address = self.controllers[request.controller];
            let http_request = (request.method, request.path.as_str(), request.body.as_slice());
            if !self.network.send(slot, address, http_request, request.deadline_ms) {
                self.handle_user_response(request.user, None);
            }
        }
    }

    fn record_submission_delay(&mut self, request: &UserRequestToSend, now: u64) {
        let user = &self.load.users.users[request.user];
        let late_ms = now.saturating_sub(self.load.start_ms + user.arrival.at_ms);
        if user.is_first_request && late_ms > LATE_SUBMISSION_MS {
            self.report.late_submissions += 1;
            self.report.load_late_max_s = self.report.load_late_max_s.max(late_ms as f64 / 1000.0);
        }
    }

    /// Sends the requests for configuration changes that are due.
    pub(super) fn send_config_changes(&mut self, now: u64) {
        if !self.load.has_started() {
            return;
        }
        let load_ms = now.saturating_sub(self.load.start_ms);
        for request in self.load.config_changes.due_requests(now, load_ms) {
            let address = self.controllers[request.controller % self.controllers.len()];
            let slot = CallSlot(FIRST_CHANGE_SLOT + request.change);
            let http_request = (request.method, request.path.as_str(), request.body.as_slice());
            if !self.network.send(slot, address, http_request, request.deadline_ms) {
                self.load.config_changes.handle_response(request.change, None, now);
            }
        }
    }

    pub(super) fn handle_user_response(&mut self, user: usize, response: Option<&Response>) {
        let now = self.clock.now();
        let outcome = self.load.users.handle_response(user, response, now);
        let job = self.load.users.users[user].arrival.job.clone();
        match outcome {
            UserOutcome::Nothing => {}
            UserOutcome::Accepted { after_ms } => self.record_acceptance(user, after_ms),
            UserOutcome::Cancelled => {
                self.report.cancelled += 1;
                let cancel_ms = (self.plan.worker_timings.cancel_s * 1000.0) as u64;
                let times = CancelTimes { confirmed_at_ms: now, stop_deadline_ms: now + cancel_ms };
                self.checker.record_cancellation(&job, times);
            }
            UserOutcome::Done => self.report.done += 1,
            UserOutcome::Abandoned => self.report.abandoned += 1,
            UserOutcome::JobLost => self.checker.record_lost_job(&job),
            UserOutcome::TerminalStateChanged => self.checker.record_terminal_state_change(&job),
        }
    }

    fn record_acceptance(&mut self, user: usize, after_ms: u64) {
        let user = &mut self.load.users.users[user];
        let arrival = &user.arrival;
        self.report.accepted += 1;
        self.measurements.waiting_tasks += i64::from(arrival.tasks);
        let requested_cpus = arrival.cpus * f64::from(arrival.tasks);
        user.team_at_limit = self.checker.free_cpus(arrival.team) < requested_cpus;
        self.measurements.acceptance_latency.record(after_ms);
    }
}
