//! The order of service: which job gets the next free capacity. Plain jobs and DAG nodes share one order, with these
//! criteria:
//!
//! 1. **Priority class** of the job.
//! 2. **Guarantee**: jobs that fit into their team's guarantee together with the team's earlier jobs come before jobs
//!    that borrow.
//! 3. **Objectives**: jobs that can still meet an objective come before jobs that cannot. Of the latter, those with the
//!    least **remaining work** come first, so that more jobs complete (docs/overload.md).
//! 4. **Start-by time** in buckets of 10 s: the time of acceptance (for a node, the time when it became ready) plus
//!    the time to its objective, minus its own run time. The size of the job makes it later by at most two minutes,
//!    so that many small jobs pass a large one. The **longest downstream path** of a node makes it earlier by at most
//!    two minutes.
//! 5. Larger images come first (DAWS), then older jobs.
//!
//! Above all of these, a team class comes first if it has waiting jobs past their objectives and got less than its
//! minimum share of recent service, until it has that share. Otherwise the third criterion would starve jobs past their
//! objectives.
//!
//! The fourth criterion starves no job, because it is a wall-clock time: it stays the same while the start-by times
//! of newer jobs advance. A node passes a plain job only if it arrived less than two minutes later, however long its
//! downstream path is.
//!
//! This module does no I/O and reads no clock. Memory: one entry for each job.

use std::cmp::Reverse;

use crate::bookkeeping::jobs::JobSpec;
use crate::ids::{JobIx, Revision};
use crate::protocol::users::PriorityClass;

/// Jobs whose start-by times are in the same bucket are ordered by image size.
const START_BUCKET_MS: u64 = 10_000;
/// Upper bound on how much earlier a node's downstream path makes its start-by time.
const MAX_CRITICAL_PATH_MS: u64 = 120_000;

/// The part of the order that never changes: criteria 1, 4 and 5. Queues use it as their key, so that a queued task can
/// be found again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority_class: PriorityClass,
    start_by_bucket: u64,
    image_mb: Reverse<u64>,
    accepted_revision: Revision,
    /// The ranked job, which also breaks ties.
    pub job: JobIx,
}

impl Rank {
    /// Returns the rank of a job that should complete within `objective_ms` of its acceptance.
    ///
    /// `size_penalty_ms` grows with the time for which the job would occupy a large part of the fleet: under overload,
    /// completing many small jobs in time is worth more than completing one large job.
    pub fn new(job: JobIx, spec: &JobSpec, objective_ms: u64, size_penalty_ms: u64) -> Rank {
        let downstream_path_ms = spec.node.as_ref().map_or(0, |node| node.downstream_path_ms);
        let critical_path_ms = downstream_path_ms.min(MAX_CRITICAL_PATH_MS);
        let start_by_ms = (spec.accepted_wall_ms + objective_ms + size_penalty_ms)
            .saturating_sub(spec.estimated_run_ms + critical_path_ms);
        Rank {
            priority_class: spec.priority_class,
            start_by_bucket: start_by_ms / START_BUCKET_MS,
            image_mb: Reverse(spec.image_mb),
            accepted_revision: spec.accepted_revision,
            job,
        }
    }

    /// Returns the job's priority class, the first criterion.
    pub(super) fn priority_class(&self) -> PriorityClass {
        self.priority_class
    }
}

/// Inputs of the order that change during the life of a job, unlike its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityInputs {
    /// The job fits into its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Set if the job has missed its last objective or is expected to: its remaining work in CPU milliseconds, or 0 if
    /// overload ordering is disabled.
    pub past_slo_work: Option<u64>,
    /// The job's team class is below its minimum share.
    pub below_minimum_share: bool,
}

/// Records for each input whether at least one job has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PresentInputs {
    /// At least one job fits into its team's guarantee.
    pub guaranteed: bool,
    /// At least one job is past its objectives.
    pub past_slo: bool,
    /// At least one job's team class is below its minimum share.
    pub below_minimum_share: bool,
}

/// The inputs of each job. A vector indexed by the dense job index, because the inputs are read for every job in a
/// sample of queues.
#[derive(Debug, Default)]
pub struct PriorityInputsTable {
    jobs: Vec<PriorityInputs>,
    /// The inputs that at least one job has.
    pub present: PresentInputs,
}

impl PriorityInputsTable {
    /// Returns the inputs of a job, or the default if none have been set.
    pub fn get(&self, job: JobIx) -> PriorityInputs {
        self.jobs.get(job.index()).copied().unwrap_or_default()
    }

    /// Returns the inputs of a job for modification.
    pub fn get_mut(&mut self, job: JobIx) -> &mut PriorityInputs {
        if self.jobs.len() <= job.index() {
            self.jobs.resize(job.index() + 1, PriorityInputs::default());
        }
        &mut self.jobs[job.index()]
    }
}

/// A job's position in the order by all criteria; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    has_minimum_share: bool,
    priority_class: PriorityClass,
    is_borrowing: bool,
    /// None, which sorts first, if the job can still meet an objective. The logarithm makes jobs with roughly equal
    /// remaining work compare by rank.
    past_slo_work_log2: Option<u32>,
    /// Holds the remaining criteria.
    pub rank: Rank,
}

impl QueueOrder {
    /// Returns the position of a job with this rank and these inputs.
    pub fn new(rank: &Rank, inputs: PriorityInputs) -> QueueOrder {
        QueueOrder {
            has_minimum_share: !inputs.below_minimum_share,
            priority_class: rank.priority_class,
            is_borrowing: !inputs.guaranteed,
            past_slo_work_log2: inputs.past_slo_work.map(|work| work.max(1).ilog2()),
            rank: *rank,
        }
    }

    /// Returns whether this job is guaranteed to come before every job with the given rank or a later one.
    pub fn precedes_all_from(&self, rank: &Rank, present: PresentInputs) -> bool {
        if self.has_minimum_share && present.below_minimum_share {
            return false;
        }
        let is_best_of_priority_class =
            self.past_slo_work_log2.is_none() && (!self.is_borrowing || !present.guaranteed);
        self.priority_class < rank.priority_class || (is_best_of_priority_class && self.rank < *rank)
    }
}

#[cfg(test)]
#[path = "tests/policy.rs"]
mod tests;
