//! The graphs' interface: runs of directed acyclic graphs, uploaded in parts, committed, cancelled, rerun and shown.
//!
//! Clients write what controllers read and the other way round, so one set of types serves both. [`GraphPart`] is also
//! stored as it is in the durable records: the order and names of its fields on the wire must not change. Nothing here
//! decides anything, does I/O or reads a clock.

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

/// Most nodes of one graph.
pub const MAX_NODES: u32 = 20_000;
/// Most parts of one run, those of its reruns included.
pub const MAX_PARTS: u32 = 4_000;

fn one() -> u32 {
    1
}
