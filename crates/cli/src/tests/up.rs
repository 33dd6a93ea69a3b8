//! Tests of `up`.

use super::*;

#[test]
fn teams_are_read_or_named() {
    assert_eq!(parse_team("office=2:4.5").expect("a team"), ("office".into(), 2.0, 4.5));
    for wrong in ["office", "=1:2", "office=1", "office=a:2", "office=-1:2"] {
        assert!(parse_team(wrong).expect_err("wrong").to_string().contains(wrong), "{wrong}");
    }
}

#[test]
fn the_default_tunables_are_good() {
    let tunables = Tunables::parse("default", DEFAULT_TUNABLES).expect("good");
    assert!(tunables.operators.enabled);
}
