//! Keys of the records in the key-value store.

use crate::ids::JobId;
use crate::protocol::graphs::DagRunName;

/// Common prefix of all keys of the cluster.
pub const KEY_PREFIX: &str = "olivelatch/";
/// Key of the leader record. The controller that holds it is the leader.
pub const LEADER_KEY: &str = "olivelatch/leader";
/// Key that commits and reruns of graphs, and replacements of uploaded parts, rewrite on the condition that it has not
/// changed, so that they are serialized. Users' writes are conditional on it too if graphs are or were enabled.
pub const GRAPH_ACCEPTANCE_KEY: &str = "olivelatch/graphs";

/// A parsed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordKey {
    /// The leader record.
    Leader,
    /// An accepted job.
    Job(JobId),
    /// The terminal state of a job.
    Terminal(JobId),
    /// The finished tasks in one block of a job.
    Finished(JobId, u32),
    /// The tasks that may run on one machine, in the format that the assignment log replaced. It is still read and
    /// deleted, but never written.
    LegacyMachine(String),
    /// A segment of the assignment log.
    AssignmentLog(String),
    /// A request to the cloud for machines.
    ProvisioningRequest(String),
    /// The description of a machine type.
    MachineType(String),
    /// The key that serializes acceptances of graph nodes; see [`GRAPH_ACCEPTANCE_KEY`].
    GraphAcceptance,
    /// An uploaded part of a run's graph.
    GraphPart(DagRunName, u32),
    /// The acceptance of a run.
    DagRun(DagRunName),
    /// The phase of a run.
    RunPhase(DagRunName),
    /// The failures of the tasks in one block of a job.
    RetryState(JobId, u32),
    /// A configuration entry of any kind.
    ConfigEntry(String),
}

impl RecordKey {
    /// Parses a key; returns None if it has no known form.
    pub fn parse(text: &str) -> Option<RecordKey> {
        let text = text.strip_prefix(KEY_PREFIX)?;
        if text == "leader" {
            return Some(RecordKey::Leader);
        }
        if text == "graphs" {
            return Some(RecordKey::GraphAcceptance);
        }
        let (category, name) = text.split_once('/')?;
        Some(match category {
            "job" => RecordKey::Job(JobId::parse(name)?),
            "end" => RecordKey::Terminal(JobId::parse(name)?),
            "fin" => {
                let (job, block) = parse_job_block(name)?;
                RecordKey::Finished(job, block)
            }
            "machine" => RecordKey::LegacyMachine(name.into()),
            "log" => RecordKey::AssignmentLog(name.into()),
            "booking" => RecordKey::ProvisioningRequest(name.into()),
            "kind" => RecordKey::MachineType(name.into()),
            "part" => {
                let (run, part) = name.split_once('/')?;
                RecordKey::GraphPart(DagRunName::parse(run)?, part.parse().ok()?)
            }
            "graph" => RecordKey::DagRun(DagRunName::parse(name)?),
            "turn" => RecordKey::RunPhase(DagRunName::parse(name)?),
            "tries" => {
                let (job, block) = parse_job_block(name)?;
                RecordKey::RetryState(job, block)
            }
            "config" => RecordKey::ConfigEntry(name.into()),
            _ => return None,
        })
    }

    /// Returns the key as text, which [`RecordKey::parse`] parses.
    pub fn encode(&self) -> String {
        match self {
            RecordKey::Leader => LEADER_KEY.into(),
            RecordKey::Job(id) => format!("{KEY_PREFIX}job/{id}"),
            RecordKey::Terminal(id) => format!("{KEY_PREFIX}end/{id}"),
            RecordKey::Finished(id, block) => format!("{KEY_PREFIX}fin/{id}/{block}"),
            RecordKey::LegacyMachine(name) => format!("{KEY_PREFIX}machine/{name}"),
            RecordKey::AssignmentLog(name) => format!("{KEY_PREFIX}log/{name}"),
            RecordKey::ProvisioningRequest(name) => format!("{KEY_PREFIX}booking/{name}"),
            RecordKey::MachineType(name) => format!("{KEY_PREFIX}kind/{name}"),
            RecordKey::GraphAcceptance => GRAPH_ACCEPTANCE_KEY.into(),
            RecordKey::GraphPart(run, part) => format!("{KEY_PREFIX}part/{run}/{part}"),
            RecordKey::DagRun(run) => format!("{KEY_PREFIX}graph/{run}"),
            RecordKey::RunPhase(run) => format!("{KEY_PREFIX}turn/{run}"),
            RecordKey::RetryState(job, block) => format!("{KEY_PREFIX}tries/{job}/{block}"),
            RecordKey::ConfigEntry(name) => format!("{KEY_PREFIX}config/{name}"),
        }
    }
}

fn parse_job_block(name: &str) -> Option<(JobId, u32)> {
    let (job, block) = name.split_once('/')?;
    Some((JobId::parse(job)?, block.parse().ok()?))
}
