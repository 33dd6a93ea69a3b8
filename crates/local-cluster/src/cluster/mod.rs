//! The event loop of a local cluster, which handles sockets, processes and timers. A response is sent only after
//! everything that it reports is on disk.

mod requests;

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use olivelatch_kv_store::{AuxiliaryRecord, Delta, KvEngine, StoreFile};
use olivelatch_net::client::HttpClient;
use olivelatch_net::poller::{EventPoller, KeyAllocator, Registration};
use olivelatch_net::server::{ConnectionId, HttpServer, ListenerId};
use olivelatch_worker::processes::Processes;
use polling::{Event, Events};
use serde_json::Value;
use signal_hook::consts::{SIGCHLD, SIGINT, SIGTERM};

use self::requests::PendingWatch;
use crate::addresses::{ClusterAddresses, allocate_addresses, loopback};
use crate::cloud::{Cloud, MachineTypeSpec};
use crate::controllers::{ControllerPlan, Controllers};
use crate::error::{LocalClusterError, io_error};
use crate::job_store::JobStore;
use crate::machines::Machines;
use crate::settings::{Platform, TeamSettings};
use crate::task_outputs::TaskOutputs;

/// Configuration of a local cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Folder for the cluster's state, logs and outputs.
    pub folder: PathBuf,
    /// Number of controllers.
    pub controllers: usize,
    /// Machine types that the simulated cloud offers.
    pub machine_types: Vec<MachineTypeSpec>,
    /// Name, guaranteed CPUs and CPU limit of each team. A limit of 0 means no limit.
    pub teams: Vec<(String, f64, f64)>,
    /// Program, arguments, tunables and log level of all controllers.
    pub controller_plan: ControllerPlan,
}

const KV_STORE_LISTENER: ListenerId = ListenerId(0);
const CLOUD_LISTENER: ListenerId = ListenerId(1);
const JOB_STORE_LISTENER: ListenerId = ListenerId(2);
/// Listeners with this number or a higher one belong to machines.
const FIRST_MACHINE_LISTENER: usize = 16;
const TICK_INTERVAL_MS: u64 = 20;
/// Name of the auxiliary record that holds the state of the cloud.
const CLOUD_RECORD_NAME: &str = "cloud";
const SIGNALS_KEY: usize = usize::MAX - 1;

/// A running local cluster. A single thread serves all of it.
pub struct LocalCluster {
    folder: PathBuf,
    poller: Arc<EventPoller>,
    keys: KeyAllocator,
    server: HttpServer,
    http_client: HttpClient,
    start: Instant,
    kv_engine: KvEngine,
    file: StoreFile,
    cloud: Cloud,
    cloud_changed: bool,
    job_store: JobStore,
    machines: Machines,
    outputs: TaskOutputs,
    processes: Processes,
    controllers: Controllers,
    addresses: ClusterAddresses,
    pending_watches: Vec<PendingWatch>,
    next_listener: usize,
    signals: Registration<UnixStream>,
    stop: Arc<AtomicBool>,
    /// Responses to send after the next commit: connection, HTTP status and body.
    pending_responses: Vec<(ConnectionId, u16, Value)>,
    requests: u64,
}

/// Makes SIGINT, SIGTERM and SIGCHLD wake the poller. SIGINT and SIGTERM also set the stop flag.
fn register_signals(
    poller: &Arc<EventPoller>,
    stop: &Arc<AtomicBool>,
) -> io::Result<Registration<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    reader.set_nonblocking(true)?;
    writer.set_nonblocking(true)?;
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    for signal in [SIGINT, SIGTERM, SIGCHLD] {
        signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
    }
    Registration::new(poller, reader, Event::readable(SIGNALS_KEY))
}

impl LocalCluster {
    /// Opens the folder of a new or an earlier cluster, and starts to listen. `run` serves requests and starts the
    /// controllers.
    ///
    /// # Errors
    /// The folder or its state file cannot be opened (another local cluster may have it open), or an address is in use.
    pub fn open(config: ClusterConfig) -> Result<LocalCluster, LocalClusterError> {
        let folder = config.folder;
        let folder_name = folder.display().to_string();
        std::fs::create_dir_all(&folder).map_err(io_error(format!("creating the folder {folder_name}")))?;
        let (file, deltas, saved) = StoreFile::open(&folder.join("state.redb"))?;
        // The state file must be opened first: its lock prevents two local clusters in the same folder from killing
        // each other's processes.
        let processes = Processes::open(&folder)
            .map_err(io_error(format!("opening the process list in {folder_name}")))?;
        let addresses = allocate_addresses(&folder, config.controllers)?;
        let poller = Arc::new(EventPoller::new().map_err(io_error("creating the event poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&poller));
        listen_on(&addresses, &mut server, &mut keys)?;
        let stop = Arc::new(AtomicBool::new(false));
        let teams = config.teams.into_iter();
        let teams: Vec<TeamSettings> =
            teams.map(|(name, guaranteed, limit)| TeamSettings { name, guaranteed, limit }).collect();
        let platform = Platform::local(teams);
        let controllers = Controllers::write_settings(&folder, config.controller_plan, &addresses, &platform)
            .map_err(io_error(format!("writing the controllers' settings in {folder_name}")))?;
        let mut job_store = JobStore::default();
        let mut cloud = restore_saved(&saved, &mut job_store);
        cloud.machine_types = config.machine_types;
        cloud.fail_all(0);
        // An earlier process may have been killed after it committed terminal records and before it published the
        // outputs.
        let outputs = TaskOutputs::new(&folder);
        publish_outputs(&outputs, &job_store, &terminal_records(&deltas))?;
        Ok(LocalCluster {
            outputs,
            signals: register_signals(&poller, &stop).map_err(io_error("registering signal handlers"))?,
            http_client: HttpClient::new(&poller),
            machines: Machines::open(&folder, addresses.controllers.clone())
                .map_err(io_error(format!("opening the run log in {folder_name}")))?,
            kv_engine: KvEngine::restore(&deltas, 0),
            start: Instant::now(),
            folder,
            poller,
            keys,
            server,
            file,
            cloud,
            cloud_changed: true,
            job_store,
            processes,
            controllers,
            addresses,
            pending_watches: Vec::new(),
            next_listener: FIRST_MACHINE_LISTENER,
            stop,
            pending_responses: Vec::new(),
            requests: 0,
        })
    }

    /// Returns the addresses on which the cluster listens.
    pub fn addresses(&self) -> &ClusterAddresses {
        &self.addresses
    }

    /// Returns the flag that makes `run` return once it is set.
    pub fn stop_flag(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Serves until the stop flag is set or the process receives SIGINT or SIGTERM. Then kills all processes that it
    /// started.
    ///
    /// # Errors
    /// The state file or another file cannot be written, the event poller fails, or a controller cannot be started.
    pub fn run(mut self) -> Result<(), LocalClusterError> {
        let mut events = Events::new();
        let mut last_tick = 0;
        while !self.stop.load(Ordering::Relaxed) {
            events.clear();
            match self.poller.wait(&mut events, Duration::from_millis(TICK_INTERVAL_MS)) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(io_error("waiting for events")(error)),
            }
            let now = self.elapsed_ms();
            let ready: Vec<usize> = events.iter().map(|event| event.key).collect();
            for key in ready {
                self.handle_event(key, now)?;
            }
            self.machines.step_workers(now, &mut self.job_store, &mut self.processes);
            if now >= last_tick + TICK_INTERVAL_MS {
                last_tick = now;
                self.tick(now)?;
            }
            self.commit()?;
            self.machines.send_heartbeats(&mut self.keys, &mut self.http_client, now);
        }
        self.controllers.stop_all();
        self.processes.kill_all();
        Ok(())
    }

    fn handle_event(&mut self, key: usize, now: u64) -> Result<(), LocalClusterError> {
        if key == SIGNALS_KEY {
            let mut bytes = [0; 64];
            // The bytes only wake the poller; which signals were received does not matter.
            while matches!(self.signals.source().read(&mut bytes), Ok(n) if n > 0) {}
            return self.signals.set_interest(true, false).map_err(io_error("re-arming the signal pipe"));
        }
        if self.server.owns_key(key) {
            let mut next = self.server.handle_event(&mut self.keys, key, now);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now);
            }
        } else if self.http_client.owns_key(key)
            && let Some((slot, response)) = self.http_client.handle_event(key)
        {
            self.machines.handle_response(slot, response.as_ref(), &self.job_store, now);
        }
        Ok(())
    }

    fn tick(&mut self, now: u64) -> Result<(), LocalClusterError> {
        self.kv_engine.expire_leases(now);
        for (slot, response) in self.http_client.expire_calls(now) {
            self.machines.handle_response(slot, response.as_ref(), &self.job_store, now);
        }
        self.server.close_idle(now);
        self.reconcile_machines(now)?;
        self.controllers.restart_exited(now, &mut self.processes).map_err(io_error("starting a controller"))
    }

    /// Starts the workers of machines that have booted, and stops the workers of machines that were released or have
    /// failed.
    fn reconcile_machines(&mut self, now: u64) -> Result<(), LocalClusterError> {
        let booted: Vec<usize> = (0..self.cloud.machines.len())
            .filter(|index| {
                let machine = &self.cloud.machines[*index];
                !machine.failed && machine.ready_at <= now && !self.machines.has_machine(&machine.name)
            })
            .collect();
        for index in booted {
            let listener = ListenerId(self.next_listener);
            self.next_listener += 1;
            let endpoint = self.server.listen(&mut self.keys, loopback(0), listener);
            let endpoint = endpoint.map_err(io_error("listening for a worker"))?;
            let machine = &mut self.cloud.machines[index];
            machine.endpoint = endpoint.to_string();
            let machine = machine.clone();
            if let Some(machine_type) = self.cloud.machine_type(&machine.machine_type) {
                self.machines.add_machine(&machine, machine_type, endpoint, listener, &self.job_store, now);
            }
        }
        for name in self.machines.names() {
            let exists = self.cloud.machines.iter().any(|machine| machine.name == name && !machine.failed);
            if !exists
                && let Some(listener) =
                    self.machines.remove_machine(&name, &mut self.processes, &mut self.http_client)
            {
                self.server.close_listener(listener);
            }
        }
        self.cloud.released.clear();
        Ok(())
    }

    /// Commits all changes to the state file, then sends the responses that report them.
    fn commit(&mut self) -> Result<(), LocalClusterError> {
        let now = self.elapsed_ms();
        self.complete_due_watches(now);
        let deltas = self.kv_engine.take_deltas();
        let terminal_records = terminal_records(&deltas);
        let mut auxiliary = self.job_store.take_unsaved();
        if std::mem::take(&mut self.cloud_changed) {
            let bytes = serde_json::to_vec(&self.cloud)
                .map_err(|error| LocalClusterError::Json { file: CLOUD_RECORD_NAME.into(), error })?;
            auxiliary.push(AuxiliaryRecord { name: CLOUD_RECORD_NAME.into(), bytes: Some(bytes) });
        }
        self.file.commit(&deltas, &auxiliary)?;
        publish_outputs(&self.outputs, &self.job_store, &terminal_records)?;
        for (connection, status, body) in std::mem::take(&mut self.pending_responses) {
            let bytes = serde_json::to_vec(&body).unwrap_or_default();
            // The connection may already have sent its next request, whose response waits for the next commit.
            let mut next = self.server.respond(connection, status, &bytes);
            while let Some(incoming) = next {
                next = self.handle_request(incoming, now);
            }
        }
        Ok(())
    }
}

/// Listens on the addresses of the key-value store, the cloud and the job store.
fn listen_on(
    addresses: &ClusterAddresses,
    server: &mut HttpServer,
    keys: &mut KeyAllocator,
) -> Result<(), LocalClusterError> {
    for (addr, listener) in [
        (addresses.kv_store, KV_STORE_LISTENER),
        (addresses.cloud, CLOUD_LISTENER),
        (addresses.job_store, JOB_STORE_LISTENER),
    ] {
        server.listen(keys, addr, listener).map_err(io_error(format!("listening on {addr}")))?;
    }
    Ok(())
}

/// Publishes the outputs of the nodes that these terminal records report as successful. The records must be on disk.
fn publish_outputs(
    outputs: &TaskOutputs,
    job_store: &JobStore,
    terminal_records: &[(String, Value)],
) -> Result<(), LocalClusterError> {
    for (key, value) in terminal_records {
        let published = outputs.publish_on_success(key, value, &job_store.descriptions, &job_store.results);
        published.map_err(io_error(format!("publishing the output for {key}")))?;
    }
    Ok(())
}

/// Returns the keys and values of the terminal records among the deltas.
fn terminal_records(deltas: &[Delta]) -> Vec<(String, Value)> {
    let records = deltas.iter().filter_map(|delta| match delta {
        Delta::Put { key, value, .. } if key.starts_with("olivelatch/end/") => {
            Some((key.clone(), value.clone()))
        }
        _ => None,
    });
    records.collect()
}

/// Restores the job store, and returns the cloud, from the records that an earlier process of the cluster saved.
fn restore_saved(saved: &[AuxiliaryRecord], job_store: &mut JobStore) -> Cloud {
    let mut cloud = Cloud::default();
    for record in saved {
        if job_store.restore(record) {
            continue;
        }
        if record.name == CLOUD_RECORD_NAME
            && let Some(restored) =
                record.bytes.as_deref().and_then(|bytes| serde_json::from_slice(bytes).ok())
        {
            cloud = restored;
        }
    }
    cloud
}
