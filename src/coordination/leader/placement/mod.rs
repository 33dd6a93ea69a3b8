//! Which task starts on which machine: queues, the ordinary path, gangs, preemption and shares.
//!
//! Placement decides on the leader's state alone: no I/O, the time comes in with each call, and all randomness is drawn
//! from the seeded generator in [`state`].

pub mod best_effort;
mod binding;
pub mod dispatch;
mod eligibility;
pub mod gang_search;
pub mod gangs;
pub mod overload;
pub mod policy;
pub mod preemption;
mod queue_assignment;
pub mod queues;
pub mod reserved_machines;
mod spill;
pub mod state;
mod steal;
pub mod team_quota;
