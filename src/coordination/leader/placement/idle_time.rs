//! Work that nobody waits for: array jobs without a deadline, of classes without any aim. It gets what is left over.
//!
//! Its tasks may run for minutes. With each machine that was free for a moment given to them, arrays with an aim of two and
//! a half minutes that came a little later waited for their ends (docs/incidents/guests.md).

use olivelatch_admission::headroom::Headroom;

use crate::bookkeeping::jobs::JobInfo;
use crate::coordination::Clock;
use crate::coordination::leader::{Leader, Work};

/// Room is left for the most that work with aims asked for within so long.
const WINDOW_MS: u64 = 90_000;
/// The part of the fleet that idle-time work always gets.
const FLOOR: f64 = 0.25;

pub fn headroom() -> Headroom {
    Headroom::new(WINDOW_MS, FLOOR)
}

impl Leader {
    /// Where no class has an aim, all are alike and none is idle-time work.
    pub fn is_idle_time(&self, info: &JobInfo) -> bool {
        let waited_for = info.due_wall_ms.is_some() || info.node.is_some() || info.together();
        !waited_for
            && self.tunables.overload.headroom
            && !self.aimed.is_empty()
            && !self.aimed.contains(&info.class)
    }

    /// Tasks of the job that may start beside the idle-time work there; any number if it is none.
    pub fn headroom_for(&self, work: &Work) -> u64 {
        if !self.is_idle_time(&work.info) {
            return u64::MAX;
        }
        self.headroom.allowed().saturating_sub(self.idle_time_cpu) / work.info.need.cpu.max(1)
    }

    /// What work with aims asks for now, of all there is. Where all of it may stop idle-time work, none has to be kept free:
    /// what is lent comes back (`claims`).
    pub fn leave_room(&mut self, clock: Clock) {
        let capacity = self.cpus_there();
        let works = self.work.values().filter(|work| work.trial.is_none());
        let (idle, aimed): (Vec<&Work>, Vec<&Work>) = works.partition(|work| self.is_idle_time(&work.info));
        let urgency = idle.iter().map(|work| work.info.urgency).min();
        let stops = |work: &&Work| {
            let guaranteed = self.teams.get(&work.info.team).is_some_and(|team| team.guaranteed.cpu > 0);
            guaranteed || urgency.is_some_and(|idle| work.info.urgency < idle)
        };
        let asked = |work: &&Work| work.info.need.cpu.saturating_mul(work.waiting() + work.out.len() as u64);
        let demand =
            if aimed.iter().all(stops) { 0 } else { aimed.iter().map(asked).fold(0, u64::saturating_add) };
        let before = self.headroom.allowed();
        self.headroom.see(clock.now.0, demand, capacity);
        if self.headroom.allowed() > before {
            self.roster.unlimited();
        }
    }
}
