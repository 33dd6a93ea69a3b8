//! Tests of `args`.

use super::*;

#[test]
fn the_definition_is_sound() {
    Cli::command().debug_assert();
}
