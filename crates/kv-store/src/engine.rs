//! Keys, revisions, transactions, leases and changes.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::limits::{Limits, TokenBucket};

/// Status and body.
pub type JsonResponse = (u16, Value);

/// Changes kept for those who ask what has happened since.
const MAX_KEPT_CHANGES: usize = 10_000;
const MAX_KEY_BYTES: usize = 200;
const MAX_PAGE_KEYS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TXN_BYTES: usize = 64 * 1024;
const LEASE_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// What must outlive the process. A transaction's deltas belong together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    Put {
        key: String,
        value: Value,
        stamp: u64,
        lease: Option<u64>,
    },
    #[serde(rename = "Drop")]
    Delete {
        key: String,
    },
    Revision(u64),
    #[serde(rename = "Grant")]
    GrantLease {
        lease: u64,
        life_ms: u64,
    },
    #[serde(rename = "End")]
    RemoveLease {
        lease: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    expires_at_ms: u64,
    ttl_ms: u64,
}

/// The state service in memory. Times are milliseconds of one steady clock.
#[derive(Debug, Default)]
pub struct KvEngine {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// Revision and key of each change, and whether it was a removal.
    change_log: VecDeque<(u64, Value)>,
    /// Changes up to here are not kept any more.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    limits: Limits,
    request_bucket: TokenBucket,
    change_bucket: TokenBucket,
    pending_deltas: Vec<Delta>,
    /// Deltas are collected.
    records_deltas: bool,
}

/// The value of a name in the query of a path.
pub fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Is the change one of a key with this prefix?
fn is_change_under(event: &Value, prefix: &str) -> bool {
    event["write"].as_str().or(event["drop"].as_str()).is_some_and(|key| key.starts_with(prefix))
}

fn bad_request(what: &str) -> JsonResponse {
    (400, json!({"error": what}))
}

fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

/// A transaction, read and checked.
struct Txn<'a> {
    preconditions: Vec<(&'a str, u64)>,
    mutations: Vec<KvMutation<'a>>,
}

enum KvMutation<'a> {
    Put(&'a str, &'a Value, Option<u64>),
    Delete(&'a str),
}

fn array_field<'a>(body: &'a Value, name: &str) -> Option<&'a [Value]> {
    match &body[name] {
        Value::Null => Some(&[]),
        Value::Array(items) => Some(items),
        _ => None,
    }
}

impl<'a> Txn<'a> {
    fn parse(body: &'a Value, limits: &Limits) -> Option<Txn<'a>> {
        let guards = array_field(body, "guards")?.iter().map(|guard| {
            let key = guard["key"].as_str().filter(|key| is_valid_key(key))?;
            Some((key, guard["stamp"].as_u64()?))
        });
        let changes =
            array_field(body, "then")?.iter().map(|change| match (&change["write"], &change["drop"]) {
                (Value::String(key), Value::Null) if is_valid_key(key) => {
                    let value = change.get("value")?;
                    let fits = value.to_string().len() <= limits.max_value_bytes;
                    fits.then(|| KvMutation::Put(key, value, change["permit"].as_u64()))
                }
                (Value::Null, Value::String(key)) if is_valid_key(key) => Some(KvMutation::Delete(key)),
                _ => None,
            });
        let txn =
            Txn { preconditions: guards.collect::<Option<_>>()?, mutations: changes.collect::<Option<_>>()? };
        let within = txn.mutations.len() <= limits.max_txn_changes
            && txn.preconditions.len() <= 4 * limits.max_txn_changes;
        within.then_some(txn)
    }
}

impl KvEngine {
    /// What a file kept. Every lease has its full time again: a restart must not shorten one.
    pub fn restore(saved: &[Delta], now: u64) -> KvEngine {
        let mut engine = KvEngine { records_deltas: true, ..KvEngine::default() };
        for delta in saved {
            match delta {
                Delta::Put { key, value, stamp, lease } => {
                    let entry = Entry { value: value.clone(), revision: *stamp, lease: *lease };
                    engine.entries.insert(key.clone(), entry);
                }
                Delta::Delete { key } => drop(engine.entries.remove(key)),
                Delta::Revision(revision) => engine.revision = *revision,
                Delta::GrantLease { lease, life_ms } => {
                    engine.next_lease = engine.next_lease.max(*lease);
                    engine.leases.insert(*lease, Lease { expires_at_ms: now + life_ms, ttl_ms: *life_ms });
                }
                Delta::RemoveLease { lease } => {
                    engine.next_lease = engine.next_lease.max(*lease);
                    engine.leases.remove(lease);
                }
            }
        }
        engine.compacted_revision = engine.revision;
        engine
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// What changed since this was last asked, to be made durable before any answer goes out.
    pub fn take_deltas(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.pending_deltas)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Leases asked for so far.
    pub fn granted_lease_count(&self) -> u64 {
        self.next_lease
    }

    /// Writes a key from outside the protocol.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.write(key, &value, None);
        self.record_delta(Delta::Revision(self.revision));
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all_leases(&mut self, now: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at_ms = now + lease.ttl_ms;
        }
    }

    /// Ends the leases that are over; how long until the next is.
    pub fn expire_leases(&mut self, now: u64) -> Option<u64> {
        let over = |(id, lease): (&u64, &Lease)| (lease.expires_at_ms <= now).then_some(*id);
        for id in self.leases.iter().filter_map(over).collect::<Vec<u64>>() {
            self.remove_lease(id);
        }
        self.leases.values().map(|lease| lease.expires_at_ms.saturating_sub(now)).min()
    }

    /// Has anything under this prefix changed after the revision? Also true where that cannot be told any more.
    pub fn has_changed(&self, prefix: &str, after: u64) -> bool {
        let mut later = self.change_log.iter().rev().take_while(|(at, _)| *at > after);
        after < self.compacted_revision || later.any(|(_, event)| is_change_under(event, prefix))
    }

    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> JsonResponse {
        self.expire_leases(now);
        if !self.request_bucket.try_take(now, self.limits.requests_per_s, 1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        let bare = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = bare.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["kv"]) => self.list_response(path),
            ("GET", ["kv", ..]) => self.get_response(bare.strip_prefix("/kv/").unwrap_or("")),
            ("GET", ["changes"]) => self.changes_since(path),
            ("POST", ["txn"]) => self.txn(body, now),
            ("POST", ["grants"]) => self.grant_lease(body, now),
            ("POST", ["grants", id, "renew"]) => {
                match id.parse().ok().and_then(|id| self.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.expires_at_ms = now + lease.ttl_ms;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", ["grants", id]) => match id.parse() {
                Ok(id) if self.leases.contains_key(&id) => {
                    self.remove_lease(id);
                    (200, json!({}))
                }
                _ => (404, json!({})),
            },
            _ => bad_request("malformed"),
        }
    }

    fn get_response(&self, key: &str) -> JsonResponse {
        match self.entries.get(key) {
            Some(entry) => {
                let stamp = entry.revision;
                (200, json!({"key": key, "value": entry.value, "stamp": stamp, "permit": entry.lease}))
            }
            None => (404, json!({"ledger_rev": self.revision})),
        }
    }

    fn list_response(&self, path: &str) -> JsonResponse {
        let prefix = query_parameter(path, "starts").unwrap_or("");
        let after = query_parameter(path, "after").unwrap_or("");
        let limit = query_parameter(path, "page").map_or(Some(MAX_PAGE_KEYS), |text| text.parse().ok());
        let Some(limit) = limit.filter(|limit| *limit > 0) else { return bad_request("page") };
        let from = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        let mut rest = self
            .entries
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        while pairs.len() < limit.min(MAX_PAGE_KEYS) && bytes < MAX_PAGE_BYTES - MAX_TXN_BYTES {
            let Some((key, entry)) = rest.next() else { break };
            let pair = json!({"key": key, "value": entry.value, "stamp": entry.revision});
            bytes += pair.to_string().len() + 1;
            pairs.push(pair);
        }
        (200, json!({"pairs": pairs, "has_next": rest.peek().is_some(), "ledger_rev": self.revision}))
    }

    fn changes_since(&self, path: &str) -> JsonResponse {
        let prefix = query_parameter(path, "starts").unwrap_or("");
        let Some(after) = query_parameter(path, "after").map_or(Some(0), |text| text.parse::<u64>().ok())
        else {
            return bad_request("after");
        };
        if after < self.compacted_revision {
            return (410, json!({"error": "too old", "ledger_rev": self.revision}));
        }
        let first = self.change_log.partition_point(|(at, _)| *at <= after);
        let events: Vec<&Value> = self
            .change_log
            .range(first..)
            .map(|(_, event)| event)
            .filter(|event| is_change_under(event, prefix))
            .collect();
        (200, json!({"ledger_rev": self.revision, "events": events}))
    }

    fn grant_lease(&mut self, body: &[u8], now: u64) -> JsonResponse {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let Some(life_ms) = body["life_ms"].as_u64().filter(|life| LEASE_TTL_RANGE_MS.contains(life)) else {
            return bad_request("life_ms");
        };
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, Lease { expires_at_ms: now + life_ms, ttl_ms: life_ms });
        self.record_delta(Delta::GrantLease { lease, life_ms });
        (200, json!({"permit": lease}))
    }

    fn txn(&mut self, body: &[u8], now: u64) -> JsonResponse {
        if body.len() > MAX_TXN_BYTES {
            return bad_request("too large");
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let Some(txn) = Txn::parse(&body, &self.limits).filter(|_| body.is_object()) else {
            return bad_request("malformed");
        };
        if !self.change_bucket.try_take(now, self.limits.changes_per_s, txn.mutations.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let no_lease = |change: &KvMutation<'_>| matches!(change, KvMutation::Put(_, _, Some(lease)) if !self.leases.contains_key(lease));
        if txn.mutations.iter().any(no_lease) {
            return bad_request("no such lease");
        }
        let stamp = |key: &str| self.entries.get(key).map_or(0, |entry| entry.revision);
        let failed: Vec<&str> =
            txn.preconditions.iter().filter(|(key, at)| stamp(key) != *at).map(|(key, _)| *key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        if !txn.mutations.is_empty() {
            self.revision += 1;
            for change in &txn.mutations {
                match change {
                    KvMutation::Put(key, value, lease) => self.write(key, value, *lease),
                    KvMutation::Delete(key) => self.delete(key),
                }
            }
            self.record_delta(Delta::Revision(self.revision));
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn write(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let stamp = self.revision;
        self.entries.insert(key.into(), Entry { value: value.clone(), revision: stamp, lease });
        self.record_change(json!({"write": key, "value": value, "stamp": stamp}));
        self.record_delta(Delta::Put { key: key.into(), value: value.clone(), stamp, lease });
    }

    fn delete(&mut self, key: &str) {
        self.entries.remove(key);
        self.record_change(json!({"drop": key, "stamp": self.revision}));
        self.record_delta(Delta::Delete { key: key.into() });
    }

    fn record_change(&mut self, event: Value) {
        self.change_log.push_back((self.revision, event));
        // A revision is forgotten whole: half of one would look like all of it.
        while self.change_log.len() > MAX_KEPT_CHANGES {
            if let Some((revision, _)) = self.change_log.pop_front() {
                self.compacted_revision = revision;
            }
        }
        let forgotten = self.compacted_revision;
        while self.change_log.front().is_some_and(|(revision, _)| *revision <= forgotten) {
            self.change_log.pop_front();
        }
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.entries.iter().filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
        self.record_delta(Delta::RemoveLease { lease: id });
        self.record_delta(Delta::Revision(self.revision));
    }

    fn record_delta(&mut self, delta: Delta) {
        if self.records_deltas {
            self.pending_deltas.push(delta);
        }
    }
}

#[cfg(test)]
#[path = "tests/engine.rs"]
mod tests;
