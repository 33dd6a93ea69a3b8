//! What teams have borrowed, and how much of it others may reclaim at once.
//!
//! Only what a team uses above its guarantee may be stopped for others, and what is being stopped already is not reclaimed
//! a second time. Without both rules, teams that were all near their guarantees stopped each other's gangs in turn: one
//! task above a guarantee was enough to lose a whole gang, whose owner could then reclaim it.

use std::collections::{BTreeMap, BTreeSet};

/// CPUs and GPUs in thousandths: the resources that guarantees are given in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaAmount {
    /// Thousandths of CPUs.
    pub cpu: u64,
    /// Thousandths of GPUs.
    pub gpu: u64,
}

impl QuotaAmount {
    fn saturating_sub(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.saturating_sub(other.cpu), gpu: self.gpu.saturating_sub(other.gpu) }
    }

    /// Whether what is used above a guarantee covers all of it, in one of the two resources.
    fn covered_by(self, above_guarantee: QuotaAmount) -> bool {
        (self.cpu > 0 && self.cpu <= above_guarantee.cpu) || (self.gpu > 0 && self.gpu <= above_guarantee.gpu)
    }
}

/// What each team `T` has borrowed. A job `J` that stops as a whole is reclaimed once. Memory: one entry for each team
/// that borrows, and one for each job reclaimed as a whole.
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
    /// Adds a team by what it uses and is guaranteed; `stopping` is the part of its use that is being stopped.
    pub fn add_team(&mut self, team: T, used: QuotaAmount, stopping: QuotaAmount, guaranteed: QuotaAmount) {
        let above_guarantee = used.saturating_sub(stopping).saturating_sub(guaranteed);
        if above_guarantee != QuotaAmount::default() {
            self.above_guarantee.insert(team, above_guarantee);
        }
    }

    /// Whether so much of the team's use may be stopped.
    pub fn can_reclaim(&self, team: T, amount: QuotaAmount) -> bool {
        self.above_guarantee.get(&team).is_some_and(|above| amount.covered_by(*above))
    }

    /// Takes the amount off what is borrowed; false if it is not covered any more. `whole_job`: the job that stops as a
    /// whole, so that further parts of it cost nothing.
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
