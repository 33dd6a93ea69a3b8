//! Users: they submit, poll and cancel jobs and retry requests. They remember the responses, which later responses
//! must not contradict.

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use serde_json::Value;

use super::requests::PendingRequest;
use super::{JobArguments, SimulatedCluster};

/// Delay after which users retry a request.
pub(super) const RETRY_MS: u64 = 1_000;

/// How a response to a user is checked.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseCheck {
    /// Checks the rules of the protocol. The user retries while the service is unavailable.
    Rules,
    /// Checks the rules and that the response has this status.
    RulesAndStatus(u16),
    /// Checks only this status, because the request is not about a job that the rules apply to.
    StatusOnly(u16),
}

impl ResponseCheck {
    fn expected_status(self) -> Option<u16> {
        match self {
            ResponseCheck::Rules => None,
            ResponseCheck::RulesAndStatus(status) | ResponseCheck::StatusOnly(status) => Some(status),
        }
    }

    pub(super) fn follows_rules(self) -> bool {
        !matches!(self, ResponseCheck::StatusOnly(_))
    }
}

/// A submission that is to be retried.
pub(super) struct Resubmission {
    due_at: u64,
    id: String,
}

/// A user that polls a job at a fixed interval, regardless of the responses.
pub(super) struct RepeatingPoll {
    pub(super) id: String,
    pub(super) interval_ms: u64,
    pub(super) next_at: u64,
}

impl SimulatedCluster {
    /// Sends a request to a ready controller. If there is none, a submission is retried later.
    pub(super) fn send_user_request(&mut self, request: UserRequest, id: &str, check: ResponseCheck) {
        let Some(controller) = self.pick_ready_controller() else {
            if self.is_unacknowledged(id) && check.follows_rules() {
                self.resubmit_later(id);
            }
            return;
        };
        let inbound = self.track_request(controller, PendingRequest::User { id: id.into(), check });
        self.send_event(controller, Event::User { inbound, request });
    }

    pub(super) fn handle_user_response(&mut self, id: &str, check: ResponseCheck, response: &HttpResponse) {
        let status = response.status;
        if let Some(expected) = check.expected_status()
            && status != expected
        {
            self.violations.push(format!("{id}: got status {status} instead of {expected}"));
        }
        if check.follows_rules() {
            if status < 300 {
                self.record_acceptance(id, response);
            }
            if matches!(status, 400 | 422) && self.accepted_jobs.contains(id) {
                self.violations
                    .push(format!("forgotten: {id} was accepted, a later request got status {status}"));
            }
        }
        if status == 503 && check == ResponseCheck::Rules && self.is_unacknowledged(id) {
            self.resubmit_later(id);
        }
        if status == 404 && self.accepted_jobs.contains(id) {
            self.violations.push(format!("forgotten: {id} was accepted, a later request got status 404"));
        }
    }

    fn record_acceptance(&mut self, id: &str, response: &HttpResponse) {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        self.record_status(id, body["status"].as_str().unwrap_or(""));
        self.faults.last_answered_at.insert(id.into(), self.now);
        if self.accepted_jobs.insert(id.into()) {
            self.schedule_concurrent_polls(id);
        }
    }

    /// Records a status. A final state must never change.
    fn record_status(&mut self, id: &str, status: &str) {
        if let Some(known) = self.final_states.get(id)
            && known != status
        {
            self.violations.push(format!("went_back: {id} was {known} and is {status}"));
        }
        if status == "done" || status == "withdrawn" {
            let before = self.final_states.insert(id.into(), status.into());
            if before.is_none() {
                self.schedule_concurrent_polls(id);
            }
        }
        if status == "withdrawn" {
            self.cancelled.entry(id.into()).or_insert(self.now);
        }
    }

    /// Returns whether the job was submitted but no controller has accepted it yet.
    pub(super) fn is_unacknowledged(&self, id: &str) -> bool {
        self.submissions.contains_key(id) && !self.accepted_jobs.contains(id)
    }

    pub(super) fn resubmit_later(&mut self, id: &str) {
        self.resubmissions.push(Resubmission { due_at: self.now + RETRY_MS, id: id.into() });
    }

    pub(super) fn repeat_submissions(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.resubmissions)
            .into_iter()
            .partition(|resubmission| resubmission.due_at <= now);
        self.resubmissions = later;
        for Resubmission { id, .. } in due {
            let submission = self.submissions[&id].to_string();
            let request = parse_submission(submission.as_bytes()).expect("a submission");
            self.send_user_request(request, &id, ResponseCheck::Rules);
        }
    }

    /// Repeats cancellations until the job's final state is known.
    pub(super) fn repeat_cancels(&mut self) {
        let final_states = &self.final_states;
        self.pending_cancels.retain(|id, _| !final_states.contains_key(id));
        let due: Vec<String> = self
            .pending_cancels
            .iter()
            .filter(|(_, due_at)| **due_at <= self.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.pending_cancels.insert(id.clone(), self.now + RETRY_MS);
            let job = JobId::parse(&id).expect("a job");
            self.send_user_request(UserRequest::Cancel { id: job }, &id, ResponseCheck::Rules);
        }
    }

    pub(super) fn repeat_polls(&mut self) {
        for index in 0..self.repeating_polls.len() {
            while self.repeating_polls[index].next_at <= self.now {
                let poll = &mut self.repeating_polls[index];
                poll.next_at += poll.interval_ms;
                let id = poll.id.clone();
                self.poll_job(&id);
            }
        }
    }

    pub(super) fn submit_job(&mut self, words: &[&str]) {
        let JobArguments { id, spec, check } = self.describe_job(words);
        let request = parse_submission(spec.to_string().as_bytes()).expect("a submission");
        self.send_user_request(request, &id, check);
    }

    pub(super) fn poll_job(&mut self, id: &str) {
        let job = JobId::parse(id).expect("a job");
        self.send_user_request(UserRequest::Poll { id: job }, id, ResponseCheck::Rules);
    }
}
