//! An HTTP client on `polling`: each slot has one connection and at most one request in flight.
//!
//! A slot's connection is kept for further requests to the same address. The caller passes events and the time in;
//! nothing here waits or reads a clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::{Parsed, Response, parse_response, write_request};
use crate::poller::{EventPoller, KeyAllocator};
use crate::stream::{BufferedStream, StreamState};

/// Largest body of a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Buffer space for the head and the chunk sizes of a response, beside its body.
const HEAD_ROOM_BYTES: usize = 64 * 1024;

/// A caller with at most one request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallSlot(pub usize);

struct ClientConnection {
    stream: BufferedStream,
    addr: SocketAddr,
    call_slot: CallSlot,
    /// When the request in flight times out, if there is one.
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
    by_slot: HashMap<CallSlot, usize>,
}

/// The outcome of a request; without a response it may have been carried out.
pub type CallResult = (CallSlot, Option<Response>);

impl HttpClient {
    /// A client without connections.
    pub fn new(poller: &Arc<EventPoller>) -> HttpClient {
        HttpClient { poller: poller.clone(), connections: HashMap::new(), by_slot: HashMap::new() }
    }

    /// Whether events with this key are for [`HttpClient::handle_event`].
    pub fn owns_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Sends a request (method, path, body); one that the slot has in flight is aborted. False if connecting to the
    /// address failed at once.
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
        // A failure shows with the next event or by the timeout.
        if !connection.stream.connecting {
            let _ = connection.stream.flush();
            let _ = connection.stream.rearm(true);
        }
        true
    }

    /// Closes the slot's connection; a request in flight has no outcome.
    pub fn abort_call(&mut self, slot: CallSlot) {
        if let Some(key) = self.by_slot.remove(&slot) {
            self.connections.remove(&key);
        }
    }

    /// Handles an event of one of its connections, and returns the outcome if a request ended.
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
        let read = connection.stream.read_available(MAX_RESPONSE_BYTES + HEAD_ROOM_BYTES);
        match parse_response(&connection.stream.input, MAX_RESPONSE_BYTES) {
            Parsed::Complete(response, consumed) if connection.deadline_ms.is_some() => {
                connection.stream.consume_input(consumed);
                connection.deadline_ms = None;
                let keep = response.keep_alive && read == StreamState::Open;
                if !keep || connection.stream.rearm(true) == StreamState::Closed {
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

    fn fail_call(&mut self, slot: CallSlot) -> Option<CallResult> {
        let key = self.by_slot.get(&slot)?;
        let in_flight = self.connections.get(key).is_some_and(|connection| connection.deadline_ms.is_some());
        self.abort_call(slot);
        in_flight.then_some((slot, None))
    }

    /// Aborts the requests whose deadline has passed and returns their outcomes.
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
