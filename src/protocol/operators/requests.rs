//! Requests to the operators' interface, parsed from paths and queries.

use super::JobPhase;
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRunName, DagRunQuery};
use crate::protocol::query_params::{
    DEFAULT_PAGE_SIZE, invalid_parameter, parse_job_id, parse_limit, parse_page_query, parse_query,
    parse_value,
};

/// A read-only request to the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    ListJobs(ListQuery),
    /// Requests one job with a page of its unfinished tasks, starting after task `after`.
    InspectJob {
        id: JobId,
        after: Option<u32>,
        limit: usize,
    },
    /// Asks why a job, or one of its tasks, is in its current state.
    ExplainJob {
        id: JobId,
        task: Option<u32>,
    },
    JobEvents {
        id: JobId,
    },
    Status,
    Metrics,
    ListDagRuns(DagRunQuery),
    /// Requests one run with a page of its nodes, starting after node `after`.
    InspectDagRun {
        run: DagRunName,
        after: Option<u32>,
        limit: usize,
    },
}

/// A request for one page of a list of jobs. A filter that is None lets all jobs pass.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListQuery {
    /// The page starts after this job; None for the first page.
    pub after: Option<JobId>,
    /// Maximum number of jobs.
    pub limit: usize,
    pub team: Option<String>,
    pub class: Option<String>,
    pub state: Option<StateFilter>,
}

/// A filter of jobs by phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateFilter {
    /// Pending or running.
    Active,
    /// Done or cancelled.
    Terminal,
    Exactly(JobPhase),
}

impl StateFilter {
    /// The names that [`StateFilter::parse`] accepts, for error messages.
    const EXPECTED: &str = "live, ended, pending, running, done or withdrawn";

    /// Parses the `state` parameter of a request for a list.
    pub fn parse(name: &str) -> Option<StateFilter> {
        Some(match name {
            "live" => StateFilter::Active,
            "ended" => StateFilter::Terminal,
            "pending" => StateFilter::Exactly(JobPhase::Pending),
            "running" => StateFilter::Exactly(JobPhase::Running),
            "done" => StateFilter::Exactly(JobPhase::Done),
            "withdrawn" => StateFilter::Exactly(JobPhase::Cancelled),
            _ => return None,
        })
    }

    /// Returns whether the filter lets a job in this phase pass.
    pub fn matches(self, phase: JobPhase) -> bool {
        match self {
            StateFilter::Active => !phase.is_terminal(),
            StateFilter::Terminal => phase.is_terminal(),
            StateFilter::Exactly(only) => only == phase,
        }
    }
}

/// Parses a request from its query and the part of its path after `/v1/`. None if the operators' interface has no such
/// path.
///
/// # Errors
/// Returns the response to send if the path exists but the request is not valid.
pub fn parse_operator_request(path: &str, query: &str) -> Option<Result<OperatorRequest, HttpResponse>> {
    let segments: Vec<&str> = path.split('/').collect();
    Some(match segments.as_slice() {
        ["status"] => Ok(OperatorRequest::Status),
        ["jobs"] => parse_list_query(query).map(OperatorRequest::ListJobs),
        ["jobs", id] => parse_job_id(id).and_then(|id| parse_inspect(id, query)),
        ["jobs", id, "explain"] => parse_job_id(id).and_then(|id| parse_explain(id, query)),
        ["jobs", id, "events"] => parse_job_id(id).map(|id| OperatorRequest::JobEvents { id }),
        _ => return None,
    })
}

fn parse_list_query(query: &str) -> Result<ListQuery, HttpResponse> {
    let mut list = ListQuery { limit: DEFAULT_PAGE_SIZE, ..ListQuery::default() };
    for (name, value) in parse_query(query)? {
        match name {
            "after" => {
                let id = JobId::parse(value);
                list.after = Some(id.ok_or_else(|| invalid_parameter(name, "an id like job-000412", value))?);
            }
            "limit" => list.limit = parse_limit(value)?,
            "team" => list.team = Some(value.into()),
            "class" => list.class = Some(value.into()),
            "state" => {
                let filter = StateFilter::parse(value);
                list.state =
                    Some(filter.ok_or_else(|| invalid_parameter(name, StateFilter::EXPECTED, value))?);
            }
            _ => return Err(invalid_parameter("query", "after, limit, team, class or state", name)),
        }
    }
    Ok(list)
}

fn parse_inspect(id: JobId, query: &str) -> Result<OperatorRequest, HttpResponse> {
    let page = parse_page_query(query, DEFAULT_PAGE_SIZE, "a task's number")?;
    Ok(OperatorRequest::InspectJob { id, after: page.after, limit: page.limit })
}

fn parse_explain(id: JobId, query: &str) -> Result<OperatorRequest, HttpResponse> {
    let mut task = None;
    for (name, value) in parse_query(query)? {
        match name {
            "task" => task = Some(parse_value(name, "a task's number", value)?),
            _ => return Err(invalid_parameter("query", "task", name)),
        }
    }
    Ok(OperatorRequest::ExplainJob { id, task })
}

#[cfg(test)]
#[path = "tests/requests.rs"]
mod tests;
