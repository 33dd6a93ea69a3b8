//! How much of the fleet best-effort jobs may use.
//!
//! Best-effort jobs are there to fill what is left over. Started wherever there is room at the moment, their tasks of
//! several minutes keep out jobs with objectives that come a little later. So room is kept free for the recent demand of
//! such jobs, the older the less, but never so much that best-effort jobs get less than a minimum share.

use std::collections::VecDeque;

/// Demand of one moment.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Milliseconds of the caller's clock.
    at_ms: u64,
    amount: u64,
}

/// Capacity to be kept free, by the demand over a sliding window. Amounts are in the caller's unit. Memory: at most one
/// entry for each call of [`Headroom::record_demand`] within the window.
#[derive(Debug, Clone)]
pub struct Headroom {
    window_ms: u64,
    /// The part of the capacity that best-effort jobs may always use, 0 to 1.
    minimum_share: f64,
    /// Demands after which there was no higher one; so they fall from the oldest to the newest.
    peaks: VecDeque<Demand>,
    allowed: u64,
}

impl Headroom {
    /// Without any demand yet. `minimum_share`: the part of the capacity that best-effort jobs may always use, 0 to 1.
    pub fn new(window_ms: u64, minimum_share: f64) -> Headroom {
        Headroom { window_ms, minimum_share, peaks: VecDeque::new(), allowed: u64::MAX }
    }

    /// Records that jobs with objectives demand so much of `capacity` at `now` (milliseconds of the caller's clock).
    pub fn record_demand(&mut self, now: u64, demand: u64, capacity: u64) {
        while self.peaks.back().is_some_and(|peak| peak.amount <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(Demand { at_ms: now, amount: demand });
        while self.peaks.front().is_some_and(|peak| now.saturating_sub(peak.at_ms) > self.window_ms) {
            self.peaks.pop_front();
        }
        let minimum = (capacity as f64 * self.minimum_share) as u64;
        self.allowed = capacity.saturating_sub(self.reserved(now)).max(minimum);
    }

    /// A demand counts in full for half of the window and then less and less, until nothing at its end.
    fn reserved(&self, now: u64) -> u64 {
        let weighted = self.peaks.iter().map(|peak| {
            let age_ms = now.saturating_sub(peak.at_ms).min(self.window_ms);
            let age = age_ms as f64 / self.window_ms as f64;
            let weight = (2.0 * (1.0 - age)).min(1.0);
            (peak.amount as f64 * weight) as u64
        });
        weighted.max().unwrap_or(0)
    }

    /// How much best-effort jobs may use altogether; unbounded before any demand was recorded.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }
}

#[cfg(test)]
#[path = "tests/headroom.rs"]
mod tests;
