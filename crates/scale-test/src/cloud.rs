//! The cloud of a run: the simulated cloud of a local region, whose machines are simulated workers.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch_local_cluster::{Cloud, CloudMachine};
use serde_json::Value;

use crate::control::{SimulatedMachine, ZoneCommand};
use crate::plan::Plan;

/// Machines that share the first three octets of their addresses, and such blocks that share the first two.
const MACHINES_PER_OCTET: usize = 250;
/// The second octet of the first machine's loopback address.
const FIRST_OCTET: usize = 64;

/// The cloud, and the machines of it that the zones' processes know.
pub struct TestCloud {
    cloud: Cloud,
    zones: Vec<String>,
    /// The port of every worker; each has an address of its own.
    port: u16,
    /// The zones of the machines that are up, by the machines' names.
    machine_zones: BTreeMap<String, usize>,
    /// Requests of controllers.
    pub requests: u64,
}

impl TestCloud {
    /// The cloud of a plan, with the machines that are up from the start.
    pub fn new(plan: &Plan, port: u16) -> TestCloud {
        let mut cloud = Cloud::default();
        cloud.machine_types = plan.machine_types();
        for (machine_type, machine) in &plan.machines {
            for zone in &plan.zones {
                for _ in 0..machine.up_at_start {
                    cloud.add_machine(machine_type, zone, false, 0, 0);
                }
            }
        }
        TestCloud { cloud, zones: plan.zones.clone(), port, machine_zones: BTreeMap::new(), requests: 0 }
    }

    /// Carries out a controller's request.
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        self.requests += 1;
        self.cloud.handle_request(method, path, body, now)
    }

    /// Commands for machines that have booted or were removed since the last call, with the position of their zone.
    pub fn machine_changes(&mut self, now: u64) -> Vec<(usize, ZoneCommand)> {
        let mut commands = Vec::new();
        for index in 0..self.cloud.machines.len() {
            let machine = &mut self.cloud.machines[index];
            machine.endpoint = machine_address(&machine.name, self.port);
            if machine.failed || machine.ready_at > now || self.machine_zones.contains_key(&machine.name) {
                continue;
            }
            let machine = machine.clone();
            let Some(zone) = self.zones.iter().position(|zone| *zone == machine.zone) else { continue };
            if let Some(simulated) = self.simulated_machine(&machine) {
                self.machine_zones.insert(machine.name, zone);
                commands.push((zone, ZoneCommand::Boot(simulated)));
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
        let machines = self.cloud.machines.iter().filter(|machine| !machine.failed);
        let existing: BTreeSet<&str> = machines.map(|machine| machine.name.as_str()).collect();
        self.machine_zones.keys().filter(|name| !existing.contains(name.as_str())).cloned().collect()
    }

    fn simulated_machine(&self, machine: &CloudMachine) -> Option<SimulatedMachine> {
        let machine_type = self.cloud.machine_type(&machine.machine_type)?;
        Some(SimulatedMachine {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            cpus: machine_type.cpus,
            memory_gb: machine_type.memory_gb,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
        })
    }

    /// A share of the machines fails, spread evenly, and the cloud's capacity shrinks by the same share.
    pub fn fail_machines(&mut self, share: f64) {
        let mut to_fail = 0.0;
        for machine in self.cloud.machines.iter_mut().filter(|machine| !machine.failed) {
            to_fail += share;
            if to_fail >= 1.0 {
                to_fail -= 1.0;
                machine.failed = true;
            }
        }
        for machine_type in &mut self.cloud.machine_types {
            machine_type.on_demand_per_zone =
                (machine_type.on_demand_per_zone as f64 * (1.0 - share)) as usize;
        }
    }

    /// The cloud has the capacity of the plan again.
    pub fn restore_capacity(&mut self, plan: &Plan) {
        self.cloud.machine_types = plan.machine_types();
    }

    /// The zone's process was started again and knows no machine.
    pub fn clear_zone(&mut self, zone: usize) {
        self.machine_zones.retain(|_, other| *other != zone);
    }
}

/// The loopback address of a machine, by the number in its name.
fn machine_address(name: &str, port: u16) -> String {
    let number: usize = name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
    let (block, last_octet) = (number / MACHINES_PER_OCTET, number % MACHINES_PER_OCTET + 1);
    format!(
        "127.{}.{}.{last_octet}:{port}",
        FIRST_OCTET + block / MACHINES_PER_OCTET,
        block % MACHINES_PER_OCTET
    )
}
