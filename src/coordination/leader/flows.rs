//! Nodes of graphs on the leader: tries, time limits, pools, and where upstream output is. What a node is besides
//! decides when its tasks may start; where they start is decided as for all others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_graph::{After, Failure, Outcome, Tries};
use rand::RngExt;

use super::{Binding, Leader, Work};
use crate::bookkeeping::graph_records::{MOST_EVIDENCE, NodeEnd, TRIES_BLOCK};
use crate::bookkeeping::mirror::Mirror;
use crate::coordination::Clock;
use crate::ids::{Attempt, JobId, JobIx, MachineIx, Millis, PoolIx, RunIx, TaskRef};
use crate::protocol::graphs::Evidence;
use crate::protocol::users::Shape;
use crate::protocol::workers::{ExitCause, Piece};

/// Machines remembered as holding a node's output, and nodes of which that is remembered.
const MOST_HOMES: usize = 8;
const MOST_HOMED: usize = 20_000;
/// How often runs are looked at that may be forgotten.
const LOOK_MS: u64 = 1_000;

/// What a job is besides, as a node.
#[derive(Debug, Default)]
pub struct NodeWork {
    /// Tasks that have failed.
    pub tries: BTreeMap<u32, Tries>,
    /// The attempt whose result counts, and the length of the list it gave: of nodes with one task, and of gangs.
    made: Option<(Attempt, Option<u32>)>,
}

#[derive(Debug, Default)]
pub struct Flows {
    /// When running tasks have had their time.
    limits: BTreeMap<Millis, Vec<(MachineIx, TaskRef, Attempt)>>,
    pub slots: HashMap<PoolIx, u32>,
    pub used: HashMap<PoolIx, u32>,
    /// Where tasks of nodes finished that others come after.
    homes: HashMap<JobId, Vec<MachineIx>>,
    /// Runs whose records are being removed.
    pub fading: BTreeSet<RunIx>,
    /// Since when parts wait for their commit.
    loose: HashMap<RunIx, Millis>,
    /// Runs whose parts have waited too long.
    pub unclaimed: BTreeSet<RunIx>,
    look_next: Millis,
}

impl Leader {
    /// Pools by their names.
    pub(super) fn learn_pools(&mut self, mirror: &mut Mirror) {
        for (pool, slots) in &self.tunables.graphs.pools {
            self.flows.slots.insert(mirror.names.pools.intern(pool), *slots as u32);
        }
    }

    /// What a new job is as a node. Tries used up without an end: the leader before got no further.
    pub(super) fn node_work(&mut self, ix: JobIx, mirror: &Mirror) {
        let Some(work) = self.work.get_mut(&ix) else { return };
        if work.info.node.is_none() || work.node.is_some() {
            return;
        }
        let id = work.info.id;
        let tries = mirror.graphs.tries_of(id).cloned().unwrap_or_default();
        work.node = Some(Box::new(NodeWork { tries, made: None }));
        work.ending |= mirror.graphs.stopped(id);
        let used_up = |node: &NodeWork| {
            let retry = work.info.node.as_ref().map(|info| info.retry).unwrap_or_default();
            node.tries.iter().find(|(_, tries)| tries.used_up(&retry)).map(|(task, _)| *task)
        };
        if let Some(task) = work.node.as_deref().and_then(used_up) {
            self.fail_node(ix, task);
        }
    }

    /// Has the node's pool room for so many more tasks?
    pub fn within_pool(&self, work: &Work, tasks: u32) -> bool {
        let Some(pool) = work.info.pool() else { return true };
        let used = self.flows.used.get(&pool).copied().unwrap_or(0);
        self.flows.slots.get(&pool).is_none_or(|slots| used + tasks <= *slots)
    }

    /// A task that was seen to run has so long.
    pub(super) fn limit_from_now(&mut self, ix: MachineIx, job: Option<JobIx>, piece: &Piece, clock: Clock) {
        let node = job.and_then(|job| self.work.get(&job)?.info.node.as_ref());
        if let Some(limit) = node.and_then(|node| node.limit_ms) {
            let due = self.flows.limits.entry(clock.now.plus(limit)).or_default();
            due.push((ix, piece.task, piece.attempt));
        }
    }

    /// Stops tasks that have had their time: of a gang all, since it is as slow as its slowest.
    pub fn enforce_limits(&mut self, clock: Clock) {
        while let Some((at, _)) = self.flows.limits.first_key_value()
            && *at <= clock.now
        {
            for (ix, task, attempt) in self.flows.limits.pop_first().map(|(_, due)| due).unwrap_or_default() {
                self.over_limit(ix, task, attempt);
            }
        }
    }

    fn over_limit(&mut self, ix: MachineIx, task: TaskRef, attempt: Attempt) {
        let here = |binding: &Binding| binding.task.job == task.job && binding.attempt == attempt;
        let found = self.machines[ix.at()].bindings.iter().find(|b| here(b) && b.task == task);
        let Some(job) = found.and_then(|binding| binding.job) else { return };
        let Some(work) = self.work.get(&job) else { return };
        let gang = work.info.shape == Shape::Gang;
        let places: BTreeSet<MachineIx> = if gang {
            work.out.values().flatten().map(|(ix, _)| *ix).collect()
        } else {
            BTreeSet::from([ix])
        };
        log::info!(event = "over_limit", task:% = task; "{task} has run longer than it may");
        for place in places {
            let bindings = self.machines[place.at()].bindings.iter_mut();
            for binding in bindings.filter(|b| here(b) && (gang || b.task == task)) {
                binding.halt = Some(0);
                binding.over_limit = true;
            }
            self.to_tell.insert(place);
        }
    }

    /// A task of a node has exited. None: that is no failure of its. Else the wait before the next try, if there is one.
    pub(super) fn node_failed(
        &mut self,
        ix: MachineIx,
        binding: &Binding,
        cause: ExitCause,
    ) -> Option<Option<u64>> {
        let cause = match cause {
            ExitCause::Error => "error",
            ExitCause::Halted { .. } | ExitCause::Peers if binding.over_limit => "time limit",
            _ => return None,
        };
        let job = binding.job?;
        let machine = self.machines[ix.at()].name.clone();
        let chance: f64 = self.rng.random();
        let work = self.work.get_mut(&job)?;
        let retry = work.info.node.as_ref()?.retry;
        // A gang fails as one.
        let task = if work.info.shape == Shape::Gang { 0 } else { binding.task.task };
        let tries = work.node.as_mut()?.tries.entry(task).or_default();
        let failure = Failure { attempt: binding.attempt.0, machine, cause: cause.into() };
        let after = tries.failed(failure, &retry);
        let wait = retry.wait(tries.failures, chance);
        let id = work.info.id;
        if after != After::Known {
            self.writer.tries_due.insert((id, task / TRIES_BLOCK));
        }
        if after == After::Final {
            log::info!(event = "node_failed", job:% = id; "{id} has failed for good");
            self.fail_node(job, task);
        }
        let over = self.work.get(&job).is_none_or(|work| work.ending);
        Some((!over).then_some(wait))
    }

    /// The node's tries are used up: nothing of it starts any more, and once its end is durable the rest stops.
    fn fail_node(&mut self, job: JobIx, task: u32) {
        let Some(work) = self.work.get_mut(&job) else { return };
        let Some((info, node)) = work.info.node.as_ref().zip(work.node.as_ref()) else { return };
        work.ending = true;
        let mut end = NodeEnd::new(&info.run, &info.name, Outcome::Failed);
        let of = |task: u32, tries: &Tries| {
            let one = move |failure: &Failure| Evidence { task, failure: failure.clone() };
            tries.evidence.iter().map(one).collect::<Vec<_>>()
        };
        // First of all the task that decided it.
        let first = node.tries.get(&task).map(|tries| of(task, tries)).unwrap_or_default();
        let others =
            node.tries.iter().filter(|(other, _)| **other != task).flat_map(|(task, tries)| of(*task, tries));
        end.evidence = first.into_iter().chain(others).take(MOST_EVIDENCE).collect();
        self.writer.end_node(work.info.id, end);
    }

    /// A task of a node is done: whose result counts, where its output is.
    pub(super) fn node_done(&mut self, ix: MachineIx, job: JobIx, piece: &Piece) {
        let Some(work) = self.work.get_mut(&job) else { return };
        let Some((info, node)) = work.info.node.as_ref().zip(work.node.as_mut()) else { return };
        if work.info.tasks == 1 || work.info.shape == Shape::Gang {
            let gave = piece.gave.or(node.made.and_then(|(_, gave)| gave));
            node.made = Some((piece.made.unwrap_or(piece.attempt), gave));
        }
        if info.feeds {
            if self.flows.homes.len() >= MOST_HOMED {
                // Where old output is helps nobody; what is lost of the new only costs a fetch.
                self.flows.homes.clear();
            }
            let homes = self.flows.homes.entry(work.info.id).or_default();
            if homes.len() < MOST_HOMES && !homes.contains(&ix) {
                homes.push(ix);
            }
        }
    }

    /// How the end of a job that is done is told, if it is a node.
    pub(super) fn success_of(&self, work: &Work) -> Option<NodeEnd> {
        let (info, node) = work.info.node.as_ref().zip(work.node.as_ref())?;
        let mut end = NodeEnd::new(&info.run, &info.name, Outcome::Success);
        end.attempt = node.made.map(|(attempt, _)| attempt.0);
        end.gave = node.made.and_then(|(_, gave)| gave);
        Some(end)
    }

    /// Machines that hold output which a job reads.
    pub fn homes_of(&self, work: &Work) -> Vec<MachineIx> {
        let Some(node) = &work.info.node else { return Vec::new() };
        let mut homes: Vec<MachineIx> =
            node.upstream.iter().filter_map(|job| self.flows.homes.get(job)).flatten().copied().collect();
        homes.sort_unstable();
        homes.dedup();
        homes
    }

    /// Now and then: runs that may be forgotten, parts that nobody has committed in time.
    pub fn look_at_runs(&mut self, mirror: &Mirror, clock: Clock) {
        if clock.now < self.flows.look_next {
            return;
        }
        self.flows.look_next = clock.now.plus(LOOK_MS);
        let tunables = &self.tunables.graphs;
        let mut ended: Vec<(u64, RunIx)> = Vec::new();
        let mut loose = BTreeSet::new();
        for (ix, run) in mirror.graphs.all() {
            if run.accepted.is_none() && !run.swept {
                loose.insert(ix);
            } else if run.fading || run.swept {
                self.flows.fading.insert(ix);
            } else if run.ended() && run.replaced.is_empty() {
                ended.push((run.turn.at, ix));
            }
        }
        ended.sort_unstable();
        let kept = tunables.kept_runs as usize;
        let crowded = mirror.graphs.nodes as f64 > tunables.most_nodes * 0.8;
        let surplus = ended.len().saturating_sub(kept).max(usize::from(crowded && !ended.is_empty()));
        // Only those few are looked at node by node.
        let free = |ix: &RunIx| mirror.graphs.run(*ix).is_some_and(|run| !self.bound_run(run));
        let fading: Vec<RunIx> = ended.iter().take(surplus).map(|(_, ix)| *ix).filter(free).collect();
        self.flows.fading.extend(fading);
        self.flows.fading.retain(|ix| mirror.graphs.run(*ix).is_some());
        let sweep_ms = (tunables.sweep_s * 1000.0) as u64;
        self.flows.loose.retain(|ix, _| loose.contains(ix));
        for ix in loose {
            let since = *self.flows.loose.entry(ix).or_insert(clock.now);
            if clock.now.since(since) >= sweep_ms {
                self.flows.unclaimed.insert(ix);
            }
        }
    }

    /// May tasks of the run's nodes be anywhere?
    fn bound_run(&self, run: &crate::bookkeeping::graphs::Run) -> bool {
        let nodes = run.flow.iter().flat_map(|flow| &flow.nodes);
        nodes.into_iter().any(|node| self.bound.contains_key(&node.job))
    }
}
