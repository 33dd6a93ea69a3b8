//! Entries of the configuration as the records have them. Entries that are not understood are kept beside the others.

use std::collections::BTreeMap;

use crate::ids::{Revision, to_milli_floor};
use crate::protocol::config::{ConfigKey, ConfigRecord, ENTRY_FORMAT_VERSION, TeamQuota};
use crate::settings::TeamSettings;

/// An entry that is understood.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigEntry {
    pub record: ConfigRecord,
    pub version: Revision,
}

/// All entries on record.
#[derive(Debug, Default)]
pub struct ConfigEntries {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
    /// Entries of a later format, or of a sort that is not known here: name and version.
    unrecognized: BTreeMap<String, Revision>,
}

impl ConfigEntries {
    /// Takes an entry in as it was written. Later formats are kept by name only.
    pub fn put(&mut self, name: &str, value: &str, version: Revision) {
        let record = serde_json::from_str::<ConfigRecord>(value)
            .ok()
            .filter(|record| record.format_version == ENTRY_FORMAT_VERSION);
        match (ConfigKey::parse(name).ok(), record) {
            (Some(entry), Some(record)) => {
                self.unrecognized.remove(name);
                self.entries.insert(entry, ConfigEntry { record, version });
            }
            (known, _) => {
                if let Some(known) = known {
                    self.entries.remove(&known);
                }
                log::error!(
                    "configuration: {name} is of a later version and not understood; it is left as it is"
                );
                self.unrecognized.insert(name.into(), version);
            }
        }
    }

    pub fn remove(&mut self, name: &str) {
        self.unrecognized.remove(name);
        if let Ok(entry) = ConfigKey::parse(name) {
            self.entries.remove(&entry);
        }
    }

    pub fn get(&self, entry: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(entry)
    }

    /// The version of an entry that is there and not understood.
    pub fn unrecognized_version(&self, name: &str) -> Option<Revision> {
        self.unrecognized.get(name).copied()
    }

    /// Names of entries that are not understood.
    pub fn unrecognized_names(&self) -> impl Iterator<Item = (&str, Revision)> {
        self.unrecognized.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// A team as it holds: the platform's settings, lowered by what is set. They stay the ceiling.
    pub fn effective_team(&self, platform: &TeamSettings) -> TeamSettings {
        match self.entries.get(&ConfigKey::Team(platform.name.clone())) {
            Some(entry) => apply_team_value(platform, entry.record.quota.into()),
            None => platform.clone(),
        }
    }
}

/// The platform's settings of a team with a value laid over them; never more than they allow.
pub fn apply_team_value(platform: &TeamSettings, value: TeamQuota) -> TeamSettings {
    let limit = value.limit_cpus.map(to_milli_floor).map(|cpu| cpu.min(platform.effective_limit().cpu));
    let mut guaranteed = platform.guaranteed;
    if let Some(cpus) = value.guaranteed_cpus {
        guaranteed.cpu = guaranteed.cpu.min(to_milli_floor(cpus));
    }
    guaranteed.cpu = guaranteed.cpu.min(limit.unwrap_or(u64::MAX));
    TeamSettings { guaranteed, lowered_cpu_limit: limit, ..platform.clone() }
}
