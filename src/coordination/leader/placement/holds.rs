//! Holds on machines for gangs. A held machine accepts no queued tasks until the gang starts or ends, or the hold
//! expires.

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::MS_PER_S;
use crate::ids::{JobIx, MachineIx, Millis};

/// How a machine gets enough free capacity for a gang. A hold is replaced only by a hold whose method comes earlier in
/// this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementMethod {
    /// The free capacity suffices.
    Free,
    /// Tasks that are less urgent, or that use borrowed capacity, are stopped.
    Preempt,
    /// The running tasks complete, and no others start.
    Drain,
}

/// A reservation of a machine for a gang that waits until enough of the machine's capacity is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The gang for which the machine is held.
    pub job: JobIx,
    /// Time at which the hold expires.
    pub until: Millis,
    /// How the capacity becomes free.
    pub method: PlacementMethod,
}

impl Leader {
    /// Returns the duration of a hold in milliseconds.
    pub(in crate::coordination::leader) fn machine_hold_ms(&self) -> u64 {
        (self.tunables.machine_hold_s * MS_PER_S) as u64
    }

    /// Returns the gang for which the machine is held, if any.
    pub(super) fn holding_job(&self, machine_ix: MachineIx) -> Option<JobIx> {
        self.cluster.machines[machine_ix.index()].hold.map(|hold| hold.job)
    }

    /// Releases machines whose holds have expired because their gangs did not get enough capacity in time.
    pub(super) fn release_expired_holds(&mut self, clock: Clock) {
        self.release_holds_where(|hold| hold.until <= clock.now);
    }

    /// Releases all machines held for a job.
    pub(in crate::coordination::leader) fn release_holds_of(&mut self, job_ix: JobIx) {
        self.release_holds_where(|hold| hold.job == job_ix);
    }

    fn release_holds_where(&mut self, is_released: impl Fn(Hold) -> bool) {
        let held: Vec<MachineIx> = self.placement.held_machines.iter().copied().collect();
        for machine_ix in held {
            let machine = &mut self.cluster.machines[machine_ix.index()];
            if machine.hold.is_none_or(&is_released) {
                machine.hold = None;
                self.placement.held_machines.remove(&machine_ix);
                self.cluster.placement_index.mark_to_fill(machine_ix);
            }
        }
    }
}
