//! The graph interface of one controller: passes requests to their handler and ready nodes to the leader, and
//! answers queries about runs from the records.

use super::Controller;
use crate::bookkeeping::dag_records::RunPhase;
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::run_listing::{run_detail, run_page};
use crate::coordination::{Action, Clock, InboundId};
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRequest, DagRunList, DagRunName, DagRunQuery};
use crate::protocol::operators::StateReason;

/// Maximum size of the rows in one response, in bytes: below the 64 KiB limit of a frame between controllers.
const MAX_PAGE_BYTES: usize = 48 * 1024;
/// Maximum number of unfinished upstream nodes listed in a reason.
const MAX_UPSTREAM_LISTED: usize = 5;

impl Controller {
    /// Returns whether the graph interface is enabled.
    pub fn serves_graphs(&self) -> bool {
        self.state.tunables.graphs.enabled
    }

    pub(super) fn handle_graph_request(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: DagRequest,
        out: &mut Vec<Action>,
    ) {
        let response = self.graph_requests.receive(clock, inbound, request, &self.kv_client);
        out.extend(response.map(|response| Action::Respond { inbound, response }));
    }

    pub(super) fn process_graph_requests(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if !self.graph_requests.needs_read_barrier() {
            return;
        }
        self.graph_requests.expire(clock, self.kv_client.is_reachable(clock.now), out);
        self.graph_requests.process_pending(clock, &self.state, &mut self.kv_client, out);
    }

    /// Queues the nodes that have become ready through the latest read or write, if this controller leads.
    pub(super) fn enqueue_ready_nodes(&mut self) {
        let ready = self.state.cache.take_newly_ready();
        let Some(leader) = self.state.leader.as_mut().filter(|_| !ready.is_empty()) else { return };
        let new_jobs: Vec<_> =
            ready.into_iter().filter(|ix| !leader.workload.jobs.contains_key(ix)).collect();
        for ix in &new_jobs {
            leader.track_job(*ix, &self.state.cache);
        }
        leader.enqueue_jobs(new_jobs);
    }

    pub(super) fn dag_run_list_response(&self, query: &DagRunQuery) -> HttpResponse {
        let (runs, next) = run_page(&self.state.cache, query);
        let list = DagRunList {
            controller: self.state.settings.controller.clone(),
            revision: self.state.cache.revision.0,
            runs,
            next,
        };
        HttpResponse::json(200, &list)
    }

    pub(super) fn dag_run_detail_response(
        &self,
        name: &DagRunName,
        after: Option<u32>,
        limit: usize,
    ) -> HttpResponse {
        let cache = &self.state.cache;
        let Some(run) = cache.dag_runs.by_name(name).filter(|run| run.dag.is_some()) else {
            return HttpResponse::error(404, "no such run");
        };
        let running = self.state.running_task_counts();
        let mut detail = run_detail(cache, run, after, limit, MAX_PAGE_BYTES, &running);
        detail.controller.clone_from(&self.state.settings.controller);
        HttpResponse::json(200, &detail)
    }

    /// Returns why a node of a graph is not a job yet. The answer depends on the records alone, so every
    /// controller can give it.
    pub(super) fn waiting_node_reason(&self, id: JobId) -> Option<StateReason> {
        let (run, node) = self.state.cache.dag_runs.current_node(id)?;
        let dag = run.dag.as_ref()?;
        if run.phase_record.phase == RunPhase::Waiting {
            return Some(self.waiting_run_reason(run));
        }
        let unfinished = || dag.upstream(node).filter(|up| dag.progress.outcome(*up).is_none());
        let first_unfinished = unfinished().take(MAX_UPSTREAM_LISTED);
        Some(StateReason::WaitingForUpstream {
            run: run.name.to_string(),
            trigger_rule: dag.progress.rule(node).as_str().into(),
            unfinished: unfinished().count() as u32,
            first_unfinished: first_unfinished
                .map(|up| format!("{} ({})", dag.node(up).name, dag.node(up).job))
                .collect(),
        })
    }

    fn waiting_run_reason(&self, run: &DagRun) -> StateReason {
        StateReason::ActiveRunLimit {
            run: run.name.to_string(),
            max_active_runs: run.accepted.as_ref().map_or(1, |(_, header, _)| header.max_active_runs),
            earlier_runs: self.state.cache.dag_runs.runs_ahead_of(run),
        }
    }
}
