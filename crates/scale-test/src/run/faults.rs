//! Faults of a run: who is struck, and when each is over.

use olivelatch_local_cluster::{controller_index, controller_name};

use super::{FaultAction, ScaleRun};
use crate::control::ZoneCommand;
use crate::error::ScaleError;
use crate::plan::FaultKind;

impl ScaleRun {
    pub(super) fn leader_index(&self) -> Option<usize> {
        controller_index(self.kv_measurements.leader.as_deref()?, self.controllers.len())
    }

    /// The process of a controller: they come last.
    pub(super) fn controller_process_index(&self, at: usize) -> usize {
        self.processes.len() - self.controllers.len() + at
    }

    pub(super) fn apply_due_faults(&mut self, now: u64) -> Result<(), ScaleError> {
        let due: Vec<usize> =
            (0..self.fault_actions.len()).filter(|at| self.fault_actions[*at].0 <= now).collect();
        for at in due.into_iter().rev() {
            let (_, strike) = self.fault_actions.swap_remove(at);
            self.apply_fault(strike, now)?;
        }
        Ok(())
    }

    fn apply_fault(&mut self, strike: FaultAction, now: u64) -> Result<(), ScaleError> {
        let later = |seconds: f64| now + (seconds * 1000.0) as u64;
        match strike {
            FaultAction::Begin(FaultKind::KillLeader { back_s, .. }) => {
                let Some(leader) = self.leader_index() else { return Ok(()) };
                self.leader_killed_at = Some(now);
                let process = self.controller_process_index(leader);
                self.processes[process].kill();
                println!("killed the leader, {}", controller_name(leader));
                self.fault_actions.push((later(back_s), FaultAction::Restart(process)));
            }
            FaultAction::Begin(FaultKind::KillWorkers { share, back_s, .. }) => {
                self.cloud.fail_machines(share);
                println!("lost {:.0}% of the workers", share * 100.0);
                self.fault_actions.push((later(back_s), FaultAction::RestoreCapacity));
            }
            FaultAction::Begin(FaultKind::PauseController { leader, for_s, .. }) => {
                let Some(leads) = self.leader_index() else { return Ok(()) };
                let at = if leader { leads } else { (leads + 1) % self.controllers.len() };
                let process = self.controller_process_index(at);
                self.processes[process].set_paused(true);
                println!("{} stands still", controller_name(at));
                self.fault_actions.push((later(for_s), FaultAction::Resume(process)));
            }
            FaultAction::Begin(FaultKind::PartitionZones { zones, for_s, .. }) => {
                println!("cut off: {}", zones.join(", "));
                self.set_zones_partitioned(&zones, true);
                self.fault_actions.push((later(for_s), FaultAction::ReconnectZones(zones)));
            }
            FaultAction::RestoreCapacity => self.cloud.restore_capacity(&self.plan),
            FaultAction::Restart(process) => self.processes[process].restart()?,
            FaultAction::Resume(process) => self.processes[process].set_paused(false),
            FaultAction::ReconnectZones(zones) => self.set_zones_partitioned(&zones, false),
        }
        Ok(())
    }

    fn set_zones_partitioned(&mut self, zones: &[String], cut: bool) {
        for at in 0..self.zones.len() {
            if zones.contains(&self.plan.zones[at]) {
                self.queue_command(at, ZoneCommand::SetPartitioned(cut));
            }
        }
    }
}
