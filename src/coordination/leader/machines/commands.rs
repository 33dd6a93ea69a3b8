//! Commands to workers: in the response to a report, or straight to the worker.

use olivelatch_admission::pressure::PressureLevel;

use crate::coordination::Clock;
use crate::coordination::leader::{DispatchState, Leader, MachineState};
use crate::ids::{AgentEpoch, Attempt, MachineIx, TaskId};
use crate::protocol::workers::WorkerCommand;

/// A halt is repeated after this while its task is still shown.
const STOP_RESEND_MS: u64 = 1500;
/// After a direct command failed, the worker's own reports are waited for.
const DIRECT_BACKOFF_MS: u64 = 3000;
/// Machines greeted by one step of a new leader.
const MAX_ANNOUNCEMENTS: u64 = 16;
/// And of one that is behind its events.
const MAX_ANNOUNCEMENTS_UNDER_PRESSURE: u64 = 1;
/// Most commands in one message.
const MAX_COMMANDS: usize = 400;

/// A direct message to a worker, and the runs that go with it.
#[derive(Debug)]
pub struct DirectMessage {
    pub machine: MachineIx,
    /// The session it is meant for; 0 if that is not known yet.
    pub epoch: AgentEpoch,
    pub task_starts: Vec<(TaskId, Attempt)>,
    pub commands: Vec<WorkerCommand>,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    Executed,
    /// Nothing was executed and nothing will be.
    Refused,
    /// It may have been, or may be minutes later.
    Unknown,
}

impl Leader {
    /// The commands a machine should get now. `tick`: that of the report being answered,
    /// None for a direct message.
    pub fn take_due_commands(
        &mut self,
        ix: MachineIx,
        clock: Clock,
        sequence: Option<u64>,
        may_start: bool,
    ) -> Vec<WorkerCommand> {
        let machine = &mut self.cluster.machines[ix.index()];
        let mut commands = Vec::new();
        for binding in &mut machine.bindings {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let (task, attempt) = (binding.task, binding.attempt);
            if let Some(grace_ms) = binding.stop_grace_ms {
                let due =
                    binding.stop_sent_at.is_none_or(|at| clock.now.saturating_since(at) >= STOP_RESEND_MS);
                let saving_checkpoint = binding.reported_state
                    == Some(crate::protocol::workers::TaskPhase::Checkpointing)
                    && grace_ms > 0;
                if due && !saving_checkpoint {
                    binding.stop_sent_at = Some(clock.now);
                    commands.push(WorkerCommand::Stop { task, attempt, grace_ms });
                }
                continue;
            }
            if binding.dispatch == DispatchState::Recorded && may_start {
                binding.dispatch = match sequence {
                    Some(tick) => DispatchState::SentInResponse { sequence: tick },
                    None => DispatchState::SentDirect,
                };
                commands.push(WorkerCommand::Run { task, attempt });
            }
        }
        commands
    }

    /// Machines that have something to hear, each at most one message at a time.
    pub fn take_direct_messages(&mut self, clock: Clock, may_start: bool) -> Vec<DirectMessage> {
        let mut messages = Vec::new();
        let mut announcements = 0;
        let max_announcements = if self.pressure > PressureLevel::Calm {
            MAX_ANNOUNCEMENTS_UNDER_PRESSURE
        } else {
            MAX_ANNOUNCEMENTS
        };
        for ix in std::mem::take(&mut self.cluster.pending_announcements) {
            let machine = &self.cluster.machines[ix.index()];
            if machine.state != MachineState::Up
                || machine.direct_send_in_flight
                || clock.now < machine.direct_send_not_before
            {
                if machine.receive_path_down() && machine.state == MachineState::Up {
                    self.cluster.pending_announcements.insert(ix);
                }
                continue;
            }
            // One that is deaf is greeted again and again, so that it is known when it hears.
            let announcing = !machine.token_acknowledged || machine.receive_path_down();
            if announcing && machine.epoch.0 == 0 && machine.endpoint.is_empty() {
                continue;
            }
            // Starts go with the answer to its next report, which costs no connection.
            let urgent = announcing || machine.bindings.iter().any(|binding| binding.stop_grace_ms.is_some());
            if self.pressure > PressureLevel::Calm && !urgent {
                continue;
            }
            // All at once they would hold up renewals and reports; who reports first needs none.
            if announcing && announcements >= max_announcements {
                self.cluster.pending_announcements.insert(ix);
                continue;
            }
            announcements += u64::from(announcing);
            let commands =
                if announcing { Vec::new() } else { self.take_due_commands(ix, clock, None, may_start) };
            if commands.is_empty() && !announcing {
                continue;
            }
            let task_starts = commands
                .iter()
                .filter_map(|order| match order {
                    WorkerCommand::Run { task, attempt } => Some((*task, *attempt)),
                    _ => None,
                })
                .collect();
            let machine = &mut self.cluster.machines[ix.index()];
            machine.direct_send_in_flight = true;
            messages.push(DirectMessage { machine: ix, epoch: machine.epoch, task_starts, commands });
        }
        self.counters.leadership_announcements += announcements;
        self.counters.max_announcements_per_step =
            self.counters.max_announcements_per_step.max(announcements);
        messages
    }

    pub fn handle_direct_outcome(&mut self, message: &DirectMessage, outcome: DirectOutcome, clock: Clock) {
        let machine = &mut self.cluster.machines[message.machine.index()];
        machine.direct_send_in_flight = false;
        if outcome == DirectOutcome::Refused && machine.epoch > message.epoch {
            // A worker takes no notice of a token that comes with another session than its
            // own, which no record tells: its refusal did.
            self.cluster.pending_announcements.insert(message.machine);
        } else if outcome != DirectOutcome::Executed {
            machine.direct_send_not_before = clock.now.saturating_add(DIRECT_BACKOFF_MS);
        }
        let delivered = outcome == DirectOutcome::Executed;
        if delivered {
            machine.unacknowledged_starts = 0;
        }
        for binding in &mut machine.bindings {
            if !message.task_starts.contains(&(binding.task, binding.attempt))
                || binding.dispatch != DispatchState::SentDirect
            {
                continue;
            }
            match outcome {
                DirectOutcome::Executed => binding.dispatch = DispatchState::Observed,
                DirectOutcome::Refused => binding.dispatch = DispatchState::Recorded,
                DirectOutcome::Unknown => {
                    // Sent again with the next response, which settles it; until then it
                    // stays bound to this machine and session.
                    binding.dispatch = DispatchState::Recorded;
                    binding.late_start_possible = true;
                }
            }
        }
        if outcome == DirectOutcome::Unknown {
            // Also those that were seen to exit meanwhile: a late copy must find them there.
            machine.late_starts.extend(message.task_starts.iter().copied());
        }
        let machine = &self.cluster.machines[message.machine.index()];
        if delivered {
            self.refresh_placement_index(message.machine);
        } else if machine.receive_path_down() {
            self.cluster.pending_announcements.insert(message.machine);
        } else if outcome == DirectOutcome::Unknown
            && machine.state == MachineState::Up
            && !message.task_starts.is_empty()
        {
            self.record_unacknowledged_command(message.machine);
        }
    }
}
