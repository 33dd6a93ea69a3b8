//! Plans in which controllers restart quickly.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::zones;
use crate::faults::{RECOVERY_LINES, random_quick_restart};
use crate::plan::{FaultPlan, TimedLines, lines};

/// Controllers are killed and quickly started again, in one fault after the other.
pub fn restart_plan(seed: u64) -> FaultPlan {
    const FAULT_COUNT: usize = 14;
    let mut rng = SmallRng::seed_from_u64(seed);
    let controller_count = if seed % 2 == 0 { 3 } else { 5 };
    let mut setup =
        lines(&["team core max=14", "team guest", "machine-type small cpus=4 boot=4 count=4 zones=a,b"]);
    setup.push(format!("controllers {}", zones(controller_count)));
    setup.extend(lines(&[
        "until 6 leader = any",
        "submit 1 tasks=30 run=9",
        "submit 2 gang tasks=3 cpus=3 run=12 checkpoint=4 together",
        "submit 3 tasks=12 run=15 team=guest",
        "submit 4 tasks=400 run=50 team=guest",
        "advance 8",
    ]));
    let mut faults = Vec::new();
    let mut start_ms = 0;
    for index in 0..FAULT_COUNT {
        let mut fault = random_quick_restart(&mut rng, controller_count);
        let duration_ms = fault.iter().map(|(offset_ms, _)| *offset_ms).max().unwrap_or(0);
        // Submits during the fault, so that some responses that accept a job are lost in flight.
        fault.insert(fault.len().min(1), (0, format!("submit {} tasks=2 run=2", 10 + index)));
        match index {
            4 => fault.push((duration_ms, "submit 5 tasks=6 run=3 team=guest".into())),
            8 => fault.push((duration_ms, "cancel 4".into())),
            _ => {}
        }
        faults.push((start_ms, fault));
        start_ms += duration_ms + rng.random_range(20..4_000);
    }
    let mut final_checks = lines(&RECOVERY_LINES);
    final_checks.extend(lines(&["until 60 withdrawn 4", "until 90 tasks <= 30"]));
    let jobs = [1, 2, 3, 5].into_iter().chain((0..FAULT_COUNT).map(|index| 10 + index));
    final_checks.extend(jobs.map(|job| format!("until 400 done {job}")));
    final_checks.extend(lines(&["advance 40", "expect leaders = 1", "expect tasks <= 0"]));
    FaultPlan { setup, faults, user_actions: TimedLines::new(), final_checks }
}
