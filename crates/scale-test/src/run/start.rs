//! Starts a run: checks the resources of the machine, reserves ports and starts the processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use olivelatch_local_cluster::{ClusterAddresses, controller_name, controller_settings};
use signal_hook::consts::{SIGINT, SIGTERM};

use super::kv_poll::KvPoller;
use super::load::Load;
use super::network::Network;
use super::process_group::ProcessGroup;
use super::sampling::RunMeasurements;
use super::zones::ZoneLink;
use super::{RunArguments, ScaleRun};
use crate::cloud::TestCloud;
use crate::error::{ScaleError, io_error};
use crate::invariants::InvariantChecker;
use crate::kv_store::KvStoreArguments;
use crate::measurements::RunReport;
use crate::plan::Plan;
use crate::processes::{ManagedProcess, ProcessCommand, Role, raise_open_file_limit, read_machine_memory};
use crate::simulated_workers::{RunClock, ZoneProcessArguments, unix_ms};

/// Expected memory of one simulated worker.
const WORKER_BYTES: u64 = 200_000;
/// Expected memory of one controller.
const CONTROLLER_BYTES: u64 = 120_000_000;
/// Expected memory of everything else in a run.
const BASE_BYTES: u64 = 500_000_000;
/// Address at which the run's processes listen, except the workers, each of which has its own address.
const SERVICE_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Number of ports that a run needs whatever its size: for the kv store, its control interface, the cloud,
/// and the workers, which share one port number.
const FIXED_PORTS: usize = 4;
/// Name of the file with the controllers' tunables, in the run's output directory.
const TUNABLES_FILE: &str = "tunables.hcl";
/// Number of open files that a process needs in addition to its connections to workers.
const OPEN_FILE_MARGIN: u64 = 500;
/// Maximum number of connections that a process has for each worker.
const CONNECTIONS_PER_WORKER: u64 = 3;
/// The processes of a run may use the memory of the machine divided by this.
const MEMORY_LIMIT_DIVISOR: u64 = 2;

/// Checks that the machine is large enough for the plan, and raises the limit of open files if necessary.
/// Returns the maximum memory of all processes together, in bytes.
///
/// # Errors
///
/// The machine is too small for the plan.
pub(super) fn check_machine_resources(plan: &Plan) -> Result<u64, ScaleError> {
    let workers = plan.max_workers() as u64;
    raise_open_file_limit(CONNECTIONS_PER_WORKER * workers + OPEN_FILE_MARGIN)?;
    let memory = read_machine_memory()?;
    let needed_bytes = workers * WORKER_BYTES + plan.controllers as u64 * CONTROLLER_BYTES + BASE_BYTES;
    let limit_bytes = memory.total_bytes / MEMORY_LIMIT_DIVISOR;
    if needed_bytes > limit_bytes.min(memory.available_bytes) {
        return Err(ScaleError::Refused(format!(
            "the plan needs about {} MB of memory; {} MB are available, and a run may use at most {} MB, half of the machine's memory; use a smaller plan",
            needed_bytes / 1_000_000,
            memory.available_bytes / 1_000_000,
            limit_bytes / 1_000_000
        )));
    }
    Ok(limit_bytes)
}

/// Ports reserved for this run. Each port is bound on 127.0.0.1, so that no other run gets the same one, and
/// the run's processes use the port number on other loopback addresses.
pub(super) struct ReservedPorts {
    listeners: Vec<TcpListener>,
}

impl ReservedPorts {
    fn reserve(count: usize) -> Result<ReservedPorts, ScaleError> {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listeners =
            (0..count).map(bind).collect::<Result<_, _>>().map_err(io_error("reserving free ports"))?;
        Ok(ReservedPorts { listeners })
    }

    /// Returns the addresses at which the run's processes can listen.
    fn addresses(&self) -> Result<Vec<SocketAddr>, ScaleError> {
        let address = |listener: &TcpListener| {
            let port = listener.local_addr().map_err(io_error("reserving free ports"))?.port();
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

/// The addresses at which the processes of a run listen.
struct RunAddresses {
    cluster: ClusterAddresses,
    kv_control: SocketAddr,
    zone_controls: Vec<SocketAddr>,
    /// Port of all workers; each worker has its own IP address.
    worker_port: u16,
}

impl RunAddresses {
    fn reserve(plan: &Plan) -> Result<(RunAddresses, ReservedPorts), ScaleError> {
        let ports = ReservedPorts::reserve(2 * plan.controllers + plan.zones.len() + FIXED_PORTS)?;
        let free = ports.addresses()?;
        let (controllers, rest) = free.split_at(plan.controllers);
        let (meshes, rest) = rest.split_at(plan.controllers);
        let (zone_controls, rest) = rest.split_at(plan.zones.len());
        let (kv_store, cloud, kv_control, worker) = (rest[0], rest[1], rest[2], rest[3]);
        let cluster = ClusterAddresses {
            kv_store,
            cloud,
            // A scale run has no job store, and the controllers' settings do not contain its address.
            job_store: cloud,
            controllers: controllers.to_vec(),
            meshes: meshes.to_vec(),
        };
        let addresses = RunAddresses {
            cluster,
            kv_control,
            zone_controls: zone_controls.to_vec(),
            worker_port: worker.port(),
        };
        Ok((addresses, ports))
    }
}

/// Starts all processes of a run.
struct ProcessStarter<'a> {
    plan: &'a Plan,
    arguments: &'a RunArguments,
    epoch_ms: u64,
}

impl ProcessStarter<'_> {
    /// Starts the kv store, one process of simulated workers per zone, and the controllers, in this order.
    fn start_all(&self, addresses: &RunAddresses) -> Result<Vec<ManagedProcess>, ScaleError> {
        let cluster = &addresses.cluster;
        let mut processes = vec![self.start_kv_store(cluster.kv_store, addresses.kv_control)?];
        for (zone, control) in addresses.zone_controls.iter().enumerate() {
            processes.push(self.start_zone(zone, *control, &cluster.controllers)?);
        }
        // All controllers read the same tunables file, so it is written before the first of them starts.
        write_file(&self.arguments.out.join(TUNABLES_FILE), &self.plan.tunables)?;
        for index in 0..self.plan.controllers {
            processes.push(self.start_controller(index, cluster)?);
        }
        Ok(processes)
    }

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
        // A run begins with an empty store. The removal fails if there is no file, which is the usual case.
        let _ = std::fs::remove_file(&file);
        let limits = &self.plan.kv_limits;
        let process_arguments = KvStoreArguments {
            address,
            control,
            file,
            epoch_ms: self.epoch_ms,
            requests_per_s: limits.requests_per_s,
            mutations_per_s: limits.mutations_per_s,
            value_bytes: (limits.value_kb * 1024.0) as usize,
            txn_mutations: limits.txn_mutations,
        };
        let arguments =
            vec!["scale".into(), "state".into(), to_json(&process_arguments, "arguments of a process")?];
        ManagedProcess::start("state".into(), Role::KvStore, self.process_command("state", arguments))
    }

    fn start_zone(
        &self,
        zone: usize,
        control: SocketAddr,
        controllers: &[SocketAddr],
    ) -> Result<ManagedProcess, ScaleError> {
        let to_ms = |seconds: f64| (seconds * 1000.0) as u64;
        let timings = &self.plan.worker_timings;
        let process_arguments = ZoneProcessArguments {
            control,
            controllers: controllers.to_vec(),
            epoch_ms: self.epoch_ms,
            report_ms: to_ms(timings.heartbeat_s),
            lease_ms: to_ms(timings.lease_s),
            gang_wait_ms: to_ms(timings.gang_wait_s),
            gang_peer_ms: to_ms(timings.gang_peer_s),
            seed: self.plan.seed.wrapping_add(zone as u64 + 1),
            defect: self.plan.defect,
        };
        let name = format!("workers {}", self.plan.zones[zone]);
        let arguments =
            vec!["scale".into(), "zone".into(), to_json(&process_arguments, "arguments of a process")?];
        ManagedProcess::start(
            name.clone(),
            Role::SimulatedWorkers,
            self.process_command(&name.replace(' ', "-"), arguments),
        )
    }

    fn start_controller(
        &self,
        index: usize,
        addresses: &ClusterAddresses,
    ) -> Result<ManagedProcess, ScaleError> {
        let name = controller_name(index);
        let out = &self.arguments.out;
        let (settings, tunables) = (out.join(format!("{name}.json")), out.join(TUNABLES_FILE));
        write_file(&settings, &controller_settings(addresses, index, &self.plan.platform()).to_string())?;
        let (settings, tunables) = (settings.display().to_string(), tunables.display().to_string());
        let arguments = vec![
            "controller".into(),
            "serve".into(),
            "--tunables".into(),
            tunables,
            "--config".into(),
            settings,
        ];
        ManagedProcess::start(name.clone(), Role::Controller, self.process_command(&name, arguments))
    }
}

/// Returns a flag that is set when the process receives SIGINT or SIGTERM.
fn register_stop_signals() -> Result<Arc<AtomicBool>, ScaleError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(io_error("registering signal handlers"))?;
    }
    Ok(stop)
}

/// Creates the report with the values that are known before the run.
fn initial_report(plan: &Plan, arguments: &RunArguments) -> RunReport {
    RunReport {
        plan: arguments.plan.display().to_string(),
        seed: plan.seed,
        controllers: plan.controllers,
        teams: plan.teams.count,
        load_s: plan.load_s(),
        ..RunReport::default()
    }
}

impl ScaleRun {
    /// Starts all processes of the run. `memory_limit` is the maximum memory of all of them together, in
    /// bytes.
    pub(super) fn start(
        plan: Plan,
        arguments: &RunArguments,
        memory_limit: u64,
    ) -> Result<ScaleRun, ScaleError> {
        let stop = register_stop_signals()?;
        let (addresses, ports) = RunAddresses::reserve(&plan)?;
        let network = Network::listen(addresses.cluster.cloud)?;
        let epoch_ms = unix_ms();
        let processes = ProcessStarter { plan: &plan, arguments, epoch_ms }.start_all(&addresses)?;
        let team_limits = plan.team_settings().iter().map(|team| team.limit).collect();
        Ok(ScaleRun {
            clock: RunClock::new(epoch_ms),
            network,
            cloud: TestCloud::new(&plan, addresses.worker_port),
            next_cloud_step: 0,
            zones: addresses.zone_controls.iter().copied().map(ZoneLink::new).collect(),
            controllers: addresses.cluster.controllers,
            processes: ProcessGroup::new(processes, memory_limit, ports),
            kv: KvPoller::new(addresses.kv_control),
            load: Load::new(&plan),
            checker: InvariantChecker::new(team_limits),
            pending_events: Vec::new(),
            measurements: RunMeasurements::default(),
            fault_schedule: Vec::new(),
            leader_killed_at: None,
            highest_token: 0,
            report: initial_report(&plan, arguments),
            stop,
            plan,
        })
    }
}
