//! Who gets how much when there is not enough for all: borrowed capacity, minimum shares, headroom and the pressure on a
//! controller. docs/overload.md argues for it.
//!
//! Pure: no I/O and no clock, the time comes in with each call. Memory is in proportion to teams and classes, never to
//! jobs or machines.

#![warn(missing_docs)]

pub mod borrowed;
pub mod headroom;
pub mod pressure;
pub mod service_window;
