//! Writes a trace of every message that a controller receives or sends, in its wire format. If two versions of the
//! sources behave identically, so are their traces.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use olivelatch::coordination::{Action, Event};
use olivelatch::protocol::peer::{self, PeerMessage};
use olivelatch::protocol::{HttpOutcome, HttpRequest};

/// Environment variable that names the folder for traces. If it is not set, no traces are written.
const FOLDER_VARIABLE: &str = "TRACE_DIR";

/// The file that a simulated cluster writes its messages to; none by default.
#[derive(Default)]
pub struct Trace(Option<BufWriter<File>>);

impl Trace {
    /// Creates a trace file of this name in the folder for traces, if one is set.
    pub fn create(name: &str) -> Trace {
        let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else { return Trace::default() };
        let path = Path::new(&folder).join(format!("{}.trace", name.replace([' ', ','], "-")));
        let file = File::create(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Trace(Some(BufWriter::new(file)))
    }

    /// Writes an event that a controller handles. Ticks are left out.
    pub fn write_event(&mut self, now: u64, controller: &str, event: &Event) {
        let Some(file) = &mut self.0 else { return };
        let text = match event {
            Event::Tick => return,
            Event::Kv { outbound, outcome }
            | Event::Cloud { outbound, outcome }
            | Event::WorkerCommands { outbound, outcome } => {
                format!("{} {} {}", event.name(), outbound.0, outcome_text(outcome))
            }
            Event::Peer { controller, message } => {
                format!("mesh {controller} {}", peer_message_text(message))
            }
            Event::User { inbound, .. }
            | Event::Heartbeat { inbound, .. }
            | Event::Operator { inbound, .. }
            | Event::Graph { inbound, .. }
            | Event::Config { inbound, .. } => format!("{} {}", event.name(), inbound.0),
        };
        writeln!(file, "{now} {controller} < {text}").expect("a trace");
    }

    /// Writes an action of a controller.
    pub fn write_action(&mut self, now: u64, controller: &str, action: &Action) {
        let Some(file) = &mut self.0 else { return };
        let text = match action {
            Action::Respond { inbound, response } => {
                let body = String::from_utf8_lossy(&response.body);
                format!(
                    "answer {} {} {:?} {} {body}",
                    inbound.0, response.status, response.retry_after_s, response.is_text
                )
            }
            Action::CallKv { outbound, request, timeout_ms } => {
                format!("state {} {timeout_ms} {}", outbound.0, request_text(&request.to_http_request()))
            }
            Action::CallCloud { outbound, request, timeout_ms } => {
                format!("cloud {} {timeout_ms} {}", outbound.0, request_text(&request.to_http_request()))
            }
            Action::SendWorkerCommands { outbound, endpoint, request, timeout_ms } => {
                format!("orders {} {endpoint} {timeout_ms} {}", outbound.0, request_text(request))
            }
            Action::SendPeerMessage { controller, message } => {
                format!("mesh {controller} {}", peer_message_text(message))
            }
        };
        writeln!(file, "{now} {controller} > {text}").expect("a trace");
    }
}

fn request_text(request: &HttpRequest) -> String {
    format!("{} {} {}", request.method, request.path, String::from_utf8_lossy(&request.body))
}

fn outcome_text(outcome: &HttpOutcome) -> String {
    match outcome {
        HttpOutcome::Response { status, body } => format!("{status} {}", String::from_utf8_lossy(body)),
        HttpOutcome::NotSent => "not sent".into(),
        HttpOutcome::Unknown => "unknown".into(),
        HttpOutcome::TooLarge => "too long".into(),
    }
}

/// Returns a message between controllers as it is sent, in hexadecimal.
fn peer_message_text(message: &PeerMessage) -> String {
    peer::encode(message).iter().map(|byte| format!("{byte:02x}")).collect()
}
