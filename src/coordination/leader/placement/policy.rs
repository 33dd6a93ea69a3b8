//! Whose turn it is when there is one place left. One order for plain jobs and for nodes of graphs alike; in it, from the
//! first to the last:
//!
//! 1. **urgency** of the job;
//! 2. what fits into its team's **guarantee** together with the team's earlier jobs, before what borrows;
//! 3. what can still meet one of its **aims**, before what is hopeless; of the latter what has least **work left**, so
//!    that more jobs end (docs/overload.md);
//! 4. the time by which it has to **start** (in grains of 10 s): acceptance (of a node: when it became ready) and the time to
//!    its aim, less its own run time; later by the size of the job, at most two minutes, so that many small jobs pass a
//!    large one; **earlier by the work that it holds up**, the longest path still to come behind a node, at most two
//!    minutes as well;
//! 5. larger images (source), then older jobs.
//!
//! Before all of these come parties (a class of a team) that have hopeless work waiting and got less than their floor of
//! what was started lately: hopeless last must not mean never. They come forward until they have their floor.
//!
//! Nobody waits for good: the fourth is a time of day. It stays where it is while that of later jobs moves on, so that
//! a node that holds up ever so much passes a plain job only if it came less than two minutes later.

use std::cmp::Reverse;

use crate::bookkeeping::jobs::JobSpec;
use crate::ids::{JobIx, Revision};
use crate::protocol::users::PriorityClass;

/// Jobs whose start is due within the same so many milliseconds go by image size.
const START_BUCKET_MS: u64 = 10_000;
/// What a node holds up puts it before jobs that came so much earlier at most.
pub const MAX_CRITICAL_PATH_MS: u64 = 120_000;

/// Steps 4 and 5. It never changes, so that a task is found where it was put.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: PriorityClass,
    start_by: u64,
    image_mb: Reverse<u64>,
    seq: Revision,
    pub job: JobIx,
}

impl Rank {
    /// `aim_ms`: within what time of its acceptance the job should be done.
    /// `size_ms`: how long the whole job keeps a good part of the fleet busy; with more
    /// work than machines, many small jobs in time are worth more than one large one.
    pub fn new(job: JobIx, info: &JobSpec, objective_ms: u64, size_ms: u64) -> Rank {
        let critical_path_ms =
            info.node.as_ref().map_or(0, |node| node.downstream_path_ms).min(MAX_CRITICAL_PATH_MS);
        let start_by = (info.accepted_wall_ms + objective_ms + size_ms)
            .saturating_sub(info.estimated_run_ms + critical_path_ms);
        Rank {
            urgency: info.urgency,
            start_by: start_by / START_BUCKET_MS,
            image_mb: Reverse(info.image_mb),
            seq: info.accepted_revision,
            job,
        }
    }

    pub fn urgency(&self) -> PriorityClass {
        self.urgency
    }
}

/// What is known of a job beyond its rank, and changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityInputs {
    /// It fits into its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Every aim has passed: the work left in CPU milliseconds (thousandths of CPUs).
    pub past_slo_work: Option<u64>,
    /// Its party is below its floor.
    pub below_minimum_share: bool,
}

/// Whether there are any such jobs at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PresentInputs {
    pub guaranteed: bool,
    pub past_slo: bool,
    pub below_minimum_share: bool,
}

/// The standing of each job, by its dense index: asked for with every job that a sample of queues shows.
#[derive(Debug, Default)]
pub struct PriorityInputsTable {
    jobs: Vec<PriorityInputs>,
    pub present: PresentInputs,
}

impl PriorityInputsTable {
    pub fn get(&self, job: JobIx) -> PriorityInputs {
        self.jobs.get(job.index()).copied().unwrap_or_default()
    }

    pub fn get_mut(&mut self, job: JobIx) -> &mut PriorityInputs {
        if self.jobs.len() <= job.index() {
            self.jobs.resize(job.index() + 1, PriorityInputs::default());
        }
        &mut self.jobs[job.index()]
    }
}

/// All steps: the smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    has_minimum_share: bool,
    urgency: PriorityClass,
    is_borrowing: bool,
    past_slo_work_log2: Option<u32>,
    pub rank: Rank,
}

impl QueueOrder {
    pub fn new(rank: &Rank, inputs: PriorityInputs) -> QueueOrder {
        QueueOrder {
            has_minimum_share: !inputs.below_minimum_share,
            urgency: rank.urgency,
            is_borrowing: !inputs.guaranteed,
            // About equal amounts of work go by rank.
            past_slo_work_log2: inputs.past_slo_work.map(|left| left.max(1).ilog2()),
            rank: *rank,
        }
    }

    /// Does it certainly come before this rank and all behind it?
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
