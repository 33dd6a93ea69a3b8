//! Injects the faults of a run: each begins at its planned time and schedules the action that ends it.

use olivelatch_local_cluster::{controller_index, controller_name};

use super::ScaleRun;
use crate::control::ZoneCommand;
use crate::error::ScaleError;
use crate::plan::FaultKind;

/// The beginning or the end of a fault. A process is given by its index in the run's process group.
enum FaultAction {
    Begin(FaultKind),
    RestoreCapacity,
    Restart(usize),
    Resume(usize),
    ReconnectZones(Vec<String>),
}

/// A fault action and the time of the run at which it is due.
pub(super) struct ScheduledFault {
    at_ms: u64,
    action: FaultAction,
}

impl ScheduledFault {
    /// Schedules the beginning of a fault of the plan, whose times count from the beginning of the load.
    pub(super) fn planned(fault: &FaultKind, load_start_ms: u64) -> ScheduledFault {
        let at_ms = load_start_ms + (fault.at_s() * 1000.0) as u64;
        ScheduledFault { at_ms, action: FaultAction::Begin(fault.clone()) }
    }
}

impl ScaleRun {
    /// Returns the index of the controller that leads according to the kv store's leader record.
    pub(super) fn leader_index(&self) -> Option<usize> {
        controller_index(self.kv.measurements.leader.as_deref()?, self.controllers.len())
    }

    /// Returns the index of a controller's process; the controllers come last in the process group.
    pub(super) fn controller_process_index(&self, controller: usize) -> usize {
        self.processes.processes.len() - self.controllers.len() + controller
    }

    pub(super) fn apply_due_faults(&mut self, now: u64) -> Result<(), ScaleError> {
        let due: Vec<usize> =
            (0..self.fault_schedule.len()).filter(|index| self.fault_schedule[*index].at_ms <= now).collect();
        // From the highest index down, because `swap_remove` moves the last action to the freed index.
        for index in due.into_iter().rev() {
            let fault = self.fault_schedule.swap_remove(index);
            self.apply_fault_action(fault.action, now)?;
        }
        Ok(())
    }

    fn apply_fault_action(&mut self, action: FaultAction, now: u64) -> Result<(), ScaleError> {
        match action {
            FaultAction::Begin(fault) => self.begin_fault(fault, now),
            FaultAction::RestoreCapacity => self.cloud.restore_capacity(&self.plan),
            FaultAction::Restart(process) => self.processes.processes[process].restart()?,
            FaultAction::Resume(process) => self.processes.processes[process].set_paused(false),
            FaultAction::ReconnectZones(zones) => self.set_zones_partitioned(&zones, false),
        }
        Ok(())
    }

    fn begin_fault(&mut self, fault: FaultKind, now: u64) {
        match fault {
            FaultKind::KillLeader { back_s, .. } => {
                let Some(leader) = self.leader_index() else { return };
                self.leader_killed_at = Some(now);
                let process = self.controller_process_index(leader);
                self.processes.processes[process].kill();
                println!("killed the leader, {}", controller_name(leader));
                self.schedule_end(now, back_s, FaultAction::Restart(process));
            }
            FaultKind::KillWorkers { share, back_s, .. } => {
                self.cloud.fail_machines(share);
                println!("failed {:.0}% of the machines", share * 100.0);
                self.schedule_end(now, back_s, FaultAction::RestoreCapacity);
            }
            FaultKind::PauseController { leader: pause_leader, for_s, .. } => {
                let Some(leader) = self.leader_index() else { return };
                let controller = if pause_leader { leader } else { (leader + 1) % self.controllers.len() };
                let process = self.controller_process_index(controller);
                self.processes.processes[process].set_paused(true);
                println!("paused {}", controller_name(controller));
                self.schedule_end(now, for_s, FaultAction::Resume(process));
            }
            FaultKind::PartitionZones { zones, for_s, .. } => {
                println!("partitioned zones: {}", zones.join(", "));
                self.set_zones_partitioned(&zones, true);
                self.schedule_end(now, for_s, FaultAction::ReconnectZones(zones));
            }
        }
    }

    fn schedule_end(&mut self, now: u64, after_s: f64, action: FaultAction) {
        let at_ms = now + (after_s * 1000.0) as u64;
        self.fault_schedule.push(ScheduledFault { at_ms, action });
    }

    fn set_zones_partitioned(&mut self, zones: &[String], partitioned: bool) {
        for (link, name) in self.zones.iter_mut().zip(&self.plan.zones) {
            if zones.contains(name) {
                link.queue_command(ZoneCommand::SetPartitioned(partitioned));
            }
        }
    }
}
