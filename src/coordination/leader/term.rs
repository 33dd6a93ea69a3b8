//! One leadership term: its fencing token, its start, and the attempt numbers that it issues.

use crate::ids::{Attempt, FencingToken, Millis};

/// Number of low bits of an attempt number that count attempts within one term. The fencing token occupies the bits
/// above them, so attempt numbers increase across terms and are never reused.
const ATTEMPT_BITS: u32 = 24;

/// The current leader's term.
#[derive(Debug)]
pub struct LeaderTerm {
    token: FencingToken,
    /// The highest token that a worker has been sent in this term.
    highest_token: FencingToken,
    acquired_at: Millis,
    recovery_until: Millis,
    attempts_issued: u64,
}

impl LeaderTerm {
    /// Creates a term that began at `acquired_at`. Until `recovery_until`, leases that a deposed leader renewed may be
    /// valid.
    pub fn new(token: FencingToken, acquired_at: Millis, recovery_until: Millis) -> LeaderTerm {
        LeaderTerm { token, highest_token: token, acquired_at, recovery_until, attempts_issued: 0 }
    }

    /// Returns the first fencing token of the term: the revision that created the leader key.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Records that a worker is sent this token, which must be lower than any later leader's.
    pub fn record_issued(&mut self, token: FencingToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Returns whether the token belongs to this term: a worker with this token has heard from this leader and from no
    /// later one.
    pub fn contains(&self, token: FencingToken) -> bool {
        (self.token..=self.highest_token).contains(&token)
    }

    /// Returns whether the token belongs to a later leader's term.
    pub fn is_superseded_by(&self, token: FencingToken) -> bool {
        token > self.highest_token
    }

    /// Returns the time at which this controller became leader.
    pub fn acquired_at(&self) -> Millis {
        self.acquired_at
    }

    /// Returns the time from which on no worker can run tasks of an earlier term unless it has received a response or
    /// command from this leader.
    pub fn recovery_until(&self) -> Millis {
        self.recovery_until
    }

    /// Returns the fencing token of the term that issued an attempt number.
    pub fn issuing_token(attempt: Attempt) -> FencingToken {
        FencingToken(attempt.0 >> ATTEMPT_BITS)
    }

    /// Returns the lower bound of the term's attempt numbers, which is itself never issued.
    pub fn attempt_base(&self) -> Attempt {
        Attempt(self.token.0 << ATTEMPT_BITS)
    }

    /// Issues a new attempt number, which is higher than all earlier ones.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts_issued += 1;
        Attempt(self.attempt_base().0 + self.attempts_issued)
    }
}
