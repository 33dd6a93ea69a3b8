//! Controllers with limited processor time: heartbeats and the outcomes of commands are queued, as in the program's loop.

use std::collections::VecDeque;

use olivelatch::coordination::Event;
use olivelatch::ids::Millis;

use super::{STEP_MS, SimulatedCluster};

/// What a heartbeat or the outcome of a command costs a controller, in units.
const EVENT_COST: f64 = 1.0;
/// What a direct command to a worker costs, as it takes a connection.
const COMMAND_COST: f64 = 3.0;

/// The events that wait for a controller, and how many of them it can handle.
#[derive(Default)]
pub struct EventQueue {
    /// Units per step; none: every event is handled at once.
    units_per_step: Option<f64>,
    /// Units that are left; below 0 it is a debt.
    budget: f64,
    /// Events, and since when they wait.
    waiting: VecDeque<(u64, Event)>,
}

impl EventQueue {
    pub fn new(units_per_s: f64) -> EventQueue {
        EventQueue { units_per_step: Some(units_per_s * STEP_MS as f64 / 1000.0), ..EventQueue::default() }
    }

    /// Returns the event if it need not wait.
    pub fn take_or_queue(&mut self, now: u64, event: Event) -> Option<Event> {
        let waits = self.units_per_step.is_some()
            && matches!(event, Event::Heartbeat { .. } | Event::WorkerCommands { .. });
        if !waits {
            return Some(event);
        }
        self.waiting.push_back((now, event));
        None
    }

    pub fn charge_command(&mut self) {
        self.budget -= COMMAND_COST;
    }

    fn pop_due(&mut self) -> Option<(u64, Event)> {
        if self.budget <= 0.0 {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.budget -= EVENT_COST;
        Some(next)
    }
}

impl SimulatedCluster {
    /// Handles as many waiting events as a step's time allows; a debt is paid off first.
    pub fn drain_event_queue(&mut self, controller: usize) {
        let Some(units) = self.controllers[controller].event_queue.units_per_step else { return };
        let queue = &mut self.controllers[controller].event_queue;
        queue.budget = (queue.budget + units).min(units);
        let now = self.now;
        let oldest = queue.waiting.front().map_or(0, |(since, _)| now - since);
        if let Some(running) = self.controllers[controller].controller.as_mut() {
            running.record_event_wait(Millis(now), oldest);
        }
        while let Some((_, event)) = self.controllers[controller].event_queue.pop_due() {
            self.handle_event_now(controller, event);
        }
    }
}
