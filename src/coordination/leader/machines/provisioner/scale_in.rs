//! Scaling in: decides which machines are not worth keeping, and sends the cloud requests that release them.

use super::offers::MIN_BILLED_MS;
use crate::coordination::leader::{Leader, Machine, MachineState};
use crate::coordination::{Action, Clock};
use crate::ids::MachineIx;
use crate::protocol::cloud::{CloudReply, CloudRequest, MAX_SCALE_IN_BATCH};

/// Delay before a failed scale-in request is sent again.
const SCALE_IN_RETRY_MS: u64 = 1_000;
/// An empty machine is returned when it has been unreachable for longer than this.
const MAX_UNREACHABLE_MS: u64 = 20_000;
/// Time that idle workers may need to find the leader after a failover: they may try every other controller
/// first, each for four seconds.
const IDLE_LEADER_DISCOVERY_MS: u64 = 30_000;
/// A machine is assumed never to come up once this many times its usual boot time, plus the margin, have
/// passed.
const BOOT_TIMEOUT_FACTOR: u64 = 3;
const BOOT_TIMEOUT_MARGIN_MS: u64 = 10_000;
/// Assumed boot time of a machine of unknown type.
const DEFAULT_BOOT_MS: u64 = 60_000;

/// The reason for returning a machine without tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReturnReason {
    NeverCameUp,
    Unreachable,
    Quarantined,
    Slow,
    Idle,
}

impl ReturnReason {
    fn as_str(self) -> &'static str {
        match self {
            ReturnReason::NeverCameUp => "never came up",
            ReturnReason::Unreachable => "unreachable",
            ReturnReason::Quarantined => "quarantined",
            ReturnReason::Slow => "slow",
            ReturnReason::Idle => "idle",
        }
    }
}

impl Leader {
    /// Starts returning those machines without tasks to the cloud that are not needed, never came up, became
    /// unreachable, or are quarantined or slow.
    pub(super) fn scale_in(&mut self, clock: Clock) {
        let lowest_price = self
            .cluster
            .machine_types
            .values()
            .map(|machine_type| machine_type.lowest_price_per_cpu())
            .fold(f64::MAX, f64::min);
        for ix in self.cluster.machine_indices() {
            let Some(reason) = self.return_reason(ix, lowest_price, clock) else { continue };
            let (name, reason) = (self.cluster.machines[ix.index()].name.as_str(), reason.as_str());
            log::info!(event = "scale_in", machine = name, reason; "scale in: machine {name}, {reason}");
            self.return_machine(ix);
        }
    }

    fn return_reason(&self, ix: MachineIx, lowest_price: f64, clock: Clock) -> Option<ReturnReason> {
        let machine = &self.cluster.machines[ix.index()];
        if machine.returning || !machine.bindings.is_empty() {
            return None;
        }
        let idle_ms = clock.now.saturating_since(machine.idle_since);
        match machine.state {
            MachineState::Booting if self.is_boot_overdue(machine, clock) => Some(ReturnReason::NeverCameUp),
            MachineState::Unreachable if idle_ms > MAX_UNREACHABLE_MS => Some(ReturnReason::Unreachable),
            MachineState::Up if machine.quarantined => Some(ReturnReason::Quarantined),
            MachineState::Up if machine.slow => Some(ReturnReason::Slow),
            MachineState::Up if self.is_idle(ix, lowest_price, clock) => Some(ReturnReason::Idle),
            MachineState::Booting | MachineState::Unreachable | MachineState::Up | MachineState::Gone => None,
        }
    }

    /// Returns whether a machine without tasks has been unneeded for long enough to be returned. The lower
    /// its price per CPU, the longer it is kept for the next job.
    fn is_idle(&self, ix: MachineIx, lowest_price: f64, clock: Clock) -> bool {
        let machine = &self.cluster.machines[ix.index()];
        let idle_factor = (lowest_price / self.price_per_cpu(ix)).clamp(0.0, 1.0);
        let max_idle_ms = (self.tunables.idle_return_s * 1000.0 * idle_factor) as u64;
        clock.now.saturating_since(machine.idle_since) >= max_idle_ms
            && clock.now.saturating_since(machine.created_at) >= MIN_BILLED_MS
            && machine.hold.is_none()
            && !self.provisioner.needed_machines.contains(ix)
    }

    /// Returns whether a booting machine should have sent a heartbeat long ago. A machine that was up before
    /// this term may still be looking for the leader: without that allowance, a new leader returned 147 idle
    /// machines within a second and provisioned them anew.
    pub(in crate::coordination::leader) fn is_boot_overdue(&self, machine: &Machine, clock: Clock) -> bool {
        let machine_type = self.cluster.machine_types.get(&machine.machine_type);
        let boot_ms = machine_type.map_or(DEFAULT_BOOT_MS, |machine_type| machine_type.boot_ms);
        let timeout_ms = boot_ms * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_MS;
        let overdue = clock.now.saturating_since(machine.created_at) > timeout_ms;
        let discovery_ends = self.term.acquired_at().saturating_add(IDLE_LEADER_DISCOVERY_MS);
        let seeking_leader = machine.cloud_running && clock.now < discovery_ends;
        overdue && !seeking_leader
    }

    /// Asks the cloud to release machines whose return is durably recorded.
    pub(super) fn release_machines(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        let provisioner = &mut self.provisioner;
        if provisioner.release_in_flight || clock.now < provisioner.next_release_at {
            return;
        }
        let batch = provisioner.to_release.iter().take(MAX_SCALE_IN_BATCH);
        let machines: Vec<String> = batch.map(|ix| self.cluster.machines[ix.index()].name.clone()).collect();
        if machines.is_empty() || !provisioner.rate_budget.try_take(clock.now, 1) {
            return;
        }
        provisioner.release_in_flight = true;
        log::info!("releasing machines {}", machines.join(" "));
        provisioner.send_cloud_request(CloudRequest::ScaleIn { machines }, actions);
    }

    pub(super) fn handle_release_reply(&mut self, clock: Clock, machines: &[String], reply: &CloudReply) {
        self.provisioner.release_in_flight = false;
        if *reply != CloudReply::ScaledIn {
            self.provisioner.next_release_at = clock.now.saturating_add(SCALE_IN_RETRY_MS);
            return;
        }
        for name in machines {
            if let Some(ix) = self.cluster.machines_by_name.get(name).copied() {
                self.remove_released_machine(ix, clock);
            }
        }
    }

    fn remove_released_machine(&mut self, ix: MachineIx, clock: Clock) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.state = MachineState::Gone;
        let segment = machine.return_log_segment.take();
        self.provisioner.to_release.remove(&ix);
        self.assignment_log.remove_return(ix, segment);
        self.refresh_placement_index(ix);
        self.remove_all_bindings(ix, clock);
        self.forget_images(ix);
    }
}
