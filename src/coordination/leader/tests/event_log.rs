//! Tests of `journal`.

use super::*;

/// However much happens, a ring keeps its length, says that it was cut, and old jobs go first.
#[test]
fn rings_are_bounded_and_say_so() {
    let mut journal = EventLog::new(4, 0);
    journal.finish_recovery();
    for at in 0..10_u32 {
        journal.set_wall_time(u64::from(at) * 2 * MERGE_WINDOW_MS);
        journal.record(JobId(1), JobEventKind::Bound, Some(MachineIx(at)), at, 1);
        journal.record(JobId(1), JobEventKind::Bound, Some(MachineIx(at)), at + 1, 1);
    }
    let ring = journal.history_of(JobId(1)).expect("a ring");
    assert_eq!((ring.events.len(), ring.truncated), (4, true));
    assert!(ring.events.iter().all(|noted| noted.task_count == 2), "neighbours are merged");
    for id in 2..2 + MAX_JOBS as u64 {
        journal.record_new_job(JobId(id));
    }
    assert!(journal.history_of(JobId(1)).is_none());
    assert!(journal.history_of(JobId(2)).is_some_and(|ring| !ring.truncated));
}
