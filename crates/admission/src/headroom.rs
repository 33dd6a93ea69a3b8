//! How much of the fleet work that nobody waits for may use.
//!
//! Idle-time work is there to fill what is left over. Started wherever there is room at the moment, tasks of several minutes
//! keep out work that is waited for and comes a little later. So room is left for what such work asked for lately, the
//! longer ago the less, but never so much that idle-time work gets less than a stated part.

use std::collections::VecDeque;

/// What work with aims asked for over a sliding window, and what is left over. Amounts are in the caller's unit. Memory: at
/// most one entry for each call of [`Headroom::see`] within the window.
#[derive(Debug, Clone)]
pub struct Headroom {
    window_ms: u64,
    /// The part of all that idle-time work always gets, 0 to 1.
    floor: f64,
    /// When so much was asked for; nothing later was more.
    peaks: VecDeque<(u64, u64)>,
    allowed: u64,
}

impl Headroom {
    pub fn new(window_ms: u64, floor: f64) -> Headroom {
        Headroom { window_ms, floor, peaks: VecDeque::new(), allowed: u64::MAX }
    }

    /// At `now` (milliseconds of the caller's clock) work with aims asks for `demand` of `capacity`.
    pub fn see(&mut self, now: u64, demand: u64, capacity: u64) {
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while self.peaks.front().is_some_and(|(at, _)| now.saturating_sub(*at) > self.window_ms) {
            self.peaks.pop_front();
        }
        let floor = (capacity as f64 * self.floor) as u64;
        self.allowed = capacity.saturating_sub(self.left_free(now)).max(floor);
    }

    /// A demand counts in full for half of the window and then less and less, until nothing at its end.
    fn left_free(&self, now: u64) -> u64 {
        let age = |at: u64| now.saturating_sub(at).min(self.window_ms) as f64 / self.window_ms as f64;
        let part = |at: u64| (2.0 * (1.0 - age(at))).min(1.0);
        let counts = self.peaks.iter().map(|(at, demand)| (*demand as f64 * part(*at)) as u64);
        counts.max().unwrap_or(0)
    }

    /// What idle-time work may use altogether; no bound before anything was seen.
    pub fn allowed(&self) -> u64 {
        self.allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_left_for_the_most_that_was_asked_for_lately() {
        let mut headroom = Headroom::new(60_000, 0.25);
        assert_eq!(headroom.allowed(), u64::MAX);
        headroom.see(0, 700, 1_000);
        assert_eq!(headroom.allowed(), 300);
        headroom.see(30_000, 100, 1_000);
        assert_eq!(headroom.allowed(), 300, "all of it for half the window");
        headroom.see(45_000, 100, 1_000);
        assert_eq!(headroom.allowed(), 650, "half of it after three quarters");
        headroom.see(61_000, 200, 1_000);
        assert_eq!(headroom.allowed(), 800, "nothing after the window");
        headroom.see(62_000, 5_000, 1_000);
        assert_eq!(headroom.allowed(), 250, "the floor, however much is asked for");
        headroom.see(200_000, 0, 1_000);
        assert_eq!(headroom.allowed(), 1_000);
    }

    /// Held against looking at all demands within the window.
    #[test]
    fn any_course_of_demands_gives_the_same_as_looking_at_all() {
        let mut headroom = Headroom::new(5, 0.0);
        let demands: Vec<u64> = (0..200u64).map(|at| at * at * 7919 % 101).collect();
        for (at, demand) in demands.iter().enumerate() {
            headroom.see(at as u64, *demand, 1_000);
            let part = |age: usize| (2.0 * (1.0 - age as f64 / 5.0)).min(1.0);
            let counts = |age: usize| (demands[at - age] as f64 * part(age)) as u64;
            let most = (0..=at.min(5)).map(counts).max().unwrap_or(0);
            assert_eq!(headroom.allowed(), 1_000 - most);
        }
    }
}
