//! Gangs and services: placed first, all or nothing; room is made by urgency.

use std::collections::{BTreeMap, HashMap};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::{Binding, Leader, Run, Work};
use crate::ids::{Amount, JobIx, MachineIx, Millis, ZoneIx};
use crate::protocol::operators::EventWord;
use crate::protocol::users::Shape;

/// Machines for all tasks, and what the dearest of them costs in milliseconds.
type Slots = (u64, Vec<MachineIx>);

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

/// A team waits so long for room before it claims back what it has lent.
const CLAIM_MS: u64 = 2_000;
/// About what a gang takes to be placed, fetch and gather once more.
const AGAIN_MS: u64 = 10_000;
/// Until a halt has reached a worker and its effect is known.
const HALT_MS: u64 = 500;
/// Added to the grace of a halt, so that a save has time to end.
const GRACE_MS: u64 = 2000;

impl Leader {
    pub fn place_gangs(&mut self, clock: Clock) {
        let ranks: Vec<Rank> = self.gangs.iter().copied().collect();
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
            // Room that is free may be dearer than room to be made: an image has to be fetched.
            let free = self.slots(rank.job, tasks.len(), Way::Free, clock);
            // Waiting for others' ends is for those that may stop nobody.
            let halted = self.slots(rank.job, tasks.len(), Way::Halt, clock);
            match (free, halted) {
                (Some((now, machines)), halted) if halted.as_ref().is_none_or(|(later, _)| now <= *later) => {
                    self.start_gang(rank, &tasks, &machines);
                }
                (_, Some((_, machines))) => self.make_room(rank, &machines, Way::Halt, clock),
                (_, None) => {
                    if let Some((_, machines)) = self.slots(rank.job, tasks.len(), Way::Drain, clock) {
                        self.make_room(rank, &machines, Way::Drain, clock);
                    }
                }
            }
        }
    }

    fn start_gang(&mut self, rank: Rank, tasks: &[u32], machines: &[MachineIx]) {
        let attempt = self.next_attempt();
        for (task, ix) in tasks.iter().zip(machines) {
            self.bind(*ix, rank.job, *task, attempt);
        }
        self.drop_holds(rank.job);
        self.gangs.remove(&rank);
    }

    /// A machine for each of `count` tasks, or None; room that can be made this way counts too.
    fn slots(&self, job: JobIx, count: usize, way: Way, clock: Clock) -> Option<Slots> {
        let work = self.work.get(&job)?;
        let here = |zone| self.reach(job, work, count, zone, way, clock);
        let all = self.gang_zones(work).into_iter().map(here).filter(|(_, machines)| machines.len() == count);
        all.min_by_key(|(cost, _)| *cost)
    }

    /// The zones to be tried one by one; None is all of them together.
    pub fn gang_zones(&self, work: &Work) -> Vec<Option<ZoneIx>> {
        if !work.info.one_zone {
            return vec![None];
        }
        let mut zones: Vec<ZoneIx> = self.kinds.values().flat_map(|kind| kind.zones.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.into_iter().map(Some).collect()
    }

    /// Machines for as many of `count` tasks as there is room for.
    pub fn reach(
        &self,
        job: JobIx,
        work: &Work,
        count: usize,
        zone: Option<ZoneIx>,
        way: Way,
        clock: Clock,
    ) -> Slots {
        let mut candidates: Vec<(u64, u64, MachineIx)> = Vec::new();
        for ix in self.roster.open() {
            let ix = *ix;
            let machine = &self.machines[ix.at()];
            // Whoever may stop tasks need not wait for a machine that is only being drained.
            let held = machine
                .held_for
                .is_some_and(|hold| hold.job != job && !(way == Way::Halt && hold.way == Way::Drain));
            let here = zone.is_none_or(|zone| zone == machine.zone);
            if held || !here || !self.suits(ix, work) || !self.zone_allows(ix, work) {
                continue;
            }
            let (room, cost) = match way {
                Way::Free => (machine.free(), 0),
                Way::Halt => self.room_after_halts(ix, work, clock),
                Way::Drain => self.room_after_ends(ix, work, clock),
            };
            let slots = work.info.need.count_in(&room).min(self.most_tasks as u64);
            if slots > 0 {
                candidates.push((cost + self.fetch_ms(ix, work), slots, ix));
            }
        }
        candidates.sort();
        let cap = if work.info.spread { work.info.tasks.div_ceil(2) } else { u32::MAX };
        let mut in_zone: HashMap<ZoneIx, u32> = work.zones.clone();
        let mut chosen = Vec::new();
        let mut delay = 0;
        for (cost, slots, ix) in candidates {
            let used = in_zone.entry(self.machines[ix.at()].zone).or_default();
            let take = slots.min(u64::from(cap.saturating_sub(*used))).min((count - chosen.len()) as u64);
            *used += take as u32;
            if take > 0 {
                delay = delay.max(cost);
            }
            chosen.extend(std::iter::repeat_n(ix, take as usize));
        }
        (delay, chosen)
    }

    fn fetch_ms(&self, ix: MachineIx, work: &Work) -> u64 {
        let machine = &self.machines[ix.at()];
        if machine.has_image(work.info.image) {
            return 0;
        }
        let rate = self.kinds.get(&machine.kind).map_or(100.0, |kind| kind.fetch_mb_per_s);
        (work.info.image_mb as f64 / rate.max(1.0) * 1000.0) as u64
    }

    /// Room for one task once enough of the machine's tasks have run to their ends, and how
    /// long that takes; none if it is longer than a machine may be held.
    fn room_after_ends(&self, ix: MachineIx, work: &Work, clock: Clock) -> (Amount, u64) {
        let machine = &self.machines[ix.at()];
        let mut room = machine.free();
        let left = |binding: &Binding| self.left_cpu_ms(binding, clock) * 1000 / binding.need.cpu.max(1);
        let mut ends: Vec<(u64, Amount)> = machine.bindings.iter().map(|b| (left(b), b.need)).collect();
        ends.sort_by_key(|(ms, _)| *ms);
        let mut wait = 0;
        for (ms, need) in ends {
            if work.info.need.fits(&room) {
                break;
            }
            room.add(&need);
            wait = ms;
        }
        let held_ms = (self.tunables.hold_s * 1000.0) as u64;
        if wait <= held_ms { (room, wait) } else { (Amount::default(), wait) }
    }

    /// Room on a machine once less urgent tasks have stopped, and what that costs in
    /// milliseconds: the wait for them to save, and the work that is lost.
    fn room_after_halts(&self, ix: MachineIx, work: &Work, clock: Clock) -> (Amount, u64) {
        let machine = &self.machines[ix.at()];
        let mut room = machine.free();
        let (mut wait, mut lost) = (0, 0);
        let mut victims: Vec<(u64, u64, Amount)> = Vec::new();
        for binding in &machine.bindings {
            if binding.halt.is_some() {
                room.add(&binding.need);
                wait = wait.max(HALT_MS);
            } else if let Some((save, loss)) = self.loss(binding, work, clock) {
                victims.push((loss, save, binding.need));
            }
        }
        victims.sort_by_key(|(loss, save, _)| (*loss, *save));
        for (loss, save, need) in victims {
            if work.info.need.fits(&room) {
                break;
            }
            room.add(&need);
            wait = wait.max(save + HALT_MS);
            lost += loss;
        }
        (room, wait + lost / work.info.need.cpu.max(1))
    }

    /// How long stopping the task takes, and the CPU milliseconds lost (in thousandths of
    /// CPUs); None if it must not be stopped: only less urgent work may be, and what another
    /// team has borrowed, to give this one its guarantee.
    fn loss(&self, binding: &Binding, work: &Work, clock: Clock) -> Option<(u64, u64)> {
        let victim = self.work.get(&binding.job?)?;
        let less_urgent = victim.info.urgency > work.info.urgency;
        // Renting costs less than lost work, so what is lent is claimed only after a while.
        let waited = clock.wall_ms.saturating_sub(work.info.accepted_wall_ms);
        let borrowed = waited >= CLAIM_MS
            && victim.info.team != work.info.team
            && self.borrows(victim.info.team)
            && self.within_guarantee(work.info.team, &work.info.need.times(u64::from(work.left())));
        if !less_urgent && !borrowed {
            return None;
        }
        // A gang stops as a whole, and what it has fetched and gathered is lost too: without
        // this, gangs that borrow were stopped again and again before they ran at all.
        let (all, again_ms) = match victim.info.shape {
            Shape::Gang => (u64::from(victim.info.tasks), AGAIN_MS),
            _ => (1, 0),
        };
        let lost = |ms: u64| binding.need.cpu * (ms + again_ms) * all;
        if victim.info.checkpoint_ms > 0 && binding.running_since.is_some() {
            return Some((victim.info.save_ms, lost(victim.info.save_ms)));
        }
        let since = binding.running_since.or(binding.fetching_since);
        Some((0, lost(since.map_or(0, |since| clock.now.since(since)))))
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
            self.machines[ix.at()].held_for = Some(Hold { job: rank.job, until, way });
            self.held.insert(ix);
            if way == Way::Halt {
                self.halt_for(ix, &need.times(tasks), rank.job, clock);
            }
        }
    }

    fn halt_for(&mut self, ix: MachineIx, need: &Amount, job: JobIx, clock: Clock) {
        let Some(work) = self.work.get(&job) else { return };
        let machine = &self.machines[ix.at()];
        let mut room = machine.free();
        let mut victims: Vec<(u64, u64, usize)> = Vec::new();
        for (at, binding) in machine.bindings.iter().enumerate() {
            if binding.halt.is_some() {
                room.add(&binding.need);
            } else if let Some((save, loss)) = self.loss(binding, work, clock) {
                victims.push((loss, save, at));
            }
        }
        victims.sort();
        for (_, _, at) in victims {
            if need.fits(&room) {
                break;
            }
            room.add(&self.machines[ix.at()].bindings[at].need);
            self.halt(ix, at, EventWord::HaltedForUrgent);
            self.counters.preempted += 1;
        }
        self.drop_unsent(ix, clock);
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
        if work.info.shape != Shape::Gang {
            self.machines[ix.at()].bindings[at].halt.get_or_insert(grace);
            self.to_tell.insert(ix);
            return;
        }
        let places: Vec<MachineIx> = work.out.values().flatten().map(|(ix, _)| *ix).collect();
        for ix in places {
            for binding in &mut self.machines[ix.at()].bindings {
                if binding.job == Some(job) {
                    binding.halt.get_or_insert(grace);
                }
            }
            self.to_tell.insert(ix);
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
