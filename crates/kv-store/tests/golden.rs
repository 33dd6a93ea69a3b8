//! The responses of the key-value store, compared with a golden file.

#[path = "../../../tests/golden/support.rs"]
mod support;

use olivelatch_kv_store::KvEngine;
use serde_json::{Value, json};
use support::Golden;

/// Returns the requests in the order in which they are executed; each sees the effects of the earlier ones.
fn requests() -> Vec<(&'static str, &'static str, Value)> {
    let write =
        |key: &str, permit: Value| json!({"write": key, "value": {"a": [1, 2.5, "b"]}, "permit": permit});
    let leader_lease =
        json!({"guards": [{"key": "p/leader", "stamp": 0}], "then": [write("p/leader", json!(1))]});
    let several_changes = json!({"guards": [], "then": [write("p/a", Value::Null), {"drop": "p/none"}, {"write": "p/b", "value": 7}]});
    vec![
        ("POST", "/grants", json!({"life_ms": 4000})),
        ("POST", "/grants", json!({"life_ms": 1})),
        ("POST", "/txn", leader_lease.clone()),
        ("POST", "/txn", leader_lease),
        ("POST", "/txn", several_changes),
        ("POST", "/txn", json!({"guards": [], "then": [write("p/c", json!(9))]})),
        ("POST", "/txn", json!({"guards": [], "then": []})),
        ("POST", "/txn", json!([])),
        ("GET", "/kv?starts=p/&page=2", Value::Null),
        ("GET", "/kv?starts=p/&after=p/b&page=2", Value::Null),
        ("GET", "/kv?page=0", Value::Null),
        ("GET", "/kv/p/leader", Value::Null),
        ("GET", "/kv/p/none", Value::Null),
        ("GET", "/changes?starts=p/&after=0&block_ms=0", Value::Null),
        ("GET", "/changes?starts=p/&after=1&block_ms=0", Value::Null),
        ("GET", "/changes?after=x", Value::Null),
        ("POST", "/grants/1/renew", json!({})),
        ("POST", "/grants/8/renew", json!({})),
        ("DELETE", "/grants/1", Value::Null),
        ("DELETE", "/grants/1", Value::Null),
        ("GET", "/changes?starts=p/&after=2&block_ms=0", Value::Null),
        ("GET", "/other", Value::Null),
    ]
}

#[test]
fn responses() {
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "replies");
    let mut engine = KvEngine::restore(&[], 1_000);
    for (index, (method, path, body)) in requests().into_iter().enumerate() {
        let (status, response) = engine.handle_request(method, path, body.to_string().as_bytes(), 1_000);
        golden.case(
            &format!("{index:02} {method} {path}"),
            json!({"status": status, "body": response.to_string()}),
        );
    }
    golden.check();
}
