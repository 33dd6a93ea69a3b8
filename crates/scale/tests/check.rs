//! The independent check sees each rule broken, and nothing where none is.

use olivelatch_scale::{Cancelled, Check, JobFacts, TaskEvent, TaskEventKind};

fn event(at_ms: u64, worker: &str, task: &str, kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.into(), attempt: 1, kind }
}

fn check() -> Check {
    let mut check = Check::new(vec![2.0, 100.0]);
    check.submitted("job-000001", JobFacts { team: 0, cpus: 1.0 });
    check.submitted("job-000002", JobFacts { team: 1, cpus: 1.0 });
    check
}

fn rules(check: &Check) -> Vec<&'static str> {
    check.violations().iter().map(|violation| violation.rule()).collect()
}

#[test]
fn a_task_may_move_but_not_be_at_two_places() {
    let mut check = check();
    check.take(&event(1, "a", "job-000002/0", TaskEventKind::On));
    check.take(&event(2, "a", "job-000002/0", TaskEventKind::Off));
    check.take(&event(3, "b", "job-000002/0", TaskEventKind::On));
    assert!(check.violations().is_empty());
    check.take(&event(4, "c", "job-000002/0", TaskEventKind::On));
    assert_eq!(rules(&check), ["ran_twice"]);
}

#[test]
fn a_team_stays_within_its_limit_at_every_moment() {
    let mut check = check();
    for task in 0..2 {
        check.take(&event(1, "a", &format!("job-000001/{task}"), TaskEventKind::On));
    }
    check.take(&event(2, "a", "job-000001/0", TaskEventKind::Done));
    check.take(&event(3, "a", "job-000001/2", TaskEventKind::On));
    assert!(check.violations().is_empty(), "an end makes room");
    check.take(&event(3, "a", "job-000001/3", TaskEventKind::On));
    assert_eq!(rules(&check), ["quota"]);
}

#[test]
fn what_is_cancelled_is_gone_in_time_and_stays_away() {
    let mut check = check();
    check.take(&event(1, "a", "job-000002/0", TaskEventKind::On));
    check.take(&event(1, "a", "job-000002/1", TaskEventKind::On));
    check.cancelled("job-000002", Cancelled { at_ms: 5, gone_by_ms: 10 });
    check.cancelled("job-000002", Cancelled { at_ms: 5, gone_by_ms: 90 });
    check.take(&event(10, "a", "job-000002/0", TaskEventKind::Off));
    assert!(check.violations().is_empty(), "within the time");
    check.pass(11);
    assert_eq!(
        rules(&check),
        ["ran_cancelled"],
        "the second task is still there, and the first answer counts"
    );
    check.take(&event(12, "b", "job-000002/3", TaskEventKind::On));
    assert_eq!(rules(&check), ["ran_cancelled", "ran_cancelled"]);
}

#[test]
fn jobs_that_nobody_submitted_and_jobs_that_nobody_knows() {
    let mut check = check();
    check.take(&event(1, "a", "job-000009/0", TaskEventKind::On));
    check.forgotten("job-000001");
    assert_eq!(rules(&check), ["invented", "forgotten"]);
}
