//! What a submission may lack or say wrongly, field by field: it is refused (400, or 422 for what can never run), and a
//! controller that may not yet know whether it could run says so (503).

use olivelatch::bookkeeping::store_cache::StoreCache;
use olivelatch::coordination::user_requests::check_feasibility;
use olivelatch::protocol::cloud::MachineTypeRecord;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch::settings::Settings;
use serde_json::{Value, json};

fn job() -> Value {
    json!({"uid": "job-000412", "jobclass": "train", "owner": "vision", "shape": "gang", "urgency": "high",
        "pieces": 2, "vcpus": 8.0, "accelerators": 1.0, "memory_gb": 64.0, "bundle": "img-07", "size_gb": 6.2,
        "boxkinds": ["g8"], "hall": null, "together": true, "scatter": false, "loaners": true, "guess_s": 240.0,
        "snapshot_s": 30.0, "flush_s": 4.0, "due_s": 900.0})
}

/// May be null, and so may be missing.
const OPTIONAL: [&str; 3] = ["boxkinds", "hall", "due_s"];

fn settings() -> Settings {
    let config = json!({"node": "n0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2", "others": [],
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "cluster": {"count": 1, "zones": ["a", "b"], "objectives": [],
            "teams": [{"name": "vision", "cpus": 16.0, "cpus_max": 32.0, "gpus": 2.0, "gpus_max": 4.0}],
            "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 32.0},
            "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "quota": {"core_share": 1.0, "mem_mb": 100.0, "max_connections": 1000}, "time_bound_ms": 10.0}});
    Settings::parse("test", &config.to_string()).expect("settings")
}

fn catalog_cache() -> StoreCache {
    let mut mirror = StoreCache::default();
    let kind: MachineTypeRecord = serde_json::from_value(json!({"name": "g8", "vcpus": 96, "accelerators": 8,
        "memory_gb": 768, "local_gb": 200, "pull_gb_per_s": 1.0, "price": 12.0, "low_price": 4.5, "ready_s": 45,
        "halls": ["a", "b"]}))
    .expect("a machine type");
    mirror.machine_types.insert(kind.name.clone(), kind);
    mirror
}

/// The status with which a controller that knows the machine types refuses it; None: it may be accepted.
fn refusal_status(job: &Value, mirror: &StoreCache) -> Option<u16> {
    match parse_submission(job.to_string().as_bytes()) {
        Err(answer) => Some(answer.status),
        Ok(UserRequest::Submit { manifest: Err(_), .. }) => Some(400),
        Ok(UserRequest::Submit { manifest: Ok(spec), .. }) => {
            check_feasibility(&spec, mirror, &settings()).err().map(|answer| answer.status)
        }
        Ok(other) => panic!("read as {other:?}"),
    }
}

fn job_with(name: &str, value: Value) -> Value {
    let mut job = job();
    job[name] = value;
    job
}

#[test]
fn each_field_is_there_and_of_its_kind() {
    let mirror = catalog_cache();
    assert_eq!(refusal_status(&job(), &mirror), None);
    let fields: Vec<String> = job().as_object().expect("an object").keys().cloned().collect();
    assert_eq!(fields.len(), 20);
    for name in &fields {
        let optional = OPTIONAL.contains(&name.as_str());
        let mut lacks = job();
        lacks.as_object_mut().expect("an object").remove(name);
        let expected = if optional { None } else { Some(400) };
        assert_eq!(refusal_status(&lacks, &mirror), expected, "without {name}");
        assert_eq!(refusal_status(&job_with(name, Value::Null), &mirror), expected, "{name}: null");
        // What is no value of the field, whatever its kind.
        for wrong in [json!({}), json!([[1]]), json!([null])] {
            assert_eq!(refusal_status(&job_with(name, wrong.clone()), &mirror), Some(400), "{name}: {wrong}");
        }
        let kind = &job()[name];
        let other = if kind.is_string() || kind.is_null() { json!(7) } else { json!("seven") };
        assert_eq!(refusal_status(&job_with(name, other.clone()), &mirror), Some(400), "{name}: {other}");
    }
}

#[test]
fn numbers_and_names_are_in_range() {
    let mirror = catalog_cache();
    for name in ["vcpus", "accelerators", "memory_gb", "size_gb", "guess_s", "snapshot_s", "flush_s", "due_s"]
    {
        for value in [json!(-0.5), json!(1e12)] {
            assert_eq!(refusal_status(&job_with(name, value.clone()), &mirror), Some(400), "{name}: {value}");
        }
    }
    for value in [json!(0), json!(-1), json!(100_001), json!(1.5), json!(1e20)] {
        assert_eq!(refusal_status(&job_with("pieces", value.clone()), &mirror), Some(400), "pieces: {value}");
    }
    for name in ["jobclass", "owner", "bundle"] {
        assert_eq!(refusal_status(&job_with(name, json!("")), &mirror), Some(400), "{name}: empty");
    }
    for value in ["", "job-", "job-x", "task-000001", "job-000412/3"] {
        assert_eq!(refusal_status(&job_with("uid", json!(value)), &mirror), Some(400), "uid: {value}");
    }
    for (name, value) in [("shape", "ring"), ("urgency", "soon")] {
        assert_eq!(refusal_status(&job_with(name, json!(value)), &mirror), Some(400), "{name}: {value}");
    }
    let mut nothing = job_with("vcpus", json!(0.0));
    nothing["memory_gb"] = json!(0.0);
    nothing["accelerators"] = json!(0.0);
    assert_eq!(refusal_status(&nothing, &mirror), Some(400));
    for body in ["", "[]", "7", "{\"uid\":", "null"] {
        assert_eq!(parse_submission(body.as_bytes()).err().map(|answer| answer.status), Some(400), "{body}");
    }
}

#[test]
fn what_can_never_run_is_refused() {
    let mirror = catalog_cache();
    let never = [
        ("owner", json!("nobody")),
        ("boxkinds", json!(["none"])),
        ("boxkinds", json!([])),
        ("hall", json!("c")),
        ("vcpus", json!(97.0)),
        ("accelerators", json!(9.0)),
        ("memory_gb", json!(769.0)),
        // Two tasks of the gang together are over the team's limit.
        ("vcpus", json!(17.0)),
        ("accelerators", json!(3.0)),
        ("pieces", json!(5)),
    ];
    for (name, value) in never {
        assert_eq!(refusal_status(&job_with(name, value.clone()), &mirror), Some(422), "{name}: {value}");
    }
    // One task of an array at a time is within it.
    let mut array = job_with("shape", json!("array"));
    array["pieces"] = json!(1_000);
    assert_eq!(refusal_status(&array, &mirror), None);
    array["vcpus"] = json!(33.0);
    assert_eq!(refusal_status(&array, &mirror), Some(422));
    // Without machine types a controller cannot decide; an unknown team it knows.
    assert_eq!(refusal_status(&job(), &StoreCache::default()), Some(503));
    assert_eq!(refusal_status(&job_with("owner", json!("nobody")), &StoreCache::default()), Some(422));
}
