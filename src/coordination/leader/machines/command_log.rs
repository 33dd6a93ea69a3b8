//! Log lines that let an engineer reconstruct which commands a worker was sent, under which authority, and what its
//! messages contained that the leader did not expect.
//!
//! Lines about single commands are at level `debug`: there are several per task. Lines about unexpected tasks are at
//! level `info`: in normal operation there are none.

use std::fmt;

use crate::coordination::leader::term::LeaderTerm;
use crate::coordination::leader::{Leader, Machine};
use crate::ids::{Attempt, MachineIx, TaskId};
use crate::protocol::workers::{Heartbeat, TaskStatus, WorkerCommand};

/// How commands travel to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// In a direct message.
    Direct,
    /// In the response to the heartbeat with this sequence number.
    Response {
        /// Sequence number of that heartbeat.
        sequence: u64,
    },
}

impl fmt::Display for CommandPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandPath::Direct => write!(f, "directly"),
            CommandPath::Response { sequence } => write!(f, "in the response to heartbeat {sequence}"),
        }
    }
}

/// Returns the name of a command, its task and its attempt.
fn command_parts(command: &WorkerCommand) -> (&'static str, TaskId, Attempt) {
    match *command {
        WorkerCommand::Run { task, attempt } => ("run", task, attempt),
        WorkerCommand::Stop { task, attempt, .. } => ("stop", task, attempt),
        WorkerCommand::Forget { task, attempt } => ("forget", task, attempt),
    }
}

/// Returns what makes it safe to send the command to the machine's worker.
fn safety_basis(machine: &Machine, command: &WorkerCommand) -> String {
    match (command, machine.direct_start_token) {
        (WorkerCommand::Run { .. }, _) => "its record is durable".into(),
        (WorkerCommand::Stop { .. }, _) => "repeating it has no effect".into(),
        (WorkerCommand::Forget { .. }, None) => "no direct start in this epoch".into(),
        (WorkerCommand::Forget { .. }, Some(used)) => format!("direct starts had token {} at most", used.0),
    }
}

/// Logs the commands of a message to the machine's worker, with the token and the epoch to which they are bound.
pub(super) fn log_commands(machine: &Machine, path: CommandPath, commands: &[WorkerCommand]) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let (name, token, epoch) = (machine.name.as_str(), machine.token.0, machine.epoch.0);
    for command in commands {
        let (verb, task, attempt) = command_parts(command);
        let basis = safety_basis(machine, command);
        log::debug!(
            event = "command", verb, task:% = task, attempt = attempt.0, machine = name, token, epoch, basis = basis.as_str();
            "{verb} {task} attempt {} on machine {name}, sent {path}: token {token}, epoch {epoch}; {basis}",
            attempt.0
        );
    }
}

/// Logs that the response to a heartbeat does not renew the lease of the machine's worker.
pub(super) fn log_rejected_heartbeat(machine: &Machine, reason: &'static str) {
    let (name, epoch, sequence) = (machine.name.as_str(), machine.epoch.0, machine.sequence);
    log::debug!(
        event = "heartbeat_rejected", machine = name, epoch, sequence, reason;
        "heartbeat of machine {name} rejected, its lease is not renewed: {reason}"
    );
}

/// Logs a heartbeat that is recognised as a copy of an earlier one.
pub(super) fn log_duplicate_heartbeat(heartbeat: &Heartbeat) {
    let Heartbeat { machine, epoch, sequence, token, .. } = heartbeat;
    log::debug!(
        event = "duplicate_heartbeat", machine = machine.as_str(), epoch = epoch.0, sequence, token = token.0;
        "heartbeat {sequence} of machine {machine} is a duplicate: epoch {}, token {}",
        epoch.0, token.0
    );
}

impl Leader {
    /// Logs a task that a worker reports without a binding, with the places where the leader expects the task.
    pub(super) fn log_orphan_task(&self, ix: MachineIx, status: &TaskStatus) {
        let machine = &self.cluster.machines[ix.index()];
        let (name, epoch, sequence) = (machine.name.as_str(), machine.epoch.0, machine.sequence);
        let (task, attempt) = (status.task, status.attempt);
        let issuer = LeaderTerm::issuing_token(attempt).0;
        let expected = self.machines_with_task(task);
        log::info!(
            event = "orphan_task", task:% = task, attempt = attempt.0, machine = name, epoch, sequence, issuer;
            "orphan task {task} on {name}, stopping it: attempt {} of token {issuer}, epoch {epoch}; expected on {expected}",
            attempt.0
        );
    }

    /// Logs how many tasks are on record on several machines. At most one of these places is real.
    pub(in crate::coordination) fn log_tasks_in_several_places(&self) {
        let placements = self.workload.jobs.values().flat_map(|job| job.placements.values());
        let count = placements.filter(|machines| machines.len() > 1).count();
        if count > 0 {
            log::info!(event = "several_places", tasks = count; "{count} tasks are on record on several machines");
        }
    }

    /// Returns the machines on which the leader expects a task of an unfinished job, with the attempts.
    fn machines_with_task(&self, task: TaskId) -> String {
        let job_state = self.workload.jobs.values().find(|job_state| job_state.spec.id == task.job);
        let places = job_state.and_then(|job_state| job_state.placements.get(&task.task));
        let places: Vec<String> = places
            .into_iter()
            .flatten()
            .map(|(ix, attempt)| {
                format!("{} (attempt {})", self.cluster.machines[ix.index()].name, attempt.0)
            })
            .collect();
        if places.is_empty() { "no machine".into() } else { places.join(", ") }
    }
}
