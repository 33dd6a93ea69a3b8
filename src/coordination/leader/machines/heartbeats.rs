//! What workers say, and what follows from it.

use std::collections::HashSet;

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::machines::faults::backoff_factor;
use crate::coordination::leader::{Binding, DispatchState, Leader, MachineIdentity, MachineState};
use crate::ids::{AgentEpoch, Attempt, JobIx, MachineIx, TaskId};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{ExitCause, Heartbeat, TaskPhase, TaskStatus, WorkerCommand};
use olivelatch_dag::RetryState;

/// Before a task that failed, or was refused, is tried again.
pub const ERROR_RETRY_DELAY_MS: u64 = 1000;
const REFUSAL_RETRY_DELAY_MS: u64 = 700;
const UNKNOWN_EXIT_RETRY_DELAY_MS: u64 = 3000;
/// A machine on which runs take so many times their jobs' mean is replaced.
const SLOW_RATIO: f64 = 2.0;
/// Runs that a job, and a machine, must have finished before it is compared.
const MIN_COMPARED_RUNS: u32 = 4;

/// Fetches that tell a rate, and how much one of them counts.
const MIN_MEASURED_FETCH_MS: u64 = 2_000;
const FETCH_RATE_WEIGHT: f64 = 0.1;

/// How to answer a report.
#[derive(Debug)]
pub enum HeartbeatReply {
    Commands(Vec<WorkerCommand>),
    /// No answer that keeps the worker alive: what it holds must go.
    Reject,
}

impl Leader {
    /// A report that came as a request. `may_run`: this node is entitled to start tasks.
    pub fn handle_heartbeat(
        &mut self,
        cache: &mut StoreCache,
        clock: Clock,
        report: &Heartbeat,
        may_start: bool,
    ) -> HeartbeatReply {
        let ix = self.register_reporting_machine(cache, report, clock);
        let previous = std::mem::replace(
            &mut self.cluster.machines[ix.index()].last_heartbeat_id,
            (report.epoch, report.sequence),
        );
        if (report.epoch, report.sequence) <= previous {
            // A copy that comes late: nobody waits for the answer, and no lease grows by it.
            self.cluster.machines[ix.index()].last_heartbeat_id = previous;
            return HeartbeatReply::Reject;
        }
        // A report older than the body of an answer to `/orders` may still be the worker's latest: its answer keeps
        // the worker alive like any other, but it says nothing new.
        let newer = self.is_newer_heartbeat(ix, report);
        self.mark_machine_up(ix, clock);
        if newer && report.token != self.term.token() && self.check_unacknowledged_timeout(ix, clock) {
            return HeartbeatReply::Reject;
        }
        if newer {
            self.apply_heartbeat(ix, clock, report);
            self.reconcile_done_tasks(cache, report, clock);
        }
        if newer && report.token == self.term.token() {
            let machine = &mut self.cluster.machines[ix.index()];
            machine.token_acknowledged = true;
            machine.unacknowledged_since = None;
            self.reconcile_missing_tasks(ix, clock, report);
        }
        self.refresh_placement_index(ix);
        let overdue = |binding: &Binding| binding.lease_renewal_cutoff.is_some_and(|by| by <= clock.now);
        if self.cluster.machines[ix.index()].bindings.iter().any(overdue) {
            return HeartbeatReply::Reject;
        }
        self.cluster.machines[ix.index()].last_answered_heartbeat_at = Some(clock.now);
        if !newer || report.token != self.term.token() {
            // It hears of us only now; orders follow once it shows the token.
            return HeartbeatReply::Commands(Vec::new());
        }
        let mut commands = self.build_forget_commands(ix, cache, report);
        commands.extend(self.take_due_commands(ix, clock, Some(report.sequence), may_start));
        HeartbeatReply::Commands(commands)
    }

    /// The body of an answer to `/orders`: true as far as it goes, but silent on
    /// commands that are still on their way in a response.
    pub fn observe_command_response(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        if !self.is_newer_heartbeat(ix, heartbeat) {
            return;
        }
        self.apply_heartbeat(ix, clock, heartbeat);
        let machine = &mut self.cluster.machines[ix.index()];
        // Its reports may still be on their way to a leader that is cut off, for 16 s after
        // a takeover: what it showed here entitles us just as well.
        if heartbeat.token == self.term.token() && !machine.token_acknowledged {
            machine.token_acknowledged = true;
            machine.token_first_acknowledged = Some(clock.now);
            self.cluster.pending_announcements.insert(ix);
        }
        self.refresh_placement_index(ix);
    }

    fn register_reporting_machine(
        &mut self,
        cache: &mut StoreCache,
        heartbeat: &Heartbeat,
        clock: Clock,
    ) -> MachineIx {
        let machine_type = cache.names.machine_types.intern(&heartbeat.machine_type);
        let zone = cache.names.zones.intern(&heartbeat.zone);
        let identity = MachineIdentity {
            name: &heartbeat.machine,
            endpoint: &heartbeat.endpoint,
            machine_type,
            zone,
            spot: heartbeat.spot,
        };
        let ix = self.register_machine(identity, clock);
        self.cluster.machines[ix.index()].endpoint.clone_from(&heartbeat.endpoint);
        ix
    }

    /// It is there, or there again.
    fn mark_machine_up(&mut self, ix: MachineIx, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        if machine.state == MachineState::Booting {
            let kind = self.cluster.machine_types.get(&machine.machine_type).map_or("", |kind| &kind.name);
            log::info!(event = "machine_up", machine = machine.name.as_str(); "machine {} up ({kind})", machine.name);
            machine.idle_since = clock.now;
        }
        if matches!(machine.state, MachineState::Booting | MachineState::Unreachable) {
            machine.token_first_acknowledged = None;
            machine.state = MachineState::Up;
        }
    }

    fn is_newer_heartbeat(&self, ix: MachineIx, heartbeat: &Heartbeat) -> bool {
        let machine = &self.cluster.machines[ix.index()];
        (heartbeat.epoch, heartbeat.sequence) > (machine.epoch, machine.sequence)
    }

    /// Whoever calls it refreshes the machine when all is taken in.
    fn apply_heartbeat(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        let before = self.cluster.machines[ix.index()].epoch;
        if heartbeat.epoch > before {
            self.cluster.machines[ix.index()].epoch_first_seen = Some(clock.now);
            self.start_agent_epoch(ix, before, heartbeat.epoch, clock);
        }
        let machine = &mut self.cluster.machines[ix.index()];
        machine.epoch = heartbeat.epoch;
        machine.sequence = heartbeat.sequence;
        match heartbeat.reclaim_notice_ms {
            Some(ms) => {
                let until = clock.now.saturating_add(ms);
                if machine.reclaim_notice_until.is_none() {
                    log::info!(event = "notice", machine = machine.name.as_str(); "machine {} is taken back in {ms} ms", machine.name);
                    machine.reclaim_notice_until = Some(until);
                    self.on_interruption_notice(ix, ms);
                }
            }
            None => machine.reclaim_notice_until = None,
        }
        for piece in &heartbeat.tasks {
            self.apply_task_status(ix, clock, piece);
        }
    }

    /// The worker's lease had ended: it has forgotten all it was told before.
    fn start_agent_epoch(&mut self, ix: MachineIx, previous: AgentEpoch, current: AgentEpoch, clock: Clock) {
        self.cluster.machines[ix.index()].late_starts.clear();
        if previous == AgentEpoch(0) {
            return;
        }
        log::info!("machine {} starts session {}", self.cluster.machines[ix.index()].name, current.0);
        // What was inherited may have been started in this very session, if the one seen before was that of an old report
        // that came late: a report with our token tells.
        let was_sent = |binding: &Binding| {
            binding.late_start_possible
                || !matches!(
                    binding.dispatch,
                    DispatchState::Planned | DispatchState::Recorded | DispatchState::Inherited
                )
        };
        let unacknowledged = |binding: &Binding| {
            binding.late_start_possible || matches!(binding.dispatch, DispatchState::SentInResponse { .. })
        };
        if self.cluster.machines[ix.index()].bindings.iter().any(unacknowledged) {
            self.record_unacknowledged_command(ix);
        }
        while let Some(at) = self.cluster.machines[ix.index()].bindings.iter().position(was_sent) {
            let binding = self.remove_binding(ix, at, clock);
            self.event_log.record(
                binding.task.job,
                JobEventKind::MachineLost,
                Some(ix),
                binding.task.task,
                1,
            );
            self.requeue(&binding, 0, clock);
        }
        self.forget_images(ix);
    }

    fn apply_task_status(&mut self, ix: MachineIx, clock: Clock, piece: &TaskStatus) {
        let known = self.cluster.machines[ix.index()]
            .bindings
            .iter()
            .position(|b| b.task == piece.task && b.attempt == piece.attempt);
        match (known, piece.state) {
            (Some(at), TaskPhase::Exited(cause)) => self.handle_task_exit(ix, at, piece, cause, clock),
            (Some(at), state) => {
                let machine = &mut self.cluster.machines[ix.index()];
                if !matches!(
                    machine.bindings[at].dispatch,
                    DispatchState::Observed | DispatchState::Inherited
                ) {
                    machine.unacknowledged_starts = 0;
                }
                let binding = &mut machine.bindings[at];
                binding.dispatch = DispatchState::Observed;
                if binding.reported_state != Some(state) {
                    log::debug!("{} {:?} on {}", piece.task, state, ix.0);
                }
                binding.reported_state = Some(state);
                binding.late_start_possible = false;
                if state == TaskPhase::Fetching {
                    binding.fetching_since.get_or_insert(clock.now);
                }
                if state == TaskPhase::Running && binding.running_since.is_none() {
                    binding.running_since = Some(clock.now);
                    let job = binding.job;
                    self.event_log.record(
                        piece.task.job,
                        JobEventKind::Running,
                        Some(ix),
                        piece.task.task,
                        1,
                    );
                    if let Some(work) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
                        work.first_run.record(clock.wall_ms);
                    }
                    self.start_time_limit(ix, job, piece, clock);
                }
                let binding = &mut self.cluster.machines[ix.index()].bindings[at];
                let fetched = matches!(state, TaskPhase::Running | TaskPhase::WaitingForPeers);
                if let Some(since) = binding.fetching_since.take_if(|_| fetched) {
                    let job = binding.job;
                    self.update_fetch_rate(ix, job, clock.now.saturating_since(since));
                }
            }
            (None, TaskPhase::Exited(_)) => {}
            // Nothing of ours: it stops, and counts as being there until it is gone.
            (None, state) => self.stop_orphan_task(ix, piece, state),
        }
    }

    /// An image came in: what the machine type really fetches a second.
    fn update_fetch_rate(&mut self, ix: MachineIx, job: Option<JobIx>, ms: u64) {
        let Some(work) = job.and_then(|job| self.workload.jobs.get(&job)) else { return };
        let Some(kind) = self.cluster.machine_types.get_mut(&self.cluster.machines[ix.index()].machine_type)
        else {
            return;
        };
        // Shorter than the reports are apart, it says nothing.
        if ms < MIN_MEASURED_FETCH_MS || work.spec.image_mb == 0 {
            return;
        }
        let observed = work.spec.image_mb as f64 / ms as f64 * 1000.0;
        kind.fetch_mb_per_s += (observed - kind.fetch_mb_per_s) * FETCH_RATE_WEIGHT;
    }

    fn stop_orphan_task(&mut self, ix: MachineIx, status: &TaskStatus, state: TaskPhase) {
        log::info!("stray {} on {}", status.task, self.cluster.machines[ix.index()].name);
        let binding = Binding {
            task: status.task,
            job: None,
            attempt: status.attempt,
            need: Default::default(),
            team: None,
            pool: None,
            best_effort: false,
            timed_out: false,
            dispatch: DispatchState::Observed,
            log_segment: None,
            reported_state: Some(state),
            late_start_possible: false,
            fetching_since: None,
            running_since: None,
            stop_grace_ms: Some(0),
            stop_sent_at: None,
            lease_renewal_cutoff: None,
        };
        self.add_binding(ix, binding);
    }

    /// Tasks that a report proves not to be there.
    fn reconcile_missing_tasks(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        let reported: HashSet<(TaskId, Attempt)> =
            heartbeat.tasks.iter().map(|piece| (piece.task, piece.attempt)).collect();
        let receive_path_down = self.detect_dropped_response(ix, heartbeat.sequence);
        let mut at = 0;
        while let Some(binding) = self.cluster.machines[ix.index()].bindings.get_mut(at) {
            if reported.contains(&(binding.task, binding.attempt)) {
                at += 1;
                continue;
            }
            match binding.dispatch {
                // Our response was dropped: the worker never carries it out later.
                DispatchState::SentInResponse { sequence: tick }
                    if tick < heartbeat.sequence && (!receive_path_down || binding.late_start_possible) =>
                {
                    binding.dispatch = DispatchState::Recorded;
                }
                DispatchState::SentInResponse { sequence: tick } if tick < heartbeat.sequence => {
                    let binding = self.remove_binding(ix, at, clock);
                    self.requeue(&binding, 0, clock);
                    continue;
                }
                DispatchState::Observed | DispatchState::Inherited if !binding.late_start_possible => {
                    let binding = self.remove_binding(ix, at, clock);
                    self.requeue(&binding, 0, clock);
                    continue;
                }
                _ => {}
            }
            at += 1;
        }
        self.drop_unsent_bindings(ix, clock);
    }

    fn handle_task_exit(
        &mut self,
        ix: MachineIx,
        at: usize,
        status: &TaskStatus,
        cause: ExitCause,
        clock: Clock,
    ) {
        let binding = self.remove_binding(ix, at, clock);
        self.log_exit(ix, &binding, cause);
        if binding.late_start_possible {
            self.cluster.machines[ix.index()].late_starts.insert((binding.task, binding.attempt));
        }
        if cause == ExitCause::Done {
            if let Some(job) = binding.job {
                self.record_node_task_done(ix, job, status);
            }
            self.record_success(ix, &binding, clock);
            return;
        }
        let retry_delay = self.record_node_failure(ix, &binding, cause);
        let delay = match cause {
            ExitCause::Error => {
                self.record_failure(ix, &binding, clock);
                ERROR_RETRY_DELAY_MS
            }
            ExitCause::InsufficientCapacity | ExitCause::Busy => REFUSAL_RETRY_DELAY_MS,
            ExitCause::Unknown => UNKNOWN_EXIT_RETRY_DELAY_MS,
            _ => 0,
        };
        let work = binding.job.and_then(|job| self.workload.jobs.get(&job));
        let default_delay = delay.saturating_mul(work.map_or(1, backoff_factor));
        let delay = retry_delay.flatten().unwrap_or(default_delay);
        self.requeue(&binding, delay, clock);
        self.on_gang_member_lost(&binding);
    }

    fn record_success(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.failed_jobs.clear();
        machine.recent_finishes.retain(|at| clock.now.saturating_since(*at) < 60_000);
        machine.recent_finishes.push(clock.now);
        let Some(job) = binding.job else { return };
        let Some(work) = self.workload.jobs.get_mut(&job) else {
            return;
        };
        let was_on_probation = work.reset_failures();
        if let Some(since) = binding.running_since {
            if work.finished_runs >= MIN_COMPARED_RUNS {
                let mean = (work.total_run_ms / u64::from(work.finished_runs)).max(1);
                machine.run_time_ratio.0 += 1;
                machine.run_time_ratio.1 += clock.now.saturating_since(since) as f64 / mean as f64;
            }
            let (runs, sum) = machine.run_time_ratio;
            if runs >= MIN_COMPARED_RUNS && sum > SLOW_RATIO * f64::from(runs) && !machine.slow {
                log::info!(event = "slow", machine = machine.name.as_str(); "machine {} taken for slow", machine.name);
                machine.slow = true;
            }
            // Only runs that were seen from start to end say how long a task takes.
            work.finished_runs += 1;
            work.total_run_ms += clock.now.saturating_since(since);
        }
        self.mark_task_done(job, binding.task, clock);
        if was_on_probation {
            self.end_probation(job);
        }
    }

    fn mark_task_done(&mut self, ix: JobIx, task: TaskId, clock: Clock) {
        let Some(work) = self.workload.jobs.get_mut(&ix) else {
            return;
        };
        if work.spec.kind == JobKind::Gang {
            // They complete together: when one is done, all of them are.
            for task in 0..work.spec.tasks {
                work.finished.insert(task);
            }
        } else if work.finished.insert(task.task) && !work.finished.is_full() {
            self.assignment_log.queue_finished(task, clock.now);
        }
        if work.finished.is_full() {
            self.finish_job(ix);
        }
    }

    /// Exited tasks that may be forgotten by the worker: whatever that erases is durable.
    fn build_forget_commands(
        &self,
        ix: MachineIx,
        cache: &StoreCache,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        if heartbeat.token != self.term.token() {
            return Vec::new();
        }
        let machine = &self.cluster.machines[ix.index()];
        let is_forgettable = |piece: &&TaskStatus| {
            let TaskPhase::Exited(cause) = piece.state else {
                return false;
            };
            // A direct command may still come and would start it once more.
            if machine.late_starts.contains(&(piece.task, piece.attempt)) {
                return false;
            }
            if cause != ExitCause::Done || cache.terminal_state(piece.task.job).is_some() {
                return true;
            }
            cache.find_job(piece.task.job).is_none_or(|job| job.finished_tasks.contains(piece.task.task))
        };
        let may_forget =
            |piece: &&TaskStatus| is_forgettable(piece) && !self.has_unpersisted_failure(piece, cache);
        let forget = |piece: &TaskStatus| WorkerCommand::Forget { task: piece.task, attempt: piece.attempt };
        heartbeat.tasks.iter().filter(may_forget).map(forget).collect()
    }

    /// A failed try of a node that is not durable: forgotten by the worker, a new leader would not count it.
    fn has_unpersisted_failure(&self, status: &TaskStatus, cache: &StoreCache) -> bool {
        let work = cache.find(status.task.job).and_then(|job| self.workload.jobs.get(&job));
        let Some((work, node)) = work.and_then(|work| Some((work, work.dag_node.as_ref()?))) else {
            return false;
        };
        // A gang fails as one.
        let task = if work.spec.kind == JobKind::Gang { 0 } else { status.task.task };
        let covers =
            |tries: Option<&RetryState>| tries.is_some_and(|tries| tries.has_counted(status.attempt.0));
        let persisted = cache.dag_runs.retry_states_of(status.task.job).and_then(|tries| tries.get(&task));
        cache.terminal_state(status.task.job).is_none()
            && covers(node.retries.get(&task))
            && !covers(persisted)
    }

    /// A `done` of a task that an earlier leader had started and taken off its record.
    pub fn reconcile_done_tasks(&mut self, cache: &StoreCache, heartbeat: &Heartbeat, clock: Clock) {
        for piece in &heartbeat.tasks {
            if piece.state != TaskPhase::Exited(ExitCause::Done) {
                continue;
            }
            let Some(ix) = cache.find(piece.task.job) else {
                continue;
            };
            let Some(work) = self.workload.jobs.get_mut(&ix) else {
                continue;
            };
            // Counted already: it only waits to be reaped.
            if work.placements.contains_key(&piece.task.task) || work.finished.contains(piece.task.task) {
                continue;
            }
            let machine = self.cluster.machines_by_name.get(&heartbeat.machine).copied();
            if let Some(machine) = machine {
                self.record_node_task_done(machine, ix, piece);
            }
            self.mark_task_done(ix, piece.task, clock);
            if self.workload.jobs.get(&ix).is_some_and(|work| work.finished.is_full()) {
                self.remove_queued_tasks(ix);
            }
        }
    }
}
