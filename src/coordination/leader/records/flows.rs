//! What the leader writes for runs of graphs: ends that follow from others, turns, failures, and what is forgotten.

use olivelatch_graph::{NodeIx, Outcome};

use super::writer::{Batch, Effect, json};
use crate::bookkeeping::graph_records::{GraphRecord, NodeEnd, Phase, TRIES_BLOCK, TriesRecord, TurnRecord};
use crate::bookkeeping::graphs::Run;
use crate::bookkeeping::records::{EndRecord, Key};
use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::ids::JobId;

impl Leader {
    /// Failures of tasks: before anything that makes a new leader forget the attempts they were of.
    pub(super) fn plan_tries(&mut self, batch: &mut Batch<'_>) {
        while !batch.full()
            && let Some((job, block)) = self.writer.tries_due.pop_first()
        {
            let work = batch.mirror.find(job).and_then(|ix| self.work.get(&ix));
            let Some(node) = work.and_then(|work| work.node.as_ref()) else { continue };
            let tasks = block * TRIES_BLOCK..(block + 1) * TRIES_BLOCK;
            let tasks = node.tries.range(tasks).map(|(task, tries)| (*task, tries.clone())).collect();
            batch.add(&Key::Tries(job, block), json(&TriesRecord { tasks }), Effect::Tried(job, block));
        }
    }

    pub(super) fn plan_flows(&mut self, clock: Clock, batch: &mut Batch<'_>) {
        let mirror = batch.mirror;
        for ix in &mirror.graphs.dirty {
            let Some(run) = mirror.graphs.run(*ix) else { continue };
            if batch.full() {
                return;
            }
            plan_run(run, clock, batch);
        }
        let starting: Vec<&Run> = mirror.graphs.startable().filter_map(|ix| mirror.graphs.run(ix)).collect();
        for run in starting {
            let turn = TurnRecord { phase: Phase::Active, at: clock.wall_ms, ..run.turn.clone() };
            add_turn(run, &turn, batch);
        }
        self.plan_sweep(clock, batch);
        self.plan_forgetting(batch);
    }

    /// Parts that nobody committed: first nobody may, then they go.
    fn plan_sweep(&mut self, clock: Clock, batch: &mut Batch<'_>) {
        let unclaimed = std::mem::take(&mut self.flows.unclaimed);
        for run in unclaimed.into_iter().filter_map(|ix| batch.mirror.graphs.run(ix)) {
            if run.accepted.is_none() && !run.swept && !batch.full() {
                let record = GraphRecord::Swept { swept: clock.wall_ms };
                batch.add(&Key::Graph(run.name.clone()), json(&record), Effect::Other);
            }
        }
    }

    /// First the turn says so, so that nobody does nodes over whose parts go; then parts, turn and last the header.
    fn plan_forgetting(&mut self, batch: &mut Batch<'_>) {
        let mirror = batch.mirror;
        for run in self.flows.fading.iter().filter_map(|ix| mirror.graphs.run(*ix)) {
            if run.flow.is_some() && !run.turn.gone {
                add_turn(run, &TurnRecord { gone: true, ..run.turn.clone() }, batch);
                continue;
            }
            let parts = run.parts.iter().map(|part| Key::Part(run.name.clone(), *part));
            let rest = [Key::Turn(run.name.clone()), Key::Graph(run.name.clone())];
            for key in parts.chain(rest) {
                if batch.full() {
                    return;
                }
                if mirror.stamp(&key.text()).0 > 0 {
                    batch.add(&key, None, Effect::Other);
                }
            }
        }
    }
}

fn add_turn(run: &Run, turn: &TurnRecord, batch: &mut Batch<'_>) {
    let key = Key::Turn(run.name.clone());
    // Changed twice by one transaction, followers would take the first for true.
    if !batch.full() && !batch.has(&key) {
        batch.add(&key, json(turn), Effect::Other);
    }
}

fn add_end(job: JobId, end: NodeEnd, clock: Clock, batch: &mut Batch<'_>) {
    // Another end of the same job may be in the batch already: that one counts.
    if batch.mirror.end_of(job).is_none() && !batch.has(&Key::End(job)) {
        let detail = batch.details.then(|| batch.mirror.end_detail(job, None)).flatten();
        let ix = batch.mirror.find(job);
        batch.add(
            &Key::End(job),
            json(&EndRecord::of_node(end, clock.wall_ms, detail)),
            Effect::Stopped(job, ix),
        );
    }
}

fn plan_run(run: &Run, clock: Clock, batch: &mut Batch<'_>) {
    let Some(flow) = &run.flow else { return };
    for job in &run.replaced {
        if batch.full() {
            return;
        }
        let end = batch.mirror.graphs.cancelled_end(*job);
        add_end(*job, end.unwrap_or_else(|| NodeEnd::new(&run.name, "", Outcome::Cancelled)), clock, batch);
    }
    let end_of = |node: NodeIx, outcome| NodeEnd::new(&run.name, &flow.node(node).name, outcome);
    if run.turn.cancelled {
        for node in flow.progress.open().iter().map(NodeIx) {
            if batch.full() {
                return;
            }
            add_end(flow.node(node).job, end_of(node, Outcome::Cancelled), clock, batch);
        }
    } else if flow.progress.has_to_write() {
        for (node, outcome) in flow.progress.to_write(batch.room()) {
            if batch.full() {
                return;
            }
            add_end(flow.node(node).job, end_of(node, outcome), clock, batch);
        }
    }
    if flow.progress.over() && !run.ended() {
        let well = Some(flow.progress.went_well() && !run.turn.cancelled);
        let turn = TurnRecord { phase: Phase::Ended, at: clock.wall_ms, well, ..run.turn.clone() };
        add_turn(run, &turn, batch);
    }
}
