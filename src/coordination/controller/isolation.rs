//! Detects that the store is unreachable for this controller alone, as opposed to an outage that affects all.

use super::Controller;
use crate::coordination::Clock;
use crate::ids::Millis;

/// How long a controller has to seem isolated before it counts as isolated, in milliseconds. When an outage
/// that affects all begins or ends, controllers notice it at different times and receive one another's health
/// status with a delay.
const ISOLATED_AFTER_MS: u64 = 1_500;

/// Tracks since when only this controller has been unable to use the store.
#[derive(Debug, Default)]
pub(super) struct IsolationDetector {
    isolated_since: Option<Millis>,
}

impl IsolationDetector {
    fn observe(&mut self, now: Millis, seems_isolated: bool) {
        self.isolated_since = self.isolated_since.or(Some(now)).filter(|_| seems_isolated);
    }

    pub fn is_isolated(&self, now: Millis) -> bool {
        self.isolated_since.is_some_and(|since| now.saturating_since(since) > ISOLATED_AFTER_MS)
    }
}

impl Controller {
    /// Records whether this controller seems isolated: the store does not serve it, and the store either
    /// serves another controller or no other controller's health status arrives.
    pub(super) fn detect_isolation(&mut self, clock: Clock) {
        let is_cut_off = !self.peer_names.is_empty() && !self.peers.has_live_peer(clock.now);
        let seems_isolated = !self.kv_client.is_reachable(clock.now)
            && (is_cut_off || self.peers.any_peer_reaches_store(clock.now));
        self.isolation.observe(clock.now, seems_isolated);
    }
}

#[cfg(test)]
#[path = "tests/isolation.rs"]
mod tests;
