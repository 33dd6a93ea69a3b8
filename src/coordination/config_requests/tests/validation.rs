//! Tests of the allowed range of a quota.

use super::*;

fn key() -> ConfigKey {
    ConfigKey::Team("vision".into())
}

#[test]
fn values_up_to_the_maximum_are_allowed() {
    for value in [None, Some(0.0), Some(15.999), Some(16.0), Some(16.000_4)] {
        assert!(check_range(&key(), "limit_cpus", value, 16.0).is_ok(), "{value:?}");
    }
}

#[test]
fn other_values_are_rejected_with_the_allowed_range() {
    for value in [-0.1, 16.001, 17.0, f64::INFINITY, f64::NAN] {
        assert!(check_range(&key(), "limit_cpus", Some(value), 16.0).is_err(), "{value}");
    }
    let error = check_range(&key(), "guaranteed_cpus", Some(17.5), 16.0).expect_err("above the maximum");
    let expected = format!(
        "{}: guaranteed_cpus: expected 0 to 16 (what the platform's settings allow), not 17.5",
        key()
    );
    assert_eq!(error.to_string(), expected);
}
