//! A trace of every message between a controller and the rest, in the form that it has on the wire. Traces of two versions
//! of the sources that behave alike are identical.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use olivelatch::coordination::{Action, Event};
use olivelatch::protocol::peer::{self, PeerMessage};
use olivelatch::protocol::{HttpOutcome, HttpRequest};

/// Names the folder of the traces; without it none are written.
const FOLDER: &str = "TRACE_DIR";

/// Where a simulated cluster writes its messages; nowhere by default.
#[derive(Default)]
pub struct Trace(Option<BufWriter<File>>);

impl Trace {
    /// A file of this name in the folder that the environment names.
    pub fn to(name: &str) -> Trace {
        let Some(folder) = std::env::var_os(FOLDER) else { return Trace::default() };
        let path = Path::new(&folder).join(format!("{}.trace", name.replace([' ', ','], "-")));
        let file = File::create(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Trace(Some(BufWriter::new(file)))
    }

    /// What a controller is given.
    pub fn event(&mut self, now: u64, node: &str, event: &Event) {
        let Some(file) = &mut self.0 else { return };
        let text = match event {
            Event::Tick => return,
            Event::Kv { outbound: ask, outcome }
            | Event::Cloud { outbound: ask, outcome }
            | Event::WorkerCommands { outbound: ask, outcome } => {
                format!("{} {} {}", event.name(), ask.0, outcome_text(outcome))
            }
            Event::Peer { controller: node, message } => format!("mesh {node} {}", mesh_text(message)),
            Event::User { inbound: call, .. }
            | Event::Heartbeat { inbound: call, .. }
            | Event::Operator { inbound: call, .. }
            | Event::Graph { inbound: call, .. }
            | Event::Config { inbound: call, .. } => format!("{} {}", event.name(), call.0),
        };
        writeln!(file, "{now} {node} < {text}").expect("a trace");
    }

    /// What a controller does.
    pub fn action(&mut self, now: u64, node: &str, action: &Action) {
        let Some(file) = &mut self.0 else { return };
        let text = match action {
            Action::Respond { inbound: call, response: answer } => {
                let body = String::from_utf8_lossy(&answer.body);
                format!(
                    "answer {} {} {:?} {} {body}",
                    call.0, answer.status, answer.retry_after_s, answer.is_text
                )
            }
            Action::CallKv { outbound: ask, request, timeout_ms } => {
                format!("state {} {timeout_ms} {}", ask.0, call_text(&request.to_http_request()))
            }
            Action::CallCloud { outbound: ask, request, timeout_ms } => {
                format!("cloud {} {timeout_ms} {}", ask.0, call_text(&request.to_http_request()))
            }
            Action::SendWorkerCommands { outbound: ask, endpoint, request: call, timeout_ms } => {
                format!("orders {} {endpoint} {timeout_ms} {}", ask.0, call_text(call))
            }
            Action::SendPeerMessage { controller: node, message } => {
                format!("mesh {node} {}", mesh_text(message))
            }
        };
        writeln!(file, "{now} {node} > {text}").expect("a trace");
    }
}

fn call_text(call: &HttpRequest) -> String {
    format!("{} {} {}", call.method, call.path, String::from_utf8_lossy(&call.body))
}

fn outcome_text(outcome: &HttpOutcome) -> String {
    match outcome {
        HttpOutcome::Response { status, body } => format!("{status} {}", String::from_utf8_lossy(body)),
        HttpOutcome::NotSent => "not sent".into(),
        HttpOutcome::Unknown => "unknown".into(),
        HttpOutcome::TooLarge => "too long".into(),
    }
}

fn mesh_text(message: &PeerMessage) -> String {
    peer::encode(message).iter().map(|byte| format!("{byte:02x}")).collect()
}
