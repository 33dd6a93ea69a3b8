//! When a worker sends a heartbeat, to which controller, and what it does with the response. Times are milliseconds of
//! a monotonic clock.

use serde_json::Value;

use crate::description::JobDescriptions;
use crate::worker::Worker;

const STATUS_OK: u16 = 200;
const STATUS_MISDIRECTED: u16 = 421;

/// Times between heartbeats.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTimes {
    /// Between heartbeats without a change.
    pub interval_ms: u64,
    /// Least time between a heartbeat and one that a change makes due.
    pub min_change_interval_ms: u64,
    /// Before the next controller is tried after one that refused the heartbeat or did not respond.
    pub retry_ms: u64,
    /// A controller that has not responded within this counts as not responding.
    pub response_timeout_ms: u64,
}

/// A heartbeat that waits for its response.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: u64,
    epoch: u64,
}

/// The response to a heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatResponse<'a> {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Body as JSON.
    pub body: &'a Value,
}

/// One worker's heartbeats: one in flight at a time, to one controller at a time.
#[derive(Debug)]
pub struct HeartbeatSender {
    /// Index of the current controller in the list, modulo its length.
    controller: usize,
    next_at: u64,
    in_flight: Option<InFlight>,
}

impl HeartbeatSender {
    /// Starts with the controller of this index; the first heartbeat is due at `now`.
    pub fn new(controller: usize, now: u64) -> HeartbeatSender {
        HeartbeatSender { controller, next_at: now, in_flight: None }
    }

    /// The index of the current controller in a list of this length.
    pub fn current_controller(&self, controller_count: usize) -> usize {
        self.controller % controller_count.max(1)
    }

    /// Is a heartbeat due?
    pub fn is_due(&self, worker: &Worker, now: u64, times: HeartbeatTimes) -> bool {
        let after_change = worker.has_unreported_change
            && now + times.interval_ms >= self.next_at + times.min_change_interval_ms;
        self.in_flight.is_none() && (now >= self.next_at || after_change)
    }

    /// The heartbeat to send now. `jitter_ms` prolongs the time to the next one.
    pub fn send(&mut self, worker: &mut Worker, now: u64, times: HeartbeatTimes, jitter_ms: u64) -> Value {
        worker.has_unreported_change = false;
        let body = worker.heartbeat(now);
        self.in_flight = Some(InFlight { sent_at: now, epoch: worker.epoch });
        self.next_at = now + times.interval_ms + jitter_ms;
        body
    }

    /// Handles the response, or that there is none. A controller that does not serve this worker names the one that
    /// does, which gets the next heartbeat at once; `controller_index` finds it in the list.
    pub fn handle_response(
        &mut self,
        worker: &mut Worker,
        response: HeartbeatResponse<'_>,
        now: u64,
        times: HeartbeatTimes,
        jobs: &JobDescriptions,
        controller_index: impl Fn(&str) -> Option<usize>,
    ) {
        let Some(request) = self.in_flight.take() else { return };
        let HeartbeatResponse { status, body } = response;
        if status == STATUS_OK {
            // A response to a heartbeat of an earlier epoch is dropped.
            if worker.epoch == request.epoch {
                worker.apply_heartbeat_response(body, request.sent_at, now, jobs);
            }
            return;
        }
        let named = body["home"].as_str().filter(|_| status == STATUS_MISDIRECTED).and_then(controller_index);
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
