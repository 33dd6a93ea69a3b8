//! Changes of configuration: what operators ask over HTTP, and the records that hold it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::HttpResponse;
use super::operators::invalid_parameter;

/// The format of entries that this program reads and writes.
pub const ENTRY_FORMAT_VERSION: u32 = 1;
/// Longest name of a team in an entry, longest reason, author and number of a change, in bytes.
const MAX_NAME_BYTES: usize = 100;
const MAX_TEXT_BYTES: usize = 200;
/// Sorts of entries.
const TEAM_PREFIX: &str = "team/";

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EntryError {
    #[error("expected an entry like team/NAME, not {0:?}")]
    UnknownKind(String),
    #[error("expected a team's name of 1 to {MAX_NAME_BYTES} bytes without spaces and slashes, not {0:?}")]
    InvalidTeamName(String),
}

/// What an entry is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConfigKey {
    /// A team's limit and guarantee.
    Team(String),
}

impl ConfigKey {
    /// Reads `team/NAME`.
    pub fn parse(text: &str) -> Result<ConfigKey, EntryError> {
        let name = text.strip_prefix(TEAM_PREFIX).ok_or_else(|| EntryError::UnknownKind(text.into()))?;
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && !name.contains(|c: char| c.is_whitespace() || c.is_control() || "/?&%#".contains(c));
        if is_valid {
            Ok(ConfigKey::Team(name.into()))
        } else {
            Err(EntryError::InvalidTeamName(name.into()))
        }
    }

    /// The team it is about.
    pub fn team(&self) -> &str {
        let ConfigKey::Team(name) = self;
        name
    }
}

impl std::fmt::Display for ConfigKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{TEAM_PREFIX}{}", self.team())
    }
}

/// What an entry sets; what is null is as the platform's settings have it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// CPUs that the team may use at most.
    #[serde(default)]
    pub limit_cpus: Option<f64>,
    /// CPUs that the team is guaranteed.
    #[serde(default)]
    pub guaranteed_cpus: Option<f64>,
}

/// A durable entry. Its version is the revision of its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    #[serde(rename = "format")]
    pub format_version: u32,
    #[serde(flatten)]
    pub quota: StoredTeamQuota,
    #[serde(rename = "by")]
    pub changed_by: String,
    #[serde(rename = "why")]
    pub reason: String,
    /// The time of day of the change, in milliseconds.
    #[serde(rename = "at")]
    pub changed_at_ms: u64,
    /// The change's own number: a repeated request is known by it.
    #[serde(rename = "change")]
    pub change_id: String,
}

/// The value as it is kept: later versions may add to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredTeamQuota {
    #[serde(default)]
    pub limit_cpus: Option<f64>,
    #[serde(default)]
    pub guaranteed_cpus: Option<f64>,
}

impl From<StoredTeamQuota> for TeamQuota {
    fn from(kept: StoredTeamQuota) -> TeamQuota {
        TeamQuota { limit_cpus: kept.limit_cpus, guaranteed_cpus: kept.guaranteed_cpus }
    }
}

impl From<TeamQuota> for StoredTeamQuota {
    fn from(value: TeamQuota) -> StoredTeamQuota {
        StoredTeamQuota { limit_cpus: value.limit_cpus, guaranteed_cpus: value.guaranteed_cpus }
    }
}

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChangeRequest {
    #[serde(rename = "value")]
    pub quota: TeamQuota,
    /// The version that the operator has seen: another one is a conflict. 0: the entry is not there. Null: whatever is there.
    #[serde(default)]
    #[serde(rename = "expected")]
    pub expected_version: Option<u64>,
    #[serde(rename = "by")]
    pub changed_by: String,
    #[serde(default)]
    #[serde(rename = "why")]
    pub reason: String,
    /// Chosen by the client, a new one for each change; the same again is the same change.
    #[serde(rename = "change")]
    pub change_id: String,
}

/// What is asked of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRequest {
    List,
    /// One entry; with a version, once that or a later one is in force, or the time is over.
    Get {
        key: ConfigKey,
        min_version: Option<u64>,
    },
    Set {
        key: ConfigKey,
        change: ConfigChangeRequest,
    },
}

/// Whom a change waits for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingOn {
    /// The controller that may act by an older value; null: it is not known yet who leads.
    #[serde(rename = "node")]
    pub controller: Option<String>,
    #[serde(rename = "reason")]
    pub cause: PropagationBlocker,
    pub since_s: f64,
}

/// Why a change is not shown to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PropagationBlocker {
    /// The asked controller has not read so far itself.
    #[serde(rename = "not_read")]
    RevisionNotRead,
    /// The leader has not said that it has read the change.
    LeaderBehind,
    /// The leader is of an earlier version, or its configuration is off: it acts by the platform's settings.
    #[serde(rename = "leader_ignores")]
    LeaderConfigDisabled,
    /// The entry is of a later format, or of a sort that the asked controller does not know.
    #[serde(rename = "not_understood")]
    UnsupportedFormat,
}

impl PropagationBlocker {
    /// For people.
    pub fn description(self) -> &'static str {
        match self {
            PropagationBlocker::RevisionNotRead => "has not read the change yet",
            PropagationBlocker::LeaderBehind => "leads and has not said that it has read the change",
            PropagationBlocker::LeaderConfigDisabled => {
                "leads and does not read configuration (an earlier version, or turned off)"
            }
            PropagationBlocker::UnsupportedFormat => {
                "does not understand the entry (written by a later version)"
            }
        }
    }
}

/// One entry as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryView {
    #[serde(rename = "entry")]
    pub key: String,
    /// 0: nobody has set it.
    pub version: u64,
    /// What is set; null where the platform's settings hold.
    #[serde(rename = "value")]
    pub configured: TeamQuota,
    /// What the platform's settings allow: the ceiling.
    #[serde(rename = "platform")]
    pub ceiling: TeamQuota,
    /// What holds, both taken together.
    #[serde(rename = "holds")]
    pub effective: TeamQuota,
    #[serde(rename = "by")]
    pub changed_by: Option<String>,
    #[serde(rename = "why")]
    pub reason: Option<String>,
    #[serde(rename = "at_ms")]
    pub changed_at_ms: Option<u64>,
    #[serde(rename = "in_force")]
    pub is_effective: bool,
    #[serde(rename = "waits_for")]
    pub pending_on: Option<PendingOn>,
    /// CPUs of tasks that run or may run, and what of it is above the limit that holds.
    pub used_cpus: f64,
    #[serde(rename = "above_cpus")]
    pub cpus_over_limit: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryList {
    #[serde(rename = "node")]
    pub controller: String,
    pub revision: u64,
    /// Every team of the platform's settings, and entries that this controller does not understand.
    pub entries: Vec<ConfigEntryView>,
}

/// Reads a request below `/v1/config`. None: no such path. `Err` is the final answer.
pub fn parse_config_request(
    method: &str,
    path: &str,
    query: &str,
    body: &[u8],
) -> Option<Result<ConfigRequest, HttpResponse>> {
    let rest = path.strip_prefix("config")?;
    if rest.is_empty() {
        return Some(match method {
            "GET" => Ok(ConfigRequest::List),
            _ => Err(HttpResponse::error(405, "wrong method")),
        });
    }
    let name = rest.strip_prefix('/')?;
    let entry = match ConfigKey::parse(name) {
        Ok(entry) => entry,
        Err(problem) => return Some(Err(HttpResponse::error(404, &problem.to_string()))),
    };
    Some(match method {
        "GET" => parse_version(query).map(|version| ConfigRequest::Get { key: entry, min_version: version }),
        "PUT" => parse_change(body).map(|change| ConfigRequest::Set { key: entry, change }),
        _ => Err(HttpResponse::error(405, "wrong method")),
    })
}

fn parse_version(query: &str) -> Result<Option<u64>, HttpResponse> {
    let mut version = None;
    for (name, value) in super::operators::parse_query(query)? {
        match name {
            "version" => {
                version = Some(value.parse().map_err(|_| invalid_parameter(name, "a version", value))?)
            }
            _ => return Err(invalid_parameter("query", "version=N", name)),
        }
    }
    Ok(version)
}

fn parse_change(body: &[u8]) -> Result<ConfigChangeRequest, HttpResponse> {
    let change: ConfigChangeRequest =
        serde_json::from_slice(body).map_err(|error| HttpResponse::error(400, &error.to_string()))?;
    let texts = [("by", &change.changed_by, 1), ("why", &change.reason, 0), ("change", &change.change_id, 1)];
    for (name, text, min_bytes) in texts {
        if !(min_bytes..=MAX_TEXT_BYTES).contains(&text.len()) {
            return Err(invalid_parameter(name, &format!("{min_bytes} to {MAX_TEXT_BYTES} bytes"), text));
        }
    }
    Ok(change)
}
