//! The scale run: the control plane at a planned size, on one machine.
//!
//! Real controllers, as processes as they are deployed, and the real kv store with its file run on loopback with simulated
//! workers: the worker's own code (`olivelatch-worker`) with simulated tasks, many workers in a process. An open-loop load
//! follows a plan (HCL), faults come by time, and an independent checker judges what the simulated workers saw.
//! `plan`, `arrivals`, `invariants` and `measurements` do no I/O and read no clock. No process outlives a run, and the run
//! refuses to start where the machine is too small. docs/scale.md is the operators' page.

#![warn(missing_docs)]

mod arrivals;
mod changes;
mod cloud;
mod control;
mod error;
mod html_report;
mod invariants;
mod kv_store;
mod measurements;
mod plan;
mod processes;
mod run;
mod simulated_workers;
mod users;

pub use arrivals::{Arrival, Arrivals};
pub use control::{TaskEvent, TaskEventKind};
pub use error::ScaleError;
pub use invariants::{CancelTimes, InvariantChecker, JobFacts, Violation};
pub use kv_store::{KvStoreArguments, serve_kv_store};
pub use measurements::{LatencySummary, RunReport};
pub use plan::{Defect, FaultKind, Plan, PlanError};
pub use run::{RunArguments, run};
pub use simulated_workers::{ZoneProcessArguments, serve_zone};
