//! What the parts of the transport share: the poller, the clock, keys of sockets, and the queue of events.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::coordination::{Clock, Event};
use crate::ids::Millis;
use olivelatch_net::poller::EventPoller;

/// Values by the key of their socket.
pub(super) type ByKey<T> = HashMap<usize, T>;

/// What the clock shows at the start. The time 0, which stands for "never", thereby lies well in the past.
const START_MS: u64 = 100_000;

/// What the parts of the transport share.
pub(super) struct TransportContext {
    pub(super) poller: Arc<EventPoller>,
    next_key: usize,
    start: Instant,
    /// Events that the controller has yet to receive, in their order.
    pub(super) pending_events: VecDeque<Event>,
}

impl TransportContext {
    /// A context whose keys come after `last_key`.
    pub(super) fn new(poller: Arc<EventPoller>, last_key: usize) -> TransportContext {
        TransportContext {
            poller,
            next_key: last_key,
            start: Instant::now(),
            pending_events: VecDeque::new(),
        }
    }

    /// A key for a new socket.
    pub(super) fn allocate_key(&mut self) -> usize {
        self.next_key += 1;
        self.next_key
    }

    /// The monotonic time.
    pub(super) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64 + START_MS)
    }

    /// The monotonic time and the time of day.
    pub(super) fn clock(&self) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { now: self.now(), wall_ms: wall.as_millis() as u64 }
    }
}
