//! How much of the fleet best-effort jobs may use.
//!
//! Best-effort jobs use the capacity that other jobs leave over. If their tasks, which run for several minutes, start
//! wherever capacity is free, they delay jobs with objectives that arrive a little later. Capacity is therefore
//! reserved for the recent demand of jobs with objectives. The reservation decays with the age of the demand, and it
//! always leaves a minimum share to best-effort jobs.

use std::collections::VecDeque;

/// The demand of jobs with objectives at one time.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// Milliseconds of the caller's clock.
    at_ms: u64,
    amount: u64,
}

/// Reserves capacity according to the demand over a sliding window. Amounts are in the caller's unit. Memory: at most
/// one entry per call of [`Headroom::record_demand`] within the window.
#[derive(Debug, Clone)]
pub struct Headroom {
    window_ms: u64,
    /// Fraction of the capacity that best-effort jobs may always use, from 0 to 1.
    minimum_share: f64,
    /// Demands that no later demand has reached or exceeded, so they decrease from the oldest to the newest.
    peaks: VecDeque<Demand>,
    /// Capacity that best-effort jobs may use in total.
    allowed: u64,
}

impl Headroom {
    /// Creates a reservation without any recorded demand. `minimum_share` is the fraction of the capacity that
    /// best-effort jobs may always use, from 0 to 1.
    pub fn new(window_ms: u64, minimum_share: f64) -> Headroom {
        Headroom { window_ms, minimum_share, peaks: VecDeque::new(), allowed: u64::MAX }
    }

    /// Records the `demand` of jobs with objectives for the `capacity` at `now`, in milliseconds of the caller's clock.
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

    /// Returns the capacity reserved for jobs with objectives. A demand counts in full for half of the window; its
    /// weight then decreases linearly to zero at the end of the window.
    fn reserved(&self, now: u64) -> u64 {
        let weighted = self.peaks.iter().map(|peak| {
            let age_ms = now.saturating_sub(peak.at_ms).min(self.window_ms);
            let age = age_ms as f64 / self.window_ms as f64;
            let weight = (2.0 * (1.0 - age)).min(1.0);
            (peak.amount as f64 * weight) as u64
        });
        weighted.max().unwrap_or(0)
    }

    /// Returns how much capacity best-effort jobs may use in total. Unlimited until a demand has been recorded.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }
}

#[cfg(test)]
#[path = "tests/headroom.rs"]
mod tests;
