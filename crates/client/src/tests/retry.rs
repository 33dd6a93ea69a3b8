//! Tests of `retry`.

use super::*;
use rand::SeedableRng;

const UNAVAILABLE: AttemptOutcome = AttemptOutcome::Response { status: 503, retry_after_s: Some(2) };

/// Other controllers are tried at once, each one is retried only after its `Retry-After`, and the deadline
/// covers all attempts.
#[test]
fn retry_after_applies_per_controller_and_the_deadline_to_all_attempts() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retries = RetryState::new(3, 1, 5_000);
    assert_eq!(retries.first_decision(), RetryDecision::Send { controller: 1, wait_ms: 0 });
    assert_eq!(
        retries.next_decision(10, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 2, wait_ms: 0 }
    );
    assert_eq!(
        retries.next_decision(20, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 0, wait_ms: 0 }
    );
    assert_eq!(
        retries.next_decision(30, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 1, wait_ms: 1_980 }
    );
    assert_eq!(
        retries.next_decision(2_010, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 2, wait_ms: 10 }
    );
    assert_eq!(
        retries.next_decision(2_020, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 0, wait_ms: 10 }
    );
    assert_eq!(
        retries.next_decision(2_030, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 1, wait_ms: 1_980 }
    );
    assert_eq!(
        retries.next_decision(4_010, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 2, wait_ms: 10 }
    );
    assert_eq!(
        retries.next_decision(4_020, UNAVAILABLE, &mut rng),
        RetryDecision::Send { controller: 0, wait_ms: 10 }
    );
    assert_eq!(
        retries.next_decision(4_030, UNAVAILABLE, &mut rng),
        RetryDecision::GiveUp,
        "no controller may be retried before the deadline"
    );
}

#[test]
fn lost_attempts_back_off_and_final_responses_stop_retries() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retries = RetryState::new(1, 0, 60_000);
    let (mut now, mut waits) = (0, Vec::new());
    while let RetryDecision::Send { wait_ms, .. } = retries.next_decision(now, AttemptOutcome::Lost, &mut rng)
    {
        waits.push(wait_ms);
        now += wait_ms.max(1);
    }
    assert!(waits.len() < 60, "too many attempts in a minute of lost connections: {}", waits.len());
    assert!(waits[0] <= 100 && waits.iter().all(|wait| *wait <= MAX_BACKOFF_MS));
    for status in [200, 201, 400, 404, 409, 422] {
        let response = AttemptOutcome::Response { status, retry_after_s: None };
        assert_eq!(RetryState::new(2, 0, 1_000).next_decision(0, response, &mut rng), RetryDecision::Final);
    }
    assert_eq!(RetryState::new(0, 0, 1_000).first_decision(), RetryDecision::GiveUp);
}
