//! The machines: what they report and are told, when they count as gone, which are rented.

pub mod capacity_plan;
pub mod commands;
pub mod faults;
pub mod heartbeats;
pub mod liveness;
pub mod offer_backoff;
pub mod placement_index;
pub mod provisioner;
