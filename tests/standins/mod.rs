//! Stand-ins for the outside systems, by their published protocol: the state
//! service, the cloud and the workers. They take (method, path, body, time) and
//! give (status, body), so that scenarios use them in virtual time and the
//! loopback test behind sockets.
#![allow(dead_code)]

use std::collections::BTreeMap;

use serde_json::{Value, json};

pub type Reply = (u16, Value);

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    events: Vec<(u64, Value)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
}

impl State {
    fn end_leases(&mut self, now: u64) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, entry)| entry.2 == Some(id)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.events.push((self.revision, json!({"drop": key, "stamp": self.revision})));
        }
    }

    /// Leases asked for so far.
    pub fn grants(&self) -> u64 {
        self.next_lease
    }

    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.write(key, &value, None);
    }

    fn write(&mut self, key: &str, value: &Value, permit: Option<u64>) {
        self.keys.insert(key.into(), (value.clone(), self.revision, permit));
        let event = json!({"write": key, "value": value, "stamp": self.revision});
        self.events.push((self.revision, event));
    }

    /// After an outage every lease has its full time again.
    pub fn refresh_leases(&mut self, now: u64) {
        for (until, life) in self.leases.values_mut() {
            *until = now + *life;
        }
    }

    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Reply {
        self.end_leases(now);
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let bare = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = bare.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["kv"]) => self.page(path),
            ("GET", ["changes"]) => self.changes(path),
            ("POST", ["txn"]) => self.txn(&body),
            ("POST", ["grants"]) => {
                let life = body["life_ms"].as_u64().unwrap_or(0);
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + life, life));
                (200, json!({"permit": self.next_lease}))
            }
            ("POST", ["grants", id, "renew"]) => match self.leases.get_mut(&id.parse().unwrap_or(0)) {
                Some((until, life)) => {
                    *until = now + *life;
                    (200, json!({}))
                }
                None => (404, json!({})),
            },
            ("DELETE", ["grants", id]) => {
                self.end_lease(id.parse().unwrap_or(0));
                (200, json!({}))
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn page(&self, path: &str) -> Reply {
        let prefix = query(path, "starts").unwrap_or("");
        let after = query(path, "after").unwrap_or("");
        let limit: usize = query(path, "page").and_then(|n| n.parse().ok()).unwrap_or(1000);
        let all: Vec<_> =
            self.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after).collect();
        let pairs: Vec<Value> = all
            .iter()
            .take(limit)
            .map(|(key, (value, stamp, _))| json!({"key": key, "value": value, "stamp": stamp}))
            .collect();
        (200, json!({"pairs": pairs, "has_next": all.len() > limit, "ledger_rev": self.revision}))
    }

    fn changes(&self, path: &str) -> Reply {
        let after: u64 = query(path, "after").and_then(|n| n.parse().ok()).unwrap_or(0);
        let events: Vec<&Value> = self.events.iter().filter(|(at, _)| *at > after).map(|(_, e)| e).collect();
        (200, json!({"ledger_rev": self.revision, "events": events}))
    }

    fn txn(&mut self, body: &Value) -> Reply {
        let empty = Vec::new();
        let changes = body["then"].as_array().unwrap_or(&empty);
        for change in changes {
            let lease = change["permit"].as_u64();
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&Value> = body["guards"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|guard| {
                let key = guard["key"].as_str().unwrap_or("");
                guard["stamp"].as_u64() != Some(self.keys.get(key).map_or(0, |entry| entry.1))
            })
            .map(|guard| &guard["key"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        self.revision += 1;
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                self.write(key, &change["value"], change["permit"].as_u64());
            } else if let Some(key) = change["drop"].as_str() {
                self.keys.remove(key);
                self.events.push((self.revision, json!({"drop": key, "stamp": self.revision})));
            }
        }
        (200, json!({"ledger_rev": self.revision}))
    }
}

#[derive(Clone)]
pub struct KindSpec {
    pub name: String,
    pub cpus: f64,
    pub memory: f64,
    pub gpus: f64,
    pub fetch: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
    pub count: usize,
    pub spot: usize,
}

pub struct Rented {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub up_at: u64,
    pub rented_at: u64,
}

#[derive(Default)]
pub struct Cloud {
    pub kinds: Vec<KindSpec>,
    pub machines: Vec<Rented>,
    bookings: BTreeMap<String, Vec<String>>,
    next: usize,
    /// Where the workers of rented machines will listen: ports from here, or made up.
    pub first_port: u16,
    pub released: Vec<String>,
}

impl Cloud {
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/catalog") => {
                let kinds: Vec<Value> = self.kinds.iter().map(catalog_entry).collect();
                (200, json!({"boxkinds": kinds}))
            }
            ("POST", "/hosts") => self.rent(&body, now),
            ("POST", "/hosts/release") => {
                for name in body["boxes"].as_array().unwrap_or(&Vec::new()) {
                    self.machines.retain(|machine| Some(machine.name.as_str()) != name.as_str());
                    self.released.push(name.as_str().unwrap_or("").into());
                }
                (200, json!({}))
            }
            ("GET", "/hosts") => {
                let boxes: Vec<Value> = self.machines.iter().map(|machine| listed(machine, now)).collect();
                (200, json!({"boxes": boxes, "has_next": false}))
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn rent(&mut self, body: &Value, now: u64) -> Reply {
        let booking = body["booking"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.bookings.get(&booking) {
            return (200, json!({"boxes": names}));
        }
        let (kind, zone) = (body["boxkind"].as_str().unwrap_or(""), body["hall"].as_str().unwrap_or(""));
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let Some(spec) = self.kinds.iter().find(|spec| spec.name == kind).cloned() else {
            return (400, json!({"error": "malformed"}));
        };
        let most = if spot { spec.spot } else { spec.count };
        let there =
            self.machines.iter().filter(|m| m.kind == kind && m.zone == zone && m.spot == spot).count();
        let count = (body["how_many"].as_u64().unwrap_or(0) as usize).min(most.saturating_sub(there));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let name = self.add(kind, zone, spot, now, (spec.boot_s * 1000.0) as u64);
            names.push(name);
        }
        self.bookings.insert(booking, names.clone());
        (200, json!({"boxes": names}))
    }

    pub fn add(&mut self, kind: &str, zone: &str, spot: bool, now: u64, boot_ms: u64) -> String {
        let name = format!("host-{:06}", self.next);
        let endpoint = match self.first_port {
            0 => format!("10.9.{}.{}:9000", self.next / 250, self.next % 250 + 1),
            port => format!("127.0.0.1:{}", port as usize + self.next),
        };
        self.next += 1;
        self.machines.push(Rented {
            name: name.clone(),
            endpoint,
            kind: kind.into(),
            zone: zone.into(),
            spot,
            up_at: now + boot_ms,
            rented_at: now,
        });
        name
    }
}

fn catalog_entry(spec: &KindSpec) -> Value {
    json!({"name": spec.name, "vcpus": spec.cpus, "accelerators": spec.gpus, "memory_gb": spec.memory,
        "local_gb": 50.0, "pull_gb_per_s": spec.fetch, "price": 0.05 * spec.cpus,
        "low_price": 0.015 * spec.cpus, "ready_s": spec.boot_s, "halls": spec.zones})
}

fn listed(machine: &Rented, now: u64) -> Value {
    let status = if now >= machine.up_at { "running" } else { "booting" };
    json!({"uid": machine.name, "endpoint": machine.endpoint, "boxkind": machine.kind, "hall": machine.zone,
        "loaners": machine.spot, "status": status, "held_s": (now - machine.rented_at) as f64 / 1000.0})
}

/// What a worker must know of a job: users upload its description.
#[derive(Clone, Debug)]
pub struct JobFacts {
    pub cpus: f64,
    pub image: String,
    pub size_gb: f64,
    pub run_ms: u64,
    pub gang: bool,
    pub tasks: u32,
    pub checkpoint: bool,
    pub save_ms: u64,
    pub fails: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Fetching { until: u64 },
    Running { until: u64 },
    Saving { until: u64 },
    Ended { cause: &'static str, kept: bool },
}

#[derive(Clone, Debug)]
pub struct Piece {
    pub task: String,
    pub attempt: u64,
    pub phase: Phase,
    /// When it has its image, it is on the machine.
    pub on: bool,
}

impl Piece {
    pub fn job(&self) -> &str {
        self.task.split('/').next().unwrap_or("")
    }

    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }
}

pub struct Worker {
    pub name: String,
    pub endpoint: String,
    pub kind: KindSpec,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub tick: u64,
    pub token: u64,
    pub notice_until: Option<u64>,
    pub pieces: Vec<Piece>,
    pub images: Vec<String>,
    pub answered: u64,
    pub sick: bool,
    /// Its tasks take so many times as long.
    pub slow: u64,
    /// Tasks that got their image since the last look: the moment rules are judged.
    pub started: Vec<String>,
    pub changed: bool,
    finished: Vec<String>,
}

impl Worker {
    pub fn new(rented: &Rented, kind: KindSpec, now: u64) -> Worker {
        Worker {
            name: rented.name.clone(),
            endpoint: rented.endpoint.clone(),
            kind,
            zone: rented.zone.clone(),
            spot: rented.spot,
            session: 1,
            tick: 0,
            token: 0,
            notice_until: None,
            pieces: Vec::new(),
            images: Vec::new(),
            answered: now,
            sick: false,
            slow: 1,
            started: Vec::new(),
            changed: true,
            finished: Vec::new(),
        }
    }

    pub fn report(&mut self, now: u64) -> Value {
        self.tick += 1;
        let pieces: Vec<Value> = self.pieces.iter().map(piece_json).collect();
        let notice = self.notice_until.map(|until| until.saturating_sub(now) as f64 / 1000.0);
        json!({"box": self.name, "endpoint": self.endpoint, "boxkind": self.kind.name, "hall": self.zone,
            "loaners": self.spot, "shift": self.session, "tick": self.tick, "baton": self.token,
            "warning_s": notice, "pieces": pieces})
    }

    /// The answer to a report sent at `sent`. False: the worker drops it.
    pub fn answer(&mut self, body: &Value, sent: u64, now: u64, jobs: &BTreeMap<String, JobFacts>) -> bool {
        let token = body["baton"].as_u64().unwrap_or(0);
        if token < self.token || token == 0 {
            return false;
        }
        self.changed |= token > self.token;
        self.token = token;
        self.answered = sent;
        self.execute(&body["orders"], now, jobs);
        true
    }

    pub fn direct(&mut self, body: &[u8], now: u64, jobs: &BTreeMap<String, JobFacts>) -> Reply {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, json!({}));
        };
        if token < self.token || session != self.session {
            return (409, self.report(now));
        }
        self.changed |= token > self.token;
        self.token = token;
        self.execute(&body["orders"], now, jobs);
        (200, self.report(now))
    }

    fn execute(&mut self, orders: &Value, now: u64, jobs: &BTreeMap<String, JobFacts>) {
        for order in orders.as_array().unwrap_or(&Vec::new()) {
            let task = order["piece"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("run") => self.run(task, attempt, now, jobs),
                Some("halt") => {
                    let grace = order["wind_down_s"].as_f64().unwrap_or(0.0) * 1000.0;
                    self.halt(&task, attempt, grace as u64, now, jobs);
                }
                Some("reap") => {
                    self.pieces.retain(|p| !(p.task == task && p.attempt == attempt && p.ended()));
                }
                _ => {}
            }
        }
        self.changed = true;
    }

    fn used(&self, jobs: &BTreeMap<String, JobFacts>) -> f64 {
        let cpus = |piece: &Piece| jobs.get(piece.job()).map_or(0.0, |job| job.cpus);
        self.pieces.iter().filter(|piece| !piece.ended()).map(cpus).sum()
    }

    fn run(&mut self, task: String, attempt: u64, now: u64, jobs: &BTreeMap<String, JobFacts>) {
        if self.pieces.iter().any(|piece| piece.task == task && piece.attempt == attempt) {
            return;
        }
        let name = task.split('/').next().unwrap_or("").to_string();
        let refused = |cause| Phase::Ended { cause, kept: false };
        let busy = self.pieces.iter().any(|piece| piece.task == task && !piece.ended());
        let phase = match jobs.get(&name) {
            None => refused("unknown"),
            Some(_) if busy => refused("busy"),
            Some(job) if self.used(jobs) + job.cpus > self.kind.cpus + 1e-9 => refused("full"),
            Some(job) if self.images.contains(&job.image) => Phase::Fetching { until: now },
            Some(job) => Phase::Fetching { until: now + (job.size_gb / self.kind.fetch * 1000.0) as u64 },
        };
        self.pieces.push(Piece { task, attempt, phase, on: false });
    }

    fn halt(&mut self, task: &str, attempt: u64, grace: u64, now: u64, jobs: &BTreeMap<String, JobFacts>) {
        for piece in &mut self.pieces {
            if piece.task != task || piece.attempt != attempt || piece.ended() {
                continue;
            }
            let Some(job) = jobs.get(piece.job()) else { continue };
            let running = matches!(piece.phase, Phase::Running { .. });
            piece.phase = match (&piece.phase, running && job.checkpoint && grace >= job.save_ms) {
                (_, true) => Phase::Saving { until: now + job.save_ms },
                (Phase::Saving { until }, _) if grace > 0 => Phase::Saving { until: *until },
                _ => Phase::Ended { cause: "halted", kept: false },
            };
        }
    }

    /// Time passes on the machine. `gang_ready` tells whether all tasks of an attempt have their image.
    pub fn step(&mut self, now: u64, lease_ms: u64, jobs: &BTreeMap<String, JobFacts>) {
        if now > self.answered + lease_ms {
            self.session += 1;
            self.tick = 0;
            self.answered = now;
            self.pieces.clear();
            self.changed = true;
        }
        for at in 0..self.pieces.len() {
            let piece = &mut self.pieces[at];
            let Some(job) = jobs.get(piece.job()) else { continue };
            let before = piece.phase.clone();
            match piece.phase {
                Phase::Fetching { until } if until <= now => {
                    piece.on = true;
                    self.started.push(piece.task.clone());
                    if !self.images.contains(&job.image) {
                        self.images.push(job.image.clone());
                    }
                    let kept = self.finished.contains(&piece.task);
                    piece.phase = match (kept, self.sick || job.fails) {
                        (true, _) => Phase::Ended { cause: "done", kept: false },
                        (false, true) => Phase::Ended { cause: "error", kept: false },
                        _ => Phase::Running { until: now + job.run_ms.saturating_mul(self.slow) },
                    };
                }
                Phase::Running { until } if until <= now => {
                    piece.phase = Phase::Ended { cause: "done", kept: false };
                    self.finished.push(piece.task.clone());
                }
                Phase::Saving { until } if until <= now => {
                    piece.phase = Phase::Ended { cause: "halted", kept: true };
                }
                _ => {}
            }
            self.changed |= piece.phase != before;
        }
    }
}

fn piece_json(piece: &Piece) -> Value {
    let (status, cause, kept) = match &piece.phase {
        Phase::Fetching { .. } => ("fetching", None, false),
        Phase::Running { .. } => ("running", None, false),
        Phase::Saving { .. } => ("flushing", None, false),
        Phase::Ended { cause, kept } => ("ended", Some(*cause), *kept),
    };
    json!({"piece": piece.task, "try": piece.attempt, "status": status, "cause": cause, "kept": kept})
}
