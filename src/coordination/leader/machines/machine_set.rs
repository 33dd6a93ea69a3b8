//! Iteration over the dense machine indices, and sets of machines.

use crate::coordination::leader::cluster::ClusterState;
use crate::ids::MachineIx;

impl ClusterState {
    /// Returns the indices of all machines, ascending. The iterator borrows nothing, so machines can be
    /// modified during the iteration.
    pub(in crate::coordination::leader) fn machine_indices(&self) -> impl Iterator<Item = MachineIx> + use<> {
        (0..self.machines.len() as u32).map(MachineIx)
    }
}

/// A set of machines. A capacity plan inserts and looks up a machine for every running task; with a hash set,
/// hashing took a sixth of the planning time.
#[derive(Debug, Default)]
pub(super) struct MachineSet(Vec<bool>);

impl MachineSet {
    pub(super) fn insert(&mut self, ix: MachineIx) {
        if self.0.len() <= ix.index() {
            self.0.resize(ix.index() + 1, false);
        }
        self.0[ix.index()] = true;
    }

    pub(super) fn contains(&self, ix: MachineIx) -> bool {
        self.0.get(ix.index()).copied().unwrap_or(false)
    }
}
