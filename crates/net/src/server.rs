//! A small HTTP server on `polling`: requests come out, answers go in, nothing waits.
//!
//! For programs that serve a few hundred connections, such as the region on one machine. The controller has a server of its
//! own (`src/transport/servers.rs`), with budgets for its tiny machines.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use polling::Event;

use crate::http::{JSON, LARGEST_BODY, Parsed, Request, parse_request, write_response};
use crate::poll::{Gate, Keys, Watch};
use crate::stream::{Flow, Stream};

const MOST_CONNECTIONS: usize = 4_000;
const MOST_INPUT: usize = LARGEST_BODY + 32 * 1024;
const MOST_OUTPUT: usize = 16 * 1024 * 1024;
const IDLE_MS: u64 = 120_000;

/// Which of the server's addresses a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Port(pub usize);

/// A request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn(usize);

#[derive(Debug)]
pub struct Incoming {
    pub conn: Conn,
    pub port: Port,
    pub request: Request,
}

struct Connection {
    stream: Stream,
    port: Port,
    /// A request is out; further ones wait in the buffer.
    busy: bool,
    keep_alive: bool,
    active: u64,
}

pub struct HttpServer {
    gate: Arc<Gate>,
    listeners: HashMap<usize, (Watch<TcpListener>, Port)>,
    open: HashMap<usize, Connection>,
}

impl HttpServer {
    pub fn new(gate: &Arc<Gate>) -> HttpServer {
        HttpServer { gate: gate.clone(), listeners: HashMap::new(), open: HashMap::new() }
    }

    /// Serves an address; the port 0 takes a free one. Returns the address it got.
    pub fn listen(&mut self, keys: &mut Keys, addr: SocketAddr, port: Port) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let key = keys.next_key();
        let watch = Watch::new(&self.gate, listener, Event::readable(key))?;
        self.listeners.insert(key, (watch, port));
        Ok(addr)
    }

    /// Stops serving a port and closes its connections.
    pub fn close_port(&mut self, port: Port) {
        self.listeners.retain(|_, (_, other)| *other != port);
        self.open.retain(|_, connection| connection.port != port);
    }

    pub fn owns(&self, key: usize) -> bool {
        self.listeners.contains_key(&key) || self.open.contains_key(&key)
    }

    /// Takes what came in; at most one request a connection is out at a time.
    pub fn event(&mut self, keys: &mut Keys, key: usize, now_ms: u64) -> Option<Incoming> {
        if self.listeners.contains_key(&key) {
            self.accept(keys, key, now_ms);
            return None;
        }
        let connection = self.open.get_mut(&key)?;
        connection.active = now_ms;
        let read = connection.stream.fill(MOST_INPUT);
        if read == Flow::Closed {
            connection.keep_alive = false;
            if !connection.busy && connection.stream.pending() == 0 {
                self.open.remove(&key);
                return None;
            }
        }
        self.next_request(key)
    }

    fn accept(&mut self, keys: &mut Keys, key: usize, now_ms: u64) {
        let Some((watch, port)) = self.listeners.get(&key) else { return };
        while let Ok((socket, _)) = watch.source().accept() {
            if self.open.len() >= MOST_CONNECTIONS {
                continue;
            }
            let key = keys.next_key();
            if let Ok(stream) = Stream::accepted(&self.gate, socket, key) {
                let connection =
                    Connection { stream, port: *port, busy: false, keep_alive: true, active: now_ms };
                self.open.insert(key, connection);
            }
        }
        // A listener that cannot be watched any more serves nobody; those who call see it.
        let _ = watch.want(true, false);
    }

    fn next_request(&mut self, key: usize) -> Option<Incoming> {
        let connection = self.open.get_mut(&key)?;
        let parsed = if connection.busy { Parsed::Partial } else { parse_request(&connection.stream.input) };
        match parsed {
            Parsed::Whole(request, taken) => {
                connection.stream.take_input(taken);
                connection.busy = true;
                connection.keep_alive &= request.keep_alive;
                let port = connection.port;
                self.push(key);
                Some(Incoming { conn: Conn(key), port, request })
            }
            Parsed::Partial => {
                self.push(key);
                None
            }
            Parsed::Bad | Parsed::TooLong => {
                connection.busy = true;
                connection.keep_alive = false;
                self.answer(Conn(key), 400, br#"{"error":"malformed request"}"#);
                None
            }
        }
    }

    /// Answers a request; if the next one is there already, it comes out.
    pub fn answer(&mut self, conn: Conn, status: u16, body: &[u8]) -> Option<Incoming> {
        let connection = self.open.get_mut(&conn.0)?;
        let mut bytes = Vec::with_capacity(body.len() + 200);
        write_response(&mut bytes, status, JSON, None, body, connection.keep_alive);
        connection.stream.queue(&bytes);
        connection.busy = false;
        if connection.keep_alive {
            self.next_request(conn.0)
        } else {
            self.push(conn.0);
            None
        }
    }

    fn push(&mut self, key: usize) {
        let Some(connection) = self.open.get_mut(&key) else { return };
        let mut flow = connection.stream.flush();
        let pending = connection.stream.pending();
        if pending > MOST_OUTPUT || (pending == 0 && !connection.busy && !connection.keep_alive) {
            flow = Flow::Closed;
        }
        if flow == Flow::Open {
            flow = connection.stream.rearm(!connection.busy && connection.stream.input.len() < MOST_INPUT);
        }
        if flow == Flow::Closed {
            self.open.remove(&key);
        }
    }

    /// Closes connections that have said nothing for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.open.retain(|_, c| c.busy || now_ms.saturating_sub(c.active) < IDLE_MS);
    }
}
