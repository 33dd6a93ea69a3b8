//! Non-blocking sockets on `polling`, and HTTP/1.1 as olivelatch's interfaces use it.
//!
//! Nothing here blocks except [`poller::EventPoller::wait`], and no connection buffers more than its caller allows. The
//! controller, the local cluster and the client share it; docs/client.md says why.

pub mod client;
pub mod http;
pub mod poller;
pub mod server;
pub mod stream;
