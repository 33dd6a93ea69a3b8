//! Random fault plans, generated from seeds, with several controllers and with users that submit, poll and cancel jobs
//! during the faults. They guard against:
//! - violations of the invariants and of the rules of the users' protocol, at any moment;
//! - polls of accepted jobs that are not answered within 75 s of the last fault;
//! - accepted jobs that wait for more than 90 s for nothing but the leader's next step, or do not finish, and the lack of a single leader at the end.
//!
//! A plan that fails is reduced to the faults that make it fail, and printed as a scenario.
//! `SEED=17 cargo test --test random_faults` runs only seed 17, `SEEDS=1000 ...` runs the first 1000 seeds.

mod faults;
mod plan;
mod plans;
#[path = "../simulation/mod.rs"]
mod simulation;

use plan::{FaultPlan, shrink};
use plans::disconnected_leader::{OUTAGE_DELAYS_MS, WORKER_TIMINGS, disconnected_leader_plan};
use plans::late_copies::late_copies_plan;
use plans::limit_changes::limit_changes_plan;
use plans::mixed_needs::mixed_needs_plan;
use plans::overlapping::overlapping_faults_plan;
use plans::restarts::restart_plan;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use simulation::SimulatedCluster;

/// Number of seeds that run if neither `SEED` nor `SEEDS` is set, as in CI. The result of a seed is always the same.
const DEFAULT_SEED_COUNT: u64 = 24;

fn environment_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok())
}

fn seeds() -> std::ops::Range<u64> {
    match environment_number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..environment_number("SEEDS").unwrap_or(DEFAULT_SEED_COUNT),
    }
}

fn check_plans(plans: impl Iterator<Item = (String, FaultPlan)>) {
    let mut longest_run_ms = 0;
    let mut failures = Vec::new();
    for (name, plan) in plans {
        match plan.run_in(SimulatedCluster::traced(&name)) {
            Ok(run_ms) => longest_run_ms = longest_run_ms.max(run_ms),
            Err(problem) => {
                let (plan, problem) = shrink(plan, problem);
                failures.push(format!("{name}: {problem}\n{}", plan.scenario_lines().join("\n")));
            }
        }
    }
    println!("the longest time that a task ran after its cancellation was reported: {longest_run_ms} ms");
    assert!(failures.is_empty(), "{} plans failed:\n{}", failures.len(), failures.join("\n\n"));
}

#[test]
fn the_invariants_hold_when_controllers_restart_quickly() {
    check_plans(seeds().map(|seed| (format!("flashes, seed {seed}"), restart_plan(seed))));
}

#[test]
fn the_invariants_hold_when_faults_overlap() {
    check_plans(seeds().map(|seed| (format!("meetings, seed {seed}"), overlapping_faults_plan(seed))));
}

#[test]
fn no_task_starts_above_a_limit_in_force_when_faults_overlap() {
    check_plans(seeds().map(|seed| (format!("limits, seed {seed}"), limit_changes_plan(seed))));
}

#[test]
fn no_task_runs_twice_when_answered_commands_arrive_again() {
    check_plans(seeds().map(|seed| (format!("copies, seed {seed}"), late_copies_plan(seed))));
}

#[test]
fn every_accepted_job_runs_once_the_faults_have_ended() {
    check_plans(seeds().map(|seed| (format!("needs, seed {seed}"), mixed_needs_plan(seed))));
}

/// Runs every seed with each set of worker timings. The first seeds use the delays of `OUTAGE_DELAYS_MS`, the others a
/// random delay.
#[test]
fn cancelled_tasks_stop_in_time_when_the_leader_cannot_reach_the_store() {
    for (timings, [_, lease_s, cancel_s]) in WORKER_TIMINGS.iter().enumerate() {
        println!("lease {lease_s} s, cancellation {cancel_s} s:");
        check_plans(seeds().map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed ^ 0xb11d);
            let delay_ms = match OUTAGE_DELAYS_MS.get(seed as usize) {
                Some(delay_ms) => *delay_ms,
                None => rng.random_range(80..15_000),
            };
            (
                format!("blind, seed {seed}, site {timings}, gap {delay_ms} ms"),
                disconnected_leader_plan(timings, delay_ms, &mut rng),
            )
        }));
    }
}
