//! Tests of the module `engine`, through requests.

use super::*;
use crate::change_log::MAX_KEPT_CHANGES;
use crate::requests::JsonResponse;

fn txn(engine: &mut KvEngine, body: &Value) -> JsonResponse {
    engine.handle_request("POST", "/txn", body.to_string().as_bytes(), 0)
}

fn put(engine: &mut KvEngine, key: &str, stamp: u64, value: u64) -> JsonResponse {
    let body = json!({"guards": [{"key": key, "stamp": stamp}], "then": [{"write": key, "value": value}]});
    txn(engine, &body)
}

/// A transaction whose precondition fails changes nothing. All changes of a transaction get the same revision.
#[test]
fn transactions_are_atomic() {
    let mut engine = KvEngine::default();
    assert_eq!(put(&mut engine, "a", 0, 1).1["ledger_rev"], 1);
    assert_eq!(put(&mut engine, "a", 0, 2), (409, json!({"failed": ["a"], "ledger_rev": 1})));
    let both =
        json!({"guards": [{"key": "a", "stamp": 1}], "then": [{"write": "b", "value": 1}, {"drop": "a"}]});
    assert_eq!(txn(&mut engine, &both).1["ledger_rev"], 2);
    let (_, changes) = engine.handle_request("GET", "/changes?after=1", b"", 0);
    let revisions: Vec<_> =
        changes["events"].as_array().expect("events").iter().map(|event| &event["stamp"]).collect();
    assert_eq!(revisions, [&json!(2), &json!(2)]);
    assert_eq!(
        txn(&mut engine, &json!({"guards": []})).1["ledger_rev"],
        2,
        "a transaction without changes keeps the revision"
    );
    for malformed in [
        json!([]),
        json!({"then": [{"write": "a b", "value": 1}]}),
        json!({"then": [{}]}),
        json!({"guards": 1}),
    ] {
        assert_eq!(txn(&mut engine, &malformed).0, 400);
    }
}

/// Lease expiry deletes the keys of the lease, and never early. A write with an expired lease is rejected whatever the
/// preconditions are.
#[test]
fn lease_expiry_deletes_keys_on_time() {
    let mut engine = KvEngine::default();
    let grant = |engine: &mut KvEngine, now| {
        engine.handle_request("POST", "/grants", b"{\"life_ms\":1000}", now).1["permit"].clone()
    };
    let lease = grant(&mut engine, 0);
    let body = json!({"then": [{"write": "k", "value": 1, "permit": lease}]}).to_string();
    assert_eq!(engine.handle_request("POST", "/txn", body.as_bytes(), 10).0, 200);
    assert_eq!(engine.handle_request("POST", "/grants/1/renew", b"{}", 999).0, 200);
    assert_eq!(engine.handle_request("GET", "/kv/k", b"", 1998).0, 200);
    assert_eq!(engine.handle_request("GET", "/kv/k", b"", 1999).0, 404);
    assert_eq!(engine.handle_request("POST", "/grants/1/renew", b"{}", 2000).0, 404);
    let late_write = engine.handle_request("POST", "/txn", body.as_bytes(), 2000);
    assert_eq!(late_write, (400, json!({"error": "no such lease"})));
    assert_eq!(engine.handle_request("POST", "/grants", b"{\"life_ms\":1}", 0).0, 400);
}

/// A poll for changes that have been dropped fails, and no poll returns only a part of a revision.
#[test]
fn old_changes_are_compacted_by_whole_revisions() {
    let mut engine = KvEngine::default();
    for value in 0..MAX_KEPT_CHANGES as u64 {
        let pair = json!({"then": [{"write": "a", "value": value}, {"write": "b", "value": value}]});
        assert_eq!(txn(&mut engine, &pair).0, 200);
    }
    let half = MAX_KEPT_CHANGES as u64 / 2;
    assert_eq!(engine.handle_request("GET", &format!("/changes?after={}", half - 1), b"", 0).0, 410);
    let (status, body) = engine.handle_request("GET", &format!("/changes?after={half}"), b"", 0);
    assert_eq!((status, body["events"].as_array().map(Vec::len)), (200, Some(MAX_KEPT_CHANGES)));
    assert!(!engine.has_changed("a", engine.revision()) && engine.has_changed("b", engine.revision() - 1));
}

#[test]
fn listing_is_paginated_and_requests_are_rate_limited() {
    let mut engine = KvEngine::default();
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        put(&mut engine, key, 0, 1);
    }
    let (_, first) = engine.handle_request("GET", "/kv?starts=a/&page=2", b"", 0);
    assert_eq!((first["pairs"].as_array().map(Vec::len), &first["has_next"]), (Some(2), &json!(true)));
    let (_, rest) = engine.handle_request("GET", "/kv?starts=a/&after=a/2&page=2", b"", 0);
    assert_eq!((rest["pairs"][0]["key"].as_str(), &rest["has_next"]), (Some("a/3"), &json!(false)));
    engine.set_limits(Limits { requests_per_s: 2.0, ..Limits::default() });
    let served = (0..5).filter(|_| engine.handle_request("GET", "/kv/a/1", b"", 1000).0 == 200).count();
    assert_eq!(served, 2);
    assert_eq!(engine.handle_request("GET", "/kv/a/1", b"", 2000).0, 200);
}
