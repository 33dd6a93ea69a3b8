//! Index of the machines that placement has to examine: only those on which something changed.
//!
//! Owns the sets of schedulable machines, by type and zone, and the sets of machines that are to be filled
//! with queued tasks, that are in backoff, or that are blocked by a quota or a zone rule. Whether a machine
//! is schedulable is decided elsewhere and passed to `PlacementIndex::update`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{JobIx, MachineIx, MachineTypeIx, Millis, ZoneIx};

/// When a task leaves, its team's limit lets about one more task start: this many blocked machines are tried.
const QUOTA_BLOCKED_WAKE_COUNT: usize = 8;

/// The type and the zone of a machine.
pub(in crate::coordination::leader) type TypeAndZone = (MachineTypeIx, ZoneIx);

/// The index. Its size is bounded by the number of machines, and by the number of queues in which each job has tasks.
#[derive(Debug, Default)]
pub(in crate::coordination::leader) struct PlacementIndex {
    /// Machines that may get tasks; those that are cordoned or reserved get only gangs and services.
    schedulable: BTreeSet<MachineIx>,
    /// The machines of `schedulable`, by type and zone.
    schedulable_by_type_zone: BTreeMap<TypeAndZone, BTreeSet<MachineIx>>,
    /// The type of each machine for which `update` was ever called.
    machine_types: HashMap<MachineIx, MachineTypeIx>,
    /// For each machine type, how often free capacity has grown on its machines or is about to grow: a task
    /// left or was ordered to stop, a machine became schedulable, or a hold was released.
    capacity_growths: BTreeMap<MachineTypeIx, u64>,
    /// Machines that take queued tasks, in no particular order, so that random ones can be drawn by position.
    queue_eligible: Vec<MachineIx>,
    /// The position of each machine in `queue_eligible`.
    eligible_position: HashMap<MachineIx, usize>,
    /// Machines whose free capacity or queues have changed since they were last filled with queued tasks.
    to_fill: BTreeSet<MachineIx>,
    /// Machines whose work stealing is in backoff, by the end of the backoff.
    backoffs: BTreeSet<(Millis, MachineIx)>,
    /// Machines that have stopped stealing until tasks arrive (DAWS).
    paused: BTreeSet<MachineIx>,
    /// Machines with queued tasks that cannot start because of their teams' limits.
    quota_blocked: BTreeSet<MachineIx>,
    /// For each job, the machines with queued tasks of it that its zone rule keeps from starting there.
    zone_blocked: BTreeMap<JobIx, BTreeSet<MachineIx>>,
    /// Machines that may have tasks in their dedicated queue.
    dedicated_nonempty: BTreeSet<MachineIx>,
    /// Tasks of the backlog may be placeable now: a machine takes queued tasks again, or the catalog or a
    /// quota has changed.
    pub recheck_backlog: bool,
}

impl PlacementIndex {
    /// Updates a machine. `schedulable` tells whether it may get tasks, `accepts_queued` whether these may be
    /// queued tasks.
    pub fn update(&mut self, ix: MachineIx, type_zone: TypeAndZone, schedulable: bool, accepts_queued: bool) {
        self.update_schedulable(ix, type_zone, schedulable);
        let eligible = schedulable && accepts_queued;
        match (self.eligible_position.get(&ix).copied(), eligible) {
            (None, true) => self.add_queue_eligible(ix),
            (Some(position), false) => self.remove_queue_eligible(ix, position),
            _ => {}
        }
    }

    fn update_schedulable(&mut self, ix: MachineIx, type_zone: TypeAndZone, schedulable: bool) {
        let same_type_zone = self.schedulable_by_type_zone.entry(type_zone).or_default();
        self.machine_types.insert(ix, type_zone.0);
        if !schedulable {
            self.schedulable.remove(&ix);
            same_type_zone.remove(&ix);
        } else if self.schedulable.insert(ix) {
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

    /// Returns the machines that may get tasks.
    pub fn schedulable(&self) -> &BTreeSet<MachineIx> {
        &self.schedulable
    }

    /// Returns the machines of matching types and zones that may get tasks, ascending by type and zone.
    pub fn schedulable_matching(
        &self,
        matches: impl Fn(MachineTypeIx, ZoneIx) -> bool,
    ) -> impl Iterator<Item = MachineIx> {
        self.schedulable_by_type_zone
            .iter()
            .filter(move |((machine_type, zone), _)| matches(*machine_type, *zone))
            .flat_map(|(_, machines)| machines.iter().copied())
    }

    /// Records that free capacity has grown on the machine, or is about to grow.
    pub fn record_capacity_growth(&mut self, ix: MachineIx) {
        if let Some(machine_type) = self.machine_types.get(&ix) {
            *self.capacity_growths.entry(*machine_type).or_default() += 1;
        }
    }

    /// Returns how often free capacity has grown on machines of matching types.
    pub fn capacity_growth_count(&self, matches: impl Fn(MachineTypeIx) -> bool) -> u64 {
        self.capacity_growths
            .iter()
            .filter(|(machine_type, _)| matches(**machine_type))
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns whether the machine takes queued tasks.
    pub fn accepts_queued(&self, ix: MachineIx) -> bool {
        self.eligible_position.contains_key(&ix)
    }

    /// Returns the machines that take queued tasks, in no particular order.
    pub fn queue_eligible(&self) -> &[MachineIx] {
        &self.queue_eligible
    }

    /// Returns a random sample of the machines that take queued tasks: as many draws as the square root of
    /// their number, rounded up (DAWS). The cost depends on the number of draws, not on the number of
    /// machines.
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

    /// Marks the machine to be filled with queued tasks, because its free capacity has grown or its queues
    /// have new tasks. Some machines that are blocked by a quota are tried again with it.
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

    /// Marks all machines that were blocked by a quota to be filled, after a quota has been raised.
    pub fn wake_quota_blocked(&mut self) {
        self.to_fill.append(&mut self.quota_blocked);
    }

    /// Records that the machine has queued tasks that cannot start because of a team's limit.
    pub fn add_quota_blocked(&mut self, ix: MachineIx) {
        self.quota_blocked.insert(ix);
    }

    /// Records that the machine has queued tasks of the job that the job's zone rule keeps from starting there.
    pub fn add_zone_blocked(&mut self, job: JobIx, ix: MachineIx) {
        self.zone_blocked.entry(job).or_default().insert(ix);
    }

    /// Returns the machines on which the job's zone rule kept queued tasks from starting, ascending.
    pub fn zone_blocked(&self, job: JobIx) -> impl Iterator<Item = MachineIx> {
        self.zone_blocked.get(&job).into_iter().flatten().copied()
    }

    /// Marks the machine to be filled, because the job's zone rule allows its zone again.
    pub fn wake_zone_blocked(&mut self, job: JobIx, ix: MachineIx) {
        if self.zone_blocked.get_mut(&job).is_some_and(|machines| machines.remove(&ix)) {
            self.to_fill.insert(ix);
        }
    }

    /// Removes a job that is no longer in the workload.
    pub fn remove_job(&mut self, job: JobIx) {
        self.zone_blocked.remove(&job);
    }

    /// Records that tasks were added to the machine's dedicated queue.
    pub fn mark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.insert(ix);
    }

    /// Records that the machine's dedicated queue is empty.
    pub fn unmark_dedicated_nonempty(&mut self, ix: MachineIx) {
        self.dedicated_nonempty.remove(&ix);
    }

    /// Returns the machines that may have tasks in their dedicated queue, ascending.
    pub fn dedicated_nonempty(&self) -> Vec<MachineIx> {
        self.dedicated_nonempty.iter().copied().collect()
    }

    /// Records that the machine found no task to steal and tries again at `until`.
    pub fn back_off_until(&mut self, until: Millis, ix: MachineIx) {
        self.backoffs.insert((until, ix));
    }

    /// Records that the machine stops stealing until tasks arrive.
    pub fn pause(&mut self, ix: MachineIx) {
        self.paused.insert(ix);
    }

    /// Lets at most `limit` of the paused machines steal again, after tasks have arrived.
    pub fn resume_paused(&mut self, limit: usize) {
        for _ in 0..limit {
            let Some(ix) = self.paused.pop_first() else { return };
            self.to_fill.insert(ix);
        }
    }

    /// Removes and returns the machines that are to be filled with queued tasks now, ascending.
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
