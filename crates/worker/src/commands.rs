//! Parses and executes the commands of controllers, which arrive as JSON in the response to a heartbeat or in a direct
//! request.
//!
//! A command is executed only if its fencing token is not lower than the highest one seen; a direct command must also
//! carry the worker's current epoch.

use serde_json::{Value, json};

use crate::description::JobDescriptions;
use crate::worker::Worker;

/// What a controller commands for an attempt.
enum CommandAction {
    Run,
    Stop {
        grace_ms: u64,
    },
    /// The controller has recorded the end of the attempt, so the worker stops reporting it.
    Forget,
}

/// A command about one attempt.
struct WorkerCommand {
    task: String,
    attempt: u64,
    /// `None` for a verb that this version does not know.
    action: Option<CommandAction>,
}

impl WorkerCommand {
    fn parse(json: &Value) -> WorkerCommand {
        let action = match json["verb"].as_str() {
            Some("run") => Some(CommandAction::Run),
            Some("halt") => {
                let grace_s = json["wind_down_s"].as_f64().unwrap_or(0.0);
                Some(CommandAction::Stop { grace_ms: (grace_s * 1000.0) as u64 })
            }
            Some("reap") => Some(CommandAction::Forget),
            _ => None,
        };
        WorkerCommand {
            task: json["piece"].as_str().unwrap_or("").to_string(),
            attempt: json["try"].as_u64().unwrap_or(0),
            action,
        }
    }
}

impl Worker {
    /// Applies the response to the heartbeat that was sent at `sent_at`. Returns false if its fencing token is
    /// missing or too low: such a response is dropped and does not renew the lease.
    pub fn apply_heartbeat_response(
        &mut self,
        body: &Value,
        sent_at: u64,
        now: u64,
        jobs: &JobDescriptions,
    ) -> bool {
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token || token == 0 {
            return false;
        }
        self.accept_token(token);
        self.last_answered_heartbeat_sent_at = sent_at;
        self.execute_commands(&body["orders"], now, jobs);
        true
    }

    /// Executes commands that a controller sent directly. Returns the HTTP status and the body of the response, which
    /// is a heartbeat unless the request is malformed.
    pub fn handle_direct_command(&mut self, body: &[u8], now: u64, jobs: &JobDescriptions) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(epoch)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, json!({}));
        };
        if token < self.token || epoch != self.epoch {
            return (409, self.heartbeat(now));
        }
        self.accept_token(token);
        self.execute_commands(&body["orders"], now, jobs);
        (200, self.heartbeat(now))
    }

    /// Stores the token. A higher one makes a heartbeat due, so that a new leader soon sees its token acknowledged.
    fn accept_token(&mut self, token: u64) {
        self.has_unreported_change |= token > self.token;
        self.token = token;
    }

    fn execute_commands(&mut self, commands: &Value, now: u64, jobs: &JobDescriptions) {
        for json in commands.as_array().into_iter().flatten() {
            let WorkerCommand { task, attempt, action } = WorkerCommand::parse(json);
            match action {
                Some(CommandAction::Run) => self.start_attempt(task, attempt, now, jobs),
                Some(CommandAction::Stop { grace_ms }) => {
                    self.stop_attempt(&task, attempt, grace_ms, now, jobs);
                }
                Some(CommandAction::Forget) => self.forget_attempt(&task, attempt),
                None => {}
            }
            self.has_unreported_change = true;
        }
    }
}
