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
mod tests {
    use super::*;
    use crate::bookkeeping::jobs::{NodeInfo, Registry};
    use crate::ids::JobId;
    use crate::protocol::graphs::RunName;
    use std::sync::Arc;

    /// One who wants the last place: urgency, standing, ready at (s), due (s), path behind it (s; None: a plain job).
    type Claim = (&'static str, Standing, u64, u64, Option<u64>);

    const BORROWS: Standing = Standing { guaranteed: false, hopeless: None, behind: false };
    const LENDS: Standing = Standing { guaranteed: true, ..BORROWS };
    const LATE: Standing = Standing { hopeless: Some(1_000), ..BORROWS };
    const LATER: Standing = Standing { hopeless: Some(100_000), ..BORROWS };
    const BEHIND: Standing = Standing { behind: true, ..LATER };

    fn turn(at: u32, (urgency, standing, ready, due, ahead): Claim) -> Turn {
        let spec = serde_json::json!({"uid": "job-000001", "jobclass": "c", "owner": "o", "shape": "array",
            "urgency": urgency, "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "b",
            "size_gb": 0.0, "together": false, "scatter": false, "loaners": false, "guess_s": 0.0, "snapshot_s": 0.0,
            "flush_s": 0.0});
        let spec = serde_json::from_value(spec).expect("a specification");
        let mut names = Registry::default();
        let seq = Revision(u64::from(at));
        let mut info = JobInfo::new(JobId(u64::from(at)), &spec, 1_000_000 + ready * 1000, seq, &mut names);
        info.node = ahead.map(|ahead| {
            Arc::new(NodeInfo {
                run: RunName::parse("r").expect("a name"),
                name: "n".into(),
                retry: Default::default(),
                limit_ms: None,
                pool: None,
                ahead_ms: ahead * 1000,
                upstream: Vec::new(),
                input_mb: 0,
                feeds: ahead > 0,
            })
        });
        Turn::new(&Rank::new(JobIx(at), &info, due * 1000, 0), standing)
    }

    /// Whoever is passed over unseen would not have come first: held against looking at all.
    #[test]
    fn looking_no_further_finds_the_same() {
        let mut all = Vec::new();
        for urgency in ["high", "normal"] {
            let late = Standing { guaranteed: true, ..LATER };
            for standing in [LENDS, late, BORROWS, LATE, LATER, BEHIND] {
                for due in [60, 300, 900] {
                    all.push((urgency, standing, 0, due, None));
                }
            }
        }
        for skipped in 0..all.len() {
            for some in [(true, true), (true, false), (false, true), (false, false)] {
                let some = Present { guaranteed: some.0, late: true, behind: some.1 };
                let there = |claim: &&Claim| {
                    (some.guaranteed || !claim.1.guaranteed) && (some.behind || !claim.1.behind)
                };
                let claims = all.iter().skip(skipped).filter(there).step_by(skipped % 3 + 1);
                let mut turns: Vec<Turn> =
                    claims.enumerate().map(|(at, claim)| turn(at as u32, *claim)).collect();
                turns.sort_by_key(|turn| turn.rank);
                let mut first: Option<Turn> = None;
                for turn in &turns {
                    if first.is_some_and(|first| first.before_all_behind(&turn.rank, some)) {
                        break;
                    }
                    first = first.into_iter().chain([*turn]).min();
                }
                assert_eq!(first, turns.iter().min().copied());
            }
        }
    }

    /// The first of each pair gets the last place, whichever asks first.
    #[test]
    fn the_table_of_who_comes_first() {
        let plain = ("normal", BORROWS, 0, 600, None);
        let table: [(&str, Claim, Claim); 12] = [
            ("urgency before all", ("high", LATE, 900, 900, None), ("normal", LENDS, 0, 60, Some(500))),
            (
                "a guarantee before what is held up",
                ("normal", LENDS, 0, 600, None),
                ("normal", BORROWS, 0, 600, Some(500)),
            ),
            ("who can still meet an aim", plain, ("normal", LATE, 0, 60, Some(500))),
            (
                "of two hopeless ones what has less left",
                ("normal", LATE, 0, 900, None),
                ("normal", LATER, 0, 60, None),
            ),
            ("who is below its floor", ("normal", BEHIND, 900, 900, None), ("high", LENDS, 0, 60, None)),
            (
                "of two below their floors the more urgent",
                ("high", BEHIND, 900, 900, None),
                ("normal", BEHIND, 0, 60, None),
            ),
            ("the earlier aim", ("normal", BORROWS, 0, 300, None), plain),
            ("what holds up more", ("normal", BORROWS, 0, 600, Some(60)), plain),
            (
                "of two nodes the longer path",
                ("normal", BORROWS, 0, 600, Some(90)),
                ("normal", BORROWS, 0, 600, Some(30)),
            ),
            ("a node that came a little later", ("normal", BORROWS, 100, 600, Some(500)), plain),
            (
                "aged: a plain job that came two minutes earlier",
                plain,
                ("normal", BORROWS, 130, 600, Some(100_000)),
            ),
            ("a last node is like a plain job: the older one", plain, ("normal", BORROWS, 0, 600, Some(0))),
        ];
        for (why, first, second) in table {
            assert!(turn(1, first) < turn(2, second), "{why}");
        }
        assert!(turn(2, plain) > turn(1, plain), "the older one");
    }
}
