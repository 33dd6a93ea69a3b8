//! Which machines placement has to look at: those where something changed, not all.

use std::collections::{BTreeSet, HashMap};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{MachineIx, Millis};

#[derive(Debug, Default)]
pub struct Roster {
    /// Machines that may get tasks; those not needed get only gangs.
    open: BTreeSet<MachineIx>,
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
    pub fn set(&mut self, ix: MachineIx, open: bool, parked: bool) {
        if open {
            self.open.insert(ix);
        } else {
            self.open.remove(&ix);
        }
        let takes = open && !parked;
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
        if self.takes(ix) {
            self.to_fill.insert(ix);
        }
        for _ in 0..LIMITED_WOKEN {
            let Some(other) = self.limited.pop_first() else { return };
            self.to_fill.insert(other);
        }
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
