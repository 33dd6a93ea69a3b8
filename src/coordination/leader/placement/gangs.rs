//! Gangs and services: placed first, all or nothing; room is made by urgency.

use std::collections::{BTreeMap, HashSet};

use crate::coordination::Clock;
use crate::coordination::leader::placement::gang_search::PreemptionCost;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::reserved_machines::GangDemandByType;
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{JobIx, MachineIx, Millis, Resources};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

/// How a machine gets room for a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementMethod {
    Free,
    /// Less urgent or borrowing tasks are stopped.
    Preempt,
    /// Its tasks run to their ends, and no other starts.
    Drain,
}

/// A machine that takes no queued tasks, because a gang waits for its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub job: JobIx,
    pub until: Millis,
    pub method: PlacementMethod,
}

/// Added to the grace of a halt, so that a save has time to end.
const SAVE_GRACE_MS: u64 = 2000;

impl Leader {
    pub fn place_gangs(&mut self, clock: Clock) {
        self.recount_stopping();
        let ranks = self.gang_order();
        let holders: HashSet<JobIx> =
            self.placement.held_machines.iter().filter_map(|ix| self.holding_job(*ix)).collect();
        let mut gang_demand = GangDemandByType::default();
        for rank in ranks {
            let Some(work) = self.workload.jobs.get(&rank.job) else {
                self.placement.waiting_gangs.remove(&rank);
                continue;
            };
            let tasks = unplaced_tasks(work);
            if tasks.is_empty() {
                self.placement.waiting_gangs.remove(&rank);
                continue;
            }
            // A gang's old attempt must be gone before the next is placed.
            let has_old_attempt = work.spec.kind == JobKind::Gang && !work.placements.is_empty();
            let total_need = work.spec.task_resources.saturating_mul(tasks.len() as u64);
            let pool_allows = self.pool_has_room(work, tasks.len() as u32);
            if has_old_attempt || !pool_allows || !self.within_quota(work.spec.team, &total_need) {
                continue;
            }
            let is_holding = holders.contains(&rank.job);
            let known_failure = !is_holding
                && self.placement.gang_search_cache.is_known_failure(
                    work,
                    tasks.len(),
                    self.room_generation(work),
                    clock.now,
                );
            if (known_failure || !self.place_gang(rank, &tasks, is_holding, clock))
                && let Some(work) = self.workload.jobs.get(&rank.job)
            {
                self.record_gang_demand(work, tasks.len(), &mut gang_demand);
            }
        }
        self.reserve_scarce_machines(&gang_demand);
    }

    fn holding_job(&self, ix: MachineIx) -> Option<JobIx> {
        self.cluster.machines[ix.index()].hold.map(|hold| hold.job)
    }

    /// False if it can only wait for others' tasks to end.
    fn place_gang(&mut self, rank: Rank, tasks: &[u32], is_holding: bool, clock: Clock) -> bool {
        let count = tasks.len();
        // Room that is free may be dearer than room to be made: an image has to be fetched.
        self.counters.gang_searches += 2;
        let free = self.find_gang_placement(rank.job, count, PlacementMethod::Free, clock);
        if free.is_none() && self.workload.jobs.get(&rank.job).is_some_and(JobState::is_at_fault) {
            // It has failed wherever it was tried: nobody is stopped and no machine held for it.
            return true;
        }
        // Waiting for others' ends is for those that may stop nobody.
        let after_preemption = self.find_gang_placement(rank.job, count, PlacementMethod::Preempt, clock);
        match (free, after_preemption) {
            (Some((now, machines)), halted) if halted.as_ref().is_none_or(|(later, _)| now <= *later) => {
                self.start_gang(rank, tasks, &machines);
                return true;
            }
            (_, Some((_, machines))) => {
                self.make_room(rank, &machines, PlacementMethod::Preempt, clock);
                return true;
            }
            // Who holds machines already waits for their room, not for still others.
            (_, None) if is_holding => {}
            (_, None) => {
                self.counters.gang_searches += 1;
                match self.find_gang_placement(rank.job, count, PlacementMethod::Drain, clock) {
                    Some((_, machines)) => self.make_room(rank, &machines, PlacementMethod::Drain, clock),
                    None => {
                        let Some(work) = self.workload.jobs.get(&rank.job) else { return true };
                        let room_generation = self.room_generation(work);
                        self.placement.gang_search_cache.record_failure(
                            work,
                            count,
                            room_generation,
                            clock.now,
                        );
                    }
                }
            }
        }
        false
    }

    fn start_gang(&mut self, rank: Rank, tasks: &[u32], machines: &[MachineIx]) {
        let attempt = self.term.next_attempt();
        for (task, ix) in tasks.iter().zip(machines) {
            self.bind(*ix, rank.job, *task, attempt);
        }
        self.release_holds_of(rank.job);
        self.placement.waiting_gangs.remove(&rank);
    }

    /// Holds machines for a gang, and stops tasks on them if that is the way.
    fn make_room(&mut self, rank: Rank, machines: &[MachineIx], method: PlacementMethod, clock: Clock) {
        // Held already; but stopping tasks after all is better than waiting for their ends.
        let already_held = |ix: &MachineIx| {
            self.cluster.machines[ix.index()]
                .hold
                .is_some_and(|hold| hold.job == rank.job && hold.method <= method)
        };
        if self.placement.held_machines.iter().any(already_held) {
            return;
        }
        let Some(work) = self.workload.jobs.get(&rank.job) else {
            return;
        };
        let need = work.spec.task_resources;
        let until = clock.now.saturating_add((self.tunables.machine_hold_s * 1000.0) as u64);
        let mut tasks_per_machine: BTreeMap<MachineIx, u64> = BTreeMap::new();
        for ix in machines.iter().copied() {
            *tasks_per_machine.entry(ix).or_default() += 1;
        }
        for (ix, tasks) in tasks_per_machine {
            // Held first, so that what is dropped from it does not queue up there again.
            let previous_hold =
                self.cluster.machines[ix.index()].hold.replace(Hold { job: rank.job, until, method });
            if method == PlacementMethod::Preempt
                && !self.preempt_for_gang(ix, &need.saturating_mul(tasks), rank.job, clock)
            {
                self.cluster.machines[ix.index()].hold = previous_hold;
                continue;
            }
            self.placement.held_machines.insert(ix);
        }
    }

    /// Stops tasks until there is so much room. False if it cannot be had: nothing is stopped for less.
    fn preempt_for_gang(&mut self, ix: MachineIx, need: &Resources, job: JobIx, clock: Clock) -> bool {
        let Some(work) = self.workload.jobs.get(&job) else { return false };
        let machine = &self.cluster.machines[ix.index()];
        let mut room = machine.free();
        let mut policy = self.preemption_policy(work, clock);
        let mut victims: Vec<(PreemptionCost, usize)> = Vec::new();
        for (at, binding) in machine.bindings.iter().enumerate() {
            if binding.stop_grace_ms.is_some() {
                room.add(&binding.need);
            } else if let Some(loss) = self.preemption_cost(binding, &policy, clock) {
                victims.push((loss, at));
            }
        }
        victims.sort_by_key(|(loss, at)| (loss.lost_work, loss.save_ms, *at));
        let mut stopped = Vec::new();
        for (loss, at) in victims {
            if need.fits_in(&room) {
                break;
            }
            if policy.reclaim(&loss) {
                room.add(&machine.bindings[at].need);
                stopped.push(at);
            }
        }
        if !need.fits_in(&room) {
            return false;
        }
        for at in stopped {
            self.stop_task(ix, at, JobEventKind::StoppedForPreemption);
            self.counters.preempted_tasks += 1;
        }
        self.drop_unsent_bindings(ix, clock);
        true
    }

    /// Stops one task; one that saves gets the time for it. A gang stops as a whole.
    pub fn stop_task(&mut self, ix: MachineIx, at: usize, reason: JobEventKind) {
        let Some(job) = self.cluster.machines[ix.index()].bindings[at].job else {
            return;
        };
        let Some(work) = self.workload.jobs.get(&job) else {
            return;
        };
        let grace = if work.spec.checkpoint_interval_ms > 0 {
            work.spec.checkpoint_save_ms + SAVE_GRACE_MS
        } else {
            0
        };
        let task = self.cluster.machines[ix.index()].bindings[at].task;
        self.event_log.record(task.job, reason, Some(ix), task.task, 1);
        let (need, team) = (work.spec.task_resources, work.spec.team);
        if work.spec.kind != JobKind::Gang {
            self.cluster.machines[ix.index()].bindings[at].stop_grace_ms.get_or_insert(grace);
            self.quotas.stopping_usage.entry(team).or_default().add(&need);
            self.cluster.pending_announcements.insert(ix);
            self.cluster.placement_index.record_capacity_growth(ix);
            return;
        }
        let machines: Vec<MachineIx> = work.placements.values().flatten().map(|(ix, _)| *ix).collect();
        for ix in machines {
            for binding in &mut self.cluster.machines[ix.index()].bindings {
                if binding.job == Some(job) && binding.stop_grace_ms.is_none() {
                    binding.stop_grace_ms = Some(grace);
                    self.quotas.stopping_usage.entry(team).or_default().add(&need);
                }
            }
            self.cluster.pending_announcements.insert(ix);
            self.cluster.placement_index.record_capacity_growth(ix);
        }
    }

    /// A member left a gang that is not done: the others are of no use any more.
    pub fn on_gang_member_lost(&mut self, lost: &Binding) {
        let Some(job) = lost.job else { return };
        let Some(work) = self.workload.jobs.get(&job) else {
            return;
        };
        if work.spec.kind != JobKind::Gang || work.finished.is_full() {
            return;
        }
        let machines: Vec<MachineIx> = work.placements.values().flatten().map(|(ix, _)| *ix).collect();
        for ix in machines {
            for binding in &mut self.cluster.machines[ix.index()].bindings {
                if binding.job == Some(job) && binding.stop_grace_ms.is_none() {
                    binding.stop_grace_ms = Some(0);
                }
            }
            self.cluster.pending_announcements.insert(ix);
        }
    }

    pub fn release_expired_holds(&mut self, clock: Clock) {
        self.release_holds_where(|hold| hold.until <= clock.now);
    }

    pub fn release_holds_of(&mut self, job: JobIx) {
        self.release_holds_where(|hold| hold.job == job);
    }

    fn release_holds_where(&mut self, is_over: impl Fn(Hold) -> bool) {
        let held: Vec<MachineIx> = self.placement.held_machines.iter().copied().collect();
        for ix in held {
            let machine = &mut self.cluster.machines[ix.index()];
            if machine.hold.is_none_or(&is_over) {
                machine.hold = None;
                self.placement.held_machines.remove(&ix);
                self.cluster.placement_index.mark_to_fill(ix);
            }
        }
    }

    /// The machine is taken back soon: what can be saved is saved.
    pub fn on_interruption_notice(&mut self, ix: MachineIx, notice_ms: u64) {
        for at in 0..self.cluster.machines[ix.index()].bindings.len() {
            let binding = &self.cluster.machines[ix.index()].bindings[at];
            let can_save = binding.job.and_then(|job| self.workload.jobs.get(&job)).is_some_and(|work| {
                work.spec.checkpoint_interval_ms > 0
                    && work.spec.checkpoint_save_ms + SAVE_GRACE_MS <= notice_ms
            });
            let unsent = matches!(binding.dispatch, DispatchState::Planned | DispatchState::Recorded);
            if can_save || unsent {
                self.stop_task(ix, at, JobEventKind::StoppedForDrain);
            }
        }
        self.requeue_machine_queues(ix);
    }
}

pub fn unplaced_tasks(work: &JobState) -> Vec<u32> {
    work.finished.iter_missing().filter(|task| !work.placements.contains_key(task)).collect()
}
