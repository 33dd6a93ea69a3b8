//! Tests of the pressure level.

use super::*;

/// Ten waits a second; `wait_ms` gives each by its number.
fn record_waits(pressure: &mut Pressure, from_s: u64, seconds: u64, wait_ms: impl Fn(u64) -> u64) {
    for number in from_s * 10..(from_s + seconds) * 10 {
        pressure.record_wait(number * 100, wait_ms(number));
    }
}

#[test]
fn a_queue_that_empties_at_times_is_not_overloaded() {
    let mut pressure = Pressure::default();
    record_waits(&mut pressure, 1, 30, |number| if number % 10 == 5 { 0 } else { 5_000 });
    assert_eq!(pressure.level(), PressureLevel::Calm);
}

#[test]
fn lasting_waits_raise_the_level_and_it_drops_again() {
    let mut pressure = Pressure::default();
    record_waits(&mut pressure, 1, 3, |_| 300);
    assert_eq!(pressure.level(), PressureLevel::Busy);
    record_waits(&mut pressure, 4, 3, |_| 3_000);
    assert_eq!(pressure.level(), PressureLevel::Overloaded);
    record_waits(&mut pressure, 7, 4, |_| 10);
    assert_eq!(pressure.level(), PressureLevel::Busy, "one level at a time");
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
