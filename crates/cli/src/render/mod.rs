//! Renders responses as tables and texts for people, with one module for each kind of view.
//!
//! The functions send no requests and keep no state; they read the wall clock only to turn a time stamp into
//! an age. Colours reach only terminals, as `anstream` strips them from other output.

mod config;
mod controllers;
mod events;
mod explanation;
mod jobs;
mod reasons;
mod runs;

use std::time::{SystemTime, UNIX_EPOCH};

use anstyle::{AnsiColor, Style};
use comfy_table::{Table, presets};

pub use config::{config_entry_text, config_table, in_force_text, team_quota_text};
pub use controllers::controllers_table;
pub use events::events_table;
pub use explanation::explanation_text;
pub use jobs::{job_detail_text, jobs_table};
pub use reasons::reason_name;
pub use runs::runs_table;

const MS_PER_SECOND: u64 = 1_000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;
const MS_PER_DAY: u64 = 24 * MS_PER_HOUR;

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

fn paint(text: &str, colour: AnsiColor) -> String {
    let style = Style::new().fg_color(Some(colour.into()));
    format!("{style}{text}{style:#}")
}

/// Renders a value, or `?` if it is unknown: an unknown value is never shown as 0 or as an empty field.
fn value_or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or("?".into(), |value| value.to_string())
}

/// Renders a value, or `-` if it does not apply.
fn value_or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Renders a duration, rounded to a unit that suits its length.
fn duration_text(ms: u64) -> String {
    const TEN_SECONDS: u64 = 10 * MS_PER_SECOND;
    const TWO_MINUTES: u64 = 2 * MS_PER_MINUTE;
    const TWO_HOURS: u64 = 2 * MS_PER_HOUR;
    const TWO_DAYS: u64 = 2 * MS_PER_DAY;
    match ms {
        0..TEN_SECONDS => format!("{:.1} s", ms as f64 / MS_PER_SECOND as f64),
        TEN_SECONDS..TWO_MINUTES => format!("{} s", ms / MS_PER_SECOND),
        TWO_MINUTES..TWO_HOURS => format!("{} min", ms / MS_PER_MINUTE),
        TWO_HOURS..TWO_DAYS => format!("{} h", ms / MS_PER_HOUR),
        _ => format!("{} days", ms / MS_PER_DAY),
    }
}

/// Renders how long ago a time stamp (Unix time in ms) was.
fn age_text(timestamp_ms: Option<u64>) -> String {
    let elapsed_ms = |timestamp_ms| now_ms().saturating_sub(timestamp_ms);
    timestamp_ms.map_or("?".into(), |timestamp_ms| format!("{} ago", duration_text(elapsed_ms(timestamp_ms))))
}

fn plural(count: u64, one: &str, many: &str) -> String {
    if count == 1 { format!("1 {one}") } else { format!("{count} {many}") }
}

#[cfg(test)]
#[path = "../tests/render.rs"]
mod tests;
