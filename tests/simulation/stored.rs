//! A region whose state service keeps a file: written in the middle of the work, and taken up by another region.

use std::path::Path;

use olivelatch_kv_store::{AuxiliaryRecord, KvEngine, StoreFile};
use serde_json::{Value, json};

use super::SimulatedCluster;

/// What lies beside the service's own: the cloud as its stand-in keeps it, and the time.
const CLOUD: &str = "cloud";
const TIME: &str = "time";

fn saved(name: &str, bytes: Vec<u8>) -> AuxiliaryRecord {
    AuxiliaryRecord { name: name.into(), bytes: Some(bytes) }
}

fn bytes<'a>(beside: &'a [AuxiliaryRecord], name: &str) -> &'a [u8] {
    let found = beside.iter().find(|saved| saved.name == name);
    found.and_then(|saved| saved.bytes.as_deref()).expect(name)
}

impl SimulatedCluster {
    /// From now on the state service notes what a file has to keep.
    pub fn durable(&mut self) {
        self.kv_store = KvEngine::restore(&[], self.now);
    }

    /// Everything is written as the state service and the region write it.
    pub fn write_file(&mut self, path: &Path) {
        let (file, _, _) = StoreFile::open(path).expect("a new state file");
        let beside = [
            saved(CLOUD, serde_json::to_vec(&self.cloud).expect("JSON")),
            saved(TIME, self.now.to_string().into_bytes()),
        ];
        file.commit(&self.kv_store.take_deltas(), &beside).expect("a commit");
    }

    /// Before any controller is there: records, machines and time as a file has them.
    pub fn read_file(&mut self, path: &Path) {
        let (_, deltas, beside) = StoreFile::open(path).expect("the state file");
        self.now = serde_json::from_slice(bytes(&beside, TIME)).expect("a time");
        self.kv_store = KvEngine::restore(&deltas, self.now);
        self.cloud = serde_json::from_slice(bytes(&beside, CLOUD)).expect("the cloud");
    }

    /// Once there are controllers: the machines run these tasks, by machine: task and attempt.
    pub fn resume(&mut self, tasks: &[(String, String, u64)]) {
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

    /// Attempts that are on machines and have not ended: machine, task, attempt.
    pub fn attempts(&self) -> Vec<(String, String, u64)> {
        let of = |worker: &olivelatch_worker::Worker| {
            let live = worker.attempts.iter().filter(|attempt| !attempt.is_ended());
            let name = worker.machine.name.clone();
            live.map(|live| (name.clone(), live.task.clone(), live.attempt)).collect::<Vec<_>>()
        };
        self.workers.iter().flat_map(of).collect()
    }

    /// Machines that the cloud has.
    pub fn machine_names(&self) -> Vec<String> {
        self.cloud.machines.iter().map(|machine| machine.name.clone()).collect()
    }

    /// All records by key.
    pub fn all_records(&self) -> Vec<(String, Value)> {
        let value = |key: &str| self.kv_store.get(key).cloned().unwrap_or_default();
        self.kv_store.keys().map(|key| (key.to_string(), value(key))).collect()
    }
}
