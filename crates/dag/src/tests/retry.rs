//! Tests of `tries`.

use super::*;

#[test]
fn waits_double_up_to_a_bound_and_vary_by_half() {
    let retry = RetryPolicy { max_attempts: 9, delay_ms: 1_000, max_delay_ms: 10_000 };
    let waits = |chance| [1, 2, 3, 4, 5, 60].map(|nth| retry.delay_after(nth, chance));
    assert_eq!(waits(0.0), [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert_eq!(waits(1.0), [500, 1_000, 2_000, 4_000, 5_000, 5_000]);
}

#[test]
fn an_attempt_counts_once_and_the_last_ones_are_kept() {
    let retry = RetryPolicy { max_attempts: 5, ..RetryPolicy::default() };
    let failure = |attempt| Failure { attempt, machine: "m".into(), cause: "error".into() };
    let mut tries = RetryState::default();
    for attempt in [7, 8, 9, 10] {
        assert_eq!(tries.record_failure(failure(attempt), &retry), FailureEffect::Retry);
        assert_eq!(tries.record_failure(failure(attempt), &retry), FailureEffect::AlreadyCounted);
        assert_eq!(tries.record_failure(failure(7), &retry), FailureEffect::AlreadyCounted);
    }
    assert_eq!(tries.evidence.iter().map(|one| one.attempt).collect::<Vec<_>>(), [8, 9, 10]);
    assert_eq!(tries.record_failure(failure(11), &retry), FailureEffect::Exhausted);
}
