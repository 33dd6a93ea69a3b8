//! Entries of the configuration: requests that read, change (by compare-and-swap on the version) and await
//! them, and files that list them.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use olivelatch::protocol::config::{ConfigChangeRequest, ConfigEntryList, ConfigEntryView, TeamQuota};
use olivelatch::source_location::with_line_number;
use rand::RngExt;
use serde::Deserialize;
use thiserror::Error;

use crate::client::Client;
use crate::exchange::ClientError;

/// Pause between two polls in [`Client::config_wait`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a configuration file was not loaded.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// The path of the file.
        file: String,
        /// The underlying I/O error.
        error: std::io::Error,
    },
    /// The file is not valid HCL, or contains unknown fields.
    #[error("{file}: {problem}")]
    Hcl {
        /// The path of the file.
        file: String,
        /// The parser's message, with the line number if it is known.
        problem: String,
    },
    /// The block of a team sets no value.
    #[error("{file}: team {team}: expected limit_cpus, guaranteed_cpus or both")]
    Empty {
        /// The path of the file.
        file: String,
        /// The name of the team.
        team: String,
    },
}

/// A file with entries. Entries that it does not name are left unchanged when it is applied.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// The quotas to set, by team name.
    #[serde(default)]
    pub team: BTreeMap<String, TeamQuota>,
}

impl ConfigFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid.
    pub fn load(path: &Path) -> Result<ConfigFile, ConfigFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigFileError::Read { file: file.clone(), error })?;
        ConfigFile::parse(&file, &text)
    }

    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// The text is not valid HCL, contains unknown fields, or sets no value for a team.
    pub fn parse(file: &str, text: &str) -> Result<ConfigFile, ConfigFileError> {
        let entries: ConfigFile = hcl::from_str(text).map_err(|error| ConfigFileError::Hcl {
            file: file.into(),
            problem: with_line_number(text, &error.to_string()),
        })?;
        if let Some((team, _)) = entries.team.iter().find(|(_, value)| **value == TeamQuota::default()) {
            return Err(ConfigFileError::Empty { file: file.into(), team: team.clone() });
        }
        Ok(entries)
    }

    /// Returns the entries that the file would change, with their current and their new values; `list` holds the
    /// stored entries.
    pub fn differences<'a>(&self, list: &'a ConfigEntryList) -> Vec<ConfigDifference<'a>> {
        let current = |team: &str| list.entries.iter().find(|entry| entry.key == format!("team/{team}"));
        let entries = self.team.iter().map(|(team, value)| ConfigDifference {
            key: format!("team/{team}"),
            current: current(team),
            wanted: *value,
        });
        entries
            .filter(|difference| {
                difference.current.is_none_or(|current| current.configured != difference.wanted)
            })
            .collect()
    }
}

/// An entry that a file would change.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDifference<'a> {
    /// The key of the entry, such as `team/NAME`.
    pub key: String,
    /// The stored entry; `None` if the cluster has no such team.
    pub current: Option<&'a ConfigEntryView>,
    /// The quota in the file.
    pub wanted: TeamQuota,
}

/// Who changes an entry, and why. Both are stored with the entry.
#[derive(Debug, Clone)]
pub struct ChangeAuthor {
    /// The operator's name.
    pub name: String,
    /// The reason for the change; may be empty.
    pub reason: String,
}

impl Client {
    /// Returns all entries.
    ///
    /// # Errors
    /// The controllers' tunables turn the configuration off, or no controller responds in time.
    pub fn config_list(&mut self) -> Result<ConfigEntryList, ClientError> {
        self.get("/v1/config")
    }

    /// Returns one entry by its key.
    ///
    /// # Errors
    /// There is no such entry, or no controller responds in time.
    pub fn config_get(&mut self, key: &str) -> Result<ConfigEntryView, ClientError> {
        self.get(&format!("/v1/config/{key}"))
    }

    /// Sets the quota of the entry with this key. If `expected_version` is given, the change is rejected unless the
    /// entry has that version. Each call generates a change id, so that its retries are idempotent.
    ///
    /// # Errors
    /// The entry has another version (status 409), the value is rejected, or no controller responds in time.
    pub fn config_set(
        &mut self,
        key: &str,
        quota: TeamQuota,
        expected_version: Option<u64>,
        author: &ChangeAuthor,
    ) -> Result<ConfigEntryView, ClientError> {
        let change_id = format!("{:032x}", rand::rng().random::<u128>());
        let request = ConfigChangeRequest {
            quota,
            expected_version,
            changed_by: author.name.clone(),
            reason: author.reason.clone(),
            change_id,
        };
        let body = serde_json::to_vec(&request)?;
        // Spreads changes over the controllers, as each has only a share of the key-value store's rate limit.
        self.prefer_next_controller();
        Ok(serde_json::from_slice(&self.request("PUT", &format!("/v1/config/{key}"), &body)?)?)
    }

    /// Polls the entry with this key until the given version is in force or the timeout has passed, and returns the
    /// entry as last read.
    ///
    /// # Errors
    /// There is no such entry, or no controller responds in time.
    pub fn config_wait(
        &mut self,
        key: &str,
        version: u64,
        timeout: Duration,
    ) -> Result<ConfigEntryView, ClientError> {
        let start = Instant::now();
        loop {
            let view: ConfigEntryView = self.get(&format!("/v1/config/{key}?version={version}"))?;
            if view.is_effective || start.elapsed() >= timeout {
                return Ok(view);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
