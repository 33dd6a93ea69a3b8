//! State of a job on probation. Module `faults` decides when probation starts and ends.

use crate::ids::Millis;

/// The probation of a job that is itself at fault: one of its tasks is attempted at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probation {
    /// Earliest time at which the next task is attempted.
    pub next_attempt_at: Millis,
    /// Whether that task has been queued already.
    pub queued: bool,
}
