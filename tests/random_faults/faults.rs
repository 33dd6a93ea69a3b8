//! Random faults of controllers, machines, messages, the key-value store and the cloud.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::plan::TimedLines;

/// Returns a fault that starts with the lines `start` and ends with the lines `end` after `duration_ms`.
fn lasting_fault(start: &[&str], duration_ms: u64, end: &[&str]) -> TimedLines {
    let start = start.iter().map(|line| (0, (*line).to_string()));
    start.chain(end.iter().map(|line| (duration_ms, (*line).to_string()))).collect()
}

pub fn pick_one<'a>(rng: &mut SmallRng, choices: &[&'a str]) -> &'a str {
    choices[rng.random_range(0..choices.len())]
}

/// Kills a controller and starts it again, without its in-memory state, after `downtime_ms`.
fn kill_and_restart(controller: &str, downtime_ms: u64) -> TimedLines {
    vec![(0, format!("kill {controller}")), (downtime_ms, "start-all".into())]
}

fn delayed(fault: TimedLines, delay_ms: u64) -> TimedLines {
    fault.into_iter().map(|(offset_ms, line)| (offset_ms + delay_ms, line)).collect()
}

const FAULT_DURATIONS_MS: [u64; 7] = [300, 1_000, 3_000, 6_000, 15_000, 30_000, 60_000];

/// Returns a fault in which controllers are killed and started again within a second, alone or during another fault.
pub fn random_quick_restart(rng: &mut SmallRng, controller_count: usize) -> TimedLines {
    let controller = format!("n{}", rng.random_range(0..controller_count));
    let downtime_ms = [20, 40, 100, 200, 500, 1000][rng.random_range(0..6)];
    let kill_at_ms = rng.random_range(100..6_000);
    let restart_during = |start: &[&str], end: &[&str]| {
        let mut fault = lasting_fault(start, kill_at_ms + downtime_ms + 20, end);
        fault.extend(delayed(kill_and_restart(&controller, downtime_ms), kill_at_ms));
        fault.sort_by_key(|(offset_ms, _)| *offset_ms);
        fault
    };
    match rng.random_range(0..12) {
        0..=3 => kill_and_restart(&controller, downtime_ms),
        4 => lasting_fault(&["kill n0", "kill n1"], downtime_ms, &["start-all"]),
        5 => (0..controller_count as u64)
            .flat_map(|index| {
                delayed(kill_and_restart(&format!("n{index}"), downtime_ms), index * (downtime_ms + 20))
            })
            .collect(),
        6 => restart_during(&["txns response-lost"], &["txns normal"]),
        7 => restart_during(
            &["txns held"],
            &[if rng.random_bool(0.5) { "deliver-held" } else { "drop-held" }, "txns normal"],
        ),
        8 => restart_during(&["peer-messages held"], &["peer-messages normal", "deliver-held"]),
        9 => restart_during(&["direct-commands held"], &["direct-commands normal", "deliver-held"]),
        10 => restart_during(&["kv-outage on"], &["kv-outage off"]),
        _ => {
            let link = pick_one(rng, &["kv", "workers", "peers", "all"]);
            restart_during(&[&format!("cut {controller} {link}")], &[&format!("restore {link}")])
        }
    }
}

/// Returns a fault of a kind that `random_quick_restart` does not cover.
pub fn random_fault(rng: &mut SmallRng, controller_count: usize) -> TimedLines {
    let duration_ms = FAULT_DURATIONS_MS[rng.random_range(0..FAULT_DURATIONS_MS.len())];
    let host = format!("host-{:06}", rng.random_range(0..6));
    let other = format!("host-{:06}", rng.random_range(0..6));
    let controller = pick_one(rng, &["leader?", "n0", "n1", "n2"]);
    match rng.random_range(0..22) {
        0 => kill_and_restart("leader?", [40, 200, 1_000, 6_000][rng.random_range(0..4)]),
        1 => {
            let mut fault: TimedLines =
                (0..controller_count).map(|index| (0, format!("kill n{index}"))).collect();
            fault.extend([(500, "start n0".into()), (6_000, "start-all".into())]);
            fault
        }
        2 => lasting_fault(&[&format!("cut {controller} kv")], duration_ms, &["restore kv"]),
        3 => lasting_fault(
            &[&format!("cut {controller} kv"), &format!("cut {controller} peers")],
            duration_ms,
            &["restore kv", "restore peers"],
        ),
        4 => lasting_fault(&[&format!("cut {controller} all")], duration_ms, &["restore all"]),
        5 => lasting_fault(&[&format!("cut {controller} workers")], duration_ms, &["restore workers"]),
        6 => lasting_fault(
            &[&format!("cut {controller} change-polls")],
            duration_ms,
            &["restore change-polls"],
        ),
        7 => lasting_fault(&["kv-outage on"], duration_ms, &["kv-outage off"]),
        8 => lasting_fault(
            &[&format!("kv-delay {}", pick_one(rng, &["0.1", "0.4", "0.9", "1.3", "variable"]))],
            duration_ms,
            &["kv-delay none"],
        ),
        9 => lasting_fault(
            &[&format!("txns delayed {}", pick_one(rng, &["2", "4", "7", "12"]))],
            duration_ms.min(15_000),
            &["txns normal"],
        ),
        10 => lasting_fault(&["txns response-lost"], duration_ms.min(6_000), &["txns normal"]),
        11 => lasting_fault(&["copy-heartbeats 2 7 15 31 50"], duration_ms, &["copy-heartbeats none"]),
        12 => lasting_fault(
            &[&format!("receive-path-down {host} {other}")],
            duration_ms,
            &["receive-path-down none"],
        ),
        13 => lasting_fault(&["receive-path-down all"], duration_ms.min(15_000), &["receive-path-down none"]),
        14 => lasting_fault(
            &[&format!("hang {host}"), &format!("hang {other}")],
            duration_ms,
            &[&format!("resume {host}"), &format!("resume {other}")],
        ),
        15 => lasting_fault(
            &["direct-commands held"],
            duration_ms.min(15_000),
            &["direct-commands normal", "deliver-held"],
        ),
        16 => lasting_fault(&["peer-messages held"], duration_ms, &["peer-messages normal", "deliver-held"]),
        17 => {
            lasting_fault(&[&format!("send-path-down {host} {other}")], duration_ms, &["send-path-down none"])
        }
        18 => lasting_fault(&["send-path-down all"], duration_ms.min(15_000), &["send-path-down none"]),
        19 => lasting_fault(&["copy-heartbeats to-next-leader"], duration_ms, &["copy-heartbeats none"]),
        20 => lasting_fault(
            &[&format!("cloud-delay {}", pick_one(rng, &["1", "2.5", "9"]))],
            duration_ms,
            &["cloud-delay none"],
        ),
        _ => lasting_fault(&[&format!("freeze {controller}")], duration_ms, &["thaw"]),
    }
}

/// Ends every fault that may still be in effect, waits for a leader, and turns on the check of jobs that wait without a
/// reason.
pub const RECOVERY_LINES: [&str; 18] = [
    "heal",
    "kv-outage off",
    "kv-delay none",
    "txns normal",
    "peer-messages normal",
    "direct-commands normal",
    "copy-heartbeats none",
    "receive-path-down none",
    "send-path-down none",
    "cloud-delay none",
    "resume host-000000",
    "resume host-000001",
    "resume host-000002",
    "resume host-000003",
    "thaw",
    "start-all",
    "until 30 leader = any",
    "check-waiting",
];

/// Returns two or three faults with their start times in ms, each less than `max_gap_ms` after the previous one, and
/// the time at which the next fault would start.
pub fn overlapping_faults(
    rng: &mut SmallRng,
    controller_count: usize,
    max_gap_ms: u64,
) -> (Vec<(u64, TimedLines)>, u64) {
    let mut faults = Vec::new();
    let mut start_ms = 0;
    for _ in 0..rng.random_range(2..4) {
        let is_quick_restart = rng.random_range(0..5) == 0;
        let fault = if is_quick_restart {
            random_quick_restart(rng, controller_count)
        } else {
            random_fault(rng, controller_count)
        };
        faults.push((start_ms, fault));
        start_ms += rng.random_range(0..max_gap_ms);
    }
    (faults, start_ms)
}
