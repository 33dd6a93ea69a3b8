//! Admission policy under overload, when capacity does not suffice for all jobs: borrowed capacity, minimum shares,
//! headroom and the pressure on a controller. docs/overload.md gives the reasons for the design.
//!
//! The crate does no I/O and reads no clock; the caller passes in the time with each call. Memory is proportional to the
//! number of teams and classes, plus the entries that the documentation of a type mentions.

#![warn(missing_docs)]

pub mod borrowed;
pub mod headroom;
pub mod pressure;
pub mod service_window;
