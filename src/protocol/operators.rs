//! Operators: list, inspect, explain, events, status. The client reads what the controller writes, so the types serve both.

use serde::{Deserialize, Serialize};

use super::Answer;
use super::graphs::{RunName, RunQuery};
use super::users::{Shape, Urgency};
use crate::ids::JobId;

/// Rows of a page unless asked for otherwise, and at most.
pub const PAGE: usize = 100;
pub const LARGEST_PAGE: usize = 500;

/// What of the operators' interface is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    List(ListQuery),
    Inspect {
        id: JobId,
        after: Option<u32>,
        limit: usize,
    },
    Explain {
        id: JobId,
        task: Option<u32>,
    },
    Events {
        id: JobId,
    },
    Status,
    Metrics,
    /// Runs of graphs.
    Runs(RunQuery),
    Run {
        run: RunName,
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
    Live,
    /// Done or withdrawn.
    Ended,
    Only(JobState),
}

impl StateFilter {
    pub fn parse(word: &str) -> Option<StateFilter> {
        Some(match word {
            "live" => StateFilter::Live,
            "ended" => StateFilter::Ended,
            "pending" => StateFilter::Only(JobState::Pending),
            "running" => StateFilter::Only(JobState::Running),
            "done" => StateFilter::Only(JobState::Done),
            "withdrawn" => StateFilter::Only(JobState::Withdrawn),
            _ => return None,
        })
    }

    pub fn takes(self, state: JobState) -> bool {
        match self {
            StateFilter::Live => !state.ended(),
            StateFilter::Ended => state.ended(),
            StateFilter::Only(only) => only == state,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    Pending,
    Running,
    Done,
    Withdrawn,
}

impl JobState {
    pub fn ended(self) -> bool {
        matches!(self, JobState::Done | JobState::Withdrawn)
    }

    /// As clients and logs write it.
    pub fn word(self) -> &'static str {
        match self {
            JobState::Pending => "pending",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Withdrawn => "withdrawn",
        }
    }
}

/// One job of a list. What is not known is null. Times are the time of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    pub id: String,
    pub state: JobState,
    pub team: Option<String>,
    pub class: Option<String>,
    pub tasks: Option<u32>,
    pub done: Option<u32>,
    pub running: Option<u32>,
    pub accepted_ms: Option<u64>,
    pub first_start_ms: Option<u64>,
    pub ended_ms: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobList {
    pub node: String,
    /// Everything up to this revision of the state service is in here.
    pub revision: u64,
    pub jobs: Vec<JobRow>,
    /// The `after` of the next page; null at the end. A page may be short, or empty, before the end.
    pub next: Option<String>,
}

/// Who answered: the leader knows where tasks are, the records only where they may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    Leader,
    Records,
}

/// A job's specification, as far as it decides anything.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpecView {
    pub shape: Shape,
    pub urgency: Urgency,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub kinds: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: String,
    pub image_gb: f64,
    pub guess_s: f64,
    pub checkpoint_s: f64,
    pub due_ms: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskWord {
    Waiting,
    /// Failed or refused; tried again later.
    RetryWait,
    /// On a machine's record: it may be there, what it does is not known.
    Placed,
    Starting,
    Fetching,
    Gathering,
    Running,
    Saving,
    Stopping,
}

impl TaskWord {
    pub fn word(self) -> &'static str {
        match self {
            TaskWord::Waiting => "waiting",
            TaskWord::RetryWait => "retry_wait",
            TaskWord::Placed => "placed",
            TaskWord::Starting => "starting",
            TaskWord::Fetching => "fetching",
            TaskWord::Gathering => "gathering",
            TaskWord::Running => "running",
            TaskWord::Saving => "saving",
            TaskWord::Stopping => "stopping",
        }
    }
}

/// A task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRow {
    pub task: u32,
    pub state: TaskWord,
    pub attempt: Option<u64>,
    /// Where it is or may be: after a takeover that can be several places.
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    pub node: String,
    pub source: Source,
    pub row: JobRow,
    /// Not kept once the job has ended.
    pub spec: Option<SpecView>,
    pub tasks: Vec<TaskRow>,
    /// The `after` of the next page of tasks.
    pub next: Option<u32>,
}

/// Machines of one type, seen by a job that waits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct KindRoom {
    pub kind: String,
    pub machines: u32,
    /// Free on the machine that has most.
    pub most_free_cpus: f64,
    pub most_free_gpus: f64,
    pub most_free_memory_gb: f64,
    /// Machines without room, and those that are closed (sick, slow, going back, silent), that failed the job before,
    /// or that its zone rules exclude now.
    pub full: u32,
    /// Not needed by the plan of the fleet: they take no queued tasks and run empty.
    pub parked: u32,
    pub closed: u32,
    pub failed_here: u32,
    pub zone_rule: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobShare {
    pub job: String,
    pub cpus: f64,
}

/// One sort of machine that is on its way, or refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OfferView {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    /// Refused offers rest so long.
    pub rests_s: Option<f64>,
}

/// Why a job is where it is: a closed list; docs/client.md has it with what would change each.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    Ended {
        state: JobState,
    },
    /// All tasks are done, the end is being written.
    Recording,
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
        longest_s: f64,
    },
    Gathering {
        tasks: u32,
    },
    RetryWait {
        tasks: u32,
        next_s: f64,
        failed_on: Vec<String>,
    },
    /// A node of a graph that waits for others, or cannot know yet: how many it comes after, and the first open ones.
    Upstream {
        run: String,
        rule: String,
        open: u32,
        first: Vec<String>,
    },
    /// As many runs of the graph as allowed are under way.
    RunWaits {
        run: String,
        most_runs: u32,
        before: Vec<String>,
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
        by: Vec<JobShare>,
    },
    Behind {
        jobs: u32,
        tasks: u64,
        cpu_seconds: f64,
        first: Vec<String>,
    },
    NoMachine {
        needs_cpus: f64,
        needs_gpus: f64,
        needs_memory_gb: f64,
        /// Machines that are up, and why the job may not use them.
        machines: u32,
        wrong_kind: u32,
        wrong_zone: u32,
        wrong_spot: u32,
        too_small: u32,
    },
    NoRoom {
        needs_cpus: f64,
        needs_gpus: f64,
        needs_memory_gb: f64,
        kinds: Vec<KindRoom>,
    },
    HeldForGang {
        machines: u32,
        gangs: Vec<String>,
    },
    GangLacks {
        needs: u32,
        could_start: u32,
        zone: Option<String>,
    },
    Booking {
        offers: Vec<OfferView>,
        booting: u32,
    },
    CloudRefused {
        offers: Vec<OfferView>,
    },
    Due {
        machines: u32,
    },
    StateUnreachable {
        since_s: f64,
    },
    NoLeader {
        /// It holds the lead by the records, but this controller does not hear from it.
        silent: Option<String>,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    pub node: String,
    pub job: String,
    pub task: Option<u32>,
    pub state: Option<JobState>,
    pub tasks: Option<u32>,
    pub done: Option<u32>,
    pub reasons: Vec<Reason>,
}

/// What the leader decided or saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventWord {
    Accepted,
    /// Another node led before: what came earlier is unknown.
    Inherited,
    QueuedShared,
    QueuedDedicated,
    QueuedNowhere,
    Stolen,
    Spilled,
    Bound,
    Running,
    HaltedForUrgent,
    HaltedForDrain,
    HaltedWithdrawn,
    Done,
    Failed,
    Refused,
    Stopped,
    GangLeft,
    MachineGone,
    Withdrawn,
    JobDone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventRow {
    pub at_ms: u64,
    pub event: EventWord,
    pub first_task: Option<u32>,
    /// Neighbours of one kind are merged.
    pub tasks: u32,
    pub machine: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventList {
    pub node: String,
    pub job: String,
    /// Events were dropped from the front, or another node led before.
    pub earlier_unknown: bool,
    pub events: Vec<EventRow>,
}

/// One controller, for `latch top` and `/metrics`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    pub node: String,
    pub zone: String,
    pub ready: bool,
    pub leads: bool,
    pub leader: Option<String>,
    pub revision: u64,
    /// Since the last poll of the state service that was answered.
    pub mirror_age_s: Option<f64>,
    pub state_reachable: bool,
    pub jobs_live: u64,
    pub jobs_ended: u64,
    pub requests_held: u64,
    pub takeovers: u64,
    pub uptime_s: f64,
    /// Jobs by class and team; `told` is this controller's own, the rest is the same on all.
    #[serde(default)]
    pub accounts: Vec<AccountView>,
    /// Of the leader alone.
    pub work: Option<LeaderStatus>,
}

/// Jobs of a class that a team owns, by the records (docs/operations.md).
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AccountView {
    pub team: String,
    pub class: String,
    pub accepted: u64,
    pub started: u64,
    pub done: u64,
    pub withdrawn: u64,
    /// Users told of the end with `done` by this controller.
    pub told: u64,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LeaderStatus {
    pub machines_up: u64,
    pub machines_booting: u64,
    pub machines_silent: u64,
    pub cpus: f64,
    pub cpus_used: f64,
    pub queued_shared: u64,
    pub queued_dedicated: u64,
    pub queued_nowhere: u64,
    pub gangs_waiting: u64,
    pub tasks_out: u64,
    pub starts: u64,
    pub steals: u64,
    pub stolen_tasks: u64,
    pub spilled_tasks: u64,
    pub preempted_tasks: u64,
    pub machines_lost: u64,
    pub state_changes: u64,
    pub log_parts: u64,
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
pub(super) fn pairs(query: &str) -> Result<Vec<(&str, &str)>, Answer> {
    let split = |pair| str::split_once(pair, '=').ok_or(pair);
    let read: Result<Vec<_>, &str> = query.split('&').filter(|pair| !pair.is_empty()).map(split).collect();
    read.map_err(|pair| Answer::error(400, &format!("expected name=value in the query, not {pair:?}")))
}

pub(super) fn wrong(name: &str, expected: &str, found: &str) -> Answer {
    Answer::error(400, &format!("{name}: expected {expected}, not {found:?}"))
}

pub(super) fn read_limit(text: &str) -> Result<usize, Answer> {
    let limit = text.parse().ok().filter(|limit| (1..=LARGEST_PAGE).contains(limit));
    limit.ok_or_else(|| wrong("limit", &format!("1 to {LARGEST_PAGE}"), text))
}

/// Reads what follows `/v1/`. None: no such path. `Err` is the final answer.
pub fn read_operator(path: &str, query: &str) -> Option<Result<OperatorRequest, Answer>> {
    let parts: Vec<&str> = path.split('/').collect();
    Some(match parts.as_slice() {
        ["status"] => Ok(OperatorRequest::Status),
        ["jobs"] => read_list(query).map(OperatorRequest::List),
        ["jobs", id] => by_id(id, |id| read_inspect(id, query)),
        ["jobs", id, "explain"] => by_id(id, |id| read_explain(id, query)),
        ["jobs", id, "events"] => by_id(id, |id| Ok(OperatorRequest::Events { id })),
        _ => return None,
    })
}

/// A name of another form was never accepted.
fn by_id(
    id: &str,
    make: impl Fn(JobId) -> Result<OperatorRequest, Answer>,
) -> Result<OperatorRequest, Answer> {
    make(JobId::parse(id).ok_or_else(|| Answer::error(404, "no such job"))?)
}

fn read_list(query: &str) -> Result<ListQuery, Answer> {
    let mut list = ListQuery { limit: PAGE, ..ListQuery::default() };
    for (name, value) in pairs(query)? {
        match name {
            "after" => {
                let id = JobId::parse(value).ok_or_else(|| wrong(name, "an id like job-000412", value))?;
                list.after = Some(id);
            }
            "limit" => list.limit = read_limit(value)?,
            "team" => list.team = Some(value.into()),
            "class" => list.class = Some(value.into()),
            "state" => {
                let words = "live, ended, pending, running, done or withdrawn";
                list.state = Some(StateFilter::parse(value).ok_or_else(|| wrong(name, words, value))?);
            }
            _ => return Err(wrong("query", "after, limit, team, class or state", name)),
        }
    }
    Ok(list)
}

fn read_inspect(id: JobId, query: &str) -> Result<OperatorRequest, Answer> {
    let (mut after, mut limit) = (None, PAGE);
    for (name, value) in pairs(query)? {
        match name {
            "after" => after = Some(value.parse().map_err(|_| wrong(name, "a task's number", value))?),
            "limit" => limit = read_limit(value)?,
            _ => return Err(wrong("query", "after or limit", name)),
        }
    }
    Ok(OperatorRequest::Inspect { id, after, limit })
}

fn read_explain(id: JobId, query: &str) -> Result<OperatorRequest, Answer> {
    let mut task = None;
    for (name, value) in pairs(query)? {
        match name {
            "task" => task = Some(value.parse().map_err(|_| wrong(name, "a task's number", value))?),
            _ => return Err(wrong("query", "task", name)),
        }
    }
    Ok(OperatorRequest::Explain { id, task })
}

#[cfg(test)]
#[path = "tests/operators.rs"]
mod tests;
