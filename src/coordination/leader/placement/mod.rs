//! Which task starts on which machine: queues, the ordinary path, gangs, preemption and shares.
//!
//! Placement decides on the leader's state alone: no I/O, the time comes in with each call, and all randomness is drawn
//! from the seeded generator in [`state`].

mod best_effort;
mod binding;
mod dispatch;
pub(in crate::coordination::leader) mod eligibility;
pub(in crate::coordination::leader) mod gang_search;
mod gang_search_cache;
pub(in crate::coordination::leader) mod gangs;
mod holds;
mod overload;
pub(in crate::coordination::leader) mod policy;
mod preemption;
mod preemption_cost;
mod queue_assignment;
pub(in crate::coordination::leader) mod queues;
mod reserved_machines;
mod spill;
pub mod state;
mod steal;
mod stop_tasks;
mod team_quota;

const MS_PER_S: f64 = 1000.0;
/// Thousandths in a CPU, and milliseconds in a second.
const MILLI: u64 = 1000;
/// Bound of the tasks that a machine is expected to run at once: tasks without resources would fit any number of times.
const MAX_EXPECTED_SLOTS: u64 = 1_000;

#[cfg(test)]
#[path = "tests/job_specs.rs"]
mod job_specs;
