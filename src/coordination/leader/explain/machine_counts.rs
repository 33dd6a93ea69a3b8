//! Counts the machines by the reason that keeps a job's tasks off them.

use std::collections::{BTreeMap, BTreeSet};

use super::Explanation;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::{JobState, Machine, MachineState};
use crate::ids::{JobIx, MachineIx, MachineTypeIx, Resources, from_milli};
use crate::protocol::operators::{MachineTypeCapacity, StateReason};

/// Numbers of machines by the reason that keeps the job's tasks off them.
#[derive(Default)]
pub(super) struct MachineCounts {
    up: u32,
    wrong_type: u32,
    wrong_zone: u32,
    wrong_spot: u32,
    too_small: u32,
    /// Machines that are not up yet and that the job may use.
    pub(super) booting: u32,
    /// Machines that the tasks could use now, unless a cluster-wide limit such as that of the team or pool
    /// prevents it.
    pub(super) usable: u32,
    /// Machines that are held for other jobs.
    pub(super) held: u32,
    /// The jobs that these machines are held for.
    pub(super) holders: BTreeSet<JobIx>,
    /// Capacity of the machines that the job may use, by machine type.
    pub(super) machine_types: BTreeMap<MachineTypeIx, MachineTypeCapacity>,
}

impl MachineCounts {
    pub(super) fn of(explanation: &Explanation<'_>) -> MachineCounts {
        let mut counts = MachineCounts::default();
        for index in 0..explanation.leader.cluster.machines.len() {
            counts.add(explanation, MachineIx(index as u32));
        }
        counts
    }

    fn add(&mut self, explanation: &Explanation<'_>, machine_ix: MachineIx) {
        let machine = &explanation.leader.cluster.machines[machine_ix.index()];
        let spec = &explanation.job.spec;
        let may_use = spec.allows(machine.machine_type, machine.zone, machine.spot)
            && spec.task_resources.fits_in(&machine.capacity);
        match machine.state {
            MachineState::Gone => return,
            MachineState::Booting => {
                self.booting += u32::from(may_use);
                return;
            }
            MachineState::Up | MachineState::Unreachable => self.up += 1,
        }
        match explanation.leader.machine_blocker(machine_ix, explanation.job) {
            Some(PlacementBlocker::NotAllowed) if !spec.allows_machine_type(machine.machine_type) => {
                self.wrong_type += 1;
            }
            Some(PlacementBlocker::NotAllowed) if spec.zone.is_some_and(|zone| zone != machine.zone) => {
                self.wrong_zone += 1;
            }
            Some(PlacementBlocker::NotAllowed) => self.wrong_spot += 1,
            Some(PlacementBlocker::TooSmall) => self.too_small += 1,
            Some(PlacementBlocker::Unavailable) if !may_use => self.wrong_type += 1,
            blocker => self.add_eligible(explanation, machine_ix, blocker),
        }
    }

    /// Counts a machine that the job may use, now or later.
    fn add_eligible(
        &mut self,
        explanation: &Explanation<'_>,
        machine_ix: MachineIx,
        blocker: Option<PlacementBlocker>,
    ) {
        let machine = &explanation.leader.cluster.machines[machine_ix.index()];
        let type_capacity = self.machine_types.entry(machine.machine_type).or_default();
        if type_capacity.machines == 0 {
            let name = explanation.names.machine_types.name_or_unknown(machine.machine_type.index());
            type_capacity.machine_type = name.into();
        }
        type_capacity.machines += 1;
        match blocker {
            Some(PlacementBlocker::Unavailable) => type_capacity.unschedulable += 1,
            Some(_) => type_capacity.excluded_after_failure += 1,
            None => self.add_schedulable(explanation, machine_ix, machine),
        }
    }

    /// Counts a schedulable machine on which the job has not failed.
    fn add_schedulable(&mut self, explanation: &Explanation<'_>, machine_ix: MachineIx, machine: &Machine) {
        let free = machine.free();
        let type_capacity = self.machine_types.entry(machine.machine_type).or_default();
        update_max_free(type_capacity, &free);
        // Gangs and services may use machines that accept no queued tasks.
        let accepts_job = !(machine.cordoned || machine.reserved) || explanation.job.spec.is_all_or_nothing();
        let other_hold = machine.hold.filter(|hold| hold.job != explanation.job_ix);
        match explanation.leader.placement_blocker(machine_ix, &free, explanation.job) {
            Some(PlacementBlocker::InsufficientCapacity) => type_capacity.without_capacity += 1,
            Some(PlacementBlocker::ZoneRule) => type_capacity.excluded_by_zone += 1,
            _ if other_hold.is_some() => {
                self.held += 1;
                self.holders.extend(other_hold.map(|hold| hold.job));
            }
            _ if !accepts_job => type_capacity.cordoned += 1,
            _ => self.usable += 1,
        }
    }

    /// Returns the reason that no machine can ever run the job's tasks.
    pub(super) fn no_eligible_machine_reason(&self, job: &JobState) -> StateReason {
        let need = &job.spec.task_resources;
        StateReason::NoEligibleMachine {
            requested_cpus: from_milli(need.cpu),
            requested_gpus: from_milli(need.gpu),
            requested_memory_gb: from_milli(need.mem),
            machines: self.up,
            wrong_machine_type: self.wrong_type,
            wrong_zone: self.wrong_zone,
            spot_not_allowed: self.wrong_spot,
            too_small: self.too_small,
        }
    }

    /// Returns the reason that the machines which the job may use lack the capacity now.
    pub(super) fn insufficient_capacity_reason(&self, job: &JobState) -> StateReason {
        let need = &job.spec.task_resources;
        StateReason::InsufficientCapacity {
            requested_cpus: from_milli(need.cpu),
            requested_gpus: from_milli(need.gpu),
            requested_memory_gb: from_milli(need.mem),
            machine_types: self.machine_types.values().cloned().collect(),
        }
    }
}

/// Keeps the free capacity of the machine with the most free CPUs. Among equals, the last one counts.
fn update_max_free(type_capacity: &mut MachineTypeCapacity, free: &Resources) {
    if from_milli(free.cpu) >= type_capacity.max_free_cpus {
        type_capacity.max_free_cpus = from_milli(free.cpu);
        type_capacity.max_free_gpus = from_milli(free.gpu);
        type_capacity.max_free_memory_gb = from_milli(free.mem);
    }
}
