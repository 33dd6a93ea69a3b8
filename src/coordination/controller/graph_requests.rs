//! Graphs on one controller: changes go to the desk, ready nodes to the leader.

use super::Controller;
use crate::bookkeeping::dag_records::RunPhase;
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::run_listing::{run_detail, run_page};
use crate::coordination::graph_requests::GraphRequestContext;
use crate::coordination::{Action, Clock, InboundId};
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRequest, DagRunList, DagRunName, DagRunQuery};
use crate::protocol::operators::StateReason;

/// An answer to a client stays below the 64 KiB of a line.
const MAX_PAGE_BYTES: usize = 48 * 1024;
/// Open upstream nodes named in a reason.
const MAX_UPSTREAM_NAMED: usize = 5;

impl Controller {
    /// Is the graphs' interface turned on?
    pub fn serves_graphs(&self) -> bool {
        self.tunables.graphs.enabled
    }

    pub(super) fn handle_graph_request(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: DagRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(response) = self.graph_requests.receive(clock, inbound, request, &self.kv_client) {
            out.push(Action::Respond { inbound, response });
        }
    }

    pub(super) fn process_graph_requests(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if !self.graph_requests.needs_read_barrier() {
            return;
        }
        self.graph_requests.expire(clock, self.kv_client.is_reachable(clock.now), out);
        let context = GraphRequestContext {
            cache: &self.cache,
            settings: &self.settings,
            tunables: &self.tunables.graphs,
            clock,
        };
        self.graph_requests.process_pending(&context, &mut self.kv_client, out);
    }

    /// Nodes that became ready with what was just read or written are queued by the leader.
    pub(super) fn enqueue_ready_nodes(&mut self, clock: Clock) {
        let ready = self.cache.take_newly_ready();
        let Some(leader) = self.leader.as_mut().filter(|_| !ready.is_empty()) else { return };
        let new: Vec<_> = ready.into_iter().filter(|ix| !leader.workload.jobs.contains_key(ix)).collect();
        for ix in &new {
            leader.track_job(*ix, &self.cache, clock);
        }
        leader.enqueue_jobs(new);
    }

    pub(super) fn dag_run_list_response(&self, query: &DagRunQuery) -> HttpResponse {
        let (runs, next) = run_page(&self.cache, query);
        let (node, revision) = (self.settings.controller.clone(), self.cache.revision.0);
        HttpResponse::json(200, &DagRunList { controller: node, revision, runs, next })
    }

    pub(super) fn dag_run_detail_response(
        &self,
        name: &DagRunName,
        after: Option<u32>,
        limit: usize,
    ) -> HttpResponse {
        let Some(run) = self.cache.dag_runs.by_name(name).filter(|run| run.dag.is_some()) else {
            return HttpResponse::error(404, "no such run");
        };
        let running = self.running_task_counts();
        let mut detail = run_detail(&self.cache, run, after, limit, MAX_PAGE_BYTES, &running);
        detail.controller.clone_from(&self.settings.controller);
        HttpResponse::json(200, &detail)
    }

    /// Why a node of a graph that is no job yet is not: by the records, on every controller.
    pub(super) fn waiting_node_reason(&self, id: JobId) -> Option<StateReason> {
        let (run, node) = self.cache.dag_runs.current_node(id)?;
        let flow = run.dag.as_ref()?;
        if run.phase_record.phase == RunPhase::Waiting {
            return Some(self.waiting_run_reason(run));
        }
        let open = |up: &olivelatch_dag::NodeIx| flow.progress.outcome(*up).is_none();
        let first = flow.upstream(node).filter(open).take(MAX_UPSTREAM_NAMED);
        Some(StateReason::WaitingForUpstream {
            run: run.name.to_string(),
            trigger_rule: flow.progress.rule(node).as_str().into(),
            unfinished: flow.upstream(node).filter(open).count() as u32,
            first_unfinished: first
                .map(|up| format!("{} ({})", flow.node(up).name, flow.node(up).job))
                .collect(),
        })
    }

    fn waiting_run_reason(&self, run: &DagRun) -> StateReason {
        let most_runs = run.accepted.as_ref().map_or(1, |(_, header, _)| header.max_active_runs);
        StateReason::ActiveRunLimit {
            run: run.name.to_string(),
            max_active_runs: most_runs,
            earlier_runs: self.cache.dag_runs.runs_ahead_of(run),
        }
    }
}
