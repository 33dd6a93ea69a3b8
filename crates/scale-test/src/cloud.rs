//! The cloud of a run: the simulated cloud of `olivelatch-local-cluster`, whose machines run simulated
//! workers.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch_local_cluster::{Cloud, CloudMachine};
use serde_json::Value;

use crate::control::{SimulatedMachine, ZoneCommand};
use crate::plan::Plan;

/// Number of values that each of the last two octets of a machine's address takes.
const VALUES_PER_OCTET: usize = 250;
/// Second octet of the address of the first machine.
const BASE_SECOND_OCTET: usize = 64;

/// The simulated cloud, and the machines that the zones' processes have been told to boot.
pub struct TestCloud {
    cloud: Cloud,
    zones: Vec<String>,
    /// Port of all workers; each worker has its own IP address.
    port: u16,
    /// Index of the zone of each machine that was booted and not removed since, by the machine's name.
    machine_zones: BTreeMap<String, usize>,
    /// Number of requests received from controllers.
    pub requests: u64,
}

impl TestCloud {
    /// Creates the cloud of a plan, with the machines that are up from the start.
    pub fn new(plan: &Plan, port: u16) -> TestCloud {
        let mut cloud = Cloud::default();
        cloud.machine_types = plan.machine_type_specs();
        for (machine_type, machine) in &plan.machine_types {
            for zone in &plan.zones {
                for _ in 0..machine.up_at_start {
                    cloud.add_machine(machine_type, zone, false, 0, 0);
                }
            }
        }
        TestCloud { cloud, zones: plan.zones.clone(), port, machine_zones: BTreeMap::new(), requests: 0 }
    }

    /// Carries out a controller's request; returns the status and the body of the response.
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> (u16, Value) {
        self.requests += 1;
        self.cloud.handle_request(method, path, body, now)
    }

    /// Returns the commands for machines that have booted or were removed since the last call, with the index
    /// of the zone for each.
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
        for name in self.removed_machines() {
            if let Some(zone) = self.machine_zones.remove(&name) {
                commands.push((zone, ZoneCommand::Remove(name)));
            }
        }
        self.cloud.released.clear();
        commands
    }

    fn removed_machines(&self) -> Vec<String> {
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

    /// Fails a share of the machines, spread evenly, and reduces the cloud's capacity by the same share.
    pub fn fail_machines(&mut self, share: f64) {
        // Each machine adds the share; whenever the sum reaches 1, one machine fails.
        let mut failed_fraction = 0.0;
        for machine in self.cloud.machines.iter_mut().filter(|machine| !machine.failed) {
            failed_fraction += share;
            if failed_fraction >= 1.0 {
                failed_fraction -= 1.0;
                machine.failed = true;
            }
        }
        for machine_type in &mut self.cloud.machine_types {
            machine_type.on_demand_per_zone =
                (machine_type.on_demand_per_zone as f64 * (1.0 - share)) as usize;
        }
    }

    /// Restores the capacity of the plan.
    pub fn restore_capacity(&mut self, plan: &Plan) {
        self.cloud.machine_types = plan.machine_type_specs();
    }

    /// Forgets that the machines of a zone were booted, so that the next call of `machine_changes` boots them
    /// again. Used when commands to the zone's process were lost.
    pub fn clear_zone(&mut self, zone: usize) {
        self.machine_zones.retain(|_, other| *other != zone);
    }
}

/// Returns the loopback address and port of a machine's worker. The last two octets are the number in the
/// machine's name in base `VALUES_PER_OCTET`, the last one plus 1; the second octet counts the carries.
fn machine_address(name: &str, port: u16) -> String {
    let number: usize = name.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
    let (block, last_octet) = (number / VALUES_PER_OCTET, number % VALUES_PER_OCTET + 1);
    format!(
        "127.{}.{}.{last_octet}:{port}",
        BASE_SECOND_OCTET + block / VALUES_PER_OCTET,
        block % VALUES_PER_OCTET
    )
}
