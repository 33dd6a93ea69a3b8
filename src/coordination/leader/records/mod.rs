//! The leader's durable records: the assignment log, the store writer, the bindings of tasks to machines, and the
//! recovery of all of these after a failover.

pub mod assignment_log;
mod bindings;
mod image_locality;
mod recovery;
mod requeue;
pub(super) mod store_writer;
