//! Detects machines whose heartbeats stop, or that commands do not reach, and decides when they are
//! guaranteed to be empty.
//!
//! A machine counts as lost only when its worker's lease is guaranteed to have expired, whichever leader
//! renewed it last. Until then its tasks stay bound to it.

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader, Machine, MachineState};
use crate::coordination::leadership::clock_slack_ms;
use crate::ids::{MachineIx, Millis};

/// Time that workers need to find the new leader after a failover.
const LEADER_DISCOVERY_MS: u64 = 6_000;
/// A silent spot machine is returned before its lease expires only if that frees its tasks earlier by more
/// than this.
const MIN_TIME_SAVED_MS: u64 = 5_000;
/// A machine counts as silent after this many heartbeat intervals plus `SILENT_MARGIN_MS` without a
/// heartbeat.
const SILENT_HEARTBEATS: u64 = 4;
const SILENT_MARGIN_MS: u64 = 2_000;
/// Margin that is added to 2.25 heartbeat intervals before a worker counts as overdue.
const OVERDUE_MARGIN_MS: u64 = 500;
/// Up to this many silent machines, or up to a third of the machines that are up, may have been reclaimed by
/// the cloud. More than that suggests a network partition.
const MAX_RECLAIMED_AT_ONCE: usize = 2;

impl Leader {
    /// Returns the number of workers that should be sending heartbeats to this leader, and how many of them
    /// are overdue.
    pub(in crate::coordination) fn count_overdue_workers(&self, now: Millis) -> (usize, usize) {
        let timeout_ms = self.settings.worker_timings.heartbeat_interval_ms * 9 / 4 + OVERDUE_MARGIN_MS;
        self.cluster
            .machines
            .iter()
            .filter(|machine| machine.state == MachineState::Up && machine.token_acknowledged)
            .filter_map(|machine| machine.last_answered_heartbeat_at)
            .map(|answered_at| now.saturating_since(answered_at) > timeout_ms)
            .fold((0, 0), |(workers, overdue), is_overdue| (workers + 1, overdue + usize::from(is_overdue)))
    }

    /// Starts returning silent spot machines to the cloud, unless so many machines are silent that something
    /// else is the likely cause. The cloud may reclaim spot machines without notice. Its response to the
    /// release guarantees at once that nothing runs there, long before the worker's lease expires or, after a
    /// failover, the recovery period ends.
    pub(in crate::coordination) fn return_silent_spot_machines(&mut self, clock: Clock) {
        for ix in self.silent_machines(clock.now) {
            let machine = &self.cluster.machines[ix.index()];
            let saved_ms = self.lease_expires_at(machine).saturating_since(clock.now);
            if machine.spot && saved_ms > MIN_TIME_SAVED_MS && !machine.bindings.is_empty() {
                let name = machine.name.as_str();
                log::info!(event = "scale_in", machine = name; "scale in: machine {name}, a silent spot machine");
                self.return_machine(ix);
            }
        }
    }

    /// Returns the machines that are up and have missed several heartbeats. Returns none if so many have
    /// missed them that a partition or this controller is the likely cause.
    fn silent_machines(&self, now: Millis) -> Vec<MachineIx> {
        let heartbeat_ms = self.settings.worker_timings.heartbeat_interval_ms;
        let timeout_ms = SILENT_HEARTBEATS * heartbeat_ms + SILENT_MARGIN_MS;
        let first_expected_at = self.term.acquired_at().saturating_add(LEADER_DISCOVERY_MS);
        let mut up = 0;
        let mut silent = Vec::new();
        for (ix, machine) in self.cluster.machine_indices().zip(&self.cluster.machines) {
            if machine.state != MachineState::Up || machine.returning {
                continue;
            }
            up += 1;
            let since = machine.last_answered_heartbeat_at.unwrap_or(first_expected_at);
            if now.saturating_since(since) > timeout_ms {
                silent.push(ix);
            }
        }
        if silent.len() > MAX_RECLAIMED_AT_ONCE && silent.len() * 3 > up {
            return Vec::new();
        }
        silent
    }

    /// Returns when a machine that stays silent is guaranteed to be empty: one lease duration, plus clock
    /// slack, after the latest time at which its worker's lease may have begun. A lease begins with an
    /// answered heartbeat and with a new worker epoch, in which direct commands can start tasks although they
    /// renew no lease.
    fn lease_expires_at(&self, machine: &Machine) -> Millis {
        let lease_ms = self.settings.worker_timings.lease_duration_ms;
        let expiry = |began: Millis| began.saturating_add(lease_ms + clock_slack_ms(lease_ms));
        let last_renewal = machine.last_answered_heartbeat_at.max(machine.token_first_acknowledged);
        match last_renewal.max(machine.epoch_first_seen) {
            // If a heartbeat was sent after the acknowledgement, no other leader's response to it renews the
            // lease.
            Some(began) if machine.token_acknowledged => expiry(began),
            // Without an acknowledgement, an earlier leader or this leader's first responses may have renewed
            // the lease. This leader has sent no task there, and an earlier leader's commands were for the
            // epoch that it knew, so later epochs of a machine that receives nothing do not count.
            _ => last_renewal.map_or(self.term.recovery_until(), |renewed_at| {
                expiry(renewed_at).max(self.term.recovery_until())
            }),
        }
    }

    /// Handles a new heartbeat that does not acknowledge this leader's token, and returns whether it has to
    /// be rejected.
    ///
    /// When the worker sent such a heartbeat, it had received none of this leader's responses, so none of
    /// them renews its lease. A lease that another leader renewed has expired after one lease duration. From
    /// then on, only this leader's own responses could extend the wait for the machine's tasks.
    pub(super) fn check_unacknowledged_timeout(&mut self, ix: MachineIx, clock: Clock) -> bool {
        let lease_ms = self.settings.worker_timings.lease_duration_ms;
        let machine = &mut self.cluster.machines[ix.index()];
        if machine.token_acknowledged {
            return false;
        }
        machine.last_answered_heartbeat_at = None;
        let since = *machine.unacknowledged_since.get_or_insert(clock.now);
        let timed_out = clock.now.saturating_since(since) >= lease_ms + clock_slack_ms(lease_ms);
        timed_out && !machine.bindings.is_empty()
    }

    /// Counts a response with start commands as lost if the heartbeat with this sequence number proves that
    /// the worker did not receive it. Returns whether the receive path of the machine is down.
    pub(super) fn detect_dropped_response(&mut self, ix: MachineIx, sequence: u64) -> bool {
        let is_lost = |binding: &Binding| matches!(binding.dispatch, DispatchState::SentInResponse { sequence: answered } if answered < sequence);
        if self.cluster.machines[ix.index()].bindings.iter().any(is_lost) {
            self.record_unacknowledged_command(ix);
        }
        self.cluster.machines[ix.index()].receive_path_down()
    }

    /// Counts one message with commands that has not reached the machine, or is not known to have reached it.
    pub(super) fn record_unacknowledged_command(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let was_down = machine.receive_path_down();
        machine.unacknowledged_starts += 1;
        if machine.receive_path_down() && !was_down {
            let name = machine.name.as_str();
            log::info!(event = "receive_path_down", machine = name; "receive path down: machine {name} sends heartbeats, commands do not arrive");
            self.refresh_placement_index(ix);
            self.cluster.pending_direct_messages.insert(ix);
        }
    }

    /// Removes all tasks from the machines whose worker's lease is guaranteed to have expired.
    pub(in crate::coordination) fn expire_machine_leases(&mut self, clock: Clock) {
        for ix in self.cluster.machine_indices() {
            let machine = &self.cluster.machines[ix.index()];
            if machine.state == MachineState::Up && clock.now >= self.lease_expires_at(machine) {
                self.remove_lost_machine(ix, clock);
            }
        }
    }

    fn remove_lost_machine(&mut self, ix: MachineIx, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        let (name, tasks) = (machine.name.as_str(), machine.bindings.len());
        log::info!(event = "machine_lost", machine = name, tasks; "machine {name} lost with {tasks} tasks: its lease has expired");
        self.counters.machines_lost += 1;
        machine.state = MachineState::Unreachable;
        machine.hold = None;
        machine.unacknowledged_since = None;
        machine.idle_since = clock.now;
        self.refresh_placement_index(ix);
        self.remove_all_bindings(ix, clock);
    }
}
