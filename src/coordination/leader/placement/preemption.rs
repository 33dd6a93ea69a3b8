//! Preemption for array jobs. An array job may stop tasks that are less urgent and, while its own team is within its
//! guarantee, tasks that use capacity borrowed by other teams.
//!
//! Queues give such jobs the next capacity that becomes free. When long tasks occupy all of it, none becomes free for
//! minutes. Then a few of these tasks are stopped, but only those for which the lost work is far less than their
//! remaining run time.

use crate::coordination::Clock;
use crate::coordination::leader::placement::preemption_cost::{
    PreemptionCost, PreemptionPolicy, has_waited_to_reclaim,
};
use crate::coordination::leader::{Binding, JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::PriorityClass;

/// Maximum number of tasks that one pass stops.
const MAX_PREEMPTIONS_PER_PASS: usize = 128;
/// Maximum number of jobs for which one pass stops tasks.
const MAX_JOBS_PER_PASS: usize = 4;
/// Tasks whose remaining run time is at most this are not stopped: if all tasks are that short, capacity becomes free
/// all the time. With a quarter of this value, tasks of half a minute on borrowed capacity were stopped 5,058 times on
/// one day, and their array never completed.
const MIN_REMAINING_MS: u64 = 60_000;
/// The remaining run time of a task must be more than this many times the time lost by stopping it.
const MIN_GAIN_RATIO: u64 = 3;

/// The priority of the jobs for which tasks are being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreemptorPriority {
    priority_class: PriorityClass,
    /// All of these jobs fit into their teams' guarantees.
    guaranteed: bool,
}

impl PreemptorPriority {
    /// Combines two priorities into the lower one, so that only jobs that come after all preemptors have to yield.
    fn lowest(self, other: PreemptorPriority) -> PreemptorPriority {
        PreemptorPriority {
            priority_class: self.priority_class.max(other.priority_class),
            guaranteed: self.guaranteed && other.guaranteed,
        }
    }
}

/// The capacity that an array job requests through preemption.
struct PreemptionRequest {
    /// CPUs of one task, in thousandths.
    task_cpu: u64,
    /// Number of tasks that need capacity.
    tasks: u64,
    policy: PreemptionPolicy,
}

/// A task that may be stopped.
struct Candidate {
    /// Work lost per CPU of the task, in milliseconds.
    lost_ms: u64,
    machine_ix: MachineIx,
    binding_index: usize,
    cost: PreemptionCost,
}

impl Leader {
    /// Stops tasks for array jobs that have waited long enough to reclaim and for which too little capacity becomes
    /// free.
    pub(in crate::coordination::leader) fn preempt_for_waiting_arrays(&mut self, clock: Clock) {
        self.recount_stopping();
        let mut becoming_free = self.cpu_becoming_free();
        let mut preemptions_left = MAX_PREEMPTIONS_PER_PASS;
        let mut jobs_tried = 0;
        self.placement.preemptor_priority = None;
        for job_ix in self.long_waiting_arrays(clock) {
            let Some(request) = self.array_preemption_request(job_ix) else { continue };
            let wanted = request.task_cpu.saturating_mul(request.tasks);
            let covered = wanted.min(becoming_free);
            becoming_free -= covered;
            let tasks_lacking = (wanted - covered) / request.task_cpu.max(1);
            if tasks_lacking == 0 {
                continue;
            }
            if preemptions_left == 0 || jobs_tried == MAX_JOBS_PER_PASS {
                return;
            }
            jobs_tried += 1;
            let cpu_needed = request.task_cpu * tasks_lacking;
            let stopped = self.preempt_for_array(job_ix, cpu_needed, request.policy, preemptions_left, clock);
            preemptions_left -= stopped;
            if stopped > 0 {
                self.add_preemptor(job_ix);
            }
        }
    }

    /// Returns the array jobs that have waited long enough to reclaim, in the order of service.
    fn long_waiting_arrays(&self, clock: Clock) -> Vec<JobIx> {
        let waiting = self.workload.jobs.iter().filter(|(_, job)| is_long_waiting_array(job, clock));
        let mut jobs: Vec<(JobIx, &JobState)> = waiting.map(|(ix, job)| (*ix, job)).collect();
        jobs.sort_by_key(|(_, job)| self.queue_order(&job.rank));
        jobs.into_iter().map(|(ix, _)| ix).collect()
    }

    fn add_preemptor(&mut self, job_ix: JobIx) {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return };
        let guaranteed = self.placement.priority_inputs.get(job_ix).guaranteed;
        let preemptor = PreemptorPriority { priority_class: job.spec.priority_class, guaranteed };
        let current = &mut self.placement.preemptor_priority;
        *current = Some(current.map_or(preemptor, |other| other.lowest(preemptor)));
    }

    /// Returns whether the job must not start tasks because tasks are being stopped for jobs of higher priority: it
    /// would take the capacity that becomes free. Gangs, services and jobs of team classes below their minimum share
    /// do not yield.
    pub(super) fn yields_to_preemptor(&self, job_ix: JobIx, job: &JobState) -> bool {
        let inputs = self.placement.priority_inputs.get(job_ix);
        let yields_to = |preemptor: PreemptorPriority| {
            job.spec.priority_class > preemptor.priority_class || (preemptor.guaranteed && !inputs.guaranteed)
        };
        self.placement.preemptor_priority.is_some_and(yields_to)
            && !job.spec.is_all_or_nothing()
            && !inputs.below_minimum_share
    }

    /// Requests capacity for as many of the waiting tasks as the team's guarantee covers; these may reclaim borrowed
    /// capacity. If it covers none, requests capacity for all waiting tasks, which may only stop less urgent tasks. At
    /// most [`MAX_PREEMPTIONS_PER_PASS`] tasks are requested, and none if the team's limit does not allow one more
    /// task.
    fn array_preemption_request(&self, job_ix: JobIx) -> Option<PreemptionRequest> {
        let job = self.workload.jobs.get(&job_ix)?;
        let (team, need) = (job.spec.team, job.spec.task_resources);
        if !self.within_quota(team, &need) {
            return None;
        }
        let max_tasks = job.waiting_tasks().min(MAX_PREEMPTIONS_PER_PASS as u64);
        let is_guaranteed = |tasks: &u64| self.within_guarantee(team, &need.saturating_mul(*tasks));
        let (tasks, borrowed) = match (1..=max_tasks).rev().find(is_guaranteed) {
            Some(tasks) => (tasks, self.borrowed_by_others(team)),
            None => (max_tasks, Default::default()),
        };
        Some(PreemptionRequest { task_cpu: need.cpu, tasks, policy: PreemptionPolicy::new(job, borrowed) })
    }

    /// Returns the CPUs that are free for queued tasks or are being freed, in thousandths.
    fn cpu_becoming_free(&self) -> u64 {
        let queue_eligible = self.cluster.placement_index.queue_eligible();
        let free: u64 = queue_eligible
            .iter()
            .map(|ix| &self.cluster.machines[ix.index()])
            .filter(|machine| machine.hold.is_none())
            .map(|machine| machine.free().cpu)
            .sum();
        free + self.total_stopping().cpu
    }

    /// Stops up to `max_stopped` tasks until they free `cpu_needed` (thousandths of CPUs), those with the least lost
    /// work per CPU first. Returns how many it stopped.
    fn preempt_for_array(
        &mut self,
        job_ix: JobIx,
        cpu_needed: u64,
        mut policy: PreemptionPolicy,
        max_stopped: usize,
        clock: Clock,
    ) -> usize {
        let mut candidates = self.preemption_candidates(job_ix, &policy, clock);
        candidates.sort_unstable_by_key(|candidate| {
            (candidate.lost_ms, candidate.machine_ix, candidate.binding_index)
        });
        let mut freed_cpu = 0;
        let mut stopped = 0;
        for Candidate { machine_ix, binding_index, cost, .. } in candidates {
            if freed_cpu >= cpu_needed || stopped == max_stopped {
                break;
            }
            if policy.reclaim(&cost) {
                freed_cpu += self.cluster.machines[machine_ix.index()].bindings[binding_index].need.cpu;
                stopped += 1;
                self.stop_task(machine_ix, binding_index, JobEventKind::StoppedForPreemption);
                self.counters.preempted_tasks += 1;
            }
        }
        stopped
    }

    fn preemption_candidates(
        &self,
        job_ix: JobIx,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Vec<Candidate> {
        let Some(job) = self.workload.jobs.get(&job_ix) else { return Vec::new() };
        let queue_eligible = self.cluster.placement_index.queue_eligible().iter().copied();
        let mut candidates = Vec::new();
        for machine_ix in queue_eligible.filter(|ix| self.is_eligible(*ix, job)) {
            let bindings = &self.cluster.machines[machine_ix.index()].bindings;
            for (binding_index, binding) in bindings.iter().enumerate() {
                if let Some(cost) = self.preemption_cost_if_worthwhile(binding, policy, clock) {
                    let lost_ms = cost.lost_work / binding.need.cpu.max(1);
                    candidates.push(Candidate { lost_ms, machine_ix, binding_index, cost });
                }
            }
        }
        candidates
    }

    /// Returns the cost of stopping the task for an array job; None if it must not be stopped or that is not
    /// worthwhile. Gangs and services are never stopped for an array: a gang would lose the work of all its tasks.
    fn preemption_cost_if_worthwhile(
        &self,
        binding: &Binding,
        policy: &PreemptionPolicy,
        clock: Clock,
    ) -> Option<PreemptionCost> {
        let spec = &self.workload.jobs.get(&binding.job?)?.spec;
        if binding.stop_grace_ms.is_some() || spec.is_all_or_nothing() {
            return None;
        }
        let remaining_ms = self.remaining_run_ms(binding, clock)?;
        let cost = self.preemption_cost(binding, policy, clock)?;
        let lost_ms = cost.lost_work / binding.need.cpu.max(1);
        let is_worthwhile = remaining_ms > MIN_REMAINING_MS && remaining_ms > MIN_GAIN_RATIO * lost_ms;
        is_worthwhile.then_some(cost)
    }
}

fn is_long_waiting_array(job: &JobState, clock: Clock) -> bool {
    job.has_waiting_tasks() && !job.spec.is_all_or_nothing() && has_waited_to_reclaim(job, clock)
}
