//! Capacity for gangs and services, which need all of their tasks at the same time, in zones that suit them.

use std::collections::BTreeMap;

use super::CapacityPlan;
use super::planned_machines::{PlannedMachine, cpu_ms};
use super::zone_demand::ZoneDemand;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, ZoneIx};

impl CapacityPlan<'_> {
    /// Assigns a waiting gang to machines, then to pending requests, and requests the missing machines.
    pub(super) fn assign_gang(&mut self, ix: JobIx, job_state: &JobState) {
        if !self.leader.placement.waiting_gangs.contains(&job_state.rank) {
            return;
        }
        let mut demand = ZoneDemand::new(job_state);
        if demand.needs_zone(job_state) {
            demand.require_zone(self.choose_zone(ix, job_state));
        }
        self.assign_gang_to_machines(ix, job_state, &mut demand, None);
        let leader = self.leader;
        let need = &job_state.spec.task_resources;
        self.use_pending_requests(job_state, |zone, machine_type| {
            demand.assign(zone, leader.empty_room(machine_type.capacity).slots(need)) > 0
        });
        self.request_machines_for_gang(job_state, &mut demand);
        // If no other machine can be had for the job now, it is retried where it has failed.
        let blocker = Some(PlacementBlocker::FailedBefore);
        self.assign_gang_to_machines(ix, job_state, &mut demand, blocker);
    }

    /// Assigns the gang to the machines with this planning blocker.
    fn assign_gang_to_machines(
        &mut self,
        ix: JobIx,
        job_state: &JobState,
        demand: &mut ZoneDemand,
        blocker: Option<PlacementBlocker>,
    ) {
        let leader = self.leader;
        for planned in &mut self.planned_machines {
            if demand.is_met() {
                break;
            }
            let has_blocker = leader.planning_blocker(planned.ix, job_state) == blocker;
            if self.gang_machines.contains(planned.ix) || !has_blocker {
                continue;
            }
            let zone = leader.cluster.machines[planned.ix.index()].zone;
            let assigned = demand.assign(zone, leader.gang_slots(ix, job_state, planned));
            if assigned > 0 {
                self.gang_machines.insert(planned.ix);
                self.needed_machines.insert(planned.ix);
                planned.reserved_cpu_ms +=
                    cpu_ms(job_state.spec.task_resources.cpu * assigned, job_state.expected_run_ms());
            }
        }
    }

    fn request_machines_for_gang(&mut self, job_state: &JobState, demand: &mut ZoneDemand) {
        let leader = self.leader;
        while !demand.is_met() && job_state.may_rent_machines(self.clock.now) {
            let zone_allowed = |zone: ZoneIx| demand.available(zone) > 0;
            let Some(offer) = leader.cheapest_offer(job_state, self.clock, zone_allowed) else { return };
            let Some(machine_type) = leader.cluster.machine_types.get(&offer.machine_type) else { return };
            let slots = leader.empty_room(machine_type.capacity).slots(&job_state.spec.task_resources).max(1);
            demand.assign(offer.zone, slots);
            *self.wanted_offers.entry(offer).or_default() += 1;
        }
    }

    /// Returns the zone for a job that must be in a single zone: of the zones that have or can get enough
    /// capacity, the one with the most present capacity for the job. If there is none, returns the zone of
    /// the cheapest offer.
    fn choose_zone(&self, ix: JobIx, job_state: &JobState) -> Option<ZoneIx> {
        let mut slots_by_zone: BTreeMap<ZoneIx, u64> = BTreeMap::new();
        for planned in &self.planned_machines {
            let machine = &self.leader.cluster.machines[planned.ix.index()];
            let is_blocked = self.leader.planning_blocker(planned.ix, job_state).is_some();
            if is_blocked || self.gang_machines.contains(planned.ix) {
                continue;
            }
            let slots = self.leader.gang_slots(ix, job_state, planned);
            if slots > 0 {
                *slots_by_zone.entry(machine.zone).or_default() += slots;
            }
        }
        let tasks = u64::from(job_state.unfinished_tasks());
        let is_offered =
            |zone: ZoneIx| self.leader.cheapest_offer(job_state, self.clock, |other| other == zone).is_some();
        slots_by_zone
            .into_iter()
            .filter(|(zone, slots)| *slots >= tasks || is_offered(*zone))
            .max_by_key(|(_, slots)| (*slots).min(tasks))
            .map(|(zone, _)| zone)
            .or_else(|| self.leader.cheapest_offer(job_state, self.clock, |_| true).map(|offer| offer.zone))
    }
}

impl Leader {
    /// Returns the number of tasks of a gang for which a machine has capacity now or, if it is held for this gang, by the
    /// time at which a hold expires.
    fn gang_slots(&self, job: JobIx, job_state: &JobState, planned: &PlannedMachine) -> u64 {
        let machine = &self.cluster.machines[planned.ix.index()];
        let held = machine.hold.is_some_and(|hold| hold.job == job);
        let within_ms = if held { self.machine_hold_ms() } else { 0 };
        planned.slots_within(&job_state.spec.task_resources, within_ms)
    }
}
