//! What is remembered: jobs, machines, and the durable records behind them.

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
