//! How much of the fleet the work needs, by when the jobs should be done.
//!
//! Jobs are laid onto the machines in the order of their aims, cheapest machines
//! first. What is left over is rented; machines that nothing was laid on are parked:
//! they take no queued tasks, so that they run empty and can be returned.

use std::collections::{BTreeMap, HashMap};

use crate::bookkeeping::mirror::Mirror;
use crate::coordination::Clock;
use crate::coordination::leader::machines::fleet::Offer;
use crate::coordination::leader::{Kind, Leader, Life, Work};
use crate::ids::{JobIx, MachineIx, ZoneIx};
use crate::protocol::cloud::RENT_MOST;

/// Never plan for less than that, however late a job is already.
const LEAST_MS: u64 = 10_000;
/// A rented machine is paid for at least that long.
pub const PAID_MS: u64 = 60_000;
/// Machines one plan may add for a single job.
const MOST_ADDED: u32 = 50;

/// Machines by their dense index. A plan asks and adds for every running task, which
/// hashing made a sixth of its time.
#[derive(Debug, Default)]
pub struct MachineSet(Vec<bool>);

impl MachineSet {
    pub fn insert(&mut self, ix: MachineIx) {
        if self.0.len() <= ix.at() {
            self.0.resize(ix.at() + 1, false);
        }
        self.0[ix.at()] = true;
    }

    pub fn contains(&self, ix: MachineIx) -> bool {
        self.0.get(ix.at()).copied().unwrap_or(false)
    }
}

/// A machine as the plan sees it.
struct Place {
    ix: MachineIx,
    price: f64,
    cpu: u64,
    /// Not usable before that.
    delay_ms: u64,
    /// CPU milliseconds already spoken for.
    taken: u64,
}

impl Place {
    fn room(&self, horizon_ms: u64) -> u64 {
        (self.cpu * horizon_ms.saturating_sub(self.delay_ms) / 1000).saturating_sub(self.taken)
    }
}

struct Plan<'a> {
    leader: &'a Leader,
    clock: Clock,
    places: Vec<Place>,
    used: MachineSet,
    gang_taken: MachineSet,
    booked: BTreeMap<Offer, u32>,
    /// Work that one more machine of an offer, wanted already, can still take.
    spare: BTreeMap<Offer, u64>,
    wanted: BTreeMap<Offer, u32>,
}

impl Leader {
    /// How many machines of which sort the waiting work needs beyond those there.
    pub fn plan_fleet(&mut self, clock: Clock, mirror: &Mirror) {
        self.forget_bookings(clock);
        if self.kinds.is_empty() {
            return;
        }
        self.mark_guaranteed();
        self.mark_late(clock);
        self.leave_room(clock);
        if self.tunables.overload.claims {
            self.claim_for_arrays(clock);
        }
        let mut plan = Plan::new(self, clock);
        plan.lay_out();
        let (used, wanted) = (plan.used, plan.wanted);
        self.park(&used);
        self.fleet.needed = used;
        let booked = self.fleet.open_bookings();
        for (offer, count) in wanted {
            let open = booked.get(&offer).copied().unwrap_or(0);
            if count > open {
                self.book(offer, (count - open).min(RENT_MOST), mirror);
            }
        }
    }

    fn park(&mut self, used: &MachineSet) {
        for at in 0..self.machines.len() {
            let ix = MachineIx(at as u32);
            let parked = !used.contains(ix);
            if parked == self.machines[at].parked {
                continue;
            }
            self.machines[at].parked = parked;
            self.refresh(ix);
            if parked {
                self.spread_queues(ix);
            }
        }
    }

    /// Until when, from now, a job should be through, by its class's aim or its deadline.
    pub fn time_left_ms(&self, work: &Work, clock: Clock) -> u64 {
        let age = clock.wall_ms.saturating_sub(work.info.accepted_wall_ms);
        let due = work.info.due_wall_ms.map(|due| due.saturating_sub(clock.wall_ms));
        let aim = self.aims.get(&work.info.class).and_then(|aims| aims.first());
        let aim = aim.map(|aim| aim.saturating_sub(age));
        let fallback = (self.tunables.drain_s * 1000.0) as u64 + work.length_ms();
        if self.hopeless(work, clock) {
            // Nothing is won by renting for it as if its aim were about to pass.
            return fallback;
        }
        due.into_iter().chain(aim).min().unwrap_or(fallback)
    }

    /// Every aim of the job has passed: it must not sink those that can still make it.
    pub fn hopeless(&self, work: &Work, clock: Clock) -> bool {
        let age = clock.wall_ms.saturating_sub(work.info.accepted_wall_ms);
        let due = work.info.due_wall_ms.is_some_and(|due| due < clock.wall_ms);
        due || self.last_aim_ms(work).is_some_and(|last| last < age)
    }

    /// Within what time of its acceptance a job of the class should be done at the latest.
    pub fn last_aim_ms(&self, work: &Work) -> Option<u64> {
        self.aims.get(&work.info.class)?.last().copied()
    }

    /// CPU milliseconds that a task still needs, as far as can be told.
    pub fn left_cpu_ms(&self, binding: &crate::coordination::leader::Binding, clock: Clock) -> u64 {
        let Some(work) = binding.job.and_then(|job| self.work.get(&job)) else { return 0 };
        let ran = binding.running_since.map_or(0, |since| clock.now.since(since));
        binding.need.cpu * work.length_ms().saturating_sub(ran).max(1000) / 1000
    }

    /// Tasks of a gang that a machine has room for, its own hold counted in.
    fn gang_slots(&self, job: JobIx, work: &Work, ix: MachineIx) -> u64 {
        let machine = &self.machines[ix.at()];
        let held = machine.held_for.is_some_and(|hold| hold.job == job);
        let free = if held { machine.size } else { machine.free() };
        if work.failed_on.contains(&ix) { 0 } else { work.info.need.count_in(&free) }
    }

    pub fn price_per_cpu(&self, ix: MachineIx) -> f64 {
        let machine = &self.machines[ix.at()];
        let Some(kind) = self.kinds.get(&machine.kind) else { return f64::MAX };
        let price = if machine.spot { kind.spot_price.unwrap_or(kind.price) } else { kind.price };
        price / kind.size.cpu.max(1) as f64
    }
}

/// Tasks of a gang or service that still need a place, and where they may go.
struct ZoneNeed {
    missing: u64,
    only: Option<ZoneIx>,
    /// Most tasks in one zone, if they have to be scattered.
    cap: u64,
    there: HashMap<ZoneIx, u64>,
}

/// Of the zones where a job's tasks may be, the one with most of them: after a takeover others may be stale.
fn most_tasks(zones: &HashMap<ZoneIx, u32>) -> Option<ZoneIx> {
    zones.iter().max_by_key(|(zone, count)| (**count, **zone)).map(|(zone, _)| *zone)
}

impl ZoneNeed {
    fn new(work: &Work) -> ZoneNeed {
        let there: HashMap<ZoneIx, u64> =
            work.zones.iter().map(|(zone, count)| (*zone, u64::from(*count))).collect();
        ZoneNeed {
            missing: u64::from(work.left()).saturating_sub(work.out.len() as u64),
            only: most_tasks(&work.zones).filter(|_| work.info.one_zone),
            cap: if work.info.spread { u64::from(work.info.tasks.div_ceil(2)) } else { u64::MAX },
            there,
        }
    }

    fn room(&self, zone: ZoneIx) -> u64 {
        if self.only.is_some_and(|only| only != zone) {
            return 0;
        }
        self.cap.saturating_sub(self.there.get(&zone).copied().unwrap_or(0)).min(self.missing)
    }

    fn take(&mut self, zone: ZoneIx, slots: u64) -> u64 {
        let took = slots.min(self.room(zone));
        *self.there.entry(zone).or_default() += took;
        self.missing -= took;
        took
    }
}

impl<'a> Plan<'a> {
    fn new(leader: &'a Leader, clock: Clock) -> Plan<'a> {
        let mut places = Vec::new();
        for (at, machine) in leader.machines.iter().enumerate() {
            let ix = MachineIx(at as u32);
            let kind = leader.kinds.get(&machine.kind);
            let boot = kind.map_or(0, |kind| kind.boot_ms);
            let delay_ms = match machine.life {
                Life::Up if machine.open() || !machine.confirmed => 0,
                // Later than usual: nobody should count on it for long.
                Life::Booting if !machine.returning && !leader.boot_overdue(machine, clock) => {
                    boot.saturating_sub(clock.now.since(machine.since)).max(5_000)
                }
                _ => continue,
            };
            let taken = machine.bindings.iter().map(|binding| leader.left_cpu_ms(binding, clock)).sum();
            places.push(Place {
                ix,
                price: leader.price_per_cpu(ix),
                cpu: machine.size.cpu,
                delay_ms,
                taken,
            });
        }
        places.sort_by(|a, b| a.price.total_cmp(&b.price).then(a.ix.cmp(&b.ix)));
        Plan {
            leader,
            clock,
            places,
            used: MachineSet::default(),
            gang_taken: MachineSet::default(),
            booked: leader.fleet.open_bookings(),
            spare: BTreeMap::new(),
            wanted: BTreeMap::new(),
        }
    }

    fn lay_out(&mut self) {
        let leader = self.leader;
        let mut jobs: Vec<(bool, u64, JobIx, &Work)> = leader
            .work
            .iter()
            .map(|(ix, work)| (!work.info.together(), leader.time_left_ms(work, self.clock), *ix, work))
            .collect();
        jobs.sort_by_key(|(array, left, ix, work)| (*array, work.info.urgency, *left, *ix));
        for (array, left, ix, work) in jobs {
            if array {
                self.array(work, left);
            } else {
                self.gang(ix, work);
            }
        }
    }

    fn gang(&mut self, ix: JobIx, work: &Work) {
        let leader = self.leader;
        if !leader.gangs.contains(&work.rank) {
            return;
        }
        let mut need = ZoneNeed::new(work);
        if work.info.one_zone && need.only.is_none() {
            need.only = self.best_zone(ix, work);
        }
        for place in &mut self.places {
            if need.missing == 0 {
                break;
            }
            let machine = &leader.machines[place.ix.at()];
            if self.gang_taken.contains(place.ix)
                || !work.info.allows(machine.kind, machine.zone, machine.spot)
            {
                continue;
            }
            let took = need.take(machine.zone, leader.gang_slots(ix, work, place.ix));
            if took > 0 {
                self.gang_taken.insert(place.ix);
                self.used.insert(place.ix);
                place.taken += work.info.need.cpu * took * work.length_ms() / 1000;
            }
        }
        self.use_booked(work, |zone, kind| need.take(zone, work.info.need.count_in(&kind.size)) > 0);
        // What fails wherever it is tried is worth no new machines.
        while need.missing > 0 && !work.at_fault() {
            let Some(offer) = leader.best_offer(work, self.clock, |zone| need.room(zone) > 0) else { return };
            let Some(kind) = leader.kinds.get(&offer.kind) else { return };
            need.take(offer.zone, work.info.need.count_in(&kind.size).max(1));
            *self.wanted.entry(offer).or_default() += 1;
        }
    }

    /// For a job that must stay in one zone: the one that has most room for it already,
    /// or can still get it.
    fn best_zone(&self, ix: JobIx, work: &Work) -> Option<ZoneIx> {
        let mut room: BTreeMap<ZoneIx, u64> = BTreeMap::new();
        for place in &self.places {
            let machine = &self.leader.machines[place.ix.at()];
            let slots = self.leader.gang_slots(ix, work, place.ix);
            if !self.gang_taken.contains(place.ix) && slots > 0 {
                *room.entry(machine.zone).or_default() += slots;
            }
        }
        let all = u64::from(work.left());
        let offered =
            |zone: ZoneIx| self.leader.best_offer(work, self.clock, |other| other == zone).is_some();
        let able = room.into_iter().filter(|(zone, slots)| *slots >= all || offered(*zone));
        let best = able.max_by_key(|(_, slots)| (*slots).min(all)).map(|(zone, _)| zone);
        best.or_else(|| self.leader.best_offer(work, self.clock, |_| true).map(|offer| offer.zone))
    }

    /// Machines asked for already count as coming; `take` says whether one more is of use.
    fn use_booked(&mut self, work: &Work, mut take: impl FnMut(ZoneIx, &Kind) -> bool) {
        for (offer, count) in &mut self.booked {
            let Some(kind) = self.leader.kinds.get(&offer.kind) else { continue };
            let fits = work.info.need.fits(&kind.size);
            if !fits || !work.info.allows(offer.kind, offer.zone, offer.spot) {
                continue;
            }
            while *count > 0 && take(offer.zone, kind) {
                *count -= 1;
                *self.wanted.entry(*offer).or_default() += 1;
            }
        }
    }

    fn array(&mut self, work: &Work, left_ms: u64) {
        let leader = self.leader;
        let waiting = work.waiting().min(leader.headroom_for(work));
        // Machines that run its tasks go on being needed.
        for (ix, _) in work.out.values().flatten() {
            self.used.insert(*ix);
        }
        if waiting == 0 {
            return;
        }
        let haste = leader.tunables.haste;
        let length = work.length_ms().max(1);
        let horizon = ((left_ms as f64 * haste) as u64).saturating_sub(length).max(LEAST_MS.max(length / 2));
        let cpu = work.info.need.cpu.max(1);
        let mut left = waiting * cpu * length / 1000;
        for place in &mut self.places {
            if left == 0 {
                break;
            }
            let machine = &leader.machines[place.ix.at()];
            let fits = work.info.need.fits(&machine.size);
            if !fits || !work.info.allows(machine.kind, machine.zone, machine.spot) {
                continue;
            }
            let part = left.min(place.room(horizon));
            if part > 0 {
                place.taken += part;
                left -= part;
                self.used.insert(place.ix);
            }
        }
        // New machines come late, and are paid for a minute at least: unless there is work
        // for that long, the machines there are the better choice.
        let does = |kind: &Kind| {
            let usable = horizon.max(PAID_MS).saturating_sub(kind.boot_ms).max(length);
            (kind.size.cpu * usable / 1000).max(1)
        };
        for (offer, spare) in &mut self.spare {
            if work.info.allows(offer.kind, offer.zone, offer.spot) {
                let part = left.min(*spare);
                *spare -= part;
                left -= part;
            }
        }
        self.use_booked(work, |_, kind| {
            let useful = left > 0;
            left = left.saturating_sub(does(kind));
            useful
        });
        let mut added = 0;
        while left > 0 && added < MOST_ADDED {
            let Some(offer) = leader.best_offer(work, self.clock, |_| true) else { return };
            let Some(kind) = leader.kinds.get(&offer.kind) else { return };
            let part = left.min(does(kind));
            *self.spare.entry(offer).or_default() += does(kind) - part;
            left -= part;
            added += 1;
            *self.wanted.entry(offer).or_default() += 1;
        }
    }
}
