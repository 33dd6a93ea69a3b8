//! Tests of `store_cache`.

use super::*;
use crate::bookkeeping::records::TerminalRecord;
use crate::protocol::kv::KvEntry;

#[test]
fn a_terminal_record_is_applied_once_and_keeps_no_revision() {
    let mut cache = StoreCache::default();
    let value = serde_json::to_string(&TerminalRecord::new(TerminalState::Cancelled, 7, None)).expect("JSON");
    for job in 0..1000 {
        let key = RecordKey::Terminal(JobId(job)).encode();
        let entry = KvEntry { key, value: Some(value.clone()), revision: Revision(job + 1) };
        assert_eq!(cache.apply(&entry), Some(ChangeEvent::Terminal(JobId(job), TerminalState::Cancelled)));
        assert_eq!(cache.apply(&entry), None);
        assert_eq!(cache.terminal_state(JobId(job)), Some(TerminalState::Cancelled));
    }
    assert!(cache.key_revisions.is_empty());
}
