//! Validation of submissions, field by field: status 400 for a malformed submission, 422 for one that can never run,
//! and 503 from a controller that cannot decide yet.

use olivelatch::bookkeeping::store_cache::StoreCache;
use olivelatch::coordination::user_requests::check_feasibility;
use olivelatch::protocol::cloud::MachineTypeRecord;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch::settings::Settings;
use serde_json::{Value, json};

fn submission() -> Value {
    json!({"uid": "job-000412", "jobclass": "train", "owner": "vision", "shape": "gang", "urgency": "high",
        "pieces": 2, "vcpus": 8.0, "accelerators": 1.0, "memory_gb": 64.0, "bundle": "img-07", "size_gb": 6.2,
        "boxkinds": ["g8"], "hall": null, "together": true, "scatter": false, "loaners": true, "guess_s": 240.0,
        "snapshot_s": 30.0, "flush_s": 4.0, "due_s": 900.0})
}

/// Fields that may be null or missing.
const OPTIONAL_FIELDS: [&str; 3] = ["boxkinds", "hall", "due_s"];

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
    let mut cache = StoreCache::default();
    let machine_type: MachineTypeRecord = serde_json::from_value(json!({"name": "g8", "vcpus": 96, "accelerators": 8,
        "memory_gb": 768, "local_gb": 200, "pull_gb_per_s": 1.0, "price": 12.0, "low_price": 4.5, "ready_s": 45,
        "halls": ["a", "b"]}))
    .expect("a machine type");
    cache.machine_types.insert(machine_type.name.clone(), machine_type);
    cache
}

/// Returns the status with which a controller whose cache is `cache` rejects a submission, or `None` if it accepts it.
fn rejection_status(submission: &Value, cache: &StoreCache) -> Option<u16> {
    match parse_submission(submission.to_string().as_bytes()) {
        Err(response) => Some(response.status),
        Ok(UserRequest::Submit { manifest: Err(_), .. }) => Some(400),
        Ok(UserRequest::Submit { manifest: Ok(manifest), .. }) => {
            check_feasibility(&manifest, cache, &settings()).err().map(|response| response.status)
        }
        Ok(other) => panic!("parsed as {other:?} instead of a submission"),
    }
}

fn submission_with(name: &str, value: Value) -> Value {
    let mut submission = submission();
    submission[name] = value;
    submission
}

#[test]
fn each_field_is_required_and_typed() {
    let cache = catalog_cache();
    assert_eq!(rejection_status(&submission(), &cache), None);
    let fields: Vec<String> = submission().as_object().expect("an object").keys().cloned().collect();
    assert_eq!(fields.len(), 20);
    for name in &fields {
        let optional = OPTIONAL_FIELDS.contains(&name.as_str());
        let mut without = submission();
        without.as_object_mut().expect("an object").remove(name);
        let expected = if optional { None } else { Some(400) };
        assert_eq!(rejection_status(&without, &cache), expected, "without {name}");
        assert_eq!(rejection_status(&submission_with(name, Value::Null), &cache), expected, "{name}: null");
        // These are not valid values of any field.
        for wrong in [json!({}), json!([[1]]), json!([null])] {
            assert_eq!(
                rejection_status(&submission_with(name, wrong.clone()), &cache),
                Some(400),
                "{name}: {wrong}"
            );
        }
        let value = &submission()[name];
        let other = if value.is_string() || value.is_null() { json!(7) } else { json!("seven") };
        assert_eq!(
            rejection_status(&submission_with(name, other.clone()), &cache),
            Some(400),
            "{name}: {other}"
        );
    }
}

#[test]
fn numbers_and_names_are_in_range() {
    let cache = catalog_cache();
    for name in ["vcpus", "accelerators", "memory_gb", "size_gb", "guess_s", "snapshot_s", "flush_s", "due_s"]
    {
        for value in [json!(-0.5), json!(1e12)] {
            assert_eq!(
                rejection_status(&submission_with(name, value.clone()), &cache),
                Some(400),
                "{name}: {value}"
            );
        }
    }
    for value in [json!(0), json!(-1), json!(100_001), json!(1.5), json!(1e20)] {
        assert_eq!(
            rejection_status(&submission_with("pieces", value.clone()), &cache),
            Some(400),
            "pieces: {value}"
        );
    }
    for name in ["jobclass", "owner", "bundle"] {
        assert_eq!(rejection_status(&submission_with(name, json!("")), &cache), Some(400), "{name}: empty");
    }
    for value in ["", "job-", "job-x", "task-000001", "job-000412/3"] {
        assert_eq!(
            rejection_status(&submission_with("uid", json!(value)), &cache),
            Some(400),
            "uid: {value}"
        );
    }
    for (name, value) in [("shape", "ring"), ("urgency", "soon")] {
        assert_eq!(
            rejection_status(&submission_with(name, json!(value)), &cache),
            Some(400),
            "{name}: {value}"
        );
    }
    let mut no_resources = submission_with("vcpus", json!(0.0));
    no_resources["memory_gb"] = json!(0.0);
    no_resources["accelerators"] = json!(0.0);
    assert_eq!(rejection_status(&no_resources, &cache), Some(400));
    for body in ["", "[]", "7", "{\"uid\":", "null"] {
        assert_eq!(
            parse_submission(body.as_bytes()).err().map(|response| response.status),
            Some(400),
            "{body}"
        );
    }
}

#[test]
fn infeasible_submissions_are_rejected() {
    let cache = catalog_cache();
    let infeasible = [
        ("owner", json!("nobody")),
        ("boxkinds", json!(["none"])),
        ("boxkinds", json!([])),
        ("hall", json!("c")),
        ("vcpus", json!(97.0)),
        ("accelerators", json!(9.0)),
        ("memory_gb", json!(769.0)),
        // The gang's two tasks together exceed the team's limit.
        ("vcpus", json!(17.0)),
        ("accelerators", json!(3.0)),
        ("pieces", json!(5)),
    ];
    for (name, value) in infeasible {
        assert_eq!(
            rejection_status(&submission_with(name, value.clone()), &cache),
            Some(422),
            "{name}: {value}"
        );
    }
    // An array may run one task at a time, which is within the limit.
    let mut array = submission_with("shape", json!("array"));
    array["pieces"] = json!(1_000);
    assert_eq!(rejection_status(&array, &cache), None);
    array["vcpus"] = json!(33.0);
    assert_eq!(rejection_status(&array, &cache), Some(422));
    // Without machine types a controller cannot decide feasibility, but it can reject an unknown team.
    assert_eq!(rejection_status(&submission(), &StoreCache::default()), Some(503));
    assert_eq!(
        rejection_status(&submission_with("owner", json!("nobody")), &StoreCache::default()),
        Some(422)
    );
}
