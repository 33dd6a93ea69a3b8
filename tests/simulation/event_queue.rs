//! Controllers with limited processor time: heartbeats and the outcomes of direct commands are queued, as in the event
//! loop of the real program.

use std::collections::VecDeque;

use olivelatch::coordination::Event;
use olivelatch::ids::Millis;

use super::{STEP_MS, SimulatedCluster};

/// Cost of handling a heartbeat or the outcome of a direct command. This is the unit of processor time here.
const EVENT_COST: f64 = 1.0;
/// Cost of sending direct commands to a worker, in units. It is higher because it takes a connection.
const COMMAND_COST: f64 = 3.0;

/// The events that wait for a controller, and the processor time that it has left for them.
#[derive(Default)]
pub struct EventQueue {
    /// Units of processor time per step; `None` if every event is handled at once.
    units_per_step: Option<f64>,
    /// Units that are left. A negative value is a debt that later steps pay off.
    budget: f64,
    /// Waiting events, each with the time at which it was queued.
    waiting: VecDeque<(u64, Event)>,
}

impl EventQueue {
    pub fn new(units_per_s: f64) -> EventQueue {
        EventQueue { units_per_step: Some(units_per_s * STEP_MS as f64 / 1000.0), ..EventQueue::default() }
    }

    /// Returns the event if it need not wait; otherwise queues it.
    pub fn take_or_queue(&mut self, now: u64, event: Event) -> Option<Event> {
        let must_wait = self.units_per_step.is_some()
            && matches!(event, Event::Heartbeat { .. } | Event::WorkerCommands { .. });
        if !must_wait {
            return Some(event);
        }
        self.waiting.push_back((now, event));
        None
    }

    /// Subtracts the cost of sending direct commands to a worker.
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
    /// Handles as many waiting events as the units of one step allow. A debt is paid off first.
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
