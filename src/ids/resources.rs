//! Amounts of CPUs, accelerators and memory, and conversions of their units.

/// Resources that a task requests or a machine provides. They are integers, in thousandths of a CPU, an accelerator and
/// a GB, so that sums are exact.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpu: u64,
    /// Thousandths of an accelerator.
    pub gpu: u64,
    /// Thousandths of a GB.
    pub mem: u64,
}

impl Resources {
    /// Returns whether all of these resources are available.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu && self.gpu <= available.gpu && self.mem <= available.mem
    }

    /// Adds other resources.
    pub fn add(&mut self, other: &Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.mem += other.mem;
    }

    /// Subtracts other resources; the result is at least zero for each resource.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            mem: self.mem.saturating_sub(other.mem),
        }
    }

    /// Multiplies the resources by `count`; values that would overflow become `u64::MAX`.
    pub fn saturating_mul(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
        }
    }

    /// Returns how many times these resources fit into the available ones; `u64::MAX` if all of them are zero.
    pub fn max_count_in(&self, available: &Resources) -> u64 {
        let quotient = |requested: u64, available: u64| available.checked_div(requested).unwrap_or(u64::MAX);
        quotient(self.cpu, available.cpu)
            .min(quotient(self.gpu, available.gpu))
            .min(quotient(self.mem, available.mem))
    }
}

/// Tolerance, in thousandths, that keeps decimal amounts such as 0.1, which `f64` cannot represent exactly, from being
/// rounded to the next thousandth.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Converts an amount to thousandths, rounded up, as for resources that tasks request.
pub fn to_milli_ceil(value: f64) -> u64 {
    (value * 1000.0 - ROUNDING_TOLERANCE).ceil().max(0.0) as u64
}

/// Converts an amount to thousandths, rounded down, as for resources that are available.
pub fn to_milli_floor(value: f64) -> u64 {
    (value * 1000.0 + ROUNDING_TOLERANCE).floor().max(0.0) as u64
}

/// Converts thousandths to whole units, such as CPUs, GB or seconds.
pub fn from_milli(milli: u64) -> f64 {
    milli as f64 / 1000.0
}

/// Converts seconds to milliseconds, rounded to the nearest integer; negative values become zero.
pub fn seconds_to_ms(value: f64) -> u64 {
    (value * 1000.0).round().max(0.0) as u64
}
