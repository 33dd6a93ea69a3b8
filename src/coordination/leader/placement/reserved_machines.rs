//! Machines of scarce types are reserved for gangs whose tasks fit nothing else, while queued tasks would fit elsewhere.
//!
//! Filled with small tasks each time one of them becomes free, such machines are never free together, and a gang can only
//! hold some and wait until they are empty: with six times the gangs, more than a quarter of the large machines stood held
//! and half empty. As many of them as gangs wait for take no queued tasks, and those queued there are queued elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::leader::{JobState, Leader};
use crate::ids::{MachineIx, MachineTypeIx, Resources};

/// Gangs that wait for room on machines of a type.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GangDemand {
    tasks: u64,
    /// The largest of each resource that one task needs.
    max_need: Resources,
}

/// Demand by the machine types that the tasks fit.
pub(super) type GangDemandByType = BTreeMap<MachineTypeIx, GangDemand>;

/// A machine that can be reserved, the best first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Reservable {
    is_unreserved: bool,
    /// CPUs that tasks use which are not part of a gang, in thousandths.
    queued_task_cpu: u64,
    machine_ix: MachineIx,
}

/// What the tasks on a machine use.
#[derive(Default)]
struct MachineUsage {
    /// By tasks of gangs and services.
    gangs: Resources,
    /// CPUs of all other tasks, in thousandths.
    queued_task_cpu: u64,
}

impl Leader {
    /// Adds a gang that may stop no tasks and found no room.
    pub(super) fn record_gang_demand(&self, job: &JobState, tasks: usize, demand: &mut GangDemandByType) {
        let need = &job.spec.task_resources;
        for machine_type in self.machine_types_for(job) {
            let of_type = demand.entry(machine_type).or_default();
            of_type.tasks += tasks as u64;
            of_type.max_need = Resources {
                cpu: of_type.max_need.cpu.max(need.cpu),
                gpu: of_type.max_need.gpu.max(need.gpu),
                mem: of_type.max_need.mem.max(need.mem),
            };
        }
    }

    /// Reserves as many machines as gangs wait for, those first that are nearest to empty, and releases all others.
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
        for (machine_type, of_type) in demand {
            if !self.has_other_machine_types(*machine_type, demand) {
                continue;
            }
            let mut reservable = self.reservable_machines(*machine_type, of_type);
            reservable.sort_unstable();
            // Half of them stay open for queued work that has nowhere else to go.
            let limit =
                if self.has_queued_work_only_for(demand) { reservable.len() / 2 } else { reservable.len() };
            let count = limit.min(of_type.tasks as usize);
            reserved.extend(reservable.into_iter().take(count).map(|machine| machine.machine_ix));
        }
        reserved
    }

    fn reservable_machines(&self, machine_type: MachineTypeIx, demand: &GangDemand) -> Vec<Reservable> {
        let open = self.cluster.placement_index.schedulable_matching(|other, _| other == machine_type);
        let reservable = open.filter_map(|machine_ix| {
            let machine = &self.cluster.machines[machine_ix.index()];
            let usage = self.usage_by_gangs(machine_ix);
            let room = machine.capacity.saturating_sub(&usage.gangs);
            demand.max_need.fits_in(&room).then_some(Reservable {
                is_unreserved: !machine.reserved,
                queued_task_cpu: usage.queued_task_cpu,
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
            self.requeue_machine_queues(machine_ix);
        } else {
            self.placement.reserved_machines.remove(&machine_ix);
        }
    }

    fn usage_by_gangs(&self, machine_ix: MachineIx) -> MachineUsage {
        let mut usage = MachineUsage::default();
        for binding in &self.cluster.machines[machine_ix.index()].bindings {
            let job = binding.job.and_then(|job_ix| self.workload.jobs.get(&job_ix));
            if job.is_some_and(|job| job.spec.is_all_or_nothing()) {
                usage.gangs.add(&binding.need);
            } else {
                usage.queued_task_cpu += binding.need.cpu;
            }
        }
        usage
    }

    /// Whether there are machines of types that no gang waits for.
    fn has_other_machine_types(&self, machine_type: MachineTypeIx, demand: &GangDemandByType) -> bool {
        let is_other = |other, _| other != machine_type && !demand.contains_key(&other);
        self.cluster.placement_index.schedulable_matching(is_other).next().is_some()
    }

    /// Whether queued work waits that fits only types that gangs wait for too.
    fn has_queued_work_only_for(&self, demand: &GangDemandByType) -> bool {
        let fits_elsewhere =
            |job: &JobState| self.machine_types_for(job).iter().any(|ix| !demand.contains_key(ix));
        let mut jobs = self.workload.jobs.values();
        jobs.any(|job| !job.spec.is_all_or_nothing() && job.has_waiting_tasks() && !fits_elsewhere(job))
    }
}
