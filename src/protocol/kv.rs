//! Requests to the consensus-backed key-value store, its replies, and their HTTP form.
//!
//! This module only parses and serializes. Replies distinguish requests that were not carried out
//! ([`KvReply::Rejected`]) from those that may have been ([`KvReply::Unknown`]), which callers must not retry blindly.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{HttpOutcome, HttpRequest};
use crate::ids::{LeaseId, Revision};

/// One change within a transaction. Values are serialized JSON.
#[derive(Debug, Clone, PartialEq)]
pub enum KvMutation {
    Put { key: String, value: String, lease: Option<LeaseId> },
    Delete { key: String },
}

impl KvMutation {
    /// Returns the key that the mutation changes.
    pub fn key(&self) -> &str {
        match self {
            KvMutation::Put { key, .. } | KvMutation::Delete { key } => key,
        }
    }
}

/// A condition of a transaction: the key was last modified at this revision, or does not exist if the revision is 0.
#[derive(Debug, Clone, PartialEq)]
pub struct Precondition {
    pub key: String,
    pub revision: Revision,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Lists keys with a prefix in key order, starting after the key `after`.
    ListPage { prefix: String, after: Option<String>, limit: u32 },
    /// Requests the changes of keys with a prefix after a revision; the store replies at once, even if there are none.
    PollChanges { prefix: String, after: Revision },
    /// Compare-and-swap: applies all mutations if all preconditions hold, and none otherwise.
    Transaction { preconditions: Vec<Precondition>, mutations: Vec<KvMutation> },
    /// Creates a lease that expires unless it is renewed within its time to live.
    GrantLease { ttl_ms: u64 },
    /// Restarts the lease's time to live.
    RenewLease { lease: LeaseId },
    /// Revokes a lease, which deletes the keys attached to it.
    RevokeLease { lease: LeaseId },
}

/// A key and its value at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct KvEntry {
    pub key: String,
    /// None if the key was deleted.
    pub value: Option<String>,
    pub revision: Revision,
}

/// A reply of the store, or the outcome of a request that got none.
#[derive(Debug, Clone, PartialEq)]
pub enum KvReply {
    ListPage {
        entries: Vec<KvEntry>,
        has_more: bool,
        revision: Revision,
    },
    /// The changes up to and including `revision`.
    ChangedEntries {
        entries: Vec<KvEntry>,
        revision: Revision,
    },
    /// The transaction was carried out at this revision.
    Committed {
        revision: Revision,
    },
    /// The transaction was not carried out: the preconditions on these keys do not hold.
    PreconditionFailed {
        failed_keys: Vec<String>,
    },
    LeaseGranted {
        lease: LeaseId,
    },
    /// The lease was renewed or revoked.
    LeaseUpdated,
    /// The lease has expired or was revoked.
    LeaseNotFound,
    /// The store has compacted the changes since the requested revision: the caller has to list the keys again.
    Compacted,
    /// Not carried out: the request was not sent (503), or the store replied with an error status such as 429 or 503.
    Rejected {
        status: u16,
    },
    /// The request may have been carried out.
    Unknown,
}

#[derive(Serialize)]
struct PreconditionWire<'a> {
    key: &'a str,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum MutationWire<'a> {
    Put {
        #[serde(rename = "write")]
        key: &'a str,
        value: &'a RawValue,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: &'a str,
    },
}

#[derive(Serialize)]
struct TransactionWire<'a> {
    #[serde(rename = "guards")]
    preconditions: Vec<PreconditionWire<'a>>,
    #[serde(rename = "then")]
    mutations: Vec<MutationWire<'a>>,
}

#[derive(Deserialize)]
struct EntryWire<'a> {
    key: String,
    #[serde(borrow)]
    value: &'a RawValue,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageWire<'a> {
    #[serde(borrow, rename = "pairs")]
    entries: Vec<EntryWire<'a>>,
    #[serde(default, rename = "has_next")]
    has_more: bool,
    #[serde(rename = "ledger_rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct ChangeWire<'a> {
    #[serde(rename = "write")]
    put_key: Option<String>,
    #[serde(rename = "drop")]
    deleted_key: Option<String>,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Deserialize)]
struct ChangesWire<'a> {
    #[serde(rename = "ledger_rev")]
    revision: u64,
    #[serde(borrow, rename = "events")]
    changes: Vec<ChangeWire<'a>>,
}

#[derive(Deserialize)]
struct CommittedWire {
    #[serde(rename = "ledger_rev")]
    revision: u64,
}

#[derive(Deserialize)]
struct PreconditionFailedWire {
    #[serde(default, rename = "failed")]
    failed_keys: Vec<String>,
}

#[derive(Serialize)]
struct GrantLeaseWire {
    #[serde(rename = "life_ms")]
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaseGrantedWire {
    #[serde(rename = "permit")]
    lease: u64,
}

impl KvRequest {
    /// Returns the HTTP form of the request.
    pub fn to_http_request(&self) -> HttpRequest {
        match self {
            KvRequest::ListPage { prefix, after, limit } => {
                let after = after.as_ref().map_or(String::new(), |key| format!("&after={key}"));
                HttpRequest::get(format!("/kv?starts={prefix}{after}&page={limit}"))
            }
            KvRequest::PollChanges { prefix, after } => {
                HttpRequest::get(format!("/changes?starts={prefix}&after={}&block_ms=0", after.0))
            }
            KvRequest::Transaction { preconditions, mutations } => {
                transaction_request(preconditions, mutations)
            }
            KvRequest::GrantLease { ttl_ms } => {
                HttpRequest::post("/grants", &GrantLeaseWire { ttl_ms: *ttl_ms })
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

    /// Converts the HTTP outcome of this request to a reply.
    pub fn parse_reply(&self, outcome: &HttpOutcome) -> KvReply {
        let (status, body) = match outcome {
            HttpOutcome::NotSent => return KvReply::Rejected { status: 503 },
            // A retry of the poll would exceed the limit as well, whereas listing the keys again reads them in pages.
            HttpOutcome::TooLarge if matches!(self, KvRequest::PollChanges { .. }) => {
                return KvReply::Compacted;
            }
            HttpOutcome::Unknown | HttpOutcome::TooLarge => return KvReply::Unknown,
            HttpOutcome::Response { status, body } => (*status, body),
        };
        match status {
            200 => self.parse_success(body).unwrap_or(KvReply::Unknown),
            409 => {
                let wire = serde_json::from_slice::<PreconditionFailedWire>(body);
                KvReply::PreconditionFailed { failed_keys: wire.map_or(Vec::new(), |wire| wire.failed_keys) }
            }
            410 => KvReply::Compacted,
            404 if matches!(self, KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. }) => {
                KvReply::LeaseNotFound
            }
            400 if matches!(self, KvRequest::Transaction { .. }) && reports_missing_lease(body) => {
                KvReply::LeaseNotFound
            }
            _ => KvReply::Rejected { status },
        }
    }

    fn parse_success(&self, body: &[u8]) -> Result<KvReply, serde_json::Error> {
        Ok(match self {
            KvRequest::ListPage { .. } => {
                let wire: PageWire<'_> = serde_json::from_slice(body)?;
                KvReply::ListPage {
                    entries: wire.entries.into_iter().map(parse_entry).collect(),
                    has_more: wire.has_more,
                    revision: Revision(wire.revision),
                }
            }
            KvRequest::PollChanges { .. } => {
                let wire: ChangesWire<'_> = serde_json::from_slice(body)?;
                KvReply::ChangedEntries {
                    entries: wire.changes.into_iter().filter_map(parse_change).collect(),
                    revision: Revision(wire.revision),
                }
            }
            KvRequest::Transaction { .. } => {
                let wire: CommittedWire = serde_json::from_slice(body)?;
                KvReply::Committed { revision: Revision(wire.revision) }
            }
            KvRequest::GrantLease { .. } => {
                let wire: LeaseGrantedWire = serde_json::from_slice(body)?;
                KvReply::LeaseGranted { lease: LeaseId(wire.lease) }
            }
            KvRequest::RenewLease { .. } | KvRequest::RevokeLease { .. } => KvReply::LeaseUpdated,
        })
    }
}

/// Returns whether a transaction failed because its lease does not exist. The store rejects such a transaction with
/// status 400, as it does a malformed one; only the text of the response tells the two apart.
fn reports_missing_lease(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("no such lease")
}

fn transaction_request(preconditions: &[Precondition], mutations: &[KvMutation]) -> HttpRequest {
    let values: Vec<Option<Box<RawValue>>> = mutations
        .iter()
        .map(|mutation| match mutation {
            KvMutation::Put { value, .. } => RawValue::from_string(value.clone()).ok(),
            KvMutation::Delete { .. } => None,
        })
        .collect();
    let wire = TransactionWire {
        preconditions: preconditions
            .iter()
            .map(|condition| PreconditionWire { key: &condition.key, revision: condition.revision.0 })
            .collect(),
        mutations: mutations
            .iter()
            .zip(&values)
            .filter_map(|(mutation, value)| mutation_wire(mutation, value.as_deref()))
            .collect(),
    };
    HttpRequest::post("/txn", &wire)
}

/// Returns None for a value that is not valid JSON; the transaction is then sent without this mutation.
fn mutation_wire<'a>(mutation: &'a KvMutation, value: Option<&'a RawValue>) -> Option<MutationWire<'a>> {
    Some(match mutation {
        KvMutation::Put { key, lease, .. } => {
            MutationWire::Put { key, value: value?, lease: lease.map(|lease| lease.0) }
        }
        KvMutation::Delete { key } => MutationWire::Delete { key },
    })
}

fn parse_entry(wire: EntryWire<'_>) -> KvEntry {
    KvEntry { key: wire.key, value: Some(wire.value.get().to_string()), revision: Revision(wire.revision) }
}

fn parse_change(wire: ChangeWire<'_>) -> Option<KvEntry> {
    let revision = Revision(wire.revision);
    if let Some(key) = wire.deleted_key {
        return Some(KvEntry { key, value: None, revision });
    }
    let value = wire.value?.get().to_string();
    Some(KvEntry { key: wire.put_key?, value: Some(value), revision })
}
