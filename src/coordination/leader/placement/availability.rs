//! What a machine can run for a job. Placement, the capacity plan and the retries of failed jobs share this answer.
//!
//! The functions read the leader's state and change nothing.

use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::MachineIx;

impl Leader {
    /// Returns why no capacity can be planned for the job on this machine, whatever its state and its other tasks. A
    /// machine on which the job has failed is retried only while there is no other one, so none is planned there.
    pub(in crate::coordination::leader) fn planning_blocker(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        let machine = &self.cluster.machines[machine_ix.index()];
        if !job.spec.allows(machine.machine_type, machine.zone, machine.spot) {
            Some(PlacementBlocker::NotAllowed)
        } else if !job.spec.task_resources.fits_in(&machine.capacity) {
            Some(PlacementBlocker::TooSmall)
        } else if job.failed_on.contains(&machine_ix) {
            Some(PlacementBlocker::FailedBefore)
        } else {
            None
        }
    }
}
