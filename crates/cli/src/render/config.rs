//! Renders entries of the configuration: configured and effective values, and what a change still waits for.

use olivelatch::protocol::config::{ConfigEntryView, TeamQuota};

use super::{new_table, value_or_dash};

/// Renders the quota that an entry sets.
pub fn team_quota_text(quota: TeamQuota) -> String {
    match quota {
        TeamQuota { limit_cpus: None, guaranteed_cpus: None } => "the platform's settings".into(),
        TeamQuota { limit_cpus, guaranteed_cpus } => {
            format!("limit {} CPUs, guaranteed {}", value_or_dash(limit_cpus), value_or_dash(guaranteed_cpus))
        }
    }
}

/// Renders whether a change is in force; if it is not, which controller it waits for, and why. `elapsed_s` is the
/// time since the change was sent, in seconds.
pub fn in_force_text(view: &ConfigEntryView, elapsed_s: f64) -> String {
    match &view.pending_on {
        None => format!("{} version {}: in force after {elapsed_s:.3} s", view.key, view.version),
        Some(pending) => {
            let controller = pending.controller.as_deref().unwrap_or("an unknown controller");
            let cause =
                format!("{controller} {} (for {:.1} s so far)", pending.cause.description(), pending.since_s);
            format!("{} version {}: NOT in force after {elapsed_s:.3} s: {cause}", view.key, view.version)
        }
    }
}

/// Renders a list of entries, one per line.
pub fn config_table(entries: &[ConfigEntryView]) -> String {
    let mut table = new_table(&[
        "entry",
        "version",
        "limit",
        "guaranteed",
        "platform",
        "used",
        "above",
        "in force",
        "by",
    ]);
    for entry in entries {
        table.add_row(vec![
            entry.key.clone(),
            entry.version.to_string(),
            value_or_dash(entry.effective.limit_cpus),
            value_or_dash(entry.effective.guaranteed_cpus),
            format!(
                "{}/{}",
                value_or_dash(entry.ceiling.limit_cpus),
                value_or_dash(entry.ceiling.guaranteed_cpus)
            ),
            entry.used_cpus.to_string(),
            entry.cpus_over_limit.to_string(),
            if entry.is_effective { "yes".into() } else { "no".into() },
            entry.changed_by.clone().unwrap_or_default(),
        ]);
    }
    table.to_string()
}

/// Renders all values of one entry.
pub fn config_entry_text(entry: &ConfigEntryView) -> String {
    let mut lines = vec![
        format!("{} version {}: {}", entry.key, entry.version, team_quota_text(entry.configured)),
        format!(
            "effective: limit {} CPUs, guaranteed {}",
            value_or_dash(entry.effective.limit_cpus),
            value_or_dash(entry.effective.guaranteed_cpus)
        ),
        format!(
            "platform allows: limit {} CPUs, guaranteed {}",
            value_or_dash(entry.ceiling.limit_cpus),
            value_or_dash(entry.ceiling.guaranteed_cpus)
        ),
        format!("used: {} CPUs, {} above the limit", entry.used_cpus, entry.cpus_over_limit),
    ];
    if let (Some(by), Some(why)) = (&entry.changed_by, &entry.reason) {
        lines.push(format!("changed by {by}: {}", if why.is_empty() { "(no reason given)" } else { why }));
    }
    match &entry.pending_on {
        None => lines.push("in force".into()),
        Some(pending) => {
            let controller = pending.controller.as_deref().unwrap_or("an unknown controller");
            lines.push(format!("not in force: {controller} {}", pending.cause.description()));
        }
    }
    lines.join("\n")
}
