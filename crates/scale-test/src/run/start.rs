//! The begin of a run: is the machine large enough, which ports are the run's own, and which processes there are.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use olivelatch_local_cluster::{ClusterAddresses as Addresses, controller_name, controller_settings};
use olivelatch_net::client::HttpClient;
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{HttpServer, ListenerId};
use signal_hook::consts::{SIGINT, SIGTERM};

use super::{RunArguments, ScaleRun, ZoneLink};
use crate::arrivals::Arrivals;
use crate::changes::ConfigChanges;
use crate::cloud::TestCloud;
use crate::control::KvMeasurements;
use crate::error::{ScaleError, io_error};
use crate::invariants::InvariantChecker;
use crate::kv_store::KvStoreArguments;
use crate::measurements::{LatencyHistogram, ProcessUsage, RunReport, StartLatencies};
use crate::plan::Plan;
use crate::processes::{ManagedProcess, ProcessCommand, Role, memory_totals, raise_open_file_limit};
use crate::simulated_workers::{RunClock, ZoneProcessArguments, unix_ms};
use crate::users::Users;

/// Expected memory: a hollow worker, a controller, the rest.
const WORKER_BYTES: u64 = 200_000;
const CONTROLLER_BYTES: u64 = 120_000_000;
const BASE_BYTES: u64 = 500_000_000;
/// The address of the run's processes; workers have one each.
const SERVICE_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// The file with the controllers' tunables, in the run's folder.
const TUNABLES: &str = "tunables.hcl";
/// Files a process needs beside its connections.
const OPEN_FILE_MARGIN: u64 = 500;

/// The memory that all processes together may take, if the machine is large enough for the plan.
pub(super) fn check_machine_resources(plan: &Plan) -> Result<u64, ScaleError> {
    let workers = plan.max_workers() as u64;
    raise_open_file_limit(3 * workers + OPEN_FILE_MARGIN)?;
    let (total, free) = memory_totals()?;
    let wanted = workers * WORKER_BYTES + plan.controllers as u64 * CONTROLLER_BYTES + BASE_BYTES;
    let limit = total / 2;
    if wanted > limit.min(free) {
        return Err(ScaleError::Refused(format!(
            "about {} MB are needed; {} MB are free, and half of the machine's memory is {} MB",
            wanted / 1_000_000,
            free / 1_000_000,
            limit / 1_000_000
        )));
    }
    Ok(limit)
}

/// Ports that are this run's own while it lives: each is held on one loopback address, so that no other run is given it, and
/// used on others.
pub(super) struct ReservedPorts {
    listeners: Vec<TcpListener>,
}

impl ReservedPorts {
    fn reserve(count: usize) -> Result<ReservedPorts, ScaleError> {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let held = (0..count).map(bind).collect::<Result<_, _>>().map_err(io_error("free ports"))?;
        Ok(ReservedPorts { listeners: held })
    }

    /// Where the run's processes listen.
    fn addresses(&self) -> Result<Vec<SocketAddr>, ScaleError> {
        let address = |held: &TcpListener| {
            let port = held.local_addr().map_err(io_error("free ports"))?.port();
            Ok(SocketAddr::from((SERVICE_ADDRESS, port)))
        };
        self.listeners.iter().map(address).collect()
    }
}

pub(super) fn to_json(value: &impl serde::Serialize, what: &str) -> Result<String, ScaleError> {
    serde_json::to_string(value).map_err(|error| ScaleError::Json { what: what.into(), error })
}

pub(super) fn write_file(path: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(path, text).map_err(io_error(path.display().to_string()))
}

/// Starts all processes of a run.
struct ProcessStarter<'a> {
    plan: &'a Plan,
    arguments: &'a RunArguments,
    epoch_ms: u64,
}

impl ProcessStarter<'_> {
    fn process_command(&self, name: &str, arguments: Vec<String>) -> ProcessCommand {
        ProcessCommand {
            program: self.arguments.program.clone(),
            arguments,
            log: self.arguments.out.join(format!("{name}.log")),
            log_level: self.arguments.log_level.clone(),
        }
    }

    fn start_kv_store(&self, address: SocketAddr, control: SocketAddr) -> Result<ManagedProcess, ScaleError> {
        let file = self.arguments.out.join("state.redb");
        // A run begins with nothing.
        let _ = std::fs::remove_file(&file);
        let state = &self.plan.state;
        let told = KvStoreArguments {
            address,
            control,
            file,
            epoch_ms: self.epoch_ms,
            requests_per_s: state.requests_per_s,
            mutations_per_s: state.mutations_per_s,
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_mutations: state.txn_mutations,
        };
        let arguments = vec!["scale".into(), "state".into(), to_json(&told, "arguments")?];
        ManagedProcess::start("state".into(), Role::KvStore, self.process_command("state", arguments))
    }

    fn start_zone(
        &self,
        at: usize,
        control: SocketAddr,
        controllers: &[SocketAddr],
    ) -> Result<ManagedProcess, ScaleError> {
        let ms = |seconds: f64| (seconds * 1000.0) as u64;
        let workers = &self.plan.workers;
        let told = ZoneProcessArguments {
            control,
            controllers: controllers.to_vec(),
            epoch_ms: self.epoch_ms,
            report_ms: ms(workers.heartbeat_s),
            lease_ms: ms(workers.lease_s),
            gang_wait_ms: ms(workers.gang_wait_s),
            gang_peer_ms: ms(workers.gang_peer_s),
            seed: self.plan.seed.wrapping_add(at as u64 + 1),
            defect: self.plan.defect,
        };
        let name = format!("workers {}", self.plan.zones[at]);
        let arguments = vec!["scale".into(), "zone".into(), to_json(&told, "arguments")?];
        ManagedProcess::start(
            name.clone(),
            Role::SimulatedWorkers,
            self.process_command(&name.replace(' ', "-"), arguments),
        )
    }

    fn start_controller(&self, at: usize, addresses: &Addresses) -> Result<ManagedProcess, ScaleError> {
        let name = controller_name(at);
        let out = &self.arguments.out;
        let (settings, tunables) = (out.join(format!("{name}.json")), out.join(TUNABLES));
        write_file(&settings, &controller_settings(addresses, at, &self.plan.platform()).to_string())?;
        let arguments = ["controller", "serve", "--tunables"].map(String::from).into_iter();
        let files = [tunables.display().to_string(), "--config".into(), settings.display().to_string()];
        let arguments = arguments.chain(files).collect();
        ManagedProcess::start(name.clone(), Role::Controller, self.process_command(&name, arguments))
    }
}

impl ScaleRun {
    pub(super) fn start(
        plan: Plan,
        arguments: &RunArguments,
        memory_limit: u64,
    ) -> Result<ScaleRun, ScaleError> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, stop.clone()).map_err(io_error("signals"))?;
        }
        let count = plan.controllers;
        let ports = ReservedPorts::reserve(2 * count + plan.zones.len() + 4)?;
        let free = ports.addresses()?;
        let (controllers, rest) = free.split_at(count);
        let (meshes, rest) = rest.split_at(count);
        let (zone_controls, rest) = rest.split_at(plan.zones.len());
        let addresses = Addresses {
            kv_store: rest[0],
            cloud: rest[1],
            job_store: rest[1],
            controllers: controllers.to_vec(),
            meshes: meshes.to_vec(),
        };
        let (state_control, worker_port) = (rest[2], rest[3].port());
        let gate = Arc::new(EventPoller::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&gate));
        server.listen(&mut keys, addresses.cloud, ListenerId(0)).map_err(io_error("the cloud's address"))?;
        let epoch_ms = unix_ms();
        let starter = ProcessStarter { plan: &plan, arguments, epoch_ms };
        let mut processes = vec![starter.start_kv_store(addresses.kv_store, state_control)?];
        for (at, control) in zone_controls.iter().enumerate() {
            processes.push(starter.start_zone(at, *control, controllers)?);
        }
        // Written once, before any controller reads it.
        write_file(&arguments.out.join(TUNABLES), &plan.tunables)?;
        for at in 0..count {
            processes.push(starter.start_controller(at, &addresses)?);
        }
        let link = |address: &SocketAddr| ZoneLink { address: Some(*address), ..ZoneLink::default() };
        let limits = plan.team_plans().iter().map(|team| team.limit).collect();
        let mut run = ScaleRun {
            clock: RunClock::new(epoch_ms),
            cloud: TestCloud::new(&plan, worker_port),
            next_cloud_step: 0,
            zones: zone_controls.iter().map(link).collect(),
            controllers: controllers.to_vec(),
            process_usage: processes
                .iter()
                .map(|process| ProcessUsage::new(&process.name, process.role))
                .collect(),
            own_usage: ProcessUsage::new("load, cloud, check", Role::LoadGenerator),
            processes,
            _ports: ports,
            kv_control: state_control,
            kv_measurements: KvMeasurements::default(),
            kv_at_load_start: KvMeasurements::default(),
            next_kv_poll: 0,
            kv_poll_in_flight: false,
            users: Users::new(count, plan.seed),
            arrivals: Arrivals::new(&plan),
            user_by_job: HashMap::new(),
            checker: InvariantChecker::new(limits),
            pending_events: Vec::new(),
            config_changes: ConfigChanges::new(&plan.changes, plan.team_plans(), plan.seed),
            start_latencies: StartLatencies::default(),
            acceptance_latency: LatencyHistogram::default(),
            fault_actions: Vec::new(),
            load_start_ms: u64::MAX,
            leader_killed_at: None,
            highest_token: 0,
            report: RunReport::default(),
            starts: 0,
            waiting_tasks: 0,
            last_sample_at: 0,
            last_progress_at: 0,
            stop,
            memory_limit,
            http_client: HttpClient::new(&gate),
            poller: gate,
            keys,
            server,
            plan,
        };
        run.report.plan = arguments.plan.display().to_string();
        run.report.seed = run.plan.seed;
        run.report.controllers = count;
        run.report.teams = run.plan.teams.count;
        run.report.load_s = run.plan.load_s();
        Ok(run)
    }
}
