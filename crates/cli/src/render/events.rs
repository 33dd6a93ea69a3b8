//! The leader's last decisions on a job.

use olivelatch::protocol::operators::{JobEventKind, JobEventList};

use super::{duration_text, new_table, now_ms, value_or_dash};

/// The event's name on the wire, which is also the name that the documentation uses.
fn event_name(event: JobEventKind) -> String {
    serde_json::to_value(event).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
}

/// The events of a job, oldest first as they come.
pub fn events_table(list: &JobEventList) -> String {
    let mut table = new_table(&["AGO", "EVENT", "TASKS", "FIRST", "MACHINE"]);
    if list.truncated {
        table.add_row(vec!["", "(earlier events are unknown: another node led, or they were too many)"]);
    }
    for event in &list.events {
        table.add_row(vec![
            duration_text(now_ms().saturating_sub(event.at_ms)),
            event_name(event.kind),
            value_or_dash((event.tasks != 0).then_some(event.tasks)),
            value_or_dash(event.first_task),
            value_or_dash(event.machine.as_ref()),
        ]);
    }
    table.to_string()
}
