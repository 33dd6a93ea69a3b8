//! The reasons why a job is in its current state.
//!
//! [`StateReason`] lists all possible reasons; docs/client.md explains each of them and what would change it.

use serde::{Deserialize, Serialize};

use super::JobPhase;

/// Machines of one type that a waiting job is allowed to use, counted by what keeps its tasks off them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineTypeCapacity {
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Number of machines of this type that the job is allowed to use.
    pub machines: u32,
    /// Free CPUs of the machine that has the most free CPUs.
    #[serde(rename = "most_free_cpus")]
    pub max_free_cpus: f64,
    /// Free GPUs of the same machine.
    #[serde(rename = "most_free_gpus")]
    pub max_free_gpus: f64,
    /// Free memory of the same machine, in GB.
    #[serde(rename = "most_free_memory_gb")]
    pub max_free_memory_gb: f64,
    /// Machines with too little free capacity.
    #[serde(rename = "full")]
    pub without_capacity: u32,
    /// Machines that take no queued tasks, because they are cordoned (the capacity plan does not need them) or reserved
    /// for gangs.
    #[serde(rename = "parked")]
    pub cordoned: u32,
    /// Machines that take no tasks, for example because they are quarantined, slow, unreachable or being given back.
    #[serde(rename = "closed")]
    pub unschedulable: u32,
    /// Machines on which a task of the job failed before.
    #[serde(rename = "failed_here")]
    pub excluded_after_failure: u32,
    /// Machines that the job's zone rules exclude, given where its other tasks are.
    #[serde(rename = "zone_rule")]
    pub excluded_by_zone: u32,
}

/// CPUs that one job uses of its team's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobUsage {
    pub job: String,
    pub cpus: f64,
}

/// Machines of one type in one zone that were requested from the cloud, or for which it had too little capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceOfferView {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Number of machines requested; 0 in [`StateReason::CloudRejected`].
    pub count: u32,
    /// Seconds until the offer may be requested again; null in [`StateReason::Provisioning`].
    #[serde(rename = "rests_s")]
    pub backoff_s: Option<f64>,
}

/// Why a job is in its current state. Most lists of names are limited to the first few.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum StateReason {
    #[serde(rename = "ended")]
    Terminal { state: JobPhase },
    /// All tasks in question are done, or the job's terminal record is being written.
    #[serde(rename = "recording")]
    PersistingResult,
    /// Tasks are running or saving a checkpoint.
    Running { tasks: u32 },
    /// Tasks are assigned to machines whose workers have not reported them as fetching or running yet.
    Starting { tasks: u32 },
    /// Tasks wait until their machines have fetched the image.
    ImageFetch {
        tasks: u32,
        image: String,
        image_gb: f64,
        /// Seconds for which the longest of these fetches has been in progress.
        #[serde(rename = "longest_s")]
        longest_fetch_s: f64,
    },
    /// Tasks of a gang are ready and wait for the others.
    #[serde(rename = "gathering")]
    WaitingForPeers { tasks: u32 },
    /// Tasks wait for the end of their backoff after a failure.
    RetryWait {
        tasks: u32,
        /// Seconds until the first of them is retried.
        #[serde(rename = "next_s")]
        retry_in_s: f64,
        /// Machines on which tasks of the job failed.
        failed_on: Vec<String>,
    },
    /// A node of a DAG waits for upstream nodes.
    #[serde(rename = "upstream")]
    WaitingForUpstream {
        run: String,
        #[serde(rename = "rule")]
        trigger_rule: String,
        /// Number of upstream nodes that are unfinished.
        #[serde(rename = "open")]
        unfinished: u32,
        /// The first of them, as `name (job id)`.
        #[serde(rename = "first")]
        first_unfinished: Vec<String>,
    },
    /// The run waits because the graph's limit of active runs is reached.
    #[serde(rename = "run_waits")]
    ActiveRunLimit {
        run: String,
        #[serde(rename = "most_runs")]
        max_active_runs: u32,
        /// Names of the graph's active runs.
        #[serde(rename = "before")]
        earlier_runs: Vec<String>,
    },
    /// The pool has too few free slots.
    PoolFull {
        pool: String,
        /// Slots in use.
        used: u32,
        /// Slots in total.
        slots: u32,
    },
    /// The team's limit keeps tasks from starting. A limit that is null is not set.
    TeamLimit {
        team: String,
        used_cpus: f64,
        limit_cpus: Option<f64>,
        used_gpus: f64,
        limit_gpus: Option<f64>,
        /// The jobs of the team that use the most CPUs, largest first.
        #[serde(rename = "by")]
        used_by: Vec<JobUsage>,
    },
    /// Jobs with a higher priority that may use the same machine types are placed first.
    #[serde(rename = "behind")]
    QueuedBehind {
        /// Number of these jobs.
        jobs: u32,
        /// Number of their waiting tasks.
        tasks: u64,
        /// Estimated CPU time that these tasks will use, in CPU seconds.
        cpu_seconds: f64,
        /// Ids of the jobs that are placed first.
        #[serde(rename = "first")]
        first_jobs: Vec<String>,
    },
    /// None of the current machines can ever run a task of the job. `requested_*` is what one task requests.
    #[serde(rename = "no_machine")]
    NoEligibleMachine {
        #[serde(rename = "needs_cpus")]
        requested_cpus: f64,
        #[serde(rename = "needs_gpus")]
        requested_gpus: f64,
        #[serde(rename = "needs_memory_gb")]
        requested_memory_gb: f64,
        /// Machines that are up or unreachable; the fields below count them by why the job cannot use them.
        machines: u32,
        /// Machines of a type that the job does not allow, and unavailable machines that it could not use even if they
        /// were available.
        #[serde(rename = "wrong_kind")]
        wrong_machine_type: u32,
        wrong_zone: u32,
        #[serde(rename = "wrong_spot")]
        spot_not_allowed: u32,
        /// Machines on which a task would not fit even if they were empty.
        too_small: u32,
    },
    /// Some machines are allowed to run the tasks, but too few of them can start one now. `requested_*` is what one
    /// task requests.
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
    /// Machines that could run a task are held for other jobs that place all their tasks at once.
    HeldForGang {
        /// Number of these machines.
        machines: u32,
        /// Ids of the jobs that they are held for.
        gangs: Vec<String>,
    },
    /// Only some of the tasks that have to start at the same time could start now.
    #[serde(rename = "gang_lacks")]
    GangInsufficientCapacity {
        /// Number of tasks that have to start at the same time.
        #[serde(rename = "needs")]
        required: u32,
        /// Number of these tasks that could start now.
        #[serde(rename = "could_start")]
        schedulable: u32,
        /// Zone in which that many could start; null if the tasks may run in several zones.
        zone: Option<String>,
    },
    /// Machines that the job may use were requested from the cloud or are booting.
    #[serde(rename = "booking")]
    Provisioning {
        offers: Vec<InstanceOfferView>,
        /// Number of machines that are booting.
        booting: u32,
    },
    /// The cloud had too little capacity for machines that the job may use; they are requested again after a backoff.
    #[serde(rename = "cloud_refused")]
    CloudRejected { offers: Vec<InstanceOfferView> },
    /// Machines can start tasks of the job now; the tasks are placed in one of the next scheduling rounds.
    #[serde(rename = "due")]
    Schedulable {
        /// Number of these machines.
        machines: u32,
    },
    /// The responding controller cannot reach the key-value store.
    #[serde(rename = "state_unreachable")]
    KvUnreachable {
        /// Seconds since its requests to the store began to fail.
        since_s: f64,
    },
    /// The responding controller got no response from a leader.
    NoLeader {
        /// The leader according to the stored records, if there is one, which does not reply to this controller.
        #[serde(rename = "silent")]
        unreachable_leader: Option<String>,
    },
}

/// Why one job, or one of its tasks, is in its current state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    /// Id of the job.
    pub job: String,
    /// Index of the task; null if the explanation concerns the whole job.
    pub task: Option<u32>,
    pub state: Option<JobPhase>,
    /// Number of tasks of the job.
    pub tasks: Option<u32>,
    /// Number of tasks done.
    pub done: Option<u32>,
    pub reasons: Vec<StateReason>,
}
