//! Tests of `token_bucket`.

use super::*;

const SECOND_MS: u64 = 1_000;

/// A new bucket is half full, and however long it is unused, it holds at most the tokens of one second.
#[test]
fn it_holds_one_second_of_tokens() {
    let mut bucket = TokenBucket::new(10.0, Millis(0));
    assert_eq!(bucket.available(Millis(0)), 5);
    assert_eq!(bucket.available(Millis(SECOND_MS / 10)), 6);
    assert_eq!(bucket.available(Millis(60 * SECOND_MS)), 10);
    assert!(!bucket.try_take(Millis(60 * SECOND_MS), 11));
    assert!(bucket.try_take(Millis(60 * SECOND_MS), 10));
    assert_eq!(bucket.available(Millis(60 * SECOND_MS)), 0);
}

/// A forced take succeeds at once, and later takes wait until its tokens have been gained.
#[test]
fn a_forced_take_delays_later_ones() {
    let mut bucket = TokenBucket::new(10.0, Millis(0));
    bucket.force_take(Millis(0), 15);
    assert_eq!(bucket.available(Millis(SECOND_MS)), 0);
    assert_eq!(bucket.available(Millis(2 * SECOND_MS)), 10);
}

/// Each refusal doubles the backoff up to its maximum; a served request resets it.
#[test]
fn refusals_back_off_exponentially() {
    let mut bucket = TokenBucket::new(10.0, Millis(0));
    let mut now = Millis(0);
    for backoff_ms in [100, 200, 400, 800, 1_000, 1_000] {
        bucket.back_off(now);
        assert_eq!(bucket.available(now.saturating_add(backoff_ms - 1)), 0, "{backoff_ms}");
        now = now.saturating_add(backoff_ms);
        assert!(bucket.available(now) > 0, "{backoff_ms}");
    }
    bucket.reset_backoff();
    bucket.back_off(now);
    assert!(bucket.available(now.saturating_add(MIN_BACKOFF_MS)) > 0);
}
