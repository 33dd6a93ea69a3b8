//! The cloud: machines by booking, a list that says what became of them. It rents what the region has room for.

use std::collections::BTreeMap;

use olivelatch_store::query;
use olivelatch_worker::Machine;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// One machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    pub name: String,
    pub cpus: f64,
    pub memory: f64,
    pub gpus: f64,
    /// GB a second.
    pub fetch: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
    /// Machines of this type in each zone, ordinary and spot.
    pub count: usize,
    pub spot: usize,
}

/// Times are milliseconds of the caller's clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rented {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub up_at: u64,
    pub rented_at: u64,
    /// It stopped by itself.
    #[serde(default)]
    pub failed: bool,
}

impl Rented {
    /// The machine as its worker knows it, served at `endpoint`.
    pub fn machine(&self, kind: &KindSpec, endpoint: String) -> Machine {
        Machine {
            name: self.name.clone(),
            endpoint,
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory,
            fetch_gb_per_s: kind.fetch,
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Cloud {
    pub kinds: Vec<KindSpec>,
    pub machines: Vec<Rented>,
    bookings: BTreeMap<String, Vec<String>>,
    next: usize,
    pub released: Vec<String>,
}

/// Most machines of one request, and of one page.
const MOST_RENTED: u64 = 50;
const MOST_LISTED: usize = 500;

impl Cloud {
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
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
            ("GET", "/hosts") => self.list(path, now),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn list(&self, path: &str, now: u64) -> (u16, Value) {
        let after = query(path, "after").unwrap_or("");
        let page =
            query(path, "page").and_then(|page| page.parse().ok()).unwrap_or(MOST_LISTED).min(MOST_LISTED);
        let mut rest = self.machines.iter().filter(|machine| machine.name.as_str() > after);
        let boxes: Vec<Value> = rest.by_ref().take(page).map(|machine| listed(machine, now)).collect();
        (200, json!({"boxes": boxes, "has_next": rest.next().is_some()}))
    }

    fn rent(&mut self, body: &Value, now: u64) -> (u16, Value) {
        let booking = body["booking"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.bookings.get(&booking) {
            return (200, json!({"boxes": names}));
        }
        let (kind, zone) = (body["boxkind"].as_str().unwrap_or(""), body["hall"].as_str().unwrap_or(""));
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let wanted = body["how_many"].as_u64().filter(|count| (1..=MOST_RENTED).contains(count));
        let spec = self.kinds.iter().find(|spec| spec.name == kind && spec.zones.iter().any(|z| z == zone));
        let (Some(spec), Some(wanted), false) = (spec.cloned(), wanted, booking.is_empty()) else {
            return (400, json!({"error": "malformed"}));
        };
        let most = if spot { spec.spot } else { spec.count };
        let alike = |m: &&Rented| m.kind == kind && m.zone == zone && m.spot == spot && !m.failed;
        let there = self.machines.iter().filter(alike).count();
        let count = (wanted as usize).min(most.saturating_sub(there));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot_ms = (spec.boot_s * 1000.0) as u64;
        let names: Vec<String> = (0..count).map(|_| self.add(kind, zone, spot, now, boot_ms)).collect();
        self.bookings.insert(booking, names.clone());
        (200, json!({"boxes": names}))
    }

    pub fn add(&mut self, kind: &str, zone: &str, spot: bool, now: u64, boot_ms: u64) -> String {
        let name = format!("host-{:06}", self.next);
        let endpoint = format!("10.9.{}.{}:9000", self.next / 250, self.next % 250 + 1);
        self.next += 1;
        self.machines.push(Rented {
            name: name.clone(),
            endpoint,
            kind: kind.into(),
            zone: zone.into(),
            spot,
            up_at: now + boot_ms,
            rented_at: now,
            failed: false,
        });
        name
    }

    /// Another life of the region: what was rented is gone, and the list says so until it is deleted.
    pub fn all_failed(&mut self, now: u64) {
        for machine in &mut self.machines {
            machine.failed = true;
            machine.rented_at = now;
        }
    }

    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        self.kinds.iter().find(|spec| spec.name == name)
    }
}

fn catalog_entry(spec: &KindSpec) -> Value {
    json!({"name": spec.name, "vcpus": spec.cpus, "accelerators": spec.gpus, "memory_gb": spec.memory,
        "local_gb": 50.0, "pull_gb_per_s": spec.fetch, "price": 0.05 * spec.cpus,
        "low_price": 0.015 * spec.cpus, "ready_s": spec.boot_s, "halls": spec.zones})
}

fn listed(machine: &Rented, now: u64) -> Value {
    let status = match (machine.failed, now >= machine.up_at) {
        (true, _) => "failed",
        (false, true) => "running",
        (false, false) => "booting",
    };
    let held_s = now.saturating_sub(machine.rented_at) as f64 / 1000.0;
    json!({"uid": machine.name, "endpoint": machine.endpoint, "boxkind": machine.kind, "hall": machine.zone,
        "loaners": machine.spot, "status": status, "held_s": held_s})
}
