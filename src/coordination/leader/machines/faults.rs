//! Decides for failed tasks whether the machine or the job is at fault.
//!
//! A machine is quarantined when tasks of different jobs fail on it with no success in between. A job is at
//! fault when it has failed on several machines and has never succeeded. It is then **on probation**: one
//! task at a time is attempted, after growing delays, and none of its other tasks are queued, planned for or
//! counted in priorities until a task succeeds. Without probation, the tasks of one faulty array were started
//! 2,563 times, and the whole cluster was provisioned for them (docs/incidents/broken-jobs.md).
//!
//! This state is not recorded: a new leader starts without it.

use std::collections::{BTreeMap, HashSet};

use super::probation::Probation;
use crate::coordination::Clock;
use crate::coordination::leader::placement::eligibility::PlacementBlocker;
use crate::coordination::leader::placement::zone_rules::tasks_placeable;
use crate::coordination::leader::{Binding, JobState, Leader, MachineState};
use crate::ids::{JobId, JobIx, MachineIx, Millis, ZoneIx};

/// A machine is quarantined after this many different jobs have failed on it.
const QUARANTINE_FAILED_JOBS: usize = 2;
/// The same threshold if none of these jobs has succeeded on any machine yet: faulty jobs also fail on
/// machines that work.
const QUARANTINE_UNPROVEN_JOBS: usize = 3;
/// A job that has failed on this many machines is at fault itself.
const JOB_FAULT_MACHINES: usize = 3;
/// The same threshold for gangs and services, which succeed only as a whole.
const GANG_FAULT_MACHINES: usize = 2 * JOB_FAULT_MACHINES;
/// Once a job has failed as often as one that is at fault itself, machines are rented for it again only this long after
/// it has failed on a further machine. That bounds what it may rent: the machines of one attempt in this time.
const RENTAL_RETRY_MS: u64 = 600_000;
/// Delay before a failed task is attempted again, before the job's backoff factor.
pub(super) const ERROR_RETRY_DELAY_MS: u64 = 1_000;
/// Repeated failures double the delay at most this many times.
const MAX_BACKOFF_DOUBLINGS: usize = 5;

impl JobState {
    /// Returns the number of machines on which the job has failed. A machine counts again if the job fails on
    /// it after its exclusion was lifted.
    fn failure_count(&self) -> usize {
        self.excluded_machines.len() + self.retried_exclusions
    }

    /// Returns after how many failures a job is at fault itself.
    fn fault_threshold(&self) -> usize {
        if self.spec.is_all_or_nothing() { GANG_FAULT_MACHINES } else { JOB_FAULT_MACHINES }
    }

    /// Returns the factor by which the delay before the next attempt is multiplied. From `JOB_FAULT_MACHINES`
    /// failures on, it doubles with each failure, up to a limit.
    pub(super) fn failure_backoff_factor(&self) -> u64 {
        1 << self.failure_count().saturating_sub(JOB_FAULT_MACHINES - 1).min(MAX_BACKOFF_DOUBLINGS)
    }

    /// Returns whether a task of the job has succeeded. Later failures are then the fault of machines.
    fn has_succeeded(&self) -> bool {
        self.finished_runs > 0 || !self.finished.is_empty()
    }

    /// Returns whether machines may be rented for the job. One that has failed as often as a job that is at fault
    /// itself, on whatever machines, has to wait after each further machine on which it fails. It is never given up: the
    /// machines may have been at fault.
    pub(in crate::coordination::leader) fn may_rent_machines(&self, now: Millis) -> bool {
        now >= self.rental_not_before
    }

    /// Records that a task of the job failed on the machine.
    fn record_failure_on(&mut self, ix: MachineIx, now: Millis) {
        self.excluded_machines.insert(ix);
        let is_first_on_machine = self.failed_on.insert(ix);
        if is_first_on_machine && self.failure_count() >= self.fault_threshold() {
            self.rental_not_before = now.saturating_add(RENTAL_RETRY_MS);
        }
    }

    /// Clears all failures after a success, and returns whether the job was on probation.
    pub(super) fn reset_failures(&mut self) -> bool {
        self.failed_on.clear();
        self.excluded_machines.clear();
        self.retried_exclusions = 0;
        self.rental_not_before = Millis::default();
        self.probation.take().is_some()
    }

    /// Returns whether the job has failed on at least as many machines as may be running its tasks. A few bad
    /// machines among many are no reason for probation.
    fn failures_outnumber_running_machines(&self) -> bool {
        let running: HashSet<MachineIx> = self.placements.values().flatten().map(|(ix, _)| *ix).collect();
        self.failure_count() >= JOB_FAULT_MACHINES.max(running.len())
    }

    /// Returns whether the job is on probation and its next task has to be queued.
    fn is_probation_attempt_due(&self, now: Millis) -> bool {
        let is_due = |probation: Probation| !probation.queued && probation.next_attempt_at <= now;
        self.probation.is_some_and(is_due) && self.placements.is_empty() && !self.finishing
    }
}

/// Whether there are machines on which a job has not failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UntriedMachines {
    /// They suffice for the job to run.
    Sufficient,
    /// They do not suffice without the machines on which the job has failed.
    OnlyFailed,
    /// There is no machine that the job may use.
    None,
}

impl Leader {
    /// Returns whether the job itself is at fault, and not the machines on which it failed. A gang or service is only
    /// if it has failed on several machines that still exist: it gets no capacity freed for it then, so repeated
    /// failures on one faulty machine must not count.
    pub(in crate::coordination::leader) fn is_at_fault(&self, job_state: &JobState) -> bool {
        let failures = if job_state.spec.is_all_or_nothing() {
            let exists = |ix: &&MachineIx| self.cluster.machines[ix.index()].state != MachineState::Gone;
            job_state.failed_on.iter().filter(exists).count()
        } else {
            job_state.failure_count()
        };
        !job_state.has_succeeded() && failures >= job_state.fault_threshold()
    }

    /// Lifts the exclusion of machines for jobs that cannot run without the machines on which they have failed, after
    /// growing delays. With few machines, one failure on each would otherwise keep such a job waiting forever. Once there is
    /// another machine, the job is excluded again from those on which it has failed.
    pub(in crate::coordination::leader) fn retry_after_exclusion(&mut self, clock: Clock) {
        let failed: Vec<JobIx> = self
            .workload
            .jobs
            .iter()
            .filter(|(_, job_state)| !job_state.failed_on.is_empty())
            .map(|(ix, _)| *ix)
            .collect();
        for ix in failed {
            let Some(job_state) = self.workload.jobs.get(&ix) else { continue };
            let may_exclude = job_state.excluded_machines.len() < job_state.failed_on.len();
            let may_lift =
                !job_state.excluded_machines.is_empty() && clock.now >= job_state.retry_exclusion_not_before;
            if !may_exclude && !may_lift {
                continue;
            }
            match self.untried_machines(job_state) {
                UntriedMachines::Sufficient if may_exclude => self.exclude_failed_machines(ix),
                UntriedMachines::OnlyFailed if may_lift => self.lift_exclusions(ix, clock),
                _ => {}
            }
        }
    }

    fn lift_exclusions(&mut self, ix: JobIx, clock: Clock) {
        let Some(job_state) = self.workload.jobs.get_mut(&ix) else { return };
        let id = job_state.spec.id;
        log::info!(event = "retry_after_exclusion", job:% = id; "retry after exclusion: {id} had failed on every machine it may use");
        job_state.retried_exclusions += job_state.excluded_machines.len();
        job_state.excluded_machines.clear();
        let delay_ms = ERROR_RETRY_DELAY_MS * job_state.failure_backoff_factor();
        job_state.retry_exclusion_not_before = clock.now.saturating_add(delay_ms);
        self.on_exclusions_lifted(ix);
    }

    /// Excludes the job again from all machines on which it has failed. The number of failures stays the same.
    fn exclude_failed_machines(&mut self, ix: JobIx) {
        let Some(job_state) = self.workload.jobs.get_mut(&ix) else { return };
        let readded: Vec<MachineIx> =
            job_state.failed_on.difference(&job_state.excluded_machines).copied().collect();
        job_state.retried_exclusions = job_state.retried_exclusions.saturating_sub(readded.len());
        job_state.excluded_machines.extend(&readded);
        for machine in readded {
            self.requeue_job_from_machine(machine, ix);
        }
    }

    /// Returns which machines can run the job's tasks, now or later: one for an array, and enough for all tasks of a gang
    /// or service. Cordoned and reserved machines take only gangs and services.
    fn untried_machines(&self, job_state: &JobState) -> UntriedMachines {
        let placement_index = &self.cluster.placement_index;
        let is_gang = job_state.spec.is_all_or_nothing();
        let mut untried_slots: BTreeMap<ZoneIx, u64> = BTreeMap::new();
        let mut has_failed = false;
        for ix in placement_index.schedulable() {
            match self.planning_blocker(*ix, job_state) {
                None if !is_gang && !placement_index.accepts_queued(*ix) => {}
                None if !is_gang && self.has_lasting_room(*ix, job_state) => {
                    return UntriedMachines::Sufficient;
                }
                None => {
                    let zone = self.cluster.machines[ix.index()].zone;
                    let slots = untried_slots.entry(zone).or_default();
                    *slots = slots.saturating_add(self.lasting_slots(*ix, job_state));
                }
                Some(PlacementBlocker::FailedBefore) => has_failed = true,
                _ => {}
            }
        }
        let placeable = tasks_placeable(&job_state.spec, untried_slots.into_values());
        if is_gang && placeable >= job_state.waiting_tasks() {
            UntriedMachines::Sufficient
        } else if has_failed {
            UntriedMachines::OnlyFailed
        } else {
            UntriedMachines::None
        }
    }

    /// Records that a task failed on a machine, and quarantines the machine or starts the job's probation.
    pub(super) fn record_failure(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = self.cluster.machines[ix.index()].name.as_str();
        log::info!(event = "failed", task:% = binding.task, machine; "task {} failed on machine {machine}", binding.task);
        let Some(job) = binding.job else { return };
        let Some(job_state) = self.workload.jobs.get_mut(&job) else { return };
        job_state.record_failure_on(ix, clock.now);
        let id = job_state.spec.id;
        if self.workload.jobs.get(&job).is_some_and(|job_state| self.is_at_fault(job_state)) {
            self.clear_machine_failures(id);
            self.start_probation(job, clock);
        } else {
            self.record_machine_failure(ix, binding.task.job);
        }
        self.requeue_job_from_machine(ix, job);
    }

    /// Handles that the job may use the machines again on which it had failed. Its tasks without an eligible machine
    /// are queued, and thieves resume as if its waiting tasks had just been queued.
    pub(super) fn on_exclusions_lifted(&mut self, job: JobIx) {
        let Some(job_state) = self.workload.jobs.get(&job) else { return };
        let (rank, waiting) = (job_state.rank, job_state.waiting_tasks() as usize);
        self.enqueue_backlog_of(rank);
        self.resume_thieves(waiting);
    }

    /// Removes a job that is itself at fault from the failures of all machines, and ends the quarantine of
    /// machines on which too few other jobs have failed.
    fn clear_machine_failures(&mut self, id: JobId) {
        for ix in self.cluster.machine_indices() {
            if self.cluster.machines[ix.index()].failed_jobs.remove(&id) {
                let still_quarantined = self.should_quarantine(ix);
                self.cluster.machines[ix.index()].quarantined &= still_quarantined;
            }
        }
    }

    fn record_machine_failure(&mut self, ix: MachineIx, id: JobId) {
        self.cluster.machines[ix.index()].failed_jobs.insert(id);
        if self.cluster.machines[ix.index()].quarantined || !self.should_quarantine(ix) {
            return;
        }
        let machine = &mut self.cluster.machines[ix.index()];
        log::info!(event = "quarantined", machine = machine.name.as_str(); "machine {} quarantined: tasks of several jobs failed on it", machine.name);
        machine.quarantined = true;
    }

    /// Returns whether enough different jobs have failed on the machine since a task last succeeded on it.
    fn should_quarantine(&self, ix: MachineIx) -> bool {
        let failed_jobs = &self.cluster.machines[ix.index()].failed_jobs;
        // A job that is no longer in the workload has succeeded, because cancelled jobs are removed from
        // `failed_jobs`.
        let is_unproven = |id: &JobId| {
            let mut jobs = self.workload.jobs.values();
            jobs.any(|job_state| job_state.spec.id == *id && !job_state.has_succeeded())
        };
        let threshold = if failed_jobs.iter().all(is_unproven) {
            QUARANTINE_UNPROVEN_JOBS
        } else {
            QUARANTINE_FAILED_JOBS
        };
        failed_jobs.len() >= threshold
    }

    /// Puts a job that is itself at fault on probation and removes its tasks from all queues. If it is on
    /// probation already, delays its next attempt.
    fn start_probation(&mut self, ix: JobIx, clock: Clock) {
        let Some(job_state) = self.workload.jobs.get_mut(&ix) else { return };
        // Gangs and services have only one attempt at a time anyway, and DAG nodes have their own retry
        // limits.
        let is_exempt = job_state.spec.is_all_or_nothing() || job_state.dag_node.is_some();
        if is_exempt || !self.tunables.overload.probation {
            return;
        }
        let delay_ms = ERROR_RETRY_DELAY_MS * job_state.failure_backoff_factor();
        let next_attempt_at = clock.now.saturating_add(delay_ms);
        if let Some(probation) = &mut job_state.probation {
            probation.next_attempt_at = next_attempt_at;
            return;
        }
        if !job_state.failures_outnumber_running_machines() {
            return;
        }
        job_state.probation = Some(Probation { next_attempt_at, queued: false });
        let id = job_state.spec.id;
        log::info!(event = "probation", job:% = id; "{id} is on probation: one task at a time");
        self.remove_queued_tasks(ix);
        for delayed in self.workload.retry_queue.values_mut() {
            delayed.retain(|(job, _)| *job != ix);
        }
    }

    /// Queues one task of each job on probation whose delay has passed, unless one of its tasks is placed.
    pub(in crate::coordination::leader) fn queue_probation_tasks(&mut self, clock: Clock) {
        let jobs = self.workload.jobs.iter();
        let due: Vec<JobIx> = jobs
            .filter(|(_, job_state)| job_state.is_probation_attempt_due(clock.now))
            .map(|(ix, _)| *ix)
            .collect();
        for ix in due {
            let Some(job_state) = self.workload.jobs.get_mut(&ix) else { continue };
            let Some(task) = job_state.finished.iter_missing().next() else { continue };
            if let Some(probation) = &mut job_state.probation {
                probation.queued = true;
            }
            self.enqueue(ix, &[task]);
        }
    }

    /// Ends the probation of a job after a task has succeeded: queues all of its other tasks.
    pub(super) fn end_probation(&mut self, ix: JobIx) {
        // The next task to be attempted may be queued already, and must not be queued twice.
        self.remove_queued_tasks(ix);
        self.enqueue_jobs([ix]);
    }
}
