//! The state service as a process of its own: the real rules and the real file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use olivelatch_net::poll::{Gate, Keys};
use olivelatch_net::server::{Conn, HttpServer, Incoming, Port};
use olivelatch_store::{Delta, Engine, File, Limits};
use polling::Events;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::control::StateFigures;
use crate::error::{ScaleError, io_error};
use crate::hollow::RunClock;

/// What the process of the state service is started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateArguments {
    pub address: SocketAddr,
    /// Where the run asks for figures.
    pub control: SocketAddr,
    pub file: PathBuf,
    pub epoch_ms: u64,
    pub requests_per_s: f64,
    pub changes_per_s: f64,
    pub value_bytes: usize,
    pub txn_changes: usize,
}

const STATE: Port = Port(0);
const CONTROL: Port = Port(1);
const WAIT_MS: u64 = 20;
const ORPHAN_MS: u64 = 15_000;
const LEADER_KEY: &str = "olivelatch/leader";
const TOO_MANY: u16 = 429;

struct State {
    clock: RunClock,
    engine: Engine,
    file: File,
    figures: StateFigures,
    /// Answers that wait for the disk.
    answers: Vec<(Conn, u16, Value)>,
    asked: u64,
}

/// Serves the state service until the run ends. What was answered is on disk before.
pub fn serve_state(arguments: StateArguments) -> Result<(), ScaleError> {
    let gate = Arc::new(Gate::new().map_err(io_error("the poller"))?);
    let (mut keys, mut server) = (Keys::default(), HttpServer::new(&gate));
    for (address, port) in [(arguments.address, STATE), (arguments.control, CONTROL)] {
        server.listen(&mut keys, address, port).map_err(io_error(format!("listening on {address}")))?;
    }
    let (file, deltas, _) = File::open(&arguments.file)?;
    let mut engine = Engine::restored(&deltas, 0);
    engine.set_limits(Limits {
        requests_per_s: arguments.requests_per_s,
        changes_per_s: arguments.changes_per_s,
        value_bytes: arguments.value_bytes,
        txn_changes: arguments.txn_changes,
    });
    let clock = RunClock::new(arguments.epoch_ms);
    let asked = clock.now();
    let mut state =
        State { clock, engine, file, figures: StateFigures::default(), answers: Vec::new(), asked };
    let mut events = Events::new();
    while state.clock.now() < state.asked + ORPHAN_MS {
        events.clear();
        gate.wait(&mut events, Duration::from_millis(WAIT_MS)).map_err(io_error("the poller"))?;
        let now = state.clock.now();
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            let next = server.event(&mut keys, key, now);
            state.requests(&mut server, next, &gate);
        }
        state.engine.tick(now);
        server.expire(now);
        state.commit(&mut server, &gate)?;
    }
    Ok(())
}

impl State {
    /// Works on a request and those that follow it on its connection.
    fn requests(&mut self, server: &mut HttpServer, mut next: Option<Incoming>, gate: &Gate) {
        while let Some(Incoming { conn, port, request }) = next.take() {
            let now = self.clock.now();
            if port == CONTROL {
                self.asked = now;
                let body = serde_json::to_vec(&self.figures(gate)).unwrap_or_default();
                next = server.answer(conn, 200, &body);
                continue;
            }
            let (status, body) = self.engine.call(&request.method, &request.path, &request.body, now);
            self.figures.requests += 1;
            self.figures.refused += u64::from(status == TOO_MANY);
            self.answers.push((conn, status, body));
        }
    }

    fn figures(&self, gate: &Gate) -> StateFigures {
        let record = self.engine.get(LEADER_KEY);
        let mut figures = self.figures.clone();
        figures.revision = self.engine.revision();
        figures.keys = self.engine.len();
        figures.leader = record.and_then(|record| record["node"].as_str()).map(String::from);
        figures.bytes_in = gate.calls.bytes_read.load(Ordering::Relaxed);
        figures.bytes_out = gate.calls.bytes_written.load(Ordering::Relaxed);
        figures
    }

    /// What changed goes to disk, then the answers go out.
    fn commit(&mut self, server: &mut HttpServer, gate: &Gate) -> Result<(), ScaleError> {
        while !self.answers.is_empty() {
            let deltas = self.engine.take_deltas();
            let writes = |delta: &&Delta| matches!(delta, Delta::Put { .. } | Delta::Drop { .. });
            self.figures.changes += deltas.iter().filter(writes).count() as u64;
            self.file.commit(&deltas, &[])?;
            for (conn, status, body) in std::mem::take(&mut self.answers) {
                let bytes = serde_json::to_vec(&body).unwrap_or_default();
                let next = server.answer(conn, status, &bytes);
                self.requests(server, next, gate);
            }
        }
        let left = self.engine.take_deltas();
        self.file.commit(&left, &[])?;
        Ok(())
    }
}
