//! The state service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{Call, Outcome, WireError};
use crate::ids::{LeaseId, Revision};

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Put { key: String, value: String, lease: Option<LeaseId> },
    Delete { key: String },
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq)]
pub struct Guard {
    pub key: String,
    pub stamp: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StateRequest {
    Page { prefix: String, after: Option<String>, limit: u32 },
    Changes { prefix: String, after: Revision },
    Txn { guards: Vec<Guard>, changes: Vec<Change> },
    Grant { life_ms: u64 },
    Renew { lease: LeaseId },
    Revoke { lease: LeaseId },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    pub key: String,
    /// None: the key was deleted.
    pub value: Option<String>,
    pub stamp: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    Page {
        pairs: Vec<Pair>,
        more: bool,
        revision: Revision,
    },
    Changes {
        pairs: Vec<Pair>,
        revision: Revision,
    },
    Applied {
        revision: Revision,
    },
    Conflict {
        failed: Vec<String>,
    },
    Granted {
        lease: LeaseId,
    },
    Renewed,
    NoSuchLease,
    /// The revision asked for is too old.
    Compacted,
    /// 429 or 503: certainly not carried out.
    Refused {
        status: u16,
    },
    /// It may have been carried out.
    Unknown,
}

#[derive(Serialize)]
struct GuardWire<'a> {
    key: &'a str,
    stamp: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ChangeWire<'a> {
    Put {
        write: &'a str,
        value: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Delete {
        drop: &'a str,
    },
}

#[derive(Serialize)]
struct TxnWire<'a> {
    guards: Vec<GuardWire<'a>>,
    #[serde(rename = "then")]
    changes: Vec<ChangeWire<'a>>,
}

#[derive(Deserialize)]
struct PairWire<'a> {
    key: String,
    #[serde(borrow)]
    value: &'a RawValue,
    stamp: u64,
}

#[derive(Deserialize)]
struct PageWire<'a> {
    #[serde(borrow)]
    pairs: Vec<PairWire<'a>>,
    #[serde(default)]
    has_next: bool,
    ledger_rev: u64,
}

#[derive(Deserialize)]
struct EventWire<'a> {
    write: Option<String>,
    drop: Option<String>,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    stamp: u64,
}

#[derive(Deserialize)]
struct ChangesWire<'a> {
    ledger_rev: u64,
    #[serde(borrow)]
    events: Vec<EventWire<'a>>,
}

#[derive(Deserialize)]
struct RevisionWire {
    ledger_rev: u64,
}

#[derive(Deserialize)]
struct ConflictWire {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Serialize)]
struct GrantWire {
    life_ms: u64,
}

#[derive(Deserialize)]
struct GrantedWire {
    permit: u64,
}

impl StateRequest {
    pub fn to_call(&self) -> Call {
        match self {
            StateRequest::Page { prefix, after, limit } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                Call::get(format!("/kv?starts={prefix}{after}&page={limit}"))
            }
            StateRequest::Changes { prefix, after } => {
                Call::get(format!("/changes?starts={prefix}&after={}&block_ms=0", after.0))
            }
            StateRequest::Txn { guards, changes } => txn_call(guards, changes),
            StateRequest::Grant { life_ms } => Call::post("/grants", &GrantWire { life_ms: *life_ms }),
            StateRequest::Renew { lease } => {
                Call { method: "POST", path: format!("/grants/{}/renew", lease.0), body: b"{}".to_vec() }
            }
            StateRequest::Revoke { lease } => {
                Call { method: "DELETE", path: format!("/grants/{}", lease.0), body: Vec::new() }
            }
        }
    }

    pub fn read_reply(&self, outcome: &Outcome) -> StateReply {
        let (status, body) = match outcome {
            Outcome::NotSent => return StateReply::Refused { status: 503 },
            // Asked again, the changes would be as many: the records are read anew, in pages.
            Outcome::TooLong if matches!(self, StateRequest::Changes { .. }) => return StateReply::Compacted,
            Outcome::Unknown | Outcome::TooLong => return StateReply::Unknown,
            Outcome::Response { status, body } => (*status, body),
        };
        match status {
            200 => self.read_ok(body).unwrap_or(StateReply::Unknown),
            409 => serde_json::from_slice::<ConflictWire>(body)
                .map_or(StateReply::Conflict { failed: Vec::new() }, |wire| StateReply::Conflict {
                    failed: wire.failed,
                }),
            410 => StateReply::Compacted,
            404 if matches!(self, StateRequest::Renew { .. } | StateRequest::Revoke { .. }) => {
                StateReply::NoSuchLease
            }
            400 if matches!(self, StateRequest::Txn { .. })
                && String::from_utf8_lossy(body).contains("no such lease") =>
            {
                StateReply::NoSuchLease
            }
            _ => StateReply::Refused { status },
        }
    }

    fn read_ok(&self, body: &[u8]) -> Result<StateReply, WireError> {
        Ok(match self {
            StateRequest::Page { .. } => {
                let wire: PageWire<'_> = serde_json::from_slice(body)?;
                let read = |pair: PairWire<'_>| Pair {
                    key: pair.key,
                    value: Some(pair.value.get().to_string()),
                    stamp: Revision(pair.stamp),
                };
                StateReply::Page {
                    pairs: wire.pairs.into_iter().map(read).collect(),
                    more: wire.has_next,
                    revision: Revision(wire.ledger_rev),
                }
            }
            StateRequest::Changes { .. } => {
                let wire: ChangesWire<'_> = serde_json::from_slice(body)?;
                StateReply::Changes {
                    pairs: wire.events.into_iter().filter_map(read_event).collect(),
                    revision: Revision(wire.ledger_rev),
                }
            }
            StateRequest::Txn { .. } => {
                let wire: RevisionWire = serde_json::from_slice(body)?;
                StateReply::Applied { revision: Revision(wire.ledger_rev) }
            }
            StateRequest::Grant { .. } => {
                let wire: GrantedWire = serde_json::from_slice(body)?;
                StateReply::Granted { lease: LeaseId(wire.permit) }
            }
            StateRequest::Renew { .. } | StateRequest::Revoke { .. } => StateReply::Renewed,
        })
    }
}

fn txn_call(guards: &[Guard], changes: &[Change]) -> Call {
    let values: Vec<Option<Box<RawValue>>> = changes
        .iter()
        .map(|change| match change {
            Change::Put { value, .. } => RawValue::from_string(value.clone()).ok(),
            Change::Delete { .. } => None,
        })
        .collect();
    let wire = TxnWire {
        guards: guards.iter().map(|guard| GuardWire { key: &guard.key, stamp: guard.stamp.0 }).collect(),
        changes: changes
            .iter()
            .zip(&values)
            .filter_map(|(change, value)| match (change, value) {
                (Change::Put { key, lease, .. }, Some(value)) => {
                    Some(ChangeWire::Put { write: key, value, permit: lease.map(|lease| lease.0) })
                }
                (Change::Delete { key }, _) => Some(ChangeWire::Delete { drop: key }),
                _ => None,
            })
            .collect(),
    };
    Call::post("/txn", &wire)
}

fn read_event(event: EventWire<'_>) -> Option<Pair> {
    let stamp = Revision(event.stamp);
    if let Some(key) = event.drop {
        return Some(Pair { key, value: None, stamp });
    }
    let value = event.value?.get().to_string();
    Some(Pair { key: event.write?, value: Some(value), stamp })
}
