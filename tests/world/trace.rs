//! A trace of every message between a controller and the rest, in the form that it has on the wire. Traces of two versions
//! of the sources that behave alike are identical.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use olivelatch::coordination::{Input, Output};
use olivelatch::protocol::mesh::{self, MeshMessage};
use olivelatch::protocol::{Call, Outcome};

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
    pub fn event(&mut self, now: u64, node: &str, event: &Input) {
        let Some(file) = &mut self.0 else { return };
        let text = match event {
            Input::Tick => return,
            Input::State { ask, outcome }
            | Input::Cloud { ask, outcome }
            | Input::Orders { ask, outcome } => {
                format!("{} {} {}", event.kind(), ask.0, outcome_text(outcome))
            }
            Input::Mesh { node, message } => format!("mesh {node} {}", mesh_text(message)),
            Input::User { call, .. }
            | Input::Report { call, .. }
            | Input::Operator { call, .. }
            | Input::Graph { call, .. }
            | Input::Config { call, .. } => format!("{} {}", event.kind(), call.0),
        };
        writeln!(file, "{now} {node} < {text}").expect("a trace");
    }

    /// What a controller does.
    pub fn action(&mut self, now: u64, node: &str, action: &Output) {
        let Some(file) = &mut self.0 else { return };
        let text = match action {
            Output::Answer { call, answer } => {
                let body = String::from_utf8_lossy(&answer.body);
                format!(
                    "answer {} {} {:?} {} {body}",
                    call.0, answer.status, answer.retry_after_s, answer.text
                )
            }
            Output::State { ask, request, timeout_ms } => {
                format!("state {} {timeout_ms} {}", ask.0, call_text(&request.to_call()))
            }
            Output::Cloud { ask, request, timeout_ms } => {
                format!("cloud {} {timeout_ms} {}", ask.0, call_text(&request.to_call()))
            }
            Output::Orders { ask, endpoint, call, timeout_ms } => {
                format!("orders {} {endpoint} {timeout_ms} {}", ask.0, call_text(call))
            }
            Output::Mesh { node, message } => format!("mesh {node} {}", mesh_text(message)),
        };
        writeln!(file, "{now} {node} > {text}").expect("a trace");
    }
}

fn call_text(call: &Call) -> String {
    format!("{} {} {}", call.method, call.path, String::from_utf8_lossy(&call.body))
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response { status, body } => format!("{status} {}", String::from_utf8_lossy(body)),
        Outcome::NotSent => "not sent".into(),
        Outcome::Unknown => "unknown".into(),
        Outcome::TooLong => "too long".into(),
    }
}

fn mesh_text(message: &MeshMessage) -> String {
    mesh::encode(message).iter().map(|byte| format!("{byte:02x}")).collect()
}
