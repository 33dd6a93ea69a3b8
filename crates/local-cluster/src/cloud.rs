//! The cloud: machines by booking, a list that says what became of them. It rents what the region has room for.

use std::collections::BTreeMap;

use olivelatch_kv_store::query_parameter;
use olivelatch_worker::Machine;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// One machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeSpec {
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "memory")]
    pub memory_gb: f64,
    pub gpus: f64,
    /// GB a second.
    #[serde(rename = "fetch")]
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
    /// Machines of this type in each zone, ordinary and spot.
    #[serde(rename = "count")]
    pub on_demand_per_zone: usize,
    #[serde(rename = "spot")]
    pub spot_per_zone: usize,
}

/// Times are milliseconds of the caller's clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudMachine {
    pub name: String,
    pub endpoint: String,
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    #[serde(rename = "up_at")]
    pub ready_at: u64,
    #[serde(rename = "rented_at")]
    pub provisioned_at: u64,
    /// It stopped by itself.
    #[serde(default)]
    pub failed: bool,
}

impl CloudMachine {
    /// The machine as its worker knows it, served at `endpoint`.
    pub fn machine(&self, kind: &MachineTypeSpec, endpoint: String) -> Machine {
        Machine {
            name: self.name.clone(),
            endpoint,
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
            image_fetch_gb_per_s: kind.fetch_gb_per_s,
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Cloud {
    #[serde(rename = "kinds")]
    pub machine_types: Vec<MachineTypeSpec>,
    pub machines: Vec<CloudMachine>,
    #[serde(rename = "bookings")]
    provisioning_requests: BTreeMap<String, Vec<String>>,
    #[serde(rename = "next")]
    next_machine: usize,
    pub released: Vec<String>,
}

/// Most machines of one request, and of one page.
const MAX_MACHINES_PER_REQUEST: u64 = 50;
const MAX_PAGE_MACHINES: usize = 500;

impl Cloud {
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/catalog") => {
                let kinds: Vec<Value> = self.machine_types.iter().map(catalog_entry).collect();
                (200, json!({"boxkinds": kinds}))
            }
            ("POST", "/hosts") => self.provision(&body, now),
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
        let after = query_parameter(path, "after").unwrap_or("");
        let page = query_parameter(path, "page")
            .and_then(|page| page.parse().ok())
            .unwrap_or(MAX_PAGE_MACHINES)
            .min(MAX_PAGE_MACHINES);
        let mut rest = self.machines.iter().filter(|machine| machine.name.as_str() > after);
        let boxes: Vec<Value> = rest.by_ref().take(page).map(|machine| machine_entry(machine, now)).collect();
        (200, json!({"boxes": boxes, "has_next": rest.next().is_some()}))
    }

    fn provision(&mut self, body: &Value, now: u64) -> (u16, Value) {
        let booking = body["booking"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.provisioning_requests.get(&booking) {
            return (200, json!({"boxes": names}));
        }
        let (kind, zone) = (body["boxkind"].as_str().unwrap_or(""), body["hall"].as_str().unwrap_or(""));
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let wanted = body["how_many"].as_u64().filter(|count| (1..=MAX_MACHINES_PER_REQUEST).contains(count));
        let spec =
            self.machine_types.iter().find(|spec| spec.name == kind && spec.zones.iter().any(|z| z == zone));
        let (Some(spec), Some(wanted), false) = (spec.cloned(), wanted, booking.is_empty()) else {
            return (400, json!({"error": "malformed"}));
        };
        let most = if spot { spec.spot_per_zone } else { spec.on_demand_per_zone };
        let alike =
            |m: &&CloudMachine| m.machine_type == kind && m.zone == zone && m.spot == spot && !m.failed;
        let there = self.machines.iter().filter(alike).count();
        let count = (wanted as usize).min(most.saturating_sub(there));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot_ms = (spec.boot_s * 1000.0) as u64;
        let names: Vec<String> =
            (0..count).map(|_| self.add_machine(kind, zone, spot, now, boot_ms)).collect();
        self.provisioning_requests.insert(booking, names.clone());
        (200, json!({"boxes": names}))
    }

    pub fn add_machine(&mut self, kind: &str, zone: &str, spot: bool, now: u64, boot_ms: u64) -> String {
        let name = format!("host-{:06}", self.next_machine);
        let endpoint = format!("10.9.{}.{}:9000", self.next_machine / 250, self.next_machine % 250 + 1);
        self.next_machine += 1;
        self.machines.push(CloudMachine {
            name: name.clone(),
            endpoint,
            machine_type: kind.into(),
            zone: zone.into(),
            spot,
            ready_at: now + boot_ms,
            provisioned_at: now,
            failed: false,
        });
        name
    }

    /// Another life of the region: what was rented is gone, and the list says so until it is deleted.
    pub fn fail_all(&mut self, now: u64) {
        for machine in &mut self.machines {
            machine.failed = true;
            machine.provisioned_at = now;
        }
    }

    pub fn machine_type(&self, name: &str) -> Option<&MachineTypeSpec> {
        self.machine_types.iter().find(|spec| spec.name == name)
    }
}

fn catalog_entry(spec: &MachineTypeSpec) -> Value {
    json!({"name": spec.name, "vcpus": spec.cpus, "accelerators": spec.gpus, "memory_gb": spec.memory_gb,
        "local_gb": 50.0, "pull_gb_per_s": spec.fetch_gb_per_s, "price": 0.05 * spec.cpus,
        "low_price": 0.015 * spec.cpus, "ready_s": spec.boot_s, "halls": spec.zones})
}

fn machine_entry(machine: &CloudMachine, now: u64) -> Value {
    let status = match (machine.failed, now >= machine.ready_at) {
        (true, _) => "failed",
        (false, true) => "running",
        (false, false) => "booting",
    };
    let held_s = now.saturating_sub(machine.provisioned_at) as f64 / 1000.0;
    json!({"uid": machine.name, "endpoint": machine.endpoint, "boxkind": machine.machine_type, "hall": machine.zone,
        "loaners": machine.spot, "status": status, "held_s": held_s})
}
