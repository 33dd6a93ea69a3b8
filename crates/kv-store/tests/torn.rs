//! The state file after crashes of every kind: what was acknowledged is there; what was not is there as a whole or not
//! at all.

use std::path::Path;

use olivelatch_kv_store::{AuxiliaryRecord, Delta, KvEngine, StoreFile};
use proptest::prelude::*;
use serde_json::json;

/// The part of the file that decides which of two states counts.
const HEADER_BYTES: usize = 320;

fn commit(file: &StoreFile, engine: &mut KvEngine, key: &str, value: u64) {
    let body = json!({"then": [{"write": key, "value": value}, {"write": "last", "value": key}]});
    assert_eq!(engine.handle_request("POST", "/txn", body.to_string().as_bytes(), 0).0, 200);
    let result = AuxiliaryRecord { name: format!("result/{key}"), bytes: Some(vec![1, 2, 3]) };
    file.commit(&engine.take_deltas(), &[result]).expect("a commit");
}

fn open(path: &Path) -> (StoreFile, KvEngine, usize) {
    let (file, deltas, auxiliary) = StoreFile::open(path).expect("a state file");
    (file, KvEngine::restore(&deltas, 0), auxiliary.len())
}

/// The last write cut at bytes that it changed: the file opens to the state before it or after it, never to a mixture.
#[test]
fn a_torn_last_write_opens_to_an_acknowledged_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let (file, mut engine, _) = open(&path);
    for value in 0..40 {
        commit(&file, &mut engine, &format!("key/{value}"), value);
    }
    // Copies of a file in use, as after a loss of power.
    let before = std::fs::read(&path).expect("the file");
    let acknowledged = engine.revision();
    commit(&file, &mut engine, "key/new", 7);
    let after = std::fs::read(&path).expect("the file");
    assert!(before.len() == after.len(), "the file grew; the test needs a write in place");
    let changed: Vec<usize> = (0..after.len()).filter(|at| before[*at] != after[*at]).collect();
    assert!(changed.len() > 20, "a commit changes something");
    let copy = folder.path().join("torn");
    let mut seen = [0, 0];
    // Every changed byte would be thousands of files: the header byte by byte, and a sample of the rest.
    let header = changed.iter().copied().filter(|at| *at < HEADER_BYTES);
    let rest = changed.iter().copied().filter(|at| *at >= HEADER_BYTES);
    let cuts: Vec<usize> = header.chain(rest.step_by(changed.len().div_ceil(30))).collect();
    for cut in cuts {
        for front_new in [true, false] {
            let (front, back) = if front_new { (&after, &before) } else { (&before, &after) };
            let mut torn = front[..cut].to_vec();
            torn.extend_from_slice(&back[cut..]);
            std::fs::write(&copy, &torn).expect("a copy");
            let (_, engine, results) = open(&copy);
            let new = engine.revision() > acknowledged;
            seen[usize::from(new)] += 1;
            assert_eq!(engine.get("key/39"), Some(&json!(39)), "cut at {cut}");
            assert_eq!(engine.get("key/new").is_some(), new, "cut at {cut}: half a transaction");
            assert_eq!(engine.get("last"), Some(&json!(if new { "key/new" } else { "key/39" })));
            assert_eq!(results, 40 + usize::from(new), "cut at {cut}: the results belong to the transaction");
        }
    }
    assert!(seen[0] > 0 && seen[1] > 0, "cuts before and after the commit takes effect: {seen:?}");
}

/// A restart gives a lease its full time to live again, and no number is granted twice.
#[test]
fn leases_survive_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let (file, mut engine, _) = open(&path);
    let lease = engine.handle_request("POST", "/grants", b"{\"life_ms\":4000}", 0).1["permit"].clone();
    let body = json!({"then": [{"write": "leader", "value": 1, "permit": lease}]}).to_string();
    engine.handle_request("POST", "/txn", body.as_bytes(), 3000);
    file.commit(&engine.take_deltas(), &[]).expect("a commit");
    drop(file);
    let (file, deltas, _) = StoreFile::open(&path).expect("a state file");
    let mut engine = KvEngine::restore(&deltas, 100_000);
    assert_eq!(engine.handle_request("GET", "/kv/leader", b"", 103_999).0, 200);
    assert_eq!(engine.handle_request("GET", "/kv/leader", b"", 104_000).0, 404);
    file.commit(&engine.take_deltas(), &[]).expect("a commit");
    drop(file);
    let (_, mut engine, _) = open(&path);
    assert_eq!(
        engine.handle_request("GET", "/kv/leader", b"", 0).0,
        404,
        "the expiry of the lease was durable"
    );
    assert_eq!(engine.handle_request("POST", "/grants", b"{\"life_ms\":4000}", 0).1["permit"], 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes a state file holds, opening it succeeds or fails, without a crash or a hang.
    #[test]
    fn any_bytes_are_refused_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..6000)) {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("state");
        std::fs::write(&path, &bytes).expect("a file");
        if let Ok((_, deltas, _)) = StoreFile::open(&path) {
            prop_assert!(bytes.is_empty() && deltas.is_empty());
        }
    }

    /// Whatever a request holds, the engine responds, and changes nothing unless the status is 200.
    #[test]
    fn any_request_is_answered(path in "/(kv|txn|changes|grants)[/?a-z0-9=&-]{0,20}", body in ".{0,200}") {
        let mut engine = KvEngine::default();
        for method in ["GET", "POST", "DELETE", "PUT"] {
            let before = engine.revision();
            let (status, _) = engine.handle_request(method, &path, body.as_bytes(), 0);
            prop_assert!([200, 400, 404, 409, 410, 429].contains(&status));
            prop_assert!(status == 200 || engine.revision() == before);
        }
    }
}

/// Replaying the deltas gives the same state as the requests themselves.
#[test]
fn a_file_restores_the_state_of_the_engine() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let (file, mut engine, _) = open(&path);
    let mut all_deltas: Vec<Delta> = Vec::new();
    for step in 0..200_u64 {
        let key = format!("k/{}", step % 17);
        let body = match step % 5 {
            0 => json!({"then": [{"drop": key}]}),
            _ => json!({"then": [{"write": key, "value": {"at": step}}]}),
        };
        engine.handle_request("POST", "/txn", body.to_string().as_bytes(), step);
        let deltas = engine.take_deltas();
        file.commit(&deltas, &[]).expect("a commit");
        all_deltas.extend(deltas);
    }
    drop(file);
    let (_, restored, _) = open(&path);
    assert_eq!(restored.revision(), engine.revision());
    assert!(
        engine.keys().eq(restored.keys()) && engine.keys().all(|key| engine.get(key) == restored.get(key))
    );
    assert_eq!(KvEngine::restore(&all_deltas, 0).len(), restored.len());
}
