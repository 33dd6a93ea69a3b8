//! The run's own sockets: the cloud's server, and the client for zones, the kv store and controllers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use olivelatch_net::client::{CallSlot, HttpClient};
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{HttpServer, ListenerId};
use polling::Events;

use crate::error::{ScaleError, io_error};

/// Longest wait for events between two steps.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request as method, path and body.
pub(super) type OutboundRequest<'a> = (&'a str, &'a str, &'a [u8]);

pub(super) struct Network {
    poller: Arc<EventPoller>,
    pub(super) keys: KeyAllocator,
    pub(super) server: HttpServer,
    pub(super) http_client: HttpClient,
}

impl Network {
    /// Listens at the cloud's address.
    pub(super) fn listen(cloud: SocketAddr) -> Result<Network, ScaleError> {
        let poller = Arc::new(EventPoller::new().map_err(io_error("the poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&poller));
        server.listen(&mut keys, cloud, ListenerId(0)).map_err(io_error("the cloud's address"))?;
        Ok(Network { http_client: HttpClient::new(&poller), poller, keys, server })
    }

    /// Waits for events, at most for `POLL_INTERVAL`; returns the keys of the sockets that are ready.
    pub(super) fn wait(&self, events: &mut Events) -> Result<Vec<usize>, ScaleError> {
        events.clear();
        match self.poller.wait(events, POLL_INTERVAL) {
            Ok(_) => {}
            // A signal: the caller checks whether the run is to stop.
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(error) => return Err(io_error("the poller")(error)),
        }
        Ok(events.iter().map(|event| event.key).collect())
    }

    /// Sends a request; false if no connection could be opened.
    pub(super) fn send(
        &mut self,
        slot: CallSlot,
        address: SocketAddr,
        request: OutboundRequest<'_>,
        deadline_ms: u64,
    ) -> bool {
        self.http_client.send_request(&mut self.keys, slot, address, request, deadline_ms)
    }
}
