//! A non-blocking TCP connection with bounded buffers.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use polling::Event;
use socket2::{Domain, Protocol, Socket, Type};

use crate::poll::{Gate, Watch};

const READ_CHUNK: usize = 16 * 1024;
/// An idle connection keeps no more than this for each direction.
const KEPT: usize = 2 * 1024;

pub struct Stream {
    watch: Watch<TcpStream>,
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    pub connecting: bool,
}

/// What a read or write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    Open,
    Closed,
}

impl Stream {
    pub fn accepted(gate: &Arc<Gate>, socket: TcpStream, key: usize) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        // Small answers must not wait for one another.
        socket.set_nodelay(true)?;
        let watch = Watch::new(gate, socket, Event::readable(key))?;
        Ok(Stream::new(watch, false))
    }

    pub fn connect(gate: &Arc<Gate>, addr: SocketAddr, key: usize) -> io::Result<Stream> {
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
        let watch = Watch::new(gate, socket.into(), Event::writable(key))?;
        Ok(Stream::new(watch, true))
    }

    fn new(watch: Watch<TcpStream>, connecting: bool) -> Stream {
        Stream { watch, input: Vec::new(), output: Vec::new(), written: 0, connecting }
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Nothing more is sent; the peer sees that and closes.
    pub fn finish(&self) {
        // A connection that is gone already needs no end.
        let _ = self.watch.source().shutdown(Shutdown::Write);
    }

    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Bytes that its buffers take.
    pub fn held(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Reads what there is, until `most` is held.
    pub fn fill(&mut self, most: usize) -> Flow {
        let mut chunk = [0; READ_CHUNK];
        while self.input.len() < most {
            let wanted = READ_CHUNK.min(most - self.input.len());
            match self.watch.read(&mut chunk[..wanted]) {
                Ok(0) => return Flow::Closed,
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < wanted {
                        return Flow::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Flow::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Flow::Closed,
            }
        }
        Flow::Open
    }

    pub fn flush(&mut self) -> Flow {
        if self.connecting {
            match self.watch.source().take_error() {
                Ok(None) => {}
                _ => return Flow::Closed,
            }
            if self.watch.source().peer_addr().is_err() {
                return Flow::Open;
            }
            self.connecting = false;
        }
        while self.pending() > 0 {
            match self.watch.write(&self.output[self.written..]) {
                Ok(0) => return Flow::Closed,
                Ok(n) => self.written += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Flow::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Flow::Closed,
            }
        }
        self.output.clear();
        self.output.shrink_to(KEPT);
        self.written = 0;
        Flow::Open
    }

    /// Registrations are one-shot; called after each event.
    pub fn rearm(&self, readable: bool) -> Flow {
        let writable = self.connecting || self.pending() > 0;
        match self.watch.want(readable && !self.connecting, writable) {
            Ok(()) => Flow::Open,
            Err(_) => Flow::Closed,
        }
    }

    pub fn take_input(&mut self, taken: usize) {
        self.input.drain(..taken);
        if self.input.is_empty() {
            self.input.shrink_to(KEPT);
        }
    }
}

/// The number Linux gives a connection attempt that goes on in the background.
const EINPROGRESS: i32 = 115;
