//! Turns ready nodes into jobs, which are scheduled like those that users submit.

use std::sync::Arc;

use olivelatch_dag::{NodeIx, NodeOutcome, TriggerRule};

use super::DagRun;
use crate::bookkeeping::dag::Dag;
use crate::bookkeeping::jobs::{Job, JobSpec, NodeSpec};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId, JobIx, seconds_to_ms};

/// Maximum number of upstream jobs whose output is considered when a machine is chosen for a node.
const MAX_UPSTREAM_JOBS: usize = 16;

impl StoreCache {
    /// Creates the job of a ready node, unless the job exists already or has a terminal state.
    pub(super) fn create_node_job(&mut self, ix: DagRunIx, node: NodeIx) {
        let dag = self.dag_runs.run(ix).and_then(|run| run.dag.as_ref());
        let Some(job) = dag.map(|dag| dag.node(node).job) else { return };
        if self.find(job).is_none()
            && self.terminal_state(job).is_none()
            && let Some(added) = self.add_node_job(ix, node, job)
        {
            self.dag_runs.newly_ready.push(added);
        }
    }

    pub(super) fn add_node_job(&mut self, ix: DagRunIx, node: NodeIx, job: JobId) -> Option<JobIx> {
        let run = self.dag_runs.run(ix)?;
        let (Some(dag), Some((accepted_wall_ms, _, accepted_revision))) = (&run.dag, &run.accepted) else {
            return None;
        };
        let ready_wall_ms = self.ready_wall_ms(run, dag, node);
        let template = dag.template(node);
        let mut manifest = template.manifest.clone();
        if let Some(tasks) = dag.progress.map_len(node) {
            manifest.tasks = tasks;
        }
        let pool = template.pool.as_ref().map(|pool| self.names.pools.intern(pool));
        let node_spec = NodeSpec { pool, ..node_spec(run, dag, node) };
        let mut spec = JobSpec::new(job, &manifest, ready_wall_ms, *accepted_revision, &mut self.names);
        // The deadline is measured from the acceptance of the run, not from the time at which the node became ready.
        spec.slo_wall_ms = manifest.deadline_s.map(|deadline| accepted_wall_ms + seconds_to_ms(deadline));
        spec.node = Some(Arc::new(node_spec));
        Some(self.add_with_out_of_order(Job::new(spec)))
    }

    /// Returns the wall-clock time at which a node became ready, derived from the records alone: when its run became
    /// active, or when the upstream node whose outcome satisfied the trigger rule finished, whichever is later.
    fn ready_wall_ms(&self, run: &DagRun, dag: &Dag, node: NodeIx) -> u64 {
        let outcome_and_time = |upstream: NodeIx| {
            let terminal = self.terminal_summary(dag.node(upstream).job)?;
            Some((dag.progress.outcome(upstream)?, terminal.ended_wall_ms))
        };
        let end_times = |is_relevant: fn(NodeOutcome) -> bool| {
            let outcomes = dag.upstream(node).filter_map(outcome_and_time);
            outcomes.filter(move |(outcome, _)| is_relevant(*outcome)).map(|(_, ended_wall_ms)| ended_wall_ms)
        };
        let rule_satisfied_wall_ms = match dag.progress.rule(node) {
            TriggerRule::OneSuccess => end_times(|outcome| !outcome.is_failure()).min(),
            TriggerRule::OneFailed => end_times(NodeOutcome::is_failure).min(),
            _ => end_times(|_| true).max(),
        };
        rule_satisfied_wall_ms.unwrap_or(0).max(run.phase_record.since_wall_ms)
    }
}

/// Returns the specification that a job gets from its node. The pool is left out: its name has to be interned first.
fn node_spec(run: &DagRun, dag: &Dag, node: NodeIx) -> NodeSpec {
    let template = dag.template(node);
    let upstream = || dag.upstream(node).take(MAX_UPSTREAM_JOBS);
    let input_gb: f64 = upstream().map(|node| dag.template(node).output_gb).sum();
    NodeSpec {
        run: run.name.clone(),
        name: dag.node(node).name.clone(),
        retry_policy: template.retry_policy(),
        timeout_ms: template.timeout_s.map(seconds_to_ms),
        pool: None,
        downstream_path_ms: dag.downstream_path_ms[node.index()],
        upstream_jobs: upstream().map(|node| dag.node(node).job).collect(),
        input_mb: gb_to_mb(input_gb),
        has_downstream: !dag.progress.topology().is_leaf(node),
    }
}

fn gb_to_mb(gb: f64) -> u64 {
    (gb * 1000.0).round().max(0.0) as u64
}
