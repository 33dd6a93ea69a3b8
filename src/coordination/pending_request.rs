//! A client's request that waits for a read of the store that is sent after the request arrived, for a write,
//! or for a terminal state to become stable.

use super::unavailable::Unavailable;
use super::{Action, InboundId, OutboundId};
use crate::ids::Millis;

/// A request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    pub inbound: InboundId,
    pub request: R,
    /// The last request that was sent to the store before this request arrived. Only a read that was sent after it
    /// can decide the request.
    pub last_sent_before: OutboundId,
    pub deadline: Millis,
}

impl<R> PendingRequest<R> {
    /// Creates a pending request that arrived at `now`, after `last_sent_before` had been sent to the store, and
    /// has to be answered within `timeout_ms`.
    pub fn new(
        inbound: InboundId,
        request: R,
        last_sent_before: OutboundId,
        now: Millis,
        timeout_ms: u64,
    ) -> PendingRequest<R> {
        PendingRequest { inbound, request, last_sent_before, deadline: now.saturating_add(timeout_ms) }
    }

    /// Returns whether the read contains everything that was written before the request arrived. That follows from
    /// the order in which the read was sent and the request arrived. The clock does not show it: both may happen
    /// within one millisecond, in either order.
    pub fn is_covered_by_read(&self, read: OutboundId) -> bool {
        self.last_sent_before < read
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self, now: Millis) -> bool {
        self.deadline <= now
    }

    /// Returns the same request with an unchanged deadline, to be decided by a read that is sent after `last_sent`.
    pub fn awaiting_read_after(self, last_sent: OutboundId) -> PendingRequest<R> {
        PendingRequest { last_sent_before: last_sent, ..self }
    }

    /// Asks the client to retry later if `rejected` is set; returns whether the request stays pending.
    pub fn retain_unless(&self, rejected: bool, out: &mut Vec<Action>) -> bool {
        if rejected {
            out.push(Action::respond(self.inbound, Unavailable::CannotDecide));
        }
        !rejected
    }
}
