//! Capacity for job arrays: CPU time before the job should complete, on any machines that fit one of its
//! tasks.

use super::CapacityPlan;
use super::planned_machines::{cpu_ms, slots_cpu};
use crate::coordination::leader::machines::provisioner::MIN_BILLED_MS;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::{JobState, Leader, MachineType};

/// The minimum planning horizon, even for a job that is late.
const MIN_HORIZON_MS: u64 = 10_000;
/// The maximum number of machines that one plan requests for a single job.
const MAX_ADDED_PER_JOB: u32 = 50;

/// The demand of an array's waiting tasks that the plan has not met yet.
struct ArrayDemand<'a> {
    job_state: &'a JobState,
    run_ms: u64,
    /// The time from now within which the last task should start.
    horizon_ms: u64,
    unplaced_cpu_ms: u64,
}

impl<'a> ArrayDemand<'a> {
    /// Creates the demand of `waiting_tasks`. `start_deadline_fraction` is the fraction of the time left
    /// within which the last task should finish.
    fn new(
        job_state: &'a JobState,
        waiting_tasks: u64,
        time_left_ms: u64,
        start_deadline_fraction: f64,
    ) -> ArrayDemand<'a> {
        let run_ms = job_state.expected_run_ms().max(1);
        let start_within_ms = ((time_left_ms as f64 * start_deadline_fraction) as u64).saturating_sub(run_ms);
        let cpu = job_state.spec.task_resources.cpu.max(1);
        ArrayDemand {
            job_state,
            run_ms,
            horizon_ms: start_within_ms.max(MIN_HORIZON_MS.max(run_ms / 2)),
            unplaced_cpu_ms: cpu_ms(waiting_tasks * cpu, run_ms),
        }
    }

    fn is_met(&self) -> bool {
        self.unplaced_cpu_ms == 0
    }

    /// Assigns as much of the demand as `available_cpu_ms` allows, and returns the CPU milliseconds assigned.
    fn assign(&mut self, available_cpu_ms: u64) -> u64 {
        let assigned = self.unplaced_cpu_ms.min(available_cpu_ms);
        self.unplaced_cpu_ms -= assigned;
        assigned
    }

    /// Returns the CPU milliseconds of a new machine that count as usable: those within the horizon or the
    /// minimum billed time, whichever is longer, less the boot time, but enough for one run. Counting all of
    /// the billed time keeps a plan from requesting more machines than have work for the time that is paid
    /// for.
    fn usable_cpu_ms(&self, machine_type: &MachineType, leader: &Leader) -> u64 {
        let billed_ms = self.horizon_ms.max(MIN_BILLED_MS);
        let usable_ms = billed_ms.saturating_sub(machine_type.boot_ms).max(self.run_ms);
        let need = &self.job_state.spec.task_resources;
        let slots = leader.empty_room(machine_type.capacity).slots(need);
        cpu_ms(slots_cpu(slots, need).min(machine_type.capacity.cpu), usable_ms).max(1)
    }
}

impl CapacityPlan<'_> {
    /// Assigns the waiting tasks of an array to machines, then to spare capacity and pending requests, and
    /// requests the missing machines.
    pub(super) fn assign_array(&mut self, job_state: &JobState, time_left_ms: u64) {
        for (ix, _) in job_state.placements.values().flatten() {
            self.needed_machines.insert(*ix);
        }
        let leader = self.leader;
        let waiting = job_state.waiting_tasks().min(leader.best_effort_slots(job_state));
        if waiting == 0 {
            return;
        }
        let fraction = leader.tunables.start_deadline_fraction;
        let mut demand = ArrayDemand::new(job_state, waiting, time_left_ms, fraction);
        self.assign_array_to_machines(&mut demand, None);
        self.assign_array_to_spare_capacity(&mut demand);
        self.use_pending_requests(job_state, |_, machine_type| {
            demand.assign(demand.usable_cpu_ms(machine_type, leader)) > 0
        });
        self.request_machines_for_array(&mut demand);
        // If no other machine can be had for the job now, it is retried where it has failed.
        self.assign_array_to_machines(&mut demand, Some(PlacementBlocker::FailedBefore));
    }

    /// Assigns the array to the machines with this planning blocker.
    fn assign_array_to_machines(&mut self, demand: &mut ArrayDemand<'_>, blocker: Option<PlacementBlocker>) {
        for planned in &mut self.planned_machines {
            if demand.is_met() {
                break;
            }
            if self.leader.planning_blocker(planned.ix, demand.job_state) != blocker {
                continue;
            }
            let assigned = demand.assign(planned.usable_cpu_ms(demand.job_state, demand.horizon_ms));
            if assigned > 0 {
                planned.reserved_cpu_ms += assigned;
                self.needed_machines.insert(planned.ix);
            }
        }
    }

    fn assign_array_to_spare_capacity(&mut self, demand: &mut ArrayDemand<'_>) {
        let spec = &demand.job_state.spec;
        for (offer, spare_cpu_ms) in &mut self.spare_capacity {
            let machine_type = self.leader.cluster.machine_types.get(&offer.machine_type);
            let fits = machine_type.is_some_and(|found| spec.task_resources.fits_in(&found.capacity));
            if fits && spec.allows(offer.machine_type, offer.zone, offer.spot) {
                *spare_cpu_ms -= demand.assign(*spare_cpu_ms);
            }
        }
    }

    fn request_machines_for_array(&mut self, demand: &mut ArrayDemand<'_>) {
        let leader = self.leader;
        let mut added = 0;
        while !demand.is_met()
            && added < MAX_ADDED_PER_JOB
            && demand.job_state.may_rent_machines(self.clock.now)
        {
            let offer = leader.cheapest_offer(demand.job_state, self.clock, |_| true);
            let Some(offer) = offer else { return };
            let Some(machine_type) = leader.cluster.machine_types.get(&offer.machine_type) else { return };
            let usable_cpu_ms = demand.usable_cpu_ms(machine_type, leader);
            let spare_cpu_ms = usable_cpu_ms - demand.assign(usable_cpu_ms);
            *self.spare_capacity.entry(offer).or_default() += spare_cpu_ms;
            *self.wanted_offers.entry(offer).or_default() += 1;
            added += 1;
        }
    }
}
