//! The kinds of fault plans.

pub mod disconnected_leader;
pub mod late_copies;
pub mod limit_changes;
pub mod mixed_needs;
pub mod overlapping;
pub mod restarts;

/// Returns the zones of the controllers, as arguments of the action that starts them.
fn zones(controller_count: usize) -> String {
    ["a", "b", "c", "a", "b"][..controller_count].join(" ")
}
