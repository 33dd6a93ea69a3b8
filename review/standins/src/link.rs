//! The state of the network between one controller and one service. Each controller has its own address of each
//! service, so that a link can be interrupted for one of them alone.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Open,
    /// Packets are held back and delivered after the interruption.
    Hold,
    /// The service answers 503.
    Refuse,
}

#[derive(Clone)]
pub struct Link(Arc<(Mutex<Mode>, Condvar)>);

impl Link {
    pub fn new() -> Link {
        Link(Arc::new((Mutex::new(Mode::Open), Condvar::new())))
    }
    pub fn set(&self, mode: Mode) {
        *self.0.0.lock().expect("link") = mode;
        self.0.1.notify_all();
    }
    pub fn mode(&self) -> Mode {
        *self.0.0.lock().expect("link")
    }
    /// Waits while packets are held back.
    pub fn pass(&self) -> Mode {
        let mut mode = self.0.0.lock().expect("link");
        while *mode == Mode::Hold {
            mode = self.0.1.wait_timeout(mode, Duration::from_secs(1)).expect("link").0;
        }
        *mode
    }
}
