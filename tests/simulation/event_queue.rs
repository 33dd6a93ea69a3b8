//! Controllers with limited processor time: what workers say waits its turn, as it does in the program's loop.

use std::collections::VecDeque;

use olivelatch::coordination::Event;
use olivelatch::ids::Millis;

use super::{STEP_MS, SimulatedCluster};

/// What a report, or what came of a command, costs a controller.
const EVENT_COST: f64 = 1.0;
/// A command straight to a worker costs a connection.
const COMMAND_COST: f64 = 3.0;

#[derive(Default)]
pub struct EventQueue {
    /// Units a step; none: all there is to do is done at once.
    units_per_step: Option<f64>,
    budget: f64,
    waiting: VecDeque<(u64, Event)>,
}

impl EventQueue {
    pub fn new(units_per_s: f64) -> EventQueue {
        EventQueue { units_per_step: Some(units_per_s * STEP_MS as f64 / 1000.0), ..EventQueue::default() }
    }

    /// Gives the event back if it need not wait.
    pub fn take_or_queue(&mut self, now: u64, input: Event) -> Option<Event> {
        let waits = self.units_per_step.is_some()
            && matches!(input, Event::Heartbeat { .. } | Event::WorkerCommands { .. });
        if !waits {
            return Some(input);
        }
        self.waiting.push_back((now, input));
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
    /// As much of what waits as a step's time allows; a debt is worked off first.
    pub fn drain_event_queue(&mut self, at: usize) {
        let Some(rate) = self.controllers[at].event_queue.units_per_step else { return };
        let load = &mut self.controllers[at].event_queue;
        load.budget = (load.budget + rate).min(rate);
        let now = self.now;
        let oldest = load.waiting.front().map_or(0, |(since, _)| now - since);
        if let Some(node) = self.controllers[at].controller.as_mut() {
            node.record_event_wait(Millis(now), oldest);
        }
        while let Some((_, input)) = self.controllers[at].event_queue.pop_due() {
            self.handle_event_now(at, input);
        }
    }
}
