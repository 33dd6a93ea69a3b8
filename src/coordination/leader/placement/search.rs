//! Where a gang or service could go: over the machines that fit its tasks, by their types and zones, and not again
//! before there is more room than when nothing was found.

use std::collections::HashMap;

use olivelatch_admission::lent::{Lent, Room};

use crate::bookkeeping::jobs::JobInfo;
use crate::coordination::Clock;
use crate::coordination::leader::placement::gangs::Way;
use crate::coordination::leader::{Binding, Leader, Machine, Work};
use crate::ids::{Amount, JobIx, KindIx, MachineIx, Millis, TeamIx, ZoneIx};
use crate::protocol::users::{Shape, Urgency};

/// Machines for all tasks, and what the dearest of them costs in milliseconds.
pub type Slots = (u64, Vec<MachineIx>);

/// A team waits so long for room before it claims back what it has lent.
pub const CLAIM_MS: u64 = 2_000;
/// About what a gang takes to be placed, fetch and gather once more.
const AGAIN_MS: u64 = 10_000;
/// Until a halt has reached a worker and its effect is known.
const HALT_MS: u64 = 500;
/// What was searched for in vain is searched for again then, whatever has changed: tasks come nearer to their ends, and
/// what is lent may be claimed after a while.
const AGAIN_SEARCHED_MS: u64 = 1_000;

/// What gangs have in common that fit into the same room: one search speaks for all of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sought {
    need: Amount,
    kinds: Option<Vec<KindIx>>,
    zone: Option<ZoneIx>,
    one_zone: bool,
    spread: bool,
    spot: bool,
    team: TeamIx,
    urgency: Urgency,
}

impl Sought {
    fn new(info: &JobInfo) -> Sought {
        Sought {
            need: info.need,
            kinds: info.kinds.clone(),
            zone: info.zone,
            one_zone: info.one_zone,
            spread: info.spread,
            spot: info.spot,
            team: info.team,
            urgency: info.urgency,
        }
    }
}

/// So many tasks found no room when room had grown so often.
#[derive(Debug, Clone, Copy)]
struct Vain {
    count: usize,
    grown: u64,
    until: Millis,
}

/// Searches that found nothing. Room that is taken makes them no better, so they hold until room grows.
#[derive(Debug, Default)]
pub struct Searched(HashMap<Sought, Vain>);

impl Searched {
    /// Would a search for so many tasks find nothing, as one before it did?
    pub fn in_vain(&self, work: &Work, count: usize, grown: u64, now: Millis) -> bool {
        let vain = self.0.get(&Sought::new(&work.info));
        vain.is_some_and(|vain| count >= vain.count && now < vain.until && vain.grown == grown)
    }

    /// A gang that is kept from machines or zones by its own past speaks for itself only.
    pub fn found_nothing(&mut self, work: &Work, count: usize, grown: u64, now: Millis) {
        if !work.failed_on.is_empty() || !work.zones.is_empty() {
            return;
        }
        let vain = Vain { count, grown, until: now.plus(AGAIN_SEARCHED_MS) };
        self.0.retain(|_, vain| now < vain.until);
        self.0.insert(Sought::new(&work.info), vain);
    }
}

/// Whom a job may stop to make room.
pub struct Stops {
    urgency: Urgency,
    team: TeamIx,
    /// What it may claim back of what other teams have borrowed.
    lent: Lent<TeamIx, JobIx>,
}

impl Stops {
    pub fn new(work: &Work, lent: Lent<TeamIx, JobIx>) -> Stops {
        Stops { urgency: work.info.urgency, team: work.info.team, lent }
    }

    /// Whatever is claimed of lent room is there only once.
    pub fn claim(&mut self, loss: &Loss) -> bool {
        loss.claim.is_none_or(|claim| claim.is_lent(&mut self.lent))
    }
}

/// A borrowed place that would be claimed back.
#[derive(Debug, Clone, Copy)]
struct Claim {
    team: TeamIx,
    room: Room,
    whole: Option<JobIx>,
}

impl Claim {
    /// Takes it off what is lent; false if so much is not lent any more.
    fn is_lent(&self, lent: &mut Lent<TeamIx, JobIx>) -> bool {
        lent.claim(self.team, self.room, self.whole)
    }
}

/// What stopping a task costs.
pub struct Loss {
    /// How long it takes to save, in milliseconds.
    pub save_ms: u64,
    /// CPU milliseconds lost, in thousandths of CPUs.
    pub lost: u64,
    claim: Option<Claim>,
}

/// A machine that a gang could use: cost in milliseconds, tasks it has room for, whose places would be claimed.
type Candidate = (u64, u64, MachineIx, Vec<Claim>);

impl Leader {
    /// A machine for each of `count` tasks, or None; room that can be made this way counts too.
    pub fn slots(&self, job: JobIx, count: usize, way: Way, clock: Clock) -> Option<Slots> {
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
        let stops = self.stops(work, clock);
        let candidates = self.candidates(job, work, zone, way, &stops, clock);
        self.choose(work, count, candidates, stops.lent)
    }

    /// Machines with room for at least one task, those that cost least first.
    fn candidates(
        &self,
        job: JobIx,
        work: &Work,
        zone: Option<ZoneIx>,
        way: Way,
        stops: &Stops,
        clock: Clock,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for ix in self
            .roster
            .open_in(|kind, there| zone.is_none_or(|zone| zone == there) && self.fits_kind(work, kind))
        {
            let machine = &self.machines[ix.at()];
            if !self.may_use(machine, job, way) || (way == Way::Free && !work.info.need.fits(&machine.free()))
            {
                continue;
            }
            if !self.suits(ix, work) || !self.zone_allows(ix, work) {
                continue;
            }
            let (room, cost, claims) = match way {
                Way::Free => (machine.free(), 0, Vec::new()),
                Way::Halt => self.room_after_halts(ix, work, stops, clock),
                Way::Drain => self.room_after_ends(ix, work, clock),
            };
            let slots = work.info.need.count_in(&room).min(self.most_tasks as u64);
            if slots > 0 {
                candidates.push((cost + self.fetch_ms(ix, work), slots, ix, claims));
            }
        }
        candidates.sort_by_key(|(cost, slots, ix, _)| (*cost, *slots, *ix));
        candidates
    }

    /// As many machines as it takes; what is claimed on all of them together must be lent.
    fn choose(
        &self,
        work: &Work,
        count: usize,
        candidates: Vec<Candidate>,
        mut lent: Lent<TeamIx, JobIx>,
    ) -> Slots {
        let cap = if work.info.spread { work.info.tasks.div_ceil(2) } else { u32::MAX };
        let mut in_zone: HashMap<ZoneIx, u32> = work.zones.clone();
        let mut chosen = Vec::new();
        let mut delay = 0;
        for (cost, slots, ix, claims) in candidates {
            if chosen.len() == count {
                break;
            }
            let mut rest = lent.clone();
            if !claims.iter().all(|claim| claim.is_lent(&mut rest)) {
                continue;
            }
            let used = in_zone.entry(self.machines[ix.at()].zone).or_default();
            let take = slots.min(u64::from(cap.saturating_sub(*used))).min((count - chosen.len()) as u64);
            *used += take as u32;
            if take > 0 {
                delay = delay.max(cost);
                lent = rest;
            }
            chosen.extend(std::iter::repeat_n(ix, take as usize));
        }
        (delay, chosen)
    }

    /// How often room has grown on machines of the types that its tasks fit.
    pub fn room_grown(&self, work: &Work) -> u64 {
        self.roster.grown(|kind| self.fits_kind(work, kind))
    }

    /// The types that its tasks fit.
    pub fn kinds_for(&self, work: &Work) -> Vec<KindIx> {
        self.kinds.keys().copied().filter(|kind| self.fits_kind(work, *kind)).collect()
    }

    pub fn fits_kind(&self, work: &Work, kind: KindIx) -> bool {
        work.info.allows_kind(kind)
            && self.kinds.get(&kind).is_none_or(|kind| work.info.need.fits(&kind.size))
    }

    /// Whoever may stop tasks need not wait for a machine that is only being drained.
    fn may_use(&self, machine: &Machine, job: JobIx, way: Way) -> bool {
        machine.held_for.is_none_or(|hold| hold.job == job || (way == Way::Halt && hold.way == Way::Drain))
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
    fn room_after_ends(&self, ix: MachineIx, work: &Work, clock: Clock) -> (Amount, u64, Vec<Claim>) {
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
        let room = if wait <= held_ms { room } else { Amount::default() };
        (room, wait, Vec::new())
    }

    /// Room on a machine once less urgent tasks have stopped, and what that costs in
    /// milliseconds: the wait for them to save, and the work that is lost.
    fn room_after_halts(
        &self,
        ix: MachineIx,
        work: &Work,
        stops: &Stops,
        clock: Clock,
    ) -> (Amount, u64, Vec<Claim>) {
        let machine = &self.machines[ix.at()];
        let mut room = machine.free();
        let (mut wait, mut lost) = (0, 0);
        let mut victims: Vec<(Loss, Amount)> = Vec::new();
        for binding in &machine.bindings {
            if binding.halt.is_some() {
                room.add(&binding.need);
                wait = wait.max(HALT_MS);
            } else if let Some(loss) = self.loss(binding, stops, clock) {
                victims.push((loss, binding.need));
            }
        }
        victims.sort_by_key(|(loss, _)| (loss.lost, loss.save_ms));
        let mut lent = stops.lent.clone();
        let mut claims = Vec::new();
        for (loss, need) in victims {
            if work.info.need.fits(&room) {
                break;
            }
            if !loss.claim.is_none_or(|claim| claim.is_lent(&mut lent)) {
                continue;
            }
            claims.extend(loss.claim);
            room.add(&need);
            wait = wait.max(loss.save_ms + HALT_MS);
            lost += loss.lost;
        }
        (room, wait + lost / work.info.need.cpu.max(1), claims)
    }

    /// Only less urgent work may be stopped, and what other teams have borrowed, to give this one its guarantee.
    pub fn stops(&self, work: &Work, clock: Clock) -> Stops {
        // Renting costs less than lost work, so what is lent is claimed only after a while.
        let waited = clock.wall_ms.saturating_sub(work.info.accepted_wall_ms);
        let all = work.info.need.times(u64::from(work.left()));
        let claims = waited >= CLAIM_MS && self.within_guarantee(work.info.team, &all);
        let lent = if claims { self.lent(work.info.team) } else { Lent::default() };
        Stops::new(work, lent)
    }

    /// What stopping the task costs; None if it must not be stopped.
    pub fn loss(&self, binding: &Binding, stops: &Stops, clock: Clock) -> Option<Loss> {
        let victim = self.work.get(&binding.job?)?;
        let info = &victim.info;
        // A gang stops as a whole, and what it has fetched and gathered is lost too: without
        // this, gangs that borrow were stopped again and again before they ran at all.
        let gang = info.shape == Shape::Gang;
        let (all, again_ms) = if gang { (u64::from(info.tasks), AGAIN_MS) } else { (1, 0) };
        let claim = if info.urgency > stops.urgency {
            None
        } else {
            let whole = binding.need.times(all);
            let room = Room { cpu: whole.cpu, gpu: whole.gpu };
            if info.team == stops.team || !stops.lent.may_claim(info.team, room) {
                return None;
            }
            Some(Claim { team: info.team, room, whole: gang.then_some(binding.job?) })
        };
        let lost = |ms: u64| binding.need.cpu * (ms + again_ms) * all;
        if info.checkpoint_ms > 0 && binding.running_since.is_some() {
            return Some(Loss { save_ms: info.save_ms, lost: lost(info.save_ms), claim });
        }
        let since = binding.running_since.or(binding.fetching_since);
        Some(Loss { save_ms: 0, lost: lost(since.map_or(0, |since| clock.now.since(since))), claim })
    }
}
