//! The independent check sees each rule broken, and nothing where none is.

use olivelatch_scale_test::{CancelTimes, InvariantChecker, JobFacts, TaskEvent, TaskEventKind};

fn event(at_ms: u64, worker: &str, task: &str, kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.into(), attempt: 1, kind }
}

fn check() -> InvariantChecker {
    let mut check = InvariantChecker::new(vec![2.0, 100.0]);
    check.record_submission("job-000001", JobFacts { team: 0, cpus: 1.0 });
    check.record_submission("job-000002", JobFacts { team: 1, cpus: 1.0 });
    check
}

fn rules(check: &InvariantChecker) -> Vec<&'static str> {
    check.violations().iter().map(|violation| violation.rule_name()).collect()
}

#[test]
fn a_task_may_move_but_not_be_at_two_places() {
    let mut check = check();
    check.apply_event(&event(1, "a", "job-000002/0", TaskEventKind::Placed));
    check.apply_event(&event(2, "a", "job-000002/0", TaskEventKind::Removed));
    check.apply_event(&event(3, "b", "job-000002/0", TaskEventKind::Placed));
    assert!(check.violations().is_empty());
    check.apply_event(&event(4, "c", "job-000002/0", TaskEventKind::Placed));
    assert_eq!(rules(&check), ["ran_twice"]);
}

#[test]
fn a_team_stays_within_its_limit_at_every_moment() {
    let mut check = check();
    for task in 0..2 {
        check.apply_event(&event(1, "a", &format!("job-000001/{task}"), TaskEventKind::Placed));
    }
    check.apply_event(&event(2, "a", "job-000001/0", TaskEventKind::Completed));
    check.apply_event(&event(3, "a", "job-000001/2", TaskEventKind::Placed));
    assert!(check.violations().is_empty(), "an end makes room");
    check.apply_event(&event(3, "a", "job-000001/3", TaskEventKind::Placed));
    assert_eq!(rules(&check), ["quota"]);
}

#[test]
fn what_is_cancelled_is_gone_in_time_and_stays_away() {
    let mut check = check();
    check.apply_event(&event(1, "a", "job-000002/0", TaskEventKind::Placed));
    check.apply_event(&event(1, "a", "job-000002/1", TaskEventKind::Placed));
    check.record_cancellation("job-000002", CancelTimes { at_ms: 5, stopped_by_ms: 10 });
    check.record_cancellation("job-000002", CancelTimes { at_ms: 5, stopped_by_ms: 90 });
    check.apply_event(&event(10, "a", "job-000002/0", TaskEventKind::Removed));
    assert!(check.violations().is_empty(), "within the time");
    check.advance_to(11);
    assert_eq!(
        rules(&check),
        ["ran_cancelled"],
        "the second task is still there, and the first answer counts"
    );
    check.apply_event(&event(12, "b", "job-000002/3", TaskEventKind::Placed));
    assert_eq!(rules(&check), ["ran_cancelled", "ran_cancelled"]);
}

#[test]
fn jobs_that_nobody_submitted_and_jobs_that_nobody_knows() {
    let mut check = check();
    check.apply_event(&event(1, "a", "job-000009/0", TaskEventKind::Placed));
    check.record_lost_job("job-000001");
    assert_eq!(rules(&check), ["invented", "forgotten"]);
}
