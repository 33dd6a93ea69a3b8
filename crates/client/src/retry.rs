//! Decides which controller a request is sent to next, and when, under one deadline for all attempts. Does no I/O and reads
//! no clock: the time comes in with each outcome.

use rand::RngExt;
use rand::rngs::SmallRng;

/// The pause of a controller after a lost attempt: doubled by each further one, up to the maximum.
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 2_000;
/// The pause after a refusal without `Retry-After`.
const REFUSED_PAUSE_MS: u64 = 1_000;

const MS_PER_SECOND: u64 = 1_000;

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// A response came.
    Response {
        /// Its HTTP status.
        status: u16,
        /// Its `Retry-After`, in seconds.
        retry_after_s: Option<u32>,
    },
    /// Connection refused or lost, or no response in time: the request may have been carried out.
    Lost,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// The last response is final.
    Final,
    /// Send the request to this controller.
    Send {
        /// Its position.
        controller: usize,
        /// How long to wait first, in ms.
        wait_ms: u64,
    },
    /// No controller may be tried again before the deadline.
    GiveUp,
}

#[derive(Debug)]
struct ControllerBackoff {
    not_before_ms: u64,
    /// The pause after its next lost attempt.
    pause_ms: u64,
}

/// The attempts of one request. Times are in ms since it began.
#[derive(Debug)]
pub(crate) struct RetryState {
    controllers: Vec<ControllerBackoff>,
    current: usize,
    deadline_ms: u64,
}

/// Whether another attempt could not change the response.
fn is_final(status: u16) -> bool {
    !matches!(status, 429 | 500..)
}

impl RetryState {
    /// A request to so many controllers that tries `first` first, and none after the deadline.
    pub fn new(controllers: usize, first: usize, deadline_ms: u64) -> RetryState {
        let all = (0..controllers).map(|_| ControllerBackoff { not_before_ms: 0, pause_ms: FIRST_PAUSE_MS });
        RetryState { controllers: all.collect(), current: first % controllers.max(1), deadline_ms }
    }

    /// What to do before any attempt.
    pub fn first_controller(&self) -> RetryDecision {
        if self.controllers.is_empty() {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Send { controller: self.current, wait_ms: 0 }
        }
    }

    /// What to do after the last attempt ended so, now: the controller that may be tried soonest comes next, and among
    /// equals the one after the last.
    pub fn after_attempt(
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
                AttemptOutcome::Response { .. } => REFUSED_PAUSE_MS,
                AttemptOutcome::Lost => {
                    let pause = last.pause_ms;
                    last.pause_ms = (pause * 2).min(MAX_PAUSE_MS);
                    // Jitter, so that clients that lost a controller together do not retry together.
                    pause / 2 + rng.random_range(0..=pause / 2)
                }
            };
        let count = self.controllers.len();
        let distance = |index: usize| (index + count - self.current - 1) % count;
        let soonest = (0..count)
            .min_by_key(|index| (self.controllers[*index].not_before_ms.max(now_ms), distance(*index)));
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
