//! Operators: list, inspect, explain, events, status. The client reads what the controller writes, so the types serve both.

use serde::{Deserialize, Serialize};

use super::HttpResponse;
use super::graphs::{DagRunName, DagRunQuery};
use super::users::{JobKind, PriorityClass};
use crate::ids::JobId;

/// Rows of a page unless asked for otherwise, and at most.
pub const DEFAULT_PAGE_SIZE: usize = 100;
pub const MAX_PAGE_SIZE: usize = 500;

/// What of the operators' interface is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    ListJobs(ListQuery),
    InspectJob {
        id: JobId,
        after: Option<u32>,
        limit: usize,
    },
    ExplainJob {
        id: JobId,
        task: Option<u32>,
    },
    JobEvents {
        id: JobId,
    },
    Status,
    Metrics,
    /// Runs of graphs.
    ListDagRuns(DagRunQuery),
    InspectDagRun {
        run: DagRunName,
        after: Option<u32>,
        limit: usize,
    },
}

/// Which jobs a list shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListQuery {
    pub after: Option<JobId>,
    pub limit: usize,
    pub team: Option<String>,
    pub class: Option<String>,
    pub state: Option<StateFilter>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateFilter {
    /// Pending or running.
    Active,
    /// Done or withdrawn.
    Terminal,
    Exactly(JobPhase),
}

impl StateFilter {
    pub fn parse(word: &str) -> Option<StateFilter> {
        Some(match word {
            "live" => StateFilter::Active,
            "ended" => StateFilter::Terminal,
            "pending" => StateFilter::Exactly(JobPhase::Pending),
            "running" => StateFilter::Exactly(JobPhase::Running),
            "done" => StateFilter::Exactly(JobPhase::Done),
            "withdrawn" => StateFilter::Exactly(JobPhase::Cancelled),
            _ => return None,
        })
    }

    pub fn matches(self, state: JobPhase) -> bool {
        match self {
            StateFilter::Active => !state.is_terminal(),
            StateFilter::Terminal => state.is_terminal(),
            StateFilter::Exactly(only) => only == state,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    Pending,
    Running,
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobPhase {
    pub fn is_terminal(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Cancelled)
    }

    /// As clients and logs write it.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Done => "done",
            JobPhase::Cancelled => "withdrawn",
        }
    }
}

/// One job of a list. What is not known is null. Times are the time of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    pub id: String,
    pub state: JobPhase,
    pub team: Option<String>,
    pub class: Option<String>,
    pub tasks: Option<u32>,
    pub done: Option<u32>,
    pub running: Option<u32>,
    pub accepted_ms: Option<u64>,
    pub first_start_ms: Option<u64>,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobList {
    #[serde(rename = "node")]
    pub controller: String,
    /// Everything up to this revision of the state service is in here.
    pub revision: u64,
    pub jobs: Vec<JobSummary>,
    /// The `after` of the next page; null at the end. A page may be short, or empty, before the end.
    pub next: Option<String>,
}

/// Who answered: the leader knows where tasks are, the records only where they may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerSource {
    Leader,
    #[serde(rename = "records")]
    Store,
}

/// A job's specification, as far as it decides anything.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpecView {
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority_class: PriorityClass,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(rename = "one_zone")]
    pub same_zone: bool,
    pub spread: bool,
    #[serde(rename = "spot")]
    pub spot_allowed: bool,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "due_ms")]
    pub deadline_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStateView {
    Waiting,
    /// Failed or refused; tried again later.
    RetryWait,
    /// On a machine's record: it may be there, what it does is not known.
    #[serde(rename = "placed")]
    Recorded,
    Starting,
    Fetching,
    #[serde(rename = "gathering")]
    WaitingForPeers,
    Running,
    #[serde(rename = "saving")]
    Checkpointing,
    Stopping,
}

impl TaskStateView {
    pub fn as_str(self) -> &'static str {
        match self {
            TaskStateView::Waiting => "waiting",
            TaskStateView::RetryWait => "retry_wait",
            TaskStateView::Recorded => "placed",
            TaskStateView::Starting => "starting",
            TaskStateView::Fetching => "fetching",
            TaskStateView::WaitingForPeers => "gathering",
            TaskStateView::Running => "running",
            TaskStateView::Checkpointing => "saving",
            TaskStateView::Stopping => "stopping",
        }
    }
}

/// A task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskSummary {
    pub task: u32,
    pub state: TaskStateView,
    pub attempt: Option<u64>,
    /// Where it is or may be: after a takeover that can be several places.
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    #[serde(rename = "node")]
    pub controller: String,
    pub source: AnswerSource,
    #[serde(rename = "row")]
    pub summary: JobSummary,
    /// Not kept once the job has ended.
    pub spec: Option<JobSpecView>,
    pub tasks: Vec<TaskSummary>,
    /// The `after` of the next page of tasks.
    pub next: Option<u32>,
}

/// Machines of one type, seen by a job that waits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineTypeCapacity {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub machines: u32,
    /// Free on the machine that has most.
    #[serde(rename = "most_free_cpus")]
    pub max_free_cpus: f64,
    #[serde(rename = "most_free_gpus")]
    pub max_free_gpus: f64,
    #[serde(rename = "most_free_memory_gb")]
    pub max_free_memory_gb: f64,
    /// Machines without room, and those that are closed (sick, slow, going back, silent), that failed the job before,
    /// or that its zone rules exclude now.
    #[serde(rename = "full")]
    pub without_capacity: u32,
    /// Not needed by the plan of the fleet: they take no queued tasks and run empty.
    #[serde(rename = "parked")]
    pub cordoned: u32,
    #[serde(rename = "closed")]
    pub unschedulable: u32,
    #[serde(rename = "failed_here")]
    pub excluded_after_failure: u32,
    #[serde(rename = "zone_rule")]
    pub excluded_by_zone: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobUsage {
    pub job: String,
    pub cpus: f64,
}

/// One sort of machine that is on its way, or refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceOfferView {
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    /// Refused offers rest so long.
    #[serde(rename = "rests_s")]
    pub backoff_s: Option<f64>,
}

/// Why a job is where it is: a closed list; docs/client.md has it with what would change each.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum StateReason {
    #[serde(rename = "ended")]
    Terminal {
        state: JobPhase,
    },
    /// All tasks are done, the end is being written.
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
        max_remaining_s: f64,
    },
    #[serde(rename = "gathering")]
    WaitingForPeers {
        tasks: u32,
    },
    RetryWait {
        tasks: u32,
        #[serde(rename = "next_s")]
        retry_in_s: f64,
        failed_on: Vec<String>,
    },
    /// A node of a graph that waits for others, or cannot know yet: how many it comes after, and the first open ones.
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
    /// As many runs of the graph as allowed are under way.
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
    #[serde(rename = "behind")]
    QueuedBehind {
        jobs: u32,
        tasks: u64,
        cpu_seconds: f64,
        #[serde(rename = "first")]
        first_jobs: Vec<String>,
    },
    #[serde(rename = "no_machine")]
    NoEligibleMachine {
        #[serde(rename = "needs_cpus")]
        requested_cpus: f64,
        #[serde(rename = "needs_gpus")]
        requested_gpus: f64,
        #[serde(rename = "needs_memory_gb")]
        requested_memory_gb: f64,
        /// Machines that are up, and why the job may not use them.
        machines: u32,
        #[serde(rename = "wrong_kind")]
        wrong_machine_type: u32,
        wrong_zone: u32,
        #[serde(rename = "wrong_spot")]
        spot_not_allowed: u32,
        too_small: u32,
    },
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
    HeldForGang {
        machines: u32,
        gangs: Vec<String>,
    },
    #[serde(rename = "gang_lacks")]
    GangInsufficientCapacity {
        #[serde(rename = "needs")]
        required: u32,
        #[serde(rename = "could_start")]
        schedulable: u32,
        zone: Option<String>,
    },
    #[serde(rename = "booking")]
    Provisioning {
        offers: Vec<InstanceOfferView>,
        booting: u32,
    },
    #[serde(rename = "cloud_refused")]
    CloudRejected {
        offers: Vec<InstanceOfferView>,
    },
    #[serde(rename = "due")]
    Schedulable {
        machines: u32,
    },
    #[serde(rename = "state_unreachable")]
    KvUnreachable {
        since_s: f64,
    },
    NoLeader {
        /// It holds the lead by the records, but this controller does not hear from it.
        #[serde(rename = "silent")]
        unreachable_leader: Option<String>,
    },
}

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

/// What the leader decided or saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEventKind {
    Accepted,
    /// Another node led before: what came earlier is unknown.
    #[serde(rename = "inherited")]
    Recovered,
    QueuedShared,
    QueuedDedicated,
    #[serde(rename = "queued_nowhere")]
    QueuedBacklog,
    Stolen,
    Spilled,
    Bound,
    Running,
    #[serde(rename = "halted_for_urgent")]
    StoppedForPreemption,
    #[serde(rename = "halted_for_drain")]
    StoppedForDrain,
    #[serde(rename = "halted_withdrawn")]
    StoppedForCancel,
    Done,
    Failed,
    #[serde(rename = "refused")]
    WorkerRejected,
    Stopped,
    GangLeft,
    #[serde(rename = "machine_gone")]
    MachineLost,
    #[serde(rename = "withdrawn")]
    Cancelled,
    JobDone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEvent {
    pub at_ms: u64,
    #[serde(rename = "event")]
    pub kind: JobEventKind,
    pub first_task: Option<u32>,
    /// Neighbours of one kind are merged.
    pub tasks: u32,
    pub machine: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEventList {
    #[serde(rename = "node")]
    pub controller: String,
    pub job: String,
    /// Events were dropped from the front, or another node led before.
    #[serde(rename = "earlier_unknown")]
    pub truncated: bool,
    pub events: Vec<JobEvent>,
}

/// One controller, for `olivelatchctl top` and `/metrics`.
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
    /// Since the last poll of the state service that was answered.
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
    /// Jobs by class and team; `told` is this controller's own, the rest is the same on all.
    #[serde(default)]
    #[serde(rename = "accounts")]
    pub job_counters: Vec<JobCountersView>,
    /// Of the leader alone.
    #[serde(rename = "work")]
    pub leader_status: Option<LeaderStatus>,
}

/// Jobs of a class that a team owns, by the records (docs/operations.md).
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct JobCountersView {
    pub team: String,
    pub class: String,
    pub accepted: u64,
    pub started: u64,
    pub done: u64,
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Users told of the end with `done` by this controller.
    #[serde(rename = "told")]
    pub completions_reported: u64,
}

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

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TeamStatus {
    pub team: String,
    pub used_cpus: f64,
    pub guaranteed_cpus: f64,
    pub limit_cpus: Option<f64>,
}

/// Names and values of a query; `Err` is the answer that says what is wrong.
pub(super) fn parse_query(query: &str) -> Result<Vec<(&str, &str)>, HttpResponse> {
    let split = |pair| str::split_once(pair, '=').ok_or(pair);
    let read: Result<Vec<_>, &str> = query.split('&').filter(|pair| !pair.is_empty()).map(split).collect();
    read.map_err(|pair| HttpResponse::error(400, &format!("expected name=value in the query, not {pair:?}")))
}

pub(super) fn invalid_parameter(name: &str, expected: &str, found: &str) -> HttpResponse {
    HttpResponse::error(400, &format!("{name}: expected {expected}, not {found:?}"))
}

pub(super) fn parse_limit(text: &str) -> Result<usize, HttpResponse> {
    let limit = text.parse().ok().filter(|limit| (1..=MAX_PAGE_SIZE).contains(limit));
    limit.ok_or_else(|| invalid_parameter("limit", &format!("1 to {MAX_PAGE_SIZE}"), text))
}

/// Reads what follows `/v1/`. None: no such path. `Err` is the final answer.
pub fn parse_operator_request(path: &str, query: &str) -> Option<Result<OperatorRequest, HttpResponse>> {
    let parts: Vec<&str> = path.split('/').collect();
    Some(match parts.as_slice() {
        ["status"] => Ok(OperatorRequest::Status),
        ["jobs"] => parse_list_query(query).map(OperatorRequest::ListJobs),
        ["jobs", id] => with_job_id(id, |id| parse_inspect(id, query)),
        ["jobs", id, "explain"] => with_job_id(id, |id| parse_explain(id, query)),
        ["jobs", id, "events"] => with_job_id(id, |id| Ok(OperatorRequest::JobEvents { id })),
        _ => return None,
    })
}

/// A name of another form was never accepted.
fn with_job_id(
    id: &str,
    build: impl Fn(JobId) -> Result<OperatorRequest, HttpResponse>,
) -> Result<OperatorRequest, HttpResponse> {
    build(JobId::parse(id).ok_or_else(|| HttpResponse::error(404, "no such job"))?)
}

fn parse_list_query(query: &str) -> Result<ListQuery, HttpResponse> {
    let mut list = ListQuery { limit: DEFAULT_PAGE_SIZE, ..ListQuery::default() };
    for (name, value) in parse_query(query)? {
        match name {
            "after" => {
                let id = JobId::parse(value)
                    .ok_or_else(|| invalid_parameter(name, "an id like job-000412", value))?;
                list.after = Some(id);
            }
            "limit" => list.limit = parse_limit(value)?,
            "team" => list.team = Some(value.into()),
            "class" => list.class = Some(value.into()),
            "state" => {
                let words = "live, ended, pending, running, done or withdrawn";
                list.state =
                    Some(StateFilter::parse(value).ok_or_else(|| invalid_parameter(name, words, value))?);
            }
            _ => return Err(invalid_parameter("query", "after, limit, team, class or state", name)),
        }
    }
    Ok(list)
}

fn parse_inspect(id: JobId, query: &str) -> Result<OperatorRequest, HttpResponse> {
    let (mut after, mut limit) = (None, DEFAULT_PAGE_SIZE);
    for (name, value) in parse_query(query)? {
        match name {
            "after" => {
                after = Some(value.parse().map_err(|_| invalid_parameter(name, "a task's number", value))?)
            }
            "limit" => limit = parse_limit(value)?,
            _ => return Err(invalid_parameter("query", "after or limit", name)),
        }
    }
    Ok(OperatorRequest::InspectJob { id, after, limit })
}

fn parse_explain(id: JobId, query: &str) -> Result<OperatorRequest, HttpResponse> {
    let mut task = None;
    for (name, value) in parse_query(query)? {
        match name {
            "task" => {
                task = Some(value.parse().map_err(|_| invalid_parameter(name, "a task's number", value))?)
            }
            _ => return Err(invalid_parameter("query", "task", name)),
        }
    }
    Ok(OperatorRequest::ExplainJob { id, task })
}

#[cfg(test)]
#[path = "tests/operators.rs"]
mod tests;
