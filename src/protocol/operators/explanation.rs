//! Why a job is in the state it is in.
//!
//! The reasons are a closed list; docs/client.md has them with what would change each.

use serde::{Deserialize, Serialize};

use super::JobPhase;

/// Machines of one type, as a waiting job sees them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineTypeCapacity {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub machines: u32,
    /// Largest free capacity of any one machine.
    #[serde(rename = "most_free_cpus")]
    pub max_free_cpus: f64,
    #[serde(rename = "most_free_gpus")]
    pub max_free_gpus: f64,
    #[serde(rename = "most_free_memory_gb")]
    pub max_free_memory_gb: f64,
    /// Machines with too little free capacity.
    #[serde(rename = "full")]
    pub without_capacity: u32,
    /// Machines that the provisioner no longer needs: they take no queued tasks and run empty.
    #[serde(rename = "parked")]
    pub cordoned: u32,
    /// Machines that take no tasks: quarantined, slow, being returned or unreachable.
    #[serde(rename = "closed")]
    pub unschedulable: u32,
    /// Machines on which the job failed before.
    #[serde(rename = "failed_here")]
    pub excluded_after_failure: u32,
    /// Machines that the job's zone rules exclude now.
    #[serde(rename = "zone_rule")]
    pub excluded_by_zone: u32,
}

/// CPUs that one job uses of its team's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobUsage {
    pub job: String,
    pub cpus: f64,
}

/// Machines of one type in one zone that were requested, or that the cloud rejected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceOfferView {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    /// Seconds until a rejected offer is requested again.
    #[serde(rename = "rests_s")]
    pub backoff_s: Option<f64>,
}

/// Why a job is in the state it is in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum StateReason {
    #[serde(rename = "ended")]
    Terminal {
        state: JobPhase,
    },
    /// All tasks are done; the terminal record is being written.
    #[serde(rename = "recording")]
    PersistingResult,
    Running {
        tasks: u32,
    },
    Starting {
        tasks: u32,
    },
    ImageFetch {
        tasks: u32,
        image: String,
        image_gb: f64,
        #[serde(rename = "longest_s")]
        longest_fetch_s: f64,
    },
    #[serde(rename = "gathering")]
    WaitingForPeers {
        tasks: u32,
    },
    /// Tasks that failed wait for their backoff.
    RetryWait {
        tasks: u32,
        #[serde(rename = "next_s")]
        retry_in_s: f64,
        failed_on: Vec<String>,
    },
    /// A node of a graph waits for others: how many of them are unfinished, and the first of these.
    #[serde(rename = "upstream")]
    WaitingForUpstream {
        run: String,
        #[serde(rename = "rule")]
        trigger_rule: String,
        #[serde(rename = "open")]
        unfinished: u32,
        #[serde(rename = "first")]
        first_unfinished: Vec<String>,
    },
    /// As many runs of the graph as allowed are active.
    #[serde(rename = "run_waits")]
    ActiveRunLimit {
        run: String,
        #[serde(rename = "most_runs")]
        max_active_runs: u32,
        #[serde(rename = "before")]
        earlier_runs: Vec<String>,
    },
    PoolFull {
        pool: String,
        used: u32,
        slots: u32,
    },
    TeamLimit {
        team: String,
        used_cpus: f64,
        limit_cpus: Option<f64>,
        used_gpus: f64,
        limit_gpus: Option<f64>,
        #[serde(rename = "by")]
        used_by: Vec<JobUsage>,
    },
    /// Jobs with more priority are placed first.
    #[serde(rename = "behind")]
    QueuedBehind {
        jobs: u32,
        tasks: u64,
        cpu_seconds: f64,
        #[serde(rename = "first")]
        first_jobs: Vec<String>,
    },
    /// No machine that is up may ever take a task.
    #[serde(rename = "no_machine")]
    NoEligibleMachine {
        #[serde(rename = "needs_cpus")]
        requested_cpus: f64,
        #[serde(rename = "needs_gpus")]
        requested_gpus: f64,
        #[serde(rename = "needs_memory_gb")]
        requested_memory_gb: f64,
        /// Machines that are up; the fields below count them by why the job may not use them.
        machines: u32,
        #[serde(rename = "wrong_kind")]
        wrong_machine_type: u32,
        wrong_zone: u32,
        #[serde(rename = "wrong_spot")]
        spot_not_allowed: u32,
        too_small: u32,
    },
    /// Machines may take a task, but none has the capacity free.
    #[serde(rename = "no_room")]
    InsufficientCapacity {
        #[serde(rename = "needs_cpus")]
        requested_cpus: f64,
        #[serde(rename = "needs_gpus")]
        requested_gpus: f64,
        #[serde(rename = "needs_memory_gb")]
        requested_memory_gb: f64,
        #[serde(rename = "kinds")]
        machine_types: Vec<MachineTypeCapacity>,
    },
    /// The machines are reserved for gangs.
    HeldForGang {
        machines: u32,
        gangs: Vec<String>,
    },
    /// Only some of a gang's tasks could start at the same time.
    #[serde(rename = "gang_lacks")]
    GangInsufficientCapacity {
        #[serde(rename = "needs")]
        required: u32,
        #[serde(rename = "could_start")]
        schedulable: u32,
        zone: Option<String>,
    },
    /// Machines were requested from the cloud or are booting.
    #[serde(rename = "booking")]
    Provisioning {
        offers: Vec<InstanceOfferView>,
        booting: u32,
    },
    #[serde(rename = "cloud_refused")]
    CloudRejected {
        offers: Vec<InstanceOfferView>,
    },
    /// Nothing is in the way: it is placed in one of the next rounds.
    #[serde(rename = "due")]
    Schedulable {
        machines: u32,
    },
    #[serde(rename = "state_unreachable")]
    KvUnreachable {
        since_s: f64,
    },
    NoLeader {
        /// The leader by the stored records, which does not reply to this controller.
        #[serde(rename = "silent")]
        unreachable_leader: Option<String>,
    },
}

/// The reasons of one job, or of one of its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    #[serde(rename = "node")]
    pub controller: String,
    pub job: String,
    pub task: Option<u32>,
    pub state: Option<JobPhase>,
    pub tasks: Option<u32>,
    pub done: Option<u32>,
    pub reasons: Vec<StateReason>,
}
