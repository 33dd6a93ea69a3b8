//! Writes the kv store of a simulated cluster to a file while jobs run, and recovers another cluster from it.

use std::path::Path;

use olivelatch_kv_store::{AuxiliaryRecord, KvEngine, StoreFile};
use serde_json::{Value, json};

use super::SimulatedCluster;

/// Names of auxiliary records in the file: the simulated cloud, and the virtual time.
const CLOUD: &str = "cloud";
const TIME: &str = "time";

fn auxiliary_record(name: &str, bytes: Vec<u8>) -> AuxiliaryRecord {
    AuxiliaryRecord { name: name.into(), bytes: Some(bytes) }
}

fn auxiliary_bytes<'a>(auxiliary: &'a [AuxiliaryRecord], name: &str) -> &'a [u8] {
    let found = auxiliary.iter().find(|record| record.name == name);
    found.and_then(|record| record.bytes.as_deref()).expect(name)
}

impl SimulatedCluster {
    /// Makes the kv store track the changes that have to be written to a file.
    pub fn track_store_changes(&mut self) {
        self.kv_store = KvEngine::restore(&[], self.now);
    }

    /// Writes the kv store, the cloud and the time to a new store file, in the format that real clusters use.
    pub fn write_store_file(&mut self, path: &Path) {
        let (file, _, _) = StoreFile::open(path).expect("a new store file");
        let auxiliary = [
            auxiliary_record(CLOUD, serde_json::to_vec(&self.cloud).expect("JSON")),
            auxiliary_record(TIME, self.now.to_string().into_bytes()),
        ];
        file.commit(&self.kv_store.take_deltas(), &auxiliary).expect("a commit");
    }

    /// Recovers records, machines and time from a store file, before any controller starts.
    pub fn read_store_file(&mut self, path: &Path) {
        let (_, deltas, auxiliary) = StoreFile::open(path).expect("the store file");
        self.now = serde_json::from_slice(auxiliary_bytes(&auxiliary, TIME)).expect("a time");
        self.kv_store = KvEngine::restore(&deltas, self.now);
        self.cloud = serde_json::from_slice(auxiliary_bytes(&auxiliary, CLOUD)).expect("the cloud");
    }

    /// Makes the machines run these attempts (machine, task, attempt) again. Controllers must have been started.
    pub fn resume_tasks(&mut self, tasks: &[(String, String, u64)]) {
        self.boot_machines();
        for (machine, task, attempt) in tasks {
            let worker = self.workers.iter_mut().find(|worker| worker.machine.name == *machine);
            let worker = worker.expect("a machine");
            let orders = json!([{"verb": "run", "piece": task, "try": attempt}]);
            let body = json!({"baton": 1, "shift": worker.epoch, "orders": orders}).to_string();
            let (status, _) = worker.handle_direct_command(body.as_bytes(), self.now, &self.jobs);
            assert_eq!(status, 200, "{machine} {task}");
        }
    }

    /// Returns the attempts that have not ended, as (machine, task, attempt).
    pub fn live_attempts(&self) -> Vec<(String, String, u64)> {
        let live_attempts_of = |worker: &olivelatch_worker::Worker| {
            let live = worker.attempts.iter().filter(|attempt| !attempt.is_ended());
            let name = worker.machine.name.clone();
            live.map(|live| (name.clone(), live.task.clone(), live.attempt)).collect::<Vec<_>>()
        };
        self.workers.iter().flat_map(live_attempts_of).collect()
    }

    /// Returns the names of the cloud's machines.
    pub fn machine_names(&self) -> Vec<String> {
        self.cloud.machines.iter().map(|machine| machine.name.clone()).collect()
    }

    /// Returns all records of the kv store with their keys.
    pub fn all_records(&self) -> Vec<(String, Value)> {
        let value = |key: &str| self.kv_store.get(key).cloned().unwrap_or_default();
        self.kv_store.keys().map(|key| (key.to_string(), value(key))).collect()
    }
}
