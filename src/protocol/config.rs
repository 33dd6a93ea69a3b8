//! Runtime configuration: the entries that operators set over HTTP, and the records that store them.
//!
//! An entry can only lower what the platform's settings allow. This module only parses and serializes; `coordination`
//! decides whether a change is accepted and when it is in force.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::HttpResponse;
use super::query_params::{invalid_parameter, parse_json_body, parse_query, parse_value};

/// The format version of the stored entries that this software version reads and writes.
pub const ENTRY_FORMAT_VERSION: u32 = 1;
/// Longest team name in an entry, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Longest reason, author or id of a change, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Prefix of the names of team entries.
const TEAM_PREFIX: &str = "team/";

/// Reasons why the key of an entry is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigKeyError {
    #[error("expected an entry like team/NAME, not {0:?}")]
    UnknownKind(String),
    #[error(
        "expected a team name of 1 to {MAX_NAME_BYTES} bytes without spaces, control characters and /?&%#, not {0:?}"
    )]
    InvalidTeamName(String),
}

/// The key of an entry: what the entry configures.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConfigKey {
    /// The quota of the team with this name: its limit and its guarantee.
    Team(String),
}

impl ConfigKey {
    /// Parses `team/NAME`.
    ///
    /// # Errors
    /// The name has another prefix, or the team's name is not valid.
    pub fn parse(text: &str) -> Result<ConfigKey, ConfigKeyError> {
        let name = text.strip_prefix(TEAM_PREFIX).ok_or_else(|| ConfigKeyError::UnknownKind(text.into()))?;
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && !name.contains(|c: char| c.is_whitespace() || c.is_control() || "/?&%#".contains(c));
        if is_valid {
            Ok(ConfigKey::Team(name.into()))
        } else {
            Err(ConfigKeyError::InvalidTeamName(name.into()))
        }
    }

    /// Returns the name of the team.
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

/// The values that an entry sets; null keeps the value of the platform's settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// Most CPUs that the team may use.
    #[serde(default)]
    pub limit_cpus: Option<f64>,
    /// CPUs that the team is guaranteed.
    #[serde(default)]
    pub guaranteed_cpus: Option<f64>,
}

/// A stored entry. Its version is the revision of the key-value store at its last change.
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
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub changed_at_ms: u64,
    /// Idempotency key of the last change, by which a repeated request is recognized.
    #[serde(rename = "change")]
    pub change_id: String,
}

/// The stored form of [`TeamQuota`], which accepts fields that later versions add.
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
    /// The version that the change replaces; any other current version is a conflict. 0 means that the entry must not
    /// exist; null sets no condition.
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

/// A request to read or change the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRequest {
    List,
    /// Reads one entry. With `min_version`, the response is delayed until that version or a later one is in force, or
    /// until a time-out.
    Get {
        key: ConfigKey,
        min_version: Option<u64>,
    },
    Set {
        key: ConfigKey,
        change: ConfigChangeRequest,
    },
}

/// What a change that is not in force yet is waiting for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingOn {
    /// The controller that may still act on an older value; null if it is not known.
    #[serde(rename = "node")]
    pub controller: Option<String>,
    #[serde(rename = "reason")]
    pub cause: PropagationBlocker,
    /// Seconds since the responding controller read the change or, if that time is not known, since it last read all
    /// records; 0 if neither time is known.
    pub since_s: f64,
}

/// Reasons why a change is not known to be in force yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PropagationBlocker {
    /// The responding controller has not read the change itself.
    #[serde(rename = "not_read")]
    RevisionNotRead,
    /// The leader has not acknowledged the change.
    LeaderBehind,
    /// The leader runs an earlier software version or has the feature turned off: it acts on the platform's settings.
    #[serde(rename = "leader_ignores")]
    LeaderConfigDisabled,
    /// The responding controller does not support the format or the kind of the entry.
    #[serde(rename = "not_understood")]
    UnsupportedFormat,
}

impl PropagationBlocker {
    /// Returns a description that completes a sentence whose subject is the controller.
    pub fn description(self) -> &'static str {
        match self {
            PropagationBlocker::RevisionNotRead => "has not read the change yet",
            PropagationBlocker::LeaderBehind => "is the leader and has not acknowledged the change",
            PropagationBlocker::LeaderConfigDisabled => {
                "is the leader and ignores configuration entries (earlier software version, or feature turned off)"
            }
            PropagationBlocker::UnsupportedFormat => {
                "does not support the format of the entry (written by a later software version)"
            }
        }
    }
}

/// One entry as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryView {
    #[serde(rename = "entry")]
    pub key: String,
    /// Revision of the key-value store at its last change; 0 if it was never set.
    pub version: u64,
    /// The values that the entry sets; null where the platform's settings apply.
    #[serde(rename = "value")]
    pub configured: TeamQuota,
    /// The values of the platform's settings, which the entry can only lower.
    #[serde(rename = "platform")]
    pub ceiling: TeamQuota,
    /// The values that apply: those of the entry, within the ceiling.
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
    /// CPUs of the team's tasks that are running or may be running.
    pub used_cpus: f64,
    /// The part of `used_cpus` above the effective limit.
    #[serde(rename = "above_cpus")]
    pub cpus_over_limit: f64,
}

/// All entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntryList {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    /// One entry for each team of the platform's settings, then the entries that this controller does not support.
    pub entries: Vec<ConfigEntryView>,
}

/// Parses a request whose path starts with `/v1/config`; `path` is the part after `/v1/`. None if the path is unknown.
///
/// # Errors
/// Returns the response to send if the path exists but the request is not valid.
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
            _ => Err(HttpResponse::error(405, "method not allowed: expected GET")),
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
        _ => Err(HttpResponse::error(405, "method not allowed: expected GET or PUT")),
    }
}

fn parse_min_version(query: &str) -> Result<Option<u64>, HttpResponse> {
    let mut version = None;
    for (name, value) in parse_query(query)? {
        match name {
            "version" => version = Some(parse_value(name, "a version number", value)?),
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
