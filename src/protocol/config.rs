//! Configuration at run time: what operators set over HTTP, and the stored records that hold it.
//!
//! An entry can only lower what the platform's settings allow. Parses and serializes; whether a change is accepted or in
//! force is decided in `coordination`.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::HttpResponse;
use super::query_params::{invalid_parameter, parse_json_body, parse_query, parse_value};

/// The format of stored entries that this version reads and writes.
pub const ENTRY_FORMAT_VERSION: u32 = 1;
/// Longest name of a team in an entry, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Longest reason, author and id of a change, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// How the name of an entry about a team begins.
const TEAM_PREFIX: &str = "team/";

/// Why the name of an entry is not valid.
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
    /// Parses `team/NAME`.
    ///
    /// # Errors
    /// The name is of another kind, or the team's name is not valid.
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

/// What an entry sets; null leaves the value of the platform's settings.
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

/// A stored entry. Its version is the store's revision of its last change.
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
    /// The id of the last change, by which a repeated request is recognized.
    #[serde(rename = "change")]
    pub change_id: String,
}

/// The value as it is stored: unlike [`TeamQuota`] it accepts fields that later versions add.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredTeamQuota {
    #[serde(default)]
    pub limit_cpus: Option<f64>,
    #[serde(default)]
    pub guaranteed_cpus: Option<f64>,
}

impl From<StoredTeamQuota> for TeamQuota {
    fn from(stored: StoredTeamQuota) -> TeamQuota {
        TeamQuota { limit_cpus: stored.limit_cpus, guaranteed_cpus: stored.guaranteed_cpus }
    }
}

impl From<TeamQuota> for StoredTeamQuota {
    fn from(quota: TeamQuota) -> StoredTeamQuota {
        StoredTeamQuota { limit_cpus: quota.limit_cpus, guaranteed_cpus: quota.guaranteed_cpus }
    }
}

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChangeRequest {
    #[serde(rename = "value")]
    pub quota: TeamQuota,
    /// The version that the change replaces; any other is a conflict. 0: the entry must not exist. Null: no condition.
    #[serde(default)]
    #[serde(rename = "expected")]
    pub expected_version: Option<u64>,
    #[serde(rename = "by")]
    pub changed_by: String,
    #[serde(default)]
    #[serde(rename = "why")]
    pub reason: String,
    /// Idempotency key, chosen by the client for each change.
    #[serde(rename = "change")]
    pub change_id: String,
}

/// A request to the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRequest {
    List,
    /// One entry. With a version, the response waits until it or a later one is in force, or for a time limit.
    Get {
        key: ConfigKey,
        min_version: Option<u64>,
    },
    Set {
        key: ConfigKey,
        change: ConfigChangeRequest,
    },
}

/// What a change that is not in force waits for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingOn {
    /// The controller that may still act on an older value; null while the leader is unknown.
    #[serde(rename = "node")]
    pub controller: Option<String>,
    #[serde(rename = "reason")]
    pub cause: PropagationBlocker,
    pub since_s: f64,
}

/// Why a change is not known to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PropagationBlocker {
    /// The controller that responds has not read the change itself.
    #[serde(rename = "not_read")]
    RevisionNotRead,
    /// The leader has not acknowledged the change.
    LeaderBehind,
    /// The leader is of an earlier version or has the feature turned off: it acts on the platform's settings.
    #[serde(rename = "leader_ignores")]
    LeaderConfigDisabled,
    /// The entry is of a later format, or of a kind unknown to the controller that responds.
    #[serde(rename = "not_understood")]
    UnsupportedFormat,
}

impl PropagationBlocker {
    /// A description for people, which continues a sentence that begins with the controller.
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

/// One entry as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryView {
    #[serde(rename = "entry")]
    pub key: String,
    /// 0 if it was never set.
    pub version: u64,
    /// What the entry sets; null where the platform's settings apply.
    #[serde(rename = "value")]
    pub configured: TeamQuota,
    /// What the platform's settings allow.
    #[serde(rename = "platform")]
    pub ceiling: TeamQuota,
    /// What applies: the entry within the ceiling.
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
    /// CPUs of the team's tasks that run or may run.
    pub used_cpus: f64,
    /// The part of `used_cpus` above the effective limit.
    #[serde(rename = "above_cpus")]
    pub cpus_over_limit: f64,
}

/// All entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryList {
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    /// One for every team of the platform's settings, and the entries that this controller does not understand.
    pub entries: Vec<ConfigEntryView>,
}

/// Parses a request whose path starts with `/v1/config`; `path` is what follows `/v1/`. None if there is no such path.
///
/// # Errors
/// The response to send if the path exists but the request is not valid.
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
    Some(parse_entry_request(method, rest.strip_prefix('/')?, query, body))
}

fn parse_entry_request(
    method: &str,
    name: &str,
    query: &str,
    body: &[u8],
) -> Result<ConfigRequest, HttpResponse> {
    let key = ConfigKey::parse(name).map_err(|error| HttpResponse::error(404, &error.to_string()))?;
    match method {
        "GET" => parse_min_version(query).map(|min_version| ConfigRequest::Get { key, min_version }),
        "PUT" => parse_change(body).map(|change| ConfigRequest::Set { key, change }),
        _ => Err(HttpResponse::error(405, "wrong method")),
    }
}

fn parse_min_version(query: &str) -> Result<Option<u64>, HttpResponse> {
    let mut version = None;
    for (name, value) in parse_query(query)? {
        match name {
            "version" => version = Some(parse_value(name, "a version", value)?),
            _ => return Err(invalid_parameter("query", "version=N", name)),
        }
    }
    Ok(version)
}

fn parse_change(body: &[u8]) -> Result<ConfigChangeRequest, HttpResponse> {
    let change: ConfigChangeRequest = parse_json_body(body)?;
    let texts = [("by", &change.changed_by, 1), ("why", &change.reason, 0), ("change", &change.change_id, 1)];
    for (name, text, min_bytes) in texts {
        if !(min_bytes..=MAX_TEXT_BYTES).contains(&text.len()) {
            return Err(invalid_parameter(name, &format!("{min_bytes} to {MAX_TEXT_BYTES} bytes"), text));
        }
    }
    Ok(change)
}
