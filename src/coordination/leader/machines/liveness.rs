//! Machines that are not heard from: when are they certainly empty, and what to do until then.

use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader, Machine, MachineState};
use crate::coordination::leadership::clock_slack_ms;
use crate::ids::{MachineIx, Millis};

/// After a takeover, workers need that long to find the new leader.
const LEADER_DISCOVERY_MS: u64 = 6_000;
/// A machine is given up early only if that saves its tasks so much time.
const MIN_TIME_SAVED_MS: u64 = 5_000;

impl Leader {
    /// Workers that reported to us and should still, and how many of them are overdue.
    pub fn count_overdue_workers(&self, now: Millis) -> (usize, usize) {
        let timeout_ms = self.settings.worker_timings.heartbeat_interval_ms * 9 / 4 + 500;
        let acknowledged =
            self.cluster.machines.iter().filter(|m| m.state == MachineState::Up && m.token_acknowledged);
        let overdue_flags = acknowledged
            .filter_map(|m| m.last_answered_heartbeat_at)
            .map(|at| now.saturating_since(at) > timeout_ms);
        overdue_flags.fold((0, 0), |(all, overdue), over| (all + 1, overdue + usize::from(over)))
    }

    /// Spot machines are taken without a word. One that misses several reports, while most
    /// others are heard, is returned: the cloud's answer makes certain at once that nothing
    /// is on it, long before its worker's lease, or after a takeover the hold, has run out.
    pub fn return_silent_spot_machines(&mut self, clock: Clock) {
        let heartbeat_ms = self.settings.worker_timings.heartbeat_interval_ms;
        let (mut up, mut overdue) = (0, Vec::new());
        for (at, machine) in self.cluster.machines.iter().enumerate() {
            if machine.state != MachineState::Up || machine.returning {
                continue;
            }
            up += 1;
            let since = machine
                .last_answered_heartbeat_at
                .unwrap_or(self.term.acquired_at().saturating_add(LEADER_DISCOVERY_MS));
            if clock.now.saturating_since(since) > 4 * heartbeat_ms + 2_000 {
                overdue.push(MachineIx(at as u32));
            }
        }
        // Many at once are a cut or our own trouble, not the cloud.
        if overdue.len() > 2 && overdue.len() * 3 > up {
            return;
        }
        for ix in overdue {
            let empty_at = self.certainly_empty_at(&self.cluster.machines[ix.index()]);
            let machine = &self.cluster.machines[ix.index()];
            let sooner = empty_at.saturating_since(clock.now) > MIN_TIME_SAVED_MS;
            if machine.spot && sooner && !machine.bindings.is_empty() {
                log::info!("machine {} goes back: a spot machine that is silent", machine.name);
                self.return_machine(ix);
            }
        }
    }

    /// When a machine that stays silent is certainly empty: a lease after the latest moment at which a lease may have
    /// begun. An answered report begins one, and so does a new session, in which direct commands start tasks although
    /// they renew nothing.
    fn certainly_empty_at(&self, machine: &Machine) -> Millis {
        let lease = self.settings.worker_timings.lease_duration_ms;
        let lease_end = |began: Millis| began.saturating_add(lease + clock_slack_ms(lease));
        let last_lease_start = machine.last_answered_heartbeat_at.max(machine.token_first_acknowledged);
        match last_lease_start.max(machine.epoch_first_seen) {
            // No other leader's answer to a report sent after it showed our token counts.
            Some(began) if machine.token_acknowledged => lease_end(began),
            // An earlier leader, or our own first answers, may have kept it alive. Nothing of ours was sent there, and what
            // an earlier leader sent was for a session that it knew: a deaf machine's later ones do not count.
            _ => last_lease_start
                .map_or(self.term.recovery_until(), |heard| lease_end(heard).max(self.term.recovery_until())),
        }
    }

    /// A report without our token that is newer than the others: when it was sent, none of our answers so far had been
    /// heard, so that none of them keeps the worker alive. True: it shall get no answer any more. Whatever else kept it
    /// alive has run out after a lease, so that only our own answers would keep us waiting for its tasks.
    pub(super) fn check_unacknowledged_timeout(&mut self, ix: MachineIx, clock: Clock) -> bool {
        let lease = self.settings.worker_timings.lease_duration_ms;
        let machine = &mut self.cluster.machines[ix.index()];
        if machine.token_acknowledged {
            return false;
        }
        machine.last_answered_heartbeat_at = None;
        let since = *machine.unacknowledged_since.get_or_insert(clock.now);
        let over = clock.now.saturating_since(since) >= lease + clock_slack_ms(lease);
        over && !machine.bindings.is_empty()
    }

    /// The machine reports and shows nothing of what it was told with the answer before. True: it is taken for deaf.
    pub(super) fn detect_dropped_response(&mut self, ix: MachineIx, sequence: u64) -> bool {
        let machine = &mut self.cluster.machines[ix.index()];
        let response_lost = |binding: &Binding| matches!(binding.dispatch, DispatchState::SentInResponse { sequence: told } if told < sequence);
        if machine.bindings.iter().any(response_lost) {
            self.record_unacknowledged_command(ix);
        }
        self.cluster.machines[ix.index()].receive_path_down()
    }

    /// What was sent to it has not arrived, or is not known to have.
    pub(super) fn record_unacknowledged_command(&mut self, ix: MachineIx) {
        let machine = &mut self.cluster.machines[ix.index()];
        let was_down = machine.receive_path_down();
        machine.unacknowledged_starts += 1;
        if machine.receive_path_down() && !was_down {
            let name = machine.name.as_str();
            log::info!(event = "machine_deaf", machine = name; "machine {name} reports but hears nothing");
            self.refresh_placement_index(ix);
            self.requeue_machine_queues(ix);
            self.cluster.pending_announcements.insert(ix);
        }
    }

    /// Machines whose worker's lease has certainly run out: nothing is on them.
    pub fn expire_machine_leases(&mut self, clock: Clock) {
        for at in 0..self.cluster.machines.len() {
            let ix = MachineIx(at as u32);
            let machine = &self.cluster.machines[at];
            if machine.state != MachineState::Up || clock.now < self.certainly_empty_at(machine) {
                continue;
            }
            let (name, tasks) = (machine.name.as_str(), machine.bindings.len());
            log::info!(event = "machine_lost", machine = name, tasks; "machine {name} lost with {tasks} tasks");
            self.counters.machines_lost += 1;
            let machine = &mut self.cluster.machines[at];
            machine.state = MachineState::Unreachable;
            machine.hold = None;
            machine.unacknowledged_since = None;
            machine.idle_since = clock.now;
            self.refresh_placement_index(ix);
            self.remove_all_bindings(ix, clock);
            self.requeue_machine_queues(ix);
        }
    }
}
