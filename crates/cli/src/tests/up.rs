//! Tests of `up`.

use super::*;

#[test]
fn teams_are_parsed_and_errors_quote_the_argument() {
    assert_eq!(parse_team("office=2:4.5").expect("a team"), ("office".into(), 2.0, 4.5));
    for invalid in ["office", "=1:2", "office=1", "office=a:2", "office=-1:2"] {
        assert!(parse_team(invalid).expect_err("an error").to_string().contains(invalid), "{invalid}");
    }
}

#[test]
fn the_default_tunables_are_valid() {
    let tunables = Tunables::parse("default", DEFAULT_TUNABLES).expect("valid tunables");
    assert!(tunables.operators.enabled);
}
