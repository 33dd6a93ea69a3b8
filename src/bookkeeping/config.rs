//! Entries of the run-time configuration, read from their records.
//!
//! An entry whose format or kind this version does not support has no effect and is never overwritten; its name is kept
//! so that operators can see it. This module also applies a team's entry to the team's settings.

use std::collections::BTreeMap;

use crate::ids::{Revision, to_milli_floor};
use crate::protocol::config::{ConfigKey, ConfigRecord, ENTRY_FORMAT_VERSION, TeamQuota};
use crate::settings::TeamSettings;

/// An entry in a format that this version supports.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigEntry {
    /// Parsed content of the entry.
    pub record: ConfigRecord,
    /// Revision of the entry's key in the store.
    pub version: Revision,
}

/// All configuration entries in the store.
#[derive(Debug, Default)]
pub struct ConfigEntries {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
    /// Revisions of the entries with an unsupported format or an unknown kind, by name.
    unrecognized: BTreeMap<String, Revision>,
}

impl ConfigEntries {
    /// Stores an entry as read from the store. For an entry that is not supported, only the name and the revision are
    /// kept.
    pub fn put(&mut self, name: &str, value: &str, version: Revision) {
        let record = serde_json::from_str::<ConfigRecord>(value)
            .ok()
            .filter(|record| record.format_version == ENTRY_FORMAT_VERSION);
        match (ConfigKey::parse(name).ok(), record) {
            (Some(key), Some(record)) => {
                self.unrecognized.remove(name);
                self.entries.insert(key, ConfigEntry { record, version });
            }
            (key, _) => {
                if let Some(key) = key {
                    self.entries.remove(&key);
                }
                log::error!(
                    "config entry {name}: unknown name or unsupported format, kept unchanged and ignored"
                );
                self.unrecognized.insert(name.into(), version);
            }
        }
    }

    /// Removes a deleted entry.
    pub fn remove(&mut self, name: &str) {
        self.unrecognized.remove(name);
        if let Ok(key) = ConfigKey::parse(name) {
            self.entries.remove(&key);
        }
    }

    /// Returns an entry if it exists and is supported.
    pub fn get(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// Returns the revision of an entry that exists but is not supported.
    pub fn unrecognized_version(&self, name: &str) -> Option<Revision> {
        self.unrecognized.get(name).copied()
    }

    /// Returns names and revisions of the entries that are not supported.
    pub fn unrecognized_names(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.unrecognized.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// Returns the effective settings of a team: the platform's settings, lowered by the team's entry if there is one.
    pub fn effective_team(&self, platform: &TeamSettings) -> TeamSettings {
        match self.entries.get(&ConfigKey::Team(platform.name.clone())) {
            Some(entry) => apply_team_quota(platform, entry.record.quota.into()),
            None => platform.clone(),
        }
    }
}

/// Applies a quota to the platform's settings of a team. The quota can only lower them.
pub fn apply_team_quota(platform: &TeamSettings, quota: TeamQuota) -> TeamSettings {
    let limit = quota.limit_cpus.map(to_milli_floor).map(|cpu| cpu.min(platform.effective_limit().cpu));
    let mut guaranteed = platform.guaranteed;
    if let Some(cpus) = quota.guaranteed_cpus {
        guaranteed.cpu = guaranteed.cpu.min(to_milli_floor(cpus));
    }
    guaranteed.cpu = guaranteed.cpu.min(limit.unwrap_or(u64::MAX));
    TeamSettings { guaranteed, lowered_cpu_limit: limit, ..platform.clone() }
}
