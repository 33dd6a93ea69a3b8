//! Decides which task starts on which machine: queueing and stealing, gangs, preemption, quotas and minimum shares.
//!
//! Placement depends on the leader's state alone: it does no I/O, each call passes in the time, and all randomness is
//! drawn from the seeded generator in [`state`].

pub(in crate::coordination::leader) mod availability;
mod best_effort;
mod binding;
mod dispatch;
pub(in crate::coordination::leader) mod eligibility;
pub(in crate::coordination::leader) mod gang_search;
mod gang_search_cache;
pub(in crate::coordination::leader) mod gangs;
mod holds;
pub mod outlook;
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
pub(in crate::coordination::leader) mod zone_rules;

const MS_PER_S: f64 = 1000.0;
/// Thousandths of a CPU in one CPU, and milliseconds in a second.
const MILLI: u64 = 1000;
/// Upper bound on the number of tasks that a machine is expected to run at once. Without it, any number of tasks that
/// request no resources would fit.
const MAX_EXPECTED_SLOTS: u64 = 1_000;

#[cfg(test)]
#[path = "tests/job_specs.rs"]
mod job_specs;
