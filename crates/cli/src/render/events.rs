//! Renders the leader's most recent decisions about a job.

use olivelatch::protocol::operators::{JobEventKind, JobEventList};

use super::{duration_text, new_table, now_ms, value_or_dash};

/// Returns the event's name on the wire, which is also the name in the documentation.
fn event_name(event: JobEventKind) -> String {
    serde_json::to_value(event).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
}

/// Renders the events of a job in the order of the response, which is oldest first.
pub fn events_table(list: &JobEventList) -> String {
    let mut table = new_table(&["AGO", "EVENT", "TASKS", "FIRST", "MACHINE"]);
    if list.truncated {
        table.add_row(vec![
            "",
            "(earlier events are missing: another controller was the leader, or they were dropped)",
        ]);
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
