//! What is remembered: jobs, machines, and the durable records behind them.

pub mod bits;
pub mod jobs;
pub mod listing;
pub mod mirror;
pub mod records;
