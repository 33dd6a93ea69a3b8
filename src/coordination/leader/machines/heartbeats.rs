//! Handles heartbeats from workers: updates the leader's state and decides on the response.
//!
//! An answered heartbeat renews the worker's lease, so a heartbeat that must not keep the worker alive is
//! rejected. No command is sent to a worker before it has acknowledged the leader's fencing token, and state
//! that was learned in an earlier worker epoch is void once a later one is seen. The state is kept in
//! `Machine`; this module does no I/O and reads no clock. Task statuses are handled in `task_status`,
//! differences between a heartbeat and the leader's bindings in `reconcile`.

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::machines::command_log::{
    CommandPath, log_commands, log_duplicate_heartbeat, log_rejected_heartbeat,
};
use crate::coordination::leader::{Binding, DispatchState, Leader, MachineIdentity, MachineState};
use crate::ids::{FencingToken, MachineIx, WorkerEpoch};
use crate::protocol::operators::JobEventKind;
use crate::protocol::workers::{Heartbeat, WorkerCommand};

/// The response to a heartbeat.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// Renew the worker's lease and send it these commands.
    Commands {
        /// The fencing token that the response carries.
        token: FencingToken,
        /// The commands, in the order in which the worker executes them.
        commands: Vec<WorkerCommand>,
    },
    /// Do not renew the worker's lease: its tasks have to stop when the lease expires.
    Reject,
}

impl Leader {
    /// Handles a heartbeat that arrived as a request. `may_start` tells whether this controller may start
    /// tasks now.
    pub(in crate::coordination) fn handle_heartbeat(
        &mut self,
        cache: &mut StoreCache,
        clock: Clock,
        heartbeat: &Heartbeat,
        may_start: bool,
    ) -> HeartbeatReply {
        let ix = self.register_reporting_machine(cache, heartbeat, clock);
        if self.is_duplicate_heartbeat(ix, heartbeat) {
            // The worker does not wait for the response to a delayed copy, and the copy renews no lease.
            self.counters.duplicate_heartbeats += 1;
            log_duplicate_heartbeat(heartbeat);
            return HeartbeatReply::Reject;
        }
        self.cluster.machines[ix.index()].last_heartbeat_id = (heartbeat.epoch, heartbeat.sequence);
        // The response to a direct message may have overtaken this heartbeat and shown a later state. The
        // heartbeat may still be the worker's latest one, so its response renews the lease like any other,
        // but the heartbeat contains nothing new.
        let is_newer = self.is_newer_heartbeat(ix, heartbeat);
        let acknowledged = self.term.contains(heartbeat.token);
        self.mark_machine_up(ix, clock);
        if is_newer && !acknowledged && self.check_unacknowledged_timeout(ix, clock) {
            log_rejected_heartbeat(&self.cluster.machines[ix.index()], "no acknowledgement for a lease");
            return HeartbeatReply::Reject;
        }
        if is_newer {
            self.apply_heartbeat(ix, clock, heartbeat);
            self.reconcile_done_tasks(cache, heartbeat, clock);
            if acknowledged {
                self.record_token_acknowledged(ix);
                self.reconcile_missing_tasks(ix, clock, heartbeat);
            }
        }
        self.refresh_placement_index(ix);
        if self.is_lease_renewal_cut_off(ix, clock) {
            log_rejected_heartbeat(&self.cluster.machines[ix.index()], "a cancelled task ends with it");
            return HeartbeatReply::Reject;
        }
        self.cluster.machines[ix.index()].last_answered_heartbeat_at = Some(clock.now);
        if !is_newer || !acknowledged {
            // The response tells the worker the token; commands follow once the worker has acknowledged it.
            let token = self.cluster.machines[ix.index()].token;
            return HeartbeatReply::Commands { token, commands: Vec::new() };
        }
        let mut commands = self.take_forget_commands(ix, cache, heartbeat);
        commands.extend(self.take_due_commands(ix, clock, Some(heartbeat.sequence), may_start));
        let path = CommandPath::Response { sequence: heartbeat.sequence };
        let machine = &self.cluster.machines[ix.index()];
        log_commands(machine, path, &commands);
        HeartbeatReply::Commands { token: machine.token, commands }
    }

    /// Applies the worker's status from its response to a direct message. The status does not reflect
    /// commands in a heartbeat response that is still in flight to the worker, so missing tasks prove
    /// nothing.
    pub(in crate::coordination) fn observe_command_response(
        &mut self,
        ix: MachineIx,
        clock: Clock,
        heartbeat: &Heartbeat,
    ) {
        if !self.is_newer_heartbeat(ix, heartbeat) {
            return;
        }
        self.apply_heartbeat(ix, clock, heartbeat);
        let machine = &mut self.cluster.machines[ix.index()];
        // After a failover, the worker may go on sending its heartbeats to a partitioned controller for
        // another 16 s. The token in this response acknowledges the leader just as a heartbeat does.
        if self.term.contains(heartbeat.token) && !machine.token_acknowledged {
            machine.token_acknowledged = true;
            machine.token_first_acknowledged = Some(clock.now);
            self.cluster.pending_direct_messages.insert(ix);
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

    /// Returns whether this heartbeat, or a later one, has already arrived as a request.
    fn is_duplicate_heartbeat(&self, ix: MachineIx, heartbeat: &Heartbeat) -> bool {
        (heartbeat.epoch, heartbeat.sequence) <= self.cluster.machines[ix.index()].last_heartbeat_id
    }

    /// Returns whether the heartbeat is later than every message of the worker so far, including responses to
    /// direct messages.
    fn is_newer_heartbeat(&self, ix: MachineIx, heartbeat: &Heartbeat) -> bool {
        let machine = &self.cluster.machines[ix.index()];
        (heartbeat.epoch, heartbeat.sequence) > (machine.epoch, machine.sequence)
    }

    fn record_token_acknowledged(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.token_acknowledged = true;
        machine.unacknowledged_since = None;
    }

    /// Returns whether the machine still has a task of a cancelled job that only the expiry of the machine's
    /// lease can stop in time.
    fn is_lease_renewal_cut_off(&self, ix: MachineIx, clock: Clock) -> bool {
        let is_overdue =
            |binding: &Binding| binding.lease_renewal_cutoff.is_some_and(|cutoff| cutoff <= clock.now);
        self.cluster.machines[ix.index()].bindings.iter().any(is_overdue)
    }

    fn mark_machine_up(&mut self, ix: MachineIx, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        if machine.state == MachineState::Booting {
            let machine_type = self.cluster.machine_types.get(&machine.machine_type);
            let type_name = machine_type.map_or("", |machine_type| &machine_type.name);
            log::info!(event = "machine_up", machine = machine.name.as_str(); "machine {} up ({type_name})", machine.name);
            machine.idle_since = clock.now;
        }
        if matches!(machine.state, MachineState::Booting | MachineState::Unreachable) {
            machine.token_first_acknowledged = None;
            machine.state = MachineState::Up;
        }
    }

    /// Applies the epoch, the reclaim notice and the task statuses of a heartbeat. The caller has to refresh
    /// the placement index afterwards.
    fn apply_heartbeat(&mut self, ix: MachineIx, clock: Clock, heartbeat: &Heartbeat) {
        let listed = heartbeat.tasks.len() as u64;
        self.counters.max_tasks_per_heartbeat = self.counters.max_tasks_per_heartbeat.max(listed);
        let previous = self.cluster.machines[ix.index()].epoch;
        if heartbeat.epoch > previous {
            self.cluster.machines[ix.index()].epoch_first_seen = Some(clock.now);
            self.start_worker_epoch(ix, previous, heartbeat.epoch, clock);
        }
        let machine = &mut self.cluster.machines[ix.index()];
        machine.epoch = heartbeat.epoch;
        machine.sequence = heartbeat.sequence;
        self.apply_reclaim_notice(ix, heartbeat.reclaim_notice_ms, clock);
        for status in &heartbeat.tasks {
            self.apply_task_status(ix, clock, status);
        }
    }

    /// Applies a reclaim notice. `notice_ms` is the time until the cloud reclaims the spot machine, or `None`
    /// if it has not announced that it will.
    fn apply_reclaim_notice(&mut self, ix: MachineIx, notice_ms: Option<u64>, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        let Some(notice_ms) = notice_ms else {
            machine.reclaim_notice_until = None;
            return;
        };
        if machine.reclaim_notice_until.is_some() {
            return;
        }
        let name = machine.name.as_str();
        log::info!(event = "reclaim_notice", machine = name; "machine {name}: spot reclaim notice, {notice_ms} ms");
        machine.reclaim_notice_until = Some(clock.now.saturating_add(notice_ms));
        self.on_interruption_notice(ix, notice_ms);
    }

    /// Handles a new worker epoch: the worker's lease had expired, so tasks and commands of its earlier epoch
    /// are void.
    fn start_worker_epoch(
        &mut self,
        ix: MachineIx,
        previous: WorkerEpoch,
        current: WorkerEpoch,
        clock: Clock,
    ) {
        self.cluster.machines[ix.index()].direct_start_token = None;
        if previous == WorkerEpoch(0) {
            return;
        }
        log::info!("machine {} starts epoch {}", self.cluster.machines[ix.index()].name, current.0);
        if self.cluster.machines[ix.index()].bindings.iter().any(is_start_unacknowledged) {
            self.record_unacknowledged_command(ix);
        }
        while let Some(index) = self.cluster.machines[ix.index()].bindings.iter().position(is_lost_with_epoch)
        {
            let binding = self.remove_binding(ix, index, clock);
            self.event_log.record_task_event(binding.task, JobEventKind::MachineLost, ix);
            self.requeue(&binding, 0, clock);
        }
        self.forget_images(ix);
    }
}

/// Returns whether a binding of an earlier epoch is guaranteed to be void in the current one. A binding whose
/// start command cannot have been executed is kept. So is an inherited one: if the earlier epoch was seen in
/// a delayed heartbeat, the task may have been started in the current epoch. The first heartbeat that
/// acknowledges this leader's token resolves it.
fn is_lost_with_epoch(binding: &Binding) -> bool {
    let unsent_or_inherited = matches!(
        binding.dispatch,
        DispatchState::Planned | DispatchState::Recorded | DispatchState::Inherited
    );
    binding.late_start_possible || !unsent_or_inherited
}

/// Returns whether a run command was sent and the worker has shown no sign of having received it.
fn is_start_unacknowledged(binding: &Binding) -> bool {
    binding.late_start_possible || matches!(binding.dispatch, DispatchState::SentInResponse { .. })
}
