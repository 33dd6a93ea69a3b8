//! The state service of the users' protocol, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};

/// Number of changes that are kept.
const KEPT_CHANGES: usize = 10_000;
const MAX_PAGE_ITEMS: usize = 1_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TXN_BYTES: usize = 64 * 1024;

/// Limits of the service.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// A rate limit that allows bursts of one second's worth.
struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, left: rate, at: Instant::now() }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let is_allowed = self.left >= count;
        if is_allowed {
            self.left -= count;
        }
        is_allowed
    }
}

struct Entry {
    value: Value,
    stamp: u64,
    grant: Option<u64>,
}

struct Grant {
    life: Duration,
    ends: Instant,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<Value>,
}

struct State {
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    grants: BTreeMap<u64, Grant>,
    last_grant: u64,
    changes: VecDeque<Change>,
}

/// The service; clones share their state.
#[derive(Clone)]
pub struct Kv {
    state: Arc<Mutex<State>>,
    /// How long the answer to a read takes after the read was carried out.
    read_answer: Duration,
}

impl Kv {
    pub fn new(limits: Limits, read_answer: Duration) -> Kv {
        let state = State {
            limits,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            revision: 0,
            entries: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_grant: 0,
            changes: VecDeque::new(),
        };
        let kv = Kv { state: Arc::new(Mutex::new(state)), read_answer };
        let reaper = kv.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                reaper.lock().end_grants();
            }
        });
        kv
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn handle(&self, request: &Request) -> Reply {
        if !self.lock().requests.take(1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv") => self.lock().list(request),
            ("GET", "/changes") => {
                let reply = self.changes(request);
                if !self.read_answer.is_zero() {
                    thread::sleep(self.read_answer);
                }
                reply
            }
            ("POST", "/txn") => self.lock().transaction(request),
            ("POST", "/grants") => self.lock().grant(request),
            ("GET", _) if path.starts_with("/kv/") => self.lock().get(&path[4..]),
            ("POST", _) if path.starts_with("/grants/") && path.ends_with("/renew") => {
                self.lock().renew(&path[8..path.len() - 6])
            }
            ("DELETE", _) if path.starts_with("/grants/") => self.lock().revoke(&path[8..]),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn changes(&self, request: &Request) -> Reply {
        let starts = request.parameter("starts").unwrap_or("");
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(after), block_ms) = (number("after"), number("block_ms").unwrap_or(0)) else {
            return (400, json!({"error": "malformed"}));
        };
        let until = Instant::now() + Duration::from_millis(block_ms.min(60_000));
        loop {
            let (status, body) = self.lock().changes_after(starts, after);
            let has_events = body["events"].as_array().is_some_and(|events| !events.is_empty());
            if status != 200 || has_events || Instant::now() >= until {
                return (status, body);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl State {
    fn record(&mut self, key: String, value: Option<Value>) {
        self.changes.push_back(Change { revision: self.revision, key, value });
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.entries.get(key) {
            Some(entry) => {
                (200, json!({"key": key, "value": entry.value, "stamp": entry.stamp, "permit": entry.grant}))
            }
            None => (404, json!({"ledger_rev": self.revision})),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let starts = request.parameter("starts").unwrap_or("");
        let after = request.parameter("after").unwrap_or("");
        let page = request.parameter("page").and_then(|page| page.parse().ok()).unwrap_or(MAX_PAGE_ITEMS);
        let mut pairs = Vec::new();
        let (mut bytes, mut has_next) = (0, false);
        for (key, entry) in &self.entries {
            if !key.starts_with(starts) || key.as_str() <= after {
                continue;
            }
            let pair = json!({"key": key, "value": entry.value, "stamp": entry.stamp});
            bytes += pair.to_string().len() + 1;
            if pairs.len() == page.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES - 200 {
                has_next = true;
                break;
            }
            pairs.push(pair);
        }
        (200, json!({"pairs": pairs, "has_next": has_next, "ledger_rev": self.revision}))
    }

    fn changes_after(&self, starts: &str, after: u64) -> Reply {
        let oldest = self.changes.front().map_or(0, |change| change.revision);
        if self.changes.len() == KEPT_CHANGES && after + 1 < oldest {
            return (410, json!({"error": "too old"}));
        }
        let wanted =
            self.changes.iter().filter(|change| change.revision > after && change.key.starts_with(starts));
        let events: Vec<Value> = wanted
            .map(|change| match &change.value {
                Some(value) => json!({"write": change.key, "value": value, "stamp": change.revision}),
                None => json!({"drop": change.key, "stamp": change.revision}),
            })
            .collect();
        (200, json!({"ledger_rev": self.revision, "events": events}))
    }

    fn transaction(&mut self, request: &Request) -> Reply {
        let body = request.json();
        let empty = Vec::new();
        let guards = body["guards"].as_array().unwrap_or(&empty);
        let changes = body["then"].as_array().unwrap_or(&empty);
        let is_too_large = |change: &Value| {
            !change["write"].is_null()
                && change["value"].to_string().len() as f64 > self.limits.value_kb * 1024.0
        };
        if body.is_null()
            || changes.len() > self.limits.txn_ops
            || guards.len() > 4 * self.limits.txn_ops
            || request.body.len() > MAX_TXN_BYTES
            || changes.iter().any(is_too_large)
        {
            return (400, json!({"error": "malformed"}));
        }
        if !self.writes.take(changes.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let lacks_grant =
            |change: &Value| change["permit"].as_u64().is_some_and(|grant| !self.grants.contains_key(&grant));
        if changes.iter().any(lacks_grant) {
            return (400, json!({"error": "no such lease"}));
        }
        let stamp_of = |key: &str| self.entries.get(key).map_or(0, |entry| entry.stamp);
        let is_failed =
            |guard: &&Value| Some(stamp_of(guard["key"].as_str().unwrap_or(""))) != guard["stamp"].as_u64();
        let failed: Vec<Value> = guards.iter().filter(is_failed).map(|guard| guard["key"].clone()).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                let (value, grant) = (change["value"].clone(), change["permit"].as_u64());
                self.entries.insert(key.into(), Entry { value: value.clone(), stamp: self.revision, grant });
                self.record(key.into(), Some(value));
            } else if let Some(key) = change["drop"].as_str()
                && self.entries.remove(key).is_some()
            {
                self.record(key.into(), None);
            }
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn grant(&mut self, request: &Request) -> Reply {
        let Some(life_ms) = request.json()["life_ms"].as_u64().filter(|ms| (100..=600_000).contains(ms))
        else {
            return (400, json!({"error": "malformed"}));
        };
        self.last_grant += 1;
        let life = Duration::from_millis(life_ms);
        self.grants.insert(self.last_grant, Grant { life, ends: Instant::now() + life });
        (200, json!({"permit": self.last_grant}))
    }

    fn renew(&mut self, id: &str) -> Reply {
        match id.parse().ok().and_then(|id: u64| self.grants.get_mut(&id)) {
            Some(grant) => {
                grant.ends = Instant::now() + grant.life;
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }

    fn revoke(&mut self, id: &str) -> Reply {
        match id.parse().ok().filter(|id: &u64| self.grants.contains_key(id)) {
            Some(id) => {
                self.end_grant(id);
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.grant == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.entries.remove(&key);
            self.record(key, None);
        }
    }

    fn end_grants(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.grants.iter().filter(|(_, grant)| grant.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_grant(id);
        }
    }
}
