//! Operators' questions: answered from the mirror behind a read barrier, the rest by the leader.

use super::Controller;
use crate::bookkeeping::job_listing::{job_page, job_row, spec_view};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::operator_queries::{RETRY_AFTER_S, Requester, send_response};
use crate::coordination::{Action, Clock, InboundId};
use crate::ids::{JobId, Millis, from_milli};
use crate::protocol::HttpResponse;
use crate::protocol::operators::{
    AnswerSource, ControllerStatus, Explanation, JobDetail, JobEventList, JobList, JobPhase, OperatorRequest,
    StateReason, TaskStateView, TaskSummary,
};
use crate::protocol::peer::{LeaderQuery, MAX_FRAME_BYTES};

/// Room for the frame around an answer that goes over the mesh.
const FRAME_OVERHEAD_BYTES: usize = 1024;

fn retry_later(text: &str) -> HttpResponse {
    HttpResponse::retry_later(text, RETRY_AFTER_S)
}

impl Controller {
    /// A question of one of this node's clients.
    pub(super) fn handle_operator_query(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(response) = self.respond_or_defer(clock, inbound, request, out) {
            out.push(Action::Respond { inbound, response });
        }
    }

    /// The answer, if there is one now; else it waits here or at the leader.
    fn respond_or_defer(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) -> Option<HttpResponse> {
        if request == OperatorRequest::Status {
            return Some(HttpResponse::json(200, &self.status(clock)));
        }
        if !self.kv_client.loaded {
            return Some(retry_later("the records are being read"));
        }
        if !self.kv_client.is_reachable(clock.now) {
            return Some(self.kv_unreachable_response(clock, &request));
        }
        let is_follower_query = self.leader.is_none() && request.to_leader_query().is_some();
        let leader = self.cache.leader.as_ref().map(|leader| leader.controller.clone());
        let is_leader_heard = |leader: &String| self.peers.is_peer_live(clock.now, leader);
        match leader.filter(|leader| is_follower_query && is_leader_heard(leader)) {
            // Ends never change, but only the leader has events.
            Some(leader) if !self.concerns_finished_job(&request) => {
                let forwarded =
                    self.operator_queries.forward_to_leader(clock.now, &leader, inbound, request, out);
                (!forwarded).then(|| retry_later("too many questions"))
            }
            _ => {
                let enqueued = self.operator_queries.enqueue(clock.now, Requester::Client(inbound), request);
                (!enqueued).then(|| retry_later("too many questions"))
            }
        }
    }

    fn concerns_finished_job(&self, request: &OperatorRequest) -> bool {
        match request {
            OperatorRequest::InspectJob { id, .. } | OperatorRequest::ExplainJob { id, .. } => {
                self.cache.terminal_state(*id).is_some()
            }
            _ => false,
        }
    }

    fn kv_unreachable_response(&self, clock: Clock, request: &OperatorRequest) -> HttpResponse {
        let OperatorRequest::ExplainJob { id, task } = request else {
            return retry_later("the state service does not answer this controller");
        };
        let since = self.kv_client.failing_since.map_or(0, |since| clock.now.saturating_since(since));
        let reason = StateReason::KvUnreachable { since_s: from_milli(since) };
        let explanation = self.build_explanation(*id, *task, vec![reason]);
        // Whether the job exists is not known either.
        HttpResponse::json(200, &explanation)
    }

    /// Another controller passes a question on: this node leads, or did.
    pub(super) fn receive_forwarded_query(
        &mut self,
        clock: Clock,
        controller: &str,
        query_id: u64,
        question: &LeaderQuery,
        out: &mut Vec<Action>,
    ) {
        let requester = Requester::Controller { controller: controller.into(), query_id };
        let can_answer = self.operator_queries.enabled && self.leader.is_some();
        if !can_answer
            || !self.operator_queries.enqueue(clock.now, requester.clone(), OperatorRequest::from(question))
        {
            send_response(&requester, &retry_later("does not lead, or too many questions"), out);
        }
    }

    pub(super) fn receive_leader_response(
        &mut self,
        clock: Clock,
        query_id: u64,
        response: HttpResponse,
        out: &mut Vec<Action>,
    ) {
        let Some((call, request)) = self.operator_queries.take_forwarded(query_id) else { return };
        if response.status == 503 {
            self.answer_without_leader(clock, call, request, out);
        } else {
            out.push(Action::Respond { inbound: call, response });
        }
    }

    /// The leader does not answer: what the records tell is told from them.
    fn answer_without_leader(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        let answerable_from_records =
            matches!(request, OperatorRequest::InspectJob { .. } | OperatorRequest::ExplainJob { .. });
        if !answerable_from_records
            || !self.operator_queries.enqueue(clock.now, Requester::Client(inbound), request)
        {
            out.push(Action::Respond { inbound, response: retry_later("the leader does not answer") });
        }
    }

    pub(super) fn expire_operator_queries(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let (unanswered, expired) = self.operator_queries.take_expired(clock);
        for (call, request) in unanswered {
            self.answer_without_leader(clock, call, request, out);
        }
        for asker in expired {
            send_response(&asker, &retry_later("no fresh answer from the state service"), out);
        }
    }

    /// The mirror holds everything up to a read that was sent at `sent`.
    pub(super) fn respond_to_operator_queries(
        &mut self,
        clock: Clock,
        read_sent_at: Millis,
        out: &mut Vec<Action>,
    ) {
        for (request, askers) in self.operator_queries.take_ready(read_sent_at) {
            let response = if self.operator_queries.try_take_budget(clock.now) {
                self.operator_response(clock, &request)
            } else {
                retry_later("too many questions a second")
            };
            askers.iter().for_each(|asker| send_response(asker, &response, out));
        }
    }

    fn operator_response(&self, clock: Clock, request: &OperatorRequest) -> HttpResponse {
        let response = match request {
            OperatorRequest::ListJobs(query) => {
                let running = self.running_task_counts();
                let (jobs, next) = job_page(&self.cache, query, &running);
                let next = next.map(|id| id.to_string());
                let revision = self.cache.revision.0;
                HttpResponse::json(
                    200,
                    &JobList { controller: self.settings.controller.clone(), revision, jobs, next },
                )
            }
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
        let fits = response.body.len() + FRAME_OVERHEAD_BYTES <= MAX_FRAME_BYTES;
        if fits {
            response
        } else {
            HttpResponse::error(400, "the answer is too long: ask for a smaller limit")
        }
    }

    fn job_detail_response(&self, id: JobId, after: Option<u32>, limit: usize) -> HttpResponse {
        let Some(row) = job_row(&self.cache, id, &|id| self.running_task_count(id)) else {
            return HttpResponse::error(404, "no such job");
        };
        let job = self.cache.find_job(id).filter(|_| !row.state.is_terminal());
        let known = self.leader.as_ref().zip(self.cache.find(id));
        let (tasks, next) = match (job, known) {
            (None, _) => (Vec::new(), None),
            (Some(_), Some((leader, ix))) => leader.task_rows(ix, after, limit),
            (Some(_), None) => recorded_task_rows(&self.cache, id, after, limit),
        };
        let mut row = row;
        if let Some((leader, ix)) = known
            && let Some(work) = leader.workload.jobs.get(&ix)
        {
            row.first_start_ms = work.first_run.wall_ms();
        }
        let detail = JobDetail {
            controller: self.settings.controller.clone(),
            source: if self.leader.is_some() { AnswerSource::Leader } else { AnswerSource::Store },
            summary: row,
            spec: job.map(|job| spec_view(&self.cache, job)),
            tasks,
            next,
        };
        HttpResponse::json(200, &detail)
    }

    fn explain_response(&self, clock: Clock, id: JobId, task: Option<u32>) -> HttpResponse {
        let known = self.cache.find(id);
        let reasons = match (self.cache.terminal_state(id), known, &self.leader) {
            (Some(_), ..) => {
                let row = job_row(&self.cache, id, &|_| 0);
                vec![StateReason::Terminal { state: row.map_or(JobPhase::Done, |row| row.state) }]
            }
            (None, None, _) => match self.waiting_node_reason(id) {
                Some(reason) => vec![reason],
                None => return HttpResponse::error(404, "no such job"),
            },
            (None, Some(_), None) => {
                let leader = self.cache.leader.as_ref().map(|leader| leader.controller.clone());
                vec![StateReason::NoLeader {
                    unreachable_leader: leader.filter(|node| *node != self.settings.controller),
                }]
            }
            (None, Some(ix), Some(leader)) => leader.explain(ix, task, &self.cache.names, clock),
        };
        let tasks = self.cache.find_job(id).map(|job| job.spec.tasks);
        if let (Some(task), Some(tasks)) = (task, tasks)
            && task >= tasks
        {
            return HttpResponse::error(404, &format!("the job has tasks 0 to {}", tasks - 1));
        }
        HttpResponse::json(200, &self.build_explanation(id, task, reasons))
    }

    fn build_explanation(&self, id: JobId, task: Option<u32>, reasons: Vec<StateReason>) -> Explanation {
        let row = job_row(&self.cache, id, &|id| self.running_task_count(id));
        Explanation {
            controller: self.settings.controller.clone(),
            job: id.to_string(),
            task,
            state: row.as_ref().map(|row| row.state),
            tasks: row.as_ref().and_then(|row| row.tasks),
            done: row.as_ref().and_then(|row| row.done),
            reasons,
        }
    }

    fn events_response(&self, id: JobId) -> HttpResponse {
        if self.cache.find(id).is_none() && self.cache.terminal_state(id).is_none() {
            return HttpResponse::error(404, "no such job");
        }
        let Some(leader) = &self.leader else { return retry_later("nobody leads") };
        let (events, earlier_unknown) = leader.event_rows(id);
        let node = self.settings.controller.clone();
        HttpResponse::json(
            200,
            &JobEventList { controller: node, job: id.to_string(), truncated: earlier_unknown, events },
        )
    }

    /// The same for many jobs: without a leader's knowledge, the log is gone through once for all of them.
    pub(super) fn running_task_counts(&self) -> impl Fn(JobId) -> u32 + '_ {
        let recorded =
            if self.leader.is_some() { Default::default() } else { self.cache.recorded_running_by_job() };
        move |id| match &self.leader {
            Some(_) => self.running_task_count(id),
            None => recorded.get(&id).copied().unwrap_or(0),
        }
    }

    /// How many tasks of a job run, for display.
    pub(super) fn running_task_count(&self, id: JobId) -> u32 {
        match self.leader.as_ref().zip(self.cache.find(id)) {
            Some((leader, ix)) => {
                leader.workload.jobs.get(&ix).map_or(0, |work| work.placements.len() as u32)
            }
            None => self.cache.recorded_running_tasks(id),
        }
    }

    /// This controller as operators see it.
    pub fn status(&self, clock: Clock) -> ControllerStatus {
        let (live, ended) = self.cache.live_and_terminal_counts();
        ControllerStatus {
            controller: self.settings.controller.clone(),
            zone: self.settings.zone.clone(),
            ready: self.is_ready(),
            is_leader: self.leader.is_some(),
            leader: self.cache.leader.as_ref().map(|leader| leader.controller.clone()),
            revision: self.cache.revision.0,
            cache_age_s: self
                .kv_client
                .fresh_as_of
                .map(|fresh| from_milli(clock.now.saturating_since(fresh))),
            kv_reachable: self.kv_client.loaded && self.kv_client.is_reachable(clock.now),
            jobs_active: live as u64,
            jobs_terminal: ended as u64,
            requests_pending: self.user_requests.unsent_count() as u64,
            failovers: self.leaderships_started,
            uptime_s: from_milli(clock.now.saturating_since(self.started_at)),
            job_counters: self.job_counter_views(),
            leader_status: self.leader.as_ref().map(|leader| leader.leader_status(&self.cache.names)),
        }
    }

    /// Is the operators' interface turned on?
    pub fn serves_operators(&self) -> bool {
        self.operator_queries.enabled
    }
}

/// By the records alone: a task is on a machine's record, or waits.
fn recorded_task_rows(
    cache: &StoreCache,
    id: JobId,
    after: Option<u32>,
    limit: usize,
) -> (Vec<TaskSummary>, Option<u32>) {
    let Some(job) = cache.find_job(id) else { return (Vec::new(), None) };
    let places = cache.recorded_machines(id);
    let mut open = job.finished_tasks.iter_missing().filter(|task| after.is_none_or(|after| *task > after));
    let row = |task: u32| {
        let places = places.get(&task);
        TaskSummary {
            task,
            state: if places.is_some() { TaskStateView::Recorded } else { TaskStateView::Waiting },
            attempt: places.and_then(|places| places.iter().map(|(_, attempt)| *attempt).max()),
            machines: places.map_or(Vec::new(), |p| p.iter().map(|(name, _)| name.clone()).collect()),
        }
    };
    let rows: Vec<TaskSummary> = open.by_ref().take(limit).map(row).collect();
    let next = open.next().and(rows.last().map(|row| row.task));
    (rows, next)
}
