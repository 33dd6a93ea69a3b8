//! The cloud of a run: the region's stand-in, whose machines are hollow workers.

use std::collections::BTreeMap;

use olivelatch_region::{Cloud, Rented};
use serde_json::Value;

use crate::control::{HollowMachine, ZoneCommand};
use crate::plan::Plan;

/// Machines of one part of the loopback range.
const PER_OCTET: usize = 250;
/// The loopback range's second octet from which machines get addresses.
const FIRST_OCTET: usize = 64;

/// The cloud, and which of its machines are up.
pub struct RunCloud {
    cloud: Cloud,
    zones: Vec<String>,
    /// The port of every worker; each has an address of its own.
    port: u16,
    /// Zones of the machines that are up, by name.
    up: BTreeMap<String, usize>,
    pub requests: u64,
}

impl RunCloud {
    /// With the machines that are up from the begin.
    pub fn new(plan: &Plan, port: u16) -> RunCloud {
        let mut cloud = Cloud::default();
        cloud.kinds = plan.kinds();
        for (kind, machine) in &plan.machines {
            for zone in &plan.zones {
                for _ in 0..machine.up_at_start {
                    cloud.add(kind, zone, false, 0, 0);
                }
            }
        }
        RunCloud { cloud, zones: plan.zones.clone(), port, up: BTreeMap::new(), requests: 0 }
    }

    /// A controller's request.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        self.requests += 1;
        self.cloud.call(method, path, body, now)
    }

    /// Machines that come up and machines that are gone since the last look, by the number of their zone.
    pub fn follow(&mut self, now: u64) -> Vec<(usize, ZoneCommand)> {
        let mut commands = Vec::new();
        for at in 0..self.cloud.machines.len() {
            let address = address(&self.cloud.machines[at].name, self.port);
            let machine = &mut self.cloud.machines[at];
            machine.endpoint = address;
            if machine.failed || machine.up_at > now || self.up.contains_key(&machine.name) {
                continue;
            }
            let machine = machine.clone();
            let Some(zone) = self.zones.iter().position(|zone| *zone == machine.zone) else { continue };
            if let Some(hollow) = self.hollow(&machine) {
                self.up.insert(machine.name, zone);
                commands.push((zone, ZoneCommand::Boot(hollow)));
            }
        }
        for name in self.gone() {
            if let Some(zone) = self.up.remove(&name) {
                commands.push((zone, ZoneCommand::Drop(name)));
            }
        }
        self.cloud.released.clear();
        commands
    }

    fn gone(&self) -> Vec<String> {
        let there: std::collections::BTreeSet<&str> =
            self.cloud.machines.iter().filter(|m| !m.failed).map(|m| m.name.as_str()).collect();
        self.up.keys().filter(|name| !there.contains(name.as_str())).cloned().collect()
    }

    fn hollow(&self, machine: &Rented) -> Option<HollowMachine> {
        let kind = self.cloud.kind(&machine.kind)?;
        Some(HollowMachine {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            cpus: kind.cpus,
            memory_gb: kind.memory,
            fetch_gb_per_s: kind.fetch,
        })
    }

    /// Every so many-th machine stops by itself, and the cloud has no room for as many others.
    pub fn lose(&mut self, share: f64) {
        let mut due = 0.0;
        for machine in self.cloud.machines.iter_mut().filter(|machine| !machine.failed) {
            due += share;
            if due >= 1.0 {
                due -= 1.0;
                machine.failed = true;
            }
        }
        for kind in &mut self.cloud.kinds {
            kind.count = (kind.count as f64 * (1.0 - share)) as usize;
        }
    }

    /// The cloud has room for as many machines as the plan says.
    pub fn room_is_back(&mut self, plan: &Plan) {
        self.cloud.kinds = plan.kinds();
    }

    /// The zone's process has heard of no machine yet.
    pub fn forget_zone(&mut self, zone: usize) {
        self.up.retain(|_, other| *other != zone);
    }
}

/// Each machine has an address of the loopback range, told by its number.
fn address(name: &str, port: u16) -> String {
    let number: usize = name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
    let (block, last) = (number / PER_OCTET, number % PER_OCTET + 1);
    format!("127.{}.{}.{last}:{port}", FIRST_OCTET + block / PER_OCTET, block % PER_OCTET)
}
