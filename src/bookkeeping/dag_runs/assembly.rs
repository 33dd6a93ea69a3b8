//! Assembles a run from its parts, and applies its reruns.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch_dag::{NodeIx, NodeOutcome};

use super::DagRun;
use crate::bookkeeping::dag::{Dag, DagNode};
use crate::bookkeeping::dag_records::RunPhase;
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId, Revision};

/// Returns the numbers of the parts that describe reruns; None if the run is being deleted or a record needed to
/// assemble it has not been read.
fn complete_rerun_parts(run: &DagRun) -> Option<Vec<u32>> {
    let (_, header, _) = run.accepted.as_ref()?;
    let has_part = |part: &u32| run.part_contents.contains_key(part);
    let reruns: Vec<u32> =
        run.phase_record.reruns.iter().flat_map(|(first, count)| *first..first + count).collect();
    let has_graph = run.dag.is_some() || (0..header.parts).all(|part| has_part(&part));
    (has_graph && reruns.iter().all(has_part) && !run.deleting).then_some(reruns)
}

/// Builds the graph from its parts, drops their contents and returns the number of nodes.
fn build_dag(run: &mut DagRun) -> Option<usize> {
    let (_, header, _) = run.accepted.as_ref()?;
    // The graph was validated before it was accepted, so this fails only if a record is damaged.
    let dag = Dag::from_parts((0..header.parts).filter_map(|part| run.part_contents.get(&part))).ok()?;
    run.part_contents.retain(|part, _| *part >= header.parts);
    let nodes = dag.nodes.len();
    run.dag = Some(Box::new(dag));
    Some(nodes)
}

/// Nodes whose jobs were replaced by reruns.
#[derive(Default)]
struct ReplacedJobs {
    /// New jobs of the nodes.
    new: BTreeMap<NodeIx, JobId>,
    /// Replaced jobs, with their nodes.
    old: Vec<(NodeIx, JobId)>,
}

/// Replaces the jobs of nodes by those of the rows (first node, number of nodes, first job).
fn replace_jobs(nodes: &mut [DagNode], rows: &[(u32, u32, u64)]) -> ReplacedJobs {
    let mut replaced = ReplacedJobs::default();
    for (first, count, first_job) in rows {
        for node in *first..first.saturating_add(*count).min(nodes.len() as u32) {
            let job = JobId(first_job.saturating_add(u64::from(node - first)));
            let previous = std::mem::replace(&mut nodes[node as usize].job, job);
            if previous != job {
                replaced.old.push((NodeIx(node), previous));
                replaced.new.insert(NodeIx(node), job);
            }
        }
    }
    // All reruns are replayed from the first one, so a node that was rerun several times passes through its earlier
    // jobs again. Its current job is among the replaced ones then, but must not count as replaced.
    let current: BTreeSet<JobId> = nodes.iter().map(|node| node.job).collect();
    replaced.old.retain(|(_, job)| !current.contains(job));
    replaced
}

impl StoreCache {
    /// Assembles a run once all its parts have been read, and again for each rerun.
    pub(super) fn assemble_dag(&mut self, ix: DagRunIx) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let Some(rerun_parts) = complete_rerun_parts(run) else { return };
        if run.dag.is_none() {
            let Some(nodes) = build_dag(run) else { return };
            self.dag_runs.node_count += nodes;
            self.register_node_jobs(ix, None);
        }
        self.apply_reruns(ix, &rerun_parts);
        self.replay_terminals(ix);
    }

    /// Adds the nodes to the index of current jobs: those in `only` if it is given, else all. Jobs whose ids belong to
    /// plain jobs are left out.
    fn register_node_jobs(&mut self, ix: DagRunIx, only: Option<&BTreeMap<NodeIx, JobId>>) {
        let Some(dag) = self.dag_runs.run(ix).and_then(|run| run.dag.as_ref()) else { return };
        let all = dag.nodes.iter().enumerate().map(|(node, row)| (NodeIx(node as u32), row.job));
        let selected = all.filter(|(node, _)| only.is_none_or(|only| only.contains_key(node)));
        let without_plain_jobs: Vec<_> = selected.filter(|(_, job)| !self.is_plain_job(*job)).collect();
        for (node, job) in without_plain_jobs {
            self.dag_runs.current_jobs.insert(job, (ix, node));
        }
    }

    /// Returns whether the id belongs to a plain job, submitted directly by a user, which another controller accepted
    /// before the graph.
    pub(super) fn is_plain_job(&self, job: JobId) -> bool {
        let has_record = self.key_revision(&RecordKey::Job(job).encode()) != Revision(0);
        has_record || (self.terminal_state(job).is_some() && !self.dag_runs.terminals.contains_key(&job))
    }

    fn apply_reruns(&mut self, ix: DagRunIx, rerun_parts: &[u32]) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        let Some(dag) = &mut run.dag else { return };
        let parts = rerun_parts.iter().filter_map(|part| run.part_contents.get(part));
        let rows: Vec<_> = parts.flat_map(|part| part.reruns.iter().copied()).collect();
        let replaced = replace_jobs(&mut dag.nodes, &rows);
        for (node, job) in replaced.old {
            self.dag_runs.current_jobs.remove(&job);
            self.dag_runs.replaced_jobs.insert(job, (ix, node));
            if self.terminal_state(job).is_none()
                && let Some(run) = self.dag_runs.run_mut(ix)
            {
                run.replaced_jobs.insert(job);
            }
        }
        self.register_node_jobs(ix, Some(&replaced.new));
    }

    /// Rebuilds the progress of a run from the terminal records of its nodes.
    fn replay_terminals(&mut self, ix: DagRunIx) {
        let Some(dag) = self.dag_runs.run_mut(ix).and_then(|run| run.dag.as_mut()) else { return };
        dag.reset_progress();
        let jobs: Vec<JobId> = dag.nodes.iter().map(|node| node.job).collect();
        for (node, job) in jobs.iter().enumerate() {
            let terminal = match self.dag_runs.terminals.get(job) {
                Some(terminal) => Some((terminal.outcome, terminal.valid_list_len())),
                None if self.is_plain_job(*job) => Some((NodeOutcome::Failed, None)),
                None => None,
            };
            if let Some((outcome, list_len)) = terminal
                && let Some(dag) = self.dag_runs.run_mut(ix).and_then(|run| run.dag.as_mut())
            {
                dag.progress.record_outcome(NodeIx(node as u32), outcome, list_len);
            }
        }
        self.restore_stopped_jobs(ix, &jobs);
        self.activate_ready_nodes(ix);
    }

    /// Adds the jobs of stopped nodes to the cache. As with plain jobs, some of their tasks may still run on machines,
    /// and the resources of these tasks must be accounted for until no task can be left. Jobs in the state `Done` have
    /// no tasks left, and nodes that never became ready never had any.
    fn restore_stopped_jobs(&mut self, ix: DagRunIx, jobs: &[JobId]) {
        let was_stopped = |job: &JobId| {
            let outcome = self.dag_runs.terminals.get(job).map(|terminal| terminal.outcome);
            matches!(outcome, Some(NodeOutcome::Failed | NodeOutcome::Cancelled))
        };
        let current = jobs.iter().enumerate().map(|(node, job)| (NodeIx(node as u32), *job));
        let mut stopped: Vec<(NodeIx, JobId)> = current.filter(|(_, job)| was_stopped(job)).collect();
        let replaced = self.dag_runs.replaced_jobs.iter().filter(|(_, (run, _))| *run == ix);
        stopped.extend(
            replaced
                .filter(|(job, _)| self.terminal_state(**job) != Some(TerminalState::Done))
                .map(|(job, (_, node))| (*node, *job)),
        );
        for (node, job) in stopped {
            if self.find(job).is_none() && !self.is_plain_job(job) {
                self.add_node_job(ix, node, job);
            }
        }
    }

    /// Turns the ready nodes of an active run into jobs.
    pub(super) fn activate_ready_nodes(&mut self, ix: DagRunIx) {
        let Some(run) = self.dag_runs.run_mut(ix) else { return };
        // This includes cancelled runs: tasks of their ready nodes may still run on machines and use resources.
        if run.phase_record.phase == RunPhase::Active
            && let Some(dag) = &mut run.dag
        {
            dag.progress.activate();
            let ready: Vec<NodeIx> = dag.progress.ready().iter().map(NodeIx).collect();
            ready.into_iter().for_each(|node| self.create_node_job(ix, node));
        }
        self.dag_runs.update_queues(ix);
    }
}
