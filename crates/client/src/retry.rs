//! Decides which controller a request is sent to next, and when, under one deadline for all attempts. Does no
//! I/O and reads no clock: the caller passes the time with the outcome of each attempt.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Backoff of a controller after its first lost attempt. Each further lost attempt doubles it, up to the maximum.
const FIRST_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 2_000;
/// Backoff of a controller after a retryable response without `Retry-After`.
const REFUSED_BACKOFF_MS: u64 = 1_000;

const MS_PER_SECOND: u64 = 1_000;

/// The outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The controller responded.
    Response {
        /// The HTTP status of the response.
        status: u16,
        /// The `Retry-After` header of the response, in seconds.
        retry_after_s: Option<u32>,
    },
    /// The connection was refused or lost, or no response arrived in time: the request may have been executed.
    Lost,
}

/// What the client does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// Return the last response to the caller: it is final.
    Final,
    /// Send the request to a controller.
    Send {
        /// The index of the controller.
        controller: usize,
        /// Time to wait before sending, in ms.
        wait_ms: u64,
    },
    /// Stop: no controller may be tried again before the deadline.
    GiveUp,
}

#[derive(Debug)]
struct ControllerBackoff {
    /// The controller is not tried before this time.
    not_before_ms: u64,
    /// How long the controller is not tried after its next lost attempt, before jitter.
    backoff_ms: u64,
}

/// The retry state of one request. Times are in ms since the start of the request.
#[derive(Debug)]
pub(crate) struct RetryState {
    controllers: Vec<ControllerBackoff>,
    /// Index of the controller that the last decision selected.
    current: usize,
    deadline_ms: u64,
}

/// Returns whether a response with this status is final. Only 429 and server errors are worth a retry.
fn is_final(status: u16) -> bool {
    !matches!(status, 429 | 500..)
}

impl RetryState {
    /// Creates the state for a number of controllers. The first attempt goes to the one with index `first`, modulo
    /// their number; no attempt starts after the deadline.
    pub fn new(controllers: usize, first: usize, deadline_ms: u64) -> RetryState {
        let all =
            (0..controllers).map(|_| ControllerBackoff { not_before_ms: 0, backoff_ms: FIRST_BACKOFF_MS });
        RetryState { controllers: all.collect(), current: first % controllers.max(1), deadline_ms }
    }

    /// Returns the decision for the first attempt.
    pub fn first_decision(&self) -> RetryDecision {
        if self.controllers.is_empty() {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Send { controller: self.current, wait_ms: 0 }
        }
    }

    /// Records the outcome of the last attempt, which ended at `now_ms`, and decides what to do next. Selects the
    /// controller that may be tried soonest; among several, the next one in the list after the last one tried, where
    /// the list wraps around.
    pub fn next_decision(
        &mut self,
        now_ms: u64,
        outcome: AttemptOutcome,
        rng: &mut SmallRng,
    ) -> RetryDecision {
        let Some(last) = self.controllers.get_mut(self.current) else { return RetryDecision::GiveUp };
        last.not_before_ms = now_ms
            + match outcome {
                AttemptOutcome::Response { status, .. } if is_final(status) => return RetryDecision::Final,
                AttemptOutcome::Response { retry_after_s: Some(seconds), .. } => {
                    u64::from(seconds) * MS_PER_SECOND
                }
                AttemptOutcome::Response { .. } => REFUSED_BACKOFF_MS,
                AttemptOutcome::Lost => {
                    let backoff = last.backoff_ms;
                    last.backoff_ms = (backoff * 2).min(MAX_BACKOFF_MS);
                    // Jitter, so that clients that lost a controller together do not retry together.
                    backoff / 2 + rng.random_range(0..=backoff / 2)
                }
            };
        let count = self.controllers.len();
        let positions_after_last = |index: usize| (index + count - self.current - 1) % count;
        let soonest = (0..count).min_by_key(|index| {
            (self.controllers[*index].not_before_ms.max(now_ms), positions_after_last(*index))
        });
        let Some(controller) = soonest else { return RetryDecision::GiveUp };
        let wait_ms = self.controllers[controller].not_before_ms.saturating_sub(now_ms);
        if now_ms + wait_ms >= self.deadline_ms {
            return RetryDecision::GiveUp;
        }
        self.current = controller;
        RetryDecision::Send { controller, wait_ms }
    }
}

#[cfg(test)]
#[path = "tests/retry.rs"]
mod tests;
