//! The scale run: the control plane at a planned size, on one machine.
//!
//! Real controllers, as processes as they are deployed, and the real state service with its file stand on loopback beside
//! hollow workers: the worker's own rules (`olivelatch-worker`) with simulated tasks, many in a process. An open-loop load
//! follows a plan (HCL), faults strike by time, and an independent check judges what the hollow workers saw.
//! `plan`, `arrivals`, `check` and `figures` do no I/O and read no clock. Nothing outlives a run, and the run refuses to
//! start where the machine is too small. docs/scale.md is the operators' page.

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
