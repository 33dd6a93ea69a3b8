//! Tests of `journal`.

use super::*;

/// However much happens, a ring keeps its length, says that it was cut, and old jobs go first.
#[test]
fn rings_are_bounded_and_say_so() {
    let mut journal = Journal::new(4, 0);
    journal.inherited();
    for at in 0..10_u32 {
        journal.tell_time(u64::from(at) * 2 * MERGED_MS);
        journal.note(JobId(1), EventWord::Bound, Some(MachineIx(at)), at, 1);
        journal.note(JobId(1), EventWord::Bound, Some(MachineIx(at)), at + 1, 1);
    }
    let ring = journal.ring(JobId(1)).expect("a ring");
    assert_eq!((ring.events.len(), ring.cut), (4, true));
    assert!(ring.events.iter().all(|noted| noted.tasks == 2), "neighbours are merged");
    for id in 2..2 + MOST_JOBS as u64 {
        journal.add(JobId(id));
    }
    assert!(journal.ring(JobId(1)).is_none());
    assert!(journal.ring(JobId(2)).is_some_and(|ring| !ring.cut));
}
