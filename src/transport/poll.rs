//! The one place that talks to `polling`'s unsafe registration.
//!
//! `polling` asks that a source is removed before it is closed. `Watch` keeps that
//! promise: it owns the socket and unregisters it when it is dropped.
#![allow(unsafe_code)]

use std::io;
use std::os::fd::AsFd;
use std::sync::Arc;

use polling::{Event, Poller};

/// A registered socket.
pub struct Watch<S: AsFd> {
    poller: Arc<Poller>,
    source: S,
    key: usize,
}

impl<S: AsFd> Watch<S> {
    pub fn new(poller: &Arc<Poller>, source: S, interest: Event) -> io::Result<Watch<S>> {
        // SAFETY: `Watch` owns the source and deletes it from the poller in `drop`,
        // before the source itself is closed.
        unsafe { poller.add(&source.as_fd(), interest)? };
        Ok(Watch { poller: poller.clone(), source, key: interest.key })
    }

    /// Registrations are one-shot: every wait needs a new interest.
    pub fn want(&self, readable: bool, writable: bool) -> io::Result<()> {
        self.poller.modify(self.source.as_fd(), Event::new(self.key, readable, writable))
    }

    pub fn source(&self) -> &S {
        &self.source
    }
}

impl<S: AsFd> Drop for Watch<S> {
    fn drop(&mut self) {
        // A socket that cannot be removed is closed right after anyway.
        let _ = self.poller.delete(self.source.as_fd());
    }
}
