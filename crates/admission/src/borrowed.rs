//! Capacity that teams have borrowed, and how much of it other teams may reclaim at one time.
//!
//! Only a team's usage above its guarantee may be stopped for others, and usage that is already being stopped is not
//! reclaimed again. Without both rules, teams that were all near their guarantees preempted each other's gangs in turn:
//! one task above a guarantee was enough to lose a whole gang, whose owner could then reclaim the capacity.

use std::collections::{BTreeMap, BTreeSet};

/// An amount of the resources that guarantees apply to: CPUs and GPUs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaAmount {
    /// CPUs, in thousandths.
    pub cpu: u64,
    /// GPUs, in thousandths.
    pub gpu: u64,
}

impl QuotaAmount {
    fn saturating_sub(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.saturating_sub(other.cpu), gpu: self.gpu.saturating_sub(other.gpu) }
    }

    /// Returns whether the usage above a guarantee covers this whole amount in at least one of the two resources.
    fn covered_by(self, above_guarantee: QuotaAmount) -> bool {
        (self.cpu > 0 && self.cpu <= above_guarantee.cpu) || (self.gpu > 0 && self.gpu <= above_guarantee.gpu)
    }
}

/// The capacity that each team `T` has borrowed. A job `J` that stops as a whole is deducted only once. Memory: one
/// entry per team that borrows, and one per job that is reclaimed as a whole.
#[derive(Debug, Clone)]
pub struct BorrowedCapacity<T, J> {
    /// Usage above the guarantee that has not been reclaimed yet, by team.
    above_guarantee: BTreeMap<T, QuotaAmount>,
    /// Jobs that stop as a whole and whose amounts have been deducted.
    reclaimed_jobs: BTreeSet<J>,
}

impl<T, J> Default for BorrowedCapacity<T, J> {
    fn default() -> Self {
        BorrowedCapacity { above_guarantee: BTreeMap::new(), reclaimed_jobs: BTreeSet::new() }
    }
}

impl<T: Ord + Copy, J: Ord + Copy> BorrowedCapacity<T, J> {
    /// Adds a team with its usage and its guarantee. `stopping` is the part of `used` that is already being stopped.
    pub fn add_team(&mut self, team: T, used: QuotaAmount, stopping: QuotaAmount, guaranteed: QuotaAmount) {
        let above_guarantee = used.saturating_sub(stopping).saturating_sub(guaranteed);
        if above_guarantee != QuotaAmount::default() {
            self.above_guarantee.insert(team, above_guarantee);
        }
    }

    /// Returns whether this amount of the team's usage may be stopped.
    pub fn can_reclaim(&self, team: T, amount: QuotaAmount) -> bool {
        self.above_guarantee.get(&team).is_some_and(|above| amount.covered_by(*above))
    }

    /// Deducts the amount from the team's borrowed capacity. Returns false if the remaining borrowed capacity does not
    /// cover it. `whole_job` is the job that stops as a whole, if any: only the first call for that job deducts its
    /// amount.
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
