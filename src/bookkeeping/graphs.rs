//! Runs of graphs as the records tell them: which nodes are ready follows from the ends that are durable.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use olivelatch_graph::{NodeIx, Outcome, Rule, Tries};

use super::flow::Flow;
use super::graph_records::{GraphRecord, NodeEnd, Phase, TRIES_BLOCK, TriesRecord, TurnRecord};
use super::jobs::{End, Job, JobInfo, NodeInfo};
use super::mirror::Mirror;
use super::records::Key;
use crate::ids::{JobId, JobIx, Revision, RunIx, seconds};
use crate::protocol::graphs::{GraphHeader, GraphPart, RunName};

/// Upstream jobs that count for a node's place.
const MOST_UPSTREAM: usize = 16;

#[derive(Debug)]
pub struct Run {
    pub name: RunName,
    /// As accepted: time of day, what it is, and the revision of it.
    pub accepted: Option<(u64, GraphHeader, Revision)>,
    pub swept: bool,
    /// Parts that have a record.
    pub parts: BTreeSet<u32>,
    /// Their contents, until the run is put together; those that do nodes over are kept.
    pub pieces: BTreeMap<u32, GraphPart>,
    pub turn: TurnRecord,
    pub flow: Option<Box<Flow>>,
    /// Jobs of nodes that were done over before they had ended.
    pub replaced: BTreeSet<JobId>,
    /// Some of its parts were removed: it is being forgotten.
    pub fading: bool,
}

impl Run {
    fn new(name: &RunName) -> Run {
        Run {
            name: name.clone(),
            accepted: None,
            swept: false,
            parts: BTreeSet::new(),
            pieces: BTreeMap::new(),
            turn: TurnRecord::default(),
            flow: None,
            replaced: BTreeSet::new(),
            fading: false,
        }
    }

    pub fn ended(&self) -> bool {
        self.turn.phase == Phase::Ended
    }

    /// Where the next parts that do nodes over begin.
    pub fn next_part(&self) -> u32 {
        self.turn.next_part(self.accepted.as_ref().map_or(0, |(_, header, _)| header.parts))
    }

    /// The graph among whose runs it is, and its place there.
    fn lane(&self) -> Option<(String, Revision)> {
        self.accepted.as_ref().map(|(_, header, seq)| (header.graph.clone(), *seq))
    }

    /// Has the leader something to write for it?
    pub fn wants_writing(&self) -> bool {
        let Some(flow) = self.flow.as_ref().filter(|_| !self.fading) else { return false };
        let open = !flow.progress.over();
        !self.replaced.is_empty()
            || (open && (self.turn.cancelled || flow.progress.has_to_write()))
            || (!open && !self.ended())
    }
}

/// Runs of one graph: those under way, and those that wait in the order of their acceptance.
#[derive(Debug, Default)]
struct Lane {
    active: BTreeSet<RunIx>,
    waiting: BTreeSet<(Revision, RunIx)>,
}

#[derive(Debug, Default)]
pub struct Graphs {
    runs: Vec<Option<Box<Run>>>,
    index: BTreeMap<RunName, RunIx>,
    /// Nodes by the job that counts now.
    jobs: HashMap<JobId, (RunIx, NodeIx)>,
    /// Jobs of nodes that were done over.
    old: HashMap<JobId, (RunIx, NodeIx)>,
    ends: HashMap<JobId, Box<NodeEnd>>,
    tries: HashMap<JobId, BTreeMap<u32, Tries>>,
    lanes: BTreeMap<String, Lane>,
    /// Runs that the leader has something to write for.
    pub dirty: BTreeSet<RunIx>,
    /// Jobs that became ready since the last look.
    fresh: Vec<JobIx>,
    /// Nodes of all runs.
    pub nodes: usize,
}

impl Graphs {
    pub fn find(&self, name: &RunName) -> Option<RunIx> {
        self.index.get(name).copied()
    }

    pub fn run(&self, ix: RunIx) -> Option<&Run> {
        self.runs.get(ix.at())?.as_deref()
    }

    fn run_mut(&mut self, ix: RunIx) -> Option<&mut Run> {
        self.runs.get_mut(ix.at())?.as_deref_mut()
    }

    pub fn by_name(&self, name: &RunName) -> Option<&Run> {
        self.run(self.find(name)?)
    }

    /// Runs in the order of their names, from behind `after` on.
    pub fn runs_after(&self, after: Option<&RunName>) -> impl Iterator<Item = &Run> + '_ {
        use std::ops::Bound;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.index.range::<RunName, _>((from, Bound::Unbounded)).filter_map(|(_, ix)| self.run(*ix))
    }

    pub fn all(&self) -> impl Iterator<Item = (RunIx, &Run)> {
        self.index.values().filter_map(|ix| Some((*ix, self.run(*ix)?)))
    }

    /// Is the job a node of an accepted graph, now or before it was done over?
    pub fn knows(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.old.contains_key(&job)
    }

    /// The node that a job counts for.
    pub fn node_of(&self, job: JobId) -> Option<(&Run, NodeIx)> {
        let (run, node) = self.jobs.get(&job)?;
        Some((self.run(*run)?, *node))
    }

    pub fn run_of(&self, job: JobId) -> Option<&Run> {
        let (run, _) = self.jobs.get(&job).or_else(|| self.old.get(&job))?;
        self.run(*run)
    }

    /// Nothing of the job is to start any more, although it has no end yet.
    pub fn stopped(&self, job: JobId) -> bool {
        self.old.contains_key(&job) || self.run_of(job).is_some_and(|run| run.turn.cancelled)
    }

    pub fn end_of(&self, job: JobId) -> Option<&NodeEnd> {
        self.ends.get(&job).map(Box::as_ref)
    }

    pub fn tries_of(&self, job: JobId) -> Option<&BTreeMap<u32, Tries>> {
        self.tries.get(&job)
    }

    /// Jobs that are over and whose failures still have records.
    pub fn ended_with_tries<'a>(&'a self, mirror: &'a Mirror) -> impl Iterator<Item = JobId> + 'a {
        self.tries.keys().copied().filter(|job| mirror.end_of(*job).is_some())
    }

    /// How the end of a job is told if somebody cancels it; None if it is no node.
    pub fn cancelled_end(&self, job: JobId) -> Option<NodeEnd> {
        let run = self.run_of(job)?;
        let (_, node) = self.jobs.get(&job).or_else(|| self.old.get(&job))?;
        let name = run.flow.as_ref().map_or("", |flow| &flow.node(*node).name);
        Some(NodeEnd::new(&run.name, name, Outcome::Cancelled))
    }

    /// Runs whose turn may come: for each graph the next ones in order, as far as its limit allows.
    pub fn startable(&self) -> impl Iterator<Item = RunIx> + '_ {
        self.lanes.values().flat_map(|lane| {
            let most =
                |ix: &RunIx| self.run(*ix).and_then(|run| Some(run.accepted.as_ref()?.1.most_runs as usize));
            let first = lane.waiting.first().and_then(|(_, ix)| most(ix)).unwrap_or(0);
            lane.waiting.iter().take(first.saturating_sub(lane.active.len())).map(|(_, ix)| *ix)
        })
    }

    /// Runs of the same graph that come before one that waits.
    pub fn before(&self, run: &Run) -> Vec<String> {
        let Some((_, header, _)) = &run.accepted else { return Vec::new() };
        let active = self.lanes.get(&header.graph).into_iter().flat_map(|lane| &lane.active);
        active.filter_map(|ix| Some(self.run(*ix)?.name.to_string())).collect()
    }

    fn entry(&mut self, name: &RunName) -> RunIx {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = RunIx(self.runs.len() as u32);
        self.runs.push(Some(Box::new(Run::new(name))));
        self.index.insert(name.clone(), ix);
        ix
    }

    /// Where a run stands among those of its graph, and whether there is something to write for it.
    fn refile(&mut self, ix: RunIx) {
        let Some(run) = self.run(ix) else { return };
        let wants = run.wants_writing();
        let there = run.flow.is_some() && !run.fading;
        let (phase, waits) =
            (run.turn.phase, there && !run.turn.cancelled && run.turn.phase == Phase::Waiting);
        if let Some((graph, seq)) = run.lane() {
            let lane = self.lanes.entry(graph).or_default();
            lane.active.remove(&ix);
            lane.waiting.remove(&(seq, ix));
            if waits {
                lane.waiting.insert((seq, ix));
            } else if there && phase == Phase::Active {
                lane.active.insert(ix);
            }
        }
        if wants {
            self.dirty.insert(ix);
        } else {
            self.dirty.remove(&ix);
        }
    }
}

impl Mirror {
    pub(super) fn put_graph(&mut self, name: &RunName, record: GraphRecord, stamp: Revision) {
        let ix = self.graphs.entry(name);
        let Some(run) = self.graphs.run_mut(ix) else { return };
        match record {
            GraphRecord::Accepted { at, header } => run.accepted = Some((at, header, stamp)),
            GraphRecord::Swept { .. } => run.swept = true,
        }
        self.assemble(ix);
    }

    pub(super) fn put_part(&mut self, name: &RunName, part: u32, piece: GraphPart) {
        let ix = self.graphs.entry(name);
        let Some(run) = self.graphs.run_mut(ix) else { return };
        run.parts.insert(part);
        run.pieces.insert(part, piece);
        self.assemble(ix);
    }

    pub(super) fn put_turn(&mut self, name: &RunName, turn: TurnRecord) {
        let ix = self.graphs.entry(name);
        let Some(run) = self.graphs.run_mut(ix) else { return };
        let redone = run.turn.redos.len() < turn.redos.len();
        run.fading |= turn.gone;
        run.turn = turn;
        if run.flow.is_none() || redone {
            self.assemble(ix);
        } else {
            self.advance(ix);
        }
    }

    /// Puts a run together once all its parts are there; again when nodes are done over.
    fn assemble(&mut self, ix: RunIx) {
        let Some(run) = self.graphs.run_mut(ix) else { return };
        let Some((_, header, _)) = &run.accepted else { return };
        let whole = (0..header.parts).all(|part| run.pieces.contains_key(&part));
        let redos: Vec<u32> = run.turn.redos.iter().flat_map(|(from, parts)| *from..from + parts).collect();
        let there = redos.iter().all(|part| run.pieces.contains_key(part));
        if !there || (run.flow.is_none() && !whole) || run.fading {
            return;
        }
        if run.flow.is_none() {
            // It was checked before it was accepted.
            let Ok(flow) = Flow::build((0..header.parts).filter_map(|part| run.pieces.get(&part))) else {
                return;
            };
            run.pieces.retain(|part, _| *part >= header.parts);
            run.flow = Some(Box::new(flow));
            let nodes = run.flow.as_ref().map_or(0, |flow| flow.nodes.len());
            self.graphs.nodes += nodes;
            self.register(ix, None);
        }
        self.do_over(ix, &redos);
        self.replay(ix);
    }

    /// Nodes' jobs are known by their names; `new` only, if given.
    fn register(&mut self, ix: RunIx, new: Option<&BTreeMap<NodeIx, JobId>>) {
        let Some(flow) = self.graphs.run(ix).and_then(|run| run.flow.as_ref()) else { return };
        let all = flow.nodes.iter().enumerate().map(|(at, node)| (NodeIx(at as u32), node.job));
        let wanted = all.filter(|(node, _)| new.is_none_or(|new| new.contains_key(node)));
        let free: Vec<_> = wanted.filter(|(_, job)| !self.taken(*job)).collect();
        for (node, job) in free {
            self.graphs.jobs.insert(job, (ix, node));
        }
    }

    /// A plain job has that name: it came before the graph, on another controller.
    fn taken(&self, job: JobId) -> bool {
        let plain = self.stamp(&Key::Job(job).text()) != Revision(0);
        plain || (self.end_of(job).is_some() && !self.graphs.ends.contains_key(&job))
    }

    fn do_over(&mut self, ix: RunIx, redos: &[u32]) {
        let Some(run) = self.graphs.run_mut(ix) else { return };
        let Some(flow) = &mut run.flow else { return };
        let rows: Vec<_> = redos
            .iter()
            .filter_map(|part| run.pieces.get(part))
            .flat_map(|piece| piece.redo.clone())
            .collect();
        let mut new = BTreeMap::new();
        let mut replaced = Vec::new();
        for (first, count, job) in rows {
            for node in first..first.saturating_add(count).min(flow.nodes.len() as u32) {
                let job = JobId(job.saturating_add(u64::from(node - first)));
                // A node that is done over twice passes through the first name.
                let before = std::mem::replace(&mut flow.nodes[node as usize].job, job);
                if before != job {
                    replaced.push((NodeIx(node), before));
                    new.insert(NodeIx(node), job);
                }
            }
        }
        let now: BTreeSet<JobId> = flow.nodes.iter().map(|node| node.job).collect();
        replaced.retain(|(_, job)| !now.contains(job));
        for (node, job) in replaced {
            self.graphs.jobs.remove(&job);
            self.graphs.old.insert(job, (ix, node));
            if self.end_of(job).is_none()
                && let Some(run) = self.graphs.run_mut(ix)
            {
                run.replaced.insert(job);
            }
        }
        self.register(ix, Some(&new));
    }

    /// From nothing through all ends that are known.
    fn replay(&mut self, ix: RunIx) {
        let Some(flow) = self.graphs.run_mut(ix).and_then(|run| run.flow.as_mut()) else { return };
        flow.begin_again();
        let jobs: Vec<JobId> = flow.nodes.iter().map(|node| node.job).collect();
        for (at, job) in jobs.iter().copied().enumerate() {
            let ended = match self.graphs.ends.get(&job) {
                Some(end) => Some((end.outcome, end.list())),
                None if self.taken(job) => Some((Outcome::Failed, None)),
                None => None,
            };
            if let Some((outcome, list)) = ended
                && let Some(flow) = self.graphs.run_mut(ix).and_then(|run| run.flow.as_mut())
            {
                flow.progress.ended(NodeIx(at as u32), outcome, list);
            }
        }
        self.keep_stopped(ix, &jobs);
        self.advance(ix);
    }

    /// Jobs that were stopped may still have tasks on machines: as with plain jobs, what they take is known until none
    /// can be anywhere. Those that are done have none; what never was ready had none.
    fn keep_stopped(&mut self, ix: RunIx, jobs: &[JobId]) {
        let stopped = |job: &JobId| {
            let outcome = self.graphs.ends.get(job).map(|end| end.outcome);
            matches!(outcome, Some(Outcome::Failed | Outcome::Cancelled))
        };
        let now = jobs.iter().enumerate().map(|(at, job)| (NodeIx(at as u32), *job));
        let mut kept: Vec<(NodeIx, JobId)> = now.filter(|(_, job)| stopped(job)).collect();
        let old = self.graphs.old.iter().filter(|(_, (run, _))| *run == ix);
        kept.extend(
            old.filter(|(job, _)| self.end_of(**job) != Some(End::Done))
                .map(|(job, (_, node))| (*node, *job)),
        );
        for (node, job) in kept {
            if self.find(job).is_none() && !self.taken(job) {
                self.add_node_job(ix, node, job);
            }
        }
    }

    /// A run whose turn has come: its ready nodes become jobs.
    fn advance(&mut self, ix: RunIx) {
        let Some(run) = self.graphs.run_mut(ix) else { return };
        // Of a cancelled run too: tasks of its ready nodes may be on machines and have to be counted there.
        if run.turn.phase == Phase::Active
            && let Some(flow) = &mut run.flow
        {
            flow.progress.activate();
            let ready: Vec<NodeIx> = flow.progress.ready().iter().map(NodeIx).collect();
            ready.into_iter().for_each(|node| self.derive(ix, node));
        }
        self.graphs.refile(ix);
    }

    /// A node's end is durable.
    pub(super) fn node_ended(&mut self, job: JobId, end: End, told: Option<NodeEnd>) {
        let told = match told {
            Some(told) => Some(told),
            // Cancelled by a controller that had not seen the graph's records yet.
            None => self.graphs.cancelled_end(job).filter(|_| end == End::Withdrawn),
        };
        let Some(told) = told else { return };
        let (outcome, list) = (told.outcome, told.list());
        self.graphs.ends.insert(job, Box::new(told));
        if let Some((ix, _)) = self.graphs.old.get(&job).copied() {
            if let Some(run) = self.graphs.run_mut(ix) {
                run.replaced.remove(&job);
            }
            self.graphs.refile(ix);
        }
        let Some((ix, node)) = self.graphs.jobs.get(&job).copied() else { return };
        let Some(run) = self.graphs.run_mut(ix) else { return };
        let cancelled = run.turn.cancelled;
        let Some(flow) = &mut run.flow else { return };
        let changes = flow.progress.ended(node, outcome, list);
        if !cancelled {
            changes.ready.into_iter().for_each(|next| self.derive(ix, next));
        }
        self.graphs.refile(ix);
    }

    /// A ready node becomes a job like one that was submitted.
    fn derive(&mut self, ix: RunIx, node: NodeIx) {
        let flow = self.graphs.run(ix).and_then(|run| run.flow.as_ref());
        let Some(job) = flow.map(|flow| flow.node(node).job) else { return };
        if self.find(job).is_none()
            && self.end_of(job).is_none()
            && let Some(fresh) = self.add_node_job(ix, node, job)
        {
            self.graphs.fresh.push(fresh);
        }
    }

    fn add_node_job(&mut self, ix: RunIx, node: NodeIx, job: JobId) -> Option<JobIx> {
        let run = self.graphs.run(ix)?;
        let (Some(flow), Some((accepted, _, seq))) = (&run.flow, &run.accepted) else { return None };
        let (accepted, seq) = (*accepted, *seq);
        let ready_at = self.ready_at(run, flow, node);
        let template = flow.template(node).clone();
        let mut spec = template.spec.clone();
        if let Some(tasks) = flow.progress.mapped_over(node) {
            spec.pieces = tasks;
        }
        let upstream: Vec<JobId> =
            flow.upstream(node).take(MOST_UPSTREAM).map(|up| flow.node(up).job).collect();
        let input_gb: f64 =
            flow.upstream(node).take(MOST_UPSTREAM).map(|up| flow.template(up).output_gb).sum();
        let pool = template.pool.as_ref().map(|pool| self.names.pools.intern(pool));
        let of = NodeInfo {
            run: run.name.clone(),
            name: flow.node(node).name.clone(),
            retry: template.retry(),
            limit_ms: template.limit_s.map(seconds),
            pool,
            ahead_ms: flow.ahead_ms[node.at()],
            upstream,
            input_mb: seconds(input_gb),
            feeds: !flow.progress.shape().leaf(node),
        };
        let mut info = JobInfo::new(job, &spec, ready_at, seq, &mut self.names);
        // The aim of a run counts from its acceptance, not from when a node became ready.
        info.due_wall_ms = spec.due_s.map(|due| accepted + seconds(due));
        info.node = Some(Arc::new(of));
        Some(self.add_with_early(Job::new(info)))
    }

    /// The time of day at which a node became ready, by the records alone: of its run's turn, or of the last end that its
    /// rule waited for.
    fn ready_at(&self, run: &Run, flow: &Flow, node: NodeIx) -> u64 {
        let rule = flow.progress.rule(node);
        let first_of = match rule {
            Rule::OneSuccess => Some(false),
            Rule::OneFailed => Some(true),
            _ => None,
        };
        let ended = |up: NodeIx| Some((flow.progress.outcome(up)?, self.ended(flow.node(up).job)?.1));
        let ends = flow.upstream(node).filter_map(ended);
        let last = match first_of {
            Some(failed) => ends.filter(|(end, _)| end.counts_as_failed() == failed).map(|(_, at)| at).min(),
            None => ends.map(|(_, at)| at).max(),
        };
        last.unwrap_or(0).max(run.turn.at)
    }

    /// Jobs that became ready since the last look.
    pub fn take_fresh(&mut self) -> Vec<JobIx> {
        std::mem::take(&mut self.graphs.fresh)
    }

    /// All records were read: what ends tell of runs that were forgotten is of no use any more.
    pub fn forget_old_ends(&mut self) {
        let index = &self.graphs.index;
        let known = |end: &NodeEnd| RunName::parse(&end.run).is_some_and(|run| index.contains_key(&run));
        self.graphs.ends.retain(|_, end| known(end));
    }

    pub(super) fn put_tries(&mut self, job: JobId, record: TriesRecord) {
        self.graphs.tries.entry(job).or_default().extend(record.tasks);
    }

    pub(super) fn drop_tries(&mut self, job: JobId, block: u32) {
        if let Some(tries) = self.graphs.tries.get_mut(&job) {
            tries.retain(|task, _| task / TRIES_BLOCK != block);
            if tries.is_empty() {
                self.graphs.tries.remove(&job);
            }
        }
    }

    pub(super) fn drop_part(&mut self, name: &RunName, part: u32) {
        let Some(ix) = self.graphs.find(name) else { return };
        let Some(run) = self.graphs.run_mut(ix) else { return };
        run.parts.remove(&part);
        run.pieces.remove(&part);
        run.fading |= run.accepted.is_some();
        let gone = run.parts.is_empty() && run.accepted.is_none() && !run.swept;
        self.graphs.refile(ix);
        if gone {
            self.forget_run(ix);
        }
    }

    pub(super) fn drop_turn(&mut self, name: &RunName) {
        let Some(ix) = self.graphs.find(name) else { return };
        if let Some(run) = self.graphs.run_mut(ix) {
            run.fading = true;
            run.turn = TurnRecord { phase: Phase::Ended, ..TurnRecord::default() };
        }
        self.graphs.refile(ix);
    }

    pub(super) fn drop_graph(&mut self, name: &RunName) {
        if let Some(ix) = self.graphs.find(name) {
            self.forget_run(ix);
        }
    }

    /// The ends of its nodes stay, and answer for them.
    fn forget_run(&mut self, ix: RunIx) {
        let Some(mut run) = self.graphs.runs.get_mut(ix.at()).and_then(Option::take) else { return };
        self.graphs.index.remove(&run.name);
        self.graphs.dirty.remove(&ix);
        if let Some((graph, seq)) = run.lane()
            && let Some(lane) = self.graphs.lanes.get_mut(&graph)
        {
            lane.active.remove(&ix);
            lane.waiting.remove(&(seq, ix));
            if lane.active.is_empty() && lane.waiting.is_empty() {
                self.graphs.lanes.remove(&graph);
            }
        }
        let nodes = run.flow.take().map_or(Vec::new(), |flow| flow.nodes);
        self.graphs.nodes -= nodes.len();
        let mut jobs: Vec<JobId> = nodes.into_iter().map(|node| node.job).collect();
        jobs.extend(self.graphs.old.iter().filter(|(_, (run, _))| *run == ix).map(|(job, _)| *job));
        for job in jobs {
            if self.graphs.jobs.get(&job).is_none_or(|(run, _)| *run == ix) && !self.taken(job) {
                self.graphs.jobs.remove(&job);
                self.graphs.old.remove(&job);
                self.graphs.ends.remove(&job);
                self.drop_job(job);
            }
        }
    }
}
