//! How many jobs of each class of each team were accepted, begun, done and told, by the records.
//!
//! Every controller counts the same, from what it reads of the records; only `told` is its own: users that it answered
//! with `done`. A process that starts counts the jobs that still have a record, and what ends from then on: what was over
//! and cleared before is not known to it, as an end does not tell whose it was. Memory: one entry a party, bounded.

use std::collections::BTreeMap;

use crate::ids::{ClassIx, TeamIx};

/// Parties counted apart; classes are named by users, so that there may be any number.
const MAX_TEAM_CLASSES: usize = 256;

/// A class of a team, by its place in the accounts. The last one stands for all beyond the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamClassIx(u16);

/// Jobs of one party.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobCounters {
    pub accepted: u64,
    /// At least one task was, or may have been, on a machine.
    pub started: u64,
    pub done: u64,
    pub cancelled: u64,
    /// Users that this controller told of the end with `done`, once a job.
    pub notified: u64,
}

#[derive(Debug, Default)]
pub struct JobCounterTable {
    indices: BTreeMap<(TeamIx, ClassIx), TeamClassIx>,
    rows: Vec<(Option<(TeamIx, ClassIx)>, JobCounters)>,
}

impl JobCounterTable {
    pub fn team_class(&mut self, team: TeamIx, class: ClassIx) -> TeamClassIx {
        let next = self.rows.len();
        *self.indices.entry((team, class)).or_insert_with(|| {
            if next <= MAX_TEAM_CLASSES {
                self.rows.push(((next < MAX_TEAM_CLASSES).then_some((team, class)), JobCounters::default()));
            }
            TeamClassIx(next.min(MAX_TEAM_CLASSES) as u16)
        })
    }

    /// The account of a party; None for one of other accounts.
    pub fn counters_mut(&mut self, team_class: TeamClassIx) -> Option<&mut JobCounters> {
        self.rows.get_mut(usize::from(team_class.0)).map(|(_, account)| account)
    }

    /// Team and class with their accounts; neither of all beyond the bound.
    pub fn rows(&self) -> impl Iterator<Item = (Option<(TeamIx, ClassIx)>, JobCounters)> + '_ {
        self.rows.iter().copied()
    }
}

#[cfg(test)]
#[path = "tests/job_counters.rs"]
mod tests;
