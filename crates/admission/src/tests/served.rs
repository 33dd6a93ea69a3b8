//! Tests of `served`.

use super::*;

fn claims(weights: &[(u32, u64)]) -> Vec<Claim<u32>> {
    weights.iter().map(|(party, weight)| Claim { party: *party, weight: *weight }).collect()
}

#[test]
fn who_got_nothing_comes_forward_until_it_has_its_floor() {
    let mut served = Served::new(60_000, 0);
    served.give(1, 900);
    let waiting = claims(&[(1, 1), (2, 1)]);
    assert_eq!(served.behind(&waiting, 0.5), [2].into());
    served.give(2, 299);
    assert_eq!(served.behind(&waiting, 0.5), [2].into(), "299 of 1,199 is under a quarter");
    served.give(2, 2);
    assert!(served.behind(&waiting, 0.5).is_empty());
}

#[test]
fn what_lies_before_the_window_does_not_count() {
    let mut served = Served::new(60_000, 0);
    served.give(2, 1_000);
    served.at(65_000);
    served.give(1, 10);
    assert_eq!(served.given(2), 1_000, "the step it was given in is still in the window");
    served.at(75_000);
    assert_eq!(served.given(2), 0);
    assert_eq!(served.behind(&claims(&[(1, 1), (2, 1)]), 0.5), [2].into());
}

#[test]
fn weights_decide_who_is_owed_what() {
    let mut served = Served::new(60_000, 0);
    served.give(1, 80);
    served.give(2, 20);
    assert!(served.behind(&claims(&[(1, 3), (2, 1)]), 0.5).is_empty());
    assert_eq!(served.behind(&claims(&[(1, 1), (2, 1)]), 0.5), [2].into());
    assert!(served.behind(&claims(&[(3, 1)]), 0.5).is_empty(), "alone, nobody is behind another");
}
