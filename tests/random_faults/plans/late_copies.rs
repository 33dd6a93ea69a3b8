//! Plans in which answered direct commands arrive once more.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::zones;
use crate::faults::{RECOVERY_LINES, overlapping_faults};
use crate::plan::{FaultPlan, TimedLines, lines};

/// Turns the fault on: the share of the answered commands that are copied, and the delays of the copies in seconds.
const COPY_COMMANDS: &str = "direct-commands duplicated 0.3 0.5 2 7 31 61 125";
/// The interval at which the fault is turned on again, because other faults of direct commands turn it off.
const COPY_INTERVAL_MS: u64 = 5_000;
/// Time after which every copy has arrived, in seconds.
const LAST_COPY_S: u64 = 130;

/// Numbers of the long jobs, each of which users cancel at a random time.
const LONG_JOBS: std::ops::Range<usize> = 30..36;
/// Numbers of the urgent gangs, which preempt other tasks.
const URGENT_JOBS: std::ops::Range<usize> = 10..14;
/// A job whose tasks fail, and move from machine to machine, until a random time.
const FAILING_JOB: usize = 4;

/// Copies of answered direct commands arrive up to two minutes late, while tasks fail, are preempted, cancelled and
/// done, and other faults overlap.
pub fn late_copies_plan(seed: u64) -> FaultPlan {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc0b1e5);
    let controller_count = if seed % 3 == 0 { 5 } else { 3 };
    let mut setup = lines(&["team core max=16", "team guest max=14", "team long max=4"]);
    setup.push("machine-type small cpus=4 boot=2 count=7 zones=a,b".into());
    setup.push(format!("controllers {}", zones(controller_count)));
    setup.extend(lines(&[
        "until 6 leader = any",
        COPY_COMMANDS,
        "submit 1 tasks=40 run=9",
        "submit 2 gang tasks=3 cpus=3 run=25 checkpoint=4 together",
        "submit 3 tasks=12 run=30 checkpoint=5 team=guest urgency=low",
    ]));
    setup.push(format!("submit {FAILING_JOB} tasks=6 run=3 fails team=guest"));
    setup.extend(LONG_JOBS.map(|job| format!("submit {job} tasks=1 run=900 team=long")));
    setup.push("advance 14".into());
    let (faults, next_start_ms) = overlapping_faults(&mut rng, controller_count, 12_000);
    let user_actions_end_ms = next_start_ms + 30_000;
    let mut user_actions = TimedLines::new();
    for job in LONG_JOBS {
        user_actions.push((rng.random_range(0..user_actions_end_ms), format!("cancel {job}")));
    }
    for job in URGENT_JOBS {
        let line = format!("submit {job} gang tasks=2 cpus=4 run=5 urgency=high");
        user_actions.push((rng.random_range(0..user_actions_end_ms), line));
    }
    user_actions.push((rng.random_range(5_000..user_actions_end_ms), format!("stop-failures {FAILING_JOB}")));
    user_actions.extend(
        (0..user_actions_end_ms / COPY_INTERVAL_MS).map(|n| (n * COPY_INTERVAL_MS, COPY_COMMANDS.into())),
    );
    let mut final_checks = lines(&RECOVERY_LINES);
    final_checks.push(format!("advance {LAST_COPY_S}"));
    final_checks.extend(LONG_JOBS.map(|job| format!("until 60 withdrawn {job}")));
    final_checks.extend(
        [1, 2, 3, FAILING_JOB].into_iter().chain(URGENT_JOBS).map(|job| format!("until 400 done {job}")),
    );
    final_checks.extend(lines(&["advance 40", "expect leaders = 1", "expect tasks <= 0"]));
    FaultPlan { setup, faults, user_actions, final_checks }
}
