//! Tests of the module `machines`.

use super::*;

/// A task that is done on one machine must not run again on another machine that was already up. A worker used to know
/// only the results that were stored before it started.
#[test]
fn a_task_result_applies_to_machines_that_are_already_up() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut processes = Processes::open(folder.path()).expect("processes");
    let mut machines = Machines::open(folder.path(), Vec::new()).expect("machines");
    let mut job_store = JobStore::default();
    let upload = json!({"shape": "array", "pieces": 1, "vcpus": 1.0, "memory_gb": 1.0, "bundle": "i",
            "run": {"command": ["true"]}});
    let path = "/descriptions/job-000001";
    let response = job_store.handle_request(folder.path(), "PUT", path, upload.to_string().as_bytes());
    assert_eq!(response.expect("a response").0, 201);
    let mut cloud = crate::cloud::Cloud::default();
    let machine_type = MachineTypeSpec {
        name: "local".into(),
        cpus: 4.0,
        memory_gb: 8.0,
        gpus: 0.0,
        fetch_gb_per_s: 1.0,
        boot_s: 0.0,
        zones: vec!["here".into()],
        on_demand_per_zone: 2,
        spot_per_zone: 0,
    };
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    for index in 0..2 {
        cloud.add_machine("local", "here", false, 0, 0);
        machines.add_machine(
            &cloud.machines[index],
            &machine_type,
            endpoint,
            ListenerId(index),
            &job_store,
            0,
        );
    }
    machines.store_result("job-000001/0", TaskResult { attempt: 1, list_len: None }, &mut job_store);
    for listener in [ListenerId(0), ListenerId(1)] {
        let commands = json!({"baton": 1, "shift": 1,
                "orders": [{"verb": "run", "piece": "job-000001/0", "try": 2}]});
        machines.handle_request(listener, "POST", "/orders", commands.to_string().as_bytes(), &job_store, 0);
    }
    machines.step_workers(10, &mut job_store, &mut processes);
    assert_eq!(processes.running_count(), 0, "the task must not run again");
    let cause = |worker: &mut Worker| worker.heartbeat(10)["pieces"][0]["cause"].clone();
    assert!(machines.workers.iter_mut().all(|worker| cause(worker) == "done"));
}
