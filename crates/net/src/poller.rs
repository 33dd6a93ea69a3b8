//! The one place that talks to `polling`'s unsafe registration.
//!
//! `polling` asks that a source is removed before it is closed. `Watch` keeps that
//! promise: it owns the socket and unregisters it when it is dropped.
#![allow(unsafe_code)]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use polling::{Event, Poller};

/// System calls since they were last shown, by kind, and the bytes that streams moved.
#[derive(Debug, Default)]
pub struct SyscallCounters {
    pub waits: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    pub registrations: AtomicU64,
    pub bytes_read: AtomicU64,
    pub bytes_written: AtomicU64,
}

/// One more.
fn increment(calls: &AtomicU64) {
    calls.fetch_add(1, Ordering::Relaxed);
}

/// The poller, and how often the kernel was asked for something.
pub struct EventPoller {
    poller: Poller,
    pub syscalls: SyscallCounters,
}

impl EventPoller {
    pub fn new() -> io::Result<EventPoller> {
        Ok(EventPoller { poller: Poller::new()?, syscalls: SyscallCounters::default() })
    }

    pub fn wait(&self, events: &mut polling::Events, timeout: std::time::Duration) -> io::Result<usize> {
        increment(&self.syscalls.waits);
        self.poller.wait(events, Some(timeout))
    }
}

/// Numbers for registered sockets.
#[derive(Debug, Default)]
pub struct KeyAllocator(usize);

impl KeyAllocator {
    pub fn next_key(&mut self) -> usize {
        self.0 += 1;
        self.0
    }
}

/// A registered socket.
pub struct Registration<S: AsFd> {
    poller: Arc<EventPoller>,
    source: S,
    key: usize,
}

impl<S: AsFd> Registration<S> {
    pub fn new(gate: &Arc<EventPoller>, source: S, interest: Event) -> io::Result<Registration<S>> {
        // SAFETY: `Watch` owns the source and deletes it from the poller in `drop`,
        // before the source itself is closed.
        unsafe { gate.poller.add(&source.as_fd(), interest)? };
        increment(&gate.syscalls.registrations);
        Ok(Registration { poller: gate.clone(), source, key: interest.key })
    }

    /// Registrations are one-shot: every wait needs a new interest.
    pub fn set_interest(&self, readable: bool, writable: bool) -> io::Result<()> {
        increment(&self.poller.syscalls.registrations);
        self.poller.poller.modify(self.source.as_fd(), Event::new(self.key, readable, writable))
    }

    pub fn source(&self) -> &S {
        &self.source
    }
}

impl Registration<TcpStream> {
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.reads);
        let read = (&self.source).read(buffer)?;
        self.poller.syscalls.bytes_read.fetch_add(read as u64, Ordering::Relaxed);
        Ok(read)
    }

    pub fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        increment(&self.poller.syscalls.writes);
        let written = (&self.source).write(bytes)?;
        self.poller.syscalls.bytes_written.fetch_add(written as u64, Ordering::Relaxed);
        Ok(written)
    }
}

impl<S: AsFd> Drop for Registration<S> {
    fn drop(&mut self) {
        // A socket that cannot be removed is closed right after anyway.
        let _ = self.poller.poller.delete(self.source.as_fd());
    }
}
