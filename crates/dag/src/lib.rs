//! Directed acyclic graphs of jobs: when a node is ready, what follows from its outcome, when a failed task is tried
//! again, and how much work a node holds up.
//!
//! Pure: outcomes in, changes out; no I/O and no clock. docs/graphs.md has the design.

#![warn(missing_docs)]

pub mod progress;
pub mod retry;
pub mod topology;
pub mod trigger_rule;

pub use progress::{DagProgress, ProgressChanges};
pub use retry::{Failure, FailureEffect, RetryPolicy, RetryState};
pub use topology::{DagTopology, NodeIx, TopologyError};
pub use trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};
