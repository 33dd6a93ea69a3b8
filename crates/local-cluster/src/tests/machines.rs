//! Tests of `machines`.

use super::*;

/// A task that was done on one machine does not run again on another that was up already: workers knew only the
/// results from before they came up.
#[test]
fn a_result_counts_on_every_machine() {
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
    let kind = MachineTypeSpec {
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
    for at in 0..2 {
        cloud.add_machine("local", "here", false, 0, 0);
        machines.add_machine(&cloud.machines[at], &kind, endpoint, ListenerId(at), &job_store, 0);
    }
    machines.store_result("job-000001/0", TaskResult { attempt: 1, list_len: None }, &mut job_store);
    for port in [ListenerId(0), ListenerId(1)] {
        let orders = json!({"baton": 1, "shift": 1,
                "orders": [{"verb": "run", "piece": "job-000001/0", "try": 2}]});
        machines.handle_request(port, "POST", "/orders", orders.to_string().as_bytes(), &job_store, 0);
    }
    machines.step_workers(10, &mut job_store, &mut processes);
    assert_eq!(processes.running_count(), 0, "nothing runs");
    let cause = |worker: &mut Worker| worker.heartbeat(10)["pieces"][0]["cause"].clone();
    assert!(machines.workers.iter_mut().all(|worker| cause(worker) == "done"));
}
