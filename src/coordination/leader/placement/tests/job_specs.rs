//! Job specifications for the placement tests.

use crate::bookkeeping::jobs::{JobSpec, NameRegistry};
use crate::ids::{JobId, Revision};

/// Returns an array job of one task that is accepted `ready_s` seconds after a fixed time. `index` determines its id
/// and the order of acceptance.
pub(super) fn array_job(index: u32, priority_class: &str, ready_s: u64) -> JobSpec {
    let spec = serde_json::json!({"uid": "job-000001", "jobclass": "c", "owner": "o", "shape": "array",
            "urgency": priority_class, "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "b",
            "size_gb": 0.0, "together": false, "scatter": false, "loaners": false, "guess_s": 0.0, "snapshot_s": 0.0,
            "flush_s": 0.0});
    let spec = serde_json::from_value(spec).expect("a specification");
    let accepted = Revision(u64::from(index));
    let accepted_wall_ms = 1_000_000 + ready_s * 1000;
    JobSpec::new(JobId(u64::from(index)), &spec, accepted_wall_ms, accepted, &mut NameRegistry::default())
}
