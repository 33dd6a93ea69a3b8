//! Room for array tasks that may stop others: less urgent ones, or what other teams have borrowed while the own one is
//! within its guarantee.
//!
//! Queues give such tasks the next room that comes free. Where long tasks hold all of it none does for minutes, so a few
//! of those are stopped: only where what is lost is far less than what they would still take.

use crate::coordination::Clock;
use crate::coordination::leader::placement::gang_search::{
    PreemptionCost, PreemptionPolicy, RECLAIM_DELAY_MS,
};
use crate::coordination::leader::{Binding, JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::PriorityClass;

/// Tasks that one look stops at most, and jobs that it looks for room for.
const MAX_PREEMPTIONS_PER_PASS: usize = 128;
const MAX_JOBS_PER_PASS: usize = 4;
/// A task that ends within so long is waited for: where all do, room comes free all the time. With a quarter of that, a
/// guest's tasks of half a minute were stopped 5,058 times on one day, and its array never ended.
const MIN_REMAINING_MS: u64 = 60_000;
/// What it still takes must be worth so many times what is lost by stopping it.
const MIN_GAIN_RATIO: u64 = 3;

/// For whom room is being made: work of that urgency, and perhaps only what a guarantee covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptorPriority {
    urgency: PriorityClass,
    guaranteed: bool,
}

impl PreemptorPriority {
    /// Of several only what comes after all of them is kept off.
    fn lowest(self, other: PreemptorPriority) -> PreemptorPriority {
        PreemptorPriority {
            urgency: self.urgency.max(other.urgency),
            guaranteed: self.guaranteed && other.guaranteed,
        }
    }
}

/// A task that may be stopped: work lost for each of its CPUs, in milliseconds, and where it is.
type Victim = (u64, MachineIx, usize, PreemptionCost);

impl Leader {
    /// Stops tasks for arrays that have waited a while and find no room.
    pub fn preempt_for_waiting_arrays(&mut self, clock: Clock) {
        self.recount_stopping();
        let mut jobs: Vec<JobIx> = self
            .workload
            .jobs
            .iter()
            .filter(|(_, work)| is_long_waiting_array(work, clock))
            .map(|(ix, _)| *ix)
            .collect();
        jobs.sort_by_key(|ix| self.workload.jobs.get(ix).map(|work| self.queue_order(&work.queue_order)));
        let mut becoming_free = self.cpu_becoming_free();
        let mut preemptions_left = MAX_PREEMPTIONS_PER_PASS;
        let mut jobs_tried = 0;
        self.placement.preemption_state = None;
        for ix in jobs {
            let Some((need, stops, tasks)) = self.array_preemption_request(ix) else { continue };
            let wanted = need.saturating_mul(tasks);
            let covered = wanted.min(becoming_free);
            becoming_free -= covered;
            let tasks_lacking = (wanted - covered) / need.max(1);
            if tasks_lacking == 0 {
                continue;
            }
            if preemptions_left == 0 || jobs_tried == MAX_JOBS_PER_PASS {
                return;
            }
            jobs_tried += 1;
            let stopped = self.preempt_for_array(ix, need * tasks_lacking, stops, preemptions_left, clock);
            preemptions_left -= stopped;
            if let Some(work) = self.workload.jobs.get(&ix).filter(|_| stopped > 0) {
                let guaranteed = self.placement.priority_inputs.get(ix).guaranteed;
                let preemptor = PreemptorPriority { urgency: work.spec.urgency, guaranteed };
                self.placement.preemption_state =
                    Some(self.placement.preemption_state.map_or(preemptor, |other| other.lowest(preemptor)));
            }
        }
    }

    /// Room is being made for more urgent work: what was stopped for it does not begin there again.
    pub fn yields_to_preemptor(&self, job: JobIx, work: &JobState) -> bool {
        let inputs = self.placement.priority_inputs.get(job);
        let yields = |claimed: PreemptorPriority| {
            work.spec.urgency > claimed.urgency || (claimed.guaranteed && !inputs.guaranteed)
        };
        self.placement.preemption_state.is_some_and(yields)
            && !work.spec.is_all_or_nothing()
            && !inputs.below_minimum_share
    }

    /// CPUs of a task, whom the job may stop, and for how many of its tasks.
    fn array_preemption_request(&self, ix: JobIx) -> Option<(u64, PreemptionPolicy, u64)> {
        let work = self.workload.jobs.get(&ix)?;
        let need = work.spec.task_resources;
        let max_tasks = work.waiting_tasks().min(MAX_PREEMPTIONS_PER_PASS as u64);
        let covered = |tasks: &u64| self.within_guarantee(work.spec.team, &need.saturating_mul(*tasks));
        let (tasks, borrowed) = match (1..=max_tasks).rev().find(covered) {
            Some(tasks) => (tasks, self.borrowed_by_others(work.spec.team)),
            None => (max_tasks, Default::default()),
        };
        let fits = self.within_quota(work.spec.team, &need);
        fits.then(|| (need.cpu, PreemptionPolicy::new(work, borrowed), tasks))
    }

    /// CPUs that are free for queued tasks, or are being freed.
    fn cpu_becoming_free(&self) -> u64 {
        let free =
            self.cluster.placement_index.queue_eligible().iter().map(|ix| &self.cluster.machines[ix.index()]);
        let free = free.filter(|machine| machine.hold.is_none()).map(|machine| machine.free().cpu);
        free.sum::<u64>() + self.total_stopping().cpu
    }

    /// Stops tasks worth so many CPUs, those first that lose least. Returns how many it stopped.
    fn preempt_for_array(
        &mut self,
        ix: JobIx,
        cpu_needed: u64,
        mut policy: PreemptionPolicy,
        max_stopped: usize,
        clock: Clock,
    ) -> usize {
        let mut victims = self.preemption_victims(ix, &policy, clock);
        victims.sort_unstable_by_key(|(lost, ix, at, _)| (*lost, *ix, *at));
        let (mut freed, mut stopped) = (0, 0);
        for (_, machine, at, loss) in victims {
            if freed >= cpu_needed || stopped == max_stopped {
                break;
            }
            if policy.reclaim(&loss) {
                freed += self.cluster.machines[machine.index()].bindings[at].need.cpu;
                stopped += 1;
                self.stop_task(machine, at, JobEventKind::StoppedForPreemption);
                self.counters.preempted_tasks += 1;
            }
        }
        stopped
    }

    fn preemption_victims(&self, ix: JobIx, policy: &PreemptionPolicy, clock: Clock) -> Vec<Victim> {
        let Some(work) = self.workload.jobs.get(&ix) else { return Vec::new() };
        let mut victims = Vec::new();
        for machine in self
            .cluster
            .placement_index
            .queue_eligible()
            .iter()
            .copied()
            .filter(|machine| self.is_eligible(*machine, work))
        {
            for (at, binding) in self.cluster.machines[machine.index()].bindings.iter().enumerate() {
                if let Some(loss) = self.preemption_cost_if_worthwhile(binding, policy, clock) {
                    victims.push((loss.lost_work / binding.need.cpu.max(1), machine, at, loss));
                }
            }
        }
        victims
    }

    /// A gang is never stopped for a task of an array: too much goes with it.
    fn preemption_cost_if_worthwhile(
        &self,
        binding: &Binding,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Option<PreemptionCost> {
        let info = &self.workload.jobs.get(&binding.job?)?.spec;
        if binding.stop_grace_ms.is_some() || info.is_all_or_nothing() {
            return None;
        }
        let remaining_ms = self.remaining_cpu_ms(binding, clock) * 1000 / binding.need.cpu.max(1);
        let loss = self.preemption_cost(binding, policy, clock)?;
        let is_worthwhile = remaining_ms > MIN_REMAINING_MS
            && remaining_ms > MIN_GAIN_RATIO * (loss.lost_work / binding.need.cpu.max(1));
        is_worthwhile.then_some(loss)
    }
}

/// It waits, and has waited for a while.
fn is_long_waiting_array(work: &JobState, clock: Clock) -> bool {
    let waited = clock.wall_ms.saturating_sub(work.spec.accepted_wall_ms);
    work.has_waiting_tasks() && !work.spec.is_all_or_nothing() && waited >= RECLAIM_DELAY_MS
}
