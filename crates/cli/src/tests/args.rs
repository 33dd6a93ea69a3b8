//! Tests of `args`.

use super::*;

#[test]
fn the_argument_definitions_are_valid() {
    Cli::command().debug_assert();
}
