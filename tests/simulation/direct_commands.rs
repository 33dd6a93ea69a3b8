//! Direct commands from controllers to workers. A fault may hold them back, or deliver those that have been answered
//! once more, from an instant to minutes later.

use olivelatch::protocol::{HttpOutcome, HttpRequest};
use serde_json::json;

use super::SimulatedCluster;
use super::actions::{ActionResult, parse_argument, parse_seconds, usage_error};
use super::deliveries::response;
use super::fault_injection::take_due;

/// How direct commands are delivered.
#[derive(Default)]
enum DeliveryMode {
    #[default]
    Normal,
    /// Commands get no response. They are delivered when the scenario does so.
    Held,
    /// Commands are delivered and answered at once, and a second time when the scenario does so.
    Duplicated,
    /// Of this share of the answered commands a copy arrives later, after each of the delays in turn.
    Copied { share: f64, delays_ms: Vec<u64> },
}

/// A direct command that is in flight to a worker.
struct InFlight {
    worker: usize,
    body: Vec<u8>,
}

/// How direct commands are delivered, and those that arrive later.
#[derive(Default)]
pub struct DirectCommands {
    mode: DeliveryMode,
    /// Commands that arrive when the scenario delivers them.
    held: Vec<InFlight>,
    /// Copies of answered commands, with the time at which each arrives.
    copies: Vec<(u64, InFlight)>,
    /// Sum of the shares of the answered commands: a copy is due whenever it reaches 1.
    copies_due: f64,
    /// Number of copies scheduled so far.
    copy_count: usize,
}

impl DirectCommands {
    /// Drops the commands that the scenario has not delivered.
    pub fn drop_held(&mut self) {
        self.held.clear();
    }

    /// Keeps or schedules a copy of an answered command, as far as the mode says so.
    fn copy_answered(&mut self, worker: usize, body: &[u8], now: u64) {
        let copy = InFlight { worker, body: body.to_vec() };
        match &self.mode {
            DeliveryMode::Normal | DeliveryMode::Held => {}
            DeliveryMode::Duplicated => self.held.push(copy),
            DeliveryMode::Copied { share, delays_ms } => {
                self.copies_due += share;
                if self.copies_due >= 1.0 {
                    self.copies_due -= 1.0;
                    self.copies.push((now + delays_ms[self.copy_count % delays_ms.len()], copy));
                    self.copy_count += 1;
                }
            }
        }
    }
}

impl SimulatedCluster {
    /// Sends direct commands to the worker at the endpoint, and returns the outcome as the controller sees it.
    pub(super) fn worker_outcome(
        &mut self,
        from: usize,
        endpoint: &str,
        request: &HttpRequest,
    ) -> HttpOutcome {
        let worker = self.workers.iter().position(|worker| worker.machine.endpoint == endpoint);
        let reachable =
            |worker: &usize| self.can_reach(from, *worker) && !self.is_cut(from, "direct-commands");
        let Some(worker) = worker.filter(reachable) else { return HttpOutcome::NotSent };
        if self.faults.receive_path_down.contains(&self.workers[worker].machine.name) {
            return HttpOutcome::Unknown;
        }
        if matches!(self.direct_commands.mode, DeliveryMode::Held) {
            self.direct_commands.held.push(InFlight { worker, body: request.body.clone() });
            return HttpOutcome::Unknown;
        }
        self.direct_commands.copy_answered(worker, &request.body, self.now);
        let (status, body) = self.workers[worker].handle_direct_command(&request.body, self.now, &self.jobs);
        response(status, &body)
    }

    /// Delivers the commands that the scenario held.
    pub(super) fn deliver_held_commands(&mut self) {
        for InFlight { worker, body } in std::mem::take(&mut self.direct_commands.held) {
            self.workers[worker].handle_direct_command(&body, self.now, &self.jobs);
        }
    }

    /// Delivers the copies that are due. A machine that hangs receives them when it resumes.
    pub(super) fn deliver_command_copies(&mut self) {
        let mut copies = std::mem::take(&mut self.direct_commands.copies);
        let due = take_due(&mut copies, |(due_at, copy)| *due_at <= self.now && !self.is_hung(copy.worker));
        self.direct_commands.copies = copies;
        for (_, InFlight { worker, body }) in due {
            if self.machine_exists(worker) {
                self.workers[worker].handle_direct_command(&body, self.now, &self.jobs);
            }
        }
    }

    /// Makes a worker start an attempt, as a late copy of a command does if a controller of an earlier version had told
    /// the worker to forget the attempt.
    pub(super) fn start_attempt(&mut self, words: &[&str]) -> ActionResult {
        let [host, task, attempt] = words else { return usage_error("HOST TASK ATTEMPT") };
        let attempt: u64 = parse_argument(attempt, "the number of an attempt")?;
        let worker = self.workers.iter_mut().find(|worker| worker.machine.name == *host);
        let worker = worker.ok_or_else(|| format!("expected a machine with a worker, found {host}"))?;
        let body = json!({"baton": worker.token, "shift": worker.epoch,
            "orders": [{"verb": "run", "piece": task, "try": attempt}]});
        worker.handle_direct_command(body.to_string().as_bytes(), self.now, &self.jobs);
        Ok(())
    }

    pub(super) fn set_direct_commands(&mut self, words: &[&str]) -> ActionResult {
        self.direct_commands.mode = match words {
            ["held"] => DeliveryMode::Held,
            ["duplicated"] => DeliveryMode::Duplicated,
            ["duplicated", share, delays @ ..] if !delays.is_empty() => {
                let delays: Result<Vec<f64>, String> =
                    delays.iter().map(|delay| parse_seconds(delay)).collect();
                DeliveryMode::Copied {
                    share: parse_argument(share, "a share from 0 to 1")?,
                    delays_ms: delays?.into_iter().map(|seconds| (seconds * 1000.0) as u64).collect(),
                }
            }
            ["normal"] => DeliveryMode::Normal,
            _ => return usage_error("held, duplicated [SHARE SECONDS ...] or normal"),
        };
        Ok(())
    }
}
