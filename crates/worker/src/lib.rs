//! A worker: one machine's side of the protocol.
//!
//! `Worker` decides what a report, an answer and a direct command do to the tasks of its machine, by the rules of sessions,
//! tokens and leases; it does no I/O and reads no clock, and serves virtual time as well as real machines. `processes` runs
//! the commands that a `Worker` asks for. CPU and memory are accounted, not enforced. docs/local-cluster.md argues for both.

mod core;
mod description;
mod gangs;
mod heartbeat;
pub mod processes;

pub use core::{AttemptPhase, Machine, ProcessAction, TaskAttempt, TaskResult, Worker};
pub use description::{DescriptionError, JobDescription, JobDescriptions, ProcessCommand, TaskWork};
pub use gangs::{GangTimes, coordinate_gangs};
pub use heartbeat::{HeartbeatResponse, HeartbeatSender, HeartbeatTimes};
