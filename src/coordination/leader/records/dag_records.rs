//! What the leader writes for runs of graphs: ends that follow from others, turns, failures, and what is forgotten.

use olivelatch_dag::{NodeIx, NodeOutcome};

use super::store_writer::{WriteBatch, WriteEffect, to_json};
use crate::bookkeeping::dag_records::{
    DagRunRecord, NodeTerminalRecord, RETRY_BLOCK_TASKS, RetryStateRecord, RunPhase, RunPhaseRecord,
};
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::{RecordKey, TerminalRecord};
use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::ids::JobId;

impl Leader {
    /// Failures of tasks: before anything that makes a new leader forget the attempts they were of.
    pub(super) fn plan_retry_records(&mut self, batch: &mut WriteBatch<'_>) {
        while !batch.is_full()
            && let Some((job, block)) = self.writer.retries_due.pop_first()
        {
            let work = batch.cache.find(job).and_then(|ix| self.workload.jobs.get(&ix));
            let Some(node) = work.and_then(|work| work.dag_node.as_ref()) else { continue };
            let tasks = block * RETRY_BLOCK_TASKS..(block + 1) * RETRY_BLOCK_TASKS;
            let tasks = node.retries.range(tasks).map(|(task, tries)| (*task, tries.clone())).collect();
            batch.add(
                &RecordKey::RetryState(job, block),
                to_json(&RetryStateRecord { by_task: tasks }),
                WriteEffect::RetriesPersisted(job, block),
            );
        }
    }

    pub(super) fn plan_dag_records(&mut self, clock: Clock, batch: &mut WriteBatch<'_>) {
        let cache = batch.cache;
        for ix in &cache.dag_runs.pending_writes {
            let Some(run) = cache.dag_runs.run(*ix) else { continue };
            if batch.is_full() {
                return;
            }
            plan_dag_run(run, clock, batch);
        }
        let startable: Vec<&DagRun> =
            cache.dag_runs.startable_runs().filter_map(|ix| cache.dag_runs.run(ix)).collect();
        for run in startable {
            let turn = RunPhaseRecord {
                phase: RunPhase::Active,
                since_wall_ms: clock.wall_ms,
                ..run.phase_record.clone()
            };
            add_turn_record(run, &turn, batch);
        }
        self.plan_abandoned_runs(clock, batch);
        self.plan_run_deletion(batch);
    }

    /// Parts that nobody committed: first nobody may, then they go.
    fn plan_abandoned_runs(&mut self, clock: Clock, batch: &mut WriteBatch<'_>) {
        let abandoned = std::mem::take(&mut self.dag_runs.abandoned);
        for run in abandoned.into_iter().filter_map(|ix| batch.cache.dag_runs.run(ix)) {
            if run.accepted.is_none() && !run.upload_expired && !batch.is_full() {
                let record = DagRunRecord::UploadExpired { swept: clock.wall_ms };
                batch.add(&RecordKey::DagRun(run.name.clone()), to_json(&record), WriteEffect::NoEffect);
            }
        }
    }

    /// First the turn says so, so that nobody does nodes over whose parts go; then parts, turn and last the header.
    fn plan_run_deletion(&mut self, batch: &mut WriteBatch<'_>) {
        let cache = batch.cache;
        for run in self.dag_runs.deleting.iter().filter_map(|ix| cache.dag_runs.run(*ix)) {
            if run.dag.is_some() && !run.phase_record.deleting {
                add_turn_record(run, &RunPhaseRecord { deleting: true, ..run.phase_record.clone() }, batch);
                continue;
            }
            let segments = run.parts.iter().map(|part| RecordKey::GraphPart(run.name.clone(), *part));
            let remaining_keys = [RecordKey::RunPhase(run.name.clone()), RecordKey::DagRun(run.name.clone())];
            for key in segments.chain(remaining_keys) {
                if batch.is_full() {
                    return;
                }
                if cache.key_revision(&key.encode()).0 > 0 {
                    batch.add(&key, None, WriteEffect::NoEffect);
                }
            }
        }
    }
}

fn add_turn_record(run: &DagRun, turn: &RunPhaseRecord, batch: &mut WriteBatch<'_>) {
    let key = RecordKey::RunPhase(run.name.clone());
    // Changed twice by one transaction, followers would take the first for true.
    if !batch.is_full() && !batch.has_key(&key) {
        batch.add(&key, to_json(turn), WriteEffect::NoEffect);
    }
}

fn add_terminal_record(job: JobId, terminal: NodeTerminalRecord, clock: Clock, batch: &mut WriteBatch<'_>) {
    // Another end of the same job may be in the batch already: that one counts.
    if batch.cache.terminal_state(job).is_none() && !batch.has_key(&RecordKey::Terminal(job)) {
        let detail = batch.with_details.then(|| batch.cache.terminal_detail(job, None)).flatten();
        let ix = batch.cache.find(job);
        batch.add(
            &RecordKey::Terminal(job),
            to_json(&TerminalRecord::for_node(terminal, clock.wall_ms, detail)),
            WriteEffect::NodeStopped(job, ix),
        );
    }
}

fn plan_dag_run(run: &DagRun, clock: Clock, batch: &mut WriteBatch<'_>) {
    let Some(flow) = &run.dag else { return };
    for job in &run.replaced_jobs {
        if batch.is_full() {
            return;
        }
        let terminal = batch.cache.dag_runs.cancelled_terminal(*job);
        add_terminal_record(
            *job,
            terminal.unwrap_or_else(|| NodeTerminalRecord::new(&run.name, "", NodeOutcome::Cancelled)),
            clock,
            batch,
        );
    }
    let terminal_of =
        |node: NodeIx, outcome| NodeTerminalRecord::new(&run.name, &flow.node(node).name, outcome);
    if run.phase_record.cancelled {
        for node in flow.progress.unfinished().iter().map(NodeIx) {
            if batch.is_full() {
                return;
            }
            add_terminal_record(flow.node(node).job, terminal_of(node, NodeOutcome::Cancelled), clock, batch);
        }
    } else if flow.progress.has_outcomes_to_write() {
        for (node, outcome) in flow.progress.outcomes_to_write(batch.remaining()) {
            if batch.is_full() {
                return;
            }
            add_terminal_record(flow.node(node).job, terminal_of(node, outcome), clock, batch);
        }
    }
    if flow.progress.is_finished() && !run.is_ended() {
        let succeeded = Some(flow.progress.is_successful() && !run.phase_record.cancelled);
        let turn = RunPhaseRecord {
            phase: RunPhase::Ended,
            since_wall_ms: clock.wall_ms,
            succeeded,
            ..run.phase_record.clone()
        };
        add_turn_record(run, &turn, batch);
    }
}
