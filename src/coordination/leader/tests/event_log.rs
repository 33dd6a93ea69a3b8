//! Tests of `event_log`.

use super::*;

/// A history that exceeds its maximum length drops its oldest events and is marked as truncated. With too many jobs,
/// the oldest history is evicted.
#[test]
fn histories_are_bounded_and_marked_as_truncated() {
    let mut event_log = EventLog::new(4, 0);
    event_log.finish_recovery();
    for index in 0..10_u32 {
        event_log.set_wall_time(u64::from(index) * 2 * MERGE_WINDOW_MS);
        event_log.record(JobId(1), JobEventKind::Bound, Some(MachineIx(index)), index, 1);
        event_log.record(JobId(1), JobEventKind::Bound, Some(MachineIx(index)), index + 1, 1);
    }
    let history = event_log.history_of(JobId(1)).expect("a history");
    assert_eq!((history.events.len(), history.truncated), (4, true));
    assert!(
        history.events.iter().all(|event| event.task_count == 2),
        "consecutive events of one machine are merged"
    );
    for id in 2..2 + MAX_JOBS as u64 {
        event_log.record_new_job(JobId(id));
    }
    assert!(event_log.history_of(JobId(1)).is_none());
    assert!(event_log.history_of(JobId(2)).is_some_and(|history| !history.truncated));
}
