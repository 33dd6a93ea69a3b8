//! The scale test: runs the control plane at a planned size on one machine.
//!
//! Controllers run as the same processes that are deployed, next to the real kv store with its file, all on
//! loopback. The workers are simulated: they use the worker's own code (`olivelatch-worker`) with simulated
//! tasks, and one process holds many of them. An open-loop load follows a plan (an HCL file), faults are
//! injected at the times that the plan sets, and an independent checker verifies the events that the
//! simulated workers observed. `arrivals`, `changes`, `users`, `invariants` and `measurements` do no I/O
//! and read no clock. No process outlives a run. A run refuses to start if the machine is too small for its
//! plan. Operators find the documentation in docs/scale.md.

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
