//! The begin of a run: is the machine large enough, which ports are the run's own, and which processes there are.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use olivelatch_net::caller::Caller;
use olivelatch_net::poll::{Gate, Keys};
use olivelatch_net::server::{HttpServer, Port};
use olivelatch_region::{Plan as Addresses, controller_name, controller_settings};
use signal_hook::consts::{SIGINT, SIGTERM};

use super::{Run, RunArguments, ZoneLink};
use crate::arrivals::Arrivals;
use crate::changes::Changes;
use crate::check::Check;
use crate::cloud::RunCloud;
use crate::control::StateFigures;
use crate::error::{ScaleError, io_error};
use crate::figures::{ProcessFigures, Report, Times, Waits};
use crate::hollow::{RunClock, ZoneArguments, unix_ms};
use crate::plan::Plan;
use crate::processes::{Launch, Managed, Role, allow_files, memory};
use crate::state::StateArguments;
use crate::users::Users;

/// Expected memory: a hollow worker, a controller, the rest.
const WORKER_BYTES: u64 = 200_000;
const CONTROLLER_BYTES: u64 = 120_000_000;
const REST_BYTES: u64 = 500_000_000;
/// The address of the run's processes; workers have one each.
const SERVED: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// The file with the controllers' tunables, in the run's folder.
const TUNABLES: &str = "tunables.hcl";
/// Files a process needs beside its connections.
const SPARE_FILES: u64 = 500;

/// The memory that all processes together may take, if the machine is large enough for the plan.
pub(super) fn refuse_if_too_small(plan: &Plan) -> Result<u64, ScaleError> {
    let workers = plan.most_workers() as u64;
    allow_files(3 * workers + SPARE_FILES)?;
    let (total, free) = memory()?;
    let wanted = workers * WORKER_BYTES + plan.controllers as u64 * CONTROLLER_BYTES + REST_BYTES;
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
pub(super) struct Ports {
    held: Vec<TcpListener>,
}

impl Ports {
    fn hold(count: usize) -> Result<Ports, ScaleError> {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let held = (0..count).map(bind).collect::<Result<_, _>>().map_err(io_error("free ports"))?;
        Ok(Ports { held })
    }

    /// Where the run's processes listen.
    fn addresses(&self) -> Result<Vec<SocketAddr>, ScaleError> {
        let address = |held: &TcpListener| {
            let port = held.local_addr().map_err(io_error("free ports"))?.port();
            Ok(SocketAddr::from((SERVED, port)))
        };
        self.held.iter().map(address).collect()
    }
}

pub(super) fn to_json(value: &impl serde::Serialize, what: &str) -> Result<String, ScaleError> {
    serde_json::to_string(value).map_err(|error| ScaleError::Json { what: what.into(), error })
}

pub(super) fn write_file(path: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(path, text).map_err(io_error(path.display().to_string()))
}

/// Starts all processes of a run.
struct Starter<'a> {
    plan: &'a Plan,
    arguments: &'a RunArguments,
    epoch_ms: u64,
}

impl Starter<'_> {
    fn launch(&self, name: &str, arguments: Vec<String>) -> Launch {
        Launch {
            program: self.arguments.program.clone(),
            arguments,
            log: self.arguments.out.join(format!("{name}.log")),
            log_level: self.arguments.log_level.clone(),
        }
    }

    fn state(&self, address: SocketAddr, control: SocketAddr) -> Result<Managed, ScaleError> {
        let file = self.arguments.out.join("state.redb");
        // A run begins with nothing.
        let _ = std::fs::remove_file(&file);
        let state = &self.plan.state;
        let told = StateArguments {
            address,
            control,
            file,
            epoch_ms: self.epoch_ms,
            requests_per_s: state.requests_per_s,
            changes_per_s: state.changes_per_s,
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_changes: state.txn_changes,
        };
        let arguments = vec!["scale".into(), "state".into(), to_json(&told, "arguments")?];
        Managed::start("state".into(), Role::StateService, self.launch("state", arguments))
    }

    fn zone(
        &self,
        at: usize,
        control: SocketAddr,
        controllers: &[SocketAddr],
    ) -> Result<Managed, ScaleError> {
        let ms = |seconds: f64| (seconds * 1000.0) as u64;
        let workers = &self.plan.workers;
        let told = ZoneArguments {
            control,
            controllers: controllers.to_vec(),
            epoch_ms: self.epoch_ms,
            report_ms: ms(workers.report_s),
            lease_ms: ms(workers.lease_s),
            gang_wait_ms: ms(workers.gang_wait_s),
            gang_peer_ms: ms(workers.gang_peer_s),
            seed: self.plan.seed.wrapping_add(at as u64 + 1),
            defect: self.plan.defect,
        };
        let name = format!("workers {}", self.plan.zones[at]);
        let arguments = vec!["scale".into(), "zone".into(), to_json(&told, "arguments")?];
        Managed::start(name.clone(), Role::HollowWorkers, self.launch(&name.replace(' ', "-"), arguments))
    }

    fn controller(&self, at: usize, addresses: &Addresses) -> Result<Managed, ScaleError> {
        let name = controller_name(at);
        let out = &self.arguments.out;
        let (settings, tunables) = (out.join(format!("{name}.json")), out.join(TUNABLES));
        write_file(&settings, &controller_settings(addresses, at, &self.plan.platform()).to_string())?;
        let arguments = ["controller", "serve", "--tunables"].map(String::from).into_iter();
        let files = [tunables.display().to_string(), "--config".into(), settings.display().to_string()];
        let arguments = arguments.chain(files).collect();
        Managed::start(name.clone(), Role::Controller, self.launch(&name, arguments))
    }
}

impl Run {
    pub(super) fn start(plan: Plan, arguments: &RunArguments, memory_limit: u64) -> Result<Run, ScaleError> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, stop.clone()).map_err(io_error("signals"))?;
        }
        let count = plan.controllers;
        let ports = Ports::hold(2 * count + plan.zones.len() + 4)?;
        let free = ports.addresses()?;
        let (controllers, rest) = free.split_at(count);
        let (meshes, rest) = rest.split_at(count);
        let (zone_controls, rest) = rest.split_at(plan.zones.len());
        let addresses = Addresses {
            state: rest[0],
            cloud: rest[1],
            desk: rest[1],
            controllers: controllers.to_vec(),
            meshes: meshes.to_vec(),
        };
        let (state_control, worker_port) = (rest[2], rest[3].port());
        let gate = Arc::new(Gate::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (Keys::default(), HttpServer::new(&gate));
        server.listen(&mut keys, addresses.cloud, Port(0)).map_err(io_error("the cloud's address"))?;
        let epoch_ms = unix_ms();
        let starter = Starter { plan: &plan, arguments, epoch_ms };
        let mut processes = vec![starter.state(addresses.state, state_control)?];
        for (at, control) in zone_controls.iter().enumerate() {
            processes.push(starter.zone(at, *control, controllers)?);
        }
        // Written once, before any controller reads it.
        write_file(&arguments.out.join(TUNABLES), &plan.tunables)?;
        for at in 0..count {
            processes.push(starter.controller(at, &addresses)?);
        }
        let link = |address: &SocketAddr| ZoneLink { address: Some(*address), ..ZoneLink::default() };
        let limits = plan.team_plans().iter().map(|team| team.limit).collect();
        let mut run = Run {
            clock: RunClock::new(epoch_ms),
            cloud: RunCloud::new(&plan, worker_port),
            cloud_next: 0,
            zones: zone_controls.iter().map(link).collect(),
            controllers: controllers.to_vec(),
            figures: processes
                .iter()
                .map(|process| ProcessFigures::new(&process.name, process.role))
                .collect(),
            own: ProcessFigures::new("load, cloud, check", Role::Load),
            processes,
            _ports: ports,
            state_control,
            state: StateFigures::default(),
            state_before: StateFigures::default(),
            state_next: 0,
            state_open: false,
            users: Users::new(count, plan.seed),
            arrivals: Arrivals::new(&plan),
            by_job: HashMap::new(),
            check: Check::new(limits),
            events: Vec::new(),
            changes: Changes::new(&plan.changes, plan.team_plans(), plan.seed),
            waits: Waits::default(),
            acceptance: Times::default(),
            strikes: Vec::new(),
            load_from: u64::MAX,
            killed_leader: None,
            newest_token: 0,
            report: Report::default(),
            starts: 0,
            waiting: 0,
            sampled: 0,
            progress: 0,
            stop,
            memory_limit,
            caller: Caller::new(&gate),
            gate,
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
