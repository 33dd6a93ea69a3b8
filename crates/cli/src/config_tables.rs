//! Entries of the configuration as tables and words.

use olivelatch::protocol::config::{ConfigEntryView, TeamQuota};

use crate::render::table;

fn cpus_text(value: Option<f64>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

/// What an entry sets, in words.
pub fn team_value_text(value: TeamQuota) -> String {
    match value {
        TeamQuota { limit_cpus: None, guaranteed_cpus: None } => "the platform's settings".into(),
        TeamQuota { limit_cpus, guaranteed_cpus } => {
            format!("limit {} CPUs, guaranteed {}", cpus_text(limit_cpus), cpus_text(guaranteed_cpus))
        }
    }
}

/// Whether and since when a change is in force, or whom it waits for.
pub fn in_force_text(view: &ConfigEntryView, seconds: f64) -> String {
    match &view.pending_on {
        None => format!("{} version {}: in force after {seconds:.3} s", view.key, view.version),
        Some(waits) => format!(
            "{} version {}: NOT in force after {seconds:.3} s: {} {}, for {:.1} s",
            view.key,
            view.version,
            waits.controller.as_deref().unwrap_or("nobody known"),
            waits.cause.description(),
            waits.since_s
        ),
    }
}

/// All entries, one a line.
pub fn config_table(entries: &[ConfigEntryView]) -> String {
    let mut rows =
        table(&["entry", "version", "limit", "guaranteed", "platform", "used", "above", "in force", "by"]);
    for entry in entries {
        rows.add_row(vec![
            entry.key.clone(),
            entry.version.to_string(),
            cpus_text(entry.effective.limit_cpus),
            cpus_text(entry.effective.guaranteed_cpus),
            format!("{}/{}", cpus_text(entry.ceiling.limit_cpus), cpus_text(entry.ceiling.guaranteed_cpus)),
            entry.used_cpus.to_string(),
            entry.cpus_over_limit.to_string(),
            if entry.is_effective { "yes".into() } else { "no".into() },
            entry.changed_by.clone().unwrap_or_default(),
        ]);
    }
    rows.to_string()
}

/// One entry, in full.
pub fn config_entry(entry: &ConfigEntryView) -> String {
    let mut lines = vec![
        format!("{} version {}: {}", entry.key, entry.version, team_value_text(entry.configured)),
        format!(
            "holds: limit {} CPUs, guaranteed {}",
            cpus_text(entry.effective.limit_cpus),
            cpus_text(entry.effective.guaranteed_cpus)
        ),
        format!(
            "platform allows: limit {} CPUs, guaranteed {}",
            cpus_text(entry.ceiling.limit_cpus),
            cpus_text(entry.ceiling.guaranteed_cpus)
        ),
        format!("used: {} CPUs, {} above the limit", entry.used_cpus, entry.cpus_over_limit),
    ];
    if let (Some(by), Some(why)) = (&entry.changed_by, &entry.reason) {
        lines.push(format!("by {by}: {}", if why.is_empty() { "(no reason given)" } else { why }));
    }
    match &entry.pending_on {
        None => lines.push("in force".into()),
        Some(waits) => {
            let node = waits.controller.as_deref().unwrap_or("nobody known");
            lines.push(format!("not in force: {node} {}", waits.cause.description()));
        }
    }
    lines.join("\n")
}
