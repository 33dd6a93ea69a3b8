//! olivelatch: a cluster scheduler with data-aware work stealing.
//!
//! The layers, from the outermost: `transport` moves bytes and reads the clock,
//! `protocol` parses and serializes typed messages, `coordination` makes the
//! decisions, and `bookkeeping` holds the state. The last two do no I/O and do
//! not read the clock.

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod ids;
pub mod logging;
pub mod protocol;
pub mod settings;
pub mod source_location;
pub mod transport;
pub mod tunables;
