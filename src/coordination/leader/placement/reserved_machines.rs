//! Reserves machines of scarce types for gangs whose tasks fit no other type, while queued tasks fit elsewhere.
//!
//! If each such machine were filled with small tasks as soon as it becomes free, they would never be free together,
//! and a gang could only hold some of them and wait until they are empty. With six times as many gangs, more than a
//! quarter of the large machines were held and half empty. Therefore as many machines as gangs wait for accept no
//! queued tasks, and the tasks in their queues move to other machines.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::leader::{JobState, Leader};
use crate::ids::{MachineIx, MachineTypeIx, Resources};

/// Demand of the gangs that wait for machines of one type.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangDemand {
    /// Number of tasks that wait for a machine.
    tasks: u64,
    /// The largest need of one task, for each resource separately.
    max_need: Resources,
}

/// Demand of waiting gangs, by the machine types that their tasks fit.
pub(super) type GangDemandByType = BTreeMap<MachineTypeIx, GangDemand>;

/// A machine that can be reserved. The order of the fields sorts the best machine first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reservable {
    is_unreserved: bool,
    /// CPUs used by tasks that belong to no gang or service, in thousandths.
    non_gang_cpu: u64,
    machine_ix: MachineIx,
}

/// Resources that the tasks on a machine use.
#[derive(Default)]
struct MachineUsage {
    /// Resources used by tasks of gangs and services.
    gangs: Resources,
    /// CPUs used by all other tasks, in thousandths.
    non_gang_cpu: u64,
}

impl Leader {
    /// Adds the tasks of a gang to the demand for each machine type that they fit. The gang is one for which stopping
    /// tasks would not free enough capacity.
    pub(super) fn record_gang_demand(&self, job: &JobState, tasks: usize, demand: &mut GangDemandByType) {
        let need = &job.spec.task_resources;
        for machine_type in self.machine_types_for(job) {
            let type_demand = demand.entry(machine_type).or_default();
            type_demand.tasks += tasks as u64;
            type_demand.max_need = Resources {
                cpu: type_demand.max_need.cpu.max(need.cpu),
                gpu: type_demand.max_need.gpu.max(need.gpu),
                mem: type_demand.max_need.mem.max(need.mem),
            };
        }
    }

    /// Reserves up to one machine of each scarce type for each gang task that waits for it, and releases all others.
    /// Machines that are reserved already are preferred, then those that are closest to empty.
    pub(super) fn reserve_scarce_machines(&mut self, demand: &GangDemandByType) {
        if !self.tunables.overload.overload_ordering {
            return;
        }
        let reserved = self.machines_to_reserve(demand);
        let released: Vec<MachineIx> =
            self.placement.reserved_machines.difference(&reserved).copied().collect();
        for machine_ix in released {
            self.set_reserved(machine_ix, false);
        }
        for machine_ix in reserved {
            self.set_reserved(machine_ix, true);
        }
    }

    fn machines_to_reserve(&self, demand: &GangDemandByType) -> BTreeSet<MachineIx> {
        let mut reserved = BTreeSet::new();
        for (machine_type, type_demand) in demand {
            if !self.has_other_machine_types(*machine_type, demand) {
                continue;
            }
            let mut reservable = self.reservable_machines(*machine_type, type_demand);
            reservable.sort_unstable();
            // Half of the machines stay open if some queued tasks fit only types for which gangs wait.
            let limit =
                if self.has_queued_work_only_for(demand) { reservable.len() / 2 } else { reservable.len() };
            let count = limit.min(type_demand.tasks as usize);
            reserved.extend(reservable.into_iter().take(count).map(|machine| machine.machine_ix));
        }
        reserved
    }

    fn reservable_machines(&self, machine_type: MachineTypeIx, demand: &GangDemand) -> Vec<Reservable> {
        let open = self.cluster.placement_index.schedulable_matching(|other, _| other == machine_type);
        let reservable = open.filter_map(|machine_ix| {
            let machine = &self.cluster.machines[machine_ix.index()];
            let usage = self.machine_usage(machine_ix);
            let without_gangs = machine.capacity.saturating_sub(&usage.gangs);
            demand.max_need.fits_in(&without_gangs).then_some(Reservable {
                is_unreserved: !machine.reserved,
                non_gang_cpu: usage.non_gang_cpu,
                machine_ix,
            })
        });
        reservable.collect()
    }

    fn set_reserved(&mut self, machine_ix: MachineIx, reserved: bool) {
        let machine = &mut self.cluster.machines[machine_ix.index()];
        if machine.reserved == reserved {
            return;
        }
        machine.reserved = reserved;
        self.refresh_placement_index(machine_ix);
        if reserved {
            self.placement.reserved_machines.insert(machine_ix);
        } else {
            self.placement.reserved_machines.remove(&machine_ix);
        }
    }

    fn machine_usage(&self, machine_ix: MachineIx) -> MachineUsage {
        let mut usage = MachineUsage::default();
        for binding in &self.cluster.machines[machine_ix.index()].bindings {
            let job = binding.job.and_then(|job_ix| self.workload.jobs.get(&job_ix));
            if job.is_some_and(|job| job.spec.is_all_or_nothing()) {
                usage.gangs.add(&binding.need);
            } else {
                usage.non_gang_cpu += binding.need.cpu;
            }
        }
        usage
    }

    /// Returns whether there are open machines of another type for which no gang waits.
    fn has_other_machine_types(&self, machine_type: MachineTypeIx, demand: &GangDemandByType) -> bool {
        let is_other = |other, _| other != machine_type && !demand.contains_key(&other);
        self.cluster.placement_index.schedulable_matching(is_other).next().is_some()
    }

    /// Returns whether some queued tasks fit only types for which gangs wait too.
    fn has_queued_work_only_for(&self, demand: &GangDemandByType) -> bool {
        let fits_elsewhere =
            |job: &JobState| self.machine_types_for(job).iter().any(|ix| !demand.contains_key(ix));
        let mut jobs = self.workload.jobs.values();
        jobs.any(|job| !job.spec.is_all_or_nothing() && job.has_waiting_tasks() && !fits_elsewhere(job))
    }
}
