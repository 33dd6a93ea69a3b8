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

use crate::bookkeeping::jobs::JobInfo;
use crate::ids::{JobIx, Revision};
use crate::protocol::users::Urgency;

/// Jobs whose start is due within the same so many milliseconds go by image size.
const START_GRAIN_MS: u64 = 10_000;
/// What a node holds up puts it before jobs that came so much earlier at most.
pub const MOST_AHEAD_MS: u64 = 120_000;

/// Steps 4 and 5. It never changes, so that a task is found where it was put.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    urgency: Urgency,
    start_by: u64,
    image_mb: Reverse<u64>,
    seq: Revision,
    pub job: JobIx,
}

impl Rank {
    /// `aim_ms`: within what time of its acceptance the job should be done.
    /// `size_ms`: how long the whole job keeps a good part of the fleet busy; with more
    /// work than machines, many small jobs in time are worth more than one large one.
    pub fn new(job: JobIx, info: &JobInfo, aim_ms: u64, size_ms: u64) -> Rank {
        let holds_up = info.node.as_ref().map_or(0, |node| node.ahead_ms).min(MOST_AHEAD_MS);
        let start_by = (info.accepted_wall_ms + aim_ms + size_ms).saturating_sub(info.guess_ms + holds_up);
        Rank {
            urgency: info.urgency,
            start_by: start_by / START_GRAIN_MS,
            image_mb: Reverse(info.image_mb),
            seq: info.seq,
            job,
        }
    }

    pub fn urgency(&self) -> Urgency {
        self.urgency
    }
}

/// What is known of a job beyond its rank, and changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// It fits into its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Every aim has passed: the work left in CPU milliseconds (thousandths of CPUs).
    pub hopeless: Option<u64>,
    /// Its party is below its floor.
    pub behind: bool,
}

/// Whether there are any such jobs at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Present {
    pub guaranteed: bool,
    pub late: bool,
    pub behind: bool,
}

/// The standing of each job, by its dense index: asked for with every job that a sample of queues shows.
#[derive(Debug, Default)]
pub struct Standings {
    jobs: Vec<Standing>,
    pub present: Present,
}

impl Standings {
    pub fn of(&self, job: JobIx) -> Standing {
        self.jobs.get(job.at()).copied().unwrap_or_default()
    }

    pub fn at(&mut self, job: JobIx) -> &mut Standing {
        if self.jobs.len() <= job.at() {
            self.jobs.resize(job.at() + 1, Standing::default());
        }
        &mut self.jobs[job.at()]
    }
}

/// All steps: the smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    above_floor: bool,
    urgency: Urgency,
    borrows: bool,
    hopeless: Option<u32>,
    pub rank: Rank,
}

impl Turn {
    pub fn new(rank: &Rank, standing: Standing) -> Turn {
        Turn {
            above_floor: !standing.behind,
            urgency: rank.urgency,
            borrows: !standing.guaranteed,
            // About equal amounts of work go by rank.
            hopeless: standing.hopeless.map(|left| left.max(1).ilog2()),
            rank: *rank,
        }
    }

    /// Does it certainly come before this rank and all behind it?
    pub fn before_all_behind(&self, rank: &Rank, some: Present) -> bool {
        if self.above_floor && some.behind {
            return false;
        }
        let best_of_its_urgency = self.hopeless.is_none() && (!self.borrows || !some.guaranteed);
        self.urgency < rank.urgency || (best_of_its_urgency && self.rank < *rank)
    }
}

#[cfg(test)]
#[path = "tests/policy.rs"]
mod tests;
