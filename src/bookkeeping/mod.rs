//! The state of a controller: jobs, machines, graph runs and configuration, and the durable records they derive from.
//!
//! The layer does no I/O and reads no clock: wall-clock times come from records. [`records`] and [`dag_records`]
//! define the formats, [`store_cache`] holds the state derived from them, and [`job_listing`] and [`run_listing`]
//! render it for operators.

pub mod bit_set;
pub mod config;
pub mod dag;
pub mod dag_records;
pub mod dag_runs;
pub mod job_counters;
pub mod job_listing;
pub mod jobs;
pub mod records;
pub mod run_listing;
pub mod store_cache;
