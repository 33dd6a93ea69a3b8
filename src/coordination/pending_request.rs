//! A client's request that waits for a read of the store that is sent after the request arrived, for a write,
//! or for a terminal state to become stable.

use super::unavailable::Unavailable;
use super::{Action, InboundId};
use crate::ids::Millis;

/// A request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    pub inbound: InboundId,
    pub request: R,
    /// Only a read of the store that is sent at or after this time can decide the request.
    pub received_at: Millis,
    pub deadline: Millis,
}

impl<R> PendingRequest<R> {
    /// Creates a pending request that arrived at `now` and has to be answered within `timeout_ms`.
    pub fn new(inbound: InboundId, request: R, now: Millis, timeout_ms: u64) -> PendingRequest<R> {
        PendingRequest { inbound, request, received_at: now, deadline: now.saturating_add(timeout_ms) }
    }

    /// Returns whether a read sent at `read_sent_at` contains everything that was written before the request
    /// arrived.
    pub fn is_covered_by_read(&self, read_sent_at: Millis) -> bool {
        self.received_at <= read_sent_at
    }

    pub fn is_expired(&self, now: Millis) -> bool {
        self.deadline <= now
    }

    /// Returns the same request with an unchanged deadline, to be decided by a read that is sent at `now` or
    /// later.
    pub fn awaiting_new_read(self, now: Millis) -> PendingRequest<R> {
        PendingRequest { received_at: now, ..self }
    }

    /// Asks the client to retry later if `rejected` is set; returns whether the request stays pending.
    pub fn retain_unless(&self, rejected: bool, out: &mut Vec<Action>) -> bool {
        if rejected {
            out.push(Action::respond(self.inbound, Unavailable::CannotDecide));
        }
        !rejected
    }
}
