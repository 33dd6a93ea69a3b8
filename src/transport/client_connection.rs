//! Targets of outbound requests, and the connections to them.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::coordination::{Event, OutboundId};
use crate::ids::Millis;
use crate::protocol::{HttpOutcome, HttpRequest};
use olivelatch_net::stream::BufferedStream;

/// The recipient of an outbound request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Target {
    KvStore,
    Cloud,
    Worker(SocketAddr),
}

impl Target {
    /// Returns the maximum number of connections to the target. The store gets several, so that a lease renewal does
    /// not wait behind a transaction.
    pub(super) fn max_connections(self) -> usize {
        match self {
            Target::KvStore => 6,
            Target::Cloud => 2,
            Target::Worker(_) => 1,
        }
    }

    /// Returns the event that reports the outcome of a request to this target.
    pub(super) fn outcome_event(self, outbound: OutboundId, outcome: HttpOutcome) -> Event {
        match self {
            Target::KvStore => Event::Kv { outbound, outcome },
            Target::Cloud => Event::Cloud { outbound, outcome },
            Target::Worker(_) => Event::WorkerCommands { outbound, outcome },
        }
    }
}

/// A connection to a target.
pub(super) struct ClientConnection {
    pub(super) stream: BufferedStream,
    pub(super) target: Target,
    /// The request that is waiting for its response, if any.
    pub(super) outbound: Option<OutboundId>,
    pub(super) last_active: Millis,
}

/// The connections to one target.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// Keys of the connections without a request in flight.
    pub(super) idle: Vec<usize>,
    /// Number of connections, idle or in use.
    pub(super) open: usize,
    /// Requests waiting for a connection, in the order of their arrival.
    pub(super) queue: VecDeque<(OutboundId, HttpRequest)>,
}

/// A request whose outcome has not been reported yet.
#[derive(Clone, Copy)]
pub(super) struct Outstanding {
    pub(super) target: Target,
    /// Key of the connection over which it was sent; `None` while it is queued.
    pub(super) connection: Option<usize>,
}

/// The result of acquiring a connection to a target.
pub(super) enum Acquired {
    /// The connection with this key can be used.
    Connection(usize),
    /// All connections that are allowed to the target are in use.
    Busy,
    /// No connection can be opened: the process is out of sockets, or connecting failed immediately.
    Unavailable,
}
