//! The state of one controller and of the leader's cluster, for `olivelatchctl top` and `/metrics`.

use serde::{Deserialize, Serialize};

/// The state of one controller.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ControllerStatus {
    #[serde(rename = "node")]
    pub controller: String,
    pub zone: String,
    /// Whether it accepts requests.
    pub ready: bool,
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The leader, if this controller knows it.
    pub leader: Option<String>,
    /// Revision of the key-value store up to which its cache is complete.
    pub revision: u64,
    /// Seconds since the last successful poll of the key-value store; null before the first.
    #[serde(rename = "mirror_age_s")]
    pub cache_age_s: Option<f64>,
    /// Whether the store responds to it.
    #[serde(rename = "state_reachable")]
    pub kv_reachable: bool,
    /// Jobs that are pending or running.
    #[serde(rename = "jobs_live")]
    pub jobs_active: u64,
    /// Jobs that are done or cancelled.
    #[serde(rename = "jobs_ended")]
    pub jobs_terminal: u64,
    /// Users' requests that wait for a response.
    #[serde(rename = "requests_held")]
    pub requests_pending: u64,
    /// How often it became the leader.
    #[serde(rename = "takeovers")]
    pub leaderships_started: u64,
    /// Seconds since it started.
    pub uptime_s: f64,
    /// Jobs by class and team. `completions_reported` is this controller's own count, the rest agrees on all.
    #[serde(default)]
    #[serde(rename = "accounts")]
    pub job_counters: Vec<JobCountersView>,
    /// Null on followers.
    #[serde(rename = "work")]
    pub leader_status: Option<LeaderStatus>,
}

/// Counts of the jobs of one class and team, from the stored records (docs/operations.md).
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct JobCountersView {
    pub team: String,
    pub class: String,
    pub accepted: u64,
    pub started: u64,
    pub done: u64,
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Jobs whose users received `done` from this controller.
    #[serde(rename = "told")]
    pub completions_reported: u64,
}

/// The cluster as the leader sees it; counters start with its leadership.
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
    /// CPUs of the tasks bound to these machines.
    pub cpus_used: f64,
    /// Tasks in shared queues.
    pub queued_shared: u64,
    /// Tasks in dedicated queues.
    pub queued_dedicated: u64,
    /// Tasks that no present machine may take.
    #[serde(rename = "queued_nowhere")]
    pub queued_backlog: u64,
    /// Gangs and services with tasks to place.
    pub gangs_waiting: u64,
    /// Tasks that may be on machines.
    #[serde(rename = "tasks_out")]
    pub tasks_placed: u64,
    /// Tasks bound to machines so far.
    #[serde(rename = "starts")]
    pub tasks_bound: u64,
    /// Steals that moved at least one task.
    pub steals: u64,
    /// Tasks taken from queues of other machines, by steals or because of their priority.
    pub stolen_tasks: u64,
    /// Tasks moved from dedicated to shared queues.
    pub spilled_tasks: u64,
    /// Tasks stopped to make room for others.
    pub preempted_tasks: u64,
    /// Machines lost with the tasks on them.
    pub machines_lost: u64,
    /// Mutations requested from the key-value store.
    #[serde(rename = "state_changes")]
    pub kv_mutations: u64,
    /// Segments of the assignment log in the store.
    #[serde(rename = "log_parts")]
    pub log_segments: u64,
    pub teams: Vec<TeamStatus>,
}

/// What a team uses and may use.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TeamStatus {
    pub team: String,
    pub used_cpus: f64,
    pub guaranteed_cpus: f64,
    pub limit_cpus: Option<f64>,
}
