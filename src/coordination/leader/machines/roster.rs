//! Which machines placement has to look at: those where something changed, not all.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{KindIx, MachineIx, Millis, ZoneIx};

/// Type and zone.
pub type Sort = (KindIx, ZoneIx);

#[derive(Debug, Default)]
pub struct Roster {
    /// Machines that may get tasks; those not needed get only gangs.
    open: BTreeSet<MachineIx>,
    /// The same by type and zone.
    sorts: BTreeMap<Sort, BTreeSet<MachineIx>>,
    /// The type of each machine that was ever open.
    kinds: HashMap<MachineIx, KindIx>,
    /// How often room has grown on machines of a type: a task left, was told to stop, a machine came or was let go.
    grown: BTreeMap<KindIx, u64>,
    /// Machines that take queued tasks, in no order, so that one can be drawn.
    takers: Vec<MachineIx>,
    place: HashMap<MachineIx, usize>,
    /// Room or queues changed since they were last filled.
    to_fill: BTreeSet<MachineIx>,
    /// Thieves that wait before they try again.
    naps: BTreeSet<(Millis, MachineIx)>,
    /// Thieves that gave up until tasks arrive (source).
    resting: BTreeSet<MachineIx>,
    /// Their teams' limits keep tasks in their queues from starting.
    limited: BTreeSet<MachineIx>,
    /// They may have tasks in their dedicated queue.
    dedicated: BTreeSet<MachineIx>,
    /// A machine came that may suit tasks that none suited before.
    pub backlog_due: bool,
}

/// Freed room of a team lets about one task start; so many machines are asked for it.
const LIMITED_WOKEN: usize = 8;

impl Roster {
    /// `queued`: it takes queued tasks while it is open.
    pub fn set(&mut self, ix: MachineIx, sort: Sort, open: bool, queued: bool) {
        let machines = self.sorts.entry(sort).or_default();
        self.kinds.insert(ix, sort.0);
        if !open {
            self.open.remove(&ix);
            machines.remove(&ix);
        } else if self.open.insert(ix) {
            machines.insert(ix);
            self.grew(ix);
        }
        let takes = open && queued;
        match (self.place.get(&ix).copied(), takes) {
            (None, true) => {
                self.place.insert(ix, self.takers.len());
                self.takers.push(ix);
                self.to_fill.insert(ix);
                self.backlog_due = true;
            }
            (Some(at), false) => {
                self.place.remove(&ix);
                self.takers.swap_remove(at);
                if let Some(moved) = self.takers.get(at) {
                    self.place.insert(*moved, at);
                }
                self.to_fill.remove(&ix);
                self.resting.remove(&ix);
                self.limited.remove(&ix);
            }
            _ => {}
        }
    }

    pub fn open(&self) -> &BTreeSet<MachineIx> {
        &self.open
    }

    /// Open machines of the types and zones that are of use.
    pub fn open_in(&self, of_use: impl Fn(KindIx, ZoneIx) -> bool) -> impl Iterator<Item = MachineIx> {
        let sorts = self.sorts.iter().filter(move |((kind, zone), _)| of_use(*kind, *zone));
        sorts.flat_map(|(_, machines)| machines.iter().copied())
    }

    /// There is more room on the machine than before, or soon will be.
    pub fn grew(&mut self, ix: MachineIx) {
        if let Some(kind) = self.kinds.get(&ix) {
            *self.grown.entry(*kind).or_default() += 1;
        }
    }

    /// How often room has grown on machines of the types that are of use.
    pub fn grown(&self, of_use: impl Fn(KindIx) -> bool) -> u64 {
        self.grown.iter().filter(|(kind, _)| of_use(**kind)).map(|(_, count)| count).sum()
    }

    pub fn takes(&self, ix: MachineIx) -> bool {
        self.place.contains_key(&ix)
    }

    pub fn takers(&self) -> &[MachineIx] {
        &self.takers
    }

    /// The square root of all, rounded up (source), drawn without looking at the others.
    pub fn sample(&self, rng: &mut SmallRng) -> Vec<MachineIx> {
        let all = self.takers.len();
        if all == 0 {
            return Vec::new();
        }
        let count = (all as f64).sqrt().ceil() as usize;
        let mut drawn: Vec<usize> = (0..count).map(|_| rng.random_range(0..all)).collect();
        drawn.sort_unstable();
        drawn.dedup();
        drawn.into_iter().map(|at| self.takers[at]).collect()
    }

    /// A machine has more room, or something new in its queues.
    pub fn room(&mut self, ix: MachineIx) {
        self.grew(ix);
        if self.takes(ix) {
            self.to_fill.insert(ix);
        }
        for _ in 0..LIMITED_WOKEN {
            let Some(other) = self.limited.pop_first() else { return };
            self.to_fill.insert(other);
        }
    }

    /// A limit that kept tasks in queues has been raised: all that wait for it are asked.
    pub fn unlimited(&mut self) {
        self.to_fill.append(&mut self.limited);
    }

    pub fn limited(&mut self, ix: MachineIx) {
        self.limited.insert(ix);
    }

    pub fn dedicated(&mut self, ix: MachineIx) {
        self.dedicated.insert(ix);
    }

    pub fn not_dedicated(&mut self, ix: MachineIx) {
        self.dedicated.remove(&ix);
    }

    pub fn with_dedicated(&self) -> Vec<MachineIx> {
        self.dedicated.iter().copied().collect()
    }

    pub fn nap(&mut self, until: Millis, ix: MachineIx) {
        self.naps.insert((until, ix));
    }

    pub fn rest(&mut self, ix: MachineIx) {
        self.resting.insert(ix);
    }

    /// Tasks have arrived: so many thieves try again.
    pub fn wake(&mut self, most: usize) {
        for _ in 0..most {
            let Some(ix) = self.resting.pop_first() else { return };
            self.to_fill.insert(ix);
        }
    }

    /// The machines to be filled now.
    pub fn take(&mut self, now: Millis) -> Vec<MachineIx> {
        while let Some((at, ix)) = self.naps.first().copied()
            && at <= now
        {
            self.naps.pop_first();
            self.to_fill.insert(ix);
        }
        let place = &self.place;
        std::mem::take(&mut self.to_fill).into_iter().filter(|ix| place.contains_key(ix)).collect()
    }
}
