//! A worker: one machine's side of the protocol.
//!
//! `Worker` decides what a report, an answer and a direct command do to the tasks of its machine, by the rules of sessions,
//! tokens and leases; it does no I/O and reads no clock, and serves virtual time as well as real machines. `processes` runs
//! the commands that a `Worker` asks for. CPU and memory are accounted, not enforced. docs/region.md argues for both.

mod core;
mod describe;
mod gangs;
pub mod processes;
mod reporting;

pub use core::{Effect, Machine, Made, Phase, TaskAttempt, Worker};
pub use describe::{Command, Description, DescriptionError, Descriptions, Work};
pub use gangs::{GangTimes, coordinate};
pub use reporting::{ReportAnswer, ReportTimes, Reporter};
