//! A stand-in of the state service: keys with stamps, transactions, leases, and changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, num, obj, string};
use crate::link::{Link, Mode};
use crate::rec;

/// How long the service takes for an answer.
const ANSWER: Duration = Duration::from_millis(2);

struct Entry {
    value: Json,
    stamp: u64,
    permit: Option<u64>,
}

struct Change {
    key: String,
    value: Option<Json>,
    stamp: u64,
}

struct Grant {
    life: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    rev: u64,
    keys: BTreeMap<String, Entry>,
    changes: Vec<Change>,
    grants: BTreeMap<u64, Grant>,
    next_permit: u64,
}

pub struct Limits {
    pub txn_ops: usize,
    pub value_bytes: usize,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    limits: Arc<Limits>,
}

impl Store {
    pub fn start(limits: Limits) -> Store {
        let store = Store {
            state: Arc::new(Mutex::new(State { rev: 10, next_permit: 1, ..State::default() })),
            limits: Arc::new(limits),
        };
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                ticking.state.lock().expect("store").expire();
            }
        });
        store
    }

    /// Serves one controller over its own link; returns the address.
    pub fn endpoint(&self, node: &str, link: Link) -> SocketAddr {
        let (store, node) = (self.clone(), node.to_string());
        http::serve(link.clone(), move |request| {
            if link.pass() == Mode::Refuse {
                return Some((503, "{\"error\":\"refused\"}".into()));
            }
            std::thread::sleep(ANSWER);
            let answer = store.handle(&request);
            if request.path == "/txn" {
                let status = answer.as_ref().map_or(0, |(status, _)| *status);
                rec!("store {node} txn {status} {}", request.body.chars().take(700).collect::<String>());
            } else if request.path.starts_with("/grants") {
                rec!(
                    "store {node} {} {} -> {}",
                    request.method,
                    request.path,
                    answer.as_ref().map_or(0, |a| a.0)
                );
            }
            // The answer, too, is held back while the link is interrupted.
            link.pass();
            answer
        })
    }

    /// The controller that holds the leader key, and the key's stamp.
    pub fn leader(&self) -> Option<(String, u64)> {
        let state = self.state.lock().expect("store");
        let entry = state.keys.get("olivelatch/leader")?;
        let Json::Obj(fields) = &entry.value else { return None };
        let name = fields
            .iter()
            .find_map(|(_, value)| if let Json::Str(name) = value { Some(name.clone()) } else { None });
        name.map(|name| (name, entry.stamp))
    }

    fn handle(&self, request: &Request) -> Answer {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let param = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let mut state = self.state.lock().expect("store");
        state.expire();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        Some(match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["kv"]) => {
                let prefix = param("starts").unwrap_or("");
                let after = param("after").unwrap_or("");
                let page: usize = param("page").and_then(|page| page.parse().ok()).unwrap_or(1000).min(1000);
                let mut pairs = Vec::new();
                let mut bytes = 0;
                let mut has_next = false;
                for (key, entry) in
                    state.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                {
                    let pair = obj(vec![
                        ("key", string(key.clone())),
                        ("value", entry.value.clone()),
                        ("stamp", num(entry.stamp)),
                    ]);
                    bytes += pair.text().len() + 1;
                    if pairs.len() >= page || bytes > 500 * 1024 {
                        has_next = true;
                        break;
                    }
                    pairs.push(pair);
                }
                (
                    200,
                    obj(vec![
                        ("pairs", Json::Arr(pairs)),
                        ("has_next", Json::Bool(has_next)),
                        ("ledger_rev", num(state.rev)),
                    ])
                    .text(),
                )
            }
            ("GET", ["changes"]) => {
                let prefix = param("starts").unwrap_or("");
                let after: u64 = param("after").and_then(|after| after.parse().ok()).unwrap_or(0);
                let events = state
                    .changes
                    .iter()
                    .filter(|change| change.stamp > after && change.key.starts_with(prefix))
                    .map(|change| match &change.value {
                        Some(value) => obj(vec![
                            ("write", string(change.key.clone())),
                            ("value", value.clone()),
                            ("stamp", num(change.stamp)),
                        ]),
                        None => obj(vec![("drop", string(change.key.clone())), ("stamp", num(change.stamp))]),
                    })
                    .collect();
                (200, obj(vec![("ledger_rev", num(state.rev)), ("events", Json::Arr(events))]).text())
            }
            ("GET", ["kv", ..]) => match state.keys.get(&path[4..]) {
                Some(entry) => {
                    let permit = entry.permit.map_or(Json::Null, num);
                    (
                        200,
                        obj(vec![
                            ("key", string(&path[4..])),
                            ("value", entry.value.clone()),
                            ("stamp", num(entry.stamp)),
                            ("permit", permit),
                        ])
                        .text(),
                    )
                }
                None => (404, obj(vec![("ledger_rev", num(state.rev))]).text()),
            },
            ("POST", ["txn"]) => state.txn(&request.body, &self.limits),
            ("POST", ["grants"]) => {
                let life =
                    Json::parse(&request.body).and_then(|body| body.get("life_ms").u64()).unwrap_or(5000);
                let permit = state.next_permit;
                state.next_permit += 1;
                let life = Duration::from_millis(life);
                state.grants.insert(permit, Grant { life, ends: Instant::now() + life });
                (200, obj(vec![("permit", num(permit))]).text())
            }
            ("POST", ["grants", id, "renew"]) => {
                match id.parse().ok().and_then(|id: u64| state.grants.get_mut(&id)) {
                    Some(grant) => {
                        grant.ends = Instant::now() + grant.life;
                        (200, "{}".into())
                    }
                    None => (404, "{\"error\":\"no such lease\"}".into()),
                }
            }
            ("DELETE", ["grants", id]) => match id.parse().ok().filter(|id| state.grants.contains_key(id)) {
                Some(id) => {
                    state.end_grant(id);
                    (200, "{}".into())
                }
                None => (404, "{\"error\":\"no such lease\"}".into()),
            },
            _ => (400, "{\"error\":\"malformed\"}".into()),
        })
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.grants.iter().filter(|(_, grant)| grant.ends <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_grant(id);
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.permit == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            rec!("store key {key} ends with lease {id}");
            self.rev += 1;
            self.keys.remove(&key);
            self.changes.push(Change { key, value: None, stamp: self.rev });
        }
    }

    fn txn(&mut self, body: &str, limits: &Limits) -> (u16, String) {
        let malformed = || (400, "{\"error\":\"malformed\"}".to_string());
        let Some(txn) = Json::parse(body).filter(|_| body.len() <= 64 * 1024) else { return malformed() };
        let (guards, then) = (txn.get("guards").arr(), txn.get("then").arr());
        let too_large = then.iter().any(|op| op.get("value").text().len() > limits.value_bytes);
        if then.len() > limits.txn_ops || guards.len() > 4 * limits.txn_ops || too_large {
            rec!("store a transaction exceeds the limits");
            return malformed();
        }
        for op in then {
            if op.get("permit").u64().is_some_and(|permit| !self.grants.contains_key(&permit)) {
                return (400, "{\"error\":\"no such lease\"}".into());
            }
        }
        let failed: Vec<Json> = guards
            .iter()
            .filter(|guard| {
                self.keys.get(guard.get("key").str()).map_or(0, |entry| entry.stamp)
                    != guard.get("stamp").u64().unwrap_or(0)
            })
            .map(|guard| guard.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (409, obj(vec![("failed", Json::Arr(failed)), ("ledger_rev", num(self.rev))]).text());
        }
        if !then.is_empty() {
            self.rev += 1;
        }
        for op in then {
            let stamp = self.rev;
            if op.get("write") != &Json::Null {
                let key = op.get("write").str().to_string();
                let value = op.get("value").clone();
                self.keys.insert(
                    key.clone(),
                    Entry { value: value.clone(), stamp, permit: op.get("permit").u64() },
                );
                self.changes.push(Change { key, value: Some(value), stamp });
            } else {
                let key = op.get("drop").str().to_string();
                if self.keys.remove(&key).is_some() {
                    self.changes.push(Change { key, value: None, stamp });
                }
            }
        }
        (200, obj(vec![("ledger_rev", num(self.rev))]).text())
    }
}
