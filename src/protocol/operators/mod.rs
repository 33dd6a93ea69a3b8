//! The operators' interface: typed requests, and the views in the responses.
//!
//! Controllers serialize the views and clients parse them, so both use the same types. Each submodule contains one kind
//! of view. The modules make no decisions, do no I/O and read no clock; serde maps the names used on the wire.

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
