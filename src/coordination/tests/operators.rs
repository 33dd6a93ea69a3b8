//! Tests of `operators`.

use super::*;
use crate::ids::JobId;

fn explain(id: u64) -> OperatorRequest {
    OperatorRequest::Explain { id: JobId(id), task: None }
}

/// Equal questions get one answer; nothing is held beyond its bound or its time.
#[test]
fn questions_are_grouped_bounded_and_given_up() {
    let tunables = OperatorTunables { enabled: true, ..OperatorTunables::default() };
    let mut operators = Operators::new(&tunables, 7, Millis(0));
    for at in 0..10 {
        assert!(operators.wait(Millis(5), Asker::Call(CallId(at)), explain(at % 2)));
    }
    assert!(operators.ripe(Millis(4)).is_empty(), "a read sent before they came tells nothing");
    let ripe = operators.ripe(Millis(5));
    assert_eq!(ripe.iter().map(|(_, askers)| askers.len()).collect::<Vec<_>>(), [5, 5]);
    let held = (0..500).filter(|at| operators.wait(Millis(9), Asker::Call(CallId(*at)), explain(1)));
    assert_eq!(held.count(), MOST_WAITING);
    let mut out = Vec::new();
    assert!(operators.relay(Millis(9), "n1", CallId(7), explain(1), &mut out));
    let clock = Clock { now: Millis(9 + RELAY_MS), wall_ms: 0 };
    let (silent, over) = operators.overdue(clock);
    assert_eq!((silent.len(), over.len()), (1, 0));
    let (_, over) = operators.overdue(Clock { now: Millis(9 + PATIENCE_MS), wall_ms: 0 });
    assert_eq!(over.len(), MOST_WAITING);
    assert!(operators.told(1).is_none(), "a late answer is nobody's any more");
}
