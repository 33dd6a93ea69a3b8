//! What a leader writes down and what a new one finds: the log, its writer, tasks bound to machines.

pub mod bindings;
pub mod flows;
pub mod history;
pub mod inherit;
pub mod writer;
