//! The status of one controller, and of the cluster if it is the leader, for `olivelatchctl top` and `/metrics`.

use serde::{Deserialize, Serialize};

/// The status of one controller.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ControllerStatus {
    #[serde(rename = "node")]
    pub controller: String,
    pub zone: String,
    /// Whether the controller accepts requests.
    pub ready: bool,
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Name of the leader; null if this controller does not know it.
    pub leader: Option<String>,
    /// Revision of the key-value store up to which the controller's cache is complete.
    pub revision: u64,
    /// Seconds since the last successful poll of the key-value store; null before the first.
    #[serde(rename = "mirror_age_s")]
    pub cache_age_s: Option<f64>,
    /// Whether the controller has loaded the stored records and can reach the key-value store.
    #[serde(rename = "state_reachable")]
    pub kv_reachable: bool,
    /// Jobs that are pending or running.
    #[serde(rename = "jobs_live")]
    pub jobs_active: u64,
    /// Jobs that are done or cancelled.
    #[serde(rename = "jobs_ended")]
    pub jobs_terminal: u64,
    /// Users' requests that wait for a response and have no write to the key-value store in flight.
    #[serde(rename = "requests_held")]
    pub requests_pending: u64,
    /// How often the controller became the leader since it started.
    #[serde(rename = "takeovers")]
    pub leaderships_started: u64,
    /// Seconds since the controller started.
    pub uptime_s: f64,
    /// Jobs by class and team. `completions_reported` counts this controller's responses only; the other counts are the
    /// same on all controllers.
    #[serde(default)]
    #[serde(rename = "accounts")]
    pub job_counters: Vec<JobCountersView>,
    /// Null on followers.
    #[serde(rename = "work")]
    pub leader_status: Option<LeaderStatus>,
}

/// Numbers of jobs of one class and team, derived from the stored records (docs/operations.md).
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct JobCountersView {
    pub team: String,
    pub class: String,
    pub accepted: u64,
    /// Jobs of which at least one task ran or may have run.
    pub started: u64,
    pub done: u64,
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Jobs whose users received the status `done` from this controller.
    #[serde(rename = "told")]
    pub completions_reported: u64,
}

/// The cluster as the leader sees it. Counters start at 0 when it becomes the leader.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Machines whose workers send heartbeats.
    pub machines_up: u64,
    /// Machines that were provisioned and have sent no heartbeat yet.
    pub machines_booting: u64,
    /// Machines whose lease has expired.
    #[serde(rename = "machines_silent")]
    pub machines_unreachable: u64,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs of the tasks that are bound to machines that are up.
    pub cpus_used: f64,
    /// Tasks in shared queues.
    pub queued_shared: u64,
    /// Tasks in dedicated queues.
    pub queued_dedicated: u64,
    /// Tasks that no current machine may run.
    #[serde(rename = "queued_nowhere")]
    pub queued_backlog: u64,
    /// Gangs and services that have tasks to place.
    pub gangs_waiting: u64,
    /// Tasks that are placed on machines, or may still be there.
    #[serde(rename = "tasks_out")]
    pub tasks_placed: u64,
    /// Counter of tasks bound to machines.
    #[serde(rename = "starts")]
    pub tasks_bound: u64,
    /// Counter of steals that moved at least one task.
    pub steals: u64,
    /// Counter of tasks taken from the queues of other machines, by steals or because of their priority.
    pub stolen_tasks: u64,
    /// Counter of tasks moved from dedicated to shared queues.
    pub spilled_tasks: u64,
    /// Counter of tasks preempted to free capacity for other tasks.
    pub preempted_tasks: u64,
    /// Counter of machines lost with the tasks on them.
    pub machines_lost: u64,
    /// Counter of tasks that workers reported although the leader had not placed them there.
    #[serde(default)]
    pub orphan_tasks: u64,
    /// Counter of heartbeats that were copies of earlier ones.
    #[serde(default)]
    pub duplicate_heartbeats: u64,
    /// Counter of tasks that were stopped because a newer attempt was placed on another machine.
    #[serde(default)]
    pub superseded_attempts: u64,
    /// Counter of increases of the fencing token of a machine's messages.
    #[serde(default)]
    pub tokens_raised: u64,
    /// Counter of responses without commands to forget, because the token could not be raised yet.
    #[serde(default)]
    pub forgets_deferred: u64,
    /// Highest number of tasks in one heartbeat, those that have exited included.
    #[serde(default)]
    pub max_tasks_per_heartbeat: u64,
    /// Counter of mutations sent to the key-value store.
    #[serde(rename = "state_changes")]
    pub kv_mutations: u64,
    /// Current number of segments of the assignment log in the store.
    #[serde(rename = "log_parts")]
    pub log_segments: u64,
    pub teams: Vec<TeamStatus>,
}

/// The CPUs that a team uses, its guarantee and its limit; a limit that is null is not set.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TeamStatus {
    pub team: String,
    pub used_cpus: f64,
    pub guaranteed_cpus: f64,
    pub limit_cpus: Option<f64>,
}
