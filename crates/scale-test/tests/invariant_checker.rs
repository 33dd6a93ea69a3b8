//! The invariant checker detects a violation of each invariant and reports none where there is none.

use olivelatch_scale_test::{CancelTimes, InvariantChecker, JobFacts, TaskEvent, TaskEventKind};

fn event(at_ms: u64, worker: &str, task: &str, kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.into(), attempt: 1, kind }
}

/// Creates a checker for two teams with one submitted job each.
fn new_checker() -> InvariantChecker {
    let mut checker = InvariantChecker::new(vec![2.0, 100.0]);
    checker.record_submission("job-000001", JobFacts { team: 0, cpus: 1.0 });
    checker.record_submission("job-000002", JobFacts { team: 1, cpus: 1.0 });
    checker
}

fn violated_rules(checker: &InvariantChecker) -> Vec<&'static str> {
    checker.violations().iter().map(|violation| violation.rule_name()).collect()
}

#[test]
fn task_may_move_but_not_be_on_two_workers() {
    let mut checker = new_checker();
    checker.apply_event(&event(1, "a", "job-000002/0", TaskEventKind::Placed));
    checker.apply_event(&event(2, "a", "job-000002/0", TaskEventKind::Removed));
    checker.apply_event(&event(3, "b", "job-000002/0", TaskEventKind::Placed));
    assert!(checker.violations().is_empty());
    checker.apply_event(&event(4, "c", "job-000002/0", TaskEventKind::Placed));
    assert_eq!(violated_rules(&checker), ["ran_twice"]);
}

#[test]
fn team_use_above_the_limit_is_detected() {
    let mut checker = new_checker();
    for task in 0..2 {
        checker.apply_event(&event(1, "a", &format!("job-000001/{task}"), TaskEventKind::Placed));
    }
    checker.apply_event(&event(2, "a", "job-000001/0", TaskEventKind::Completed));
    checker.apply_event(&event(3, "a", "job-000001/2", TaskEventKind::Placed));
    assert!(checker.violations().is_empty(), "a completed task no longer counts against the limit");
    checker.apply_event(&event(3, "a", "job-000001/3", TaskEventKind::Placed));
    assert_eq!(violated_rules(&checker), ["quota"]);
}

#[test]
fn cancelled_tasks_must_stop_by_the_deadline_and_not_be_placed_after_it() {
    let mut checker = new_checker();
    checker.apply_event(&event(1, "a", "job-000002/0", TaskEventKind::Placed));
    checker.apply_event(&event(1, "a", "job-000002/1", TaskEventKind::Placed));
    checker.record_cancellation("job-000002", CancelTimes { confirmed_at_ms: 5, stop_deadline_ms: 10 });
    checker.record_cancellation("job-000002", CancelTimes { confirmed_at_ms: 5, stop_deadline_ms: 90 });
    checker.apply_event(&event(10, "a", "job-000002/0", TaskEventKind::Removed));
    assert!(checker.violations().is_empty(), "the deadline has not passed yet");
    checker.advance_to(11);
    assert_eq!(
        violated_rules(&checker),
        ["ran_cancelled"],
        "the second task is still placed, and the first confirmation sets the deadline"
    );
    checker.apply_event(&event(12, "b", "job-000002/3", TaskEventKind::Placed));
    assert_eq!(violated_rules(&checker), ["ran_cancelled", "ran_cancelled"]);
}

#[test]
fn unknown_and_lost_jobs_are_detected() {
    let mut checker = new_checker();
    checker.apply_event(&event(1, "a", "job-000009/0", TaskEventKind::Placed));
    checker.record_lost_job("job-000001");
    assert_eq!(violated_rules(&checker), ["invented", "forgotten"]);
}
