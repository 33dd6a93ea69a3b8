//! Tests of the state file after crashes and restarts. Acknowledged transactions must be there; unacknowledged ones
//! must be there completely or not at all.

use std::path::Path;

use olivelatch_kv_store::{AuxiliaryRecord, Delta, KvEngine, StoreFile};
use proptest::prelude::*;
use serde_json::json;

/// Size of the file header, which selects the one of two stored states that is valid.
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

/// Tears the last commit at the bytes that it changed. The file must open with the state before or after that commit,
/// never with a mixture.
#[test]
fn a_torn_last_commit_recovers_to_a_consistent_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let (file, mut engine, _) = open(&path);
    for value in 0..40 {
        commit(&file, &mut engine, &format!("key/{value}"), value);
    }
    // Reads the file while the database has it open, as it would be after a power failure.
    let before = std::fs::read(&path).expect("the file");
    let acknowledged = engine.revision();
    commit(&file, &mut engine, "key/new", 7);
    let after = std::fs::read(&path).expect("the file");
    assert!(before.len() == after.len(), "the file grew; the test needs a commit that keeps its size");
    let changed: Vec<usize> = (0..after.len()).filter(|offset| before[*offset] != after[*offset]).collect();
    assert!(changed.len() > 20, "the commit changed too few bytes for this test");
    let copy = folder.path().join("torn");
    // How many torn files opened with the old state and with the new one.
    let mut opened_counts = [0, 0];
    // Cutting at every changed byte would take thousands of files, so this cuts at every changed byte of the header and
    // at a sample of the others.
    let header = changed.iter().copied().filter(|offset| *offset < HEADER_BYTES);
    let body = changed.iter().copied().filter(|offset| *offset >= HEADER_BYTES);
    let cuts: Vec<usize> = header.chain(body.step_by(changed.len().div_ceil(30))).collect();
    for cut in cuts {
        for front_new in [true, false] {
            let (front, back) = if front_new { (&after, &before) } else { (&before, &after) };
            let mut torn = front[..cut].to_vec();
            torn.extend_from_slice(&back[cut..]);
            std::fs::write(&copy, &torn).expect("a copy");
            let (_, engine, record_count) = open(&copy);
            let has_new_commit = engine.revision() > acknowledged;
            opened_counts[usize::from(has_new_commit)] += 1;
            assert_eq!(engine.get("key/39"), Some(&json!(39)), "cut at {cut}");
            assert_eq!(
                engine.get("key/new").is_some(),
                has_new_commit,
                "cut at {cut}: a partial transaction"
            );
            assert_eq!(engine.get("last"), Some(&json!(if has_new_commit { "key/new" } else { "key/39" })));
            assert_eq!(
                record_count,
                40 + usize::from(has_new_commit),
                "cut at {cut}: the auxiliary records belong to the commit"
            );
        }
    }
    assert!(
        opened_counts[0] > 0 && opened_counts[1] > 0,
        "expected files with the old and with the new state, got {opened_counts:?}"
    );
}

/// A restart renews a lease with its full time to live, and no lease number is granted twice.
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
    assert_eq!(engine.handle_request("GET", "/kv/leader", b"", 0).0, 404, "the lease expiry is durable");
    assert_eq!(engine.handle_request("POST", "/grants", b"{\"life_ms\":4000}", 0).1["permit"], 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Opening a state file with arbitrary bytes succeeds or returns an error; it neither panics nor hangs.
    #[test]
    fn a_file_with_arbitrary_bytes_is_rejected_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..6000)) {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("state");
        std::fs::write(&path, &bytes).expect("a file");
        if let Ok((_, deltas, _)) = StoreFile::open(&path) {
            prop_assert!(bytes.is_empty() && deltas.is_empty());
        }
    }

    /// The engine responds to arbitrary requests, and changes nothing unless the status is 200.
    #[test]
    fn arbitrary_requests_get_a_response(path in "/(kv|txn|changes|grants)[/?a-z0-9=&-]{0,20}", body in ".{0,200}") {
        let mut engine = KvEngine::default();
        for method in ["GET", "POST", "DELETE", "PUT"] {
            let before = engine.revision();
            let (status, _) = engine.handle_request(method, &path, body.as_bytes(), 0);
            prop_assert!([200, 400, 404, 409, 410, 429].contains(&status));
            prop_assert!(status == 200 || engine.revision() == before);
        }
    }
}

/// A state restored from the file, or from the deltas, equals the state after the requests.
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
