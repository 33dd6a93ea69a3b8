//! Handles task statuses in heartbeats: tasks that start, run or exit, and orphan tasks.
//!
//! Updates the bindings of the reporting machine and the measured fetch rates and run times, and decides when
//! a task that exited without success is attempted again.

use crate::coordination::Clock;
use crate::coordination::leader::machines::faults::ERROR_RETRY_DELAY_MS;
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader, Machine, RunTimeRatios};
use crate::ids::{JobIx, MachineIx, TaskId};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, TaskPhase, TaskStatus};

/// Delay before retrying a task that its worker refused: the machine had too little free capacity, or another
/// attempt of the task was on it.
const REFUSAL_RETRY_DELAY_MS: u64 = 700;
/// Delay before retrying a task whose worker had no description of the job.
const UNKNOWN_EXIT_RETRY_DELAY_MS: u64 = 3_000;

/// A machine is replaced if its runs take more than this many times the mean of their jobs, on average.
const SLOW_RATIO: f64 = 2.0;
/// The minimum number of finished runs of a job, and of compared runs on a machine, before run times are
/// judged.
const MIN_COMPARED_RUNS: u32 = 4;
/// How long the time at which a task finished is kept in `Machine::recent_finishes`.
const RECENT_FINISH_WINDOW_MS: u64 = 60_000;

/// Fetches shorter than this are not measured: heartbeats are too far apart to time them accurately.
const MIN_MEASURED_FETCH_MS: u64 = 2_000;
/// Weight of one measured fetch in the moving average of its machine type.
const FETCH_RATE_WEIGHT: f64 = 0.1;

impl Leader {
    /// Applies the status of one task.
    pub(super) fn apply_task_status(&mut self, ix: MachineIx, clock: Clock, status: &TaskStatus) {
        let binding_index = self.cluster.machines[ix.index()]
            .bindings
            .iter()
            .position(|binding| binding.task == status.task && binding.attempt == status.attempt);
        match (binding_index, status.state) {
            (Some(index), TaskPhase::Exited(cause)) => {
                self.handle_task_exit(ix, index, status, cause, clock);
            }
            (Some(index), _) => {
                self.update_running_task(ix, index, status, clock);
                self.stop_superseded_attempt(ix, index);
            }
            (None, TaskPhase::Exited(_)) => {}
            (None, _) => self.stop_orphan_task(ix, status),
        }
    }

    /// Updates the binding at `index` of the machine: its task has been started and has not exited.
    fn update_running_task(&mut self, ix: MachineIx, index: usize, status: &TaskStatus, clock: Clock) {
        let phase = status.state;
        let machine = &mut self.cluster.machines[ix.index()];
        let binding = &mut machine.bindings[index];
        if !matches!(binding.dispatch, DispatchState::Observed | DispatchState::Inherited) {
            machine.unacknowledged_starts = 0;
        }
        let dispatch = std::mem::replace(&mut binding.dispatch, DispatchState::Observed);
        if binding.reported_state != Some(phase) {
            let (task, attempt) = (binding.task, binding.attempt.0);
            log::debug!(
                "task {task} is {phase:?} on machine {}: attempt {attempt}, {dispatch:?}",
                machine.name
            );
        }
        binding.reported_state = Some(phase);
        binding.late_start_possible = false;
        if phase == TaskPhase::Fetching {
            binding.fetching_since.get_or_insert(clock.now);
        }
        if phase == TaskPhase::Running && binding.running_since.is_none() {
            self.record_run_start(ix, index, status, clock);
        }
        let binding = &mut self.cluster.machines[ix.index()].bindings[index];
        let fetched = matches!(phase, TaskPhase::Running | TaskPhase::WaitingForPeers);
        if let Some(since) = binding.fetching_since.take_if(|_| fetched) {
            let job = binding.job;
            self.update_fetch_rate(ix, job, clock.now.saturating_since(since));
        }
    }

    fn record_run_start(&mut self, ix: MachineIx, index: usize, status: &TaskStatus, clock: Clock) {
        let binding = &mut self.cluster.machines[ix.index()].bindings[index];
        binding.running_since = Some(clock.now);
        let job = binding.job;
        self.event_log.record_task_event(status.task, JobEventKind::Running, ix);
        if let Some(job_state) = job.and_then(|job| self.workload.jobs.get_mut(&job)) {
            job_state.first_run.record(clock.wall_ms);
        }
        self.start_time_limit(ix, job, status, clock);
    }

    /// Updates the fetch rate of the machine's type after the image of the job was fetched in `fetch_ms`.
    fn update_fetch_rate(&mut self, ix: MachineIx, job: Option<JobIx>, fetch_ms: u64) {
        let Some(job_state) = job.and_then(|job| self.workload.jobs.get(&job)) else { return };
        let type_ix = self.cluster.machines[ix.index()].machine_type;
        let Some(machine_type) = self.cluster.machine_types.get_mut(&type_ix) else { return };
        let image_mb = job_state.spec.image_mb;
        if fetch_ms < MIN_MEASURED_FETCH_MS || image_mb == 0 {
            return;
        }
        let mb_per_s = image_mb as f64 / fetch_ms as f64 * 1000.0;
        machine_type.fetch_mb_per_s += (mb_per_s - machine_type.fetch_mb_per_s) * FETCH_RATE_WEIGHT;
    }

    /// Stops the task at `index` of the machine's bindings if a newer attempt of it is placed on another machine. The
    /// newer attempt was issued once the older one had left its machine, so the older one has been revived by a late
    /// command; its record remains only because other entries keep its log segment.
    fn stop_superseded_attempt(&mut self, ix: MachineIx, index: usize) {
        let machine = &self.cluster.machines[ix.index()];
        let binding = &machine.bindings[index];
        if binding.stop_grace_ms.is_some() {
            return;
        }
        let job_state = binding.job.and_then(|job| self.workload.jobs.get(&job));
        let newer = job_state.and_then(|state| state.newer_placement(binding));
        let Some((newer_machine, newer_attempt)) = newer else { return };
        let (task, attempt, name) = (binding.task, binding.attempt, machine.name.as_str());
        let newer_name = self.cluster.machines[newer_machine.index()].name.as_str();
        log::info!(
            event = "superseded_attempt", task:% = task, attempt = attempt.0, machine = name;
            "task {task} is on {name} with attempt {}, superseded by attempt {} on {newer_name}: stopping it",
            attempt.0, newer_attempt.0
        );
        self.counters.superseded_attempts += 1;
        self.cluster.machines[ix.index()].bindings[index].stop_grace_ms = Some(0);
        self.cluster.pending_direct_messages.insert(ix);
    }

    /// Stops an orphan task, which has no binding on the machine. It is bound without a job, so that it
    /// counts as present until the worker's reports show that it has stopped.
    fn stop_orphan_task(&mut self, ix: MachineIx, status: &TaskStatus) {
        self.counters.orphan_tasks += 1;
        self.log_orphan_task(ix, status);
        self.add_binding(ix, orphan_binding(status));
    }

    fn handle_task_exit(
        &mut self,
        ix: MachineIx,
        index: usize,
        status: &TaskStatus,
        cause: ExitCause,
        clock: Clock,
    ) {
        let binding = self.remove_binding(ix, index, clock);
        self.log_exit(ix, &binding, cause);
        if cause == ExitCause::Done {
            if let Some(job) = binding.job {
                self.record_node_task_done(ix, job, status);
            }
            self.record_success(ix, &binding, clock);
            return;
        }
        let node_delay = self.record_node_failure(ix, &binding, cause);
        if cause == ExitCause::Error {
            self.record_failure(ix, &binding, clock);
        }
        let job_state = binding.job.and_then(|job| self.workload.jobs.get(&job));
        let backoff_factor = job_state.map_or(1, JobState::failure_backoff_factor);
        let default_delay = exit_retry_delay_ms(cause).saturating_mul(backoff_factor);
        self.requeue(&binding, node_delay.unwrap_or(default_delay), clock);
        self.on_gang_member_lost(&binding);
    }

    fn record_success(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.failed_jobs.clear();
        machine
            .recent_finishes
            .retain(|finished_at| clock.now.saturating_since(*finished_at) < RECENT_FINISH_WINDOW_MS);
        machine.recent_finishes.push(clock.now);
        let Some(job) = binding.job else { return };
        let Some(job_state) = self.workload.jobs.get_mut(&job) else { return };
        let had_exclusions = !job_state.excluded_machines.is_empty();
        let was_on_probation = job_state.reset_failures();
        // Only runs whose start this leader observed are measured.
        if let Some(since) = binding.running_since {
            let run_ms = clock.now.saturating_since(since);
            update_run_time_ratio(machine, job_state, run_ms);
            job_state.finished_runs += 1;
            job_state.total_run_ms += run_ms;
        }
        self.mark_task_done(job, binding.task, clock);
        if was_on_probation {
            self.end_probation(job);
        }
        if had_exclusions {
            self.on_exclusions_lifted(job);
        }
    }

    /// Marks the task as finished, and finishes the job if this was its last task.
    pub(super) fn mark_task_done(&mut self, ix: JobIx, task: TaskId, clock: Clock) {
        let Some(job_state) = self.workload.jobs.get_mut(&ix) else { return };
        if job_state.spec.kind == JobKind::Gang {
            // The tasks of a gang complete together: one finished task proves that all have finished.
            for task in 0..job_state.spec.tasks {
                job_state.finished.insert(task);
            }
        } else if job_state.finished.insert(task.task) && !job_state.finished.is_full() {
            self.assignment_log.queue_finished(task, clock.now);
        }
        if job_state.finished.is_full() {
            self.finish_job(ix);
        }
    }
}

/// Returns the binding of an orphan task: it has no job and is to be stopped without a grace period.
fn orphan_binding(status: &TaskStatus) -> Binding {
    Binding {
        task: status.task,
        job: None,
        attempt: status.attempt,
        need: Default::default(),
        team: None,
        pool: None,
        best_effort: false,
        service: false,
        timed_out: false,
        dispatch: DispatchState::Observed,
        log_segment: None,
        reported_state: Some(status.state),
        late_start_possible: false,
        fetching_since: None,
        running_since: None,
        stop_grace_ms: Some(0),
        stop_sent_at: None,
        lease_renewal_cutoff: None,
    }
}

/// Returns the delay before a task that exited without success is attempted again, not yet multiplied by the
/// job's backoff factor.
fn exit_retry_delay_ms(cause: ExitCause) -> u64 {
    match cause {
        ExitCause::Error => ERROR_RETRY_DELAY_MS,
        ExitCause::InsufficientCapacity | ExitCause::Busy => REFUSAL_RETRY_DELAY_MS,
        ExitCause::UnknownJob => UNKNOWN_EXIT_RETRY_DELAY_MS,
        ExitCause::Done | ExitCause::Stopped { .. } | ExitCause::PeersLost | ExitCause::GangIncomplete => 0,
    }
}

/// Compares the time of a run with the mean of the job's earlier runs, and marks the machine as slow if runs
/// on it take too long on average.
fn update_run_time_ratio(machine: &mut Machine, job_state: &JobState, run_ms: u64) {
    if job_state.finished_runs >= MIN_COMPARED_RUNS {
        let mean_ms = (job_state.total_run_ms / u64::from(job_state.finished_runs)).max(1);
        machine.run_time_ratios.runs += 1;
        machine.run_time_ratios.sum += run_ms as f64 / mean_ms as f64;
    }
    let RunTimeRatios { runs, sum } = machine.run_time_ratios;
    if runs >= MIN_COMPARED_RUNS && sum > SLOW_RATIO * f64::from(runs) && !machine.slow {
        log::info!(event = "machine_slow", machine = machine.name.as_str(); "machine {} is slow, replacing it", machine.name);
        machine.slow = true;
    }
}
