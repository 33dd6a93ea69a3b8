//! Graphs of jobs: what a node waits for, what follows from its end, when it is tried again, how much it holds up.
//! Pure: events in, changes out, nothing that reads a clock. docs/graphs.md has the design.

pub mod progress;
pub mod rule;
pub mod shape;
pub mod tries;

pub use progress::{Changes, Progress};
pub use rule::{Counts, Outcome, Rule, Verdict};
pub use shape::{NodeIx, Shape, ShapeError};
pub use tries::{After, Failure, Retry, Tries};
