//! One leadership term: who may command the workers, since when, and the attempt numbers of the term.

use crate::ids::{Attempt, FencingToken, Millis};

/// Bits of an attempt number that count within one term. The fencing token stands above them, so attempt numbers rise
/// over all terms and are never reused.
const ATTEMPT_BITS: u32 = 24;

/// The leadership term of this leader.
#[derive(Debug)]
pub struct LeaderTerm {
    token: FencingToken,
    acquired_at: Millis,
    recovery_until: Millis,
    attempts_issued: u64,
}

impl LeaderTerm {
    /// A term that began at `acquired_at`. Until `recovery_until` a deposed leader may have kept workers' leases alive.
    pub fn new(token: FencingToken, acquired_at: Millis, recovery_until: Millis) -> LeaderTerm {
        LeaderTerm { token, acquired_at, recovery_until, attempts_issued: 0 }
    }

    /// The fencing token that each command carries: the revision that created the leader key.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// When this controller became leader.
    pub fn acquired_at(&self) -> Millis {
        self.acquired_at
    }

    /// From then on no worker can hold tasks of an earlier term without having heard from this leader.
    pub fn recovery_until(&self) -> Millis {
        self.recovery_until
    }

    /// The lowest attempt number of the term; never issued itself.
    pub fn attempt_base(&self) -> Attempt {
        Attempt(self.token.0 << ATTEMPT_BITS)
    }

    /// A new attempt number, higher than all before.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts_issued += 1;
        Attempt(self.attempt_base().0 + self.attempts_issued)
    }
}
