//! The state service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{HttpOutcome, HttpRequest, WireError};
use crate::ids::{LeaseId, Revision};

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum KvMutation {
    Put { key: String, value: String, lease: Option<LeaseId> },
    Delete { key: String },
}

impl KvMutation {
    pub fn key(&self) -> &str {
        match self {
            KvMutation::Put { key, .. } | KvMutation::Delete { key } => key,
        }
    }
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq)]
pub struct Precondition {
    pub key: String,
    pub revision: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    ListPage { prefix: String, after: Option<String>, limit: u32 },
    PollChanges { prefix: String, after: Revision },
    Transaction { preconditions: Vec<Precondition>, mutations: Vec<KvMutation> },
    GrantLease { ttl_ms: u64 },
    RenewLease { lease: LeaseId },
    RevokeLease { lease: LeaseId },
}

#[derive(Debug, Clone, PartialEq)]
pub struct KvEntry {
    pub key: String,
    /// None: the key was deleted.
    pub value: Option<String>,
    pub revision: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    ListPage {
        entries: Vec<KvEntry>,
        has_more: bool,
        revision: Revision,
    },
    ChangedEntries {
        entries: Vec<KvEntry>,
        revision: Revision,
    },
    Committed {
        revision: Revision,
    },
    PreconditionFailed {
        failed_keys: Vec<String>,
    },
    LeaseGranted {
        lease: LeaseId,
    },
    LeaseUpdated,
    LeaseNotFound,
    /// The revision asked for is too old.
    Compacted,
    /// 429 or 503: certainly not carried out.
    Rejected {
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

impl KvRequest {
    pub fn to_http_request(&self) -> HttpRequest {
        match self {
            KvRequest::ListPage { prefix, after, limit } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                HttpRequest::get(format!("/kv?starts={prefix}{after}&page={limit}"))
            }
            KvRequest::PollChanges { prefix, after } => {
                HttpRequest::get(format!("/changes?starts={prefix}&after={}&block_ms=0", after.0))
            }
            KvRequest::Transaction { preconditions: guards, mutations: changes } => {
                transaction_request(guards, changes)
            }
            KvRequest::GrantLease { ttl_ms: life_ms } => {
                HttpRequest::post("/grants", &GrantWire { life_ms: *life_ms })
            }
            KvRequest::RenewLease { lease } => HttpRequest {
                method: "POST",
                path: format!("/grants/{}/renew", lease.0),
                body: b"{}".to_vec(),
            },
            KvRequest::RevokeLease { lease } => {
                HttpRequest { method: "DELETE", path: format!("/grants/{}", lease.0), body: Vec::new() }
            }
        }
    }

    pub fn parse_reply(&self, outcome: &HttpOutcome) -> KvReply {
        let (status, body) = match outcome {
            HttpOutcome::NotSent => return KvReply::Rejected { status: 503 },
            // Asked again, the changes would be as many: the records are read anew, in pages.
            HttpOutcome::TooLarge if matches!(self, KvRequest::PollChanges { .. }) => {
                return KvReply::Compacted;
            }
            HttpOutcome::Unknown | HttpOutcome::TooLarge => return KvReply::Unknown,
            HttpOutcome::Response { status, body } => (*status, body),
        };
        match status {
            200 => self.parse_success(body).unwrap_or(KvReply::Unknown),
            409 => serde_json::from_slice::<ConflictWire>(body)
                .map_or(KvReply::PreconditionFailed { failed_keys: Vec::new() }, |wire| {
                    KvReply::PreconditionFailed { failed_keys: wire.failed }
                }),
            410 => KvReply::Compacted,
            404 if matches!(self, KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. }) => {
                KvReply::LeaseNotFound
            }
            400 if matches!(self, KvRequest::Transaction { .. })
                && String::from_utf8_lossy(body).contains("no such lease") =>
            {
                KvReply::LeaseNotFound
            }
            _ => KvReply::Rejected { status },
        }
    }

    fn parse_success(&self, body: &[u8]) -> Result<KvReply, WireError> {
        Ok(match self {
            KvRequest::ListPage { .. } => {
                let wire: PageWire<'_> = serde_json::from_slice(body)?;
                let read = |pair: PairWire<'_>| KvEntry {
                    key: pair.key,
                    value: Some(pair.value.get().to_string()),
                    revision: Revision(pair.stamp),
                };
                KvReply::ListPage {
                    entries: wire.pairs.into_iter().map(read).collect(),
                    has_more: wire.has_next,
                    revision: Revision(wire.ledger_rev),
                }
            }
            KvRequest::PollChanges { .. } => {
                let wire: ChangesWire<'_> = serde_json::from_slice(body)?;
                KvReply::ChangedEntries {
                    entries: wire.events.into_iter().filter_map(parse_change).collect(),
                    revision: Revision(wire.ledger_rev),
                }
            }
            KvRequest::Transaction { .. } => {
                let wire: RevisionWire = serde_json::from_slice(body)?;
                KvReply::Committed { revision: Revision(wire.ledger_rev) }
            }
            KvRequest::GrantLease { .. } => {
                let wire: GrantedWire = serde_json::from_slice(body)?;
                KvReply::LeaseGranted { lease: LeaseId(wire.permit) }
            }
            KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. } => KvReply::LeaseUpdated,
        })
    }
}

fn transaction_request(preconditions: &[Precondition], mutations: &[KvMutation]) -> HttpRequest {
    let values: Vec<Option<Box<RawValue>>> = mutations
        .iter()
        .map(|change| match change {
            KvMutation::Put { value, .. } => RawValue::from_string(value.clone()).ok(),
            KvMutation::Delete { .. } => None,
        })
        .collect();
    let wire = TxnWire {
        guards: preconditions
            .iter()
            .map(|guard| GuardWire { key: &guard.key, stamp: guard.revision.0 })
            .collect(),
        changes: mutations
            .iter()
            .zip(&values)
            .filter_map(|(change, value)| match (change, value) {
                (KvMutation::Put { key, lease, .. }, Some(value)) => {
                    Some(ChangeWire::Put { write: key, value, permit: lease.map(|lease| lease.0) })
                }
                (KvMutation::Delete { key }, _) => Some(ChangeWire::Delete { drop: key }),
                _ => None,
            })
            .collect(),
    };
    HttpRequest::post("/txn", &wire)
}

fn parse_change(event: EventWire<'_>) -> Option<KvEntry> {
    let stamp = Revision(event.stamp);
    if let Some(key) = event.drop {
        return Some(KvEntry { key, value: None, revision: stamp });
    }
    let value = event.value?.get().to_string();
    Some(KvEntry { key: event.write?, value: Some(value), revision: stamp })
}
