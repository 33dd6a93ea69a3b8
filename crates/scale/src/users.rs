//! Users of a run: submit, ask, cancel, and repeat by the protocol's rules. Decides; does no I/O and reads no clock.

use olivelatch_net::http::Response;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::arrivals::Arrival;

/// Times of the protocol, in milliseconds.
const SUBMIT_PATIENCE_MS: u64 = 5_000;
const ASK_PATIENCE_MS: u64 = 2_000;
const RETRY_MS: u64 = 1_000;
const SUBMIT_FOR_MS: u64 = 60_000;
const ASK_EVERY_MS: u64 = 5_000;

/// What a user is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Workers do not know the job yet: the load is behind.
    Describing,
    Submitting,
    Asking,
    Cancelling,
    /// The job is over, or was given up.
    Over,
    /// Asked once more at the end of the run.
    LastQuestion,
    Known,
}

/// A user with one job.
pub struct User {
    pub arrival: Arrival,
    stage: Stage,
    /// When the next request goes out; none while one is open.
    next: Option<u64>,
    first_try: u64,
    /// Its last request was the first one.
    pub first_call: bool,
    pub accepted: Option<u64>,
    /// Its team had no room for it under its limit when it was accepted.
    pub team_at_limit: bool,
    pub cancelled: bool,
    pub done: bool,
    /// For each zone, how many commands it must have taken before the job may be submitted.
    pub described_by: Vec<u64>,
}

/// A request that goes out now.
pub struct Call {
    pub user: usize,
    pub controller: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub until_ms: u64,
}

/// What an answer meant.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Nothing,
    /// Accepted, so long after the first try.
    Accepted {
        after_ms: u64,
    },
    Cancelled,
    Done,
    /// Refused for good, or nobody took it for a minute.
    GivenUp,
    Forgotten,
    /// A final answer was followed by another one, or a job is called cancelled that nobody cancelled.
    WentBack,
}

/// All users of a run.
pub struct Users {
    pub all: Vec<User>,
    controllers: usize,
    random: StdRng,
    pub retries: u64,
}

impl Users {
    pub fn new(controllers: usize, seed: u64) -> Users {
        Users { all: Vec::new(), controllers, random: StdRng::seed_from_u64(seed), retries: 0 }
    }

    /// A job arrives; it is submitted at `at_ms`, once the workers know it.
    pub fn arrive(&mut self, arrival: Arrival, at_ms: u64, described_by: Vec<u64>) {
        self.all.push(User {
            arrival,
            stage: Stage::Describing,
            next: Some(at_ms),
            first_try: at_ms,
            first_call: false,
            accepted: None,
            team_at_limit: false,
            cancelled: false,
            done: false,
            described_by,
        });
    }

    /// Requests that are due. `described`: how many commands each zone has taken; `load_from`: the begin of the load.
    pub fn due(&mut self, now: u64, load_from: u64, described: &[u64]) -> Vec<Call> {
        let mut calls = Vec::new();
        for at in 0..self.all.len() {
            if self.all[at].next.is_none_or(|next| next > now) {
                continue;
            }
            let controller = self.random.random_range(0..self.controllers);
            calls.extend(self.all[at].call(at, controller, now, load_from, described));
        }
        calls
    }

    /// An answer, or none.
    pub fn answered(&mut self, at: usize, response: Option<&Response>, now: u64) -> Outcome {
        let user = &mut self.all[at];
        let status = response.map_or(0, |response| response.status);
        let wait_s = response.and_then(|response| response.retry_after_s).unwrap_or(0);
        let outcome = match (user.stage, status) {
            (Stage::Submitting, 200 | 201) => user.taken(now),
            (Stage::Submitting, 400 | 422) => user.give_up(),
            (Stage::Asking | Stage::LastQuestion, 404) => user.forgotten(),
            (Stage::Asking | Stage::LastQuestion, 200) => user.told(response, now),
            (Stage::Cancelling, 200) => user.called_off(response),
            _ => {
                self.retries += 1;
                user.next = Some(now + RETRY_MS.max(u64::from(wait_s) * 1000));
                Outcome::Nothing
            }
        };
        if user.stage == Stage::Submitting && now > user.first_try + SUBMIT_FOR_MS {
            return user.give_up();
        }
        outcome
    }

    /// At the end every accepted job is asked about once more.
    pub fn ask_all(&mut self, now: u64) {
        for user in self.all.iter_mut().filter(|user| user.accepted.is_some()) {
            user.stage = Stage::LastQuestion;
            user.next = Some(now);
        }
    }

    /// Accepted jobs that nobody has told anything of yet in the last questions.
    pub fn unanswered(&self) -> usize {
        self.all.iter().filter(|user| user.stage == Stage::LastQuestion).count()
    }

    /// Accepted jobs that are neither done nor cancelled.
    pub fn open(&self) -> usize {
        let open = |user: &&User| user.accepted.is_some() && !user.done && !user.cancelled;
        self.all.iter().filter(open).count()
    }
}

impl User {
    fn call(
        &mut self,
        at: usize,
        controller: usize,
        now: u64,
        load_from: u64,
        described: &[u64],
    ) -> Option<Call> {
        self.first_call = self.stage == Stage::Describing;
        if self.first_call {
            let known = self.described_by.iter().zip(described).all(|(needs, taken)| taken >= needs);
            if !known {
                return None;
            }
            self.stage = Stage::Submitting;
            self.first_try = now;
        }
        let wish = self.arrival.cancel_at_ms.is_some_and(|at_ms| now >= load_from + at_ms);
        if self.stage == Stage::Asking && wish && !self.done {
            self.stage = Stage::Cancelling;
        }
        self.next = None;
        let job = &self.arrival.job;
        let (method, path, body, patience) = match self.stage {
            Stage::Submitting => (
                "POST",
                "/work".to_string(),
                self.arrival.submission.to_string().into_bytes(),
                SUBMIT_PATIENCE_MS,
            ),
            Stage::Cancelling => ("POST", format!("/work/{job}/abort"), Vec::new(), SUBMIT_PATIENCE_MS),
            Stage::Asking | Stage::LastQuestion => {
                ("GET", format!("/work/{job}"), Vec::new(), ASK_PATIENCE_MS)
            }
            Stage::Describing | Stage::Over | Stage::Known => return None,
        };
        Some(Call { user: at, controller, method, path, body, until_ms: now + patience })
    }

    fn taken(&mut self, now: u64) -> Outcome {
        self.stage = Stage::Asking;
        self.accepted = Some(now);
        self.next = Some(now + ASK_EVERY_MS);
        Outcome::Accepted { after_ms: now.saturating_sub(self.first_try) }
    }

    fn give_up(&mut self) -> Outcome {
        self.stage = Stage::Over;
        self.next = None;
        Outcome::GivenUp
    }

    fn forgotten(&mut self) -> Outcome {
        self.stage = Stage::Over;
        Outcome::Forgotten
    }

    fn told(&mut self, response: Option<&Response>, now: u64) -> Outcome {
        let word = status_word(response);
        let word = word.as_deref();
        if self.done && word != Some("done") || self.cancelled && word != Some("withdrawn") {
            return Outcome::WentBack;
        }
        if self.stage == Stage::LastQuestion {
            self.stage = Stage::Known;
            self.done |= word == Some("done");
            return Outcome::Nothing;
        }
        match word {
            Some("done") => {
                self.stage = Stage::Over;
                self.done = true;
                Outcome::Done
            }
            Some("withdrawn") => Outcome::WentBack,
            _ => {
                self.next = Some(now + ASK_EVERY_MS);
                Outcome::Nothing
            }
        }
    }

    fn called_off(&mut self, response: Option<&Response>) -> Outcome {
        self.stage = Stage::Over;
        if status_word(response).as_deref() == Some("withdrawn") {
            self.cancelled = true;
            return Outcome::Cancelled;
        }
        self.done = true;
        Outcome::Done
    }
}

fn status_word(response: Option<&Response>) -> Option<String> {
    let body: Value = serde_json::from_slice(&response?.body).ok()?;
    body["status"].as_str().map(String::from)
}
