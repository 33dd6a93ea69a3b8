//! Users that poll in quick succession: once a job is accepted, its last task ends, or its final state is reported,
//! they poll all controllers and repeat the submission several times within seconds. The responses are checked like any
//! other.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch_worker::{AttemptPhase, TaskAttempt, Worker};

use super::actions::{ActionResult, usage_error};
use super::{PendingRequest, ResponseCheck, SimulatedCluster};

/// Delays of the polls of a burst after the event that causes it, in ms.
const POLL_DELAYS_MS: [u64; 12] = [0, 20, 40, 60, 100, 160, 260, 400, 700, 1_100, 1_600, 2_400];

#[derive(Default)]
pub struct PollBursts {
    enabled: bool,
    /// Jobs whose number is a multiple of this are cancelled when their last task ends; 0 for none.
    cancel_every: u64,
    /// Polls to be sent: time and job.
    scheduled: BTreeSet<(u64, String)>,
    /// Finished tasks of each job.
    done_tasks: BTreeMap<String, HashSet<String>>,
}

/// Returns the attempts that succeeded and are still in the workers' heartbeats.
pub fn done_attempts(workers: &[Worker]) -> impl Iterator<Item = &TaskAttempt> {
    let attempts = workers.iter().flat_map(|worker| &worker.attempts);
    attempts.filter(|attempt| matches!(attempt.phase, AttemptPhase::Ended { cause: "done", .. }))
}

impl SimulatedCluster {
    pub fn set_poll_bursts(&mut self, words: &[&str]) -> ActionResult {
        self.poll_bursts.enabled = match words {
            ["on"] => true,
            ["off"] => false,
            _ => return usage_error("on or off"),
        };
        Ok(())
    }

    pub fn set_cancellations_at_end(&mut self, words: &[&str]) -> ActionResult {
        let [every] = words else {
            return usage_error("N (jobs whose number is a multiple of N are cancelled)");
        };
        self.poll_bursts.cancel_every = every.parse().map_err(|_| "a count")?;
        Ok(())
    }

    pub fn schedule_poll_burst(&mut self, id: &str) {
        if self.poll_bursts.enabled && self.submissions.contains_key(id) {
            let now = self.now;
            let polls = POLL_DELAYS_MS.map(|delay_ms| (now + delay_ms, id.to_string()));
            self.poll_bursts.scheduled.extend(polls);
        }
    }

    /// Detects jobs whose last task has just ended, and sends the polls that are due, to every controller.
    pub fn step_poll_bursts(&mut self) {
        if self.poll_bursts.enabled || self.poll_bursts.cancel_every > 0 {
            self.detect_finished_jobs();
        }
        while self.poll_bursts.scheduled.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, id) = self.poll_bursts.scheduled.pop_first().expect("one that is due");
            let job = JobId::parse(&id).expect("a job");
            let submission = self.submissions[&id].to_string();
            for controller in 0..self.controllers.len() {
                let resubmission = parse_submission(submission.as_bytes()).expect("a submission");
                for request in [UserRequest::Poll { id: job }, resubmission] {
                    self.send_request_to(controller, request, &id);
                }
            }
        }
    }

    /// Cancels jobs whose last task has just ended, as far as the scenario requests it, and schedules polls of them.
    fn detect_finished_jobs(&mut self) {
        let mut finished = Vec::new();
        for attempt in done_attempts(&self.workers) {
            let Some(spec) = self.submissions.get(attempt.job_name()) else { continue };
            let done = self.poll_bursts.done_tasks.entry(attempt.job_name().into()).or_default();
            if done.insert(attempt.task.clone()) && done.len() as u64 == spec["pieces"].as_u64().unwrap_or(0)
            {
                finished.push(attempt.job_name().to_string());
            }
        }
        for id in finished {
            let job = JobId::parse(&id).expect("a job");
            if self.poll_bursts.cancel_every > 0 && job.0 % self.poll_bursts.cancel_every == 0 {
                self.pending_cancels.insert(id.clone(), self.now);
            }
            self.schedule_poll_burst(&id);
        }
    }

    /// Sends a request to this controller if it is running and users can reach it.
    pub(super) fn send_request_to(&mut self, controller: usize, request: UserRequest, id: &str) {
        if self.controllers[controller].controller.is_none() || self.is_cut(controller, "users") {
            return;
        }
        let inbound = self
            .track_request(controller, PendingRequest::User { id: id.into(), check: ResponseCheck::Rules });
        self.send_event(controller, Event::User { inbound, request });
    }
}
