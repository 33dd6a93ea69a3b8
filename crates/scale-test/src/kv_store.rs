//! The process that runs the kv store of a run, with the real engine and the real file.

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

/// The arguments of the kv store's process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvStoreArguments {
    /// Address at which the store serves controllers.
    pub address: SocketAddr,
    /// Address at which the run requests measurements.
    pub control: SocketAddr,
    /// Path of the store's file.
    pub file: PathBuf,
    /// Start of the run, in Unix time in milliseconds.
    pub epoch_ms: u64,
    /// Rate limit of requests per second.
    pub requests_per_s: f64,
    /// Rate limit of mutations per second.
    #[serde(rename = "changes_per_s")]
    pub mutations_per_s: f64,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of mutations in a transaction.
    #[serde(rename = "txn_changes")]
    pub txn_mutations: usize,
}

const KV_LISTENER: ListenerId = ListenerId(0);
const CONTROL_LISTENER: ListenerId = ListenerId(1);
/// Maximum time that the event loop waits for socket events.
const POLL_INTERVAL_MS: u64 = 20;
/// The process exits if it has received no request from the run for this long, because the run has then
/// ended.
const CONTROL_LOSS_TIMEOUT_MS: u64 = 15_000;
const LEADER_KEY: &str = "olivelatch/leader";
const TOO_MANY_REQUESTS: u16 = 429;

struct KvStoreProcess {
    clock: RunClock,
    engine: KvEngine,
    file: StoreFile,
    /// Counts requests, refusals and mutations; `current_measurements` fills in the other values.
    counters: KvMeasurements,
    /// Responses that are sent after the next commit.
    pending_responses: Vec<(ConnectionId, u16, Value)>,
    /// Time at which the run last requested measurements.
    last_control_request_at: u64,
}

/// Serves the kv store until the run ends. The response to a request is sent only after the request's
/// mutations are on disk.
///
/// # Errors
///
/// An address is already in use, or an operation on the store's file or on the sockets fails.
pub fn serve_kv_store(arguments: KvStoreArguments) -> Result<(), ScaleError> {
    let poller = Arc::new(EventPoller::new().map_err(io_error("creating the socket poller"))?);
    let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&poller));
    for (address, listener) in [(arguments.address, KV_LISTENER), (arguments.control, CONTROL_LISTENER)] {
        server.listen(&mut keys, address, listener).map_err(io_error(format!("listening on {address}")))?;
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
    let mut process = KvStoreProcess {
        last_control_request_at: clock.now(),
        clock,
        engine,
        file,
        counters: KvMeasurements::default(),
        pending_responses: Vec::new(),
    };
    let mut events = Events::new();
    while process.clock.now() < process.last_control_request_at + CONTROL_LOSS_TIMEOUT_MS {
        events.clear();
        poller
            .wait(&mut events, Duration::from_millis(POLL_INTERVAL_MS))
            .map_err(io_error("polling sockets"))?;
        let now = process.clock.now();
        let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
        for key in ready {
            let next = server.handle_event(&mut keys, key, now);
            process.handle_requests(&mut server, next, &poller);
        }
        process.engine.expire_leases(now);
        server.close_idle(now);
        process.commit(&mut server, &poller)?;
    }
    Ok(())
}

impl KvStoreProcess {
    /// Carries out a request. The response of the kv store follows with the next commit; a request for
    /// measurements is answered at once, and then the next one on its connection is carried out.
    fn handle_requests(
        &mut self,
        server: &mut HttpServer,
        mut next: Option<IncomingRequest>,
        poller: &EventPoller,
    ) {
        while let Some(IncomingRequest { connection, listener, request }) = next.take() {
            let now = self.clock.now();
            if listener == CONTROL_LISTENER {
                self.last_control_request_at = now;
                let body = serde_json::to_vec(&self.current_measurements(poller)).unwrap_or_default();
                next = server.respond(connection, 200, &body);
                continue;
            }
            let (status, body) =
                self.engine.handle_request(&request.method, &request.path, &request.body, now);
            self.counters.requests += 1;
            self.counters.refused += u64::from(status == TOO_MANY_REQUESTS);
            self.pending_responses.push((connection, status, body));
        }
    }

    fn current_measurements(&self, poller: &EventPoller) -> KvMeasurements {
        let record = self.engine.get(LEADER_KEY);
        let mut measurements = self.counters.clone();
        measurements.revision = self.engine.revision();
        measurements.keys = self.engine.len();
        measurements.leader = record.and_then(|record| record["node"].as_str()).map(String::from);
        measurements.bytes_in = poller.syscalls.bytes_read.load(Ordering::Relaxed);
        measurements.bytes_out = poller.syscalls.bytes_written.load(Ordering::Relaxed);
        measurements
    }

    /// Writes all mutations to disk, then sends the responses that acknowledge them.
    fn commit(&mut self, server: &mut HttpServer, poller: &EventPoller) -> Result<(), ScaleError> {
        while !self.pending_responses.is_empty() {
            let deltas = self.engine.take_deltas();
            let is_mutation = |delta: &&Delta| matches!(delta, Delta::Put { .. } | Delta::Delete { .. });
            self.counters.mutations += deltas.iter().filter(is_mutation).count() as u64;
            self.file.commit(&deltas, &[])?;
            for (connection, status, body) in std::mem::take(&mut self.pending_responses) {
                let bytes = serde_json::to_vec(&body).unwrap_or_default();
                let next = server.respond(connection, status, &bytes);
                self.handle_requests(server, next, poller);
            }
        }
        // Lease expiry causes mutations without a request.
        let deltas = self.engine.take_deltas();
        self.file.commit(&deltas, &[])?;
        Ok(())
    }
}
