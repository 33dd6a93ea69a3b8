//! What teams have borrowed, and how much of it others may claim back at once.
//!
//! Only what a team uses above its guarantee may be stopped for others, and what is being stopped already is not claimed
//! a second time. Without both, teams that all stood near their guarantees stopped each other's gangs in turn: one task
//! above it was enough to lose a whole gang, whose owner could then claim it back.

use std::collections::{BTreeMap, BTreeSet};

/// CPUs and accelerators, in thousandths: what guarantees are given in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Room {
    pub cpu: u64,
    pub gpu: u64,
}

impl Room {
    fn less(self, other: Room) -> Room {
        Room { cpu: self.cpu.saturating_sub(other.cpu), gpu: self.gpu.saturating_sub(other.gpu) }
    }

    /// Is all of it, in one of the two, covered by what lies above a guarantee?
    fn covered_by(self, above: Room) -> bool {
        (self.cpu > 0 && self.cpu <= above.cpu) || (self.gpu > 0 && self.gpu <= above.gpu)
    }
}

/// What is lent to each team `T`; jobs `J` that stop as a whole are claimed once.
#[derive(Debug, Clone)]
pub struct Lent<T, J> {
    above: BTreeMap<T, Room>,
    whole: BTreeSet<J>,
}

impl<T, J> Default for Lent<T, J> {
    fn default() -> Self {
        Lent { above: BTreeMap::new(), whole: BTreeSet::new() }
    }
}

impl<T: Ord + Copy, J: Ord + Copy> Lent<T, J> {
    /// `used` and `guaranteed` of a team; `stopping` of what it uses is on its way out.
    pub fn team(&mut self, team: T, used: Room, stopping: Room, guaranteed: Room) {
        let above = used.less(stopping).less(guaranteed);
        if above != Room::default() {
            self.above.insert(team, above);
        }
    }

    /// May so much of the team's use be stopped now?
    pub fn may_claim(&self, team: T, room: Room) -> bool {
        self.above.get(&team).is_some_and(|above| room.covered_by(*above))
    }

    /// Takes it off what can be claimed; false if it is not covered any more. `whole`: the job stops as a whole, so that
    /// a further part of it costs nothing.
    pub fn claim(&mut self, team: T, room: Room, whole: Option<J>) -> bool {
        if whole.is_some_and(|job| self.whole.contains(&job)) {
            return true;
        }
        if !self.may_claim(team, room) {
            return false;
        }
        if let Some(above) = self.above.get_mut(&team) {
            *above = above.less(room);
        }
        self.whole.extend(whole);
        true
    }
}

#[cfg(test)]
#[path = "tests/lent.rs"]
mod tests;
