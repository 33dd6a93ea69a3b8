//! HTTP calls on `polling`: one connection and one open call a slot, kept while it goes to the same address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::{Parsed, Response, parse_response, write_request};
use crate::poller::{EventPoller, KeyAllocator};
use crate::stream::{BufferedStream, StreamState};

const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Who calls; it has one call open at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallSlot(pub usize);

struct ClientConnection {
    stream: BufferedStream,
    addr: SocketAddr,
    call_slot: CallSlot,
    /// When the open call is given up.
    deadline: Option<u64>,
}

pub struct HttpClient {
    poller: Arc<EventPoller>,
    connections: HashMap<usize, ClientConnection>,
    by_slot: HashMap<CallSlot, usize>,
}

/// None: no answer came.
pub type CallResult = (CallSlot, Option<Response>);

impl HttpClient {
    pub fn new(gate: &Arc<EventPoller>) -> HttpClient {
        HttpClient { poller: gate.clone(), connections: HashMap::new(), by_slot: HashMap::new() }
    }

    pub fn owns_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Starts a call; an open one of the slot is given up. False: the address cannot be called at all.
    pub fn send_request(
        &mut self,
        keys: &mut KeyAllocator,
        slot: CallSlot,
        addr: SocketAddr,
        request: (&str, &str, &[u8]),
        until_ms: u64,
    ) -> bool {
        let kept = self.by_slot.get(&slot).copied();
        let kept = kept
            .filter(|key| self.connections.get(key).is_some_and(|l| l.addr == addr && l.deadline.is_none()));
        let key = match kept {
            Some(key) => key,
            None => {
                self.abort_call(slot);
                let key = keys.next_key();
                let Ok(stream) = BufferedStream::connect(&self.poller, addr, key) else { return false };
                self.connections
                    .insert(key, ClientConnection { stream, addr, call_slot: slot, deadline: None });
                self.by_slot.insert(slot, key);
                key
            }
        };
        let Some(line) = self.connections.get_mut(&key) else { return false };
        let (method, path, body) = request;
        let mut bytes = Vec::with_capacity(body.len() + 200);
        write_request(&mut bytes, method, path, &addr.to_string(), body);
        line.stream.queue(&bytes);
        line.deadline = Some(until_ms);
        // A connection that fails at once is found by the next event or by time.
        if !line.stream.connecting {
            let _ = line.stream.flush();
            let _ = line.stream.rearm(true);
        }
        true
    }

    pub fn abort_call(&mut self, slot: CallSlot) {
        if let Some(key) = self.by_slot.remove(&slot) {
            self.connections.remove(&key);
        }
    }

    pub fn handle_event(&mut self, key: usize) -> Option<CallResult> {
        let line = self.connections.get_mut(&key)?;
        let slot = line.call_slot;
        if line.stream.connecting {
            let open =
                line.stream.flush() == StreamState::Open && line.stream.rearm(true) == StreamState::Open;
            return if open { None } else { self.fail_call(slot) };
        }
        let read = line.stream.read_available(MAX_RESPONSE_BYTES + 64 * 1024);
        match parse_response(&line.stream.input, MAX_RESPONSE_BYTES) {
            Parsed::Complete(response, taken) if line.deadline.is_some() => {
                line.stream.consume_input(taken);
                line.deadline = None;
                let keep = response.keep_alive && read == StreamState::Open;
                if !keep || line.stream.rearm(true) == StreamState::Closed {
                    self.abort_call(slot);
                }
                Some((slot, Some(response)))
            }
            Parsed::Partial if read == StreamState::Open => {
                let open =
                    line.stream.flush() == StreamState::Open && line.stream.rearm(true) == StreamState::Open;
                if open { None } else { self.fail_call(slot) }
            }
            _ => self.fail_call(slot),
        }
    }

    fn fail_call(&mut self, slot: CallSlot) -> Option<CallResult> {
        let key = self.by_slot.get(&slot)?;
        let open = self.connections.get(key).is_some_and(|line| line.deadline.is_some());
        self.abort_call(slot);
        open.then_some((slot, None))
    }

    /// Calls whose time is over.
    pub fn expire_calls(&mut self, now_ms: u64) -> Vec<CallResult> {
        let over: Vec<CallSlot> = self
            .connections
            .values()
            .filter(|line| line.deadline.is_some_and(|until| until <= now_ms))
            .map(|line| line.call_slot)
            .collect();
        over.into_iter().filter_map(|slot| self.fail_call(slot)).collect()
    }
}
