//! The machines: what they report and are told, when they count as gone, which are rented.

pub mod faults;
pub mod fleet;
pub mod orders;
pub mod plan;
pub mod refusals;
pub mod reports;
pub mod roster;
pub mod silence;
