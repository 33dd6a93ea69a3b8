//! The log of recent changes, which clients poll. Its memory is bounded: the oldest revisions are dropped.

use std::collections::VecDeque;

use serde_json::Value;

/// Maximum number of changes kept in the log.
pub(crate) const MAX_KEPT_CHANGES: usize = 10_000;

/// The most recent changes, ordered by revision.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// The revision and the event of each change.
    changes: VecDeque<(u64, Value)>,
    /// Changes up to and including this revision have been dropped.
    compacted_revision: u64,
}

impl ChangeLog {
    /// Creates an empty log that covers the changes after `revision`.
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
        // Drop the other changes of the same revision as well: clients would take a part of a revision for the whole.
        let compacted = self.compacted_revision;
        while self.changes.front().is_some_and(|(revision, _)| *revision <= compacted) {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after revision `after` to keys with this prefix, or `None` if changes after `after` have
    /// been dropped.
    pub(crate) fn since(&self, after: u64, prefix: &str) -> Option<Vec<&Value>> {
        if after < self.compacted_revision {
            return None;
        }
        let first = self.changes.partition_point(|(revision, _)| *revision <= after);
        let events = self.changes.range(first..).map(|(_, event)| event);
        Some(events.filter(|event| key_has_prefix(event, prefix)).collect())
    }

    /// Returns whether keys with this prefix changed after revision `after`. Also true if changes after `after` have
    /// been dropped.
    pub(crate) fn has_changed(&self, after: u64, prefix: &str) -> bool {
        let mut later = self.changes.iter().rev().take_while(|(revision, _)| *revision > after);
        after < self.compacted_revision || later.any(|(_, event)| key_has_prefix(event, prefix))
    }
}

fn key_has_prefix(event: &Value, prefix: &str) -> bool {
    event["write"].as_str().or(event["drop"].as_str()).is_some_and(|key| key.starts_with(prefix))
}
