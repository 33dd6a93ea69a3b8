//! Tests of the modules `worker` and `commands`.

use serde_json::{Value, json};

use super::*;
use crate::description::ProcessCommand;

fn machine() -> Machine {
    Machine {
        name: "m".into(),
        endpoint: String::new(),
        machine_type: "k".into(),
        zone: "a".into(),
        spot: false,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image_fetch_gb_per_s: 1.0,
    }
}

fn jobs() -> JobDescriptions {
    let command = ProcessCommand { command: vec!["true".into()], ..ProcessCommand::default() };
    let plain = JobDescription {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.0,
        gang: false,
        tasks: 5,
        can_checkpoint: false,
        checkpoint_save_ms: 0,
        work: TaskWork::Process(command),
        inputs: BTreeMap::new(),
        map_source: None,
    };
    let checkpointing = JobDescription { can_checkpoint: true, checkpoint_save_ms: 500, ..plain.clone() };
    JobDescriptions::from([("job-000001".into(), plain), ("job-000002".into(), checkpointing)])
}

fn response(token: u64, commands: &Value) -> Value {
    json!({"baton": token, "orders": commands})
}

fn run(task: &str) -> Value {
    json!([{"verb": "run", "piece": task, "try": 1}])
}

/// Responses with a lower token or without one are rejected. When the lease expires, all attempts are killed and
/// forgotten, and commands for the earlier epoch are rejected.
#[test]
fn lower_tokens_are_rejected_and_lease_expiry_kills_attempts() {
    let jobs = jobs();
    let mut worker = Worker::new(machine(), 0);
    assert!(worker.apply_heartbeat_response(&response(5, &run("job-000001/0")), 0, 0, &jobs));
    assert!(!worker.apply_heartbeat_response(&response(4, &run("job-000001/1")), 0, 0, &jobs));
    assert!(!worker.apply_heartbeat_response(&json!({"orders": run("job-000001/1")}), 0, 0, &jobs));
    worker.advance(10, 1000, &jobs);
    assert_eq!(
        worker.take_process_actions(),
        [ProcessAction::Start { task: "job-000001/0".into(), attempt: 1 }]
    );
    worker.advance(1000, 1000, &jobs);
    assert_eq!((worker.epoch, worker.attempts.len()), (1, 1));
    worker.advance(1001, 1000, &jobs);
    assert_eq!((worker.epoch, worker.attempts.len()), (2, 0));
    assert_eq!(
        worker.take_process_actions(),
        [ProcessAction::Kill { task: "job-000001/0".into(), attempt: 1 }]
    );
    assert!(
        !worker.process_exited("job-000001/0", 1, true, None, &jobs),
        "the exit of a forgotten attempt must not complete the task"
    );
    let body = json!({"baton": 5, "shift": 1, "orders": run("job-000001/0")}).to_string();
    assert_eq!(worker.handle_direct_command(body.as_bytes(), 1002, &jobs).0, 409);
}

/// A stopped attempt is reported as running, or as saving its checkpoint, until its process has exited. The exit status
/// says whether the checkpoint was saved.
#[test]
fn a_stopped_attempt_ends_with_its_process() {
    let jobs = jobs();
    let mut worker = Worker::new(machine(), 0);
    let commands = json!([{"verb": "run", "piece": "job-000001/0", "try": 1}, {"verb": "run", "piece": "job-000002/0", "try": 1},
            {"verb": "run", "piece": "job-000001/1", "try": 1}, {"verb": "run", "piece": "job-000009/1", "try": 1}]);
    worker.apply_heartbeat_response(&response(5, &commands), 0, 0, &jobs);
    worker.advance(10, 1000, &jobs);
    assert_eq!(
        [&worker.attempts[2].phase, &worker.attempts[3].phase],
        [&AttemptPhase::ended("full"), &AttemptPhase::ended("unknown")]
    );
    worker.take_process_actions();
    let stops = json!([{"verb": "halt", "piece": "job-000001/0", "try": 1, "wind_down_s": 0.0},
            {"verb": "halt", "piece": "job-000002/0", "try": 1, "wind_down_s": 2.0}]);
    worker.apply_heartbeat_response(&response(5, &stops), 20, 20, &jobs);
    assert_eq!(worker.take_process_actions().len(), 2);
    let heartbeat = worker.heartbeat(30);
    assert_eq!(
        [&heartbeat["pieces"][0]["status"], &heartbeat["pieces"][1]["status"]],
        ["running", "flushing"]
    );
    worker.process_exited("job-000001/0", 1, true, None, &jobs);
    worker.process_exited("job-000002/0", 1, true, None, &jobs);
    assert_eq!(
        worker.attempts[0].phase,
        AttemptPhase::ended("halted"),
        "exit status 0 after a stop is not a result"
    );
    assert_eq!(worker.attempts[1].phase, AttemptPhase::Ended { cause: "halted", checkpoint_kept: true });
    let forget_and_rerun = json!([{"verb": "reap", "piece": "job-000001/0", "try": 1}, {"verb": "run", "piece": "job-000001/0", "try": 1}]);
    worker.apply_heartbeat_response(&response(5, &forget_and_rerun), 30, 30, &jobs);
    worker.advance(40, 1000, &jobs);
    assert!(worker.process_exited("job-000001/0", 1, true, None, &jobs));
    // The worker keeps the result, so another attempt of the task ends without running it.
    worker.apply_heartbeat_response(
        &response(5, &json!([{"verb": "run", "piece": "job-000001/0", "try": 2}])),
        50,
        50,
        &jobs,
    );
    worker.take_process_actions();
    worker.advance(60, 1000, &jobs);
    assert!(worker.take_process_actions().is_empty());
}
