//! Entries of the configuration, as the records have them.
//!
//! An entry of a format or a kind that this version does not know has no effect and is never overwritten; its name is
//! kept so that operators can be shown it. What a value does to a team's settings is decided here as well.

use std::collections::BTreeMap;

use crate::ids::{Revision, to_milli_floor};
use crate::protocol::config::{ConfigKey, ConfigRecord, ENTRY_FORMAT_VERSION, TeamQuota};
use crate::settings::TeamSettings;

/// An entry that this version understands.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigEntry {
    /// Its content.
    pub record: ConfigRecord,
    /// Revision of its key.
    pub version: Revision,
}

/// All entries on record.
#[derive(Debug, Default)]
pub struct ConfigEntries {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
    /// Revisions of entries of a later format or of an unknown kind, by name.
    unrecognized: BTreeMap<String, Revision>,
}

impl ConfigEntries {
    /// Takes in an entry as it was written; of one that is not understood only the name is kept.
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

    /// The entry was deleted.
    pub fn remove(&mut self, name: &str) {
        self.unrecognized.remove(name);
        if let Ok(key) = ConfigKey::parse(name) {
            self.entries.remove(&key);
        }
    }

    /// An entry, if it exists and is understood.
    pub fn get(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// The revision of an entry that exists and is not understood.
    pub fn unrecognized_version(&self, name: &str) -> Option<Revision> {
        self.unrecognized.get(name).copied()
    }

    /// Names and revisions of the entries that are not understood.
    pub fn unrecognized_names(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.unrecognized.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// The settings in force for a team: those of the platform, lowered by the team's entry if there is one.
    pub fn effective_team(&self, platform: &TeamSettings) -> TeamSettings {
        match self.entries.get(&ConfigKey::Team(platform.name.clone())) {
            Some(entry) => apply_team_value(platform, entry.record.quota.into()),
            None => platform.clone(),
        }
    }
}

/// The platform's settings of a team with a quota applied, which can only lower them.
pub fn apply_team_value(platform: &TeamSettings, quota: TeamQuota) -> TeamSettings {
    let limit = quota.limit_cpus.map(to_milli_floor).map(|cpu| cpu.min(platform.effective_limit().cpu));
    let mut guaranteed = platform.guaranteed;
    if let Some(cpus) = quota.guaranteed_cpus {
        guaranteed.cpu = guaranteed.cpu.min(to_milli_floor(cpus));
    }
    guaranteed.cpu = guaranteed.cpu.min(limit.unwrap_or(u64::MAX));
    TeamSettings { guaranteed, lowered_cpu_limit: limit, ..platform.clone() }
}
