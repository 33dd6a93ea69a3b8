//! The machines of the cluster: what they report and are commanded, when they count as lost, which are scaled
//! out and in.

mod capacity_plan;
pub mod commands;
mod faults;
pub mod heartbeats;
mod liveness;
mod machine_set;
pub mod placement_index;
pub mod probation;
pub mod provisioner;
mod reconcile;
mod task_status;
