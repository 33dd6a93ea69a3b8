//! The order of service: which job gets the next free room. One order for plain jobs and for nodes of graphs alike, by
//! these criteria:
//!
//! 1. **urgency** of the job;
//! 2. what fits into its team's **guarantee** together with the team's earlier jobs, before what borrows;
//! 3. what can still meet one of its **objectives**, before what cannot; of the latter what has least **work left**, so
//!    that more jobs complete (docs/overload.md);
//! 4. the time by which it has to **start**, in buckets of 10 s: acceptance (of a node: when it became ready) plus the time
//!    to its objective, less its own run time. Later by the size of the job, at most two minutes, so that many small jobs
//!    pass a large one; **earlier by the longest path downstream** of a node, at most two minutes as well;
//! 5. larger images (source), then older jobs.
//!
//! Before all of these come team classes that have jobs past their objectives waiting and got less than their minimum share
//! of recent service, until they have it: jobs that come last by the third criterion must not starve.
//!
//! No job starves by the fourth: it is a time of day. It stays the same while that of later jobs advances, so a node with
//! ever so long a path downstream passes a plain job only if it came less than two minutes later.
//!
//! Pure: no I/O and no clock. Memory: one entry for each job.

use std::cmp::Reverse;

use crate::bookkeeping::jobs::JobSpec;
use crate::ids::{JobIx, Revision};
use crate::protocol::users::PriorityClass;

/// Jobs that have to start within the same bucket go by image size.
const START_BUCKET_MS: u64 = 10_000;
/// The path downstream of a node puts it at most this much before its time.
const MAX_CRITICAL_PATH_MS: u64 = 120_000;

/// The part of the order that never changes, so that a queued task is found again: urgency and criteria 4 and 5.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: PriorityClass,
    start_by_bucket: u64,
    image_mb: Reverse<u64>,
    accepted_revision: Revision,
    /// The job itself.
    pub job: JobIx,
}

impl Rank {
    /// The rank of a job that should complete within `objective_ms` of its acceptance. `size_ms`: how long it keeps a good
    /// part of the fleet busy; under overload, many small jobs in time are worth more than one large one.
    pub fn new(job: JobIx, spec: &JobSpec, objective_ms: u64, size_ms: u64) -> Rank {
        let downstream_path_ms = spec.node.as_ref().map_or(0, |node| node.downstream_path_ms);
        let critical_path_ms = downstream_path_ms.min(MAX_CRITICAL_PATH_MS);
        let start_by_ms = (spec.accepted_wall_ms + objective_ms + size_ms)
            .saturating_sub(spec.estimated_run_ms + critical_path_ms);
        Rank {
            urgency: spec.urgency,
            start_by_bucket: start_by_ms / START_BUCKET_MS,
            image_mb: Reverse(spec.image_mb),
            accepted_revision: spec.accepted_revision,
            job,
        }
    }

    /// The first criterion.
    pub(super) fn urgency(&self) -> PriorityClass {
        self.urgency
    }
}

/// What the order takes into account beyond a job's rank, and changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityInputs {
    /// It fits into its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// It has missed all its objectives or will: the work left in CPU milliseconds (thousandths of CPUs).
    pub past_slo_work: Option<u64>,
    /// Its team class is below its minimum share.
    pub below_minimum_share: bool,
}

/// Which inputs occur with any job at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PresentInputs {
    /// Some job is guaranteed.
    pub guaranteed: bool,
    /// Some job is past its objectives.
    pub past_slo: bool,
    /// Some job's team class is below its minimum share.
    pub below_minimum_share: bool,
}

/// The inputs of each job, by its dense index: they are read for every job in a sample of queues.
#[derive(Debug, Default)]
pub struct PriorityInputsTable {
    jobs: Vec<PriorityInputs>,
    /// What occurs in the table.
    pub present: PresentInputs,
}

impl PriorityInputsTable {
    /// The inputs of a job; the default if none have been set.
    pub fn get(&self, job: JobIx) -> PriorityInputs {
        self.jobs.get(job.index()).copied().unwrap_or_default()
    }

    /// The inputs of a job, to be set.
    pub fn get_mut(&mut self, job: JobIx) -> &mut PriorityInputs {
        if self.jobs.len() <= job.index() {
            self.jobs.resize(job.index() + 1, PriorityInputs::default());
        }
        &mut self.jobs[job.index()]
    }
}

/// A job's place in the order by all criteria: the smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    has_minimum_share: bool,
    urgency: PriorityClass,
    is_borrowing: bool,
    /// None, which comes first, if the job can still meet an objective. Roughly equal amounts of work go by rank.
    past_slo_work_log2: Option<u32>,
    /// The remaining criteria.
    pub rank: Rank,
}

impl QueueOrder {
    /// The place of a job with this rank and these inputs.
    pub fn new(rank: &Rank, inputs: PriorityInputs) -> QueueOrder {
        QueueOrder {
            has_minimum_share: !inputs.below_minimum_share,
            urgency: rank.urgency,
            is_borrowing: !inputs.guaranteed,
            past_slo_work_log2: inputs.past_slo_work.map(|work| work.max(1).ilog2()),
            rank: *rank,
        }
    }

    /// Whether it certainly comes before any job with this rank or a later one.
    pub fn precedes_all_from(&self, rank: &Rank, present: PresentInputs) -> bool {
        if self.has_minimum_share && present.below_minimum_share {
            return false;
        }
        let is_best_of_urgency =
            self.past_slo_work_log2.is_none() && (!self.is_borrowing || !present.guaranteed);
        self.urgency < rank.urgency || (is_best_of_urgency && self.rank < *rank)
    }
}

#[cfg(test)]
#[path = "tests/policy.rs"]
mod tests;
