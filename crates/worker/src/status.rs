//! Heartbeats as JSON: what a worker reports about its machine and its attempts.

use serde_json::{Value, json};

use crate::attempt::{AttemptPhase, TaskAttempt, TaskResult, cause};
use crate::worker::Worker;

impl Worker {
    /// Returns the next heartbeat; this advances the sequence number.
    pub fn heartbeat(&mut self, now: u64) -> Value {
        self.sequence += 1;
        let statuses: Vec<Value> =
            self.attempts.iter().map(|attempt| attempt_json(attempt, self.result(&attempt.task))).collect();
        let notice_s = self.termination_at.map(|at| at.saturating_sub(now) as f64 / 1000.0);
        let machine = &self.machine;
        json!({"box": machine.name, "endpoint": machine.endpoint, "boxkind": machine.machine_type, "hall": machine.zone,
            "loaners": machine.spot, "shift": self.epoch, "tick": self.sequence, "baton": self.token,
            "warning_s": notice_s, "pieces": statuses})
    }
}

/// Returns the status of an attempt. `made` and `gave` are extensions of the protocol, which controllers ignore if they
/// don't support them.
fn attempt_json(attempt: &TaskAttempt, result: Option<TaskResult>) -> Value {
    let (status, cause, checkpoint_kept) = match &attempt.phase {
        AttemptPhase::FetchingImage { .. } => ("fetching", None, false),
        AttemptPhase::WaitingForGang { .. } => ("gathering", None, false),
        AttemptPhase::Running { .. } | AttemptPhase::WaitingForGangExit | AttemptPhase::Stopping { .. } => {
            ("running", None, false)
        }
        AttemptPhase::Checkpointing { .. } => ("flushing", None, false),
        AttemptPhase::Ended { cause, checkpoint_kept } => ("ended", Some(*cause), *checkpoint_kept),
    };
    let mut json = json!({"piece": attempt.task, "try": attempt.attempt, "status": status, "cause": cause,
        "kept": checkpoint_kept});
    if let Some(result) = result.filter(|result| cause == Some(cause::DONE) && result.attempt > 0) {
        json["made"] = json!(result.attempt);
        if let Some(len) = result.list_len {
            json["gave"] = json!(len);
        }
    }
    json
}
