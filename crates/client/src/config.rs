//! Entries of the configuration: read, changed on condition of the version that was read, waited for, and kept in files.

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

/// Between two requests whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What is wrong with a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// It cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Its path.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// It is not HCL, or has unknown names in it.
    #[error("{file}: {problem}")]
    Hcl {
        /// Its path.
        file: String,
        /// With the line, where it is known.
        problem: String,
    },
    /// A team has no values.
    #[error("{file}: team {team}: expected limit_cpus, guaranteed_cpus or both")]
    Empty {
        /// Its path.
        file: String,
        /// The team.
        team: String,
    },
}

/// A file with entries; entries that it does not name are left as they are.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// The values of teams, by name.
    #[serde(default)]
    pub team: BTreeMap<String, TeamQuota>,
}

impl ConfigFile {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is wrong.
    pub fn load(path: &Path) -> Result<ConfigFile, ConfigFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigFileError::Read { file: file.clone(), error })?;
        ConfigFile::parse(&file, &text)
    }

    /// Reads the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// It is not HCL, or a team has no values.
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

    /// The entries that the file would change, with their present and their new values.
    pub fn differences<'a>(&self, list: &'a ConfigEntryList) -> Vec<ConfigDifference<'a>> {
        let current = |team: &str| list.entries.iter().find(|entry| entry.key == format!("team/{team}"));
        let entries = self.team.iter().map(|(team, value)| ConfigDifference {
            entry: format!("team/{team}"),
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
    /// The entry's key, like `team/NAME`.
    pub entry: String,
    /// `None`: the region has no such team.
    pub current: Option<&'a ConfigEntryView>,
    /// The value in the file.
    pub wanted: TeamQuota,
}

/// Who changes an entry, and why; both are kept with it.
#[derive(Debug, Clone)]
pub struct ChangeAuthor {
    /// The operator's name.
    pub name: String,
    /// May be empty.
    pub reason: String,
}

impl Client {
    /// All entries.
    ///
    /// # Errors
    /// The configuration is off, or no controller answers in time.
    pub fn config_list(&mut self) -> Result<ConfigEntryList, ClientError> {
        self.get("/v1/config")
    }

    /// One entry by its key.
    ///
    /// # Errors
    /// There is no such entry, or no controller answers in time.
    pub fn config_get(&mut self, entry: &str) -> Result<ConfigEntryView, ClientError> {
        self.get(&format!("/v1/config/{entry}"))
    }

    /// Changes an entry if it still has the expected version. The request carries an id of its own, so that it is carried
    /// out once however often it is repeated.
    ///
    /// # Errors
    /// The entry has another version (status 409), the value is refused, or no controller answers in time.
    pub fn config_set(
        &mut self,
        entry: &str,
        value: TeamQuota,
        expected: Option<u64>,
        author: &ChangeAuthor,
    ) -> Result<ConfigEntryView, ClientError> {
        let change_id = format!("{:032x}", rand::rng().random::<u128>());
        let request = ConfigChangeRequest {
            quota: value,
            expected_version: expected,
            changed_by: author.name.clone(),
            reason: author.reason.clone(),
            change_id,
        };
        let body = serde_json::to_vec(&request)?;
        // Changes are spread over the controllers, as each has a share of the kv store's rate limit.
        self.prefer_next_controller();
        Ok(serde_json::from_slice(&self.request("PUT", &format!("/v1/config/{entry}"), &body)?)?)
    }

    /// Polls an entry until a version is in force or `within` has passed, and returns it as it was last.
    ///
    /// # Errors
    /// There is no such entry, or no controller answers in time.
    pub fn config_wait(
        &mut self,
        entry: &str,
        version: u64,
        within: Duration,
    ) -> Result<ConfigEntryView, ClientError> {
        let start = Instant::now();
        loop {
            let view: ConfigEntryView = self.get(&format!("/v1/config/{entry}?version={version}"))?;
            if view.is_effective || start.elapsed() >= within {
                return Ok(view);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
