//! Monotonic time, which the transport reads from its clock and passes in.

/// A point in time: milliseconds of a monotonic clock since an arbitrary start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time `ms` milliseconds later.
    pub fn saturating_add(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// Returns the time `ms` milliseconds earlier, but not below zero.
    pub fn saturating_sub(self, ms: u64) -> Millis {
        Millis(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if that time is later.
    pub fn saturating_since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
