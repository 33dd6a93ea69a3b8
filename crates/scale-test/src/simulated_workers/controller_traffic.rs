//! Traffic between simulated workers and controllers: sends heartbeats, receives direct commands, and applies
//! the plan's defect to both.

use olivelatch_local_cluster::controller_index;
use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;
use olivelatch_net::server::ListenerId;
use olivelatch_worker::{HeartbeatResponse, HeartbeatTimes};
use rand::RngExt;
use serde_json::{Value, json};

use super::{HEARTBEAT_TIMEOUT_MS, Zone};
use crate::plan::Defect;

/// The time between heartbeats deviates from the interval at random, at most by the interval divided by this.
const JITTER_DIVISOR: u64 = 4;

impl Zone {
    /// Handles a request that a controller sends to a worker: direct commands or a status query.
    pub(super) fn handle_worker_request(
        &mut self,
        listener: ListenerId,
        (method, path): (&str, &str),
        body: &[u8],
        now: u64,
    ) -> (u16, Value) {
        let Some(index) = self.worker_by_listener.get(&listener).copied() else {
            return (404, json!({"error": "no such machine"}));
        };
        match (method, path) {
            ("POST", "/orders") => {
                self.status.commands_received += 1;
                let body = self.apply_defect(serde_json::from_slice(body).unwrap_or(Value::Null));
                self.workers[index].handle_direct_command(body.to_string().as_bytes(), now, &self.jobs)
            }
            ("GET", "/status") => (200, self.workers[index].heartbeat(now)),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    /// Removes the commands that a worker with the plan's defect ignores.
    fn apply_defect(&self, mut body: Value) -> Value {
        if self.arguments.defect == Some(Defect::IgnoreStops)
            && let Some(commands) = body["orders"].as_array_mut()
        {
            commands.retain(|command| command["verb"] != "halt");
        }
        body
    }

    /// Handles the response to a heartbeat; `None` if the heartbeat failed or timed out.
    pub(super) fn handle_heartbeat_response(
        &mut self,
        slot: CallSlot,
        response: Option<&Response>,
        now: u64,
    ) {
        let Some(index) = self.worker_by_listener.get(&ListenerId(slot.0)).copied() else { return };
        let body = response.and_then(|response| serde_json::from_slice(&response.body).ok());
        let body = self.apply_defect(body.unwrap_or(Value::Null));
        let status = response.map_or(0, |response| response.status);
        self.status.heartbeats_acknowledged += u64::from(status == 200);
        let controllers = self.arguments.controllers.len();
        let index_of_controller = |name: &str| controller_index(name, controllers);
        self.worker_contexts[index].heartbeat_sender.handle_response(
            &mut self.workers[index],
            HeartbeatResponse { status, body: &body },
            now,
            self.heartbeat_times,
            &self.jobs,
            index_of_controller,
        );
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: u64) {
        for index in 0..self.workers.len() {
            let sender = &self.worker_contexts[index].heartbeat_sender;
            if sender.is_due(&self.workers[index], now, self.heartbeat_times) {
                self.send_heartbeat(index, now);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize, now: u64) {
        let context = &mut self.worker_contexts[index];
        let slot = CallSlot(context.listener.0);
        let sender = &mut context.heartbeat_sender;
        let max_deviation_ms = self.heartbeat_times.interval_ms / JITTER_DIVISOR;
        let jitter_ms = self.rng.random_range(0..=2 * max_deviation_ms);
        let times = HeartbeatTimes {
            interval_ms: self.heartbeat_times.interval_ms - max_deviation_ms,
            ..self.heartbeat_times
        };
        let mut body = sender.send(&mut self.workers[index], now, times, jitter_ms);
        if self.arguments.defect == Some(Defect::HideTasks) {
            body["pieces"] = json!([]);
        }
        self.status.heartbeats_sent += 1;
        let controllers = &self.arguments.controllers;
        let address = controllers[sender.current_controller(controllers.len())];
        let body = body.to_string();
        let request = ("POST", "/v1/report", body.as_bytes());
        let deadline = now + HEARTBEAT_TIMEOUT_MS;
        if !self.http_client.send_request(&mut self.keys, slot, address, request, deadline) {
            self.handle_heartbeat_response(slot, None, now);
        }
    }
}
