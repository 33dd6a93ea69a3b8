//! Tests of the pressure level.

use super::*;

/// Records ten waits per second from `from_s` on; `wait_ms` maps the number of a wait to its length.
fn record_waits(pressure: &mut Pressure, from_s: u64, seconds: u64, wait_ms: impl Fn(u64) -> u64) {
    for number in from_s * 10..(from_s + seconds) * 10 {
        pressure.record_wait(number * 100, wait_ms(number));
    }
}

#[test]
fn queue_that_drains_from_time_to_time_is_not_overloaded() {
    let mut pressure = Pressure::default();
    record_waits(&mut pressure, 1, 30, |number| if number % 10 == 5 { 0 } else { 5_000 });
    assert_eq!(pressure.level(), PressureLevel::Calm);
}

#[test]
fn sustained_waits_raise_the_level_and_short_waits_lower_it() {
    let mut pressure = Pressure::default();
    record_waits(&mut pressure, 1, 3, |_| 300);
    assert_eq!(pressure.level(), PressureLevel::Busy);
    record_waits(&mut pressure, 4, 3, |_| 3_000);
    assert_eq!(pressure.level(), PressureLevel::Overloaded);
    record_waits(&mut pressure, 7, 4, |_| 10);
    assert_eq!(pressure.level(), PressureLevel::Busy, "the level drops one step at a time");
    record_waits(&mut pressure, 11, 4, |_| 10);
    assert_eq!(pressure.level(), PressureLevel::Calm);
    assert_eq!(pressure.level_increases, 2);
}

#[test]
fn level_does_not_flap_at_the_threshold() {
    let mut pressure = Pressure::default();
    record_waits(&mut pressure, 1, 30, |number| if number % 30 < 20 { 130 } else { 70 });
    assert_eq!((pressure.level(), pressure.level_increases), (PressureLevel::Busy, 1));
}
