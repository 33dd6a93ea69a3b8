//! Entries of the configuration as tables and words.

use olivelatch::protocol::config::{EntryView, TeamValue};

use crate::render::table;

fn cpus(value: Option<f64>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

/// What an entry sets, in words.
pub fn team_value(value: TeamValue) -> String {
    match value {
        TeamValue { limit_cpus: None, guaranteed_cpus: None } => "the platform's settings".into(),
        TeamValue { limit_cpus, guaranteed_cpus } => {
            format!("limit {} CPUs, guaranteed {}", cpus(limit_cpus), cpus(guaranteed_cpus))
        }
    }
}

/// Whether and since when a change is in force, or whom it waits for.
pub fn in_force(view: &EntryView, seconds: f64) -> String {
    match &view.waits_for {
        None => format!("{} version {}: in force after {seconds:.3} s", view.entry, view.version),
        Some(waits) => format!(
            "{} version {}: NOT in force after {seconds:.3} s: {} {}, for {:.1} s",
            view.entry,
            view.version,
            waits.node.as_deref().unwrap_or("nobody known"),
            waits.reason.text(),
            waits.since_s
        ),
    }
}

/// All entries, one a line.
pub fn config_table(entries: &[EntryView]) -> String {
    let mut rows =
        table(&["entry", "version", "limit", "guaranteed", "platform", "used", "above", "in force", "by"]);
    for entry in entries {
        rows.add_row(vec![
            entry.entry.clone(),
            entry.version.to_string(),
            cpus(entry.holds.limit_cpus),
            cpus(entry.holds.guaranteed_cpus),
            format!("{}/{}", cpus(entry.platform.limit_cpus), cpus(entry.platform.guaranteed_cpus)),
            entry.used_cpus.to_string(),
            entry.above_cpus.to_string(),
            if entry.in_force { "yes".into() } else { "no".into() },
            entry.by.clone().unwrap_or_default(),
        ]);
    }
    rows.to_string()
}

/// One entry, in full.
pub fn config_entry(entry: &EntryView) -> String {
    let mut lines = vec![
        format!("{} version {}: {}", entry.entry, entry.version, team_value(entry.value)),
        format!(
            "holds: limit {} CPUs, guaranteed {}",
            cpus(entry.holds.limit_cpus),
            cpus(entry.holds.guaranteed_cpus)
        ),
        format!(
            "platform allows: limit {} CPUs, guaranteed {}",
            cpus(entry.platform.limit_cpus),
            cpus(entry.platform.guaranteed_cpus)
        ),
        format!("used: {} CPUs, {} above the limit", entry.used_cpus, entry.above_cpus),
    ];
    if let (Some(by), Some(why)) = (&entry.by, &entry.why) {
        lines.push(format!("by {by}: {}", if why.is_empty() { "(no reason given)" } else { why }));
    }
    match &entry.waits_for {
        None => lines.push("in force".into()),
        Some(waits) => {
            let node = waits.node.as_deref().unwrap_or("nobody known");
            lines.push(format!("not in force: {node} {}", waits.reason.text()));
        }
    }
    lines.join("\n")
}
