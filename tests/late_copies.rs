//! A direct start command was executed and answered, and a copy of it arrives once its task has left the machine, in
//! virtual time. Each test covers one way to leave. The copy arrives under the same leader, after the leader's process
//! was restarted, under a leader of which the worker has not heard, and after the machine hung or was cut off.

mod simulation;

use simulation::SimulatedCluster;

/// What happens between the worker's last message and the copy: its name and lines of a scenario. Every machine is
/// reachable again afterwards.
const DISTURBANCES: [(&str, &[&str]); 5] = [
    ("the leader is unchanged", &[]),
    ("the leader's process was restarted", &["restart leader 0.5", "until 10 leader = any"]),
    (
        "the worker has not heard of the new leader",
        &["receive-path-down host-000000", "kill leader", "until 10 leader = any", "advance 0.5"],
    ),
    ("the machine hung", &["hang host-000000", "advance 1", "resume host-000000"]),
    (
        "the machine was cut off",
        &[
            "receive-path-down host-000000",
            "send-path-down host-000000",
            "advance 1",
            "receive-path-down none",
            "send-path-down none",
        ],
    ),
];

/// One machine, whose image is cached, so that a task starts there at once.
const SETUP: [&str; 9] = [
    "tunable idle_s 600",
    "team core",
    "machine-type small cpus=4 boot=5 count=0",
    "controllers a b c",
    "until 5 leader = any",
    "machine small a",
    "advance 6",
    "submit 90 tasks=1 cpus=4 run=1",
    "until 20 done 90",
];

fn run(lines: impl Iterator<Item = String>) -> Result<(), String> {
    let mut cluster = SimulatedCluster::new();
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        cluster.run_action(&words).map_err(|problem| format!("{line}: {problem}"))?;
    }
    Ok(())
}

/// Runs a scenario with each disturbance: `leave` starts a task of job 1 on host-000000, keeps a copy of its start
/// command, and makes the task leave; `checks` follow the delivery of the copy.
fn check_late_copy(leave: &[&str], checks: &[&str]) {
    let mut failures = Vec::new();
    for (name, disturbance) in DISTURBANCES {
        let delivery = ["deliver-held", "advance 0.1"];
        let parts = [&SETUP[..], &["direct-commands duplicated"], leave, disturbance, &delivery, checks];
        let lines = parts.into_iter().flatten().map(|line| (*line).to_string());
        if let Err(problem) = run(lines) {
            failures.push(format!("{name}: {problem}"));
        }
    }
    assert!(failures.is_empty(), "{} cases failed:\n{}", failures.len(), failures.join("\n"));
}

const RECOVERY: [&str; 3] = ["receive-path-down none", "start-all", "advance 5"];

#[test]
fn a_failed_task_that_moved_does_not_run_twice() {
    let leave = [
        "fail-tasks host-000000",
        "submit 1 tasks=1 cpus=4 run=60",
        "until 10 attempts 1 >= 1",
        "direct-commands normal",
        "machine small a",
        "until 20 tasks-on host-000001 >= 1",
        "advance 6",
    ];
    check_late_copy(&leave, &[&RECOVERY[..], &["until 120 done 1"]].concat());
}

#[test]
fn a_preempted_task_that_moved_does_not_run_twice() {
    let leave = [
        "submit 1 tasks=1 cpus=4 run=90 urgency=low",
        "until 10 running 1 >= 1",
        "direct-commands normal",
        "submit 2 gang tasks=1 cpus=4 run=3 urgency=high",
        "until 10 running 2 >= 1",
        "machine small a",
        "until 20 tasks-on host-000001 >= 1",
        "until 20 done 2",
        "advance 6",
        "expect running 1 >= 1",
    ];
    check_late_copy(&leave, &[&RECOVERY[..], &["until 200 done 1"]].concat());
}

#[test]
fn a_task_cancelled_longer_than_its_deadline_ago_does_not_start() {
    let leave = [
        "submit 1 tasks=1 cpus=4 run=900",
        "until 10 running 1 >= 1",
        "direct-commands normal",
        "cancel 1",
        "until 10 withdrawn 1",
        // The deadline is 32 s after the confirmation.
        "advance 40",
    ];
    let no_start = ["expect started-after-cancel <= 0", "expect running 1 <= 0"];
    check_late_copy(&leave, &[&no_start[..], &RECOVERY].concat());
}

#[test]
fn a_task_that_is_done_does_not_start_again() {
    let leave = [
        "submit 1 tasks=1 cpus=4 run=3",
        "until 10 running 1 >= 1",
        "direct-commands normal",
        "until 20 done 1",
        "advance 6",
    ];
    check_late_copy(&leave, &[&["expect starts 1 = 1"][..], &RECOVERY].concat());
}

#[test]
fn a_gang_member_that_moved_does_not_run_twice() {
    let leave = [
        "machine small a",
        "advance 6",
        "submit 1 gang tasks=2 cpus=4 run=90 checkpoint=2 save=1",
        "until 20 running 1 >= 2",
        "direct-commands normal",
        "advance 3",
        "machine small a",
        "advance 6",
        "reclaim-notice host-000000 900",
        "until 20 tasks-on host-000002 >= 1",
        "advance 6",
        "expect running 1 >= 2",
    ];
    check_late_copy(&leave, &[&RECOVERY[..], &["until 200 done 1"]].concat());
}
