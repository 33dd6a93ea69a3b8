//! Commands to workers, sent in the response to a heartbeat or in a direct message.
//!
//! Decides which commands are due and which workers are sent a direct message, and handles its outcome. A run
//! command is sent only once the binding is recorded durably, and at most one direct message to a machine is
//! in flight.

use olivelatch_admission::pressure::PressureLevel;

use crate::coordination::Clock;
use crate::coordination::leader::machines::command_log::{CommandPath, log_commands};
use crate::coordination::leader::{Binding, DispatchState, Leader, Machine, MachineState};
use crate::ids::{Attempt, FencingToken, MachineIx, Millis, TaskId, WorkerEpoch};
use crate::protocol::workers::{TaskPhase, WorkerCommand};

/// A stop command is sent again after this time while the worker still reports the task.
const STOP_RESEND_MS: u64 = 1_500;
/// After a direct message to a machine has failed, no other is sent to it for this long. Meanwhile commands
/// are sent in the responses to its heartbeats.
const DIRECT_BACKOFF_MS: u64 = 3_000;
/// The maximum number of machines to which the leader is announced in one step.
const MAX_ANNOUNCEMENTS: u64 = 16;
/// The same limit while the leader is behind with handling its events.
const MAX_ANNOUNCEMENTS_UNDER_PRESSURE: u64 = 1;
/// The maximum number of commands in one message.
const MAX_COMMANDS: usize = 400;
/// The maximum number of commands for one task in a message: a start and a stop.
const MAX_COMMANDS_PER_TASK: usize = 2;

/// A direct message to a worker.
#[derive(Debug)]
pub struct DirectMessage {
    /// The machine to whose worker the message goes.
    pub machine: MachineIx,
    /// The worker epoch for which the message is meant; 0 if it is not known yet.
    pub epoch: WorkerEpoch,
    /// The fencing token that the message carries.
    pub token: FencingToken,
    /// The tasks that the commands start.
    pub task_starts: Vec<(TaskId, Attempt)>,
    /// Empty if the message only announces the leader.
    pub commands: Vec<WorkerCommand>,
}

/// The outcome of a direct message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    /// The commands were executed.
    Executed,
    /// No command was executed, and none will be.
    Refused,
    /// The commands may have been executed, or may still be executed minutes later.
    Unknown,
}

/// The purpose of a direct message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DirectPurpose {
    /// Sends the fencing token to a worker that has not acknowledged it, or whose receive path is down.
    Announcement,
    Commands,
}

impl Leader {
    /// Returns the commands that are due for a machine, and marks them as sent. `sequence` is the sequence
    /// number of the heartbeat to which they respond, or `None` for a direct message. `may_start` tells
    /// whether this controller may start tasks now.
    pub(super) fn take_due_commands(
        &mut self,
        ix: MachineIx,
        clock: Clock,
        sequence: Option<u64>,
        may_start: bool,
    ) -> Vec<WorkerCommand> {
        let dispatched = match sequence {
            Some(sequence) => DispatchState::SentInResponse { sequence },
            None => DispatchState::SentDirect,
        };
        let mut commands = Vec::new();
        for binding in &mut self.cluster.machines[ix.index()].bindings {
            // A repeated start must not be sent without the stop that follows it.
            if commands.len() + MAX_COMMANDS_PER_TASK > MAX_COMMANDS {
                break;
            }
            if may_start && is_start_due(binding) {
                binding.dispatch = dispatched;
                commands.push(WorkerCommand::Run { task: binding.task, attempt: binding.attempt });
                if binding.stop_grace_ms.is_some() {
                    log::debug!("repeating the lost start of task {} together with its stop", binding.task);
                    binding.stop_sent_at = None;
                }
            }
            commands.extend(take_due_stop(binding, clock.now));
        }
        commands
    }

    /// Returns the direct messages that are due, and marks them as in flight.
    pub(in crate::coordination) fn take_direct_messages(
        &mut self,
        clock: Clock,
        may_start: bool,
    ) -> Vec<DirectMessage> {
        let under_pressure = self.pressure > PressureLevel::Calm;
        let max_announcements =
            if under_pressure { MAX_ANNOUNCEMENTS_UNDER_PRESSURE } else { MAX_ANNOUNCEMENTS };
        let mut messages = Vec::new();
        let mut announcements = 0;
        for ix in std::mem::take(&mut self.cluster.pending_direct_messages) {
            let Some(purpose) = self.direct_purpose(ix, clock.now) else { continue };
            if purpose == DirectPurpose::Announcement {
                // Sent all at once, announcements would delay lease renewals and heartbeats. A machine whose
                // heartbeat arrives first needs no announcement.
                if announcements >= max_announcements {
                    self.cluster.pending_direct_messages.insert(ix);
                    continue;
                }
                announcements += 1;
                messages.push(self.start_direct_message(ix, Vec::new()));
                continue;
            }
            let commands = self.take_due_commands(ix, clock, None, may_start);
            if !commands.is_empty() {
                messages.push(self.start_direct_message(ix, commands));
            }
        }
        self.counters.leadership_announcements += announcements;
        self.counters.max_announcements_per_step =
            self.counters.max_announcements_per_step.max(announcements);
        messages
    }

    /// Returns the purpose of a direct message to the machine, or `None` if none should be sent now. A
    /// machine whose receive path is down stays pending, so that the leader learns when the machine receives
    /// again.
    fn direct_purpose(&mut self, ix: MachineIx, now: Millis) -> Option<DirectPurpose> {
        let machine = &self.cluster.machines[ix.index()];
        if machine.state != MachineState::Up {
            return None;
        }
        let receive_path_down = machine.receive_path_down();
        if machine.direct_send_in_flight || now < machine.direct_send_not_before {
            if receive_path_down {
                self.cluster.pending_direct_messages.insert(ix);
            }
            return None;
        }
        if !machine.token_acknowledged || receive_path_down {
            let reachable = machine.epoch.0 != 0 || !machine.endpoint.is_empty();
            return reachable.then_some(DirectPurpose::Announcement);
        }
        // Under pressure, commands are sent directly only to machines with tasks to stop. Starts elsewhere
        // wait for the next heartbeat response, which needs no additional connection.
        let has_stops = machine.bindings.iter().any(|binding| binding.stop_grace_ms.is_some());
        let postponed = self.pressure > PressureLevel::Calm && !has_stops;
        (!postponed).then_some(DirectPurpose::Commands)
    }

    fn start_direct_message(&mut self, ix: MachineIx, commands: Vec<WorkerCommand>) -> DirectMessage {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.direct_send_in_flight = true;
        log_commands(machine, CommandPath::Direct, &commands);
        let task_starts: Vec<(TaskId, Attempt)> = commands
            .iter()
            .filter_map(|command| match command {
                WorkerCommand::Run { task, attempt } => Some((*task, *attempt)),
                WorkerCommand::Stop { .. } | WorkerCommand::Forget { .. } => None,
            })
            .collect();
        if !task_starts.is_empty() {
            machine.direct_start_token = Some(machine.token);
        }
        DirectMessage { machine: ix, epoch: machine.epoch, token: machine.token, task_starts, commands }
    }

    /// Handles the outcome of a direct message.
    pub(in crate::coordination) fn handle_direct_outcome(
        &mut self,
        message: &DirectMessage,
        outcome: DirectOutcome,
        clock: Clock,
    ) {
        let ix = message.machine;
        let machine = &mut self.cluster.machines[ix.index()];
        machine.direct_send_in_flight = false;
        if outcome == DirectOutcome::Refused && machine.epoch > message.epoch {
            // A worker ignores a token that comes with an epoch other than its own. The records do not hold
            // the epoch, but the refusal carried it, so the message can be sent again at once.
            self.cluster.pending_direct_messages.insert(ix);
        } else if outcome != DirectOutcome::Executed {
            machine.direct_send_not_before = clock.now.saturating_add(DIRECT_BACKOFF_MS);
        }
        update_direct_starts(machine, message, outcome);
        match outcome {
            DirectOutcome::Executed => self.refresh_placement_index(ix),
            DirectOutcome::Refused | DirectOutcome::Unknown if machine.receive_path_down() => {
                self.cluster.pending_direct_messages.insert(ix);
            }
            DirectOutcome::Refused => {}
            DirectOutcome::Unknown => {
                if machine.state == MachineState::Up && !message.task_starts.is_empty() {
                    self.record_unacknowledged_command(ix);
                }
            }
        }
    }
}

/// Returns whether the start command of a binding is to be sent.
///
/// A task that is to be stopped is started only to resolve a direct start whose outcome is unknown and that may still
/// reach the worker: a start has no effect on a worker that has the attempt already, exited or not, and the stop that
/// follows it in the same message ends the task at once. Then the worker reports the attempt as exited, and no late
/// start can revive it. Without the repeated start, a worker that never received the first one would ignore the stop, and
/// the task would count as placed until the worker's epoch ends. No task of a cancelled job is started; for those, the
/// machine's lease is no longer renewed.
fn is_start_due(binding: &Binding) -> bool {
    let is_to_run = binding.stop_grace_ms.is_none();
    let resolves_late_start = binding.late_start_possible && binding.job.is_some();
    binding.dispatch == DispatchState::Recorded && (is_to_run || resolves_late_start)
}

/// Returns the stop command of a binding if it is due. It is not sent again while the task saves a checkpoint
/// within a grace period.
fn take_due_stop(binding: &mut Binding, now: Millis) -> Option<WorkerCommand> {
    let grace_ms = binding.stop_grace_ms?;
    let is_due = binding.stop_sent_at.is_none_or(|sent_at| now.saturating_since(sent_at) >= STOP_RESEND_MS);
    let saving_checkpoint = binding.reported_state == Some(TaskPhase::Checkpointing) && grace_ms > 0;
    if !is_due || saving_checkpoint {
        return None;
    }
    binding.stop_sent_at = Some(now);
    Some(WorkerCommand::Stop { task: binding.task, attempt: binding.attempt, grace_ms })
}

/// Updates the bindings whose start commands the message carried.
fn update_direct_starts(machine: &mut Machine, message: &DirectMessage, outcome: DirectOutcome) {
    if outcome == DirectOutcome::Executed {
        machine.unacknowledged_starts = 0;
    }
    let is_started = |binding: &&mut Binding| {
        binding.dispatch == DispatchState::SentDirect
            && message.task_starts.contains(&(binding.task, binding.attempt))
    };
    for binding in machine.bindings.iter_mut().filter(is_started) {
        binding.dispatch = match outcome {
            DirectOutcome::Executed => DispatchState::Observed,
            // After an unknown outcome, the command is repeated in the next heartbeat response, which
            // resolves it. Until then the task stays bound to this machine and epoch.
            DirectOutcome::Refused | DirectOutcome::Unknown => DispatchState::Recorded,
        };
        binding.late_start_possible |= outcome == DirectOutcome::Unknown;
    }
}
