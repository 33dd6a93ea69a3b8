//! A worker: one machine's side of the protocol.
//!
//! [`Worker`] decides what a heartbeat, its response and a direct command do to the tasks of its machine, by the rules
//! of epochs, fencing tokens and leases. It does no I/O and reads no clock, and so serves virtual time as well as real
//! machines. [`processes`] runs the commands that a `Worker` asks for. CPU and memory are accounted, not enforced.
//! docs/local-cluster.md argues for both.

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
