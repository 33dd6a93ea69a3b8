//! Sockets, timers and the clock: one thread around the poller.
//!
//! The transport moves bytes, passes events to the controller and performs the actions that it returns. It decides
//! nothing about jobs and machines. All buffers and the number of sockets are bounded by the settings' limits.

mod client_connection;
mod clients;
mod context;
mod mesh;
mod metrics;
mod router;
mod runtime;
mod server_connection;
mod servers;
mod timings;

use std::io;

use crate::settings::Settings;
use crate::tunables::Tunables;
use runtime::TransportRuntime;

/// Runs a controller until it is killed.
///
/// # Errors
/// An address can't be listened on, or the poller fails.
pub fn serve(settings: Settings, tunables: Tunables) -> io::Result<()> {
    TransportRuntime::start(settings, tunables)?.run()
}
