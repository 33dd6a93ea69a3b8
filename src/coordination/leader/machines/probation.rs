//! The probation of a job that fails everywhere; `faults` decides on it.

use crate::ids::Millis;

/// A job at fault, of which one task at a time is attempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probation {
    /// When the next task is attempted.
    pub next_attempt_at: Millis,
    /// Whether that task is in a queue already.
    pub queued: bool,
}
