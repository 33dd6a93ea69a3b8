//! Tests of `operators`.

use super::*;
use crate::ids::JobId;

fn explain(id: u64) -> OperatorRequest {
    OperatorRequest::ExplainJob { id: JobId(id), task: None }
}

/// Equal questions get one answer; nothing is held beyond its bound or its time.
#[test]
fn questions_are_grouped_bounded_and_given_up() {
    let tunables = OperatorTunables { enabled: true, ..OperatorTunables::default() };
    let mut operators = OperatorQueryHandler::new(&tunables, 7, Millis(0));
    for at in 0..10 {
        assert!(operators.enqueue(Millis(5), Requester::Client(InboundId(at)), explain(at % 2)));
    }
    assert!(operators.take_ready(Millis(4)).is_empty(), "a read sent before they came tells nothing");
    let ripe = operators.take_ready(Millis(5));
    assert_eq!(ripe.iter().map(|(_, askers)| askers.len()).collect::<Vec<_>>(), [5, 5]);
    let held =
        (0..500).filter(|at| operators.enqueue(Millis(9), Requester::Client(InboundId(*at)), explain(1)));
    assert_eq!(held.count(), MAX_PENDING);
    let mut out = Vec::new();
    assert!(operators.forward_to_leader(Millis(9), "n1", InboundId(7), explain(1), &mut out));
    let clock = Clock { now: Millis(9 + FORWARD_TIMEOUT_MS), wall_ms: 0 };
    let (silent, over) = operators.take_expired(clock);
    assert_eq!((silent.len(), over.len()), (1, 0));
    let (_, over) = operators.take_expired(Clock { now: Millis(9 + BARRIER_TIMEOUT_MS), wall_ms: 0 });
    assert_eq!(over.len(), MAX_PENDING);
    assert!(operators.take_forwarded(1).is_none(), "a late answer is nobody's any more");
}
