//! The poller and its registrations. This is the only module that calls `polling`'s unsafe functions.
//!
//! `polling` requires that a source is removed from the poller before it is closed. [`Registration`] guarantees this:
//! it owns the socket and removes it from the poller on drop.
// The only unsafe call has a SAFETY comment.
#![allow(unsafe_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use polling::{Event, Poller};

/// Counters of system calls and of bytes transferred. A reader may reset them to zero.
#[derive(Debug, Default)]
pub struct SyscallCounters {
    /// Calls that waited for events.
    pub waits: AtomicU64,
    /// Calls that read from a socket, including those that failed.
    pub reads: AtomicU64,
    /// Calls that wrote to a socket, including those that failed.
    pub writes: AtomicU64,
    /// Calls that registered a socket with the poller or changed its interest.
    pub registrations: AtomicU64,
    /// Bytes read from sockets.
    pub bytes_read: AtomicU64,
    /// Bytes written to sockets.
    pub bytes_written: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// A poller that counts the system calls made through it.
pub struct EventPoller {
    poller: Poller,
    /// Counters of the system calls on this poller and on the sockets registered with it.
    pub syscalls: SyscallCounters,
}

impl EventPoller {
    /// Creates a poller.
    ///
    /// # Errors
    /// Returns an error if the operating system cannot provide one.
    pub fn new() -> io::Result<EventPoller> {
        Ok(EventPoller { poller: Poller::new()?, syscalls: SyscallCounters::default() })
    }

    /// Waits for events, for at most `timeout`, and returns their number.
    ///
    /// # Errors
    /// Returns the error of the system call. `Interrupted` is harmless: the caller may wait again.
    pub fn wait(&self, events: &mut polling::Events, timeout: std::time::Duration) -> io::Result<usize> {
        increment(&self.syscalls.waits);
        self.poller.wait(events, Some(timeout))
    }
}

/// Allocates the keys by which events identify their socket. A key is never reused.
#[derive(Debug, Default)]
pub struct KeyAllocator(usize);

impl KeyAllocator {
    /// Returns a new key. The first one is 1.
    pub fn next_key(&mut self) -> usize {
        self.0 += 1;
        self.0
    }
}

/// A socket that is registered with the poller for the lifetime of this value.
pub struct Registration<S: AsFd> {
    poller: Arc<EventPoller>,
    source: S,
    key: usize,
}

impl<S: AsFd> Registration<S> {
    /// Registers a socket under the key of `interest`.
    ///
    /// # Errors
    /// Returns an error if the poller rejects the socket.
    pub fn new(poller: &Arc<EventPoller>, source: S, interest: Event) -> io::Result<Registration<S>> {
        // SAFETY: `Registration` owns the source and deletes it from the poller in `drop`,
        // before the source itself is closed.
        unsafe { poller.poller.add(&source.as_fd(), interest)? };
        increment(&poller.syscalls.registrations);
        Ok(Registration { poller: poller.clone(), source, key: interest.key })
    }

    /// Registers interest in the next event. Registrations are one-shot: this must be called again after each event.
    ///
    /// # Errors
    /// Returns an error if the poller rejects the change.
    pub fn set_interest(&self, readable: bool, writable: bool) -> io::Result<()> {
        increment(&self.poller.syscalls.registrations);
        self.poller.poller.modify(self.source.as_fd(), Event::new(self.key, readable, writable))
    }

    /// Returns the registered socket.
    pub fn source(&self) -> &S {
        &self.source
    }
}

impl Registration<TcpStream> {
    /// Reads available bytes into the buffer, with one system call.
    ///
    /// # Errors
    /// Returns the socket's error, `WouldBlock` if no bytes are available.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.reads);
        let read = (&self.source).read(buffer)?;
        self.poller.syscalls.bytes_read.fetch_add(read as u64, Ordering::Relaxed);
        Ok(read)
    }

    /// Writes as many bytes as the socket accepts, with one system call.
    ///
    /// # Errors
    /// Returns the socket's error, `WouldBlock` if the socket accepts no bytes.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.writes);
        let written = (&self.source).write(bytes)?;
        self.poller.syscalls.bytes_written.fetch_add(written as u64, Ordering::Relaxed);
        Ok(written)
    }
}

impl<S: AsFd> Drop for Registration<S> {
    fn drop(&mut self) {
        // An error can be ignored: the socket is closed next, which removes it from the poller as well.
        let _ = self.poller.poller.delete(self.source.as_fd());
    }
}
