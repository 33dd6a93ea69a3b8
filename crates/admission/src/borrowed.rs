//! What teams have borrowed, and how much of it others may claim back at once.
//!
//! Only what a team uses above its guarantee may be stopped for others, and what is being stopped already is not claimed
//! a second time. Without both, teams that all stood near their guarantees stopped each other's gangs in turn: one task
//! above it was enough to lose a whole gang, whose owner could then claim it back.

use std::collections::{BTreeMap, BTreeSet};

/// CPUs and accelerators, in thousandths: what guarantees are given in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaAmount {
    pub cpu: u64,
    pub gpu: u64,
}

impl QuotaAmount {
    fn saturating_sub(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.saturating_sub(other.cpu), gpu: self.gpu.saturating_sub(other.gpu) }
    }

    /// Is all of it, in one of the two, covered by what lies above a guarantee?
    fn covered_by(self, above_guarantee: QuotaAmount) -> bool {
        (self.cpu > 0 && self.cpu <= above_guarantee.cpu) || (self.gpu > 0 && self.gpu <= above_guarantee.gpu)
    }
}

/// What is lent to each team `T`; jobs `J` that stop as a whole are claimed once.
#[derive(Debug, Clone)]
pub struct BorrowedCapacity<T, J> {
    above_guarantee: BTreeMap<T, QuotaAmount>,
    reclaimed_jobs: BTreeSet<J>,
}

impl<T, J> Default for BorrowedCapacity<T, J> {
    fn default() -> Self {
        BorrowedCapacity { above_guarantee: BTreeMap::new(), reclaimed_jobs: BTreeSet::new() }
    }
}

impl<T: Ord + Copy, J: Ord + Copy> BorrowedCapacity<T, J> {
    /// `used` and `guaranteed` of a team; `stopping` of what it uses is on its way out.
    pub fn add_team(&mut self, team: T, used: QuotaAmount, stopping: QuotaAmount, guaranteed: QuotaAmount) {
        let above_guarantee = used.saturating_sub(stopping).saturating_sub(guaranteed);
        if above_guarantee != QuotaAmount::default() {
            self.above_guarantee.insert(team, above_guarantee);
        }
    }

    /// May so much of the team's use be stopped now?
    pub fn can_reclaim(&self, team: T, amount: QuotaAmount) -> bool {
        self.above_guarantee.get(&team).is_some_and(|above| amount.covered_by(*above))
    }

    /// Takes it off what can be claimed; false if it is not covered any more. `whole`: the job stops as a whole, so that
    /// a further part of it costs nothing.
    pub fn reclaim(&mut self, team: T, amount: QuotaAmount, whole_job: Option<J>) -> bool {
        if whole_job.is_some_and(|job| self.reclaimed_jobs.contains(&job)) {
            return true;
        }
        if !self.can_reclaim(team, amount) {
            return false;
        }
        if let Some(above) = self.above_guarantee.get_mut(&team) {
            *above = above.saturating_sub(amount);
        }
        self.reclaimed_jobs.extend(whole_job);
        true
    }
}

#[cfg(test)]
#[path = "tests/borrowed.rs"]
mod tests;
