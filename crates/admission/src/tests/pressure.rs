//! Tests of `pressure`.

use super::*;

/// Waits of so many milliseconds, ten a second, for so many seconds.
fn feed(pressure: &mut Pressure, from_s: u64, seconds: u64, wait_ms: impl Fn(u64) -> u64) {
    for at in from_s * 10..(from_s + seconds) * 10 {
        pressure.waited(at * 100, wait_ms(at));
    }
}

#[test]
fn a_queue_that_empties_now_and_then_is_no_overload() {
    let mut pressure = Pressure::default();
    feed(&mut pressure, 1, 30, |at| if at % 10 == 5 { 0 } else { 5_000 });
    assert_eq!(pressure.level(), Level::Calm);
}

#[test]
fn standing_waits_raise_it_and_it_comes_back_by_itself() {
    let mut pressure = Pressure::default();
    feed(&mut pressure, 1, 3, |_| 300);
    assert_eq!(pressure.level(), Level::Busy);
    feed(&mut pressure, 4, 3, |_| 3_000);
    assert_eq!(pressure.level(), Level::Overloaded);
    feed(&mut pressure, 7, 4, |_| 10);
    assert_eq!(pressure.level(), Level::Busy, "one level at a time");
    feed(&mut pressure, 11, 4, |_| 10);
    assert_eq!(pressure.level(), Level::Calm);
    assert_eq!(pressure.rises, 2);
}

#[test]
fn it_does_not_flap_at_the_bound() {
    let mut pressure = Pressure::default();
    feed(&mut pressure, 1, 30, |at| if at % 30 < 20 { 130 } else { 70 });
    assert_eq!((pressure.level(), pressure.rises), (Level::Busy, 1));
}
