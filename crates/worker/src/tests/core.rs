//! Tests of `core`.

use super::*;
use crate::describe::Command;

fn machine() -> Machine {
    Machine {
        name: "m".into(),
        endpoint: String::new(),
        kind: "k".into(),
        zone: "a".into(),
        spot: false,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        fetch_gb_per_s: 1.0,
    }
}

fn jobs() -> Descriptions {
    let command = Command { command: vec!["true".into()], ..Command::default() };
    let one = Description {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        size_gb: 0.0,
        gang: false,
        tasks: 5,
        checkpoint: false,
        save_ms: 0,
        work: Work::Runs(command),
        inputs: BTreeMap::new(),
        map: None,
    };
    let saving = Description { checkpoint: true, save_ms: 500, ..one.clone() };
    Descriptions::from([("job-000001".into(), one), ("job-000002".into(), saving)])
}

fn orders(token: u64, orders: Value) -> Value {
    json!({"baton": token, "orders": orders})
}

fn run(task: &str) -> Value {
    json!([{"verb": "run", "piece": task, "try": 1}])
}

/// Lower tokens are not obeyed; a lease that ends kills what runs and forgets it.
#[test]
fn tokens_rise_and_leases_end() {
    let jobs = jobs();
    let mut worker = Worker::new(machine(), 0);
    assert!(worker.answer(&orders(5, run("job-000001/0")), 0, 0, &jobs));
    assert!(!worker.answer(&orders(4, run("job-000001/1")), 0, 0, &jobs));
    assert!(!worker.answer(&json!({"orders": run("job-000001/1")}), 0, 0, &jobs));
    worker.step(10, 1000, &jobs);
    assert_eq!(worker.take_effects(), [Effect::Start { task: "job-000001/0".into(), attempt: 1 }]);
    worker.step(1000, 1000, &jobs);
    assert_eq!((worker.session, worker.attempts.len()), (1, 1));
    worker.step(1001, 1000, &jobs);
    assert_eq!((worker.session, worker.attempts.len()), (2, 0));
    assert_eq!(worker.take_effects(), [Effect::Kill { task: "job-000001/0".into(), attempt: 1 }]);
    assert!(!worker.exited("job-000001/0", 1, true, None, &jobs), "what was forgotten is not done");
    let body = json!({"baton": 5, "shift": 1, "orders": run("job-000001/0")}).to_string();
    assert_eq!(worker.direct(body.as_bytes(), 1002, &jobs).0, 409);
}

/// A process that was told to stop is reported as running until it is gone; what it saved is known by its exit.
#[test]
fn stops_are_over_when_the_process_is() {
    let jobs = jobs();
    let mut worker = Worker::new(machine(), 0);
    let both = json!([{"verb": "run", "piece": "job-000001/0", "try": 1}, {"verb": "run", "piece": "job-000002/0", "try": 1},
            {"verb": "run", "piece": "job-000001/1", "try": 1}, {"verb": "run", "piece": "job-000009/1", "try": 1}]);
    worker.answer(&orders(5, both), 0, 0, &jobs);
    worker.step(10, 1000, &jobs);
    assert_eq!([&worker.attempts[2].phase, &worker.attempts[3].phase], [&ended("full"), &ended("unknown")]);
    worker.take_effects();
    let halts = json!([{"verb": "halt", "piece": "job-000001/0", "try": 1, "wind_down_s": 0.0},
            {"verb": "halt", "piece": "job-000002/0", "try": 1, "wind_down_s": 2.0}]);
    worker.answer(&orders(5, halts), 20, 20, &jobs);
    assert_eq!(worker.take_effects().len(), 2);
    let report = worker.report(30);
    assert_eq!([&report["pieces"][0]["status"], &report["pieces"][1]["status"]], ["running", "flushing"]);
    worker.exited("job-000001/0", 1, true, None, &jobs);
    worker.exited("job-000002/0", 1, true, None, &jobs);
    assert_eq!(worker.attempts[0].phase, ended("halted"), "an exit with 0 after a stop is no result");
    assert_eq!(worker.attempts[1].phase, Phase::Ended { cause: "halted", kept: true });
    let again = json!([{"verb": "reap", "piece": "job-000001/0", "try": 1}, {"verb": "run", "piece": "job-000001/0", "try": 1}]);
    worker.answer(&orders(5, again), 30, 30, &jobs);
    worker.step(40, 1000, &jobs);
    assert!(worker.exited("job-000001/0", 1, true, None, &jobs));
    // Its result is kept: started once more, it ends without running.
    worker.answer(&orders(5, json!([{"verb": "run", "piece": "job-000001/0", "try": 2}])), 50, 50, &jobs);
    worker.take_effects();
    worker.step(60, 1000, &jobs);
    assert!(worker.take_effects().is_empty());
}
