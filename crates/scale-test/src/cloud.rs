//! The cloud of a run: the region's stand-in, whose machines are hollow workers.

use std::collections::BTreeMap;

use olivelatch_local_cluster::{Cloud, CloudMachine};
use serde_json::Value;

use crate::control::{SimulatedMachine, ZoneCommand};
use crate::plan::Plan;

/// Machines of one part of the loopback range.
const MACHINES_PER_OCTET: usize = 250;
/// The loopback range's second octet from which machines get addresses.
const FIRST_OCTET: usize = 64;

/// The cloud, and which of its machines are up.
pub struct TestCloud {
    cloud: Cloud,
    zones: Vec<String>,
    /// The port of every worker; each has an address of its own.
    port: u16,
    /// Zones of the machines that are up, by name.
    machine_zones: BTreeMap<String, usize>,
    pub requests: u64,
}

impl TestCloud {
    /// With the machines that are up from the begin.
    pub fn new(plan: &Plan, port: u16) -> TestCloud {
        let mut cloud = Cloud::default();
        cloud.machine_types = plan.machine_types();
        for (kind, machine) in &plan.machines {
            for zone in &plan.zones {
                for _ in 0..machine.up_at_start {
                    cloud.add_machine(kind, zone, false, 0, 0);
                }
            }
        }
        TestCloud { cloud, zones: plan.zones.clone(), port, machine_zones: BTreeMap::new(), requests: 0 }
    }

    /// A controller's request.
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        self.requests += 1;
        self.cloud.handle_request(method, path, body, now)
    }

    /// Machines that come up and machines that are gone since the last look, by the number of their zone.
    pub fn machine_changes(&mut self, now: u64) -> Vec<(usize, ZoneCommand)> {
        let mut commands = Vec::new();
        for at in 0..self.cloud.machines.len() {
            let address = machine_address(&self.cloud.machines[at].name, self.port);
            let machine = &mut self.cloud.machines[at];
            machine.endpoint = address;
            if machine.failed || machine.ready_at > now || self.machine_zones.contains_key(&machine.name) {
                continue;
            }
            let machine = machine.clone();
            let Some(zone) = self.zones.iter().position(|zone| *zone == machine.zone) else { continue };
            if let Some(hollow) = self.simulated_machine(&machine) {
                self.machine_zones.insert(machine.name, zone);
                commands.push((zone, ZoneCommand::Boot(hollow)));
            }
        }
        for name in self.vanished_machines() {
            if let Some(zone) = self.machine_zones.remove(&name) {
                commands.push((zone, ZoneCommand::Remove(name)));
            }
        }
        self.cloud.released.clear();
        commands
    }

    fn vanished_machines(&self) -> Vec<String> {
        let there: std::collections::BTreeSet<&str> =
            self.cloud.machines.iter().filter(|m| !m.failed).map(|m| m.name.as_str()).collect();
        self.machine_zones.keys().filter(|name| !there.contains(name.as_str())).cloned().collect()
    }

    fn simulated_machine(&self, machine: &CloudMachine) -> Option<SimulatedMachine> {
        let kind = self.cloud.machine_type(&machine.machine_type)?;
        Some(SimulatedMachine {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            cpus: kind.cpus,
            memory_gb: kind.memory_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s,
        })
    }

    /// Every so many-th machine stops by itself, and the cloud has no room for as many others.
    pub fn fail_machines(&mut self, share: f64) {
        let mut due = 0.0;
        for machine in self.cloud.machines.iter_mut().filter(|machine| !machine.failed) {
            due += share;
            if due >= 1.0 {
                due -= 1.0;
                machine.failed = true;
            }
        }
        for kind in &mut self.cloud.machine_types {
            kind.on_demand_per_zone = (kind.on_demand_per_zone as f64 * (1.0 - share)) as usize;
        }
    }

    /// The cloud has room for as many machines as the plan says.
    pub fn restore_capacity(&mut self, plan: &Plan) {
        self.cloud.machine_types = plan.machine_types();
    }

    /// The zone's process has heard of no machine yet.
    pub fn clear_zone(&mut self, zone: usize) {
        self.machine_zones.retain(|_, other| *other != zone);
    }
}

/// Each machine has an address of the loopback range, told by its number.
fn machine_address(name: &str, port: u16) -> String {
    let number: usize = name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
    let (block, last) = (number / MACHINES_PER_OCTET, number % MACHINES_PER_OCTET + 1);
    format!("127.{}.{}.{last}:{port}", FIRST_OCTET + block / MACHINES_PER_OCTET, block % MACHINES_PER_OCTET)
}
