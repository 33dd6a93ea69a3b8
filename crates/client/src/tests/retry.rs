//! Tests of `retry`.

use super::*;
use rand::SeedableRng;

const LATER: AttemptOutcome = AttemptOutcome::Response { status: 503, retry_after_s: Some(2) };

/// Others are asked at once, each is left alone as long as it asked for, and the deadline holds for all.
#[test]
fn retry_after_is_honoured_for_each_and_the_deadline_for_all() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retries = RetryState::new(3, 1, 5_000);
    assert_eq!(retries.first_controller(), RetryDecision::Send { controller: 1, wait_ms: 0 });
    assert_eq!(retries.after_attempt(10, LATER, &mut rng), RetryDecision::Send { controller: 2, wait_ms: 0 });
    assert_eq!(retries.after_attempt(20, LATER, &mut rng), RetryDecision::Send { controller: 0, wait_ms: 0 });
    assert_eq!(
        retries.after_attempt(30, LATER, &mut rng),
        RetryDecision::Send { controller: 1, wait_ms: 1_980 }
    );
    assert_eq!(
        retries.after_attempt(2_010, LATER, &mut rng),
        RetryDecision::Send { controller: 2, wait_ms: 10 }
    );
    assert_eq!(
        retries.after_attempt(2_020, LATER, &mut rng),
        RetryDecision::Send { controller: 0, wait_ms: 10 }
    );
    assert_eq!(
        retries.after_attempt(2_030, LATER, &mut rng),
        RetryDecision::Send { controller: 1, wait_ms: 1_980 }
    );
    assert_eq!(
        retries.after_attempt(4_010, LATER, &mut rng),
        RetryDecision::Send { controller: 2, wait_ms: 10 }
    );
    assert_eq!(
        retries.after_attempt(4_020, LATER, &mut rng),
        RetryDecision::Send { controller: 0, wait_ms: 10 }
    );
    assert_eq!(
        retries.after_attempt(4_030, LATER, &mut rng),
        RetryDecision::GiveUp,
        "each may be asked again only after the deadline"
    );
}

#[test]
fn cuts_back_off_and_final_answers_end_it() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retries = RetryState::new(1, 0, 60_000);
    let (mut now, mut waits) = (0, Vec::new());
    while let RetryDecision::Send { wait_ms, .. } = retries.after_attempt(now, AttemptOutcome::Lost, &mut rng)
    {
        waits.push(wait_ms);
        now += wait_ms.max(1);
    }
    assert!(waits.len() < 60, "a minute of cuts is no storm: {}", waits.len());
    assert!(waits[0] <= 100 && waits.iter().all(|wait| *wait <= MAX_PAUSE_MS));
    for status in [200, 201, 400, 404, 409, 422] {
        let answer = AttemptOutcome::Response { status, retry_after_s: None };
        assert_eq!(RetryState::new(2, 0, 1_000).after_attempt(0, answer, &mut rng), RetryDecision::Final);
    }
    assert_eq!(RetryState::new(0, 0, 1_000).first_controller(), RetryDecision::GiveUp);
}
