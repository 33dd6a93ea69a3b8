//! Non-blocking sockets on `polling`, and the subset of HTTP/1.1 that olivelatch's interfaces use.
//!
//! Nothing in this crate blocks except [`poller::EventPoller::wait`], and no connection buffers more than its caller
//! allows. The controller, the local cluster and the client share this crate; docs/client.md explains why.

pub mod client;
pub mod http;
pub mod poller;
pub mod server;
pub mod stream;
