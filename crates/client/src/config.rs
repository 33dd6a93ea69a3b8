//! Changes of configuration: shown, changed by what was seen, waited for, and laid down in files.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use olivelatch::places::locate;
use olivelatch::protocol::config::{ChangeRequest, EntryList, EntryView, TeamValue};
use rand::RngExt;
use serde::Deserialize;
use thiserror::Error;

use crate::client::{Client, ClientError};

/// Between two questions whether a change is in force.
const ASK_AGAIN: Duration = Duration::from_millis(50);

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
    pub team: BTreeMap<String, TeamValue>,
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
            problem: locate(text, &error.to_string()),
        })?;
        if let Some((team, _)) = entries.team.iter().find(|(_, value)| **value == TeamValue::default()) {
            return Err(ConfigFileError::Empty { file: file.into(), team: team.clone() });
        }
        Ok(entries)
    }

    /// What would change: the entry as it is, and the value that the file gives it.
    pub fn differences<'a>(&self, list: &'a EntryList) -> Vec<Difference<'a>> {
        let known = |team: &str| list.entries.iter().find(|entry| entry.entry == format!("team/{team}"));
        let pairs = self.team.iter().map(|(team, value)| Difference {
            entry: format!("team/{team}"),
            now: known(team),
            wanted: *value,
        });
        pairs.filter(|difference| difference.now.is_none_or(|now| now.value != difference.wanted)).collect()
    }
}

/// An entry that a file would change.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference<'a> {
    pub entry: String,
    /// None: the region has no such team.
    pub now: Option<&'a EntryView>,
    pub wanted: TeamValue,
}

/// Who changes, and why.
#[derive(Debug, Clone)]
pub struct Author {
    pub by: String,
    pub why: String,
}

impl Client {
    pub fn config_list(&mut self) -> Result<EntryList, ClientError> {
        self.get("/v1/config")
    }

    pub fn config_get(&mut self, entry: &str) -> Result<EntryView, ClientError> {
        self.get(&format!("/v1/config/{entry}"))
    }

    /// Changes an entry whose version was seen; another version by now is a conflict (status 409). The request is
    /// repeated until it is answered: it has a number of its own, so that it is carried out once.
    pub fn config_set(
        &mut self,
        entry: &str,
        value: TeamValue,
        expected: Option<u64>,
        author: &Author,
    ) -> Result<EntryView, ClientError> {
        let change = format!("{:032x}", rand::rng().random::<u128>());
        let request =
            ChangeRequest { value, expected, by: author.by.clone(), why: author.why.clone(), change };
        let body = serde_json::to_vec(&request)?;
        // Changes are spread over the controllers: each has a part of what the state service takes.
        self.ask_another_first();
        Ok(serde_json::from_slice(&self.ask("PUT", &format!("/v1/config/{entry}"), &body)?)?)
    }

    /// Waits until a version is in force, for so long at most; the entry as it was last shown.
    pub fn config_wait(
        &mut self,
        entry: &str,
        version: u64,
        within: Duration,
    ) -> Result<EntryView, ClientError> {
        let start = Instant::now();
        loop {
            let view: EntryView = self.get(&format!("/v1/config/{entry}?version={version}"))?;
            if view.in_force || start.elapsed() >= within {
                return Ok(view);
            }
            std::thread::sleep(ASK_AGAIN);
        }
    }
}
