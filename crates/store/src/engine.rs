//! Keys, revisions, transactions, leases and changes.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::limits::{Bucket, Limits};

/// Status and body.
pub type Reply = (u16, Value);

/// Changes kept for those who ask what has happened since.
const KEPT_CHANGES: usize = 10_000;
const LONGEST_KEY: usize = 200;
const MOST_ITEMS: usize = 1000;
const LARGEST_PAGE: usize = 512 * 1024;
const LARGEST_TXN: usize = 64 * 1024;
const LEASE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// What must outlive the process. A transaction's deltas belong together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    Put { key: String, value: Value, stamp: u64, lease: Option<u64> },
    Drop { key: String },
    Revision(u64),
    Grant { lease: u64, life_ms: u64 },
    End { lease: u64 },
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    until: u64,
    life_ms: u64,
}

/// The state service in memory. Times are milliseconds of one steady clock.
#[derive(Debug, Default)]
pub struct Engine {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// Revision and key of each change, and whether it was a removal.
    changes: VecDeque<(u64, Value)>,
    /// Changes up to here are not kept any more.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
    deltas: Vec<Delta>,
    /// Deltas are collected.
    durable: bool,
}

/// The value of a name in the query of a path.
pub fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Is the change one of a key with this prefix?
fn is_under(event: &Value, prefix: &str) -> bool {
    event["write"].as_str().or(event["drop"].as_str()).is_some_and(|key| key.starts_with(prefix))
}

fn malformed(what: &str) -> Reply {
    (400, json!({"error": what}))
}

fn key_is_fine(key: &str) -> bool {
    (1..=LONGEST_KEY).contains(&key.len()) && !key.contains(char::is_whitespace)
}

/// A transaction, read and checked.
struct Txn<'a> {
    guards: Vec<(&'a str, u64)>,
    changes: Vec<Change<'a>>,
}

enum Change<'a> {
    Put(&'a str, &'a Value, Option<u64>),
    Drop(&'a str),
}

fn list<'a>(body: &'a Value, name: &str) -> Option<&'a [Value]> {
    match &body[name] {
        Value::Null => Some(&[]),
        Value::Array(items) => Some(items),
        _ => None,
    }
}

impl<'a> Txn<'a> {
    fn read(body: &'a Value, limits: &Limits) -> Option<Txn<'a>> {
        let guards = list(body, "guards")?.iter().map(|guard| {
            let key = guard["key"].as_str().filter(|key| key_is_fine(key))?;
            Some((key, guard["stamp"].as_u64()?))
        });
        let changes = list(body, "then")?.iter().map(|change| match (&change["write"], &change["drop"]) {
            (Value::String(key), Value::Null) if key_is_fine(key) => {
                let value = change.get("value")?;
                let fits = value.to_string().len() <= limits.value_bytes;
                fits.then(|| Change::Put(key, value, change["permit"].as_u64()))
            }
            (Value::Null, Value::String(key)) if key_is_fine(key) => Some(Change::Drop(key)),
            _ => None,
        });
        let txn = Txn { guards: guards.collect::<Option<_>>()?, changes: changes.collect::<Option<_>>()? };
        let within = txn.changes.len() <= limits.txn_changes && txn.guards.len() <= 4 * limits.txn_changes;
        within.then_some(txn)
    }
}

impl Engine {
    /// What a file kept. Every lease has its full time again: a restart must not shorten one.
    pub fn restored(saved: &[Delta], now: u64) -> Engine {
        let mut engine = Engine { durable: true, ..Engine::default() };
        for delta in saved {
            match delta {
                Delta::Put { key, value, stamp, lease } => {
                    let entry = Entry { value: value.clone(), stamp: *stamp, lease: *lease };
                    engine.keys.insert(key.clone(), entry);
                }
                Delta::Drop { key } => drop(engine.keys.remove(key)),
                Delta::Revision(revision) => engine.revision = *revision,
                Delta::Grant { lease, life_ms } => {
                    engine.next_lease = engine.next_lease.max(*lease);
                    engine.leases.insert(*lease, Lease { until: now + life_ms, life_ms: *life_ms });
                }
                Delta::End { lease } => {
                    engine.next_lease = engine.next_lease.max(*lease);
                    engine.leases.remove(lease);
                }
            }
        }
        engine.forgotten = engine.revision;
        engine
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// What changed since this was last asked, to be made durable before any answer goes out.
    pub fn take_deltas(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.deltas)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|entry| &entry.value)
    }

    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Leases asked for so far.
    pub fn grants(&self) -> u64 {
        self.next_lease
    }

    /// Writes a key from outside the protocol.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.write(key, &value, None);
        self.note(Delta::Revision(self.revision));
    }

    /// After an outage every lease has its full time again.
    pub fn refresh_leases(&mut self, now: u64) {
        for lease in self.leases.values_mut() {
            lease.until = now + lease.life_ms;
        }
    }

    /// Ends the leases that are over; how long until the next is.
    pub fn tick(&mut self, now: u64) -> Option<u64> {
        let over = |(id, lease): (&u64, &Lease)| (lease.until <= now).then_some(*id);
        for id in self.leases.iter().filter_map(over).collect::<Vec<u64>>() {
            self.end_lease(id);
        }
        self.leases.values().map(|lease| lease.until.saturating_sub(now)).min()
    }

    /// Has anything under this prefix changed after the revision? Also true where that cannot be told any more.
    pub fn has_changed(&self, prefix: &str, after: u64) -> bool {
        let mut later = self.changes.iter().rev().take_while(|(at, _)| *at > after);
        after < self.forgotten || later.any(|(_, event)| is_under(event, prefix))
    }

    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Reply {
        self.tick(now);
        if !self.requests.take(now, self.limits.requests_per_s, 1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        let bare = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = bare.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["kv"]) => self.page(path),
            ("GET", ["kv", ..]) => self.one(bare.strip_prefix("/kv/").unwrap_or("")),
            ("GET", ["changes"]) => self.changes_since(path),
            ("POST", ["txn"]) => self.txn(body, now),
            ("POST", ["grants"]) => self.grant(body, now),
            ("POST", ["grants", id, "renew"]) => {
                match id.parse().ok().and_then(|id| self.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.until = now + lease.life_ms;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", ["grants", id]) => match id.parse() {
                Ok(id) if self.leases.contains_key(&id) => {
                    self.end_lease(id);
                    (200, json!({}))
                }
                _ => (404, json!({})),
            },
            _ => malformed("malformed"),
        }
    }

    fn one(&self, key: &str) -> Reply {
        match self.keys.get(key) {
            Some(entry) => {
                let stamp = entry.stamp;
                (200, json!({"key": key, "value": entry.value, "stamp": stamp, "permit": entry.lease}))
            }
            None => (404, json!({"ledger_rev": self.revision})),
        }
    }

    fn page(&self, path: &str) -> Reply {
        let prefix = query(path, "starts").unwrap_or("");
        let after = query(path, "after").unwrap_or("");
        let limit = query(path, "page").map_or(Some(MOST_ITEMS), |text| text.parse().ok());
        let Some(limit) = limit.filter(|limit| *limit > 0) else { return malformed("page") };
        let from = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        let mut rest = self
            .keys
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        while pairs.len() < limit.min(MOST_ITEMS) && bytes < LARGEST_PAGE - LARGEST_TXN {
            let Some((key, entry)) = rest.next() else { break };
            let pair = json!({"key": key, "value": entry.value, "stamp": entry.stamp});
            bytes += pair.to_string().len() + 1;
            pairs.push(pair);
        }
        (200, json!({"pairs": pairs, "has_next": rest.peek().is_some(), "ledger_rev": self.revision}))
    }

    fn changes_since(&self, path: &str) -> Reply {
        let prefix = query(path, "starts").unwrap_or("");
        let Some(after) = query(path, "after").map_or(Some(0), |text| text.parse::<u64>().ok()) else {
            return malformed("after");
        };
        if after < self.forgotten {
            return (410, json!({"error": "too old", "ledger_rev": self.revision}));
        }
        let first = self.changes.partition_point(|(at, _)| *at <= after);
        let events: Vec<&Value> = self
            .changes
            .range(first..)
            .map(|(_, event)| event)
            .filter(|event| is_under(event, prefix))
            .collect();
        (200, json!({"ledger_rev": self.revision, "events": events}))
    }

    fn grant(&mut self, body: &[u8], now: u64) -> Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let Some(life_ms) = body["life_ms"].as_u64().filter(|life| LEASE_MS.contains(life)) else {
            return malformed("life_ms");
        };
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, Lease { until: now + life_ms, life_ms });
        self.note(Delta::Grant { lease, life_ms });
        (200, json!({"permit": lease}))
    }

    fn txn(&mut self, body: &[u8], now: u64) -> Reply {
        if body.len() > LARGEST_TXN {
            return malformed("too large");
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let Some(txn) = Txn::read(&body, &self.limits).filter(|_| body.is_object()) else {
            return malformed("malformed");
        };
        if !self.writes.take(now, self.limits.changes_per_s, txn.changes.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let no_lease = |change: &Change<'_>| matches!(change, Change::Put(_, _, Some(lease)) if !self.leases.contains_key(lease));
        if txn.changes.iter().any(no_lease) {
            return malformed("no such lease");
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<&str> =
            txn.guards.iter().filter(|(key, at)| stamp(key) != *at).map(|(key, _)| *key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
            for change in &txn.changes {
                match change {
                    Change::Put(key, value, lease) => self.write(key, value, *lease),
                    Change::Drop(key) => self.remove(key),
                }
            }
            self.note(Delta::Revision(self.revision));
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn write(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let stamp = self.revision;
        self.keys.insert(key.into(), Entry { value: value.clone(), stamp, lease });
        self.changed(json!({"write": key, "value": value, "stamp": stamp}));
        self.note(Delta::Put { key: key.into(), value: value.clone(), stamp, lease });
    }

    fn remove(&mut self, key: &str) {
        self.keys.remove(key);
        self.changed(json!({"drop": key, "stamp": self.revision}));
        self.note(Delta::Drop { key: key.into() });
    }

    fn changed(&mut self, event: Value) {
        self.changes.push_back((self.revision, event));
        // A revision is forgotten whole: half of one would look like all of it.
        while self.changes.len() > KEPT_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.forgotten = revision;
            }
        }
        let forgotten = self.forgotten;
        while self.changes.front().is_some_and(|(revision, _)| *revision <= forgotten) {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.keys.iter().filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        self.note(Delta::End { lease: id });
        self.note(Delta::Revision(self.revision));
    }

    fn note(&mut self, delta: Delta) {
        if self.durable {
            self.deltas.push(delta);
        }
    }
}

#[cfg(test)]
#[path = "tests/engine.rs"]
mod tests;
