//! Graphs of jobs: what a node waits for, what follows from its end, when it is tried again, how much it holds up.
//! Pure: events in, changes out, nothing that reads a clock. docs/graphs.md has the design.

pub mod progress;
pub mod retry;
pub mod topology;
pub mod trigger_rule;

pub use progress::{DagProgress, ProgressChanges};
pub use retry::{Failure, FailureEffect, RetryPolicy, RetryState};
pub use topology::{DagTopology, NodeIx, TopologyError};
pub use trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};
