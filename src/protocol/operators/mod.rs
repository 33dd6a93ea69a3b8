//! The operators' interface: typed requests, and the views that answer them.
//!
//! Clients parse the views that controllers serialize, so one set of types serves both. Each submodule holds one
//! kind of view. Nothing here decides anything, does I/O or reads a clock; names on the wire are mapped by serde.

mod events;
mod explanation;
mod jobs;
mod requests;
mod status;

pub use super::query_params::{DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE};
pub use events::{JobEvent, JobEventKind, JobEventList};
pub use explanation::{Explanation, InstanceOfferView, JobUsage, MachineTypeCapacity, StateReason};
pub use jobs::{
    JobDetail, JobList, JobPhase, JobSpecView, JobSummary, ResponseSource, TaskStateView, TaskSummary,
};
pub use requests::{ListQuery, OperatorRequest, StateFilter, parse_operator_request};
pub use status::{ControllerStatus, JobCountersView, LeaderStatus, TeamStatus};
