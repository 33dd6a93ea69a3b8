//! Faults of a run: who is struck, and when each is over.

use olivelatch_region::{controller_name, controller_place};

use super::{Run, Strike};
use crate::control::ZoneCommand;
use crate::error::ScaleError;
use crate::plan::FaultKind;

impl Run {
    pub(super) fn leader(&self) -> Option<usize> {
        controller_place(self.state.leader.as_deref()?, self.controllers.len())
    }

    /// The process of a controller: they come last.
    pub(super) fn controller_process(&self, at: usize) -> usize {
        self.processes.len() - self.controllers.len() + at
    }

    pub(super) fn strike(&mut self, now: u64) -> Result<(), ScaleError> {
        let due: Vec<usize> = (0..self.strikes.len()).filter(|at| self.strikes[*at].0 <= now).collect();
        for at in due.into_iter().rev() {
            let (_, strike) = self.strikes.swap_remove(at);
            self.carry_out(strike, now)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, strike: Strike, now: u64) -> Result<(), ScaleError> {
        let later = |seconds: f64| now + (seconds * 1000.0) as u64;
        match strike {
            Strike::Begin(FaultKind::KillLeader { back_s, .. }) => {
                let Some(leader) = self.leader() else { return Ok(()) };
                self.killed_leader = Some(now);
                let process = self.controller_process(leader);
                self.processes[process].kill();
                println!("killed the leader, {}", controller_name(leader));
                self.strikes.push((later(back_s), Strike::Restart(process)));
            }
            Strike::Begin(FaultKind::KillWorkers { share, back_s, .. }) => {
                self.cloud.lose(share);
                println!("lost {:.0}% of the workers", share * 100.0);
                self.strikes.push((later(back_s), Strike::RoomIsBack));
            }
            Strike::Begin(FaultKind::Freeze { leader, for_s, .. }) => {
                let Some(leads) = self.leader() else { return Ok(()) };
                let at = if leader { leads } else { (leads + 1) % self.controllers.len() };
                let process = self.controller_process(at);
                self.processes[process].freeze(true);
                println!("{} stands still", controller_name(at));
                self.strikes.push((later(for_s), Strike::Thaw(process)));
            }
            Strike::Begin(FaultKind::CutZones { zones, for_s, .. }) => {
                println!("cut off: {}", zones.join(", "));
                self.cut(&zones, true);
                self.strikes.push((later(for_s), Strike::Heal(zones)));
            }
            Strike::RoomIsBack => self.cloud.room_is_back(&self.plan),
            Strike::Restart(process) => self.processes[process].restart()?,
            Strike::Thaw(process) => self.processes[process].freeze(false),
            Strike::Heal(zones) => self.cut(&zones, false),
        }
        Ok(())
    }

    fn cut(&mut self, zones: &[String], cut: bool) {
        for at in 0..self.zones.len() {
            if zones.contains(&self.plan.zones[at]) {
                self.command(at, ZoneCommand::Cut(cut));
            }
        }
    }
}
