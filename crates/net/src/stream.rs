//! A non-blocking TCP connection with bounded buffers.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use polling::Event;
use socket2::{Domain, Protocol, Socket, Type};

use crate::poller::{EventPoller, Registration};

const READ_CHUNK: usize = 16 * 1024;
/// An idle connection keeps no more than this for each direction.
const IDLE_BUFFER_BYTES: usize = 2 * 1024;

pub struct BufferedStream {
    watch: Registration<TcpStream>,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    pub connecting: bool,
}

/// What a read or write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    Open,
    Closed,
}

impl BufferedStream {
    pub fn from_accepted(
        gate: &Arc<EventPoller>,
        socket: TcpStream,
        key: usize,
    ) -> io::Result<BufferedStream> {
        socket.set_nonblocking(true)?;
        // Small answers must not wait for one another.
        socket.set_nodelay(true)?;
        let watch = Registration::new(gate, socket, Event::readable(key))?;
        Ok(BufferedStream::new(watch, false))
    }

    pub fn connect(gate: &Arc<EventPoller>, addr: SocketAddr, key: usize) -> io::Result<BufferedStream> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        if let Err(error) = socket.connect(&addr.into()) {
            let pending =
                error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS);
            if !pending {
                return Err(error);
            }
        }
        let watch = Registration::new(gate, socket.into(), Event::writable(key))?;
        Ok(BufferedStream::new(watch, true))
    }

    fn new(watch: Registration<TcpStream>, connecting: bool) -> BufferedStream {
        BufferedStream { watch, input: Vec::new(), output: Vec::new(), written: 0, connecting }
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Nothing more is sent; the peer sees that and closes.
    pub fn shutdown_write(&self) {
        // A connection that is gone already needs no end.
        let _ = self.watch.source().shutdown(Shutdown::Write);
    }

    pub fn pending_output(&self) -> usize {
        self.output.len() - self.written
    }

    /// Bytes that its buffers take.
    pub fn buffer_capacity(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Reads what there is, until `most` is held.
    pub fn read_available(&mut self, max_input: usize) -> StreamState {
        let mut chunk = [0; READ_CHUNK];
        while self.input.len() < max_input {
            let wanted = READ_CHUNK.min(max_input - self.input.len());
            match self.watch.read(&mut chunk[..wanted]) {
                Ok(0) => return StreamState::Closed,
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < wanted {
                        return StreamState::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Closed,
            }
        }
        StreamState::Open
    }

    pub fn flush(&mut self) -> StreamState {
        if self.connecting {
            match self.watch.source().take_error() {
                Ok(None) => {}
                _ => return StreamState::Closed,
            }
            if self.watch.source().peer_addr().is_err() {
                return StreamState::Open;
            }
            self.connecting = false;
        }
        while self.pending_output() > 0 {
            match self.watch.write(&self.output[self.written..]) {
                Ok(0) => return StreamState::Closed,
                Ok(n) => self.written += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Closed,
            }
        }
        self.output.clear();
        self.output.shrink_to(IDLE_BUFFER_BYTES);
        self.written = 0;
        StreamState::Open
    }

    /// Registrations are one-shot; called after each event.
    pub fn rearm(&self, readable: bool) -> StreamState {
        let writable = self.connecting || self.pending_output() > 0;
        match self.watch.set_interest(readable && !self.connecting, writable) {
            Ok(()) => StreamState::Open,
            Err(_) => StreamState::Closed,
        }
    }

    pub fn consume_input(&mut self, consumed: usize) {
        self.input.drain(..consumed);
        if self.input.is_empty() {
            self.input.shrink_to(IDLE_BUFFER_BYTES);
        }
    }
}

/// The number Linux gives a connection attempt that goes on in the background.
const EINPROGRESS: i32 = 115;
