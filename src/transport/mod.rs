//! Sockets, timers and the clock, driven by one thread that waits on the poller.
//!
//! The transport moves bytes, passes events to the controller and performs the actions that the controller returns. It
//! makes no decisions about jobs or machines. The limits in the settings bound all buffers and the number of sockets.

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
/// Returns an error if listening on an address fails, the system provides no random seed, or the poller fails.
pub fn serve(settings: Settings, tunables: Tunables) -> io::Result<()> {
    TransportRuntime::start(settings, tunables)?.run()
}
