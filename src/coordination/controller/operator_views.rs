//! Operators' views of jobs and of this controller: rendered from the records, and from the leader's state
//! while this controller leads.

use super::Controller;
use super::job_counters::job_counter_views;
use crate::bookkeeping::job_listing::{job_page, job_row, spec_view};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::unavailable::Unavailable;
use crate::ids::{JobId, from_milli};
use crate::protocol::HttpResponse;
use crate::protocol::operators::{
    ControllerStatus, Explanation, JobDetail, JobEventList, JobList, JobPhase, ListQuery, OperatorRequest,
    ResponseSource, StateReason, TaskStateView, TaskSummary,
};
use crate::protocol::peer::MAX_FRAME_BYTES;

/// Allowance for the frame around a response that is sent to another controller, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 1024;

impl Controller {
    /// Returns the status of this controller as shown to operators.
    pub fn status(&self, clock: Clock) -> ControllerStatus {
        let state = &self.state;
        let (jobs_active, jobs_terminal) = state.cache.live_and_terminal_counts();
        let age_s = |since| from_milli(clock.now.saturating_since(since));
        ControllerStatus {
            controller: state.settings.controller.clone(),
            zone: state.settings.zone.clone(),
            ready: self.is_ready(),
            is_leader: state.is_leader(),
            leader: state.known_leader().map(str::to_string),
            revision: state.cache.revision.0,
            cache_age_s: self.kv_client.fresh_as_of.map(age_s),
            kv_reachable: self.kv_client.loaded && self.kv_client.is_reachable(clock.now),
            jobs_active: jobs_active as u64,
            jobs_terminal: jobs_terminal as u64,
            requests_pending: self.user_requests.pending_count() as u64,
            leaderships_started: self.leaderships_started,
            uptime_s: age_s(self.started_at),
            job_counters: job_counter_views(&state.cache),
            leader_status: state.leader.as_ref().map(|leader| leader.leader_status(&state.cache.names)),
        }
    }

    /// Answers a query from the current state of the cache.
    pub(super) fn operator_response(&self, clock: Clock, request: &OperatorRequest) -> HttpResponse {
        let response = match request {
            OperatorRequest::ListJobs(query) => self.job_list_response(query),
            OperatorRequest::InspectJob { id, after, limit } => self.job_detail_response(*id, *after, *limit),
            OperatorRequest::ExplainJob { id, task } => self.explain_response(clock, *id, *task),
            OperatorRequest::JobEvents { id } => self.events_response(*id),
            OperatorRequest::ListDagRuns(query) => self.dag_run_list_response(query),
            OperatorRequest::InspectDagRun { run, after, limit } => {
                self.dag_run_detail_response(run, *after, *limit)
            }
            OperatorRequest::Status | OperatorRequest::Metrics => {
                HttpResponse::json(200, &self.status(clock))
            }
        };
        if response.body.len() + FRAME_OVERHEAD_BYTES > MAX_FRAME_BYTES {
            return HttpResponse::error(400, "the response is too large: request a smaller limit");
        }
        response
    }

    /// Returns the response while the store does not answer this controller. Whether a job exists is unknown
    /// then.
    pub(super) fn kv_unreachable_response(&self, clock: Clock, request: &OperatorRequest) -> HttpResponse {
        let OperatorRequest::ExplainJob { id, task } = request else {
            return Unavailable::KvUnreachable.into();
        };
        let since_ms = self.kv_client.failing_since.map_or(0, |since| clock.now.saturating_since(since));
        let reason = StateReason::KvUnreachable { since_s: from_milli(since_ms) };
        HttpResponse::json(200, &self.explanation(*id, *task, vec![reason]))
    }

    fn job_list_response(&self, query: &ListQuery) -> HttpResponse {
        let (jobs, next) = job_page(&self.state.cache, query, &self.state.running_task_counts());
        let list = JobList {
            controller: self.state.settings.controller.clone(),
            revision: self.state.cache.revision.0,
            jobs,
            next: next.map(|id| id.to_string()),
        };
        HttpResponse::json(200, &list)
    }

    fn job_detail_response(&self, id: JobId, after: Option<u32>, limit: usize) -> HttpResponse {
        let cache = &self.state.cache;
        let Some(mut summary) = job_row(cache, id, &|id| self.state.running_task_count(id)) else {
            return HttpResponse::error(404, "no such job");
        };
        let live_job = cache.find_job(id).filter(|_| !summary.state.is_terminal());
        let known_to_leader = self.state.leader.as_ref().zip(cache.find(id));
        let (tasks, next) = match (live_job, known_to_leader) {
            (None, _) => (Vec::new(), None),
            (Some(_), Some((leader, ix))) => leader.task_rows(ix, after, limit),
            (Some(_), None) => recorded_task_rows(cache, id, after, limit),
        };
        if let Some(job) = known_to_leader.and_then(|(leader, ix)| leader.workload.jobs.get(&ix)) {
            summary.first_start_ms = job.first_run.wall_ms();
        }
        let detail = JobDetail {
            controller: self.state.settings.controller.clone(),
            source: if self.state.is_leader() { ResponseSource::Leader } else { ResponseSource::Store },
            summary,
            spec: live_job.map(|job| spec_view(cache, job)),
            tasks,
            next,
        };
        HttpResponse::json(200, &detail)
    }

    fn explain_response(&self, clock: Clock, id: JobId, task: Option<u32>) -> HttpResponse {
        let Some(reasons) = self.state_reasons(clock, id, task) else {
            return HttpResponse::error(404, "no such job");
        };
        let tasks = self.state.cache.find_job(id).map(|job| job.spec.tasks);
        if let (Some(task), Some(tasks)) = (task, tasks)
            && task >= tasks
        {
            return HttpResponse::error(404, &format!("the job has tasks 0 to {}", tasks - 1));
        }
        HttpResponse::json(200, &self.explanation(id, task, reasons))
    }

    /// Returns why a job or one of its tasks is in its current state, or `None` if there is no such job.
    fn state_reasons(&self, clock: Clock, id: JobId, task: Option<u32>) -> Option<Vec<StateReason>> {
        let cache = &self.state.cache;
        if cache.terminal_state(id).is_some() {
            let state = job_row(cache, id, &|_| 0).map_or(JobPhase::Done, |row| row.state);
            return Some(vec![StateReason::Terminal { state }]);
        }
        let Some(ix) = cache.find(id) else {
            return self.waiting_node_reason(id).map(|reason| vec![reason]);
        };
        if let Some(leader) = &self.state.leader {
            return Some(leader.explain(ix, task, &cache.names, clock));
        }
        let own = self.state.settings.controller.as_str();
        let unreachable_leader = self.state.known_leader().filter(|leader| *leader != own);
        Some(vec![StateReason::NoLeader { unreachable_leader: unreachable_leader.map(str::to_string) }])
    }

    fn explanation(&self, id: JobId, task: Option<u32>, reasons: Vec<StateReason>) -> Explanation {
        let row = job_row(&self.state.cache, id, &|id| self.state.running_task_count(id));
        Explanation {
            controller: self.state.settings.controller.clone(),
            job: id.to_string(),
            task,
            state: row.as_ref().map(|row| row.state),
            tasks: row.as_ref().and_then(|row| row.tasks),
            done: row.as_ref().and_then(|row| row.done),
            reasons,
        }
    }

    fn events_response(&self, id: JobId) -> HttpResponse {
        let cache = &self.state.cache;
        if cache.find(id).is_none() && cache.terminal_state(id).is_none() {
            return HttpResponse::error(404, "no such job");
        }
        let Some(leader) = &self.state.leader else { return Unavailable::NoLeaderForQuery.into() };
        let (events, truncated) = leader.event_rows(id);
        let controller = self.state.settings.controller.clone();
        HttpResponse::json(200, &JobEventList { controller, job: id.to_string(), truncated, events })
    }
}

/// Returns a page of a job's unfinished tasks and, if there are more, the last task of the page, after which
/// the next page begins. Only the records are consulted: a task either appears in a machine's record or is
/// waiting.
fn recorded_task_rows(
    cache: &StoreCache,
    id: JobId,
    after: Option<u32>,
    limit: usize,
) -> (Vec<TaskSummary>, Option<u32>) {
    let Some(job) = cache.find_job(id) else { return (Vec::new(), None) };
    let machines_by_task = cache.recorded_machines(id);
    let mut unfinished =
        job.finished_tasks.iter_missing().filter(|task| after.is_none_or(|after| *task > after));
    let row = |task: u32| {
        let machines = machines_by_task.get(&task).map_or(&[][..], Vec::as_slice);
        TaskSummary {
            task,
            state: if machines.is_empty() { TaskStateView::Waiting } else { TaskStateView::Recorded },
            attempt: machines.iter().map(|(_, attempt)| *attempt).max(),
            machines: machines.iter().map(|(name, _)| name.clone()).collect(),
        }
    };
    let rows: Vec<TaskSummary> = unfinished.by_ref().take(limit).map(row).collect();
    let next = unfinished.next().and(rows.last().map(|row| row.task));
    (rows, next)
}
