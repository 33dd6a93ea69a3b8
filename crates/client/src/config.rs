//! Changes of configuration: shown, changed by what was seen, waited for, and laid down in files.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use olivelatch::protocol::config::{ConfigChangeRequest, ConfigEntryList, ConfigEntryView, TeamQuota};
use olivelatch::source_location::with_line_number;
use rand::RngExt;
use serde::Deserialize;
use thiserror::Error;

use crate::client::{Client, ClientError};

/// Between two questions whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Error)]
pub enum ConfigFileError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Hcl { file: String, problem: String },
    #[error("{file}: team {team}: expected limit_cpus, guaranteed_cpus or both")]
    Empty { file: String, team: String },
}

/// A file with entries: what it does not name is left as it is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    #[serde(default)]
    pub team: BTreeMap<String, TeamQuota>,
}

impl ConfigFile {
    pub fn load(path: &Path) -> Result<ConfigFile, ConfigFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigFileError::Read { file: file.clone(), error })?;
        ConfigFile::parse(&file, &text)
    }

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

    /// What would change: the entry as it is, and the value that the file gives it.
    pub fn differences<'a>(&self, list: &'a ConfigEntryList) -> Vec<ConfigDifference<'a>> {
        let known = |team: &str| list.entries.iter().find(|entry| entry.key == format!("team/{team}"));
        let pairs = self.team.iter().map(|(team, value)| ConfigDifference {
            entry: format!("team/{team}"),
            current: known(team),
            wanted: *value,
        });
        pairs
            .filter(|difference| difference.current.is_none_or(|now| now.configured != difference.wanted))
            .collect()
    }
}

/// An entry that a file would change.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDifference<'a> {
    pub entry: String,
    /// None: the region has no such team.
    pub current: Option<&'a ConfigEntryView>,
    pub wanted: TeamQuota,
}

/// Who changes, and why.
#[derive(Debug, Clone)]
pub struct ChangeAuthor {
    pub name: String,
    pub reason: String,
}

impl Client {
    pub fn config_list(&mut self) -> Result<ConfigEntryList, ClientError> {
        self.get("/v1/config")
    }

    pub fn config_get(&mut self, entry: &str) -> Result<ConfigEntryView, ClientError> {
        self.get(&format!("/v1/config/{entry}"))
    }

    /// Changes an entry whose version was seen; another version by now is a conflict (status 409). The request is
    /// repeated until it is answered: it has a number of its own, so that it is carried out once.
    pub fn config_set(
        &mut self,
        entry: &str,
        value: TeamQuota,
        expected: Option<u64>,
        author: &ChangeAuthor,
    ) -> Result<ConfigEntryView, ClientError> {
        let change = format!("{:032x}", rand::rng().random::<u128>());
        let request = ConfigChangeRequest {
            quota: value,
            expected_version: expected,
            changed_by: author.name.clone(),
            reason: author.reason.clone(),
            change_id: change,
        };
        let body = serde_json::to_vec(&request)?;
        // Changes are spread over the controllers: each has a part of what the state service takes.
        self.prefer_next_controller();
        Ok(serde_json::from_slice(&self.request("PUT", &format!("/v1/config/{entry}"), &body)?)?)
    }

    /// Waits until a version is in force, for so long at most; the entry as it was last shown.
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
