//! The sockets of the run's own process: the server of the simulated cloud, and the HTTP client for zones,
//! the kv store and controllers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use olivelatch_net::client::{CallSlot, HttpClient};
use olivelatch_net::poller::{EventPoller, KeyAllocator};
use olivelatch_net::server::{HttpServer, ListenerId};
use polling::Events;

use crate::error::{ScaleError, io_error};

/// Maximum time that the event loop waits for socket events between two steps.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Method, path and body of a request.
pub(super) type OutboundRequest<'a> = (&'a str, &'a str, &'a [u8]);

pub(super) struct Network {
    poller: Arc<EventPoller>,
    pub(super) keys: KeyAllocator,
    pub(super) server: HttpServer,
    pub(super) http_client: HttpClient,
}

impl Network {
    /// Starts to listen at the address of the simulated cloud.
    pub(super) fn listen(cloud: SocketAddr) -> Result<Network, ScaleError> {
        let poller = Arc::new(EventPoller::new().map_err(io_error("creating the socket poller"))?);
        let (mut keys, mut server) = (KeyAllocator::default(), HttpServer::new(&poller));
        server.listen(&mut keys, cloud, ListenerId(0)).map_err(io_error(format!("listening on {cloud}")))?;
        Ok(Network { http_client: HttpClient::new(&poller), poller, keys, server })
    }

    /// Waits for socket events, at most for `POLL_INTERVAL`; returns the keys of the sockets that are ready.
    pub(super) fn wait(&self, events: &mut Events) -> Result<Vec<usize>, ScaleError> {
        events.clear();
        match self.poller.wait(events, POLL_INTERVAL) {
            Ok(_) => {}
            // A signal interrupted the wait; the caller checks whether the run must stop.
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(error) => return Err(io_error("polling sockets")(error)),
        }
        Ok(events.iter().map(|event| event.key).collect())
    }

    /// Sends a request; returns false if no connection could be opened.
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
