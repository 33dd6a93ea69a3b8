//! Tasks that fail: is it the machine or the job?
//!
//! A machine is sick when different jobs fail on it with no success between. A job is at fault when it fails wherever it
//! is tried and has never succeeded. It is then **on trial**: one task at a time, after waits that grow, and nothing more
//! of it is queued, planned or counted in anybody's turn, until a task succeeds. Without this one array submitted with a
//! mistake started its tasks 2,563 times, and had the whole fleet rented for them (docs/incidents/broken-jobs.md).

use std::collections::HashSet;

use crate::coordination::Clock;
use crate::coordination::leader::machines::reports::AFTER_ERROR_MS;
use crate::coordination::leader::placement::dispatch::Hindrance;
use crate::coordination::leader::{Binding, Leader, Work};
use crate::ids::{JobId, JobIx, MachineIx, Millis};

/// Different jobs must have failed on a machine before it is thought to be sick; more of them if none of these has
/// succeeded anywhere yet, as jobs submitted with a mistake fail on good machines.
const SICK_JOBS: usize = 2;
const SICK_UNPROVEN_JOBS: usize = 3;
/// A job that failed on so many machines is at fault itself.
const BAD_JOB_MACHINES: usize = 3;

/// A job at fault: what of it may still be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// When the next task is tried.
    pub next: Millis,
    /// It is in a queue.
    pub queued: bool,
}

/// A job that fails everywhere is tried ever more seldom: so many times the usual wait.
pub fn patience(work: &Work) -> u64 {
    1 << work.failures().saturating_sub(BAD_JOB_MACHINES - 1).min(5)
}

impl Work {
    /// Machines on which it failed, and failed again when they were given back to it.
    pub fn failures(&self) -> usize {
        self.failed_on.len() + self.forgiven
    }

    /// A task of it has succeeded: what fails after that is the fault of machines.
    fn proven(&self) -> bool {
        self.runs > 0 || !self.done.is_empty()
    }

    /// It is at fault itself, not the machines. A gang succeeds only as a whole, so that it is given more of them.
    pub fn at_fault(&self) -> bool {
        let enough = if self.info.together() { 2 * BAD_JOB_MACHINES } else { BAD_JOB_MACHINES };
        !self.proven() && self.failures() >= enough
    }

    /// A task succeeded: all its machines are good again. True if the job was on trial.
    pub fn succeeded(&mut self) -> bool {
        self.failed_on.clear();
        self.forgiven = 0;
        self.trial.take().is_some()
    }

    /// Has it failed on more machines than still run its tasks? A few sick ones among many put no job on trial.
    fn fails_wherever_tried(&self) -> bool {
        let running: HashSet<MachineIx> = self.out.values().flatten().map(|(ix, _)| *ix).collect();
        self.failures() >= BAD_JOB_MACHINES.max(running.len())
    }
}

impl Leader {
    /// A job that failed on every machine it might use now gets them back, ever more seldom: with few machines,
    /// one failure on each would otherwise keep it waiting for good.
    pub fn forgive(&mut self, clock: Clock) {
        let due = |work: &Work| !work.failed_on.is_empty() && clock.now >= work.forgive_next;
        let stuck = self.work.iter().filter(|(_, work)| due(work) && self.failed_everywhere(work));
        for ix in stuck.map(|(ix, _)| *ix).collect::<Vec<JobIx>>() {
            let Some(work) = self.work.get_mut(&ix) else { continue };
            let id = work.info.id;
            log::info!(event = "forgiven", job:% = id; "{id} failed on all it may use: tried there again");
            work.forgiven += work.failed_on.len();
            work.failed_on.clear();
            work.forgive_next = clock.now.plus(AFTER_ERROR_MS * patience(work));
        }
    }

    /// Of the machines that could run its tasks, each has failed one. Parked ones take no queued tasks.
    fn failed_everywhere(&self, work: &Work) -> bool {
        let mut failed = false;
        for ix in self.roster.open() {
            let taken = work.info.together() || self.roster.takes(*ix);
            match self.unfit(*ix, work) {
                None if taken => return false,
                Some(Hindrance::FailedHere) => failed = true,
                _ => {}
            }
        }
        failed
    }

    pub fn failed(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = self.machines[ix.at()].name.as_str();
        log::info!(event = "failed", task:% = binding.task, machine; "{} failed on {machine}", binding.task);
        let Some((job, work)) = binding.job.and_then(|job| Some((job, self.work.get_mut(&job)?))) else {
            return;
        };
        work.failed_on.insert(ix);
        if work.at_fault() {
            // Its own fault: machines that failed nothing else are good again.
            let id = work.info.id;
            for at in 0..self.machines.len() {
                if self.machines[at].errors.remove(&id) {
                    self.machines[at].sick &= self.looks_sick(MachineIx(at as u32));
                }
            }
            self.put_on_trial(job, clock);
            return;
        }
        self.machines[ix.at()].errors.insert(binding.task.job);
        if self.looks_sick(ix) && !self.machines[ix.at()].sick {
            let machine = &mut self.machines[ix.at()];
            log::info!(event = "sick", machine = machine.name.as_str(); "machine {} taken for sick", machine.name);
            machine.sick = true;
            self.spread_queues(ix);
        }
    }

    /// Different jobs failed there, with no success between.
    fn looks_sick(&self, ix: MachineIx) -> bool {
        let errors = &self.machines[ix.at()].errors;
        // A job that is over was done: what a user withdraws is taken off.
        let unproven = |id: &JobId| self.work.values().any(|work| work.info.id == *id && !work.proven());
        errors.len() >= if errors.iter().all(unproven) { SICK_UNPROVEN_JOBS } else { SICK_JOBS }
    }

    /// The job has failed once more: nothing of it waits in any queue, and the next task is tried after a while.
    fn put_on_trial(&mut self, ix: JobIx, clock: Clock) {
        let Some(work) = self.work.get_mut(&ix) else { return };
        // Gangs are tried one attempt at a time anyway, and graphs say themselves how often a node is.
        if work.info.together() || work.node.is_some() || !self.tunables.overload.trials {
            return;
        }
        let next = clock.now.plus(AFTER_ERROR_MS * patience(work));
        if let Some(trial) = &mut work.trial {
            trial.next = next;
            return;
        }
        if !work.fails_wherever_tried() {
            return;
        }
        work.trial = Some(Trial { next, queued: false });
        let id = work.info.id;
        log::info!(event = "on_trial", job:% = id; "{id} fails wherever it is tried: one task at a time from now on");
        self.drop_queued(ix);
        for waiting in self.delayed.values_mut() {
            waiting.retain(|(job, _)| *job != ix);
        }
    }

    /// One task of each job on trial whose wait is over, if none of it is out.
    pub fn try_again(&mut self, clock: Clock) {
        let due = |work: &Work| {
            let due = work.trial.is_some_and(|trial| !trial.queued && trial.next <= clock.now);
            due && work.out.is_empty() && !work.ending
        };
        let due: Vec<JobIx> = self.work.iter().filter(|(_, work)| due(work)).map(|(ix, _)| *ix).collect();
        for ix in due {
            let Some(work) = self.work.get_mut(&ix) else { continue };
            let Some(task) = work.done.missing().next() else { continue };
            if let Some(trial) = &mut work.trial {
                trial.queued = true;
            }
            self.enqueue(ix, &[task]);
        }
    }

    /// A task of a job on trial has succeeded: the rest of the job is queued like any other.
    pub fn trial_over(&mut self, ix: JobIx) {
        // The next task to be tried may wait in a queue: it must not be queued twice.
        self.drop_queued(ix);
        self.queue_all([ix]);
    }
}
