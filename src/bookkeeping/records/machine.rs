//! Records about machines: what they are, what may run on them, and which were requested of the cloud.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, JobId, TaskId};

/// A machine as records describe it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MachineDescriptor {
    /// Unique name.
    pub name: String,
    /// Address of its worker.
    pub endpoint: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone it is in.
    pub zone: String,
    /// It is a spot instance.
    pub spot: bool,
}

/// What the records hold about one machine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecordedMachine {
    /// The machine itself.
    pub machine: MachineDescriptor,
    /// It is being returned to the cloud.
    pub returning: bool,
    /// Tasks that may run on it, with their attempts.
    pub tasks: Vec<(TaskId, Attempt)>,
}

/// What may run on one machine, in the format before the assignment log: read, never written.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct LegacyMachineRecord {
    /// Name of its machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone it is in.
    pub zone: String,
    /// It is a spot instance.
    pub spot: bool,
    /// Address of its worker.
    pub endpoint: String,
    /// It is being returned to the cloud.
    #[serde(default)]
    pub returning: bool,
    /// Tasks and their attempts, by job.
    #[serde(default)]
    tasks: BTreeMap<String, Vec<(u32, u64)>>,
}

impl LegacyMachineRecord {
    /// The record in today's form; `name` comes from its key.
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

/// A request for machines. After a failover the new leader finds its machines by the name of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone requested.
    pub zone: String,
    /// Spot instances were requested.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}
