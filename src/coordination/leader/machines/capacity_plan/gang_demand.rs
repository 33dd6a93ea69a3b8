//! Capacity for gangs and services, which need all of their tasks at the same time, in zones that suit them.

use std::collections::BTreeMap;

use super::CapacityPlan;
use super::planned_machines::cpu_ms;
use super::zone_demand::ZoneDemand;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx, ZoneIx};

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
        self.assign_gang_to_machines(ix, job_state, &mut demand);
        let need = &job_state.spec.task_resources;
        self.use_pending_requests(job_state, |zone, machine_type| {
            demand.assign(zone, need.max_count_in(&machine_type.capacity)) > 0
        });
        self.request_machines_for_gang(job_state, &mut demand);
    }

    fn assign_gang_to_machines(&mut self, ix: JobIx, job_state: &JobState, demand: &mut ZoneDemand) {
        let leader = self.leader;
        for planned in &mut self.planned_machines {
            if demand.is_met() {
                break;
            }
            let machine = &leader.cluster.machines[planned.ix.index()];
            if self.gang_machines.contains(planned.ix)
                || !job_state.spec.allows(machine.machine_type, machine.zone, machine.spot)
            {
                continue;
            }
            let assigned = demand.assign(machine.zone, leader.gang_capacity(ix, job_state, planned.ix));
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
        // No machines are requested for a job that is itself at fault: it would fail on them too.
        while !demand.is_met() && !job_state.is_at_fault() {
            let zone_allowed = |zone: ZoneIx| demand.available(zone) > 0;
            let Some(offer) = leader.cheapest_offer(job_state, self.clock, zone_allowed) else { return };
            let Some(machine_type) = leader.cluster.machine_types.get(&offer.machine_type) else { return };
            let slots = job_state.spec.task_resources.max_count_in(&machine_type.capacity).max(1);
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
            let slots = self.leader.gang_capacity(ix, job_state, planned.ix);
            if !self.gang_machines.contains(planned.ix) && slots > 0 {
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
    /// Returns the number of tasks of a gang for which a machine has capacity. A machine that is held for
    /// this gang counts with its whole capacity.
    fn gang_capacity(&self, job: JobIx, job_state: &JobState, ix: MachineIx) -> u64 {
        if job_state.failed_on.contains(&ix) {
            return 0;
        }
        let machine = &self.cluster.machines[ix.index()];
        let held = machine.hold.is_some_and(|hold| hold.job == job);
        let free = if held { machine.capacity } else { machine.free() };
        job_state.spec.task_resources.max_count_in(&free)
    }
}
