//! Machines whose heartbeats stop, or that our commands do not reach: when they are certainly empty, and what
//! is done until then.
//!
//! A machine is lost only when its worker's lease has certainly expired, whichever leader renewed it last.
//! Until then its tasks stay bound to it.

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader, Machine, MachineState};
use crate::coordination::leadership::clock_slack_ms;
use crate::ids::{MachineIx, Millis};

/// After a failover, workers need this long to find the new leader.
const LEADER_DISCOVERY_MS: u64 = 6_000;
/// A spot machine is returned before its lease expires only if that frees its tasks this much earlier.
const MIN_TIME_SAVED_MS: u64 = 5_000;
/// A spot machine is silent after this many heartbeat intervals, and the margin.
const SILENT_HEARTBEATS: u64 = 4;
const SILENT_MARGIN_MS: u64 = 2_000;
/// Margin, in addition to two and a quarter heartbeat intervals, before a worker counts as overdue.
const OVERDUE_MARGIN_MS: u64 = 500;
/// So many silent machines, or a third of those up, may have been reclaimed by the cloud; more hint at a
/// partition.
const MAX_RECLAIMED_AT_ONCE: usize = 2;

impl Leader {
    /// The number of workers that should send us heartbeats, and how many of them are overdue.
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

    /// Returns spot machines that are silent while most others are not. The cloud reclaims spot machines
    /// without notice, and its response to the release makes certain at once that nothing runs there, long
    /// before the worker's lease, or after a failover the recovery period, has expired.
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

    /// Machines that are up and have missed several heartbeats; none if so many have that a partition or this
    /// controller is the likely cause.
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

    /// When a machine that stays silent is certainly empty: a lease duration after the latest time at which a
    /// lease may have begun. An answered heartbeat begins one, and so does a new agent epoch, in which direct
    /// commands start tasks although they renew no lease.
    fn lease_expires_at(&self, machine: &Machine) -> Millis {
        let lease_ms = self.settings.worker_timings.lease_duration_ms;
        let expiry = |began: Millis| began.saturating_add(lease_ms + clock_slack_ms(lease_ms));
        let last_renewal = machine.last_answered_heartbeat_at.max(machine.token_first_acknowledged);
        match last_renewal.max(machine.epoch_first_seen) {
            // No other leader's response to a heartbeat sent after the acknowledgement renews the lease.
            Some(began) if machine.token_acknowledged => expiry(began),
            // An earlier leader, or our own first responses, may have renewed the lease. We have sent no task
            // there, and an earlier leader's commands were for the epoch it knew: the epochs of a machine
            // that receives nothing do not count.
            _ => last_renewal.map_or(self.term.recovery_until(), |renewed_at| {
                expiry(renewed_at).max(self.term.recovery_until())
            }),
        }
    }

    /// Takes in a new heartbeat without our token, and returns whether it must not be answered any more.
    ///
    /// When such a heartbeat was sent, the worker had received none of our responses, so none of them renews
    /// its lease. Leases of other origin have expired after a lease duration: from then on only our own
    /// responses could make us wait for its tasks.
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

    /// Counts a response with commands that the heartbeat with this sequence proves lost, and returns whether
    /// the receive path of the machine is down.
    pub(super) fn detect_dropped_response(&mut self, ix: MachineIx, sequence: u64) -> bool {
        let is_lost = |binding: &Binding| matches!(binding.dispatch, DispatchState::SentInResponse { sequence: answered } if answered < sequence);
        if self.cluster.machines[ix.index()].bindings.iter().any(is_lost) {
            self.record_unacknowledged_command(ix);
        }
        self.cluster.machines[ix.index()].receive_path_down()
    }

    /// Counts commands that have not reached the machine, or are not known to have.
    pub(super) fn record_unacknowledged_command(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let was_down = machine.receive_path_down();
        machine.unacknowledged_starts += 1;
        if machine.receive_path_down() && !was_down {
            let name = machine.name.as_str();
            log::info!(event = "receive_path_down", machine = name; "receive path down: machine {name} sends heartbeats, commands do not arrive");
            self.refresh_placement_index(ix);
            self.requeue_machine_queues(ix);
            self.cluster.pending_announcements.insert(ix);
        }
    }

    /// Removes all tasks from machines whose worker's lease has certainly expired.
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
        log::info!(event = "machine_lost", machine = name, tasks; "machine {name} lost with {tasks} tasks");
        self.counters.machines_lost += 1;
        machine.state = MachineState::Unreachable;
        machine.hold = None;
        machine.unacknowledged_since = None;
        machine.idle_since = clock.now;
        self.refresh_placement_index(ix);
        self.remove_all_bindings(ix, clock);
        self.requeue_machine_queues(ix);
    }
}
