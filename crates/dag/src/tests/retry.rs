//! Tests of `retry`.

use super::*;

#[test]
fn backoff_doubles_up_to_the_maximum_and_jitter_shortens_it_by_up_to_half() {
    let policy = RetryPolicy { max_attempts: 9, backoff_ms: 1_000, max_backoff_ms: 10_000 };
    let backoffs =
        |jitter| [1, 2, 3, 4, 5, 60].map(|failure_number| policy.backoff_after(failure_number, jitter));
    assert_eq!(backoffs(0.0), [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
    assert_eq!(backoffs(1.0), [500, 1_000, 2_000, 4_000, 5_000, 5_000]);
}

#[test]
fn an_attempt_counts_once_and_the_last_failures_are_kept() {
    let policy = RetryPolicy { max_attempts: 5, ..RetryPolicy::default() };
    let failure = |attempt| Failure { attempt, machine: "m".into(), cause: "error".into() };
    let mut state = RetryState::default();
    for attempt in [7, 8, 9, 10] {
        assert_eq!(state.record_failure(failure(attempt), &policy), FailureEffect::Retry);
        assert_eq!(state.record_failure(failure(attempt), &policy), FailureEffect::AlreadyCounted);
        assert_eq!(state.record_failure(failure(7), &policy), FailureEffect::AlreadyCounted);
    }
    assert_eq!(state.recent_failures.iter().map(|failure| failure.attempt).collect::<Vec<_>>(), [8, 9, 10]);
    assert_eq!(state.record_failure(failure(11), &policy), FailureEffect::Exhausted);
}
