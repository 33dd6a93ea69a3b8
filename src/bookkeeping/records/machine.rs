//! Records about machines: their properties, the tasks that may run on them, and requests to the cloud for more.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, JobId, TaskId};

/// The properties of a machine, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineDescriptor {
    /// Unique name of the machine.
    pub name: String,
    /// Address of the machine's worker.
    pub endpoint: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// Recorded state of one machine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecordedMachine {
    /// Properties of the machine.
    pub machine: MachineDescriptor,
    /// Whether it is being returned to the cloud.
    pub returning: bool,
    /// Tasks that may run on it, with their attempts.
    pub tasks: Vec<(TaskId, Attempt)>,
}

/// The tasks that may run on one machine, in the format that the assignment log replaced. It is read but never written.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct LegacyMachineRecord {
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Address of the machine's worker.
    pub endpoint: String,
    /// Whether it is being returned to the cloud.
    #[serde(default)]
    pub returning: bool,
    /// Pairs of task number and attempt, by job.
    #[serde(default)]
    tasks: BTreeMap<String, Vec<(u32, u64)>>,
}

impl LegacyMachineRecord {
    /// Converts the record to the current type; `name` is the machine's name, which is part of the key.
    pub fn to_recorded(&self, name: &str) -> RecordedMachine {
        let tasks = self.tasks.iter().flat_map(|(job, attempts)| {
            let job = JobId::parse(job);
            attempts.iter().filter_map(move |(task, attempt)| {
                Some((TaskId { job: job?, task: *task }, Attempt(*attempt)))
            })
        });
        RecordedMachine {
            machine: MachineDescriptor {
                name: name.into(),
                endpoint: self.endpoint.clone(),
                machine_type: self.machine_type.clone(),
                zone: self.zone.clone(),
                spot: self.spot,
            },
            returning: self.returning,
            tasks: tasks.collect(),
        }
    }
}

/// A request to the cloud for machines. After a failover the new leader finds the machines by the name of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Requested zone.
    pub zone: String,
    /// Whether spot instances were requested.
    pub spot: bool,
    /// Number of requested machines.
    pub count: u32,
}
