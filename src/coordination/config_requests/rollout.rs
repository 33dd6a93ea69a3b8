//! Determines whether a version of a configuration entry is in force: no controller can still act on an older
//! value.

use std::collections::BTreeMap;

use crate::coordination::Clock;
use crate::coordination::controller_state::ControllerState;
use crate::coordination::read_watermarks::STOPPED_AFTER_MS;
use crate::ids::{Millis, Revision, from_milli};
use crate::protocol::config::{ConfigKey, ENTRY_FORMAT_VERSION, PendingOn, PropagationBlocker};

/// How long versions are remembered, in milliseconds: twice as long as a leader may act on an older version.
const RETENTION_MS: u64 = 2 * STOPPED_AFTER_MS;

/// When this controller first saw recent versions of entries.
#[derive(Debug, Default)]
pub(super) struct ObservedVersions {
    seen_at: BTreeMap<Revision, Millis>,
    /// When all records were last loaded, if that is recent. It is used for versions without an entry in
    /// `seen_at`, because the age of the loaded versions is unknown.
    full_read_at: Option<Millis>,
}

impl ObservedVersions {
    pub fn record_change(&mut self, revision: Revision, now: Millis) {
        self.seen_at.entry(revision).or_insert(now);
    }

    pub fn record_full_read(&mut self, now: Millis) {
        self.seen_at.clear();
        self.full_read_at = Some(now);
    }

    /// Drops versions that are older than any that a leader can still be unaware of.
    pub fn prune(&mut self, now: Millis) {
        let is_recent = |seen: Millis| now.saturating_since(seen) < RETENTION_MS;
        self.seen_at.retain(|_, seen| is_recent(*seen));
        self.full_read_at = self.full_read_at.filter(|read| is_recent(*read));
    }

    /// Returns what prevents a version of an entry from being in force; `None` once it is in force.
    pub fn blocker(
        &self,
        key: &ConfigKey,
        version: Revision,
        clock: Clock,
        state: &ControllerState,
    ) -> Option<PendingOn> {
        let seen_at = self.seen_at.get(&version).copied().or(self.full_read_at);
        let since_ms = seen_at.map(|seen| clock.now.saturating_since(seen));
        let blocked_by = |controller: &str, cause| {
            let since_s = since_ms.map_or(0.0, from_milli);
            Some(PendingOn { controller: Some(controller.into()), cause, since_s })
        };
        let own = &state.settings.controller;
        let cache = &state.cache;
        if cache.config.unrecognized_version(&key.to_string()).is_some() {
            return blocked_by(own, PropagationBlocker::UnsupportedFormat);
        }
        if cache.revision < version {
            return blocked_by(own, PropagationBlocker::RevisionNotRead);
        }
        // The cache has read up to the change or further, so any controller that leads after the leader
        // recorded there reads the change before it begins to lead.
        let leader = cache.leader.as_ref()?;
        if leader.config_format != Some(ENTRY_FORMAT_VERSION) {
            return blocked_by(&leader.controller, PropagationBlocker::LeaderConfigDisabled);
        }
        let has_stopped = since_ms.is_none_or(|since| since >= STOPPED_AFTER_MS);
        let has_read = leader.revision > version
            || leader.controller == *own
            || state.watermarks.has_read(&leader.controller, version);
        if has_read || has_stopped {
            return None;
        }
        blocked_by(&leader.controller, PropagationBlocker::LeaderBehind)
    }
}
