//! HTTP calls on `polling`: one connection and one open call a slot, kept while it goes to the same address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::{Parsed, Response, parse_response, write_request};
use crate::poll::{Gate, Keys};
use crate::stream::{Flow, Stream};

const MOST_ANSWER: usize = 4 * 1024 * 1024;

/// Who calls; it has one call open at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub usize);

struct Line {
    stream: Stream,
    addr: SocketAddr,
    slot: Slot,
    /// When the open call is given up.
    until: Option<u64>,
}

pub struct Caller {
    gate: Arc<Gate>,
    lines: HashMap<usize, Line>,
    by_slot: HashMap<Slot, usize>,
}

/// None: no answer came.
pub type Answered = (Slot, Option<Response>);

impl Caller {
    pub fn new(gate: &Arc<Gate>) -> Caller {
        Caller { gate: gate.clone(), lines: HashMap::new(), by_slot: HashMap::new() }
    }

    pub fn owns(&self, key: usize) -> bool {
        self.lines.contains_key(&key)
    }

    /// Starts a call; an open one of the slot is given up. False: the address cannot be called at all.
    pub fn call(
        &mut self,
        keys: &mut Keys,
        slot: Slot,
        addr: SocketAddr,
        request: (&str, &str, &[u8]),
        until_ms: u64,
    ) -> bool {
        let kept = self.by_slot.get(&slot).copied();
        let kept =
            kept.filter(|key| self.lines.get(key).is_some_and(|l| l.addr == addr && l.until.is_none()));
        let key = match kept {
            Some(key) => key,
            None => {
                self.hang_up(slot);
                let key = keys.next_key();
                let Ok(stream) = Stream::connect(&self.gate, addr, key) else { return false };
                self.lines.insert(key, Line { stream, addr, slot, until: None });
                self.by_slot.insert(slot, key);
                key
            }
        };
        let Some(line) = self.lines.get_mut(&key) else { return false };
        let (method, path, body) = request;
        let mut bytes = Vec::with_capacity(body.len() + 200);
        write_request(&mut bytes, method, path, &addr.to_string(), body);
        line.stream.queue(&bytes);
        line.until = Some(until_ms);
        // A connection that fails at once is found by the next event or by time.
        if !line.stream.connecting {
            let _ = line.stream.flush();
            let _ = line.stream.rearm(true);
        }
        true
    }

    pub fn hang_up(&mut self, slot: Slot) {
        if let Some(key) = self.by_slot.remove(&slot) {
            self.lines.remove(&key);
        }
    }

    pub fn event(&mut self, key: usize) -> Option<Answered> {
        let line = self.lines.get_mut(&key)?;
        let slot = line.slot;
        if line.stream.connecting {
            let open = line.stream.flush() == Flow::Open && line.stream.rearm(true) == Flow::Open;
            return if open { None } else { self.lost(slot) };
        }
        let read = line.stream.fill(MOST_ANSWER + 64 * 1024);
        match parse_response(&line.stream.input, MOST_ANSWER) {
            Parsed::Whole(response, taken) if line.until.is_some() => {
                line.stream.take_input(taken);
                line.until = None;
                let keep = response.keep_alive && read == Flow::Open;
                if !keep || line.stream.rearm(true) == Flow::Closed {
                    self.hang_up(slot);
                }
                Some((slot, Some(response)))
            }
            Parsed::Partial if read == Flow::Open => {
                let open = line.stream.flush() == Flow::Open && line.stream.rearm(true) == Flow::Open;
                if open { None } else { self.lost(slot) }
            }
            _ => self.lost(slot),
        }
    }

    fn lost(&mut self, slot: Slot) -> Option<Answered> {
        let key = self.by_slot.get(&slot)?;
        let open = self.lines.get(key).is_some_and(|line| line.until.is_some());
        self.hang_up(slot);
        open.then_some((slot, None))
    }

    /// Calls whose time is over.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Answered> {
        let over: Vec<Slot> = self
            .lines
            .values()
            .filter(|line| line.until.is_some_and(|until| until <= now_ms))
            .map(|line| line.slot)
            .collect();
        over.into_iter().filter_map(|slot| self.lost(slot)).collect()
    }
}
