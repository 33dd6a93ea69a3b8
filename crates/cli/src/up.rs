//! `latch up`: a region on this machine.

use std::path::{Path, PathBuf};

use olivelatch::tunables::Tunables;
use olivelatch_client::{Context, Contexts};
use olivelatch_region::{ControllerPlan, KindSpec, Plan, Region, Shape};

use crate::args::Up;
use crate::exit::Failure;

/// What the controllers are told unless a file says otherwise.
const TUNABLES: &str = "\
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

fn usage(text: String) -> Failure {
    Failure::Usage(text)
}

fn read_team(text: &str) -> Result<(String, f64, f64), Failure> {
    let wrong = || usage(format!("--team: expected NAME=CPUS:MOST like office=2:4, not {text:?}"));
    let (name, shares) = text.split_once('=').filter(|(name, _)| !name.is_empty()).ok_or_else(wrong)?;
    let (guaranteed, most) = shares.split_once(':').ok_or_else(wrong)?;
    let number = |text: &str| text.parse::<f64>().ok().filter(|n| (0.0..=1e6).contains(n)).ok_or_else(wrong);
    Ok((name.into(), number(guaranteed)?, number(most)?))
}

/// The controllers' program: latch itself, unless another is named.
fn controller_plan(args: &Up) -> Result<ControllerPlan, Failure> {
    let tunables = match &args.tunables {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| usage(format!("{}: {error}", path.display())))?
        }
        None => TUNABLES.into(),
    };
    let named = args.tunables.as_ref().map_or("tunables".into(), |path| path.display().to_string());
    Tunables::parse(&named, &tunables).map_err(|error| usage(error.to_string()))?;
    let itself =
        || std::env::current_exe().map_err(|error| Failure::Other(format!("finding latch itself: {error}")));
    let (program, arguments) = match &args.controller {
        Some(program) => (program.clone(), vec!["serve".into()]),
        None => (itself()?, vec!["controller".into(), "serve".into()]),
    };
    Ok(ControllerPlan { program, arguments, tunables, log_level: args.log_level.clone() })
}

pub fn shape(args: &Up) -> Result<Shape, Failure> {
    if !(1..=9).contains(&args.controllers) || !(1..=200).contains(&args.machines) {
        return Err(usage("expected 1 to 9 controllers and 1 to 200 machines".into()));
    }
    if !(args.cpus > 0.0 && args.memory_gb > 0.0) {
        return Err(usage("expected CPUs and memory of a machine above 0".into()));
    }
    let kind = KindSpec {
        name: "local".into(),
        cpus: args.cpus,
        memory: args.memory_gb,
        gpus: 0.0,
        fetch: 100.0,
        boot_s: 0.05,
        zones: vec!["here".into()],
        count: args.machines,
        spot: 0,
    };
    let teams = args.teams.iter().map(|team| read_team(team)).collect::<Result<_, _>>()?;
    let folder = std::path::absolute(&args.state).unwrap_or_else(|_| args.state.clone());
    Ok(Shape { folder, controllers: args.controllers, kinds: vec![kind], teams, how: controller_plan(args)? })
}

pub fn context(plan: &Plan) -> Context {
    Context { controllers: plan.controllers.clone(), desk: Some(plan.desk) }
}

/// Writes the file that clients find the region by.
pub fn write_contexts(folder: &Path, plan: &Plan) -> Result<PathBuf, Failure> {
    let path = folder.join("contexts.hcl");
    std::fs::write(&path, Contexts::text("local", &context(plan)))
        .map_err(|error| Failure::Other(format!("{}: {error}", path.display())))?;
    Ok(path)
}

pub fn up(args: &Up) -> Result<(), Failure> {
    let shape = shape(args)?;
    let folder = shape.folder.clone();
    let region = Region::open(shape)?;
    let contexts = write_contexts(&folder, region.plan())?;
    println!("region in {}; logs and outputs are there too", folder.display());
    println!("controllers: {}", list(&region.plan().controllers));
    println!(
        "CPU and memory are accounted, not enforced. Ctrl-C ends all that was started; the same command goes on."
    );
    if !contexts.ends_with(".latch/contexts.hcl") {
        println!("export LATCH_CONTEXTS={}", contexts.display());
    }
    region.run()?;
    println!("ended");
    Ok(())
}

fn list(addresses: &[std::net::SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
#[path = "tests/up.rs"]
mod tests;
