//! The simulated users of a run, who submit, poll, cancel and retry according to the user protocol. Decides
//! which requests to send; does no I/O and reads no clock.

use olivelatch_net::http::Response;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::arrivals::Arrival;

/// Time-out of a request that submits or cancels a job.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;
const POLL_TIMEOUT_MS: u64 = 2_000;
/// Minimum time before a request that failed is sent again.
const RETRY_MS: u64 = 1_000;
/// Time after the first submission request at which a user abandons a job that is not accepted.
const SUBMIT_DEADLINE_MS: u64 = 60_000;
const POLL_INTERVAL_MS: u64 = 5_000;

/// The stage that a user has reached with the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UserStage {
    /// The job has not been submitted yet; the workers must first acknowledge its description.
    Describing,
    Submitting,
    Polling,
    Cancelling,
    /// The job is done or cancelled, was abandoned, or is unknown to a controller.
    Finished,
    /// The job is polled once more at the end of the run.
    FinalPoll,
    /// The final poll got a response.
    Confirmed,
}

/// A user with one job. Times are in milliseconds of the run.
pub struct User {
    /// The user's job.
    pub arrival: Arrival,
    stage: UserStage,
    /// Time at which the next request is due; `None` while one is in flight and when no further one is
    /// needed.
    next_request_at: Option<u64>,
    /// Time at which the first submission was sent; before that, the planned time.
    first_submission_at: u64,
    /// Whether the most recent request is the user's first one.
    pub is_first_request: bool,
    /// Time at which the job was accepted.
    pub accepted_at: Option<u64>,
    /// Whether the job did not fit under its team's limit when it was accepted.
    pub team_at_limit: bool,
    /// Whether a controller has confirmed the cancellation.
    pub cancelled: bool,
    /// Whether a controller has reported the job as done.
    pub done: bool,
    /// For each zone, the number of commands that it must have acknowledged before the job may be submitted.
    pub required_commands: Vec<u64>,
}

/// A request of a user that is due.
pub struct UserRequestToSend {
    /// Index of the user.
    pub user: usize,
    /// Index of the controller to send to.
    pub controller: usize,
    /// HTTP method.
    pub method: &'static str,
    /// Path of the URL.
    pub path: String,
    /// JSON body, or empty.
    pub body: Vec<u8>,
    /// Time of the run at which the request times out.
    pub deadline_ms: u64,
}

/// The meaning of a response for the user's job.
#[derive(Debug, Clone, PartialEq)]
pub enum UserOutcome {
    /// Nothing new.
    Nothing,
    /// The job was accepted.
    Accepted {
        /// Time since the first submission request, in milliseconds.
        after_ms: u64,
    },
    /// A controller confirmed the cancellation that the user requested.
    Cancelled,
    /// The job is done.
    Done,
    /// The job was refused permanently, or was not accepted within `SUBMIT_DEADLINE_MS`.
    Abandoned,
    /// A controller does not know the accepted job.
    JobLost,
    /// The job changed from a terminal state to another state, or was reported as cancelled although its
    /// user's cancellation was never confirmed.
    TerminalStateChanged,
}

/// All users of a run.
pub struct Users {
    /// The users, in the order in which their jobs arrive.
    pub users: Vec<User>,
    controllers: usize,
    rng: StdRng,
    /// Number of requests that were retried.
    pub retries: u64,
}

impl Users {
    /// Creates an empty set of users. Each request goes to a random controller.
    pub fn new(controllers: usize, seed: u64) -> Users {
        Users { users: Vec::new(), controllers, rng: StdRng::seed_from_u64(seed), retries: 0 }
    }

    /// Adds the user of a job. The job is submitted at `at_ms`, or later if the zones have not acknowledged
    /// its description by then: each zone must first have acknowledged its number of `required_commands`.
    pub fn add_user(&mut self, arrival: Arrival, at_ms: u64, required_commands: Vec<u64>) {
        self.users.push(User {
            arrival,
            stage: UserStage::Describing,
            next_request_at: Some(at_ms),
            first_submission_at: at_ms,
            is_first_request: false,
            accepted_at: None,
            team_at_limit: false,
            cancelled: false,
            done: false,
            required_commands,
        });
    }

    /// Returns the requests that are due. `load_start_ms` is the beginning of the load;
    /// `acknowledged_commands` is the number of commands that each zone has acknowledged.
    pub fn due_requests(
        &mut self,
        now: u64,
        load_start_ms: u64,
        acknowledged_commands: &[u64],
    ) -> Vec<UserRequestToSend> {
        let mut requests = Vec::new();
        for index in 0..self.users.len() {
            if self.users[index].next_request_at.is_none_or(|next| next > now) {
                continue;
            }
            let controller = self.rng.random_range(0..self.controllers);
            requests.extend(self.users[index].next_request(
                index,
                controller,
                now,
                load_start_ms,
                acknowledged_commands,
            ));
        }
        requests
    }

    /// Handles the response to a user's request; `None` when the request failed or timed out.
    pub fn handle_response(&mut self, index: usize, response: Option<&Response>, now: u64) -> UserOutcome {
        let user = &mut self.users[index];
        let status = response.map_or(0, |response| response.status);
        let wait_s = response.and_then(|response| response.retry_after_s).unwrap_or(0);
        let outcome = match (user.stage, status) {
            (UserStage::Submitting, 200 | 201) => user.accept(now),
            (UserStage::Submitting, 400 | 422) => user.abandon(),
            (UserStage::Polling | UserStage::FinalPoll, 404) => user.report_lost(),
            (UserStage::Polling | UserStage::FinalPoll, 200) => user.handle_status(response, now),
            (UserStage::Cancelling, 200) => user.handle_cancel_response(response),
            _ => {
                self.retries += 1;
                user.next_request_at = Some(now + RETRY_MS.max(u64::from(wait_s) * 1000));
                UserOutcome::Nothing
            }
        };
        if user.stage == UserStage::Submitting && now > user.first_submission_at + SUBMIT_DEADLINE_MS {
            return user.abandon();
        }
        outcome
    }

    /// Schedules the final poll of every accepted job.
    pub fn schedule_final_polls(&mut self, now: u64) {
        for user in self.users.iter_mut().filter(|user| user.accepted_at.is_some()) {
            user.stage = UserStage::FinalPoll;
            user.next_request_at = Some(now);
        }
    }

    /// Returns the number of accepted jobs whose final poll has not been answered yet.
    pub fn unanswered_final_polls(&self) -> usize {
        self.users.iter().filter(|user| user.stage == UserStage::FinalPoll).count()
    }

    /// Returns the number of accepted jobs that are neither done nor cancelled.
    pub fn unfinished_jobs(&self) -> usize {
        let unfinished = |user: &&User| user.accepted_at.is_some() && !user.done && !user.cancelled;
        self.users.iter().filter(unfinished).count()
    }
}

impl User {
    /// Returns the request that is due; `None` if the user needs none, or if the workers have not yet
    /// acknowledged the job's description.
    fn next_request(
        &mut self,
        index: usize,
        controller: usize,
        now: u64,
        load_start_ms: u64,
        acknowledged_commands: &[u64],
    ) -> Option<UserRequestToSend> {
        self.is_first_request = self.stage == UserStage::Describing;
        if self.is_first_request {
            if !self.is_described(acknowledged_commands) {
                return None;
            }
            self.stage = UserStage::Submitting;
            self.first_submission_at = now;
        }
        let wants_cancellation = self.arrival.cancel_at_ms.is_some_and(|at_ms| now >= load_start_ms + at_ms);
        if self.stage == UserStage::Polling && wants_cancellation && !self.done {
            self.stage = UserStage::Cancelling;
        }
        self.next_request_at = None;
        let (method, path, body, timeout_ms) = self.request_of_stage()?;
        Some(UserRequestToSend { user: index, controller, method, path, body, deadline_ms: now + timeout_ms })
    }

    /// Returns whether all zones have acknowledged the job's description.
    fn is_described(&self, acknowledged_commands: &[u64]) -> bool {
        let mut zones = self.required_commands.iter().zip(acknowledged_commands);
        zones.all(|(required, acknowledged)| acknowledged >= required)
    }

    /// Returns the method, path, body and time-out in milliseconds of the request for the present stage.
    fn request_of_stage(&self) -> Option<(&'static str, String, Vec<u8>, u64)> {
        let job = &self.arrival.job;
        match self.stage {
            UserStage::Submitting => {
                let body = self.arrival.submission.to_string().into_bytes();
                Some(("POST", "/work".into(), body, SUBMIT_TIMEOUT_MS))
            }
            UserStage::Cancelling => {
                Some(("POST", format!("/work/{job}/abort"), Vec::new(), SUBMIT_TIMEOUT_MS))
            }
            UserStage::Polling | UserStage::FinalPoll => {
                Some(("GET", format!("/work/{job}"), Vec::new(), POLL_TIMEOUT_MS))
            }
            UserStage::Describing | UserStage::Finished | UserStage::Confirmed => None,
        }
    }

    fn accept(&mut self, now: u64) -> UserOutcome {
        self.stage = UserStage::Polling;
        self.accepted_at = Some(now);
        self.next_request_at = Some(now + POLL_INTERVAL_MS);
        UserOutcome::Accepted { after_ms: now.saturating_sub(self.first_submission_at) }
    }

    fn abandon(&mut self) -> UserOutcome {
        self.stage = UserStage::Finished;
        self.next_request_at = None;
        UserOutcome::Abandoned
    }

    fn report_lost(&mut self) -> UserOutcome {
        self.stage = UserStage::Finished;
        UserOutcome::JobLost
    }

    fn handle_status(&mut self, response: Option<&Response>, now: u64) -> UserOutcome {
        let status = job_status(response);
        let status = status.as_deref();
        if self.done && status != Some("done") || self.cancelled && status != Some("withdrawn") {
            return UserOutcome::TerminalStateChanged;
        }
        if self.stage == UserStage::FinalPoll {
            self.stage = UserStage::Confirmed;
            self.done |= status == Some("done");
            return UserOutcome::Nothing;
        }
        match status {
            Some("done") => {
                self.stage = UserStage::Finished;
                self.done = true;
                UserOutcome::Done
            }
            Some("withdrawn") => UserOutcome::TerminalStateChanged,
            _ => {
                self.next_request_at = Some(now + POLL_INTERVAL_MS);
                UserOutcome::Nothing
            }
        }
    }

    fn handle_cancel_response(&mut self, response: Option<&Response>) -> UserOutcome {
        self.stage = UserStage::Finished;
        if job_status(response).as_deref() == Some("withdrawn") {
            self.cancelled = true;
            return UserOutcome::Cancelled;
        }
        // The job was done before the cancellation: the response is 200 in this case too, with the job's status.
        self.done = true;
        UserOutcome::Done
    }
}

fn job_status(response: Option<&Response>) -> Option<String> {
    let body: Value = serde_json::from_slice(&response?.body).ok()?;
    body["status"].as_str().map(String::from)
}
