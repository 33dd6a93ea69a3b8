//! The machine that a worker runs on.

use crate::description::JobDescription;

/// Tolerance for sums of fractional resources.
const RESOURCE_EPSILON: f64 = 1e-9;
/// Lower bound of the fetch rate, so that a rate of 0 yields a long fetch time instead of an infinite one.
const MIN_IMAGE_FETCH_GB_PER_S: f64 = 1e-6;

/// A machine: its identity, type and capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Unique name.
    pub name: String,
    /// Address of its worker.
    pub endpoint: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance, which the cloud may reclaim.
    pub spot: bool,
    /// CPUs that the tasks on the machine may use in total.
    pub cpus: f64,
    /// GPUs that the tasks on the machine may use in total.
    pub gpus: f64,
    /// Memory that the tasks on the machine may use in total, in GB.
    pub memory_gb: f64,
    /// Rate at which the machine fetches images, in GB per second.
    pub image_fetch_gb_per_s: f64,
}

impl Machine {
    /// Returns whether one task of each of these jobs fits on the machine together.
    pub(crate) fn fits<'a>(&self, jobs: impl Iterator<Item = &'a JobDescription>) -> bool {
        let (mut cpus, mut gpus, mut memory_gb) = (0.0, 0.0, 0.0);
        for job in jobs {
            cpus += job.cpus;
            gpus += job.gpus;
            memory_gb += job.memory_gb;
        }
        let fits = |used: f64, capacity: f64| used <= capacity + RESOURCE_EPSILON;
        fits(cpus, self.cpus) && fits(gpus, self.gpus) && fits(memory_gb, self.memory_gb)
    }

    /// Returns how long fetching an image takes, in milliseconds.
    pub(crate) fn image_fetch_ms(&self, image_gb: f64) -> u64 {
        (image_gb / self.image_fetch_gb_per_s.max(MIN_IMAGE_FETCH_GB_PER_S) * 1000.0) as u64
    }
}
