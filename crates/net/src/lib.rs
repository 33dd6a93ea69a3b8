//! Sockets on `polling` and HTTP/1.1 as olivelatch's interfaces use it.
//!
//! Decides nothing. It must never wait except in `Gate::wait`, and never hold more of a connection than its
//! caller allows. Shared by the controller, the region on one machine and the client; docs/client.md says why.

pub mod client;
pub mod http;
pub mod poller;
pub mod server;
pub mod stream;
