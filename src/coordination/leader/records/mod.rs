//! What a leader writes down and what a new one finds: the log, its writer, tasks bound to machines.

pub mod assignment_log;
pub mod bindings;
pub mod dag_records;
pub mod recovery;
pub mod store_writer;
