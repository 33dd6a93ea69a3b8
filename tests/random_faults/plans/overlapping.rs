//! Plans in which several faults overlap.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::zones;
use crate::faults::{RECOVERY_LINES, overlapping_faults};
use crate::plan::{FaultPlan, TimedLines, lines};

/// Two or three overlapping faults, with jobs of every shape, long tasks, cancellations and polls.
pub fn overlapping_faults_plan(seed: u64) -> FaultPlan {
    /// Numbers of the long jobs, each of which users cancel at a random time.
    const LONG_JOBS: std::ops::Range<usize> = 30..36;
    /// Numbers of the jobs that are cancelled as their last task ends.
    const CANCELLED_AT_END: [usize; 3] = [20, 40, 60];
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let controller_count = if seed % 3 == 0 { 5 } else { 3 };
    let mut setup = lines(&["team core max=16", "team guest max=14", "team single max=1", "team long max=4"]);
    let boot = ["0.5", "1", "4"][rng.random_range(0..3)];
    setup.push(format!("machine-type small cpus=4 boot={boot} count=7 zones=a,b"));
    setup.push(format!("controllers {}", zones(controller_count)));
    setup.extend(lines(&[
        "until 6 leader = any",
        "submit 1 tasks=30 run=9",
        "submit 2 gang tasks=3 cpus=3 run=25 checkpoint=4 together",
        "submit 3 tasks=12 run=30 team=guest",
        "submit 5 tasks=3 run=17 team=single",
        "submit 6 tasks=2 run=40 team=guest",
        "submit 7 service tasks=3 scatter team=guest",
        "submit 8 gang tasks=2 cpus=2 run=60 checkpoint=10 team=guest",
    ]));
    setup.extend(LONG_JOBS.map(|job| format!("submit {job} tasks=1 run=900 team=long")));
    setup.push("advance 16".into());
    // Two polls of a job may be in flight at the same time, at different controllers.
    setup.extend([1, 2, 3, 5, 6, 8].map(|job| format!("poll-rate {job} 1")));
    setup.extend(lines(&["concurrent-polls on", "cancel-at-end 20"]));
    if seed % 4 == 1 {
        setup.push("kv-delay variable".into());
    }
    let (faults, next_start_ms) = overlapping_faults(&mut rng, controller_count, 8_000);
    let user_actions_end_ms = next_start_ms + 20_000;
    let mut user_actions = TimedLines::new();
    for job in LONG_JOBS {
        user_actions.push((rng.random_range(0..user_actions_end_ms), format!("cancel {job}")));
    }
    for job in (10..16).chain(CANCELLED_AT_END) {
        user_actions.push((rng.random_range(0..user_actions_end_ms), format!("submit {job} tasks=2 run=2")));
    }
    let mut final_checks = lines(&RECOVERY_LINES);
    let done_at_end = [1, 2, 3, 5, 6, 8, 10, 11, 12, 13, 14, 15];
    let polled = done_at_end.map(|job| job.to_string()).join(" ");
    final_checks.push(format!("until 75 recently-answered 7 {polled}"));
    final_checks.extend(LONG_JOBS.map(|job| format!("until 60 withdrawn {job}")));
    final_checks.extend(done_at_end.map(|job| format!("until 400 done {job}")));
    final_checks.extend(CANCELLED_AT_END.map(|job| format!("until 60 ended {job}")));
    final_checks.extend(lines(&[
        "cancel 7",
        "until 60 withdrawn 7",
        "advance 40",
        "expect leaders = 1",
        "expect tasks <= 0",
    ]));
    FaultPlan { setup, faults, user_actions, final_checks }
}
