//! The state machine of one machine's attempts, by the rules of epochs, fencing tokens and leases. Times are
//! milliseconds of a monotonic clock.

use std::collections::BTreeMap;

use crate::attempt::{AttemptPhase, TaskAttempt, TaskResult, cause, job_of_task};
use crate::description::{JobDescription, JobDescriptions, TaskWork};
use crate::machine::Machine;

/// An action on a process, which the caller of the worker has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessAction {
    /// Start the command of the task.
    Start {
        /// Name of the task.
        task: String,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Terminate the process, and kill it if it has not exited after the grace period.
    Stop {
        /// Name of the task.
        task: String,
        /// Number of the attempt.
        attempt: u64,
        /// Grace period in milliseconds.
        grace_ms: u64,
    },
    /// Kill the process at once.
    Kill {
        /// Name of the task.
        task: String,
        /// Number of the attempt.
        attempt: u64,
    },
}

/// Grace period of a process that is stopped without a checkpoint.
const STOP_GRACE_MS: u64 = 1_000;

/// One machine's worker.
#[derive(Debug)]
pub struct Worker {
    /// The machine that the worker runs on.
    pub machine: Machine,
    /// Number of the current epoch. Incremented when the lease expires, which kills and forgets all attempts.
    pub epoch: u64,
    /// Incremented with every heartbeat, including those in responses to direct requests; reset in a new epoch.
    pub sequence: u64,
    /// Highest fencing token seen. Commands with a lower token are rejected.
    pub token: u64,
    /// When the cloud reclaims the machine, if it has sent a termination notice.
    pub termination_at: Option<u64>,
    /// Attempts of the current epoch that have not been forgotten, in the order in which they were started.
    pub attempts: Vec<TaskAttempt>,
    /// Images on the machine, which need no further fetch.
    pub cached_images: Vec<String>,
    /// Start of the lease: when the last heartbeat with an accepted response was sent, or when the epoch began.
    pub last_answered_heartbeat_sent_at: u64,
    /// For tests: every task fails as soon as its image is fetched.
    pub fails_tasks: bool,
    /// For tests: factor by which simulated work takes longer.
    pub slowdown_factor: u64,
    /// Tasks whose image fetch completed since the caller last emptied the list, for invariant checks.
    pub started_tasks: Vec<String>,
    /// Whether something changed since the last heartbeat, so that the next one is sent early.
    pub has_unreported_change: bool,
    /// Results of finished tasks. If such a task is started again, it ends at once and keeps its first result.
    results: BTreeMap<String, TaskResult>,
    /// List lengths of gang tasks whose process has exited while other members still run, by task name.
    gang_list_lens: BTreeMap<String, u32>,
    process_actions: Vec<ProcessAction>,
}

impl Worker {
    /// Creates a worker without tasks, whose lease starts now.
    pub fn new(machine: Machine, now: u64) -> Worker {
        Worker {
            machine,
            epoch: 1,
            sequence: 0,
            token: 0,
            termination_at: None,
            attempts: Vec::new(),
            cached_images: Vec::new(),
            last_answered_heartbeat_sent_at: now,
            fails_tasks: false,
            slowdown_factor: 1,
            started_tasks: Vec::new(),
            has_unreported_change: true,
            results: BTreeMap::new(),
            gang_list_lens: BTreeMap::new(),
            process_actions: Vec::new(),
        }
    }

    /// Returns the process actions requested since the last call, in order.
    pub fn take_process_actions(&mut self) -> Vec<ProcessAction> {
        std::mem::take(&mut self.process_actions)
    }

    /// Adds the result of a task that finished earlier or on another machine.
    pub fn restore_result(&mut self, task: &str, result: TaskResult) {
        self.keep_result(task, result);
    }

    /// Returns the result of a task, if it has finished.
    pub fn result(&self, task: &str) -> Option<TaskResult> {
        self.results.get(task).copied()
    }

    /// Stores the result of a task unless it already has one: the first result counts.
    fn keep_result(&mut self, task: &str, result: TaskResult) {
        self.results.entry(task.into()).or_insert(result);
    }

    /// Returns the index of an attempt that has not ended.
    fn find_active(&self, task: &str, attempt: u64) -> Option<usize> {
        let is_active =
            |known: &TaskAttempt| known.task == task && known.attempt == attempt && !known.is_ended();
        self.attempts.iter().position(is_active)
    }

    fn has_capacity_for(&self, job: &JobDescription, jobs: &JobDescriptions) -> bool {
        let active = self.attempts.iter().filter(|attempt| !attempt.is_ended());
        let used = active.filter_map(|attempt| jobs.get(attempt.job_name()));
        self.machine.fits(std::iter::once(job).chain(used))
    }

    /// Executes the command to run an attempt. Controllers repeat commands, so an attempt that the worker already has
    /// is left unchanged.
    pub(crate) fn start_attempt(&mut self, task: String, attempt: u64, now: u64, jobs: &JobDescriptions) {
        if self.attempts.iter().any(|known| known.task == task && known.attempt == attempt) {
            return;
        }
        let is_busy = self.attempts.iter().any(|known| known.task == task && !known.is_ended());
        let phase = match jobs.get(job_of_task(&task)) {
            None => AttemptPhase::ended(cause::UNKNOWN_JOB),
            Some(_) if is_busy => AttemptPhase::ended(cause::BUSY),
            Some(job) if !self.has_capacity_for(job, jobs) => {
                AttemptPhase::ended(cause::INSUFFICIENT_CAPACITY)
            }
            Some(job) if self.cached_images.contains(&job.image) => {
                AttemptPhase::FetchingImage { until: now }
            }
            Some(job) => {
                AttemptPhase::FetchingImage { until: now + self.machine.image_fetch_ms(job.image_gb) }
            }
        };
        self.attempts.push(TaskAttempt { task, attempt, phase, has_image: false });
    }

    /// Executes the command to stop an attempt. The attempt saves a checkpoint if the grace period is long enough for
    /// it.
    pub(crate) fn stop_attempt(
        &mut self,
        task: &str,
        attempt: u64,
        grace_ms: u64,
        now: u64,
        jobs: &JobDescriptions,
    ) {
        let Some(index) = self.find_active(task, attempt) else { return };
        let stopped = &mut self.attempts[index];
        let Some(job) = jobs.get(stopped.job_name()) else { return };
        let has_process = matches!(job.work, TaskWork::Process(_)) && stopped.is_live();
        let saves_checkpoint = job.can_checkpoint && grace_ms >= job.checkpoint_save_ms;
        stopped.phase = match &stopped.phase {
            AttemptPhase::Running { .. } if saves_checkpoint => {
                let until = (!has_process).then_some(now + job.checkpoint_save_ms);
                AttemptPhase::Checkpointing { until }
            }
            AttemptPhase::Checkpointing { until } if grace_ms > 0 => {
                AttemptPhase::Checkpointing { until: *until }
            }
            AttemptPhase::Stopping { cause } => AttemptPhase::Stopping { cause },
            _ if has_process => AttemptPhase::Stopping { cause: cause::STOPPED },
            _ => AttemptPhase::ended(cause::STOPPED),
        };
        if has_process {
            let is_saving = matches!(stopped.phase, AttemptPhase::Checkpointing { .. });
            let grace_ms = if is_saving { grace_ms } else { STOP_GRACE_MS };
            self.process_actions.push(ProcessAction::Stop { task: task.into(), attempt, grace_ms });
        }
    }

    /// Executes the command to forget an attempt, if it has ended.
    pub(crate) fn forget_attempt(&mut self, task: &str, attempt: u64) {
        self.attempts.retain(|known| !(known.task == task && known.attempt == attempt && known.is_ended()));
    }

    /// Advances the worker to time `now`: expires the lease, and completes image fetches, simulated work and simulated
    /// checkpoints. Gangs also need [`coordinate_gangs`](crate::coordinate_gangs).
    pub fn advance(&mut self, now: u64, lease_ms: u64, jobs: &JobDescriptions) {
        if now > self.last_answered_heartbeat_sent_at + lease_ms {
            self.begin_epoch(now);
        }
        for index in 0..self.attempts.len() {
            let before = self.attempts[index].phase.clone();
            match before {
                AttemptPhase::FetchingImage { until } if until <= now => {
                    self.finish_image_fetch(index, now, jobs);
                }
                AttemptPhase::Running { until: Some(until) } if until <= now => {
                    self.finish_simulated_work(index, jobs);
                }
                AttemptPhase::Checkpointing { until: Some(until) } if until <= now => {
                    self.attempts[index].phase =
                        AttemptPhase::Ended { cause: cause::STOPPED, checkpoint_kept: true };
                }
                _ => {}
            }
            self.has_unreported_change |= self.attempts[index].phase != before;
        }
    }

    /// Begins a new epoch after the lease has expired: all attempts are killed and forgotten.
    fn begin_epoch(&mut self, now: u64) {
        self.epoch += 1;
        self.sequence = 0;
        self.last_answered_heartbeat_sent_at = now;
        for attempt in self.attempts.drain(..).filter(TaskAttempt::is_live) {
            self.process_actions.push(ProcessAction::Kill { task: attempt.task, attempt: attempt.attempt });
        }
        self.has_unreported_change = true;
    }

    fn finish_image_fetch(&mut self, index: usize, now: u64, jobs: &JobDescriptions) {
        let attempt = &mut self.attempts[index];
        let Some(job) = jobs.get(attempt.job_name()) else { return };
        attempt.has_image = true;
        self.started_tasks.push(attempt.task.clone());
        if !self.cached_images.contains(&job.image) {
            self.cached_images.push(job.image.clone());
        }
        if self.results.contains_key(&attempt.task) {
            attempt.phase = AttemptPhase::ended(cause::DONE);
        } else if self.fails_tasks || matches!(job.work, TaskWork::Simulated { fails: true, .. }) {
            attempt.phase = AttemptPhase::ended(cause::ERROR);
        } else if job.gang {
            attempt.phase = AttemptPhase::WaitingForGang { since: now };
        } else {
            self.start_running(index, now, jobs);
        }
    }

    fn finish_simulated_work(&mut self, index: usize, jobs: &JobDescriptions) {
        let attempt = &mut self.attempts[index];
        let list_len = match jobs.get(attempt.job_name()).map(|job| &job.work) {
            Some(TaskWork::Simulated { list_len, .. }) => *list_len,
            _ => None,
        };
        attempt.phase = AttemptPhase::ended(cause::DONE);
        let (task, result) = (attempt.task.clone(), TaskResult { attempt: attempt.attempt, list_len });
        self.keep_result(&task, result);
    }

    /// Starts the work of an attempt.
    pub(crate) fn start_running(&mut self, index: usize, now: u64, jobs: &JobDescriptions) {
        let attempt = &mut self.attempts[index];
        let until = match jobs.get(attempt.job_name()).map(|job| &job.work) {
            Some(TaskWork::Simulated { run_ms, .. }) => {
                Some(now + run_ms.saturating_mul(self.slowdown_factor))
            }
            _ => None,
        };
        attempt.phase = AttemptPhase::Running { until };
        if until.is_none() {
            let (task, attempt) = (attempt.task.clone(), attempt.attempt);
            self.process_actions.push(ProcessAction::Start { task, attempt });
        }
        self.has_unreported_change = true;
    }

    /// Stops an attempt because its gang is incomplete or has lost a member.
    pub(crate) fn stop_gang_member(&mut self, index: usize, cause: &'static str) {
        let attempt = &mut self.attempts[index];
        if matches!(attempt.phase, AttemptPhase::Stopping { .. } | AttemptPhase::Ended { .. }) {
            return;
        }
        let has_process = matches!(
            attempt.phase,
            AttemptPhase::Running { until: None } | AttemptPhase::Checkpointing { until: None }
        );
        if has_process {
            attempt.phase = AttemptPhase::Stopping { cause };
            let (task, attempt) = (attempt.task.clone(), attempt.attempt);
            self.process_actions.push(ProcessAction::Stop { task, attempt, grace_ms: STOP_GRACE_MS });
        } else {
            attempt.phase = AttemptPhase::ended(cause);
        }
        self.has_unreported_change = true;
    }

    /// Completes an attempt after all members of its gang have succeeded.
    pub(crate) fn complete_gang_member(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        attempt.phase = AttemptPhase::ended(cause::DONE);
        let (task, attempt) = (attempt.task.clone(), attempt.attempt);
        let list_len = self.gang_list_lens.remove(&task);
        self.keep_result(&task, TaskResult { attempt, list_len });
        self.has_unreported_change = true;
    }

    /// Handles the exit of a task's process. `success` says whether the process succeeded, and `list_len` is the
    /// length of the list that it wrote. Returns whether the task is done, in which case its result counts from now
    /// on.
    pub fn process_exited(
        &mut self,
        task: &str,
        attempt: u64,
        success: bool,
        list_len: Option<u32>,
        jobs: &JobDescriptions,
    ) -> bool {
        let Some(index) = self.find_active(task, attempt) else { return false };
        let exited = &mut self.attempts[index];
        let is_gang = jobs.get(exited.job_name()).is_some_and(|job| job.gang);
        exited.phase = match &exited.phase {
            AttemptPhase::Checkpointing { .. } => {
                AttemptPhase::Ended { cause: cause::STOPPED, checkpoint_kept: success }
            }
            AttemptPhase::Stopping { cause } => AttemptPhase::ended(cause),
            _ if success && is_gang => AttemptPhase::WaitingForGangExit,
            _ if success => AttemptPhase::ended(cause::DONE),
            _ => AttemptPhase::ended(cause::ERROR),
        };
        self.has_unreported_change = true;
        let is_done = exited.phase == AttemptPhase::ended(cause::DONE);
        let waits_for_gang = exited.phase == AttemptPhase::WaitingForGangExit;
        if is_done {
            self.keep_result(task, TaskResult { attempt, list_len });
        } else if let Some(len) = list_len.filter(|_| waits_for_gang) {
            self.gang_list_lens.insert(task.into(), len);
        }
        is_done
    }
}

#[cfg(test)]
#[path = "tests/worker.rs"]
mod tests;
