//! What keeps a job's tasks off each machine, counted over all machines.

use std::collections::{BTreeMap, BTreeSet};

use super::Explanation;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::{JobState, Machine, MachineState};
use crate::ids::{JobIx, MachineIx, MachineTypeIx, Resources, from_milli};
use crate::protocol::operators::{MachineTypeCapacity, StateReason};

/// Machines by what keeps the tasks off them.
#[derive(Default)]
pub(super) struct MachineCounts {
    up: u32,
    wrong_type: u32,
    wrong_zone: u32,
    wrong_spot: u32,
    too_small: u32,
    /// Not up yet; the job may use them.
    pub(super) booting: u32,
    /// At most a limit of the team or pool keeps the tasks off them.
    pub(super) usable: u32,
    /// Held for gangs.
    pub(super) held: u32,
    /// The gangs that they are held for.
    pub(super) holders: BTreeSet<JobIx>,
    /// Capacity of the machines that the job may use, by type.
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

    /// A machine that the job may use, if not now.
    fn add_eligible(
        &mut self,
        explanation: &Explanation<'_>,
        machine_ix: MachineIx,
        blocker: Option<PlacementBlocker>,
    ) {
        let machine = &explanation.leader.cluster.machines[machine_ix.index()];
        let of_type = self.machine_types.entry(machine.machine_type).or_default();
        if of_type.machines == 0 {
            let name = explanation.names.machine_types.name_or_unknown(machine.machine_type.index());
            of_type.machine_type = name.into();
        }
        of_type.machines += 1;
        match blocker {
            Some(PlacementBlocker::Unavailable) => of_type.unschedulable += 1,
            Some(_) => of_type.excluded_after_failure += 1,
            None => self.add_schedulable(explanation, machine_ix, machine),
        }
    }

    /// A machine that would take the job's tasks if it had room.
    fn add_schedulable(&mut self, explanation: &Explanation<'_>, machine_ix: MachineIx, machine: &Machine) {
        let free = machine.free();
        let of_type = self.machine_types.entry(machine.machine_type).or_default();
        update_max_free(of_type, &free);
        // Gangs and services may use machines that take no queued tasks.
        let takes_job = !(machine.cordoned || machine.reserved) || explanation.job.spec.is_all_or_nothing();
        let other_hold = machine.hold.filter(|hold| hold.job != explanation.job_ix);
        match explanation.leader.placement_blocker(machine_ix, &free, explanation.job) {
            Some(PlacementBlocker::InsufficientRoom) => of_type.without_capacity += 1,
            Some(PlacementBlocker::ZoneRule) => of_type.excluded_by_zone += 1,
            _ if other_hold.is_some() => {
                self.held += 1;
                self.holders.extend(other_hold.map(|hold| hold.job));
            }
            _ if !takes_job => of_type.cordoned += 1,
            _ => self.usable += 1,
        }
    }

    /// No machine may ever take the job's tasks.
    pub(super) fn no_machine_reason(&self, job: &JobState) -> StateReason {
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

    /// The machines that may take the job's tasks cannot now.
    pub(super) fn no_room_reason(&self, job: &JobState) -> StateReason {
        let need = &job.spec.task_resources;
        StateReason::InsufficientCapacity {
            requested_cpus: from_milli(need.cpu),
            requested_gpus: from_milli(need.gpu),
            requested_memory_gb: from_milli(need.mem),
            machine_types: self.machine_types.values().cloned().collect(),
        }
    }
}

/// Of machines with equally many free CPUs the last one counts.
fn update_max_free(of_type: &mut MachineTypeCapacity, free: &Resources) {
    if from_milli(free.cpu) >= of_type.max_free_cpus {
        of_type.max_free_cpus = from_milli(free.cpu);
        of_type.max_free_gpus = from_milli(free.gpu);
        of_type.max_free_memory_gb = from_milli(free.mem);
    }
}
