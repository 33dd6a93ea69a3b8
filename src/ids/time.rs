//! Steady time, as the transport's clock passes it in.

/// Milliseconds of a monotonic clock since an arbitrary start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// The time that many milliseconds later.
    pub fn saturating_add(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// The time that many milliseconds earlier, at least zero.
    pub fn saturating_sub(self, ms: u64) -> Millis {
        Millis(self.0.saturating_sub(ms))
    }

    /// Milliseconds since an earlier time, zero if it is later.
    pub fn saturating_since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
