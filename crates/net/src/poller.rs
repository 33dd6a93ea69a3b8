//! The poller and its registrations: the only place that calls `polling`'s unsafe functions.
//!
//! `polling` requires that a source is removed from the poller before it is closed. [`Registration`] guarantees that: it
//! owns the socket and removes it when it is dropped.
// The one unsafe call has its reason beside it.
#![allow(unsafe_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use polling::{Event, Poller};

/// System calls by kind and bytes transferred, since whoever reads them last reset them.
#[derive(Debug, Default)]
pub struct SyscallCounters {
    pub waits: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    pub registrations: AtomicU64,
    pub bytes_read: AtomicU64,
    pub bytes_written: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The poller, with counters of the system calls made through it.
pub struct EventPoller {
    poller: Poller,
    pub syscalls: SyscallCounters,
}

impl EventPoller {
    /// Creates a poller.
    ///
    /// # Errors
    /// The operating system has no resources for one.
    pub fn new() -> io::Result<EventPoller> {
        Ok(EventPoller { poller: Poller::new()?, syscalls: SyscallCounters::default() })
    }

    /// Waits for events, at most for the timeout, and returns their number.
    ///
    /// # Errors
    /// The system call failed; `Interrupted` is harmless.
    pub fn wait(&self, events: &mut polling::Events, timeout: std::time::Duration) -> io::Result<usize> {
        increment(&self.syscalls.waits);
        self.poller.wait(events, Some(timeout))
    }
}

/// Allocates keys by which events name their socket. A key is never used twice.
#[derive(Debug, Default)]
pub struct KeyAllocator(usize);

impl KeyAllocator {
    /// A new key, starting with 1.
    pub fn next_key(&mut self) -> usize {
        self.0 += 1;
        self.0
    }
}

/// A socket that is registered with the poller for as long as this value lives.
pub struct Registration<S: AsFd> {
    poller: Arc<EventPoller>,
    source: S,
    key: usize,
}

impl<S: AsFd> Registration<S> {
    /// Registers a socket under the key of `interest`.
    ///
    /// # Errors
    /// The poller rejects the socket.
    pub fn new(poller: &Arc<EventPoller>, source: S, interest: Event) -> io::Result<Registration<S>> {
        // SAFETY: `Registration` owns the source and deletes it from the poller in `drop`,
        // before the source itself is closed.
        unsafe { poller.poller.add(&source.as_fd(), interest)? };
        increment(&poller.syscalls.registrations);
        Ok(Registration { poller: poller.clone(), source, key: interest.key })
    }

    /// Asks for the next event. Registrations are one-shot: each event needs a new interest.
    ///
    /// # Errors
    /// The poller rejects the change.
    pub fn set_interest(&self, readable: bool, writable: bool) -> io::Result<()> {
        increment(&self.poller.syscalls.registrations);
        self.poller.poller.modify(self.source.as_fd(), Event::new(self.key, readable, writable))
    }

    /// The socket.
    pub fn source(&self) -> &S {
        &self.source
    }
}

impl Registration<TcpStream> {
    /// Reads what is available.
    ///
    /// # Errors
    /// Those of the socket; `WouldBlock` if there is nothing.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.reads);
        let read = (&self.source).read(buffer)?;
        self.poller.syscalls.bytes_read.fetch_add(read as u64, Ordering::Relaxed);
        Ok(read)
    }

    /// Writes as much as the socket accepts.
    ///
    /// # Errors
    /// Those of the socket; `WouldBlock` if it accepts nothing.
    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.writes);
        let written = (&self.source).write(bytes)?;
        self.poller.syscalls.bytes_written.fetch_add(written as u64, Ordering::Relaxed);
        Ok(written)
    }
}

impl<S: AsFd> Drop for Registration<S> {
    fn drop(&mut self) {
        // Closing the socket, which follows, removes it as well.
        let _ = self.poller.poller.delete(self.source.as_fd());
    }
}
