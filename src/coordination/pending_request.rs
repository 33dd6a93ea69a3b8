//! A client's request that waits: for a read of the store sent after it arrived, for a write, or for a terminal state
//! to become stable.

use super::unavailable::Unavailable;
use super::{Action, InboundId};
use crate::ids::Millis;

/// A request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    pub inbound: InboundId,
    pub request: R,
    /// Reads of the store sent before this do not decide the request.
    pub received_at: Millis,
    pub deadline: Millis,
}

impl<R> PendingRequest<R> {
    /// A request that arrived now and has to be answered within `timeout_ms`.
    pub fn new(inbound: InboundId, request: R, now: Millis, timeout_ms: u64) -> PendingRequest<R> {
        PendingRequest { inbound, request, received_at: now, deadline: now.saturating_add(timeout_ms) }
    }

    /// Whether a read sent at that time holds everything that was written before the request arrived.
    pub fn is_covered_by_read(&self, read_sent_at: Millis) -> bool {
        self.received_at <= read_sent_at
    }

    pub fn is_expired(&self, now: Millis) -> bool {
        self.deadline <= now
    }

    /// The same request, to be decided by a read sent from now on. Its deadline stays.
    pub fn awaiting_new_read(self, now: Millis) -> PendingRequest<R> {
        PendingRequest { received_at: now, ..self }
    }

    /// Answers the request with a retry if `is_over`; returns whether the request stays pending.
    pub fn retain_unless(&self, is_over: bool, out: &mut Vec<Action>) -> bool {
        if is_over {
            out.push(Action::respond(self.inbound, Unavailable::CannotDecide));
        }
        !is_over
    }
}
