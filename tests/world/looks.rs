//! Users that look closely: right after a job was accepted, ended or confirmed as cancelled they ask all nodes, again and
//! again within milliseconds, and repeat the submission. Whatever a node then says is judged like any other answer.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use olivelatch::coordination::Input;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, read_submission};
use olivelatch_worker::{Phase, TaskAttempt, Worker};

use super::verbs::{Done, wrong};
use super::{Call, World};

/// After what looked closely at: how much later each of the looks comes.
const AFTER_MS: [u64; 12] = [0, 20, 40, 60, 100, 160, 260, 400, 700, 1_100, 1_600, 2_400];

#[derive(Default)]
pub struct Looks {
    on: bool,
    /// Every so many of the jobs are cancelled as their last task ends; 0: none.
    cancelled: u64,
    due: BTreeSet<(u64, String)>,
    /// Tasks of each job that have ended well.
    done: BTreeMap<String, HashSet<String>>,
}

/// Tasks that have ended well and are still shown.
pub fn done_pieces(workers: &[Worker]) -> impl Iterator<Item = &TaskAttempt> {
    let pieces = workers.iter().flat_map(|worker| &worker.attempts);
    pieces.filter(|piece| matches!(piece.phase, Phase::Ended { cause: "done", .. }))
}

impl World {
    pub fn set_close_looks(&mut self, words: &[&str]) -> Done {
        self.looks.on = match words {
            ["on"] => true,
            ["off"] => false,
            _ => return wrong("on or off"),
        };
        Ok(())
    }

    pub fn set_cancels_at_end(&mut self, words: &[&str]) -> Done {
        let [every] = words else { return wrong("EVERY SO MANY JOBS") };
        self.looks.cancelled = every.parse().map_err(|_| "a count")?;
        Ok(())
    }

    pub fn look_closely(&mut self, id: &str) {
        if self.looks.on && self.specs.contains_key(id) {
            let now = self.now;
            self.looks.due.extend(AFTER_MS.map(|after| (now + after, id.to_string())));
        }
    }

    /// Jobs whose last task has just ended, and looks that are due.
    pub fn step_looks(&mut self) {
        if self.looks.on || self.looks.cancelled > 0 {
            self.notice_ends();
        }
        while self.looks.due.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, id) = self.looks.due.pop_first().expect("one that is due");
            let job = JobId::parse(&id).expect("a job");
            let submission = self.specs[&id].to_string();
            for at in 0..self.nodes.len() {
                let again = read_submission(submission.as_bytes()).expect("a submission");
                for request in [UserRequest::Poll { id: job }, again] {
                    self.ask_at(at, request, &id);
                }
            }
        }
    }

    fn notice_ends(&mut self) {
        let mut over = Vec::new();
        for piece in done_pieces(&self.workers) {
            let Some(spec) = self.specs.get(piece.job()) else { continue };
            let done = self.looks.done.entry(piece.job().into()).or_default();
            if done.insert(piece.task.clone()) && done.len() as u64 == spec["pieces"].as_u64().unwrap_or(0) {
                over.push(piece.job().to_string());
            }
        }
        for id in over {
            let job = JobId::parse(&id).expect("a job");
            if self.looks.cancelled > 0 && job.0 % self.looks.cancelled == 0 {
                self.aborts.insert(id.clone(), self.now);
            }
            self.look_closely(&id);
        }
    }

    /// Asks one node, if it is there and its users reach it.
    fn ask_at(&mut self, at: usize, request: UserRequest, id: &str) {
        if self.nodes[at].node.is_none() || self.cut(at, "users") {
            return;
        }
        let call = self.call(at, Call::User { id: id.into(), expect: None, raw: false });
        self.tell(at, Input::User { call, request });
    }
}
