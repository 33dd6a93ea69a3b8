//! Directed acyclic graphs of jobs: decides when a node is ready, what follows from its outcome and when a failed task
//! is retried, and computes how much work waits downstream of a node.
//!
//! The crate is pure: it maps outcomes to changes, does no I/O and reads no clock. docs/graphs.md has the design.

#![warn(missing_docs)]

pub mod progress;
pub mod retry;
pub mod topology;
pub mod trigger_rule;

pub use progress::{DagProgress, ProgressChanges};
pub use retry::{Failure, FailureEffect, RetryPolicy, RetryState};
pub use topology::{DagTopology, NodeIx, TopologyError};
pub use trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};
