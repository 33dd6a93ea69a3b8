//! Machines of types that are scarce: gangs wait whose tasks fit nothing else, while queued tasks there would fit
//! elsewhere too.
//!
//! Filled with small tasks each time one of them falls free, such machines are never free together, and a gang can only
//! hold some and wait until they have run empty: with six times the gangs more than a quarter of the large machines stood
//! held and half empty. As many of them as gangs wait for take no queued tasks, and those queued there go elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::leader::{JobState, Leader};
use crate::ids::{MachineIx, MachineTypeIx, Resources};

/// Tasks of gangs that wait for room on machines of a type, and the largest of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct GangDemand {
    tasks: u64,
    need: Resources,
}

/// By the types that fit.
pub type GangDemandByType = BTreeMap<MachineTypeIx, GangDemand>;

impl Leader {
    /// A gang that may stop nobody has found no room.
    pub fn record_gang_demand(&self, work: &JobState, tasks: usize, demand: &mut GangDemandByType) {
        for kind in self.machine_types_for(work) {
            let type_demand = demand.entry(kind).or_default();
            type_demand.tasks += tasks as u64;
            let (need, more) = (&mut type_demand.need, &work.spec.task_resources);
            *need = Resources {
                cpu: need.cpu.max(more.cpu),
                gpu: need.gpu.max(more.gpu),
                mem: need.mem.max(more.mem),
            };
        }
    }

    /// Keeps queued tasks off as many machines as gangs wait for, those that run empty first.
    pub fn reserve_scarce_machines(&mut self, demand: &GangDemandByType) {
        if !self.tunables.overload.overload_ordering {
            return;
        }
        let mut reserved = BTreeSet::new();
        for (kind, waiting) in demand.iter().filter(|(kind, _)| self.has_other_machine_types(**kind, demand))
        {
            let mut usable: Vec<(bool, u64, MachineIx)> = Vec::new();
            for ix in self.cluster.placement_index.open_matching(|other, _| other == *kind) {
                let machine = &self.cluster.machines[ix.index()];
                let (gangs, queued) = self.usage_by_gangs(ix);
                if waiting.need.fits_in(&machine.capacity.saturating_sub(&gangs)) {
                    usable.push((!machine.reserved, queued, ix));
                }
            }
            usable.sort_unstable();
            let limit = if self.has_queued_work_only_for(demand) { usable.len() / 2 } else { usable.len() };
            reserved.extend(usable.into_iter().take((waiting.tasks as usize).min(limit)).map(|(.., ix)| ix));
        }
        let released: Vec<MachineIx> =
            self.placement.reserved_machines.difference(&reserved).copied().collect();
        for ix in released {
            self.set_reserved(ix, false);
        }
        for ix in reserved {
            self.set_reserved(ix, true);
        }
    }

    fn set_reserved(&mut self, ix: MachineIx, reserved: bool) {
        if self.cluster.machines[ix.index()].reserved == reserved {
            return;
        }
        self.cluster.machines[ix.index()].reserved = reserved;
        self.refresh_placement_index(ix);
        if reserved {
            self.placement.reserved_machines.insert(ix);
            self.requeue_machine_queues(ix);
        } else {
            self.placement.reserved_machines.remove(&ix);
        }
    }

    /// What gangs and services use on a machine, and how many CPUs (in thousandths) other tasks.
    fn usage_by_gangs(&self, ix: MachineIx) -> (Resources, u64) {
        let (mut gangs, mut others) = (Resources::default(), 0);
        for binding in &self.cluster.machines[ix.index()].bindings {
            if binding
                .job
                .and_then(|job| self.workload.jobs.get(&job))
                .is_some_and(|work| work.spec.is_all_or_nothing())
            {
                gangs.add(&binding.need);
            } else {
                others += binding.need.cpu;
            }
        }
        (gangs, others)
    }

    /// Are there machines of types that no gang waits for?
    fn has_other_machine_types(&self, kind: MachineTypeIx, demand: &GangDemandByType) -> bool {
        self.cluster
            .placement_index
            .open_matching(|other, _| other != kind && !demand.contains_key(&other))
            .next()
            .is_some()
    }

    /// Does queued work wait that fits only types that gangs wait for too?
    fn has_queued_work_only_for(&self, demand: &GangDemandByType) -> bool {
        let fits_elsewhere =
            |work: &JobState| self.machine_types_for(work).iter().any(|kind| !demand.contains_key(kind));
        self.workload
            .jobs
            .values()
            .any(|work| !work.spec.is_all_or_nothing() && work.has_waiting_tasks() && !fits_elsewhere(work))
    }
}
