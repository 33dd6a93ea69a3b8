//! Decides when a worker sends a heartbeat and to which controller, and handles the response. Times are milliseconds of
//! a monotonic clock.

use serde_json::Value;

use crate::description::JobDescriptions;
use crate::worker::Worker;

const STATUS_OK: u16 = 200;
const STATUS_MISDIRECTED: u16 = 421;

/// Intervals and time-outs of heartbeats, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTimes {
    /// Interval between heartbeats when nothing changes.
    pub interval_ms: u64,
    /// Minimum interval before a heartbeat that is sent early because of a change.
    pub min_change_interval_ms: u64,
    /// Delay before the next controller is tried, after one rejected the heartbeat or did not respond.
    pub retry_ms: u64,
    /// Time-out of a request, after which the heartbeat counts as unanswered.
    pub response_timeout_ms: u64,
}

/// A heartbeat whose response is outstanding.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    sent_at: u64,
    epoch: u64,
}

/// The outcome of a heartbeat request.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatResponse<'a> {
    /// HTTP status of the response; 0 if there was none.
    pub status: u16,
    /// Body of the response, as JSON.
    pub body: &'a Value,
}

/// Sends the heartbeats of one worker: at most one is in flight, and all go to one controller until it fails or
/// redirects the worker.
#[derive(Debug)]
pub struct HeartbeatSender {
    /// Index of the current controller in the caller's list, modulo the length of the list.
    controller: usize,
    next_at: u64,
    in_flight: Option<InFlight>,
}

impl HeartbeatSender {
    /// Creates a sender that starts with the controller at this index. The first heartbeat is due at `now`.
    pub fn new(controller: usize, now: u64) -> HeartbeatSender {
        HeartbeatSender { controller, next_at: now, in_flight: None }
    }

    /// Returns the index of the current controller in a list of this length.
    pub fn current_controller(&self, controller_count: usize) -> usize {
        self.controller % controller_count.max(1)
    }

    /// Returns whether a heartbeat is due: the interval has passed or, after a change, the minimum interval has. None
    /// is due while one is in flight.
    pub fn is_due(&self, worker: &Worker, now: u64, times: HeartbeatTimes) -> bool {
        let after_change = worker.has_unreported_change
            && now + times.interval_ms >= self.next_at + times.min_change_interval_ms;
        self.in_flight.is_none() && (now >= self.next_at || after_change)
    }

    /// Returns the heartbeat to send now and schedules the next one, delayed by `jitter_ms`.
    pub fn send(&mut self, worker: &mut Worker, now: u64, times: HeartbeatTimes, jitter_ms: u64) -> Value {
        worker.has_unreported_change = false;
        let body = worker.heartbeat(now);
        self.in_flight = Some(InFlight { sent_at: now, epoch: worker.epoch });
        self.next_at = now + times.interval_ms + jitter_ms;
        body
    }

    /// Handles a response, or the lack of one. A controller that does not serve this worker responds with the name of
    /// the one that does; the next heartbeat goes there at once. `controller_index` finds a controller by its name.
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
        let redirect_target =
            body["home"].as_str().filter(|_| status == STATUS_MISDIRECTED).and_then(controller_index);
        match redirect_target.filter(|target| *target != self.controller) {
            Some(target) => {
                self.controller = target;
                self.next_at = now;
            }
            None => {
                self.controller += 1;
                self.next_at = now + times.retry_ms;
            }
        }
    }
}
