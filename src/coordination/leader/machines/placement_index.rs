//! Which machines placement has to look at: those where something changed, not all.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{MachineIx, MachineTypeIx, Millis, ZoneIx};

/// Type and zone.
pub type TypeAndZone = (MachineTypeIx, ZoneIx);

#[derive(Debug, Default)]
pub struct PlacementIndex {
    /// Machines that may get tasks; those not needed get only gangs.
    open: BTreeSet<MachineIx>,
    /// The same by type and zone.
    open_by_type_zone: BTreeMap<TypeAndZone, BTreeSet<MachineIx>>,
    /// The type of each machine that was ever open.
    machine_types: HashMap<MachineIx, MachineTypeIx>,
    /// How often room has grown on machines of a type: a task left, was told to stop, a machine came or was let go.
    capacity_growths: BTreeMap<MachineTypeIx, u64>,
    /// Machines that take queued tasks, in no order, so that one can be drawn.
    queue_eligible: Vec<MachineIx>,
    eligible_position: HashMap<MachineIx, usize>,
    /// Room or queues changed since they were last filled.
    to_fill: BTreeSet<MachineIx>,
    /// Thieves that wait before they try again.
    backoffs: BTreeSet<(Millis, MachineIx)>,
    /// Thieves that gave up until tasks arrive (source).
    paused: BTreeSet<MachineIx>,
    /// Their teams' limits keep tasks in their queues from starting.
    quota_blocked: BTreeSet<MachineIx>,
    /// They may have tasks in their dedicated queue.
    dedicated_nonempty: BTreeSet<MachineIx>,
    /// A machine came that may suit tasks that none suited before.
    pub recheck_backlog: bool,
}

/// Freed room of a team lets about one task start; so many machines are asked for it.
const QUOTA_BLOCKED_WAKE_COUNT: usize = 8;

impl PlacementIndex {
    /// `queued`: it takes queued tasks while it is open.
    pub fn update(&mut self, ix: MachineIx, type_zone: TypeAndZone, open: bool, accepts_queued: bool) {
        let same_type_zone = self.open_by_type_zone.entry(type_zone).or_default();
        self.machine_types.insert(ix, type_zone.0);
        if !open {
            self.open.remove(&ix);
            same_type_zone.remove(&ix);
        } else if self.open.insert(ix) {
            same_type_zone.insert(ix);
            self.record_capacity_growth(ix);
        }
        let eligible = open && accepts_queued;
        match (self.eligible_position.get(&ix).copied(), eligible) {
            (None, true) => {
                self.eligible_position.insert(ix, self.queue_eligible.len());
                self.queue_eligible.push(ix);
                self.to_fill.insert(ix);
                self.recheck_backlog = true;
            }
            (Some(at), false) => {
                self.eligible_position.remove(&ix);
                self.queue_eligible.swap_remove(at);
                if let Some(moved) = self.queue_eligible.get(at) {
                    self.eligible_position.insert(*moved, at);
                }
                self.to_fill.remove(&ix);
                self.paused.remove(&ix);
                self.quota_blocked.remove(&ix);
            }
            _ => {}
        }
    }

    pub fn open(&self) -> &BTreeSet<MachineIx> {
        &self.open
    }

    /// Open machines of the types and zones that are of use.
    pub fn open_matching(
        &self,
        matches: impl Fn(MachineTypeIx, ZoneIx) -> bool,
    ) -> impl Iterator<Item = MachineIx> {
        let sorts = self.open_by_type_zone.iter().filter(move |((kind, zone), _)| matches(*kind, *zone));
        sorts.flat_map(|(_, machines)| machines.iter().copied())
    }

    /// There is more room on the machine than before, or soon will be.
    pub fn record_capacity_growth(&mut self, ix: MachineIx) {
        if let Some(kind) = self.machine_types.get(&ix) {
            *self.capacity_growths.entry(*kind).or_default() += 1;
        }
    }

    /// How often room has grown on machines of the types that are of use.
    pub fn capacity_growth_count(&self, matches: impl Fn(MachineTypeIx) -> bool) -> u64 {
        self.capacity_growths.iter().filter(|(kind, _)| matches(**kind)).map(|(_, count)| count).sum()
    }

    pub fn accepts_queued(&self, ix: MachineIx) -> bool {
        self.eligible_position.contains_key(&ix)
    }

    pub fn queue_eligible(&self) -> &[MachineIx] {
        &self.queue_eligible
    }

    /// The square root of all, rounded up (source), drawn without looking at the others.
    pub fn sample_queue_eligible(&self, rng: &mut SmallRng) -> Vec<MachineIx> {
        let all = self.queue_eligible.len();
        if all == 0 {
            return Vec::new();
        }
        let count = (all as f64).sqrt().ceil() as usize;
        let mut drawn: Vec<usize> = (0..count).map(|_| rng.random_range(0..all)).collect();
        drawn.sort_unstable();
        drawn.dedup();
        drawn.into_iter().map(|at| self.queue_eligible[at]).collect()
    }

    /// A machine has more room, or something new in its queues.
    pub fn mark_to_fill(&mut self, ix: MachineIx) {
        self.record_capacity_growth(ix);
        if self.accepts_queued(ix) {
            self.to_fill.insert(ix);
        }
        for _ in 0..QUOTA_BLOCKED_WAKE_COUNT {
            let Some(other) = self.quota_blocked.pop_first() else { return };
            self.to_fill.insert(other);
        }
    }

    /// A limit that kept tasks in queues has been raised: all that wait for it are asked.
    pub fn wake_quota_blocked(&mut self) {
        self.to_fill.append(&mut self.quota_blocked);
    }

    pub fn add_quota_blocked(&mut self, ix: MachineIx) {
        self.quota_blocked.insert(ix);
    }

    pub fn mark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.insert(ix);
    }

    pub fn unmark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.remove(&ix);
    }

    pub fn dedicated_nonempty(&self) -> Vec<MachineIx> {
        self.dedicated_nonempty.iter().copied().collect()
    }

    pub fn back_off_until(&mut self, until: Millis, ix: MachineIx) {
        self.backoffs.insert((until, ix));
    }

    pub fn pause(&mut self, ix: MachineIx) {
        self.paused.insert(ix);
    }

    /// Tasks have arrived: so many thieves try again.
    pub fn resume_paused(&mut self, limit: usize) {
        for _ in 0..limit {
            let Some(ix) = self.paused.pop_first() else { return };
            self.to_fill.insert(ix);
        }
    }

    /// The machines to be filled now.
    pub fn take_machines_to_fill(&mut self, now: Millis) -> Vec<MachineIx> {
        while let Some((at, ix)) = self.backoffs.first().copied()
            && at <= now
        {
            self.backoffs.pop_first();
            self.to_fill.insert(ix);
        }
        let eligible_position = &self.eligible_position;
        std::mem::take(&mut self.to_fill)
            .into_iter()
            .filter(|ix| eligible_position.contains_key(ix))
            .collect()
    }
}
