//! How much of the fleet the work needs, by when the jobs should be done.
//!
//! Jobs are laid onto the machines in the order of their aims, cheapest machines
//! first. What is left over is rented; machines that nothing was laid on are parked:
//! they take no queued tasks, so that they run empty and can be returned.

use std::collections::{BTreeMap, HashMap};

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::machines::provisioner::InstanceOffer;
use crate::coordination::leader::{JobState, Leader, MachineState, MachineType};
use crate::ids::{JobIx, MachineIx, ZoneIx};
use crate::protocol::cloud::MAX_SCALE_OUT_COUNT;

/// Never plan for less than that, however late a job is already.
const MIN_HORIZON_MS: u64 = 10_000;
/// A rented machine is paid for at least that long.
pub const MIN_BILLED_MS: u64 = 60_000;
/// Machines one plan may add for a single job.
const MAX_ADDED_PER_JOB: u32 = 50;

/// Machines by their dense index. A plan asks and adds for every running task, which
/// hashing made a sixth of its time.
#[derive(Debug, Default)]
pub struct MachineSet(Vec<bool>);

impl MachineSet {
    pub fn insert(&mut self, ix: MachineIx) {
        if self.0.len() <= ix.index() {
            self.0.resize(ix.index() + 1, false);
        }
        self.0[ix.index()] = true;
    }

    pub fn contains(&self, ix: MachineIx) -> bool {
        self.0.get(ix.index()).copied().unwrap_or(false)
    }
}

/// A machine as the plan sees it.
struct PlannedMachine {
    ix: MachineIx,
    price: f64,
    cpu: u64,
    /// Not usable before that.
    available_in_ms: u64,
    /// CPU milliseconds already spoken for.
    reserved_cpu_ms: u64,
}

impl PlannedMachine {
    fn free_cpu_ms(&self, horizon_ms: u64) -> u64 {
        (self.cpu * horizon_ms.saturating_sub(self.available_in_ms) / 1000)
            .saturating_sub(self.reserved_cpu_ms)
    }
}

struct CapacityPlan<'a> {
    leader: &'a Leader,
    clock: Clock,
    planned_machines: Vec<PlannedMachine>,
    needed_machines: MachineSet,
    gang_machines: MachineSet,
    pending: BTreeMap<InstanceOffer, u32>,
    /// Work that one more machine of an offer, wanted already, can still take.
    spare_capacity: BTreeMap<InstanceOffer, u64>,
    wanted_offers: BTreeMap<InstanceOffer, u32>,
}

impl Leader {
    /// How many machines of which sort the waiting work needs beyond those there.
    pub fn plan_capacity(&mut self, clock: Clock, cache: &StoreCache) {
        self.remove_settled_requests(clock);
        if self.cluster.machine_types.is_empty() {
            return;
        }
        self.update_guaranteed_jobs();
        self.update_past_slo_jobs(clock);
        self.update_headroom(clock);
        if self.tunables.overload.preemption {
            self.preempt_for_waiting_arrays(clock);
        }
        let mut plan = CapacityPlan::new(self, clock);
        plan.assign_jobs();
        let (needed, wanted_offers) = (plan.needed_machines, plan.wanted_offers);
        self.update_cordons(&needed);
        self.provisioner.needed_machines = needed;
        let pending = self.provisioner.pending_requests();
        for (offer, count) in wanted_offers {
            let already_pending = pending.get(&offer).copied().unwrap_or(0);
            if count > already_pending {
                self.create_provisioning_request(
                    offer,
                    (count - already_pending).min(MAX_SCALE_OUT_COUNT),
                    cache,
                );
            }
        }
    }

    fn update_cordons(&mut self, needed: &MachineSet) {
        for at in 0..self.cluster.machines.len() {
            let ix = MachineIx(at as u32);
            let cordoned = !needed.contains(ix);
            if cordoned == self.cluster.machines[at].cordoned {
                continue;
            }
            self.cluster.machines[at].cordoned = cordoned;
            self.refresh_placement_index(ix);
            if cordoned {
                self.requeue_machine_queues(ix);
            }
        }
    }

    /// Until when, from now, a job should be through, by its class's aim or its deadline.
    pub fn time_left_ms(&self, work: &JobState, clock: Clock) -> u64 {
        let age = clock.wall_ms.saturating_sub(work.spec.accepted_wall_ms);
        let due = work.spec.slo_wall_ms.map(|due| due.saturating_sub(clock.wall_ms));
        let slo = self.slos.completion_slos.get(&work.spec.class).and_then(|aims| aims.first());
        let slo_left_ms = slo.map(|aim| aim.saturating_sub(age));
        let fallback = (self.tunables.queue_drain_target_s * 1000.0) as u64 + work.expected_run_ms();
        if self.is_past_slo(work, clock) {
            // Nothing is won by renting for it as if its aim were about to pass.
            return fallback;
        }
        due.into_iter().chain(slo_left_ms).min().unwrap_or(fallback)
    }

    /// Every aim of the job has passed: it must not sink those that can still make it.
    pub fn is_past_slo(&self, work: &JobState, clock: Clock) -> bool {
        let age = clock.wall_ms.saturating_sub(work.spec.accepted_wall_ms);
        let due = work.spec.slo_wall_ms.is_some_and(|due| due < clock.wall_ms);
        due || self.longest_slo_ms(work).is_some_and(|last| last < age)
    }

    /// Within what time of its acceptance a job of the class should be done at the latest.
    pub fn longest_slo_ms(&self, work: &JobState) -> Option<u64> {
        self.slos.completion_slos.get(&work.spec.class)?.last().copied()
    }

    /// CPU milliseconds that a task still needs, as far as can be told.
    pub fn remaining_cpu_ms(&self, binding: &crate::coordination::leader::Binding, clock: Clock) -> u64 {
        let Some(work) = binding.job.and_then(|job| self.workload.jobs.get(&job)) else { return 0 };
        let ran = binding.running_since.map_or(0, |since| clock.now.saturating_since(since));
        binding.need.cpu * work.expected_run_ms().saturating_sub(ran).max(1000) / 1000
    }

    /// Tasks of a gang that a machine has room for, its own hold counted in.
    fn gang_capacity(&self, job: JobIx, work: &JobState, ix: MachineIx) -> u64 {
        let machine = &self.cluster.machines[ix.index()];
        let held = machine.hold.is_some_and(|hold| hold.job == job);
        let free = if held { machine.capacity } else { machine.free() };
        if work.failed_on.contains(&ix) { 0 } else { work.spec.task_resources.max_count_in(&free) }
    }

    pub fn price_per_cpu(&self, ix: MachineIx) -> f64 {
        let machine = &self.cluster.machines[ix.index()];
        let Some(kind) = self.cluster.machine_types.get(&machine.machine_type) else { return f64::MAX };
        let price = if machine.spot { kind.spot_price.unwrap_or(kind.price) } else { kind.price };
        price / kind.capacity.cpu.max(1) as f64
    }
}

/// Tasks of a gang or service that still need a place, and where they may go.
struct ZoneDemand {
    unplaced: u64,
    required_zone: Option<ZoneIx>,
    /// Most tasks in one zone, if they have to be scattered.
    max_per_zone: u64,
    placed_by_zone: HashMap<ZoneIx, u64>,
}

/// Of the zones where a job's tasks may be, the one with most of them: after a takeover others may be stale.
fn zone_with_most_tasks(zones: &HashMap<ZoneIx, u32>) -> Option<ZoneIx> {
    zones.iter().max_by_key(|(zone, count)| (**count, **zone)).map(|(zone, _)| *zone)
}

impl ZoneDemand {
    fn new(work: &JobState) -> ZoneDemand {
        let placed_by_zone: HashMap<ZoneIx, u64> =
            work.tasks_per_zone.iter().map(|(zone, count)| (*zone, u64::from(*count))).collect();
        ZoneDemand {
            unplaced: u64::from(work.unfinished_tasks()).saturating_sub(work.placements.len() as u64),
            required_zone: zone_with_most_tasks(&work.tasks_per_zone).filter(|_| work.spec.single_zone),
            max_per_zone: if work.spec.spread { u64::from(work.spec.tasks.div_ceil(2)) } else { u64::MAX },
            placed_by_zone,
        }
    }

    fn available(&self, zone: ZoneIx) -> u64 {
        if self.required_zone.is_some_and(|only| only != zone) {
            return 0;
        }
        self.max_per_zone
            .saturating_sub(self.placed_by_zone.get(&zone).copied().unwrap_or(0))
            .min(self.unplaced)
    }

    fn assign(&mut self, zone: ZoneIx, slots: u64) -> u64 {
        let assigned = slots.min(self.available(zone));
        *self.placed_by_zone.entry(zone).or_default() += assigned;
        self.unplaced -= assigned;
        assigned
    }
}

impl<'a> CapacityPlan<'a> {
    fn new(leader: &'a Leader, clock: Clock) -> CapacityPlan<'a> {
        let mut planned_machines = Vec::new();
        for (at, machine) in leader.cluster.machines.iter().enumerate() {
            let ix = MachineIx(at as u32);
            let kind = leader.cluster.machine_types.get(&machine.machine_type);
            let boot = kind.map_or(0, |kind| kind.boot_ms);
            let available_in_ms = match machine.state {
                MachineState::Up if machine.is_schedulable() || !machine.token_acknowledged => 0,
                // Later than usual: nobody should count on it for long.
                MachineState::Booting if !machine.returning && !leader.is_boot_overdue(machine, clock) => {
                    boot.saturating_sub(clock.now.saturating_since(machine.created_at)).max(5_000)
                }
                _ => continue,
            };
            let reserved_cpu_ms =
                machine.bindings.iter().map(|binding| leader.remaining_cpu_ms(binding, clock)).sum();
            planned_machines.push(PlannedMachine {
                ix,
                price: leader.price_per_cpu(ix),
                cpu: machine.capacity.cpu,
                available_in_ms,
                reserved_cpu_ms,
            });
        }
        planned_machines.sort_by(|a, b| a.price.total_cmp(&b.price).then(a.ix.cmp(&b.ix)));
        CapacityPlan {
            leader,
            clock,
            planned_machines,
            needed_machines: MachineSet::default(),
            gang_machines: MachineSet::default(),
            pending: leader.provisioner.pending_requests(),
            spare_capacity: BTreeMap::new(),
            wanted_offers: BTreeMap::new(),
        }
    }

    fn assign_jobs(&mut self) {
        let leader = self.leader;
        let mut jobs: Vec<(bool, u64, JobIx, &JobState)> = leader
            .workload
            .jobs
            .iter()
            .map(|(ix, work)| {
                (!work.spec.is_all_or_nothing(), leader.time_left_ms(work, self.clock), *ix, work)
            })
            .collect();
        jobs.sort_by_key(|(array, left, ix, work)| (*array, work.spec.urgency, *left, *ix));
        for (array, left, ix, work) in jobs {
            if array {
                self.assign_array(work, left);
            } else {
                self.assign_gang(ix, work);
            }
        }
    }

    fn assign_gang(&mut self, ix: JobIx, work: &JobState) {
        let leader = self.leader;
        if !leader.placement.waiting_gangs.contains(&work.queue_order) {
            return;
        }
        let mut demand = ZoneDemand::new(work);
        if work.spec.single_zone && demand.required_zone.is_none() {
            demand.required_zone = self.choose_zone(ix, work);
        }
        for place in &mut self.planned_machines {
            if demand.unplaced == 0 {
                break;
            }
            let machine = &leader.cluster.machines[place.ix.index()];
            if self.gang_machines.contains(place.ix)
                || !work.spec.allows(machine.machine_type, machine.zone, machine.spot)
            {
                continue;
            }
            let assigned = demand.assign(machine.zone, leader.gang_capacity(ix, work, place.ix));
            if assigned > 0 {
                self.gang_machines.insert(place.ix);
                self.needed_machines.insert(place.ix);
                place.reserved_cpu_ms +=
                    work.spec.task_resources.cpu * assigned * work.expected_run_ms() / 1000;
            }
        }
        self.use_pending_requests(work, |zone, kind| {
            demand.assign(zone, work.spec.task_resources.max_count_in(&kind.capacity)) > 0
        });
        // What fails wherever it is tried is worth no new machines.
        while demand.unplaced > 0 && !work.is_at_fault() {
            let Some(offer) = leader.cheapest_offer(work, self.clock, |zone| demand.available(zone) > 0)
            else {
                return;
            };
            let Some(kind) = leader.cluster.machine_types.get(&offer.machine_type) else { return };
            demand.assign(offer.zone, work.spec.task_resources.max_count_in(&kind.capacity).max(1));
            *self.wanted_offers.entry(offer).or_default() += 1;
        }
    }

    /// For a job that must stay in one zone: the one that has most room for it already,
    /// or can still get it.
    fn choose_zone(&self, ix: JobIx, work: &JobState) -> Option<ZoneIx> {
        let mut room: BTreeMap<ZoneIx, u64> = BTreeMap::new();
        for place in &self.planned_machines {
            let machine = &self.leader.cluster.machines[place.ix.index()];
            let slots = self.leader.gang_capacity(ix, work, place.ix);
            if !self.gang_machines.contains(place.ix) && slots > 0 {
                *room.entry(machine.zone).or_default() += slots;
            }
        }
        let all = u64::from(work.unfinished_tasks());
        let offered =
            |zone: ZoneIx| self.leader.cheapest_offer(work, self.clock, |other| other == zone).is_some();
        let able = room.into_iter().filter(|(zone, slots)| *slots >= all || offered(*zone));
        let best = able.max_by_key(|(_, slots)| (*slots).min(all)).map(|(zone, _)| zone);
        best.or_else(|| self.leader.cheapest_offer(work, self.clock, |_| true).map(|offer| offer.zone))
    }

    /// Machines asked for already count as coming; `take` says whether one more is of use.
    fn use_pending_requests(
        &mut self,
        work: &JobState,
        mut try_use: impl FnMut(ZoneIx, &MachineType) -> bool,
    ) {
        for (offer, count) in &mut self.pending {
            let Some(kind) = self.leader.cluster.machine_types.get(&offer.machine_type) else { continue };
            let fits = work.spec.task_resources.fits_in(&kind.capacity);
            if !fits || !work.spec.allows(offer.machine_type, offer.zone, offer.spot) {
                continue;
            }
            while *count > 0 && try_use(offer.zone, kind) {
                *count -= 1;
                *self.wanted_offers.entry(*offer).or_default() += 1;
            }
        }
    }

    fn assign_array(&mut self, work: &JobState, left_ms: u64) {
        let leader = self.leader;
        let waiting = work.waiting_tasks().min(leader.best_effort_slots(work));
        // Machines that run its tasks go on being needed.
        for (ix, _) in work.placements.values().flatten() {
            self.needed_machines.insert(*ix);
        }
        if waiting == 0 {
            return;
        }
        let haste = leader.tunables.start_deadline_fraction;
        let length = work.expected_run_ms().max(1);
        let horizon =
            ((left_ms as f64 * haste) as u64).saturating_sub(length).max(MIN_HORIZON_MS.max(length / 2));
        let cpu = work.spec.task_resources.cpu.max(1);
        let mut left = waiting * cpu * length / 1000;
        for place in &mut self.planned_machines {
            if left == 0 {
                break;
            }
            let machine = &leader.cluster.machines[place.ix.index()];
            let fits = work.spec.task_resources.fits_in(&machine.capacity);
            if !fits || !work.spec.allows(machine.machine_type, machine.zone, machine.spot) {
                continue;
            }
            let share = left.min(place.free_cpu_ms(horizon));
            if share > 0 {
                place.reserved_cpu_ms += share;
                left -= share;
                self.needed_machines.insert(place.ix);
            }
        }
        // New machines come late, and are paid for a minute at least: unless there is work
        // for that long, the machines there are the better choice.
        let usable_cpu_ms = |kind: &MachineType| {
            let usable = horizon.max(MIN_BILLED_MS).saturating_sub(kind.boot_ms).max(length);
            (kind.capacity.cpu * usable / 1000).max(1)
        };
        for (offer, spare) in &mut self.spare_capacity {
            if work.spec.allows(offer.machine_type, offer.zone, offer.spot) {
                let share = left.min(*spare);
                *spare -= share;
                left -= share;
            }
        }
        self.use_pending_requests(work, |_, kind| {
            let useful = left > 0;
            left = left.saturating_sub(usable_cpu_ms(kind));
            useful
        });
        let mut added = 0;
        while left > 0 && added < MAX_ADDED_PER_JOB {
            let Some(offer) = leader.cheapest_offer(work, self.clock, |_| true) else { return };
            let Some(kind) = leader.cluster.machine_types.get(&offer.machine_type) else { return };
            let share = left.min(usable_cpu_ms(kind));
            *self.spare_capacity.entry(offer).or_default() += usable_cpu_ms(kind) - share;
            left -= share;
            added += 1;
            *self.wanted_offers.entry(offer).or_default() += 1;
        }
    }
}
