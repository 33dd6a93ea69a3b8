//! Gangs and services: placed first, all or nothing; room is made by urgency.

use std::collections::{BTreeMap, HashSet};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::scarce::Waits;
use crate::coordination::leader::placement::search::Loss;
use crate::coordination::leader::{Binding, Leader, Run, Work};
use crate::ids::{Amount, JobIx, MachineIx, Millis};
use crate::protocol::operators::EventWord;
use crate::protocol::users::Shape;

/// How a machine gets room for a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
    Free,
    /// Less urgent or borrowing tasks are stopped.
    Halt,
    /// Its tasks run to their ends, and no other starts.
    Drain,
}

/// A machine that takes no queued tasks, because a gang waits for its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub job: JobIx,
    pub until: Millis,
    pub way: Way,
}

/// Added to the grace of a halt, so that a save has time to end.
const GRACE_MS: u64 = 2000;

impl Leader {
    pub fn place_gangs(&mut self, clock: Clock) {
        self.count_stopping();
        let ranks = self.gang_order();
        let holders: HashSet<JobIx> = self.held.iter().filter_map(|ix| self.holder(*ix)).collect();
        let mut waits = Waits::default();
        for rank in ranks {
            let Some(work) = self.work.get(&rank.job) else {
                self.gangs.remove(&rank);
                continue;
            };
            let tasks = missing(work);
            if tasks.is_empty() {
                self.gangs.remove(&rank);
                continue;
            }
            // A gang's old attempt must be gone before the next is placed.
            let old = work.info.shape == Shape::Gang && !work.out.is_empty();
            let all = work.info.need.times(tasks.len() as u64);
            let pool = self.within_pool(work, tasks.len() as u32);
            if old || !pool || !self.within_quota(work.info.team, &all) {
                continue;
            }
            let holds = holders.contains(&rank.job);
            let vain = !holds && self.searched.in_vain(work, tasks.len(), self.room_grown(work), clock.now);
            if (vain || !self.place_gang(rank, &tasks, holds, clock))
                && let Some(work) = self.work.get(&rank.job)
            {
                self.waits_for(work, tasks.len(), &mut waits);
            }
        }
        self.keep_scarce(&waits);
    }

    fn holder(&self, ix: MachineIx) -> Option<JobIx> {
        self.machines[ix.at()].held_for.map(|hold| hold.job)
    }

    /// False if it can only wait for others' tasks to end.
    fn place_gang(&mut self, rank: Rank, tasks: &[u32], holds: bool, clock: Clock) -> bool {
        let count = tasks.len();
        // Room that is free may be dearer than room to be made: an image has to be fetched.
        self.counters.searches += 2;
        let free = self.slots(rank.job, count, Way::Free, clock);
        if free.is_none() && self.work.get(&rank.job).is_some_and(Work::at_fault) {
            // It has failed wherever it was tried: nobody is stopped and no machine held for it.
            return true;
        }
        // Waiting for others' ends is for those that may stop nobody.
        let halted = self.slots(rank.job, count, Way::Halt, clock);
        match (free, halted) {
            (Some((now, machines)), halted) if halted.as_ref().is_none_or(|(later, _)| now <= *later) => {
                self.start_gang(rank, tasks, &machines);
                return true;
            }
            (_, Some((_, machines))) => {
                self.make_room(rank, &machines, Way::Halt, clock);
                return true;
            }
            // Who holds machines already waits for their room, not for still others.
            (_, None) if holds => {}
            (_, None) => {
                self.counters.searches += 1;
                match self.slots(rank.job, count, Way::Drain, clock) {
                    Some((_, machines)) => self.make_room(rank, &machines, Way::Drain, clock),
                    None => {
                        let Some(work) = self.work.get(&rank.job) else { return true };
                        let grown = self.room_grown(work);
                        self.searched.found_nothing(work, count, grown, clock.now);
                    }
                }
            }
        }
        false
    }

    fn start_gang(&mut self, rank: Rank, tasks: &[u32], machines: &[MachineIx]) {
        let attempt = self.next_attempt();
        for (task, ix) in tasks.iter().zip(machines) {
            self.bind(*ix, rank.job, *task, attempt);
        }
        self.drop_holds(rank.job);
        self.gangs.remove(&rank);
    }

    /// Holds machines for a gang, and stops tasks on them if that is the way.
    fn make_room(&mut self, rank: Rank, machines: &[MachineIx], way: Way, clock: Clock) {
        // Held already; but stopping tasks after all is better than waiting for their ends.
        let ours = |ix: &MachineIx| {
            self.machines[ix.at()].held_for.is_some_and(|hold| hold.job == rank.job && hold.way <= way)
        };
        if self.held.iter().any(ours) {
            return;
        }
        let Some(work) = self.work.get(&rank.job) else {
            return;
        };
        let need = work.info.need;
        let until = clock.now.plus((self.tunables.hold_s * 1000.0) as u64);
        let mut wanted: BTreeMap<MachineIx, u64> = BTreeMap::new();
        for ix in machines.iter().copied() {
            *wanted.entry(ix).or_default() += 1;
        }
        for (ix, tasks) in wanted {
            // Held first, so that what is dropped from it does not queue up there again.
            let before = self.machines[ix.at()].held_for.replace(Hold { job: rank.job, until, way });
            if way == Way::Halt && !self.halt_for(ix, &need.times(tasks), rank.job, clock) {
                self.machines[ix.at()].held_for = before;
                continue;
            }
            self.held.insert(ix);
        }
    }

    /// Stops tasks until there is so much room. False if it cannot be had: nothing is stopped for less.
    fn halt_for(&mut self, ix: MachineIx, need: &Amount, job: JobIx, clock: Clock) -> bool {
        let Some(work) = self.work.get(&job) else { return false };
        let machine = &self.machines[ix.at()];
        let mut room = machine.free();
        let mut stops = self.stops(work, clock);
        let mut victims: Vec<(Loss, usize)> = Vec::new();
        for (at, binding) in machine.bindings.iter().enumerate() {
            if binding.halt.is_some() {
                room.add(&binding.need);
            } else if let Some(loss) = self.loss(binding, &stops, clock) {
                victims.push((loss, at));
            }
        }
        victims.sort_by_key(|(loss, at)| (loss.lost, loss.save_ms, *at));
        let mut stopped = Vec::new();
        for (loss, at) in victims {
            if need.fits(&room) {
                break;
            }
            if stops.claim(&loss) {
                room.add(&machine.bindings[at].need);
                stopped.push(at);
            }
        }
        if !need.fits(&room) {
            return false;
        }
        for at in stopped {
            self.halt(ix, at, EventWord::HaltedForUrgent);
            self.counters.preempted += 1;
        }
        self.drop_unsent(ix, clock);
        true
    }

    /// Stops one task; one that saves gets the time for it. A gang stops as a whole.
    pub fn halt(&mut self, ix: MachineIx, at: usize, why: EventWord) {
        let Some(job) = self.machines[ix.at()].bindings[at].job else {
            return;
        };
        let Some(work) = self.work.get(&job) else {
            return;
        };
        let grace = if work.info.checkpoint_ms > 0 { work.info.save_ms + GRACE_MS } else { 0 };
        let task = self.machines[ix.at()].bindings[at].task;
        self.journal.note(task.job, why, Some(ix), task.task, 1);
        let (need, team) = (work.info.need, work.info.team);
        if work.info.shape != Shape::Gang {
            self.machines[ix.at()].bindings[at].halt.get_or_insert(grace);
            self.stopping.entry(team).or_default().add(&need);
            self.to_tell.insert(ix);
            self.roster.grew(ix);
            return;
        }
        let places: Vec<MachineIx> = work.out.values().flatten().map(|(ix, _)| *ix).collect();
        for ix in places {
            for binding in &mut self.machines[ix.at()].bindings {
                if binding.job == Some(job) && binding.halt.is_none() {
                    binding.halt = Some(grace);
                    self.stopping.entry(team).or_default().add(&need);
                }
            }
            self.to_tell.insert(ix);
            self.roster.grew(ix);
        }
    }

    /// A member left a gang that is not done: the others are of no use any more.
    pub fn gang_member_left(&mut self, gone: &Binding) {
        let Some(job) = gone.job else { return };
        let Some(work) = self.work.get(&job) else {
            return;
        };
        if work.info.shape != Shape::Gang || work.done.full() {
            return;
        }
        let places: Vec<MachineIx> = work.out.values().flatten().map(|(ix, _)| *ix).collect();
        for ix in places {
            for binding in &mut self.machines[ix.at()].bindings {
                if binding.job == Some(job) && binding.halt.is_none() {
                    binding.halt = Some(0);
                }
            }
            self.to_tell.insert(ix);
        }
    }

    pub fn release_holds(&mut self, clock: Clock) {
        self.release_where(|hold| hold.until <= clock.now);
    }

    pub fn drop_holds(&mut self, job: JobIx) {
        self.release_where(|hold| hold.job == job);
    }

    fn release_where(&mut self, over: impl Fn(Hold) -> bool) {
        let held: Vec<MachineIx> = self.held.iter().copied().collect();
        for ix in held {
            let machine = &mut self.machines[ix.at()];
            if machine.held_for.is_none_or(&over) {
                machine.held_for = None;
                self.held.remove(&ix);
                self.roster.room(ix);
            }
        }
    }

    /// The machine is taken back soon: what can be saved is saved.
    pub fn on_notice(&mut self, ix: MachineIx, notice_ms: u64) {
        for at in 0..self.machines[ix.at()].bindings.len() {
            let binding = &self.machines[ix.at()].bindings[at];
            let saves = binding
                .job
                .and_then(|job| self.work.get(&job))
                .is_some_and(|work| work.info.checkpoint_ms > 0 && work.info.save_ms + GRACE_MS <= notice_ms);
            let unsent = matches!(binding.run, Run::Planned | Run::Recorded);
            if saves || unsent {
                self.halt(ix, at, EventWord::HaltedForDrain);
            }
        }
        self.spread_queues(ix);
    }
}

pub fn missing(work: &Work) -> Vec<u32> {
    work.done.missing().filter(|task| !work.out.contains_key(task)).collect()
}
