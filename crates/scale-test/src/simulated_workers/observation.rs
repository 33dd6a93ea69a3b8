//! Derives the events for the checker from the attempts on a simulated worker.
//!
//! Keeps the last observed phase of each attempt. Does no I/O and reads no clock.

use std::collections::BTreeMap;

use olivelatch_net::server::ListenerId;
use olivelatch_worker::{AttemptPhase, HeartbeatSender, TaskAttempt, Worker};

use crate::control::{TaskEvent, TaskEventKind};

/// A task's name and the number of its attempt.
type AttemptKey = (String, u64);

/// The phase of an attempt, as last observed on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ObservedPhase {
    Placed,
    Running,
    Removed,
}

impl From<&AttemptPhase> for ObservedPhase {
    fn from(phase: &AttemptPhase) -> ObservedPhase {
        match phase {
            AttemptPhase::FetchingImage { .. } | AttemptPhase::WaitingForGang { .. } => ObservedPhase::Placed,
            AttemptPhase::Ended { .. } => ObservedPhase::Removed,
            _ => ObservedPhase::Running,
        }
    }
}

/// The state that the zone keeps for each worker: its listener, its heartbeat sender and the observed phases
/// of its attempts.
pub(super) struct SimulatedWorker {
    pub(super) listener: ListenerId,
    pub(super) heartbeat_sender: HeartbeatSender,
    observed: BTreeMap<AttemptKey, ObservedPhase>,
}

impl SimulatedWorker {
    pub(super) fn new(listener: ListenerId, heartbeat_sender: HeartbeatSender) -> SimulatedWorker {
        SimulatedWorker { listener, heartbeat_sender, observed: BTreeMap::new() }
    }

    /// Returns the number of attempts that hold resources of the machine.
    pub(super) fn tasks_on_machine(&self) -> usize {
        self.observed.values().filter(|phase| **phase != ObservedPhase::Removed).count()
    }

    /// Appends an event for each change since the last call; `now` is in milliseconds of the run.
    pub(super) fn observe(&mut self, worker: &Worker, now: u64, events: &mut Vec<TaskEvent>) {
        let name = &worker.machine.name;
        for attempt in worker.attempts.iter().filter(|attempt| attempt.has_image) {
            self.observe_attempt(name, attempt, now, events);
        }
        // The worker no longer lists attempts that were deleted or were killed at the end of their worker epoch.
        self.observed.retain(|key, phase| {
            let listed =
                worker.attempts.iter().any(|attempt| attempt.attempt == key.1 && attempt.task == key.0);
            if !listed && *phase != ObservedPhase::Removed {
                events.push(task_event(now, name, key, TaskEventKind::Removed));
            }
            listed
        });
    }

    /// Appends a removal event for each attempt on a worker whose machine is removed.
    pub(super) fn observe_removal(&self, worker: &str, now: u64, events: &mut Vec<TaskEvent>) {
        for (key, phase) in &self.observed {
            if *phase != ObservedPhase::Removed {
                events.push(task_event(now, worker, key, TaskEventKind::Removed));
            }
        }
    }

    fn observe_attempt(
        &mut self,
        worker: &str,
        attempt: &TaskAttempt,
        now: u64,
        events: &mut Vec<TaskEvent>,
    ) {
        let key = (attempt.task.clone(), attempt.attempt);
        let before = self.observed.get(&key).copied();
        let after = ObservedPhase::from(&attempt.phase);
        if before == Some(after) {
            return;
        }
        let mut push_event = |kind| events.push(task_event(now, worker, &key, kind));
        if before.is_none() {
            push_event(TaskEventKind::Placed);
        }
        match (after, &attempt.phase) {
            (ObservedPhase::Running, _) => push_event(TaskEventKind::Started),
            (ObservedPhase::Removed, AttemptPhase::Ended { cause: "done", .. }) => {
                push_event(TaskEventKind::Completed);
            }
            (ObservedPhase::Removed, _) => push_event(TaskEventKind::Removed),
            (ObservedPhase::Placed, _) => {}
        }
        self.observed.insert(key, after);
    }
}

fn task_event(at_ms: u64, worker: &str, (task, attempt): &AttemptKey, kind: TaskEventKind) -> TaskEvent {
    TaskEvent { at_ms, worker: worker.into(), task: task.clone(), attempt: *attempt, kind }
}
