//! State shared by the transport's modules: the poller, the clock, the allocator of socket keys and the event queue.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::coordination::{Clock, Event};
use crate::ids::Millis;
use olivelatch_net::poller::EventPoller;

/// Values indexed by the poller key of their socket.
pub(super) type ByKey<T> = HashMap<usize, T>;

/// Value of the monotonic clock when the process starts. It is far enough from 0 that the time 0, which stands for
/// "never", is always well in the past.
const START_MS: u64 = 100_000;

/// State shared by the transport's modules.
pub(super) struct TransportContext {
    pub(super) poller: Arc<EventPoller>,
    next_key: usize,
    start: Instant,
    /// Events not yet passed to the controller, in the order of their arrival.
    pub(super) pending_events: VecDeque<Event>,
}

impl TransportContext {
    /// Creates a context that allocates keys starting after `last_key`.
    pub(super) fn new(poller: Arc<EventPoller>, last_key: usize) -> TransportContext {
        TransportContext {
            poller,
            next_key: last_key,
            start: Instant::now(),
            pending_events: VecDeque::new(),
        }
    }

    /// Returns an unused poller key for a new socket.
    pub(super) fn allocate_key(&mut self) -> usize {
        self.next_key += 1;
        self.next_key
    }

    /// Returns the monotonic time in milliseconds.
    pub(super) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64 + START_MS)
    }

    /// Returns the monotonic time and the wall-clock time.
    pub(super) fn clock(&self) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { now: self.now(), wall_ms: wall.as_millis() as u64 }
    }
}
