//! When a worker reports, to which controller, and what it does with the answer. Times are milliseconds of a steady clock.

use serde_json::Value;

use crate::core::Worker;
use crate::description::JobDescriptions;

/// The protocol's times of reports.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTimes {
    /// Between reports without a change.
    pub interval_ms: u64,
    /// Least time between a report and one that a change asks for.
    pub min_change_interval_ms: u64,
    /// Before the next controller is tried after one that did not take the report.
    pub retry_ms: u64,
    /// A controller answers a report within this, or another one is asked.
    pub response_timeout_ms: u64,
}

/// A report that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: u64,
    epoch: u64,
}

/// What came of a report: status 0 if no answer came.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatResponse<'a> {
    pub status: u16,
    pub body: &'a Value,
}

/// One worker's reports: one in flight at a time, to one controller at a time.
#[derive(Debug)]
pub struct HeartbeatSender {
    /// The controller reported to, by its place in the list.
    controller: usize,
    next_at: u64,
    in_flight: Option<InFlight>,
}

impl HeartbeatSender {
    /// Starts at this controller, with a first report at `now`.
    pub fn new(controller: usize, now: u64) -> HeartbeatSender {
        HeartbeatSender { controller, next_at: now, in_flight: None }
    }

    /// The controller reported to, of so many.
    pub fn current_controller(&self, controller_count: usize) -> usize {
        self.controller % controller_count.max(1)
    }

    /// Is a report due?
    pub fn is_due(&self, worker: &Worker, now: u64, times: HeartbeatTimes) -> bool {
        let after_change = worker.has_unreported_change
            && now + times.interval_ms >= self.next_at + times.min_change_interval_ms;
        self.in_flight.is_none() && (now >= self.next_at || after_change)
    }

    /// The report that goes out now. `jitter_ms` prolongs the time to the next one.
    pub fn send(&mut self, worker: &mut Worker, now: u64, times: HeartbeatTimes, jitter_ms: u64) -> Value {
        worker.has_unreported_change = false;
        let body = worker.heartbeat(now);
        self.in_flight = Some(InFlight { sent_at: now, epoch: worker.epoch });
        self.next_at = now + times.interval_ms + jitter_ms;
        body
    }

    /// The answer, or none; `place` tells a controller's place in the list by its name.
    pub fn handle_response(
        &mut self,
        worker: &mut Worker,
        response: HeartbeatResponse<'_>,
        now: u64,
        times: HeartbeatTimes,
        jobs: &JobDescriptions,
        controller_index: impl Fn(&str) -> Option<usize>,
    ) {
        let Some(open) = self.in_flight.take() else { return };
        let HeartbeatResponse { status, body } = response;
        if status == 200 {
            // An answer to a report of an earlier session is dropped.
            if worker.epoch == open.epoch {
                worker.apply_heartbeat_response(body, open.sent_at, now, jobs);
            }
            return;
        }
        let named = body["home"].as_str().filter(|_| status == 421).and_then(controller_index);
        match named.filter(|named| *named != self.controller) {
            Some(named) => {
                self.controller = named;
                self.next_at = now;
            }
            None => {
                self.controller += 1;
                self.next_at = now + times.retry_ms;
            }
        }
    }
}
