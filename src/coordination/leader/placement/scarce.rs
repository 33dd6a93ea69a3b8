//! Machines of types that are scarce: gangs wait whose tasks fit nothing else, while queued tasks there would fit
//! elsewhere too.
//!
//! Filled with small tasks each time one of them falls free, such machines are never free together, and a gang can only
//! hold some and wait until they have run empty: with six times the gangs more than a quarter of the large machines stood
//! held and half empty. As many of them as gangs wait for take no queued tasks, and those queued there go elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::leader::{Leader, Work};
use crate::ids::{Amount, KindIx, MachineIx};

/// Tasks of gangs that wait for room on machines of a type, and the largest of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waiting {
    tasks: u64,
    need: Amount,
}

/// By the types that fit.
pub type Waits = BTreeMap<KindIx, Waiting>;

impl Leader {
    /// A gang that may stop nobody has found no room.
    pub fn waits_for(&self, work: &Work, tasks: usize, waits: &mut Waits) {
        for kind in self.kinds_for(work) {
            let waiting = waits.entry(kind).or_default();
            waiting.tasks += tasks as u64;
            let (need, more) = (&mut waiting.need, &work.info.need);
            *need = Amount {
                cpu: need.cpu.max(more.cpu),
                gpu: need.gpu.max(more.gpu),
                mem: need.mem.max(more.mem),
            };
        }
    }

    /// Keeps queued tasks off as many machines as gangs wait for, those that run empty first.
    pub fn keep_scarce(&mut self, waits: &Waits) {
        if !self.tunables.overload.order {
            return;
        }
        let mut kept = BTreeSet::new();
        for (kind, waiting) in waits.iter().filter(|(kind, _)| self.others_take_queued(**kind, waits)) {
            let mut able: Vec<(bool, u64, MachineIx)> = Vec::new();
            for ix in self.roster.open_in(|other, _| other == *kind) {
                let machine = &self.machines[ix.at()];
                let (gangs, queued) = self.used_by_gangs(ix);
                if waiting.need.fits(&machine.size.less(&gangs)) {
                    able.push((!machine.kept, queued, ix));
                }
            }
            able.sort_unstable();
            let most = if self.bound_to(waits) { able.len() / 2 } else { able.len() };
            kept.extend(able.into_iter().take((waiting.tasks as usize).min(most)).map(|(.., ix)| ix));
        }
        let before: Vec<MachineIx> = self.kept.difference(&kept).copied().collect();
        for ix in before {
            self.set_kept(ix, false);
        }
        for ix in kept {
            self.set_kept(ix, true);
        }
    }

    fn set_kept(&mut self, ix: MachineIx, kept: bool) {
        if self.machines[ix.at()].kept == kept {
            return;
        }
        self.machines[ix.at()].kept = kept;
        self.refresh(ix);
        if kept {
            self.kept.insert(ix);
            self.spread_queues(ix);
        } else {
            self.kept.remove(&ix);
        }
    }

    /// What gangs and services use on a machine, and how many CPUs (in thousandths) other tasks.
    fn used_by_gangs(&self, ix: MachineIx) -> (Amount, u64) {
        let (mut gangs, mut others) = (Amount::default(), 0);
        for binding in &self.machines[ix.at()].bindings {
            if binding.job.and_then(|job| self.work.get(&job)).is_some_and(|work| work.info.together()) {
                gangs.add(&binding.need);
            } else {
                others += binding.need.cpu;
            }
        }
        (gangs, others)
    }

    /// Are there machines of types that no gang waits for?
    fn others_take_queued(&self, kind: KindIx, waits: &Waits) -> bool {
        self.roster.open_in(|other, _| other != kind && !waits.contains_key(&other)).next().is_some()
    }

    /// Does queued work wait that fits only types that gangs wait for too?
    fn bound_to(&self, waits: &Waits) -> bool {
        let elsewhere = |work: &Work| self.kinds_for(work).iter().any(|kind| !waits.contains_key(kind));
        self.work.values().any(|work| !work.info.together() && work.waits() && !elsewhere(work))
    }
}
