//! How much of the fleet work that nobody waits for may use.
//!
//! Idle-time work is there to fill what is left over. Started wherever there is room at the moment, tasks of several minutes
//! keep out work that is waited for and comes a little later. So room is left for what such work asked for lately, the
//! longer ago the less, but never so much that idle-time work gets less than a stated part.

use std::collections::VecDeque;

/// What work with aims asked for over a sliding window, and what is left over. Amounts are in the caller's unit. Memory: at
/// most one entry for each call of [`Headroom::record_demand`] within the window.
#[derive(Debug, Clone)]
pub struct Headroom {
    window_ms: u64,
    /// The part of all that idle-time work always gets, 0 to 1.
    minimum_share: f64,
    /// When so much was asked for; nothing later was more.
    peaks: VecDeque<(u64, u64)>,
    allowed: u64,
}

impl Headroom {
    pub fn new(window_ms: u64, minimum_share: f64) -> Headroom {
        Headroom { window_ms, minimum_share, peaks: VecDeque::new(), allowed: u64::MAX }
    }

    /// At `now` (milliseconds of the caller's clock) work with aims asks for `demand` of `capacity`.
    pub fn record_demand(&mut self, now: u64, demand: u64, capacity: u64) {
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while self.peaks.front().is_some_and(|(at, _)| now.saturating_sub(*at) > self.window_ms) {
            self.peaks.pop_front();
        }
        let minimum = (capacity as f64 * self.minimum_share) as u64;
        self.allowed = capacity.saturating_sub(self.reserved(now)).max(minimum);
    }

    /// A demand counts in full for half of the window and then less and less, until nothing at its end.
    fn reserved(&self, now: u64) -> u64 {
        let age = |at: u64| now.saturating_sub(at).min(self.window_ms) as f64 / self.window_ms as f64;
        let weight = |at: u64| (2.0 * (1.0 - age(at))).min(1.0);
        let weighted = self.peaks.iter().map(|(at, demand)| (*demand as f64 * weight(*at)) as u64);
        weighted.max().unwrap_or(0)
    }

    /// What idle-time work may use altogether; no bound before anything was seen.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }
}

#[cfg(test)]
#[path = "tests/headroom.rs"]
mod tests;
