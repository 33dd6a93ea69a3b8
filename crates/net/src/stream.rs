//! A non-blocking TCP connection with an input and an output buffer.
//!
//! The caller bounds the input buffer through the argument of [`BufferedStream::read_available`], and the output
//! buffer by closing connections whose [`BufferedStream::pending_output`] becomes too large.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use polling::Event;
use socket2::{Domain, Protocol, Socket, Type};

use crate::poller::{EventPoller, Registration};

/// Maximum number of bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Buffer capacity that an idle connection keeps in each direction.
const IDLE_BUFFER_BYTES: usize = 2 * 1024;

/// A TCP connection with its buffers.
pub struct BufferedStream {
    registration: Registration<TcpStream>,
    /// Bytes received and not yet consumed.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written to the socket.
    written: usize,
    /// The connection is not established yet.
    pub connecting: bool,
}

/// The state of a connection after a read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// The connection can still be used.
    Open,
    /// The peer closed the connection or an error occurred; the connection must be dropped.
    Closed,
}

impl BufferedStream {
    /// Wraps a connection that a listener accepted.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be configured or registered.
    pub fn from_accepted(
        poller: &Arc<EventPoller>,
        socket: TcpStream,
        key: usize,
    ) -> io::Result<BufferedStream> {
        socket.set_nonblocking(true)?;
        // Disables Nagle's algorithm, which would delay small responses.
        socket.set_nodelay(true)?;
        let registration = Registration::new(poller, socket, Event::readable(key))?;
        Ok(BufferedStream::new(registration, false))
    }

    /// Starts to connect. The first event indicates that the attempt has succeeded or failed.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be created or registered, or if connecting fails immediately.
    pub fn connect(poller: &Arc<EventPoller>, addr: SocketAddr, key: usize) -> io::Result<BufferedStream> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        if let Err(error) = socket.connect(&addr.into()) {
            let in_progress =
                error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS);
            if !in_progress {
                return Err(error);
            }
        }
        let registration = Registration::new(poller, socket.into(), Event::writable(key))?;
        Ok(BufferedStream::new(registration, true))
    }

    fn new(registration: Registration<TcpStream>, connecting: bool) -> BufferedStream {
        BufferedStream { registration, input: Vec::new(), output: Vec::new(), written: 0, connecting }
    }

    /// Appends bytes to the output buffer.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Closes the sending side, so that the peer sees the end of the stream.
    pub fn shutdown_write(&self) {
        // This fails only if the connection is already closed.
        let _ = self.registration.source().shutdown(Shutdown::Write);
    }

    /// Returns the number of bytes in the output buffer that have not been written yet.
    pub fn pending_output(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns the memory allocated for both buffers, in bytes.
    pub fn buffer_capacity(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Reads available bytes until the input buffer holds `max_input` bytes.
    pub fn read_available(&mut self, max_input: usize) -> StreamState {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.input.len() < max_input {
            let wanted = READ_CHUNK_BYTES.min(max_input - self.input.len());
            match self.registration.read(&mut chunk[..wanted]) {
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

    /// Writes as much of the output buffer as the socket accepts. While connecting, first checks whether the
    /// connection is established.
    pub fn flush(&mut self) -> StreamState {
        if self.connecting {
            match self.registration.source().take_error() {
                Ok(None) => {}
                _ => return StreamState::Closed,
            }
            if self.registration.source().peer_addr().is_err() {
                return StreamState::Open;
            }
            self.connecting = false;
        }
        while self.pending_output() > 0 {
            match self.registration.write(&self.output[self.written..]) {
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

    /// Registers interest in the next event: in writability while connecting or while output is pending, and in
    /// readability if `readable` is set and the connection is established. Must be called after each event.
    pub fn rearm(&self, readable: bool) -> StreamState {
        let writable = self.connecting || self.pending_output() > 0;
        match self.registration.set_interest(readable && !self.connecting, writable) {
            Ok(()) => StreamState::Open,
            Err(_) => StreamState::Closed,
        }
    }

    /// Removes bytes from the front of the input buffer.
    pub fn consume_input(&mut self, consumed: usize) {
        self.input.drain(..consumed);
        if self.input.is_empty() {
            self.input.shrink_to(IDLE_BUFFER_BYTES);
        }
    }
}

/// Linux error number for a non-blocking connection attempt that is in progress.
const EINPROGRESS: i32 = 115;
