//! The state service as a process of its own: the real rules and the real file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use olivelatch_kv_store::{Delta, KvEngine, Limits, StoreFile};
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{ConnectionId, HttpServer, IncomingRequest, ListenerId};
use polling::Events;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::control::KvMeasurements;
use crate::error::{ScaleError, io_error};
use crate::simulated_workers::RunClock;

/// What the process of the state service is started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvStoreArguments {
    pub address: SocketAddr,
    /// Where the run asks for figures.
    pub control: SocketAddr,
    pub file: PathBuf,
    pub epoch_ms: u64,
    pub requests_per_s: f64,
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    pub value_bytes: usize,
    #[serde(rename = "txn_changes")]
    pub txn_mutations: usize,
}

const KV_LISTENER: ListenerId = ListenerId(0);
const CONTROL_LISTENER: ListenerId = ListenerId(1);
const POLL_MS: u64 = 20;
const CONTROL_TIMEOUT_MS: u64 = 15_000;
const LEADER_KEY: &str = "olivelatch/leader";
const TOO_MANY_REQUESTS: u16 = 429;

struct KvStoreProcess {
    clock: RunClock,
    engine: KvEngine,
    file: StoreFile,
    measurements: KvMeasurements,
    /// Answers that wait for the disk.
    pending_responses: Vec<(ConnectionId, u16, Value)>,
    last_request_at: u64,
}

/// Serves the state service until the run ends. What was answered is on disk before.
pub fn serve_kv_store(arguments: KvStoreArguments) -> Result<(), ScaleError> {
    let gate = Arc::new(EventPoller::new().map_err(io_error("the poller"))?);
    let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&gate));
    for (address, port) in [(arguments.address, KV_LISTENER), (arguments.control, CONTROL_LISTENER)] {
        server.listen(&mut keys, address, port).map_err(io_error(format!("listening on {address}")))?;
    }
    let (file, deltas, _) = StoreFile::open(&arguments.file)?;
    let mut engine = KvEngine::restore(&deltas, 0);
    engine.set_limits(Limits {
        requests_per_s: arguments.requests_per_s,
        changes_per_s: arguments.mutations_per_s,
        max_value_bytes: arguments.value_bytes,
        max_txn_changes: arguments.txn_mutations,
    });
    let clock = RunClock::new(arguments.epoch_ms);
    let asked = clock.now();
    let mut state = KvStoreProcess {
        clock,
        engine,
        file,
        measurements: KvMeasurements::default(),
        pending_responses: Vec::new(),
        last_request_at: asked,
    };
    let mut events = Events::new();
    while state.clock.now() < state.last_request_at + CONTROL_TIMEOUT_MS {
        events.clear();
        gate.wait(&mut events, Duration::from_millis(POLL_MS)).map_err(io_error("the poller"))?;
        let now = state.clock.now();
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            let next = server.handle_event(&mut keys, key, now);
            state.handle_requests(&mut server, next, &gate);
        }
        state.engine.expire_leases(now);
        server.close_idle(now);
        state.commit(&mut server, &gate)?;
    }
    Ok(())
}

impl KvStoreProcess {
    /// Works on a request and those that follow it on its connection.
    fn handle_requests(
        &mut self,
        server: &mut HttpServer,
        mut next: Option<IncomingRequest>,
        gate: &EventPoller,
    ) {
        while let Some(IncomingRequest { connection: conn, listener: port, request }) = next.take() {
            let now = self.clock.now();
            if port == CONTROL_LISTENER {
                self.last_request_at = now;
                let body = serde_json::to_vec(&self.measurements(gate)).unwrap_or_default();
                next = server.respond(conn, 200, &body);
                continue;
            }
            let (status, body) =
                self.engine.handle_request(&request.method, &request.path, &request.body, now);
            self.measurements.requests += 1;
            self.measurements.refused += u64::from(status == TOO_MANY_REQUESTS);
            self.pending_responses.push((conn, status, body));
        }
    }

    fn measurements(&self, gate: &EventPoller) -> KvMeasurements {
        let record = self.engine.get(LEADER_KEY);
        let mut figures = self.measurements.clone();
        figures.revision = self.engine.revision();
        figures.keys = self.engine.len();
        figures.leader = record.and_then(|record| record["node"].as_str()).map(String::from);
        figures.bytes_in = gate.syscalls.bytes_read.load(Ordering::Relaxed);
        figures.bytes_out = gate.syscalls.bytes_written.load(Ordering::Relaxed);
        figures
    }

    /// What changed goes to disk, then the answers go out.
    fn commit(&mut self, server: &mut HttpServer, gate: &EventPoller) -> Result<(), ScaleError> {
        while !self.pending_responses.is_empty() {
            let deltas = self.engine.take_deltas();
            let writes = |delta: &&Delta| matches!(delta, Delta::Put { .. } | Delta::Delete { .. });
            self.measurements.mutations += deltas.iter().filter(writes).count() as u64;
            self.file.commit(&deltas, &[])?;
            for (conn, status, body) in std::mem::take(&mut self.pending_responses) {
                let bytes = serde_json::to_vec(&body).unwrap_or_default();
                let next = server.respond(conn, status, &bytes);
                self.handle_requests(server, next, gate);
            }
        }
        let left = self.engine.take_deltas();
        self.file.commit(&left, &[])?;
        Ok(())
    }
}
