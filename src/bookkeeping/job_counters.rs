//! Counters of jobs by team and class: accepted, started, done, cancelled, notified.
//!
//! Every controller counts the same from the records; only `notified` is its own. A process that starts counts the jobs
//! that still have a record, and what ends from then on: earlier jobs are unknown to it, as a terminal record need not
//! name the team. Memory is bounded by [`MAX_TEAM_CLASSES`] entries.

use std::collections::BTreeMap;

use crate::ids::{ClassIx, TeamIx};

/// Pairs of team and class that are counted apart. Users name the classes, so that there may be any number.
const MAX_TEAM_CLASSES: usize = 256;

/// A pair of team and class, by its row. The last row is shared by all pairs beyond the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamClassIx(u16);

/// Counters of one pair of team and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobCounters {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs of which at least one task ran or may have run.
    pub started: u64,
    /// Jobs whose tasks all finished.
    pub done: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs whose user received `done` from this controller.
    pub notified: u64,
}

/// The counters of all pairs.
#[derive(Debug, Default)]
pub struct JobCounterTable {
    indices: BTreeMap<(TeamIx, ClassIx), TeamClassIx>,
    rows: Vec<(Option<(TeamIx, ClassIx)>, JobCounters)>,
}

impl JobCounterTable {
    /// The row of a pair, which is added if the bound allows it.
    pub fn team_class(&mut self, team: TeamIx, class: ClassIx) -> TeamClassIx {
        let next = self.rows.len();
        *self.indices.entry((team, class)).or_insert_with(|| {
            if next <= MAX_TEAM_CLASSES {
                self.rows.push(((next < MAX_TEAM_CLASSES).then_some((team, class)), JobCounters::default()));
            }
            TeamClassIx(next.min(MAX_TEAM_CLASSES) as u16)
        })
    }

    /// The counters of a row; None if it is a row of another table.
    pub fn counters_mut(&mut self, team_class: TeamClassIx) -> Option<&mut JobCounters> {
        self.rows.get_mut(usize::from(team_class.0)).map(|(_, counters)| counters)
    }

    /// All rows: team and class, which the shared row does not have, and the counters.
    pub fn rows(&self) -> impl Iterator<Item = (Option<(TeamIx, ClassIx)>, JobCounters)> + '_ {
        self.rows.iter().copied()
    }
}

#[cfg(test)]
#[path = "tests/job_counters.rs"]
mod tests;
