//! Amounts of CPUs, accelerators and memory, and the units that they are counted in.

/// Resources that a task requests or a machine has, in thousandths of a CPU, an accelerator and a GB, so that sums are
/// exact.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Resources {
    pub cpu: u64,
    pub gpu: u64,
    pub mem: u64,
}

impl Resources {
    /// Whether all of it is available.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu && self.gpu <= available.gpu && self.mem <= available.mem
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.mem += other.mem;
    }

    /// What is left without another amount, at least zero of each resource.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            mem: self.mem.saturating_sub(other.mem),
        }
    }

    /// The amount of `count` of these.
    pub fn saturating_mul(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
        }
    }

    /// How many times it fits into what is available; `u64::MAX` if it is nothing.
    pub fn max_count_in(&self, available: &Resources) -> u64 {
        let quotient = |requested: u64, available: u64| available.checked_div(requested).unwrap_or(u64::MAX);
        quotient(self.cpu, available.cpu)
            .min(quotient(self.gpu, available.gpu))
            .min(quotient(self.mem, available.mem))
    }
}

/// Keeps amounts that are exact in decimal, such as 0.1, from being rounded to the next thousandth.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount in thousandths, rounded up, as for requests of tasks.
pub fn to_milli_ceil(value: f64) -> u64 {
    (value * 1000.0 - ROUNDING_TOLERANCE).ceil().max(0.0) as u64
}

/// An amount in thousandths, rounded down, as for what is available.
pub fn to_milli_floor(value: f64) -> u64 {
    (value * 1000.0 + ROUNDING_TOLERANCE).floor().max(0.0) as u64
}

/// Thousandths in whole units: CPUs, GB or seconds.
pub fn from_milli(milli: u64) -> f64 {
    milli as f64 / 1000.0
}

/// Seconds in milliseconds, rounded to the nearest; negative ones are zero.
pub fn seconds_to_ms(value: f64) -> u64 {
    (value * 1000.0).round().max(0.0) as u64
}
