//! Graphs on one controller: changes go to the desk, ready nodes to the leader.

use super::Node;
use crate::bookkeeping::graph_records::Phase;
use crate::bookkeeping::graphs::Run;
use crate::bookkeeping::run_listing::{run_detail, run_page};
use crate::coordination::graphs::Ground;
use crate::coordination::{CallId, Clock, Output};
use crate::ids::JobId;
use crate::protocol::Answer;
use crate::protocol::graphs::{GraphRequest, RunList, RunName, RunQuery};
use crate::protocol::operators::Reason;

/// An answer to a client stays below the 64 KiB of a line.
const LARGEST_PAGE_BYTES: usize = 48 * 1024;
/// Open upstream nodes named in a reason.
const MOST_NAMED: usize = 5;

impl Node {
    /// Is the graphs' interface turned on?
    pub fn serves_graphs(&self) -> bool {
        self.tunables.graphs.enabled
    }

    pub(super) fn graph(&mut self, clock: Clock, call: CallId, request: GraphRequest, out: &mut Vec<Output>) {
        if let Some(answer) = self.graph_desk.take(clock, call, request, &self.ledger) {
            out.push(Output::Answer { call, answer });
        }
    }

    pub(super) fn step_graphs(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if !self.graph_desk.wants_barrier() {
            return;
        }
        self.graph_desk.expire(clock, self.ledger.reachable(clock.now), out);
        let ground =
            Ground { mirror: &self.mirror, settings: &self.settings, tunables: &self.tunables.graphs, clock };
        self.graph_desk.step(&ground, &mut self.ledger, out);
    }

    /// Nodes that became ready with what was just read or written are queued by the leader.
    pub(super) fn adopt_ready(&mut self, clock: Clock) {
        let fresh = self.mirror.take_fresh();
        let Some(leader) = self.leader.as_mut().filter(|_| !fresh.is_empty()) else { return };
        let new: Vec<_> = fresh.into_iter().filter(|ix| !leader.work.contains_key(ix)).collect();
        for ix in &new {
            leader.add_job(*ix, &self.mirror, clock);
        }
        leader.queue_all(new);
    }

    pub(super) fn run_list(&self, query: &RunQuery) -> Answer {
        let (runs, next) = run_page(&self.mirror, query);
        let (node, revision) = (self.settings.node.clone(), self.mirror.revision.0);
        Answer::json(200, &RunList { node, revision, runs, next })
    }

    pub(super) fn run_shown(&self, name: &RunName, after: Option<u32>, limit: usize) -> Answer {
        let Some(run) = self.mirror.graphs.by_name(name).filter(|run| run.flow.is_some()) else {
            return Answer::error(404, "no such run");
        };
        let running = self.running_of_all();
        let mut detail = run_detail(&self.mirror, run, after, limit, LARGEST_PAGE_BYTES, &running);
        detail.node.clone_from(&self.settings.node);
        Answer::json(200, &detail)
    }

    /// Why a node of a graph that is no job yet is not: by the records, on every controller.
    pub(super) fn waiting_node(&self, id: JobId) -> Option<Reason> {
        let (run, node) = self.mirror.graphs.node_of(id)?;
        let flow = run.flow.as_ref()?;
        if run.turn.phase == Phase::Waiting {
            return Some(self.waiting_run(run));
        }
        let open = |up: &olivelatch_graph::NodeIx| flow.progress.outcome(*up).is_none();
        let first = flow.upstream(node).filter(open).take(MOST_NAMED);
        Some(Reason::Upstream {
            run: run.name.to_string(),
            rule: flow.progress.rule(node).word().into(),
            open: flow.upstream(node).filter(open).count() as u32,
            first: first.map(|up| format!("{} ({})", flow.node(up).name, flow.node(up).job)).collect(),
        })
    }

    fn waiting_run(&self, run: &Run) -> Reason {
        let most_runs = run.accepted.as_ref().map_or(1, |(_, header, _)| header.most_runs);
        Reason::RunWaits { run: run.name.to_string(), most_runs, before: self.mirror.graphs.before(run) }
    }
}
