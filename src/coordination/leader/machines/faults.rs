//! Tasks that fail: is it the machine or the job?
//!
//! A machine is sick when different jobs fail on it with no success between. A job is at fault when it fails wherever it
//! is tried and has never succeeded. It is then **on trial**: one task at a time, after waits that grow, and nothing more
//! of it is queued, planned or counted in anybody's turn, until a task succeeds. Without this one array submitted with a
//! mistake started its tasks 2,563 times, and had the whole fleet rented for them (docs/incidents/broken-jobs.md).

use std::collections::HashSet;

use crate::coordination::Clock;
use crate::coordination::leader::placement::dispatch::PlacementBlocker;
use crate::coordination::leader::{Binding, JobState, Leader};
use crate::ids::{JobId, JobIx, MachineIx, Millis};

/// Different jobs must have failed on a machine before it is thought to be sick; more of them if none of these has
/// succeeded anywhere yet, as jobs submitted with a mistake fail on good machines.
const QUARANTINE_FAILED_JOBS: usize = 2;
const QUARANTINE_UNPROVEN_JOBS: usize = 3;
/// A job that failed on so many machines is at fault itself.
const JOB_FAULT_MACHINES: usize = 3;
/// Delay before a task that failed is attempted again, in milliseconds.
pub(super) const ERROR_RETRY_DELAY_MS: u64 = 1_000;
/// Repeated failures double the delay at most this often.
const MAX_BACKOFF_DOUBLINGS: usize = 5;

/// A job at fault: what of it may still be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probation {
    /// When the next task is tried.
    pub next_attempt_at: Millis,
    /// It is in a queue.
    pub queued: bool,
}

impl JobState {
    /// Machines on which it failed, and failed again when they were given back to it.
    pub fn failure_count(&self) -> usize {
        self.failed_on.len() + self.retried_exclusions
    }

    /// How many times the usual delay passes before the next attempt, as the job's failures add up.
    pub(super) fn failure_backoff_factor(&self) -> u64 {
        1 << self.failure_count().saturating_sub(JOB_FAULT_MACHINES - 1).min(MAX_BACKOFF_DOUBLINGS)
    }

    /// A task of it has succeeded: what fails after that is the fault of machines.
    fn has_succeeded(&self) -> bool {
        self.finished_runs > 0 || !self.finished.is_empty()
    }

    /// It is at fault itself, not the machines. A gang succeeds only as a whole, so that it is given more of them.
    pub fn is_at_fault(&self) -> bool {
        let threshold =
            if self.spec.is_all_or_nothing() { 2 * JOB_FAULT_MACHINES } else { JOB_FAULT_MACHINES };
        !self.has_succeeded() && self.failure_count() >= threshold
    }

    /// A task succeeded: all its machines are good again. True if the job was on trial.
    pub fn reset_failures(&mut self) -> bool {
        self.failed_on.clear();
        self.retried_exclusions = 0;
        self.probation.take().is_some()
    }

    /// Has it failed on more machines than still run its tasks? A few sick ones among many put no job on trial.
    fn failures_outnumber_running_machines(&self) -> bool {
        let running: HashSet<MachineIx> = self.placements.values().flatten().map(|(ix, _)| *ix).collect();
        self.failure_count() >= JOB_FAULT_MACHINES.max(running.len())
    }
}

impl Leader {
    /// A job that failed on every machine it might use now gets them back, ever more seldom: with few machines,
    /// one failure on each would otherwise keep it waiting for good.
    pub fn retry_after_exclusion(&mut self, clock: Clock) {
        let due =
            |work: &JobState| !work.failed_on.is_empty() && clock.now >= work.retry_exclusion_not_before;
        let excluded_everywhere =
            self.workload.jobs.iter().filter(|(_, work)| due(work) && self.has_failed_everywhere(work));
        for ix in excluded_everywhere.map(|(ix, _)| *ix).collect::<Vec<JobIx>>() {
            let Some(work) = self.workload.jobs.get_mut(&ix) else { continue };
            let id = work.spec.id;
            log::info!(event = "forgiven", job:% = id; "{id} failed on all it may use: tried there again");
            work.retried_exclusions += work.failed_on.len();
            work.failed_on.clear();
            work.retry_exclusion_not_before =
                clock.now.saturating_add(ERROR_RETRY_DELAY_MS * work.failure_backoff_factor());
        }
    }

    /// Of the machines that could run its tasks, each has failed one. Parked ones take no queued tasks.
    fn has_failed_everywhere(&self, work: &JobState) -> bool {
        let mut failed = false;
        for ix in self.cluster.placement_index.open() {
            let usable = work.spec.is_all_or_nothing() || self.cluster.placement_index.accepts_queued(*ix);
            match self.machine_blocker(*ix, work) {
                None if usable => return false,
                Some(PlacementBlocker::FailedBefore) => failed = true,
                _ => {}
            }
        }
        failed
    }

    pub fn record_failure(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = self.cluster.machines[ix.index()].name.as_str();
        log::info!(event = "failed", task:% = binding.task, machine; "{} failed on {machine}", binding.task);
        let Some((job, work)) = binding.job.and_then(|job| Some((job, self.workload.jobs.get_mut(&job)?)))
        else {
            return;
        };
        work.failed_on.insert(ix);
        if work.is_at_fault() {
            // Its own fault: machines that failed nothing else are good again.
            let id = work.spec.id;
            for at in 0..self.cluster.machines.len() {
                if self.cluster.machines[at].failed_jobs.remove(&id) {
                    self.cluster.machines[at].quarantined &= self.should_quarantine(MachineIx(at as u32));
                }
            }
            self.start_probation(job, clock);
            return;
        }
        self.cluster.machines[ix.index()].failed_jobs.insert(binding.task.job);
        if self.should_quarantine(ix) && !self.cluster.machines[ix.index()].quarantined {
            let machine = &mut self.cluster.machines[ix.index()];
            log::info!(event = "sick", machine = machine.name.as_str(); "machine {} taken for sick", machine.name);
            machine.quarantined = true;
            self.requeue_machine_queues(ix);
        }
    }

    /// Different jobs failed there, with no success between.
    fn should_quarantine(&self, ix: MachineIx) -> bool {
        let errors = &self.cluster.machines[ix.index()].failed_jobs;
        // A job that is over was done: what a user withdraws is taken off.
        let unproven =
            |id: &JobId| self.workload.jobs.values().any(|work| work.spec.id == *id && !work.has_succeeded());
        errors.len()
            >= if errors.iter().all(unproven) { QUARANTINE_UNPROVEN_JOBS } else { QUARANTINE_FAILED_JOBS }
    }

    /// The job has failed once more: nothing of it waits in any queue, and the next task is tried after a while.
    fn start_probation(&mut self, ix: JobIx, clock: Clock) {
        let Some(work) = self.workload.jobs.get_mut(&ix) else { return };
        // Gangs are tried one attempt at a time anyway, and graphs say themselves how often a node is.
        if work.spec.is_all_or_nothing() || work.dag_node.is_some() || !self.tunables.overload.probation {
            return;
        }
        let next = clock.now.saturating_add(ERROR_RETRY_DELAY_MS * work.failure_backoff_factor());
        if let Some(trial) = &mut work.probation {
            trial.next_attempt_at = next;
            return;
        }
        if !work.failures_outnumber_running_machines() {
            return;
        }
        work.probation = Some(Probation { next_attempt_at: next, queued: false });
        let id = work.spec.id;
        log::info!(event = "on_trial", job:% = id; "{id} fails wherever it is tried: one task at a time from now on");
        self.remove_queued_tasks(ix);
        for waiting in self.workload.retry_queue.values_mut() {
            waiting.retain(|(job, _)| *job != ix);
        }
    }

    /// One task of each job on trial whose wait is over, if none of it is out.
    pub fn queue_probation_tasks(&mut self, clock: Clock) {
        let due = |work: &JobState| {
            let due = work.probation.is_some_and(|trial| !trial.queued && trial.next_attempt_at <= clock.now);
            due && work.placements.is_empty() && !work.finishing
        };
        let due: Vec<JobIx> =
            self.workload.jobs.iter().filter(|(_, work)| due(work)).map(|(ix, _)| *ix).collect();
        for ix in due {
            let Some(work) = self.workload.jobs.get_mut(&ix) else { continue };
            let Some(task) = work.finished.iter_missing().next() else { continue };
            if let Some(trial) = &mut work.probation {
                trial.queued = true;
            }
            self.enqueue(ix, &[task]);
        }
    }

    /// A task of a job on trial has succeeded: the rest of the job is queued like any other.
    pub fn end_probation(&mut self, ix: JobIx) {
        // The next task to be tried may wait in a queue: it must not be queued twice.
        self.remove_queued_tasks(ix);
        self.enqueue_jobs([ix]);
    }
}
