//! Users that look closely: right after a job was accepted, ended or confirmed as cancelled they ask all nodes, again and
//! again within milliseconds, and repeat the submission. Whatever a node then says is judged like any other answer.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch_worker::{AttemptPhase, TaskAttempt, Worker};

use super::actions::{ActionResult, usage_error};
use super::{PendingRequest, ResponseCheck, SimulatedCluster};

/// After what looked closely at: how much later each of the looks comes.
const POLL_DELAYS_MS: [u64; 12] = [0, 20, 40, 60, 100, 160, 260, 400, 700, 1_100, 1_600, 2_400];

#[derive(Default)]
pub struct StatusPolls {
    enabled: bool,
    /// Every so many of the jobs are cancelled as their last task ends; 0: none.
    cancel_every: u64,
    due: BTreeSet<(u64, String)>,
    /// Tasks of each job that have ended well.
    done_tasks: BTreeMap<String, HashSet<String>>,
}

/// Tasks that have ended well and are still shown.
pub fn done_attempts(workers: &[Worker]) -> impl Iterator<Item = &TaskAttempt> {
    let pieces = workers.iter().flat_map(|worker| &worker.attempts);
    pieces.filter(|piece| matches!(piece.phase, AttemptPhase::Ended { cause: "done", .. }))
}

impl SimulatedCluster {
    pub fn set_close_polling(&mut self, words: &[&str]) -> ActionResult {
        self.status_polls.enabled = match words {
            ["on"] => true,
            ["off"] => false,
            _ => return usage_error("on or off"),
        };
        Ok(())
    }

    pub fn set_cancels_at_end(&mut self, words: &[&str]) -> ActionResult {
        let [every] = words else { return usage_error("EVERY SO MANY JOBS") };
        self.status_polls.cancel_every = every.parse().map_err(|_| "a count")?;
        Ok(())
    }

    pub fn schedule_close_polls(&mut self, id: &str) {
        if self.status_polls.enabled && self.submissions.contains_key(id) {
            let now = self.now;
            self.status_polls.due.extend(POLL_DELAYS_MS.map(|after| (now + after, id.to_string())));
        }
    }

    /// Jobs whose last task has just ended, and looks that are due.
    pub fn step_status_polls(&mut self) {
        if self.status_polls.enabled || self.status_polls.cancel_every > 0 {
            self.observe_terminal_states();
        }
        while self.status_polls.due.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, id) = self.status_polls.due.pop_first().expect("one that is due");
            let job = JobId::parse(&id).expect("a job");
            let submission = self.submissions[&id].to_string();
            for at in 0..self.controllers.len() {
                let again = parse_submission(submission.as_bytes()).expect("a submission");
                for request in [UserRequest::Poll { id: job }, again] {
                    self.send_request_to(at, request, &id);
                }
            }
        }
    }

    fn observe_terminal_states(&mut self) {
        let mut over = Vec::new();
        for piece in done_attempts(&self.workers) {
            let Some(spec) = self.submissions.get(piece.job_name()) else { continue };
            let done = self.status_polls.done_tasks.entry(piece.job_name().into()).or_default();
            if done.insert(piece.task.clone()) && done.len() as u64 == spec["pieces"].as_u64().unwrap_or(0) {
                over.push(piece.job_name().to_string());
            }
        }
        for id in over {
            let job = JobId::parse(&id).expect("a job");
            if self.status_polls.cancel_every > 0 && job.0 % self.status_polls.cancel_every == 0 {
                self.pending_cancels.insert(id.clone(), self.now);
            }
            self.schedule_close_polls(&id);
        }
    }

    /// Asks one node, if it is there and its users reach it.
    fn send_request_to(&mut self, at: usize, request: UserRequest, id: &str) {
        if self.controllers[at].controller.is_none() || self.is_cut(at, "users") {
            return;
        }
        let call =
            self.track_request(at, PendingRequest::User { id: id.into(), check: ResponseCheck::Rules });
        self.send_event(at, Event::User { inbound: call, request });
    }
}
