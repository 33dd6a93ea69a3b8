//! Plans in which team limits change.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::zones;
use crate::faults::{RECOVERY_LINES, overlapping_faults, pick_one};
use crate::plan::{FaultPlan, TimedLines, lines};

/// Team limits change while faults overlap. The simulated cluster checks each task start against the limit in force at
/// that moment.
pub fn limit_changes_plan(seed: u64) -> FaultPlan {
    const CHANGES: usize = 12;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x11317);
    let controller_count = if seed % 3 == 0 { 5 } else { 3 };
    let mut setup = lines(&[
        "team core max=16",
        "team guest max=14",
        "machine-type small cpus=4 boot=3 count=8 zones=a,b",
    ]);
    setup.push("config".into());
    setup.push(format!("controllers {}", zones(controller_count)));
    setup.extend(lines(&[
        "until 6 leader = any",
        "submit 1 tasks=150 run=4",
        "submit 2 tasks=60 run=9 team=guest",
        "submit 3 gang tasks=3 cpus=2 run=15 checkpoint=4",
        "advance 8",
    ]));
    let (faults, next_start_ms) = overlapping_faults(&mut rng, controller_count, 12_000);
    let user_actions_end_ms = next_start_ms + 20_000;
    let mut user_actions = TimedLines::new();
    for change in 0..CHANGES {
        let team = pick_one(&mut rng, &["core", "guest"]);
        let at_ms = rng.random_range(0..user_actions_end_ms);
        user_actions.push((at_ms, format!("set-config c{change} {team} limit={}", rng.random_range(1..14))));
    }
    user_actions.push((rng.random_range(0..user_actions_end_ms), "cancel 2".into()));
    user_actions.sort();
    let mut final_checks = lines(&RECOVERY_LINES);
    final_checks.extend((0..CHANGES).map(|change| format!("until 60 config settled c{change}")));
    final_checks.extend(lines(&[
        "set-config last core",
        "until 10 config in-force last",
        "until 60 withdrawn 2",
    ]));
    final_checks.extend(lines(&["until 900 done 1", "until 300 done 3", "advance 40", "expect tasks <= 0"]));
    FaultPlan { setup, faults, user_actions, final_checks }
}
