//! The interface for runs of directed acyclic graphs (DAGs): upload in parts, commit, cancel, rerun and inspect.
//!
//! Clients and controllers use the same types: one side serializes what the other parses. [`GraphPart`] is also stored
//! in the durable records, so the names and the order of its fields on the wire must not change. The modules make no
//! decisions, do no I/O and read no clock.

mod name;
mod parts;
mod requests;
mod template;
mod views;

pub use name::DagRunName;
pub use parts::{DagNodeRecord, GraphPart, split_into_parts};
pub use requests::{
    DagRequest, DagRunHeader, DagRunQuery, GraphRouteRequest, PartsUpload, RerunRequest, parse_graph_request,
};
pub use template::NodeTemplate;
pub use views::{
    DagNodeState, DagNodeView, DagRunDetail, DagRunList, DagRunState, DagRunSummary, FailedAttempt,
};

/// Maximum number of nodes per graph.
pub const MAX_NODES: u32 = 20_000;
/// Maximum number of parts per run, including those of its reruns.
pub const MAX_PARTS: u32 = 4_000;

/// The default of fields whose smallest valid value is 1.
fn one() -> u32 {
    1
}
