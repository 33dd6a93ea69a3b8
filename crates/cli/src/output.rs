//! Output of commands: JSON for programs or text for people, and progress bars on a terminal.

use std::io::IsTerminal;

use anstream::println;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::args::GlobalArgs;
use crate::exit::CommandError;

/// Prints one value: with `--json` as a line of JSON, otherwise as the text that `text` renders,
/// which is only called then.
pub fn print_value(
    global_args: &GlobalArgs,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> Result<(), CommandError> {
    if global_args.json {
        println!("{}", serde_json::to_string(value)?);
    } else {
        println!("{}", text());
    }
    Ok(())
}

/// Returns a progress bar on standard error. It is hidden with `--json`, for fewer than two steps, and if
/// standard error is not a terminal.
pub fn progress_bar(global_args: &GlobalArgs, length: usize, label: &str) -> ProgressBar {
    if global_args.json || length < 2 || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{prefix} {wide_bar} {pos}/{len}") {
        bar.set_style(style);
    }
    bar.with_prefix(label.to_string())
}
