//! The changes that clients poll. Memory is bounded: the oldest revisions are dropped.

use std::collections::VecDeque;

use serde_json::Value;

/// Changes kept for clients that poll.
pub(crate) const MAX_KEPT_CHANGES: usize = 10_000;

/// The last changes, in the order of their revisions.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Revision and event of each change.
    changes: VecDeque<(u64, Value)>,
    /// Changes up to this revision are no longer kept.
    compacted_revision: u64,
}

impl ChangeLog {
    /// A log that starts after a revision.
    pub(crate) fn starting_after(revision: u64) -> ChangeLog {
        ChangeLog { changes: VecDeque::new(), compacted_revision: revision }
    }

    pub(crate) fn push(&mut self, revision: u64, event: Value) {
        self.changes.push_back((revision, event));
        while self.changes.len() > MAX_KEPT_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.compacted_revision = dropped;
            }
        }
        // A revision is dropped as a whole: a part of one would look like all of it.
        let compacted = self.compacted_revision;
        while self.changes.front().is_some_and(|(revision, _)| *revision <= compacted) {
            self.changes.pop_front();
        }
    }

    /// The changes after a revision of keys with this prefix; None if some of them are no longer kept.
    pub(crate) fn since(&self, after: u64, prefix: &str) -> Option<Vec<&Value>> {
        if after < self.compacted_revision {
            return None;
        }
        let first = self.changes.partition_point(|(revision, _)| *revision <= after);
        let events = self.changes.range(first..).map(|(_, event)| event);
        Some(events.filter(|event| is_under(event, prefix)).collect())
    }

    /// Are there changes after a revision of keys with this prefix? Also true if that is no longer known.
    pub(crate) fn has_changed(&self, after: u64, prefix: &str) -> bool {
        let mut later = self.changes.iter().rev().take_while(|(revision, _)| *revision > after);
        after < self.compacted_revision || later.any(|(_, event)| is_under(event, prefix))
    }
}

fn is_under(event: &Value, prefix: &str) -> bool {
    event["write"].as_str().or(event["drop"].as_str()).is_some_and(|key| key.starts_with(prefix))
}
