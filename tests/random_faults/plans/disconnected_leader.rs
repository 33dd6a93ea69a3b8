//! Plans in which the leader alone loses the key-value store, and then every controller does.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::faults::RECOVERY_LINES;
use crate::plan::{FaultPlan, TimedLines, lines};

/// Worker timings, in seconds: heartbeat interval, lease duration, and deadline of a cancellation.
pub const WORKER_TIMINGS: [[&str; 3]; 3] = [["2", "12", "32"], ["5", "26.5", "46.5"], ["5", "36", "61"]];
/// Times in ms from the moment when the leader loses the kv store to the outage for all controllers. Some are too short
/// for another controller to become leader in between, the others are not.
pub const OUTAGE_DELAYS_MS: [u64; 6] = [100, 1_000, 3_700, 4_300, 5_500, 10_000];

/// Only the leader loses the kv store, and other controllers confirm cancellations. Then the kv store is down for all
/// controllers for longer than the cancellation deadline, while workers keep sending heartbeats to the former leader.
/// `timings` is an index in `WORKER_TIMINGS`.
pub fn disconnected_leader_plan(timings: usize, outage_delay_ms: u64, rng: &mut SmallRng) -> FaultPlan {
    let [heartbeat_s, lease_s, cancel_s] = WORKER_TIMINGS[timings];
    let mut setup =
        vec![format!("settings workers report_s={heartbeat_s} lease_s={lease_s} cancel_s={cancel_s}")];
    setup.extend(lines(&["team long", "machine-type small cpus=4 boot=4 count=5", "controllers a a a"]));
    // Every monotonic clock is off by 500 ppm, the most that the lease timings allow for, and the wall clock of n0 is
    // 20 ms ahead of the others.
    let sign = if rng.random_bool(0.5) { "" } else { "-" };
    for index in 0..3 {
        setup.push(format!("clock n{index} {sign}500 {}", if index == 0 { "10" } else { "-10" }));
    }
    setup.extend(lines(&["until 6 leader = any"]));
    setup.extend((1..=8).map(|job| format!("submit {job} tasks=2 run=900 team=long")));
    setup.extend(lines(&["until 30 running 8 >= 2", "until 30 running 1 >= 2"]));
    setup.push(format!("advance {}", f64::from(rng.random_range(20..2_000)) / 1000.0));
    let mut fault = vec![(0, "cut leader kv".to_string())];
    if rng.random_bool(0.5) {
        fault.push((0, "cut leader peers".into()));
    }
    if rng.random_bool(0.5) {
        // The next leader's direct commands do not reach the machines.
        fault.push((0, "cut all direct-commands".into()));
    }
    // Cancellations at the first and the last moment and two in between, through each of the two other controllers.
    let last_ms = outage_delay_ms.saturating_sub(60);
    let cancel_times_ms = [0, last_ms, rng.random_range(0..last_ms + 1), rng.random_range(0..last_ms + 1)];
    for (job, at_ms) in (1..).zip(cancel_times_ms) {
        fault.push((at_ms, format!("cancel {job} via={}", if job % 2 == 0 { "first" } else { "second" })));
    }
    fault.sort_by_key(|(at_ms, _)| *at_ms);
    fault.push((outage_delay_ms, "kv-outage on".into()));
    // A cancellation is confirmed only once a leader that may not have read it can no longer start tasks.
    fault.push((outage_delay_ms.max(2_700), "expect reported-cancelled >= 1".into()));
    let cancel_deadline_ms = cancel_s.parse::<f64>().expect("seconds") * 1000.0;
    let outage_end_ms = outage_delay_ms + cancel_deadline_ms as u64 + rng.random_range(1_000..25_000);
    fault.push((outage_end_ms, "kv-outage off".into()));
    let mut final_checks = lines(&RECOVERY_LINES);
    final_checks.extend((1..=4).map(|job| format!("until 60 withdrawn {job}")));
    final_checks.extend(lines(&["until 75 recently-answered 5 6 7 8", "until 240 running 8 >= 2"]));
    final_checks.extend((5..=8).map(|job| format!("cancel {job}")));
    final_checks.extend(lines(&["until 60 tasks <= 0", "expect leaders = 1"]));
    FaultPlan { setup, faults: vec![(0, fault)], user_actions: TimedLines::new(), final_checks }
}
