//! Carries out the controllers' actions: requests to the kv store, the cloud and the workers, and messages to other
//! controllers. Faults of the scenario may delay or drop them.

use olivelatch::coordination::{Action, Event, OutboundId};
use olivelatch::protocol::cloud::CloudRequest;
use olivelatch::protocol::kv::KvRequest;
use olivelatch::protocol::peer::PeerMessage;
use olivelatch::protocol::{HttpOutcome, HttpRequest};
use serde_json::Value;

use super::SimulatedCluster;

/// How transactions on the kv store are handled.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum TxnMode {
    Normal,
    /// Transactions are carried out at once, but the response is lost.
    ResponseLost,
    /// Transactions are carried out and answered at once, and carried out again when the scenario delivers them.
    Duplicated,
    /// Transactions get no response. They are carried out after a fixed delay or when the scenario delivers them.
    Delayed,
}

/// How messages between controllers are handled.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PeerMessageMode {
    Normal,
    /// Messages are delivered when the scenario does so, possibly after the sender was killed.
    Delayed,
    /// Messages are delivered at once, and a second time when the scenario does so.
    Duplicated,
}

fn unavailable(body: &[u8]) -> HttpOutcome {
    HttpOutcome::Response { status: 503, body: body.to_vec() }
}

pub(super) fn response(status: u16, body: &Value) -> HttpOutcome {
    HttpOutcome::Response { status, body: body.to_string().into_bytes() }
}

impl SimulatedCluster {
    pub(super) fn perform_action(&mut self, from: usize, action: Action) {
        match action {
            Action::Respond { inbound, response } => self.handle_response(from, inbound, &response),
            Action::CallKv { outbound, request, timeout_ms } => {
                self.call_kv(from, outbound, &request, timeout_ms);
            }
            Action::CallCloud { outbound, request, timeout_ms } => {
                let outcome = self.cloud_outcome(&request);
                self.deliver_cloud_response(from, outbound, outcome, timeout_ms);
            }
            Action::SendWorkerCommands { outbound, endpoint, request, .. } => {
                self.controllers[from].event_queue.charge_command();
                let outcome = self.worker_outcome(from, &endpoint, &request);
                self.send_event(from, Event::WorkerCommands { outbound, outcome });
            }
            Action::SendPeerMessage { controller, message } => {
                self.send_peer_message(from, &controller, message);
            }
        }
    }

    fn call_kv(&mut self, from: usize, outbound: OutboundId, request: &KvRequest, timeout_ms: u64) {
        let is_cut_poll =
            self.is_cut(from, "change-polls") && matches!(request, KvRequest::PollChanges { .. });
        let outcome = if self.kv_outage || is_cut_poll || self.is_cut(from, "kv") {
            unavailable(b"")
        } else {
            let request = request.to_http_request();
            let mode = if request.path == "/txn" { self.txn_mode } else { TxnMode::Normal };
            if mode == TxnMode::Delayed {
                match self.faults.txn_delay_ms {
                    Some(delay_ms) => self.delay_txn(delay_ms, request.body),
                    None => self.held_txns.push(request.body),
                }
                self.send_event(from, Event::Kv { outbound, outcome: HttpOutcome::Unknown });
                return;
            }
            if mode == TxnMode::Duplicated {
                self.held_txns.push(request.body.clone());
            }
            self.kv_outcome(&request, mode)
        };
        let is_read = matches!(request, KvRequest::PollChanges { .. } | KvRequest::ListPage { .. });
        self.deliver_kv_response(from, outbound, outcome, is_read, timeout_ms);
    }

    fn kv_outcome(&mut self, request: &HttpRequest, mode: TxnMode) -> HttpOutcome {
        let (status, body) =
            self.kv_store.handle_request(request.method, &request.path, &request.body, self.now);
        if request.path == "/txn" && status == 200 {
            let txn: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            self.kv_mutations += txn["then"].as_array().map_or(0, |mutations| mutations.len() as u64);
        }
        match mode {
            _ if self.change_responses_too_large && request.path.starts_with("/changes") => {
                HttpOutcome::TooLarge
            }
            TxnMode::ResponseLost => HttpOutcome::Unknown,
            _ => response(status, &body),
        }
    }

    fn cloud_outcome(&mut self, request: &CloudRequest) -> HttpOutcome {
        if self.cloud_down {
            return unavailable(b"{\"error\":\"trouble\"}");
        }
        let request = request.to_http_request();
        let (status, body) =
            self.cloud.handle_request(request.method, &request.path, &request.body, self.now);
        response(status, &body)
    }

    fn send_peer_message(&mut self, from: usize, controller: &str, message: PeerMessage) {
        let Some(to) = self.controllers.iter().position(|slot| slot.name == controller) else { return };
        let partitioned = self.are_zones_cut(&self.controllers[from].zone, &self.controllers[to].zone);
        if partitioned || self.is_cut(from, "peers") || self.is_cut(to, "peers") {
            return;
        }
        let sender = self.controllers[from].name.clone();
        if self.peer_message_mode != PeerMessageMode::Normal {
            self.held_peer_messages.push((to, sender.clone(), message.clone()));
        }
        if self.peer_message_mode != PeerMessageMode::Delayed {
            self.send_event(to, Event::Peer { controller: sender, message });
        }
    }
}
