//! The heartbeats of a worker and its responses to commands, compared with golden files.

#[path = "../../../tests/golden/support.rs"]
mod support;

use std::collections::BTreeMap;

use olivelatch_worker::{
    AttemptPhase, JobDescription, JobDescriptions, Machine, TaskAttempt, TaskWork, Worker,
};
use serde_json::json;
use support::Golden;

fn machine() -> Machine {
    Machine {
        name: "m-17".into(),
        endpoint: "10.0.0.7:700".into(),
        machine_type: "small".into(),
        zone: "north-a".into(),
        spot: true,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        image_fetch_gb_per_s: 1.0,
    }
}

fn description() -> JobDescription {
    JobDescription {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "readings:7".into(),
        image_gb: 1.0,
        gang: false,
        tasks: 9,
        can_checkpoint: true,
        checkpoint_save_ms: 500,
        work: TaskWork::Simulated { run_ms: 3_000, fails: false, list_len: Some(7) },
        inputs: BTreeMap::new(),
        map_source: None,
    }
}

fn phases() -> Vec<AttemptPhase> {
    let ended = |cause, checkpoint_kept| AttemptPhase::Ended { cause, checkpoint_kept };
    vec![
        AttemptPhase::FetchingImage { until: 9_000 },
        AttemptPhase::WaitingForGang { since: 9_000 },
        AttemptPhase::Running { until: Some(9_000) },
        AttemptPhase::Running { until: None },
        AttemptPhase::WaitingForGangExit,
        AttemptPhase::Checkpointing { until: None },
        AttemptPhase::Stopping { cause: "halted" },
        ended("done", false),
        ended("halted", true),
        ended("halted", false),
        ended("peers", false),
        ended("incomplete", false),
        ended("error", false),
        ended("full", false),
        ended("busy", false),
    ]
}

#[test]
fn heartbeats() {
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "reports");
    let mut worker = Worker::new(machine(), 1_000);
    golden.case("nothing", worker.heartbeat(1_000).to_string());
    for (index, phase) in phases().into_iter().enumerate() {
        let task = format!("job-000412/{index}");
        worker.attempts = vec![TaskAttempt { task, attempt: 70 + index as u64, phase, has_image: true }];
        golden.case(&format!("phase {index:02}"), worker.heartbeat(1_000).to_string());
    }
    worker.termination_at = Some(13_500);
    golden.case("notice", worker.heartbeat(1_000).to_string());
    golden.check();
}

/// Executes the direct commands of a controller in sequence, one second apart.
#[test]
fn direct_commands() {
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "orders");
    let jobs: JobDescriptions = [("job-000412".to_string(), description())].into_iter().collect();
    let mut worker = Worker::new(machine(), 1_000);
    let command = |verb: &str, task: u32| json!({"verb": verb, "piece": format!("job-000412/{task}"), "try": 70 + task});
    let epoch = worker.epoch;
    let bodies = [
        ("run", json!({"baton": 31, "shift": epoch, "orders": [command("run", 0), command("run", 1)]})),
        (
            "run more than fits",
            json!({"baton": 31, "shift": epoch,
            "orders": [command("run", 2), command("run", 3), command("run", 4)]}),
        ),
        (
            "halt",
            json!({"baton": 31, "shift": epoch, "orders": [{"verb": "halt", "piece": "job-000412/1",
            "try": 71, "wind_down_s": 1.5}]}),
        ),
        ("reap", json!({"baton": 32, "shift": epoch, "orders": [command("reap", 4)]})),
        ("an earlier leader", json!({"baton": 31, "shift": epoch, "orders": []})),
        ("another epoch", json!({"baton": 32, "shift": epoch + 1, "orders": []})),
        ("malformed", json!({"orders": []})),
        ("done", json!({"baton": 32, "shift": epoch, "orders": []})),
    ];
    for (index, (name, body)) in bodies.into_iter().enumerate() {
        let now = 2_000 + 1_000 * index as u64;
        worker.last_answered_heartbeat_sent_at = now;
        worker.advance(now, 60_000, &jobs);
        let (status, response) = worker.handle_direct_command(body.to_string().as_bytes(), now, &jobs);
        golden.case(&format!("{index} {name}"), json!({"status": status, "body": response.to_string()}));
    }
    golden.check();
}
