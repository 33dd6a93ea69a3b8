//! The machines that the leader tracks, their types, and the indices over them.
//!
//! Owns every [`Machine`]; a machine is registered once and keeps its index until the term ends.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Leader;
use super::machine::{Machine, MachineIdentity};
use super::machines::placement_index::PlacementIndex;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::ids::{ImageIx, MachineIx, MachineTypeIx, Resources, ZoneIx, to_milli_floor};
use crate::protocol::cloud::MachineTypeRecord;

/// A machine type of the cloud's catalog, with its measured image fetch rate.
#[derive(Debug, Clone)]
pub struct MachineType {
    /// The type's name in the catalog.
    pub name: String,
    /// Resources of an empty machine.
    pub capacity: Resources,
    /// Size of the image cache in MB.
    pub image_cache_mb: u64,
    /// Measured or estimated rate of an image fetch, in MB/s.
    pub fetch_mb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Price of a spot machine per hour. `None` if there are none.
    pub spot_price: Option<f64>,
    /// Published boot time in milliseconds.
    pub boot_ms: u64,
    /// Zones in which machines of the type can be requested.
    pub zones: Vec<ZoneIx>,
}

/// The leader's state of all machines of the cluster.
#[derive(Debug, Default)]
pub struct ClusterState {
    pub(in crate::coordination) machines: Vec<Machine>,
    pub(super) machines_by_name: HashMap<String, MachineIx>,
    pub(super) machine_types: BTreeMap<MachineTypeIx, MachineType>,
    /// The machines that placement has to examine.
    pub(super) placement_index: PlacementIndex,
    /// For each image, the machines that should have it in their cache.
    pub(super) image_holders: HashMap<ImageIx, BTreeSet<MachineIx>>,
    /// Machines to be sent a direct message, which announces the leader or carries commands that should not wait for
    /// the next heartbeat.
    pub(super) pending_direct_messages: BTreeSet<MachineIx>,
}

impl MachineType {
    /// Creates the type from its catalog entry. `fetch_mb_per_s` is the measured image fetch rate, or an estimate while
    /// nothing has been measured.
    fn from_catalog(entry: &MachineTypeRecord, zones: Vec<ZoneIx>, fetch_mb_per_s: f64) -> MachineType {
        MachineType {
            name: entry.name.clone(),
            capacity: Resources {
                cpu: to_milli_floor(entry.cpus),
                gpu: to_milli_floor(entry.gpus),
                mem: to_milli_floor(entry.memory_gb),
            },
            image_cache_mb: to_milli_floor(entry.image_cache_gb),
            fetch_mb_per_s,
            price: entry.price,
            spot_price: entry.spot_price,
            boot_ms: (entry.boot_s * 1000.0) as u64,
            zones,
        }
    }
}

impl Leader {
    /// Loads the machine types from the cache. A measured fetch rate is kept when the catalog entry of the type
    /// changes.
    pub fn load_machine_types(&mut self, cache: &mut StoreCache) {
        for entry in cache.machine_types.values() {
            let ix = cache.names.machine_types.intern(&entry.name);
            let zones = entry.zones.iter().map(|zone| cache.names.zones.intern(zone)).collect();
            let published = entry.fetch_gb_per_s * 1000.0;
            let estimate = if published > 0.0 { published } else { self.tunables.fetch_gb_per_s * 1000.0 };
            let rate = self.cluster.machine_types.get(&ix).map_or(estimate, |known| known.fetch_mb_per_s);
            self.cluster.machine_types.insert(ix, MachineType::from_catalog(entry, zones, rate));
        }
        for machine in &mut self.cluster.machines {
            if let Some(machine_type) = self.cluster.machine_types.get(&machine.machine_type) {
                machine.capacity = machine_type.capacity;
            }
        }
        self.cluster.placement_index.recheck_backlog = true;
    }

    /// Returns the index of the machine with this name. If it is unknown, registers it as booting.
    pub fn register_machine(&mut self, identity: MachineIdentity<'_>, clock: Clock) -> MachineIx {
        if let Some(ix) = self.cluster.machines_by_name.get(identity.name) {
            return *ix;
        }
        let ix = MachineIx(self.cluster.machines.len() as u32);
        self.cluster.machines_by_name.insert(identity.name.into(), ix);
        let machine_type = self.cluster.machine_types.get(&identity.machine_type);
        let capacity = machine_type.map(|machine_type| machine_type.capacity).unwrap_or_default();
        let steal_backoff_ms = self.tunables.steal_backoff_ms;
        let token = self.term.token();
        self.cluster.machines.push(Machine::new(identity, capacity, steal_backoff_ms, token, clock.now));
        ix
    }
}
