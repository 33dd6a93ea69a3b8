//! The leader's durable records: the assignment log, the write pipeline, the tasks bound to machines, and recovery of all
//! of it after a failover.

pub mod assignment_log;
mod bindings;
mod image_locality;
mod recovery;
mod requeue;
pub(super) mod store_writer;
