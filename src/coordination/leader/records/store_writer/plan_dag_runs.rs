//! Plans the records of DAG runs in the leader's transactions: terminal records of nodes that follow from other
//! records, phases of runs, and the deletion of old or abandoned runs.

use olivelatch_dag::{NodeIx, NodeOutcome};

use super::batch::{WriteBatch, WriteEffect};
use crate::bookkeeping::dag::Dag;
use crate::bookkeeping::dag_records::{DagRunRecord, NodeTerminalRecord, RunPhase, RunPhaseRecord};
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::{RecordKey, TerminalRecord};
use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::ids::JobId;

impl Leader {
    /// Plans records until the batch is full. The remaining ones are planned again for the next batch.
    pub(super) fn plan_dag_records(&mut self, clock: Clock, batch: &mut WriteBatch<'_>) {
        let cache = batch.cache;
        for run in cache.dag_runs.pending_writes.iter().filter_map(|ix| cache.dag_runs.run(*ix)) {
            if batch.is_full() {
                return;
            }
            plan_dag_run(run, clock, batch);
        }
        for run in cache.dag_runs.startable_runs().filter_map(|ix| cache.dag_runs.run(ix)) {
            let phase = RunPhaseRecord {
                phase: RunPhase::Active,
                since_wall_ms: clock.wall_ms,
                ..run.phase_record.clone()
            };
            put_run_phase(run, &phase, batch);
        }
        self.plan_abandoned_runs(clock, batch);
        self.plan_run_deletion(batch);
    }

    /// Plans the expiry of uploads that were not committed in time. The record that prevents a later commit is written
    /// first, and the parts are deleted afterwards.
    fn plan_abandoned_runs(&mut self, clock: Clock, batch: &mut WriteBatch<'_>) {
        let abandoned = std::mem::take(&mut self.dag_runs.abandoned);
        for run in abandoned.into_iter().filter_map(|ix| batch.cache.dag_runs.run(ix)) {
            if run.accepted.is_none() && !run.upload_expired && !batch.is_full() {
                let record = DagRunRecord::UploadExpired { swept: clock.wall_ms };
                batch.put(&RecordKey::DagRun(run.name.clone()), &record, WriteEffect::NoEffect);
            }
        }
    }

    /// Plans the deletion of runs. The phase record marks the deletion first, so that no controller schedules nodes of
    /// a run whose parts are being deleted. The parts, the phase record and finally the header are deleted afterwards.
    fn plan_run_deletion(&mut self, batch: &mut WriteBatch<'_>) {
        let cache = batch.cache;
        for run in self.dag_runs.deleting.iter().filter_map(|ix| cache.dag_runs.run(*ix)) {
            if run.dag.is_some() && !run.phase_record.deleting {
                let phase = RunPhaseRecord { deleting: true, ..run.phase_record.clone() };
                put_run_phase(run, &phase, batch);
                continue;
            }
            let parts = run.parts.iter().map(|part| RecordKey::GraphPart(run.name.clone(), *part));
            let remaining_keys = [RecordKey::RunPhase(run.name.clone()), RecordKey::DagRun(run.name.clone())];
            for key in parts.chain(remaining_keys) {
                if batch.is_full() {
                    return;
                }
                if cache.key_revision(&key.encode()).0 > 0 {
                    batch.delete(&key, WriteEffect::NoEffect);
                }
            }
        }
    }
}

/// Plans the terminal records of nodes that a rerun, a cancellation or their trigger rules end, and the phase record
/// that ends the run.
fn plan_dag_run(run: &DagRun, clock: Clock, batch: &mut WriteBatch<'_>) {
    let Some(dag) = &run.dag else { return };
    for job in &run.replaced_jobs {
        if batch.is_full() {
            return;
        }
        let terminal = batch.cache.dag_runs.cancelled_terminal(*job);
        let terminal =
            terminal.unwrap_or_else(|| NodeTerminalRecord::new(&run.name, "", NodeOutcome::Cancelled));
        put_node_terminal(*job, terminal, clock, batch);
    }
    if run.phase_record.cancelled {
        let unfinished = dag.progress.unfinished().iter().map(NodeIx);
        put_outcomes(run, dag, unfinished.map(|node| (node, NodeOutcome::Cancelled)), clock, batch);
    } else if dag.progress.has_outcomes_to_write() {
        let outcomes = dag.progress.outcomes_to_write(batch.remaining());
        put_outcomes(run, dag, outcomes, clock, batch);
    }
    if dag.progress.is_finished() && !run.is_ended() {
        let succeeded = dag.progress.is_successful() && !run.phase_record.cancelled;
        let phase = RunPhaseRecord {
            phase: RunPhase::Ended,
            since_wall_ms: clock.wall_ms,
            succeeded: Some(succeeded),
            ..run.phase_record.clone()
        };
        put_run_phase(run, &phase, batch);
    }
}

fn put_outcomes(
    run: &DagRun,
    dag: &Dag,
    outcomes: impl IntoIterator<Item = (NodeIx, NodeOutcome)>,
    clock: Clock,
    batch: &mut WriteBatch<'_>,
) {
    for (node, outcome) in outcomes {
        if batch.is_full() {
            return;
        }
        let node = dag.node(node);
        put_node_terminal(node.job, NodeTerminalRecord::new(&run.name, &node.name, outcome), clock, batch);
    }
}

/// Adds the phase record of a run, unless the batch already changes it: the two changes would have the same revision,
/// and followers would take the first for the newest.
fn put_run_phase(run: &DagRun, phase: &RunPhaseRecord, batch: &mut WriteBatch<'_>) {
    let key = RecordKey::RunPhase(run.name.clone());
    if !batch.is_full() && !batch.has_key(&key) {
        batch.put(&key, phase, WriteEffect::NoEffect);
    }
}

/// Adds the terminal record of a node, unless the job already has one in the store or in the batch, which takes
/// precedence.
fn put_node_terminal(job: JobId, terminal: NodeTerminalRecord, clock: Clock, batch: &mut WriteBatch<'_>) {
    let key = RecordKey::Terminal(job);
    if batch.cache.terminal_state(job).is_some() || batch.has_key(&key) {
        return;
    }
    let detail = if batch.with_details() { batch.cache.terminal_detail(job, None) } else { None };
    let effect = WriteEffect::NodeStopped(job, batch.cache.find(job));
    batch.put(&key, &TerminalRecord::for_node(terminal, clock.wall_ms, detail), effect);
}
