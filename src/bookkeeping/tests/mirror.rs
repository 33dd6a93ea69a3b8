//! Tests of `mirror`.

use super::*;

#[test]
fn an_end_is_taken_in_once_and_costs_no_version() {
    let mut mirror = Mirror::default();
    let value = serde_json::to_string(&EndRecord::new(End::Withdrawn, 7, None)).expect("JSON");
    for at in 0..1000 {
        let key = Key::End(JobId(at)).text();
        let pair = Pair { key, value: Some(value.clone()), stamp: Revision(at + 1) };
        assert_eq!(mirror.apply(&pair), Some(Seen::Ended(JobId(at), End::Withdrawn)));
        assert_eq!(mirror.apply(&pair), None);
        assert_eq!(mirror.end_of(JobId(at)), Some(End::Withdrawn));
    }
    assert!(mirror.stamps.is_empty());
}
