//! The cloud: a catalog, rentals, returns, and a list that lags.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};
use crate::worker::{MachineKind, Shared, Worker};

/// A machine type of the catalog.
#[derive(Clone)]
pub struct TypeSpec {
    pub name: &'static str,
    pub vcpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
    pub price: f64,
    pub low_price: f64,
    pub ready_s: f64,
    /// Machines of each kind (spot or ordinary) that may be rented at the same time.
    pub capacity: usize,
}

struct Host {
    kind: MachineKind,
    rented: Instant,
    up: Option<Instant>,
    gone: Option<Instant>,
    worker: Option<Worker>,
}

struct State {
    types: Vec<TypeSpec>,
    zones: Vec<String>,
    list_lag: Duration,
    hosts: Vec<Host>,
    bookings: BTreeMap<String, Vec<String>>,
    /// The number of rental requests.
    rentals: usize,
}

/// The cloud; clones share it.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    shared: Shared,
}

impl Cloud {
    pub fn new(types: Vec<TypeSpec>, zones: &[&str], list_lag: Duration, shared: &Shared) -> Cloud {
        let state = State {
            types,
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            list_lag,
            hosts: Vec::new(),
            bookings: BTreeMap::new(),
            rentals: 0,
        };
        let cloud = Cloud { state: Arc::new(Mutex::new(state)), shared: shared.clone() };
        let booting = cloud.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                booting.start_workers();
            }
        });
        cloud
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, text: &str) {
        self.shared.record.line("cloud", text);
    }

    /// Starts the workers of the machines that have booted.
    fn start_workers(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        for host in &mut state.hosts {
            let is_due = host.worker.is_none() && host.gone.is_none() && host.up.is_some_and(|up| up <= now);
            if is_due && let Ok(worker) = Worker::start(host.kind.clone(), &self.shared) {
                self.note(&format!("{} ({}) is up", host.kind.name, host.kind.kind));
                host.worker = Some(worker);
            }
        }
    }

    /// Adds a machine. `age` is the time since it was rented, `boot` the time until it is up.
    pub fn add(
        &self,
        type_name: &str,
        zone: &str,
        spot: bool,
        age: Duration,
        boot: Duration,
    ) -> Option<String> {
        let mut state = self.lock();
        let spec = state.types.iter().find(|spec| spec.name == type_name)?.clone();
        let number = state.hosts.len() as u64 + 1;
        let kind = MachineKind {
            name: format!("host-{number:06}"),
            kind: spec.name.into(),
            zone: zone.into(),
            spot,
            vcpus: spec.vcpus,
            memory_gb: spec.memory_gb,
            pull_gb_per_s: spec.pull_gb_per_s,
        };
        let name = kind.name.clone();
        let now = Instant::now();
        let rented = now.checked_sub(age).unwrap_or(now);
        state.hosts.push(Host { kind, rented, up: Some(now + boot), gone: None, worker: None });
        Some(name)
    }

    /// The workers of the machines that are up.
    pub fn workers(&self) -> Vec<Worker> {
        self.lock()
            .hosts
            .iter()
            .filter(|host| host.gone.is_none())
            .filter_map(|host| host.worker.clone())
            .collect()
    }

    /// Whether the machine still exists.
    pub fn exists(&self, name: &str) -> bool {
        self.lock().hosts.iter().any(|host| host.kind.name == name && host.gone.is_none())
    }

    /// The number of machines that exist.
    pub fn count(&self) -> usize {
        self.lock().hosts.iter().filter(|host| host.gone.is_none()).count()
    }

    /// The number of rental requests so far.
    pub fn rentals(&self) -> usize {
        self.lock().rentals
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => self.lock().catalog(),
            ("GET", "/hosts") => self.lock().list(request),
            ("POST", "/hosts") => self.rent(&request.json()),
            ("POST", "/hosts/release") => self.release(&request.json()),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn rent(&self, body: &Value) -> Reply {
        let (Some(booking), Some(kind), Some(zone), Some(spot), Some(wanted)) = (
            body["booking"].as_str(),
            body["boxkind"].as_str(),
            body["hall"].as_str(),
            body["loaners"].as_bool(),
            body["how_many"].as_u64().filter(|count| (1..=50).contains(count)),
        ) else {
            return (400, json!({"error": "malformed"}));
        };
        let mut state = self.lock();
        if let Some(boxes) = state.bookings.get(booking) {
            return (200, json!({"boxes": boxes}));
        }
        state.rentals += 1;
        let Some(spec) = state.types.iter().find(|spec| spec.name == kind).cloned() else {
            return (400, json!({"error": "malformed"}));
        };
        let is_same = |host: &&Host| host.gone.is_none() && host.kind.kind == kind && host.kind.spot == spot;
        let used = state.hosts.iter().filter(is_same).count();
        drop(state);
        let granted = spec.capacity.saturating_sub(used).min(wanted as usize);
        self.note(&format!(
            "is asked for {wanted} {kind} in {zone} (spot {spot}) as {booking}, gives {granted}"
        ));
        if granted == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot = Duration::from_secs_f64(spec.ready_s * 0.8);
        let boxes: Vec<String> =
            (0..granted).filter_map(|_| self.add(kind, zone, spot, Duration::ZERO, boot)).collect();
        self.lock().bookings.insert(booking.into(), boxes.clone());
        (200, json!({"boxes": boxes}))
    }

    fn release(&self, body: &Value) -> Reply {
        let names: Vec<&str> =
            body["boxes"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let mut state = self.lock();
        for host in state.hosts.iter_mut().filter(|host| names.contains(&host.kind.name.as_str())) {
            if host.gone.is_none() {
                host.gone = Some(Instant::now());
                if let Some(worker) = &host.worker {
                    worker.stop();
                }
                self.note(&format!("{} is returned", host.kind.name));
            }
        }
        (200, json!({}))
    }
}

impl State {
    fn catalog(&self) -> Reply {
        let types: Vec<Value> = self
            .types
            .iter()
            .map(|spec| {
                json!({"name": spec.name, "vcpus": spec.vcpus, "accelerators": 0, "memory_gb": spec.memory_gb,
                    "local_gb": 60, "pull_gb_per_s": spec.pull_gb_per_s, "price": spec.price,
                    "low_price": spec.low_price, "ready_s": spec.ready_s, "halls": self.zones})
            })
            .collect();
        (200, json!({"boxkinds": types}))
    }

    /// Lists the machines as they were one lag ago.
    fn list(&self, request: &Request) -> Reply {
        let now = Instant::now();
        let after = request.parameter("after").unwrap_or("");
        let page = request.parameter("page").and_then(|page| page.parse().ok()).unwrap_or(500);
        let as_of = now.checked_sub(self.list_lag).unwrap_or(now);
        let is_listed = |host: &&Host| {
            host.rented <= as_of
                && host.gone.is_none_or(|gone| gone > as_of)
                && host.kind.name.as_str() > after
        };
        let listed: Vec<&Host> = self.hosts.iter().filter(is_listed).collect();
        let boxes: Vec<Value> = listed
            .iter()
            .take(page)
            .map(|host| {
                let is_up = host.up.is_some_and(|up| up <= as_of);
                let endpoint = host.worker.as_ref().map(|worker| worker.endpoint.to_string());
                json!({"uid": host.kind.name, "endpoint": endpoint, "boxkind": host.kind.kind,
                    "hall": host.kind.zone, "loaners": host.kind.spot,
                    "status": if is_up { "running" } else { "booting" },
                    "held_s": as_of.duration_since(host.rented).as_secs_f64()})
            })
            .collect();
        (200, json!({"boxes": boxes, "has_next": listed.len() > page}))
    }
}
