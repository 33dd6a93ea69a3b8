//! Searches for machines for all tasks of a gang or service, among the machine types and zones that fit. Counts
//! capacity that is free, and capacity that preemption or draining can free.
//!
//! The functions read the leader's state and change nothing.

use std::collections::HashMap;

use olivelatch_admission::borrowed::BorrowedCapacity;

use crate::coordination::Clock;
use crate::coordination::leader::placement::MS_PER_S;
use crate::coordination::leader::placement::holds::PlacementMethod;
use crate::coordination::leader::placement::preemption_cost::{BorrowedClaim, PreemptionPolicy};
use crate::coordination::leader::{JobState, Leader, Machine};
use crate::ids::{JobIx, MachineIx, MachineTypeIx, TeamIx, ZoneIx};

/// Estimated time until a stop command has reached a worker and its effect is known to the leader.
const STOP_LATENCY_MS: u64 = 500;
/// Fetch rate assumed for machines of an unknown type, in megabytes per second.
const DEFAULT_FETCH_MB_PER_S: f64 = 100.0;

/// The parameters of a search.
#[derive(Clone, Copy)]
pub(in crate::coordination::leader) struct GangSearch<'a> {
    pub(in crate::coordination::leader) job_ix: JobIx,
    pub(in crate::coordination::leader) job: &'a JobState,
    /// Number of tasks that need a machine.
    pub(in crate::coordination::leader) count: usize,
    pub(in crate::coordination::leader) method: PlacementMethod,
    pub(in crate::coordination::leader) clock: Clock,
}

/// The machines that a search found.
pub(in crate::coordination::leader) struct GangPlacement {
    /// Estimated delay until the last task can start, in milliseconds. Lost work counts as delay.
    pub(super) delay_ms: u64,
    /// One machine for each placed task; a machine that gets several tasks is repeated.
    pub(in crate::coordination::leader) machines: Vec<MachineIx>,
}

/// Capacity of a machine that is free or can be freed for a gang.
struct CapacityEstimate {
    /// Number of tasks of the gang that fit into it.
    slots: u64,
    /// Cost of freeing it in milliseconds: waiting time, and lost work divided by the CPUs of one task.
    delay_ms: u64,
    /// Borrowed capacity that is reclaimed by freeing it.
    claims: Vec<BorrowedClaim>,
}

/// A machine that a gang could use.
struct Candidate {
    delay_ms: u64,
    /// Number of tasks that the machine can take.
    slots: u64,
    machine_ix: MachineIx,
    claims: Vec<BorrowedClaim>,
}

impl Leader {
    /// Returns the machines on which all `count` tasks can start with the least delay, or None if there is not enough
    /// capacity.
    pub(super) fn find_gang_placement(
        &self,
        job_ix: JobIx,
        count: usize,
        method: PlacementMethod,
        clock: Clock,
    ) -> Option<GangPlacement> {
        let job = self.workload.jobs.get(&job_ix)?;
        let search = GangSearch { job_ix, job, count, method, clock };
        self.gang_zones(job)
            .into_iter()
            .map(|zone| self.find_partial_placement(&search, zone))
            .filter(|placement| placement.machines.len() == count)
            .min_by_key(|placement| placement.delay_ms)
    }

    /// Returns the zones to search one by one. None stands for all zones together.
    pub(in crate::coordination::leader) fn gang_zones(&self, job: &JobState) -> Vec<Option<ZoneIx>> {
        if !job.spec.single_zone {
            return vec![None];
        }
        let mut zones: Vec<ZoneIx> = self
            .cluster
            .machine_types
            .values()
            .flat_map(|machine_type| &machine_type.zones)
            .copied()
            .collect();
        zones.sort();
        zones.dedup();
        zones.into_iter().map(Some).collect()
    }

    /// Returns machines for as many of the tasks as possible.
    pub(in crate::coordination::leader) fn find_partial_placement(
        &self,
        search: &GangSearch<'_>,
        zone: Option<ZoneIx>,
    ) -> GangPlacement {
        let policy = self.preemption_policy(search.job, search.clock);
        let candidates = self.candidates(search, zone, &policy);
        self.choose_machines(search, candidates, policy.borrowed().clone())
    }

    /// Returns the machines that can take at least one task, in ascending order of delay.
    fn candidates(
        &self,
        search: &GangSearch<'_>,
        zone: Option<ZoneIx>,
        policy: &PreemptionPolicy,
    ) -> Vec<Candidate> {
        let is_wanted = |machine_type, machine_zone| {
            zone.is_none_or(|zone| zone == machine_zone) && self.fits_machine_type(search.job, machine_type)
        };
        let mut candidates: Vec<Candidate> = self
            .cluster
            .placement_index
            .schedulable_matching(is_wanted)
            .filter_map(|machine_ix| self.candidate(search, machine_ix, policy))
            .collect();
        candidates.sort_by_key(|candidate| (candidate.delay_ms, candidate.slots, candidate.machine_ix));
        candidates
    }

    fn candidate(
        &self,
        search: &GangSearch<'_>,
        machine_ix: MachineIx,
        policy: &PreemptionPolicy,
    ) -> Option<Candidate> {
        let GangSearch { job_ix, job, method, clock, .. } = *search;
        let need = &job.spec.task_resources;
        let machine = &self.cluster.machines[machine_ix.index()];
        // The cheap checks come first, because a search examines every machine of the types that fit.
        if !can_hold(machine, job_ix, method)
            || (method == PlacementMethod::Free && !need.fits_in(&machine.free()))
            || !self.is_eligible(machine_ix, job)
            || !self.zone_rules_allow(machine_ix, job)
        {
            return None;
        }
        let estimate = match method {
            PlacementMethod::Free => CapacityEstimate {
                slots: self.present_room(machine).slots(need),
                delay_ms: 0,
                claims: Vec::new(),
            },
            PlacementMethod::Preempt => self.free_after_preemption(machine, job, policy, clock),
            PlacementMethod::Drain => self.free_after_drain(machine_ix, job, clock)?,
        };
        (estimate.slots > 0).then(|| Candidate {
            delay_ms: estimate.delay_ms + self.image_fetch_ms(machine, job),
            slots: estimate.slots,
            machine_ix,
            claims: estimate.claims,
        })
    }

    /// Chooses machines for the tasks, in the order of the candidates. Skips a candidate if what it would reclaim,
    /// together with what the chosen ones reclaim, exceeds what is borrowed.
    fn choose_machines(
        &self,
        search: &GangSearch<'_>,
        candidates: Vec<Candidate>,
        mut borrowed: BorrowedCapacity<TeamIx, JobIx>,
    ) -> GangPlacement {
        let spec = &search.job.spec;
        let max_per_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
        let mut tasks_per_zone: HashMap<ZoneIx, u32> = search.job.tasks_per_zone.clone();
        let mut machines = Vec::new();
        let mut delay_ms = 0;
        for candidate in candidates {
            if machines.len() == search.count {
                break;
            }
            let mut still_borrowed = borrowed.clone();
            if !candidate.claims.iter().all(|claim| claim.reclaim_from(&mut still_borrowed)) {
                continue;
            }
            let zone = self.cluster.machines[candidate.machine_ix.index()].zone;
            let in_zone = tasks_per_zone.entry(zone).or_default();
            let tasks = candidate
                .slots
                .min(u64::from(max_per_zone.saturating_sub(*in_zone)))
                .min((search.count - machines.len()) as u64);
            *in_zone += tasks as u32;
            if tasks > 0 {
                delay_ms = delay_ms.max(candidate.delay_ms);
                borrowed = still_borrowed;
            }
            machines.extend(std::iter::repeat_n(candidate.machine_ix, tasks as usize));
        }
        GangPlacement { delay_ms, machines }
    }

    /// Returns how often capacity has become free on machines of the types that the job's tasks fit. A failed search
    /// is repeated when this number has changed.
    pub(super) fn capacity_growth_count(&self, job: &JobState) -> u64 {
        self.cluster
            .placement_index
            .capacity_growth_count(|machine_type| self.fits_machine_type(job, machine_type))
    }

    /// Returns the machine types that the job allows and its tasks fit.
    pub(super) fn machine_types_for(&self, job: &JobState) -> Vec<MachineTypeIx> {
        let all = self.cluster.machine_types.keys().copied();
        all.filter(|machine_type| self.fits_machine_type(job, *machine_type)).collect()
    }

    /// Returns whether the job allows the type and its tasks fit into it. A type that is not in the catalog counts as
    /// large enough.
    fn fits_machine_type(&self, job: &JobState, ix: MachineTypeIx) -> bool {
        let machine_type = self.cluster.machine_types.get(&ix);
        job.spec.allows_machine_type(ix)
            && machine_type.is_none_or(|machine_type| job.spec.task_resources.fits_in(&machine_type.capacity))
    }

    fn image_fetch_ms(&self, machine: &Machine, job: &JobState) -> u64 {
        if machine.has_image(job.spec.image) {
            return 0;
        }
        let machine_type = self.cluster.machine_types.get(&machine.machine_type);
        let mb_per_s =
            machine_type.map_or(DEFAULT_FETCH_MB_PER_S, |machine_type| machine_type.fetch_mb_per_s);
        (job.spec.image_mb as f64 / mb_per_s.max(1.0) * MS_PER_S) as u64
    }

    /// Estimates the free capacity once enough of the machine's tasks have ended for one task of the job to fit. `None`
    /// if that takes longer than a machine may be held.
    fn free_after_drain(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
        clock: Clock,
    ) -> Option<CapacityEstimate> {
        let forecast = self.room_forecast(machine_ix, clock)?;
        let (delay_ms, room) = forecast.first_fit(&job.spec.task_resources)?;
        let slots = room.slots(&job.spec.task_resources);
        (delay_ms <= self.machine_hold_ms()).then_some(CapacityEstimate {
            slots,
            delay_ms,
            claims: Vec::new(),
        })
    }

    /// Estimates the free capacity once enough tasks that are less urgent or use borrowed capacity have stopped for
    /// one task of the job to fit. The cost is the time that they take to save checkpoints plus the work that is lost.
    fn free_after_preemption(
        &self,
        machine: &Machine,
        job: &JobState,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> CapacityEstimate {
        let need = &job.spec.task_resources;
        let plan = self.plan_preemption(machine, need, policy, clock);
        let stopping_ms = if plan.includes_stopping_tasks { STOP_LATENCY_MS } else { 0 };
        let stop_times = plan.victims.iter().map(|victim| victim.cost.save_ms + STOP_LATENCY_MS);
        let wait_ms = stop_times.fold(stopping_ms, u64::max);
        let lost_work: u64 = plan.victims.iter().map(|victim| victim.cost.lost_work).sum();
        CapacityEstimate {
            slots: need.max_count_in(&plan.free).min(self.placement.max_tasks_per_record as u64),
            delay_ms: wait_ms + lost_work / need.cpu.max(1),
            claims: plan.victims.iter().filter_map(|victim| victim.cost.borrowed_claim).collect(),
        }
    }
}

/// Returns whether the machine may be held for the gang: it is not held, is held for this gang, or is only being
/// drained for another gang while this one preempts.
fn can_hold(machine: &Machine, job_ix: JobIx, method: PlacementMethod) -> bool {
    machine.hold.is_none_or(|hold| {
        hold.job == job_ix || (method == PlacementMethod::Preempt && hold.method == PlacementMethod::Drain)
    })
}
