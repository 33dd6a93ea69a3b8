//! Passes the events of the simulated workers to the checker in time order, and measures the start latencies.

use olivelatch::protocol::users::PriorityClass;

use super::ScaleRun;
use crate::control::{TaskEvent, TaskEventKind};
use crate::measurements::URGENT_OBJECTIVE_MS;

/// The bits of an attempt number above this position are the fencing token of the leader that started the
/// attempt.
const TOKEN_SHIFT_BITS: u32 = 24;

impl ScaleRun {
    /// Checks the pending events before the time until which all zones have delivered their events.
    pub(super) fn check_events(&mut self) {
        let until = self.zones.iter().map(|zone| zone.status.until_ms).min().unwrap_or(0);
        let (mut complete, pending): (Vec<TaskEvent>, Vec<TaskEvent>) =
            std::mem::take(&mut self.pending_events).into_iter().partition(|event| event.at_ms < until);
        self.pending_events = pending;
        // The clocks of the processes agree to within a millisecond, so the order of events in the same
        // millisecond is unknown: removals are assumed to come before placements.
        let adds_task =
            |event: &TaskEvent| matches!(event.kind, TaskEventKind::Placed | TaskEventKind::Started);
        complete.sort_by_key(|event| (event.at_ms, adds_task(event)));
        for event in &complete {
            self.checker.apply_event(event);
            match event.kind {
                TaskEventKind::Placed => self.record_placement(event),
                TaskEventKind::Started => self.record_start(event),
                TaskEventKind::Removed | TaskEventKind::Completed => {}
            }
        }
        self.checker.advance_to(until);
    }

    /// Records when the new leader's first task was placed. It is the first task with a higher fencing token
    /// than all tasks before.
    fn record_placement(&mut self, event: &TaskEvent) {
        let token = event.attempt >> TOKEN_SHIFT_BITS;
        if token <= self.highest_token {
            return;
        }
        self.highest_token = token;
        let Some(change) = self.report.leader_changes.last_mut() else { return };
        let from_s = self
            .leader_killed_at
            .map_or(self.load.start_ms as f64 / 1000.0 + change.at_s, |at_ms| at_ms as f64 / 1000.0);
        change.first_start_s = Some(event.at_ms as f64 / 1000.0 - from_s);
    }

    /// Counts a task start, and records the wait if it is the first start of the task.
    fn record_start(&mut self, event: &TaskEvent) {
        self.measurements.starts += 1;
        let job = event.task.split('/').next();
        let Some(user) = job.and_then(|job| self.load.user_by_job.get(job)) else { return };
        let user = &self.load.users.users[*user];
        let arrival = &user.arrival;
        let phase = self.phase_at(arrival.at_ms).unwrap_or("after").to_string();
        let wait_ms = event.at_ms.saturating_sub(self.load.start_ms + arrival.at_ms);
        let latencies = &mut self.measurements.start_latencies;
        if !latencies.record_first_start(&event.task, &arrival.class, &phase, wait_ms) {
            return;
        }
        self.measurements.waiting_tasks -= 1;
        let is_urgent = self
            .plan
            .job_classes
            .get(&arrival.class)
            .is_some_and(|job| job.priority_class <= PriorityClass::High);
        if is_urgent && wait_ms > URGENT_OBJECTIVE_MS {
            self.report.urgent_past_objective += 1;
            self.report.urgent_late_at_limit += u64::from(user.team_at_limit);
        }
    }

    /// Returns the name of the phase at a time of the load; `None` after the last phase.
    pub(super) fn phase_at(&self, at_ms: u64) -> Option<&str> {
        let mut end_s = 0.0;
        let mut phases = self.plan.phases.iter();
        let found = phases.find(|(_, phase)| {
            end_s += phase.seconds;
            (at_ms as f64) < end_s * 1000.0
        });
        found.map(|(name, _)| name.as_str())
    }
}
