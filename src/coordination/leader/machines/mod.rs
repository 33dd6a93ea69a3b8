//! The machines of the cluster: their heartbeats, the commands to them, the detection of lost machines, and
//! scaling out and in.

mod capacity_plan;
mod command_log;
mod command_tokens;
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
