//! Machines held for gangs: they take no queued tasks until the gang starts, ends or the hold expires.

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::MS_PER_S;
use crate::ids::{JobIx, MachineIx, Millis};

/// How a machine gets room for a gang. A hold is replaced only by one of an earlier method.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementMethod {
    /// It has room.
    Free,
    /// Less urgent or borrowing tasks are stopped.
    Preempt,
    /// Its tasks run to their ends, and no others start.
    Drain,
}

/// A reservation of a machine for a gang that waits for its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The gang.
    pub job: JobIx,
    /// When the hold expires.
    pub until: Millis,
    /// How the room is made.
    pub method: PlacementMethod,
}

impl Leader {
    /// How long a machine may be held, in milliseconds.
    pub(super) fn machine_hold_ms(&self) -> u64 {
        (self.tunables.machine_hold_s * MS_PER_S) as u64
    }

    /// The gang for which a machine is held.
    pub(super) fn holding_job(&self, machine_ix: MachineIx) -> Option<JobIx> {
        self.cluster.machines[machine_ix.index()].hold.map(|hold| hold.job)
    }

    /// Releases machines whose gangs did not get enough room in time.
    pub(super) fn release_expired_holds(&mut self, clock: Clock) {
        self.release_holds_where(|hold| hold.until <= clock.now);
    }

    /// Releases all machines held for a job.
    pub(in crate::coordination::leader) fn release_holds_of(&mut self, job_ix: JobIx) {
        self.release_holds_where(|hold| hold.job == job_ix);
    }

    fn release_holds_where(&mut self, is_over: impl Fn(Hold) -> bool) {
        let held: Vec<MachineIx> = self.placement.held_machines.iter().copied().collect();
        for machine_ix in held {
            let machine = &mut self.cluster.machines[machine_ix.index()];
            if machine.hold.is_none_or(&is_over) {
                machine.hold = None;
                self.placement.held_machines.remove(&machine_ix);
                self.cluster.placement_index.mark_to_fill(machine_ix);
            }
        }
    }
}
