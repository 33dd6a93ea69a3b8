//! An HTTP client on `polling`. Each call slot has at most one connection, with at most one request in flight.
//!
//! The connection is reused for later requests of its slot to the same address. The caller passes in events and the
//! time; this module neither waits nor reads a clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::{Parsed, Response, parse_response, write_request};
use crate::poller::{EventPoller, KeyAllocator};
use crate::stream::{BufferedStream, StreamState};

/// Maximum size of a response's body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Buffer space for the head and the chunk sizes of a response, in addition to its body.
const RESPONSE_OVERHEAD_BYTES: usize = 64 * 1024;

/// Identifies one of the client's call slots; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallSlot(pub usize);

struct ClientConnection {
    stream: BufferedStream,
    addr: SocketAddr,
    call_slot: CallSlot,
    /// Time at which the request in flight times out; `None` if no request is in flight.
    deadline_ms: Option<u64>,
}

impl ClientConnection {
    fn flush_and_rearm(&mut self) -> StreamState {
        if self.stream.flush() == StreamState::Closed {
            return StreamState::Closed;
        }
        self.stream.rearm(true)
    }
}

/// The connections of all slots.
pub struct HttpClient {
    poller: Arc<EventPoller>,
    connections: HashMap<usize, ClientConnection>,
    /// Key of each slot's connection.
    by_slot: HashMap<CallSlot, usize>,
}

/// The outcome of a slot's request. Without a response, it is unknown whether the request was carried out.
pub type CallResult = (CallSlot, Option<Response>);

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(poller: &Arc<EventPoller>) -> HttpClient {
        HttpClient { poller: poller.clone(), connections: HashMap::new(), by_slot: HashMap::new() }
    }

    /// Returns whether events with this key must be passed to [`HttpClient::handle_event`].
    pub fn owns_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Sends a request, given as method, path and body, and aborts the slot's request in flight, if any. The request
    /// times out at `deadline_ms`, in milliseconds of the caller's clock. Returns false if connecting to the address
    /// failed immediately.
    pub fn send_request(
        &mut self,
        keys: &mut KeyAllocator,
        slot: CallSlot,
        addr: SocketAddr,
        request: (&str, &str, &[u8]),
        deadline_ms: u64,
    ) -> bool {
        let is_reusable =
            |connection: &ClientConnection| connection.addr == addr && connection.deadline_ms.is_none();
        let current = self.by_slot.get(&slot).copied();
        let reusable = current.filter(|key| self.connections.get(key).is_some_and(is_reusable));
        let key = match reusable {
            Some(key) => key,
            None => {
                self.abort_call(slot);
                let key = keys.next_key();
                let Ok(stream) = BufferedStream::connect(&self.poller, addr, key) else { return false };
                self.connections
                    .insert(key, ClientConnection { stream, addr, call_slot: slot, deadline_ms: None });
                self.by_slot.insert(slot, key);
                key
            }
        };
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        let (method, path, body) = request;
        let mut bytes = Vec::with_capacity(body.len() + 200);
        write_request(&mut bytes, method, path, &addr.to_string(), body);
        connection.stream.queue(&bytes);
        connection.deadline_ms = Some(deadline_ms);
        // A failure here is reported with the next event or by the time-out.
        if !connection.stream.connecting {
            let _ = connection.stream.flush();
            let _ = connection.stream.rearm(true);
        }
        true
    }

    /// Closes the slot's connection. No outcome is reported for a request in flight.
    pub fn abort_call(&mut self, slot: CallSlot) {
        if let Some(key) = self.by_slot.remove(&slot) {
            self.connections.remove(&key);
        }
    }

    /// Handles an event of one of the client's connections. Returns the outcome if this completes a request.
    pub fn handle_event(&mut self, key: usize) -> Option<CallResult> {
        let connection = self.connections.get_mut(&key)?;
        let slot = connection.call_slot;
        if connection.stream.connecting {
            return if connection.flush_and_rearm() == StreamState::Open {
                None
            } else {
                self.fail_call(slot)
            };
        }
        let read = connection.stream.read_available(MAX_RESPONSE_BYTES + RESPONSE_OVERHEAD_BYTES);
        match parse_response(&connection.stream.input, MAX_RESPONSE_BYTES) {
            Parsed::Complete(response, consumed) if connection.deadline_ms.is_some() => {
                connection.stream.consume_input(consumed);
                connection.deadline_ms = None;
                let is_reusable = response.keep_alive && read == StreamState::Open;
                if !is_reusable || connection.stream.rearm(true) == StreamState::Closed {
                    self.abort_call(slot);
                }
                Some((slot, Some(response)))
            }
            Parsed::Partial if read == StreamState::Open => {
                if connection.flush_and_rearm() == StreamState::Open { None } else { self.fail_call(slot) }
            }
            _ => self.fail_call(slot),
        }
    }

    /// Closes the slot's connection and returns the outcome of its request in flight, if any.
    fn fail_call(&mut self, slot: CallSlot) -> Option<CallResult> {
        let key = self.by_slot.get(&slot)?;
        let in_flight = self.connections.get(key).is_some_and(|connection| connection.deadline_ms.is_some());
        self.abort_call(slot);
        in_flight.then_some((slot, None))
    }

    /// Aborts all requests whose deadline has passed, and returns their outcomes.
    pub fn expire_calls(&mut self, now_ms: u64) -> Vec<CallResult> {
        let expired: Vec<CallSlot> = self
            .connections
            .values()
            .filter(|connection| connection.deadline_ms.is_some_and(|deadline_ms| deadline_ms <= now_ms))
            .map(|connection| connection.call_slot)
            .collect();
        expired.into_iter().filter_map(|slot| self.fail_call(slot)).collect()
    }
}
