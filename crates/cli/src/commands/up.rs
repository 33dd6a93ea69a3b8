//! `olivelatchctl up`: runs a local cluster on this machine until it is interrupted.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use olivelatch::tunables::Tunables;
use olivelatch_client::{Context, Contexts};
use olivelatch_local_cluster::{
    ClusterAddresses, ClusterConfig, ControllerPlan, LocalCluster, MachineTypeSpec,
};

use crate::args::UpArgs;
use crate::exit::{CommandError, own_program};

/// The controllers' tunables if no file is given.
const DEFAULT_TUNABLES: &str = "\
leader_life_s = 2
idle_s        = 300

operators {
  enabled        = true
  explains_per_s = 200
}

graphs {
  enabled = true
}

config {
  enabled = true
}
";

/// Maximum number of CPUs in a team's guarantee or limit.
const MAX_TEAM_CPUS: f64 = 1e6;
const CONTROLLERS_RANGE: RangeInclusive<usize> = 1..=9;
const MACHINES_RANGE: RangeInclusive<usize> = 1..=200;

fn usage_error(text: String) -> CommandError {
    CommandError::Usage(text)
}

/// Parses a team's name, its guaranteed CPUs and its CPU limit.
fn parse_team(text: &str) -> Result<(String, f64, f64), CommandError> {
    let invalid =
        || usage_error(format!("--team: expected NAME=CPUS:MOST, such as office=2:4, not {text:?}"));
    let (name, quota) = text.split_once('=').filter(|(name, _)| !name.is_empty()).ok_or_else(invalid)?;
    let (guaranteed, limit) = quota.split_once(':').ok_or_else(invalid)?;
    let number = |text: &str| {
        let cpus = text.parse::<f64>().ok();
        cpus.filter(|cpus| (0.0..=MAX_TEAM_CPUS).contains(cpus)).ok_or_else(invalid)
    };
    Ok((name.into(), number(guaranteed)?, number(limit)?))
}

/// Returns how to start the controllers: with the program that `--controller` names or else olivelatchctl itself, and
/// with the tunables of `--tunables` or else the default ones, which are validated here.
fn controller_plan(args: &UpArgs) -> Result<ControllerPlan, CommandError> {
    let tunables = match &args.tunables {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|error| usage_error(format!("{}: {error}", path.display())))?,
        None => DEFAULT_TUNABLES.into(),
    };
    let source = args.tunables.as_ref().map_or("tunables".into(), |path| path.display().to_string());
    Tunables::parse(&source, &tunables).map_err(|error| usage_error(error.to_string()))?;
    let (program, arguments) = match &args.controller {
        Some(program) => (program.clone(), vec!["serve".into()]),
        None => (own_program()?, vec!["controller".into(), "serve".into()]),
    };
    Ok(ControllerPlan { program, arguments, tunables, log_level: args.log_level.clone() })
}

/// Builds the configuration of the local cluster from the flags, or names the flag that is invalid.
pub(super) fn cluster_config(args: &UpArgs) -> Result<ClusterConfig, CommandError> {
    if !CONTROLLERS_RANGE.contains(&args.controllers) || !MACHINES_RANGE.contains(&args.machines) {
        return Err(usage_error(format!(
            "--controllers, --machines: expected 1 to 9 controllers and 1 to 200 machines, not {} and {}",
            args.controllers, args.machines
        )));
    }
    if !(args.cpus > 0.0 && args.memory_gb > 0.0) {
        return Err(usage_error(format!(
            "--cpus, --memory-gb: expected values above 0, not {} and {}",
            args.cpus, args.memory_gb
        )));
    }
    let machine_type = MachineTypeSpec {
        name: "local".into(),
        cpus: args.cpus,
        memory_gb: args.memory_gb,
        gpus: 0.0,
        fetch_gb_per_s: 100.0,
        boot_s: 0.05,
        zones: vec!["here".into()],
        on_demand_per_zone: args.machines,
        spot_per_zone: 0,
    };
    let teams = args.teams.iter().map(|team| parse_team(team)).collect::<Result<_, _>>()?;
    let folder = std::path::absolute(&args.state).unwrap_or_else(|_| args.state.clone());
    Ok(ClusterConfig {
        folder,
        controllers: args.controllers,
        machine_types: vec![machine_type],
        teams,
        controller_plan: controller_plan(args)?,
    })
}

/// Returns the context of a local cluster with these addresses.
pub(super) fn context(addresses: &ClusterAddresses) -> Context {
    Context { controllers: addresses.controllers.clone(), job_store: Some(addresses.job_store) }
}

/// Writes the contexts file, by which clients find the cluster, and returns its path.
fn write_contexts(folder: &Path, addresses: &ClusterAddresses) -> Result<PathBuf, CommandError> {
    let path = folder.join("contexts.hcl");
    std::fs::write(&path, Contexts::to_hcl("local", &context(addresses)))
        .map_err(|error| CommandError::Other(format!("{}: {error}", path.display())))?;
    Ok(path)
}

/// Runs a local cluster until it is interrupted.
pub(super) fn run_up(args: &UpArgs) -> Result<(), CommandError> {
    let config = cluster_config(args)?;
    let folder = config.folder.clone();
    let cluster = LocalCluster::open(config)?;
    let contexts = write_contexts(&folder, cluster.addresses())?;
    println!("local cluster in {}, with its logs and outputs", folder.display());
    println!("controllers: {}", join_addresses(&cluster.addresses().controllers));
    println!(
        "CPU and memory are accounted, not enforced. Ctrl-C stops all processes; the same command resumes the cluster."
    );
    if !contexts.ends_with(".latch/contexts.hcl") {
        println!("export LATCH_CONTEXTS={}", contexts.display());
    }
    cluster.run()?;
    println!("stopped");
    Ok(())
}

fn join_addresses(addresses: &[std::net::SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
#[path = "../tests/up.rs"]
mod tests;
