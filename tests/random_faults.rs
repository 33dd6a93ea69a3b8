//! Random fault plans, generated from seeds, with several controllers and with users that submit, poll and cancel jobs
//! during the faults. They guard against:
//! - violations of the invariants and of the rules of the users' protocol, at any moment;
//! - polls of accepted jobs that are not answered within 75 s of the last fault;
//! - accepted jobs that do not finish, and the lack of a single leader at the end.
//!
//! A plan that fails is reduced to the faults that make it fail, and printed as a scenario.
//! `SEED=17 cargo test --test random_faults` runs only seed 17, `SEEDS=1000 ...` runs the first 1000 seeds.

mod simulation;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use simulation::SimulatedCluster;

/// Number of seeds that run if neither `SEED` nor `SEEDS` is set, as in CI. The result of a seed is always the same.
const DEFAULT_SEED_COUNT: u64 = 24;

/// Lines of a scenario, each with the time in ms at which it runs. In a fault, times count from the start of the fault.
type TimedLines = Vec<(u64, String)>;

/// The lines of a scenario: the setup, faults that may overlap, and the checks that follow them.
struct FaultPlan {
    setup: Vec<String>,
    /// Each fault with its start time, in ms since the end of the setup.
    faults: Vec<(u64, TimedLines)>,
    /// What users do during the faults, with times in ms since the end of the setup. Shrinking must keep it, because
    /// the final checks expect its jobs.
    user_actions: TimedLines,
    final_checks: Vec<String>,
}

impl FaultPlan {
    /// Returns the plan as the lines of a scenario.
    fn scenario_lines(&self) -> Vec<String> {
        let mut timed: Vec<(u64, &String)> = self
            .faults
            .iter()
            .flat_map(|(start_ms, fault)| {
                fault.iter().map(move |(offset_ms, line)| (start_ms + offset_ms, line))
            })
            .chain(self.user_actions.iter().map(|(at_ms, line)| (*at_ms, line)))
            .collect();
        timed.sort_by_key(|(at_ms, _)| *at_ms);
        let mut lines = self.setup.clone();
        let mut now_ms = 0;
        for (at_ms, line) in timed {
            if at_ms > now_ms {
                lines.push(format!("advance {}", (at_ms - now_ms) as f64 / 1000.0));
                now_ms = at_ms;
            }
            lines.push(line.clone());
        }
        lines.extend(self.final_checks.iter().cloned());
        lines
    }

    fn without_fault(&self, index: usize) -> FaultPlan {
        let mut faults = self.faults.clone();
        faults.remove(index);
        FaultPlan {
            setup: self.setup.clone(),
            faults,
            user_actions: self.user_actions.clone(),
            final_checks: self.final_checks.clone(),
        }
    }

    fn run(&self) -> Result<u64, String> {
        self.run_in(SimulatedCluster::new())
    }

    /// Runs the plan. Returns the longest time, in ms, that a task ran after its user knew of the cancellation.
    fn run_in(&self, mut cluster: SimulatedCluster) -> Result<u64, String> {
        for line in self.scenario_lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            cluster.run_action(&words).map_err(|problem| format!("{line}: {problem}"))?;
        }
        Ok(cluster.longest_run_after_cancel_ms())
    }
}

/// Removes each fault without which the plan still fails. Returns the smaller plan and its problem.
fn shrink(mut plan: FaultPlan, mut problem: String) -> (FaultPlan, String) {
    let mut index = 0;
    while index < plan.faults.len() {
        let smaller = plan.without_fault(index);
        match smaller.run() {
            Err(remaining_problem) => (plan, problem) = (smaller, remaining_problem),
            Ok(_) => index += 1,
        }
    }
    (plan, problem)
}

fn lines(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_string()).collect()
}

/// Returns a fault that starts with the lines `start` and ends with the lines `end` after `duration_ms`.
fn lasting_fault(start: &[&str], duration_ms: u64, end: &[&str]) -> TimedLines {
    let start = start.iter().map(|line| (0, (*line).to_string()));
    start.chain(end.iter().map(|line| (duration_ms, (*line).to_string()))).collect()
}

fn pick_one<'a>(rng: &mut SmallRng, choices: &[&'a str]) -> &'a str {
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
fn random_quick_restart(rng: &mut SmallRng, controller_count: usize) -> TimedLines {
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
fn random_fault(rng: &mut SmallRng, controller_count: usize) -> TimedLines {
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
const RECOVERY_LINES: [&str; 18] = [
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

/// Returns the zones of the controllers, as arguments of the action that starts them.
fn zones(controller_count: usize) -> String {
    ["a", "b", "c", "a", "b"][..controller_count].join(" ")
}

/// Controllers are killed and quickly started again, in one fault after the other.
fn restart_plan(seed: u64) -> FaultPlan {
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

/// Returns two or three faults with their start times in ms, each less than `max_gap_ms` after the previous one, and
/// the time at which the next fault would start.
fn overlapping_faults(
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

/// Two or three overlapping faults, with jobs of every shape, long tasks, cancellations and polls.
fn overlapping_faults_plan(seed: u64) -> FaultPlan {
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

/// Worker timings, in seconds: heartbeat interval, lease duration, and deadline of a cancellation.
const WORKER_TIMINGS: [[&str; 3]; 3] = [["2", "12", "32"], ["5", "26.5", "46.5"], ["5", "36", "61"]];
/// Times in ms from the moment when the leader loses the kv store to the outage for all controllers. Some are too short
/// for another controller to become leader in between, the others are not.
const OUTAGE_DELAYS_MS: [u64; 6] = [100, 1_000, 3_700, 4_300, 5_500, 10_000];

/// Only the leader loses the kv store, and other controllers confirm cancellations. Then the kv store is down for all
/// controllers for longer than the cancellation deadline, while workers keep sending heartbeats to the former leader.
/// `timings` is an index in `WORKER_TIMINGS`.
fn disconnected_leader_plan(timings: usize, outage_delay_ms: u64, rng: &mut SmallRng) -> FaultPlan {
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

/// Team limits change while faults overlap. The simulated cluster checks each task start against the limit in force at
/// that moment.
fn limit_changes_plan(seed: u64) -> FaultPlan {
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
