//! Which controller is asked next, and when: one deadline for all tries.

use rand::RngExt;
use rand::rngs::SmallRng;

/// After a cut, the same controller is left alone so long, doubled by each further one, up to the second.
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 2_000;
/// A refusal that does not say when to come back.
const REFUSED_PAUSE_MS: u64 = 1_000;

/// What became of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    Response {
        status: u16,
        retry_after_s: Option<u32>,
    },
    /// Refused connection, cut, or no answer in time: it may have been carried out.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The answer is final.
    Final,
    /// Ask this controller, after so many milliseconds.
    Send {
        controller: usize,
        wait_ms: u64,
    },
    GiveUp,
}

#[derive(Debug)]
struct ControllerBackoff {
    not_before: u64,
    pause_ms: u64,
}

/// One request on its way. Times are milliseconds since it began.
#[derive(Debug)]
pub struct RetryState {
    controllers: Vec<ControllerBackoff>,
    current: usize,
    deadline_ms: u64,
}

/// Is there any use in asking again?
fn is_final(status: u16) -> bool {
    !matches!(status, 429 | 500..)
}

impl RetryState {
    /// Begins with controller `first`; asks none after the deadline.
    pub fn new(controllers: usize, first: usize, deadline_ms: u64) -> RetryState {
        let all = (0..controllers).map(|_| ControllerBackoff { not_before: 0, pause_ms: FIRST_PAUSE_MS });
        RetryState { controllers: all.collect(), current: first % controllers.max(1), deadline_ms }
    }

    pub fn first_controller(&self) -> RetryDecision {
        if self.controllers.is_empty() {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Send { controller: self.current, wait_ms: 0 }
        }
    }

    /// What follows from the outcome of the last try, now.
    pub fn after_attempt(
        &mut self,
        now_ms: u64,
        outcome: AttemptOutcome,
        rng: &mut SmallRng,
    ) -> RetryDecision {
        let Some(last) = self.controllers.get_mut(self.current) else { return RetryDecision::GiveUp };
        last.not_before = now_ms
            + match outcome {
                AttemptOutcome::Response { status, .. } if is_final(status) => return RetryDecision::Final,
                AttemptOutcome::Response { retry_after_s: Some(seconds), .. } => u64::from(seconds) * 1000,
                AttemptOutcome::Response { .. } => REFUSED_PAUSE_MS,
                AttemptOutcome::Lost => {
                    let pause = last.pause_ms;
                    last.pause_ms = (pause * 2).min(MAX_PAUSE_MS);
                    // Clients that were cut off together do not come back together.
                    pause / 2 + rng.random_range(0..=pause / 2)
                }
            };
        let count = self.controllers.len();
        let after = |at: &usize| (*at + count - self.current - 1) % count;
        let soonest = (0..count).min_by_key(|at| (self.controllers[*at].not_before.max(now_ms), after(at)));
        let Some(controller) = soonest else { return RetryDecision::GiveUp };
        let wait_ms = self.controllers[controller].not_before.saturating_sub(now_ms);
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
