//! Plans with jobs that need different things of a machine, some of which only a few machines can give.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::zones;
use crate::faults::{RECOVERY_LINES, overlapping_faults, pick_one};
use crate::plan::{FaultPlan, TimedLines, lines};

/// Numbers of the jobs whose tasks end by themselves.
const FINITE_JOBS: std::ops::Range<usize> = 10..28;
/// Numbers of the services.
const SERVICES: std::ops::Range<usize> = 30..34;
/// Numbers of the jobs whose tasks fail everywhere until a random time.
const FAILING_JOBS: std::ops::Range<usize> = 40..43;
/// Time after the last fault in which every job starts or ends, in seconds: the longest delay of a rental for a job that
/// has failed often, and the time to rent, boot and run.
const COMPLETION_S: u64 = 900;

/// Arrays, gangs and services of different sizes, with estimates that are far off, on machines of which some fail all
/// tasks, while other faults overlap. Every job must run in the end.
pub fn mixed_needs_plan(seed: u64) -> FaultPlan {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x3a1d);
    let controller_count = if seed % 3 == 0 { 5 } else { 3 };
    let mut setup = lines(&["team core", "team guest max=24", "objective soon 90"]);
    let initial = rng.random_range(0..4);
    setup.push("machine-type small cpus=4 memory=16 boot=3 count=9 zones=a,b".into());
    setup.push("machine-type large cpus=16 memory=24 boot=6 count=3 zones=a,b fetch=0.1".into());
    setup.push(format!("controllers {}", zones(controller_count)));
    setup.push("until 6 leader = any".into());
    if initial > 0 {
        setup.push(format!("machines small a {initial}"));
    }
    setup.push("advance 8".into());
    let (faults, next_start_ms) = overlapping_faults(&mut rng, controller_count, 12_000);
    let user_actions_end_ms = next_start_ms + 40_000;
    let mut user_actions = TimedLines::new();
    let mut act = |rng: &mut SmallRng, line: String| {
        user_actions.push((rng.random_range(0..user_actions_end_ms), line));
    };
    for job in FINITE_JOBS {
        let line = format!("submit {job} {}", random_finite_job(&mut rng));
        act(&mut rng, line);
    }
    for job in SERVICES {
        let line = format!("submit {job} service {}", random_service(&mut rng));
        act(&mut rng, line);
    }
    for job in FAILING_JOBS {
        let line = format!("submit {job} fails {}", random_finite_job(&mut rng));
        act(&mut rng, line);
    }
    for _ in 0..rng.random_range(0..4) {
        let line = format!("fail-tasks-anywhere {}", rng.random_range(0..20));
        act(&mut rng, line);
    }
    let repairs = rng.random_bool(0.5);
    let mut final_checks = lines(&RECOVERY_LINES);
    final_checks.extend(FAILING_JOBS.map(|job| format!("stop-failures {job}")));
    if repairs {
        final_checks.push("repair-machines".into());
    }
    final_checks
        .extend(FINITE_JOBS.chain(FAILING_JOBS).map(|job| format!("until {COMPLETION_S} done {job}")));
    final_checks.extend(SERVICES.map(|job| format!("until {COMPLETION_S} running {job} >= 1")));
    final_checks.extend(SERVICES.map(|job| format!("cancel {job}")));
    final_checks.extend(SERVICES.map(|job| format!("until 60 withdrawn {job}")));
    final_checks.extend(lines(&["advance 40", "expect leaders = 1", "expect tasks <= 0"]));
    FaultPlan { setup, faults, user_actions, final_checks }
}

/// Returns the arguments of an array or a gang.
fn random_finite_job(rng: &mut SmallRng) -> String {
    let shape = pick_one(
        rng,
        &[
            "tasks=1 cpus=1",
            "tasks=6 cpus=1",
            "tasks=3 cpus=3",
            "tasks=2 cpus=4 memory=2",
            "tasks=3 cpus=1 memory=12",
            "tasks=2 cpus=0.5 memory=20",
            "tasks=2 cpus=10 memory=20",
            "tasks=40 cpus=0.1 memory=0.1",
            "tasks=5 cpus=2 together",
            "tasks=4 cpus=2 scatter",
            "gang tasks=1 cpus=4",
            "gang tasks=3 cpus=2 memory=7 together",
            "gang tasks=4 cpus=3",
            "gang tasks=4 cpus=1 scatter",
            "gang tasks=1 cpus=12 memory=20",
        ],
    );
    let run_s = [1, 3, 8, 20, 45][rng.random_range(0..5)];
    // Estimates are right, far too low or far too high.
    let estimate = match rng.random_range(0..3) {
        0 => String::new(),
        1 => format!(" estimate={}", f64::from(run_s) / 20.0),
        _ => format!(" estimate={}", run_s * 20),
    };
    let owner = pick_one(rng, &["team=core class=soon", "team=core", "team=guest class=sweep", "team=guest"]);
    let urgency = pick_one(rng, &["low", "normal", "normal", "high"]);
    let image = pick_one(rng, &["", " image=big size=1.5"]);
    format!("{shape} run={run_s}{estimate} {owner} urgency={urgency}{image}")
}

/// Returns the arguments of a service.
fn random_service(rng: &mut SmallRng) -> String {
    let shape = pick_one(
        rng,
        &[
            "tasks=1 cpus=3",
            "tasks=1 cpus=1 memory=13",
            "tasks=2 cpus=2",
            "tasks=2 cpus=1 scatter",
            "tasks=1 cpus=14",
        ],
    );
    format!("{shape} team=core urgency={}", pick_one(rng, &["low", "normal"]))
}
