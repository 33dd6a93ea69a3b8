//! The machine that a worker runs on.

use crate::description::JobDescription;

/// Tolerance for sums of fractional resources.
const RESOURCE_EPSILON: f64 = 1e-9;
/// Lower bound of the fetch rate, so that a rate of 0 gives a long time and not an infinite one.
const MIN_IMAGE_FETCH_GB_PER_S: f64 = 1e-6;

/// What a machine is and has.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Unique name.
    pub name: String,
    /// Address of its worker.
    pub endpoint: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone it is in.
    pub zone: String,
    /// It is a spot instance, which the cloud may take back.
    pub spot: bool,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of accelerators.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// How fast it fetches images, in GB a second.
    pub image_fetch_gb_per_s: f64,
}

impl Machine {
    /// Do the tasks of these jobs, one of each, fit the machine together?
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

    /// How long fetching an image takes.
    pub(crate) fn image_fetch_ms(&self, image_gb: f64) -> u64 {
        (image_gb / self.image_fetch_gb_per_s.max(MIN_IMAGE_FETCH_GB_PER_S) * 1000.0) as u64
    }
}
