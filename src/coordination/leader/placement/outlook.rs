//! What the waiting tasks of a job wait for, by the same answers on which placement and the capacity plan act.
//!
//! An accepted job must run: whatever keeps its tasks from starting must be able to end. A job for which
//! [`Outlook::is_stuck`] holds for long has been forgotten by placement or by the plan.
//!
//! The functions read the leader's state and change nothing.

use std::collections::BTreeMap;

use crate::coordination::Clock;
use crate::coordination::leader::machines::provisioner::InstanceOffer;
use crate::coordination::leader::placement::availability::Availability;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::placement::zone_rules::tasks_placeable;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, ZoneIx};

/// What the waiting tasks of a job wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// No task waits: each is on a machine or has finished.
    NothingWaits,
    /// The delay after a failure, or after all machines that it may use have failed its tasks.
    Retry,
    /// A limit of its team, its pool or of best-effort tasks, which other tasks use up.
    Limit,
    /// Machines have room for it now: the next placement pass should start it.
    Room,
    /// Machines are expected to have room for it once they are up or some of their tasks have ended.
    RoomLater,
    /// Machines that it may use have been requested from the cloud.
    Requested,
    /// The cloud has refused every offer that it may use; each is tried again after its backoff.
    CloudRefused,
    /// It has failed so often that no machine is rented for it yet.
    RentalDelay,
    /// No machine can run it, and one can be rented: the next capacity plan should request it.
    Rental,
}

impl Outlook {
    /// Returns whether the job waits for nothing but the leader's own next step, which should follow within seconds.
    pub fn is_stuck(self) -> bool {
        matches!(self, Outlook::Room | Outlook::Rental)
    }
}

/// Number of tasks for which there is room in a zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneRoom {
    now: u64,
    later: u64,
}

/// The tasks of a job for which machines have room, now and later.
#[derive(Debug, Default)]
struct RoomForJob {
    by_zone: BTreeMap<ZoneIx, ZoneRoom>,
    /// The job is excluded from at least one machine that it may use otherwise.
    any_excluded: bool,
}

impl RoomForJob {
    /// Returns how many tasks of the job can be placed at the same time, counting what `room` selects in each zone.
    fn total(&self, job: &JobState, room: impl Fn(&ZoneRoom) -> u64) -> u64 {
        tasks_placeable(&job.spec, self.by_zone.values().map(room))
    }
}

impl Leader {
    /// Returns what the waiting tasks of the job wait for.
    pub fn outlook(&self, job_ix: JobIx, clock: Clock) -> Outlook {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return Outlook::NothingWaits };
        let waiting = job.waiting_tasks();
        if waiting == 0 || job.finishing {
            return Outlook::NothingWaits;
        }
        if self.is_retry_delayed(job_ix, job) {
            return Outlook::Retry;
        }
        let tasks_at_once = if job.spec.is_all_or_nothing() { waiting } else { 1 };
        if self.is_limited(job, tasks_at_once) || self.yields_to_preemptor(job_ix, job) {
            return Outlook::Limit;
        }
        let room = self.room_for_job(job_ix, job, clock);
        if room.total(job, |zone| zone.now) >= tasks_at_once {
            Outlook::Room
        } else if room.total(job, |zone| zone.now.saturating_add(zone.later)) >= tasks_at_once {
            Outlook::RoomLater
        } else if self.is_suitable_offer_requested(job) {
            Outlook::Requested
        } else if !job.may_rent_machines(clock.now) {
            Outlook::RentalDelay
        } else if room.any_excluded {
            Outlook::Retry
        } else if self.cheapest_offer(job, clock, |_| true).is_some() {
            Outlook::Rental
        } else {
            Outlook::CloudRefused
        }
    }

    /// Returns whether the job's waiting tasks are to be queued again after a delay.
    fn is_retry_delayed(&self, job_ix: JobIx, job: &JobState) -> bool {
        let is_in_retry_queue =
            || self.workload.retry_queue.values().flatten().any(|(delayed, _)| *delayed == job_ix);
        job.probation.is_some_and(|probation| !probation.queued) || is_in_retry_queue()
    }

    fn is_limited(&self, job: &JobState, tasks_at_once: u64) -> bool {
        let need = job.spec.task_resources.saturating_mul(tasks_at_once);
        !self.within_quota(job.spec.team, &need)
            || !self.pool_has_free_slots(job, tasks_at_once as u32)
            || self.best_effort_slots(job) == 0
    }

    fn room_for_job(&self, job_ix: JobIx, job: &JobState, clock: Clock) -> RoomForJob {
        let mut room = RoomForJob::default();
        for machine_ix in self.cluster.machine_indices() {
            let availability = self.availability(machine_ix, job, clock);
            let slots = match availability {
                Availability::Now { slots } | Availability::Later { slots } => slots,
                Availability::Never(blocker) => {
                    room.any_excluded |= blocker == PlacementBlocker::FailedBefore;
                    continue;
                }
            };
            let is_usable_now = matches!(availability, Availability::Now { .. })
                && self.is_eligible(machine_ix, job)
                && self.zone_rules_allow(machine_ix, job)
                && !self.is_taken(machine_ix, job_ix);
            let zone = room.by_zone.entry(self.cluster.machines[machine_ix.index()].zone).or_default();
            let total = if is_usable_now { &mut zone.now } else { &mut zone.later };
            *total = total.saturating_add(slots);
        }
        room
    }

    /// Returns whether the machine is held or reserved for other jobs, or takes no queued tasks.
    fn is_taken(&self, machine_ix: MachineIx, job_ix: JobIx) -> bool {
        let machine = &self.cluster.machines[machine_ix.index()];
        machine.hold.is_some_and(|hold| hold.job != job_ix) || machine.reserved
    }

    fn is_suitable_offer_requested(&self, job: &JobState) -> bool {
        let is_suitable = |offer: &InstanceOffer| {
            let machine_type = self.cluster.machine_types.get(&offer.machine_type);
            job.spec.allows(offer.machine_type, offer.zone, offer.spot)
                && machine_type.is_some_and(|found| job.spec.task_resources.fits_in(&found.capacity))
        };
        self.provisioner.pending_requests().keys().any(is_suitable)
    }
}
