//! A worker: one machine's side of the worker protocol.
//!
//! [`Worker`] applies heartbeat responses and direct commands to the tasks of its machine, by the rules of epochs,
//! fencing tokens and leases. It does no I/O and reads no clock, so it works in virtual time as well as on real
//! machines. [`processes`] starts and stops processes as a `Worker` requests. CPU and memory are accounted for but not
//! enforced. docs/local-cluster.md gives the reasons for both.

#![warn(missing_docs)]

mod attempt;
mod commands;
mod description;
mod gangs;
mod heartbeat;
mod machine;
pub mod processes;
mod status;
mod worker;

pub use attempt::{AttemptPhase, TaskAttempt, TaskResult};
pub use description::{DescriptionError, JobDescription, JobDescriptions, ProcessCommand, TaskWork};
pub use gangs::{GangTimes, coordinate_gangs};
pub use heartbeat::{HeartbeatResponse, HeartbeatSender, HeartbeatTimes};
pub use machine::Machine;
pub use worker::{ProcessAction, Worker};
