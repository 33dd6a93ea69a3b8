//! Index of the machines that placement has to examine: those where something changed, not all.
//!
//! Owns the sets of schedulable machines, by type and zone, and the machines whose queues are to be filled,
//! in backoff, or blocked by a quota. What makes a machine schedulable is decided elsewhere and passed to
//! `PlacementIndex::update`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{MachineIx, MachineTypeIx, Millis, ZoneIx};

/// Freed capacity of a team lets about one task start: this many blocked machines are tried for it.
const QUOTA_BLOCKED_WAKE_COUNT: usize = 8;

/// The type and the zone of a machine.
pub(in crate::coordination::leader) type TypeAndZone = (MachineTypeIx, ZoneIx);

/// The index. Its size is bounded by the number of machines.
#[derive(Debug, Default)]
pub(in crate::coordination::leader) struct PlacementIndex {
    /// Machines that may get tasks; those that are cordoned or reserved get only gangs.
    open: BTreeSet<MachineIx>,
    /// The same by type and zone.
    open_by_type_zone: BTreeMap<TypeAndZone, BTreeSet<MachineIx>>,
    /// The type of each machine that was ever open.
    machine_types: HashMap<MachineIx, MachineTypeIx>,
    /// How often free capacity has grown, or is about to, on machines of a type: a task left or was ordered
    /// to stop, a machine opened or a hold was released.
    capacity_growths: BTreeMap<MachineTypeIx, u64>,
    /// Machines that take queued tasks, in no order, so that one can be drawn by index.
    queue_eligible: Vec<MachineIx>,
    /// Where each machine is in `queue_eligible`.
    eligible_position: HashMap<MachineIx, usize>,
    /// Machines whose free capacity or queues changed since they were last filled.
    to_fill: BTreeSet<MachineIx>,
    /// Thieves in backoff, by its end.
    backoffs: BTreeSet<(Millis, MachineIx)>,
    /// Thieves that stopped stealing until tasks arrive (DAWS).
    paused: BTreeSet<MachineIx>,
    /// Machines with queued tasks that their teams' limits keep from starting.
    quota_blocked: BTreeSet<MachineIx>,
    /// Machines that may have tasks in their dedicated queue.
    dedicated_nonempty: BTreeSet<MachineIx>,
    /// A machine opened that may suit tasks of the backlog.
    pub recheck_backlog: bool,
}

impl PlacementIndex {
    /// Updates a machine. `open`: it may get tasks; `accepts_queued`: queued ones too.
    pub fn update(&mut self, ix: MachineIx, type_zone: TypeAndZone, open: bool, accepts_queued: bool) {
        self.update_open(ix, type_zone, open);
        let eligible = open && accepts_queued;
        match (self.eligible_position.get(&ix).copied(), eligible) {
            (None, true) => self.add_queue_eligible(ix),
            (Some(position), false) => self.remove_queue_eligible(ix, position),
            _ => {}
        }
    }

    fn update_open(&mut self, ix: MachineIx, type_zone: TypeAndZone, open: bool) {
        let same_type_zone = self.open_by_type_zone.entry(type_zone).or_default();
        self.machine_types.insert(ix, type_zone.0);
        if !open {
            self.open.remove(&ix);
            same_type_zone.remove(&ix);
        } else if self.open.insert(ix) {
            same_type_zone.insert(ix);
            self.record_capacity_growth(ix);
        }
    }

    fn add_queue_eligible(&mut self, ix: MachineIx) {
        self.eligible_position.insert(ix, self.queue_eligible.len());
        self.queue_eligible.push(ix);
        self.to_fill.insert(ix);
        self.recheck_backlog = true;
    }

    fn remove_queue_eligible(&mut self, ix: MachineIx, position: usize) {
        self.eligible_position.remove(&ix);
        self.queue_eligible.swap_remove(position);
        if let Some(moved) = self.queue_eligible.get(position) {
            self.eligible_position.insert(*moved, position);
        }
        self.to_fill.remove(&ix);
        self.paused.remove(&ix);
        self.quota_blocked.remove(&ix);
    }

    /// Machines that may get tasks.
    pub fn open(&self) -> &BTreeSet<MachineIx> {
        &self.open
    }

    /// Open machines of matching types and zones, ascending by type and zone.
    pub fn open_matching(
        &self,
        matches: impl Fn(MachineTypeIx, ZoneIx) -> bool,
    ) -> impl Iterator<Item = MachineIx> {
        self.open_by_type_zone
            .iter()
            .filter(move |((machine_type, zone), _)| matches(*machine_type, *zone))
            .flat_map(|(_, machines)| machines.iter().copied())
    }

    /// Free capacity has grown on the machine, or is about to.
    pub fn record_capacity_growth(&mut self, ix: MachineIx) {
        if let Some(machine_type) = self.machine_types.get(&ix) {
            *self.capacity_growths.entry(*machine_type).or_default() += 1;
        }
    }

    /// How often free capacity has grown on machines of matching types.
    pub fn capacity_growth_count(&self, matches: impl Fn(MachineTypeIx) -> bool) -> u64 {
        self.capacity_growths
            .iter()
            .filter(|(machine_type, _)| matches(**machine_type))
            .map(|(_, count)| count)
            .sum()
    }

    /// Whether the machine takes queued tasks.
    pub fn accepts_queued(&self, ix: MachineIx) -> bool {
        self.eligible_position.contains_key(&ix)
    }

    /// Machines that take queued tasks, in no particular order.
    pub fn queue_eligible(&self) -> &[MachineIx] {
        &self.queue_eligible
    }

    /// A random sample of the machines that take queued tasks: as many draws as the square root of their
    /// number, rounded up (DAWS). Machines that are not drawn cost nothing.
    pub fn sample_queue_eligible(&self, rng: &mut SmallRng) -> Vec<MachineIx> {
        let eligible = self.queue_eligible.len();
        if eligible == 0 {
            return Vec::new();
        }
        let draws = (eligible as f64).sqrt().ceil() as usize;
        let mut positions: Vec<usize> = (0..draws).map(|_| rng.random_range(0..eligible)).collect();
        positions.sort_unstable();
        positions.dedup();
        positions.into_iter().map(|position| self.queue_eligible[position]).collect()
    }

    /// The machine has more free capacity, or something new in its queues.
    pub fn mark_to_fill(&mut self, ix: MachineIx) {
        self.record_capacity_growth(ix);
        if self.accepts_queued(ix) {
            self.to_fill.insert(ix);
        }
        for _ in 0..QUOTA_BLOCKED_WAKE_COUNT {
            let Some(blocked) = self.quota_blocked.pop_first() else { return };
            self.to_fill.insert(blocked);
        }
    }

    /// A quota has been raised: all machines that were blocked by one are filled again.
    pub fn wake_quota_blocked(&mut self) {
        self.to_fill.append(&mut self.quota_blocked);
    }

    /// The machine has queued tasks that a team's limit keeps from starting.
    pub fn add_quota_blocked(&mut self, ix: MachineIx) {
        self.quota_blocked.insert(ix);
    }

    /// The machine's dedicated queue has got tasks.
    pub fn mark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.insert(ix);
    }

    /// The machine's dedicated queue is empty.
    pub fn unmark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.remove(&ix);
    }

    /// Machines that may have tasks in their dedicated queue, ascending.
    pub fn dedicated_nonempty(&self) -> Vec<MachineIx> {
        self.dedicated_nonempty.iter().copied().collect()
    }

    /// A thief found nothing: it tries again at `until`.
    pub fn back_off_until(&mut self, until: Millis, ix: MachineIx) {
        self.backoffs.insert((until, ix));
    }

    /// A thief stops stealing until tasks arrive.
    pub fn pause(&mut self, ix: MachineIx) {
        self.paused.insert(ix);
    }

    /// Tasks have arrived: at most `limit` paused thieves try again.
    pub fn resume_paused(&mut self, limit: usize) {
        for _ in 0..limit {
            let Some(ix) = self.paused.pop_first() else { return };
            self.to_fill.insert(ix);
        }
    }

    /// Takes the machines whose queues are to be filled now, ascending.
    pub fn take_machines_to_fill(&mut self, now: Millis) -> Vec<MachineIx> {
        while let Some((until, ix)) = self.backoffs.first().copied()
            && until <= now
        {
            self.backoffs.pop_first();
            self.to_fill.insert(ix);
        }
        let to_fill = std::mem::take(&mut self.to_fill);
        to_fill.into_iter().filter(|ix| self.accepts_queued(*ix)).collect()
    }
}
