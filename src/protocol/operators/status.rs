//! The state of one controller and of the leader's cluster, for `olivelatchctl top` and `/metrics`.

use serde::{Deserialize, Serialize};

/// The state of one controller.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ControllerStatus {
    #[serde(rename = "node")]
    pub controller: String,
    pub zone: String,
    pub ready: bool,
    #[serde(rename = "leads")]
    pub is_leader: bool,
    pub leader: Option<String>,
    pub revision: u64,
    /// Seconds since the last successful poll of the key-value store; null before the first.
    #[serde(rename = "mirror_age_s")]
    pub cache_age_s: Option<f64>,
    #[serde(rename = "state_reachable")]
    pub kv_reachable: bool,
    #[serde(rename = "jobs_live")]
    pub jobs_active: u64,
    #[serde(rename = "jobs_ended")]
    pub jobs_terminal: u64,
    #[serde(rename = "requests_held")]
    pub requests_pending: u64,
    #[serde(rename = "takeovers")]
    pub failovers: u64,
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
    pub machines_up: u64,
    pub machines_booting: u64,
    #[serde(rename = "machines_silent")]
    pub machines_unreachable: u64,
    pub cpus: f64,
    pub cpus_used: f64,
    pub queued_shared: u64,
    pub queued_dedicated: u64,
    #[serde(rename = "queued_nowhere")]
    pub queued_backlog: u64,
    pub gangs_waiting: u64,
    #[serde(rename = "tasks_out")]
    pub tasks_placed: u64,
    #[serde(rename = "starts")]
    pub tasks_bound: u64,
    pub steals: u64,
    pub stolen_tasks: u64,
    pub spilled_tasks: u64,
    pub preempted_tasks: u64,
    pub machines_lost: u64,
    #[serde(rename = "state_changes")]
    pub kv_mutations: u64,
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
