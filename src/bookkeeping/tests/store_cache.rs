//! Tests of `mirror`.

use super::*;

#[test]
fn an_end_is_taken_in_once_and_costs_no_version() {
    let mut mirror = StoreCache::default();
    let value = serde_json::to_string(&TerminalRecord::new(TerminalState::Cancelled, 7, None)).expect("JSON");
    for at in 0..1000 {
        let key = RecordKey::Terminal(JobId(at)).encode();
        let pair = KvEntry { key, value: Some(value.clone()), revision: Revision(at + 1) };
        assert_eq!(mirror.apply(&pair), Some(ChangeEvent::Terminal(JobId(at), TerminalState::Cancelled)));
        assert_eq!(mirror.apply(&pair), None);
        assert_eq!(mirror.terminal_state(JobId(at)), Some(TerminalState::Cancelled));
    }
    assert!(mirror.key_revisions.is_empty());
}
