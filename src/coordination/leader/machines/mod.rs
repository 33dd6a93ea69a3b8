//! The machines of the cluster: what they report and are commanded, when they count as lost, which are scaled out and in.

pub mod capacity_plan;
pub mod commands;
pub mod faults;
pub mod heartbeats;
mod liveness;
mod offer_backoff;
pub mod placement_index;
pub mod provisioner;
mod reconcile;
mod task_status;
