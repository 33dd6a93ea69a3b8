//! Tests of `dag_records`.

use super::*;
use olivelatch_dag::{Failure, RetryPolicy};

/// A full block fits into a 4 KiB value, even with machine names that are longer than real ones.
#[test]
fn a_block_of_failures_fits_a_value() {
    let mut record = RetryStateRecord::default();
    for task in 0..RETRY_BLOCK_TASKS {
        let state = record.by_task.entry(99_990 + task).or_default();
        for attempt in 0..9 {
            let failure = Failure {
                attempt: u64::MAX - 9 + attempt,
                machine: "m".repeat(60),
                cause: "time limit".into(),
            };
            state.record_failure(failure, &RetryPolicy { max_attempts: 100, ..RetryPolicy::default() });
        }
    }
    let text = serde_json::to_string(&record).expect("JSON");
    assert!(text.len() < 4096, "{} bytes", text.len());
}

#[test]
fn an_acceptance_and_an_expired_upload_round_trip() {
    let header = DagRunHeader { graph: "nightly".into(), parts: 2, nodes: 9, max_active_runs: 1 };
    for record in [DagRunRecord::Accepted { at: 5, header }, DagRunRecord::UploadExpired { swept: 7 }] {
        let text = serde_json::to_string(&record).expect("JSON");
        assert_eq!(serde_json::from_str::<DagRunRecord>(&text).expect("a record"), record, "{text}");
    }
}
