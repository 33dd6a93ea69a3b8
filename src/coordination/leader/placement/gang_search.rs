//! Where a gang or service could go: over the machines that fit its tasks, by their types and zones, and not again
//! before there is more room than when nothing was found.

use std::collections::HashMap;

use olivelatch_admission::borrowed::{BorrowedCapacity, QuotaAmount};

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::Clock;
use crate::coordination::leader::placement::gangs::PlacementMethod;
use crate::coordination::leader::{Binding, JobState, Leader, Machine};
use crate::ids::{JobIx, MachineIx, MachineTypeIx, Millis, Resources, TeamIx, ZoneIx};
use crate::protocol::users::{JobKind, PriorityClass};

/// Machines for all tasks, and what the dearest of them costs in milliseconds.
pub type GangPlacement = (u64, Vec<MachineIx>);

/// A team waits so long for room before it claims back what it has lent.
pub const RECLAIM_DELAY_MS: u64 = 2_000;
/// About what a gang takes to be placed, fetch and gather once more.
const GANG_RESTART_MS: u64 = 10_000;
/// Until a halt has reached a worker and its effect is known.
const STOP_LATENCY_MS: u64 = 500;
/// What was searched for in vain is searched for again then, whatever has changed: tasks come nearer to their ends, and
/// what is lent may be claimed after a while.
const SEARCH_CACHE_TTL_MS: u64 = 1_000;

/// What gangs have in common that fit into the same room: one search speaks for all of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GangSearchKey {
    need: Resources,
    machine_types: Option<Vec<MachineTypeIx>>,
    zone: Option<ZoneIx>,
    one_zone: bool,
    spread: bool,
    spot: bool,
    team: TeamIx,
    urgency: PriorityClass,
}

impl GangSearchKey {
    fn new(info: &JobSpec) -> GangSearchKey {
        GangSearchKey {
            need: info.task_resources,
            machine_types: info.machine_types.clone(),
            zone: info.zone,
            one_zone: info.single_zone,
            spread: info.spread,
            spot: info.allows_spot,
            team: info.team,
            urgency: info.urgency,
        }
    }
}

/// So many tasks found no room when room had grown so often.
#[derive(Debug, Clone, Copy)]
struct FailedSearch {
    count: usize,
    room_generation: u64,
    until: Millis,
}

/// Searches that found nothing. Room that is taken makes them no better, so they hold until room grows.
#[derive(Debug, Default)]
pub struct GangSearchCache(HashMap<GangSearchKey, FailedSearch>);

impl GangSearchCache {
    /// Would a search for so many tasks find nothing, as one before it did?
    pub fn is_known_failure(&self, work: &JobState, count: usize, room_generation: u64, now: Millis) -> bool {
        let failure = self.0.get(&GangSearchKey::new(&work.spec));
        failure.is_some_and(|vain| {
            count >= vain.count && now < vain.until && vain.room_generation == room_generation
        })
    }

    /// A gang that is kept from machines or zones by its own past speaks for itself only.
    pub fn record_failure(&mut self, work: &JobState, count: usize, room_generation: u64, now: Millis) {
        if !work.failed_on.is_empty() || !work.tasks_per_zone.is_empty() {
            return;
        }
        let failure = FailedSearch { count, room_generation, until: now.saturating_add(SEARCH_CACHE_TTL_MS) };
        self.0.retain(|_, vain| now < vain.until);
        self.0.insert(GangSearchKey::new(&work.spec), failure);
    }
}

/// Whom a job may stop to make room.
pub struct PreemptionPolicy {
    urgency: PriorityClass,
    team: TeamIx,
    /// What it may claim back of what other teams have borrowed.
    borrowed: BorrowedCapacity<TeamIx, JobIx>,
}

impl PreemptionPolicy {
    pub fn new(work: &JobState, borrowed: BorrowedCapacity<TeamIx, JobIx>) -> PreemptionPolicy {
        PreemptionPolicy { urgency: work.spec.urgency, team: work.spec.team, borrowed }
    }

    /// Whatever is claimed of lent room is there only once.
    pub fn reclaim(&mut self, loss: &PreemptionCost) -> bool {
        loss.borrowed_claim.is_none_or(|claim| claim.reclaim_from(&mut self.borrowed))
    }
}

/// A borrowed place that would be claimed back.
#[derive(Debug, Clone, Copy)]
struct BorrowedClaim {
    team: TeamIx,
    amount: QuotaAmount,
    whole_job: Option<JobIx>,
}

impl BorrowedClaim {
    /// Takes it off what is lent; false if so much is not lent any more.
    fn reclaim_from(&self, borrowed: &mut BorrowedCapacity<TeamIx, JobIx>) -> bool {
        borrowed.reclaim(self.team, self.amount, self.whole_job)
    }
}

/// What stopping a task costs.
pub struct PreemptionCost {
    /// How long it takes to save, in milliseconds.
    pub save_ms: u64,
    /// CPU milliseconds lost, in thousandths of CPUs.
    pub lost_work: u64,
    borrowed_claim: Option<BorrowedClaim>,
}

/// A machine that a gang could use: cost in milliseconds, tasks it has room for, whose places would be claimed.
type Candidate = (u64, u64, MachineIx, Vec<BorrowedClaim>);

impl Leader {
    /// A machine for each of `count` tasks, or None; room that can be made this way counts too.
    pub fn find_gang_placement(
        &self,
        job: JobIx,
        count: usize,
        method: PlacementMethod,
        clock: Clock,
    ) -> Option<GangPlacement> {
        let work = self.workload.jobs.get(&job)?;
        let placement_in = |zone| self.find_partial_placement(job, work, count, zone, method, clock);
        let all = self
            .gang_zones(work)
            .into_iter()
            .map(placement_in)
            .filter(|(_, machines)| machines.len() == count);
        all.min_by_key(|(cost, _)| *cost)
    }

    /// The zones to be tried one by one; None is all of them together.
    pub fn gang_zones(&self, work: &JobState) -> Vec<Option<ZoneIx>> {
        if !work.spec.single_zone {
            return vec![None];
        }
        let mut zones: Vec<ZoneIx> =
            self.cluster.machine_types.values().flat_map(|kind| kind.zones.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.into_iter().map(Some).collect()
    }

    /// Machines for as many of `count` tasks as there is room for.
    pub fn find_partial_placement(
        &self,
        job: JobIx,
        work: &JobState,
        count: usize,
        zone: Option<ZoneIx>,
        method: PlacementMethod,
        clock: Clock,
    ) -> GangPlacement {
        let policy = self.preemption_policy(work, clock);
        let candidates = self.candidates(job, work, zone, method, &policy, clock);
        self.choose_machines(work, count, candidates, policy.borrowed)
    }

    /// Machines with room for at least one task, those that cost least first.
    fn candidates(
        &self,
        job: JobIx,
        work: &JobState,
        zone: Option<ZoneIx>,
        method: PlacementMethod,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for ix in self.cluster.placement_index.open_matching(|kind, there| {
            zone.is_none_or(|zone| zone == there) && self.fits_machine_type(work, kind)
        }) {
            let machine = &self.cluster.machines[ix.index()];
            if !self.can_hold(machine, job, method)
                || (method == PlacementMethod::Free && !work.spec.task_resources.fits_in(&machine.free()))
            {
                continue;
            }
            if !self.is_eligible(ix, work) || !self.zone_rules_allow(ix, work) {
                continue;
            }
            let (room, cost, claims) = match method {
                PlacementMethod::Free => (machine.free(), 0, Vec::new()),
                PlacementMethod::Preempt => self.room_after_preemption(ix, work, policy, clock),
                PlacementMethod::Drain => self.room_after_drain(ix, work, clock),
            };
            let slots =
                work.spec.task_resources.max_count_in(&room).min(self.placement.max_tasks_per_record as u64);
            if slots > 0 {
                candidates.push((cost + self.image_fetch_ms(ix, work), slots, ix, claims));
            }
        }
        candidates.sort_by_key(|(cost, slots, ix, _)| (*cost, *slots, *ix));
        candidates
    }

    /// As many machines as it takes; what is claimed on all of them together must be lent.
    fn choose_machines(
        &self,
        work: &JobState,
        count: usize,
        candidates: Vec<Candidate>,
        mut borrowed: BorrowedCapacity<TeamIx, JobIx>,
    ) -> GangPlacement {
        let cap = if work.spec.spread { work.spec.tasks.div_ceil(2) } else { u32::MAX };
        let mut in_zone: HashMap<ZoneIx, u32> = work.tasks_per_zone.clone();
        let mut chosen = Vec::new();
        let mut delay = 0;
        for (cost, slots, ix, claims) in candidates {
            if chosen.len() == count {
                break;
            }
            let mut remaining = borrowed.clone();
            if !claims.iter().all(|claim| claim.reclaim_from(&mut remaining)) {
                continue;
            }
            let used = in_zone.entry(self.cluster.machines[ix.index()].zone).or_default();
            let take = slots.min(u64::from(cap.saturating_sub(*used))).min((count - chosen.len()) as u64);
            *used += take as u32;
            if take > 0 {
                delay = delay.max(cost);
                borrowed = remaining;
            }
            chosen.extend(std::iter::repeat_n(ix, take as usize));
        }
        (delay, chosen)
    }

    /// How often room has grown on machines of the types that its tasks fit.
    pub fn room_generation(&self, work: &JobState) -> u64 {
        self.cluster.placement_index.capacity_growth_count(|kind| self.fits_machine_type(work, kind))
    }

    /// The types that its tasks fit.
    pub fn machine_types_for(&self, work: &JobState) -> Vec<MachineTypeIx> {
        self.cluster
            .machine_types
            .keys()
            .copied()
            .filter(|kind| self.fits_machine_type(work, *kind))
            .collect()
    }

    pub fn fits_machine_type(&self, work: &JobState, machine_type: MachineTypeIx) -> bool {
        work.spec.allows_machine_type(machine_type)
            && self
                .cluster
                .machine_types
                .get(&machine_type)
                .is_none_or(|kind| work.spec.task_resources.fits_in(&kind.capacity))
    }

    /// Whoever may stop tasks need not wait for a machine that is only being drained.
    fn can_hold(&self, machine: &Machine, job: JobIx, method: PlacementMethod) -> bool {
        machine.hold.is_none_or(|hold| {
            hold.job == job || (method == PlacementMethod::Preempt && hold.method == PlacementMethod::Drain)
        })
    }

    fn image_fetch_ms(&self, ix: MachineIx, work: &JobState) -> u64 {
        let machine = &self.cluster.machines[ix.index()];
        if machine.has_image(work.spec.image) {
            return 0;
        }
        let rate =
            self.cluster.machine_types.get(&machine.machine_type).map_or(100.0, |kind| kind.fetch_mb_per_s);
        (work.spec.image_mb as f64 / rate.max(1.0) * 1000.0) as u64
    }

    /// Room for one task once enough of the machine's tasks have run to their ends, and how
    /// long that takes; none if it is longer than a machine may be held.
    fn room_after_drain(
        &self,
        ix: MachineIx,
        work: &JobState,
        clock: Clock,
    ) -> (Resources, u64, Vec<BorrowedClaim>) {
        let machine = &self.cluster.machines[ix.index()];
        let mut room = machine.free();
        let left = |binding: &Binding| self.remaining_cpu_ms(binding, clock) * 1000 / binding.need.cpu.max(1);
        let mut remaining_times: Vec<(u64, Resources)> =
            machine.bindings.iter().map(|b| (left(b), b.need)).collect();
        remaining_times.sort_by_key(|(ms, _)| *ms);
        let mut wait = 0;
        for (ms, need) in remaining_times {
            if work.spec.task_resources.fits_in(&room) {
                break;
            }
            room.add(&need);
            wait = ms;
        }
        let held_ms = (self.tunables.machine_hold_s * 1000.0) as u64;
        let room = if wait <= held_ms { room } else { Resources::default() };
        (room, wait, Vec::new())
    }

    /// Room on a machine once less urgent tasks have stopped, and what that costs in
    /// milliseconds: the wait for them to save, and the work that is lost.
    fn room_after_preemption(
        &self,
        ix: MachineIx,
        work: &JobState,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> (Resources, u64, Vec<BorrowedClaim>) {
        let machine = &self.cluster.machines[ix.index()];
        let mut room = machine.free();
        let (mut wait, mut lost_work) = (0, 0);
        let mut victims: Vec<(PreemptionCost, Resources)> = Vec::new();
        for binding in &machine.bindings {
            if binding.stop_grace_ms.is_some() {
                room.add(&binding.need);
                wait = wait.max(STOP_LATENCY_MS);
            } else if let Some(loss) = self.preemption_cost(binding, policy, clock) {
                victims.push((loss, binding.need));
            }
        }
        victims.sort_by_key(|(loss, _)| (loss.lost_work, loss.save_ms));
        let mut borrowed = policy.borrowed.clone();
        let mut claims = Vec::new();
        for (loss, need) in victims {
            if work.spec.task_resources.fits_in(&room) {
                break;
            }
            if !loss.borrowed_claim.is_none_or(|claim| claim.reclaim_from(&mut borrowed)) {
                continue;
            }
            claims.extend(loss.borrowed_claim);
            room.add(&need);
            wait = wait.max(loss.save_ms + STOP_LATENCY_MS);
            lost_work += loss.lost_work;
        }
        (room, wait + lost_work / work.spec.task_resources.cpu.max(1), claims)
    }

    /// Only less urgent work may be stopped, and what other teams have borrowed, to give this one its guarantee.
    pub fn preemption_policy(&self, work: &JobState, clock: Clock) -> PreemptionPolicy {
        // Renting costs less than lost work, so what is lent is claimed only after a while.
        let waited = clock.wall_ms.saturating_sub(work.spec.accepted_wall_ms);
        let all = work.spec.task_resources.saturating_mul(u64::from(work.unfinished_tasks()));
        let can_reclaim = waited >= RECLAIM_DELAY_MS && self.within_guarantee(work.spec.team, &all);
        let borrowed =
            if can_reclaim { self.borrowed_by_others(work.spec.team) } else { BorrowedCapacity::default() };
        PreemptionPolicy::new(work, borrowed)
    }

    /// What stopping the task costs; None if it must not be stopped.
    pub fn preemption_cost(
        &self,
        binding: &Binding,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Option<PreemptionCost> {
        let victim = self.workload.jobs.get(&binding.job?)?;
        let info = &victim.spec;
        // A gang stops as a whole, and what it has fetched and gathered is lost too: without
        // this, gangs that borrow were stopped again and again before they ran at all.
        let gang = info.kind == JobKind::Gang;
        let (all, restart_ms) = if gang { (u64::from(info.tasks), GANG_RESTART_MS) } else { (1, 0) };
        let claim = if info.urgency > policy.urgency {
            None
        } else {
            let stopped_amount = binding.need.saturating_mul(all);
            let reclaimed = QuotaAmount { cpu: stopped_amount.cpu, gpu: stopped_amount.gpu };
            if info.team == policy.team || !policy.borrowed.can_reclaim(info.team, reclaimed) {
                return None;
            }
            Some(BorrowedClaim {
                team: info.team,
                amount: reclaimed,
                whole_job: gang.then_some(binding.job?),
            })
        };
        let lost_work = |ms: u64| binding.need.cpu * (ms + restart_ms) * all;
        if info.checkpoint_interval_ms > 0 && binding.running_since.is_some() {
            return Some(PreemptionCost {
                save_ms: info.checkpoint_save_ms,
                lost_work: lost_work(info.checkpoint_save_ms),
                borrowed_claim: claim,
            });
        }
        let since = binding.running_since.or(binding.fetching_since);
        Some(PreemptionCost {
            save_ms: 0,
            lost_work: lost_work(since.map_or(0, |since| clock.now.saturating_since(since))),
            borrowed_claim: claim,
        })
    }
}
