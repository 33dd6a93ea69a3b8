//! Tests of the handler that holds operators' queries until they can be answered.

use super::*;
use crate::ids::JobId;

fn explain(id: u64) -> OperatorRequest {
    OperatorRequest::ExplainJob { id: JobId(id), task: None }
}

fn client(id: u64) -> Requester {
    Requester::Client(InboundId(id))
}

/// Identical queries get one response, and the handler exceeds neither its maximum number of queries nor
/// their deadlines.
#[test]
fn queries_are_grouped_bounded_and_expired() {
    let tunables = OperatorTunables { enabled: true, ..OperatorTunables::default() };
    let mut handler = OperatorQueryHandler::new(&tunables, 7, Millis(0));
    for id in 0..10 {
        assert!(handler.enqueue(Millis(5), OutboundId(4), client(id), explain(id % 2)).is_ok());
    }
    assert!(
        handler.take_ready(OutboundId(4)).is_empty(),
        "a read sent before they were received covers none"
    );
    let ready = handler.take_ready(OutboundId(5));
    assert_eq!(ready.iter().map(|group| group.requesters.len()).collect::<Vec<_>>(), [5, 5]);
    let enqueued =
        (0..500).filter(|id| handler.enqueue(Millis(9), OutboundId(5), client(*id), explain(1)).is_ok());
    assert_eq!(enqueued.count(), MAX_PENDING);
    let mut out = Vec::new();
    assert!(handler.forward_to_leader(Millis(9), "n1", InboundId(7), explain(1), &mut out).is_ok());
    let expired = handler.take_expired(Clock { now: Millis(9 + FORWARD_TIMEOUT_MS), wall_ms: 0 });
    assert_eq!((expired.forwarded.len(), expired.awaiting_barrier.len()), (1, 0));
    let expired = handler.take_expired(Clock { now: Millis(9 + BARRIER_TIMEOUT_MS), wall_ms: 0 });
    assert_eq!(expired.awaiting_barrier.len(), MAX_PENDING);
    assert!(handler.take_forwarded(1).is_none(), "the response to an expired query belongs to no client");
}
