//! Counters of jobs by team and class: accepted, started, done, cancelled, notified.
//!
//! Every controller derives the same counts from the records, except `notified`, which counts the controller's own
//! responses. A new process counts the jobs that still have a job record. It cannot count jobs whose job record was
//! already deleted, since a terminal record need not name the team. `MAX_TEAM_CLASSES` bounds the number of rows.

use std::collections::BTreeMap;

use crate::ids::{ClassIx, TeamIx};

/// Number of pairs of team and class that have a row of their own. Users choose the class names, so the number of pairs
/// is not bounded otherwise.
const MAX_TEAM_CLASSES: usize = 256;

/// Row of a pair of team and class. All pairs beyond the bound share the last row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamClassIx(u16);

/// Counters of one pair of team and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobCounters {
    /// Accepted jobs.
    pub accepted: u64,
    /// Jobs with at least one task that ran or may have run.
    pub started: u64,
    /// Jobs in the terminal state `Done`.
    pub done: u64,
    /// Jobs in the terminal state `Cancelled`.
    pub cancelled: u64,
    /// Jobs for which this controller has sent a user the response `done`.
    pub notified: u64,
}

/// The counters of all pairs.
#[derive(Debug, Default)]
pub struct JobCounterTable {
    indices: BTreeMap<(TeamIx, ClassIx), TeamClassIx>,
    rows: Vec<(Option<(TeamIx, ClassIx)>, JobCounters)>,
}

impl JobCounterTable {
    /// Returns the row of a pair. A new pair gets a row of its own while the bound allows it, else the shared row.
    pub fn team_class(&mut self, team: TeamIx, class: ClassIx) -> TeamClassIx {
        let next = self.rows.len();
        *self.indices.entry((team, class)).or_insert_with(|| {
            if next <= MAX_TEAM_CLASSES {
                self.rows.push(((next < MAX_TEAM_CLASSES).then_some((team, class)), JobCounters::default()));
            }
            TeamClassIx(next.min(MAX_TEAM_CLASSES) as u16)
        })
    }

    /// Returns the counters of a row; None if the row does not exist in this table.
    pub fn counters_mut(&mut self, team_class: TeamClassIx) -> Option<&mut JobCounters> {
        self.rows.get_mut(usize::from(team_class.0)).map(|(_, counters)| counters)
    }

    /// Returns all rows: team and class (None for the shared row), and the counters.
    pub fn rows(&self) -> impl Iterator<Item = (Option<(TeamIx, ClassIx)>, JobCounters)> + '_ {
        self.rows.iter().copied()
    }
}

#[cfg(test)]
#[path = "tests/job_counters.rs"]
mod tests;
