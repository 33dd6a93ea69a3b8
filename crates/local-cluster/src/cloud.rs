//! The simulated cloud, which provides machines up to its capacity and lists them with their states. It does no I/O and
//! reads no clock: times are milliseconds of the caller's clock.

use std::collections::BTreeMap;

use olivelatch_kv_store::query_parameter;
use olivelatch_worker::Machine;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A machine type, and the cloud's capacity for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeSpec {
    /// Name of the machine type.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memory")]
    pub memory_gb: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(rename = "fetch")]
    pub fetch_gb_per_s: f64,
    /// Boot time in seconds.
    pub boot_s: f64,
    /// Zones that offer the machine type.
    pub zones: Vec<String>,
    /// Capacity of on-demand machines in each zone.
    #[serde(rename = "count")]
    pub on_demand_per_zone: usize,
    /// Capacity of spot machines in each zone.
    #[serde(rename = "spot")]
    pub spot_per_zone: usize,
}

/// A machine that the cloud has provided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudMachine {
    /// Unique name of the machine.
    pub name: String,
    /// Address on which the machine's worker listens.
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// When the machine has booted.
    #[serde(rename = "up_at")]
    pub ready_at: u64,
    /// When the cloud provided the machine, or when it failed.
    #[serde(rename = "rented_at")]
    pub provisioned_at: u64,
    /// Whether the machine has failed. A failed machine is listed until it is released.
    #[serde(default)]
    pub failed: bool,
}

impl CloudMachine {
    /// Returns the machine in the form that its worker uses, with the worker listening on `endpoint`.
    pub fn machine(&self, machine_type: &MachineTypeSpec, endpoint: String) -> Machine {
        Machine {
            name: self.name.clone(),
            endpoint,
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            image_fetch_gb_per_s: machine_type.fetch_gb_per_s,
        }
    }
}

/// The state of the simulated cloud: its machine types, machines and earlier provisioning requests.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Cloud {
    /// Machine types that the cloud offers.
    #[serde(rename = "kinds")]
    pub machine_types: Vec<MachineTypeSpec>,
    /// Machines that were provided and have not been released.
    pub machines: Vec<CloudMachine>,
    /// Names of the machines provided for each request, by request id. They make requests idempotent.
    #[serde(rename = "bookings")]
    provisioning_requests: BTreeMap<String, Vec<String>>,
    #[serde(rename = "next")]
    next_machine: usize,
    /// Names of the machines that were released since the caller last cleared the list.
    pub released: Vec<String>,
}

/// Maximum number of machines in one provisioning request.
const MAX_MACHINES_PER_REQUEST: u64 = 50;
/// Maximum number of machines on one page of the list.
const MAX_PAGE_MACHINES: usize = 500;

impl Cloud {
    /// Handles a request. Returns the HTTP status and the body of the response.
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/catalog") => {
                let machine_types: Vec<Value> = self.machine_types.iter().map(catalog_entry).collect();
                (200, json!({"boxkinds": machine_types}))
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
        let mut machines = self.machines.iter().filter(|machine| machine.name.as_str() > after);
        let rows: Vec<Value> =
            machines.by_ref().take(page).map(|machine| machine_entry(machine, now)).collect();
        (200, json!({"boxes": rows, "has_next": machines.next().is_some()}))
    }

    fn provision(&mut self, body: &Value, now: u64) -> (u16, Value) {
        let request_id = body["booking"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.provisioning_requests.get(&request_id) {
            return (200, json!({"boxes": names}));
        }
        let (machine_type, zone) =
            (body["boxkind"].as_str().unwrap_or(""), body["hall"].as_str().unwrap_or(""));
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let wanted = body["how_many"].as_u64().filter(|count| (1..=MAX_MACHINES_PER_REQUEST).contains(count));
        let spec =
            self.machine_type(machine_type).filter(|spec| spec.zones.iter().any(|known| known == zone));
        let (Some(spec), Some(wanted), false) = (spec.cloned(), wanted, request_id.is_empty()) else {
            return (400, json!({"error": "malformed"}));
        };
        let capacity = if spot { spec.spot_per_zone } else { spec.on_demand_per_zone };
        let same_offer = |machine: &&CloudMachine| {
            machine.machine_type == spec.name
                && machine.zone == zone
                && machine.spot == spot
                && !machine.failed
        };
        let provided = self.machines.iter().filter(same_offer).count();
        let count = (wanted as usize).min(capacity.saturating_sub(provided));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot_ms = (spec.boot_s * 1000.0) as u64;
        let names: Vec<String> =
            (0..count).map(|_| self.add_machine(machine_type, zone, spot, now, boot_ms)).collect();
        self.provisioning_requests.insert(request_id, names.clone());
        (200, json!({"boxes": names}))
    }

    /// Adds a machine regardless of the capacity, and returns its name.
    pub fn add_machine(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: u64,
        boot_ms: u64,
    ) -> String {
        let name = format!("host-{:06}", self.next_machine);
        let endpoint = format!("10.9.{}.{}:9000", self.next_machine / 250, self.next_machine % 250 + 1);
        self.next_machine += 1;
        self.machines.push(CloudMachine {
            name: name.clone(),
            endpoint,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            ready_at: now + boot_ms,
            provisioned_at: now,
            failed: false,
        });
        name
    }

    /// Marks all machines as failed. After a restart of the local cluster no machine runs any longer, but each is
    /// listed as failed until it is released.
    pub fn fail_all(&mut self, now: u64) {
        for machine in &mut self.machines {
            machine.failed = true;
            machine.provisioned_at = now;
        }
    }

    /// Returns the machine type with this name.
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
