//! The leader's durable records: what has to be written, in which order, and
//! what may happen once it is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::bookkeeping::bits::Bits;
use crate::bookkeeping::graph_records::{NodeEnd, TRIES_BLOCK};
use crate::bookkeeping::jobs::End;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{EndRecord, FinishedRecord, Key, LEADER};
use crate::coordination::Clock;
use crate::coordination::Output;
use crate::coordination::leader::Leader;
use crate::coordination::leader::records::history::{PartId, Told};
use crate::coordination::ledger::{Answered, Ledger, Purpose};
use crate::coordination::users::apply_changes;
use crate::ids::{JobId, JobIx, Millis, Revision};
use crate::protocol::cloud::CatalogEntry;
use crate::protocol::operators::EventWord;
use crate::protocol::state::{Change, Guard, StateReply};

/// What follows once a change is durable.
#[derive(Debug, Clone)]
pub(super) enum Effect {
    Told(Told),
    PartRemoved(PartId),
    Finished {
        job: JobId,
        block: u32,
    },
    Ended(JobId, Option<JobIx>),
    Cleaned(JobId, Option<JobIx>),
    /// A node's end without success: what of it is on machines stops.
    Stopped(JobId, Option<JobIx>),
    Tried(JobId, u32),
    Other,
}

#[derive(Debug, Default)]
pub struct Writer {
    /// Jobs that are done, and nodes of graphs with what their end tells.
    ends: BTreeMap<JobId, Option<NodeEnd>>,
    /// Blocks of tasks with failures that are not durable.
    pub tries_due: BTreeSet<(JobId, u32)>,
    cleaning: BTreeSet<JobId>,
    /// Bookings, machine types: whole changes that only have to be made.
    others: VecDeque<(Key, Option<String>)>,
    in_flight: Vec<Effect>,
    open: bool,
    /// After a transaction without an answer: nothing is written before a poll sent
    /// later than this has told what became of it.
    look_first: Option<Millis>,
}

/// A batch that is this large takes no more: with one more value of up to 16 KiB it still
/// fits the 64 KiB of a transaction.
const LARGEST_TXN: usize = 40 * 1024;

impl Writer {
    pub fn end(&mut self, id: JobId) {
        self.ends.insert(id, None);
    }

    pub fn end_node(&mut self, id: JobId, end: NodeEnd) {
        self.ends.insert(id, Some(end));
    }

    pub fn clean(&mut self, id: JobId) {
        self.cleaning.insert(id);
    }

    /// The last word on a key is the only one: written and removed by one transaction, the
    /// key's two changes would have one revision, and followers would take the first for true.
    pub fn other(&mut self, key: Key, value: Option<String>) {
        self.others.retain(|(known, _)| *known != key);
        self.others.push_back((key, value));
    }

    pub fn kind(&mut self, entry: &CatalogEntry) {
        let value = serde_json::to_string(entry).unwrap_or_default();
        self.other(Key::Kind(entry.name.clone()), Some(value));
    }

    /// Bookings whose record is on its way.
    pub fn waits_for(&self, key: &Key) -> bool {
        self.others.iter().any(|(other, _)| other == key)
    }
}

pub(super) struct Batch<'a> {
    pub mirror: &'a Mirror,
    /// Ends tell more for operators.
    pub details: bool,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    effects: Vec<Effect>,
    bytes: usize,
    most: usize,
}

impl Batch<'_> {
    pub fn full(&self) -> bool {
        self.changes.len() >= self.most || self.bytes >= LARGEST_TXN
    }

    /// How many changes it still takes.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.changes.len())
    }

    pub fn has(&self, key: &Key) -> bool {
        let key = key.text();
        self.changes.iter().any(|change| change.key() == key)
    }

    pub fn add(&mut self, key: &Key, value: Option<String>, effect: Effect) {
        let key = key.text();
        self.bytes += key.len() * 2 + value.as_ref().map_or(0, String::len) + 120;
        self.guards.push(Guard { stamp: self.mirror.stamp(&key), key: key.clone() });
        self.changes.push(match value {
            Some(value) => Change::Put { key, value, lease: None },
            None => Change::Delete { key },
        });
        self.effects.push(effect);
    }
}

/// The blocks that a job's failures are told in.
fn tries_blocks(tries: &BTreeMap<u32, olivelatch_graph::Tries>) -> BTreeSet<u32> {
    tries.keys().map(|task| task / TRIES_BLOCK).collect()
}

pub(super) fn json(value: &impl serde::Serialize) -> Option<String> {
    serde_json::to_string(value).ok()
}

impl Leader {
    /// One transaction at a time: guarded by the leader's key and by each key's own version.
    pub fn write(&mut self, clock: Clock, mirror: &Mirror, ledger: &mut Ledger, out: &mut Vec<Output>) {
        if self.writer.open {
            return;
        }
        if let Some(since) = self.writer.look_first {
            if ledger.fresh.is_none_or(|fresh| fresh <= since) {
                return;
            }
            self.writer.look_first = None;
        }
        let spare = ledger.writes.available(clock.now);
        let most = self.settings.state_limits.txn_ops.min(spare);
        if most == 0 {
            return;
        }
        let leader_key = Guard { key: LEADER.into(), stamp: Revision(self.token.0) };
        let mut batch = Batch {
            mirror,
            details: self.tunables.operators.enabled,
            guards: vec![leader_key],
            changes: Vec::new(),
            effects: Vec::new(),
            bytes: 0,
            most,
        };
        self.plan(clock, spare, ledger.writes.rate(), &mut batch);
        if batch.changes.is_empty() {
            return;
        }
        let (guards, changes, effects) = (batch.guards, batch.changes, batch.effects);
        let count = changes.len() as u64;
        self.writer.in_flight = effects;
        if ledger.txn(clock, Purpose::LeaderTxn, guards, changes, out).is_some() {
            self.writer.open = true;
            self.counters.changes += count;
        } else {
            self.take_back(clock.now);
        }
    }

    /// The transaction was not carried out: what it told is told again.
    fn take_back(&mut self, now: Millis) {
        for effect in std::mem::take(&mut self.writer.in_flight) {
            match effect {
                Effect::Told(told) => self.history.untold(told, now),
                Effect::Tried(job, block) => {
                    self.writer.tries_due.insert((job, block));
                }
                _ => {}
            }
        }
    }

    fn plan(&mut self, clock: Clock, spare: usize, per_second: f64, batch: &mut Batch<'_>) {
        self.plan_tries(batch);
        self.writer.ends.retain(|id, _| batch.mirror.end_of(*id).is_none());
        for (id, node) in &self.writer.ends {
            if batch.full() {
                return;
            }
            let first = |ix| self.work.get(&ix).and_then(|work| work.first_run.known());
            let ix = batch.mirror.find(*id);
            let first = ix.and_then(first);
            let detail = if batch.details { batch.mirror.end_detail(*id, first) } else { None };
            let record = match node {
                Some(node) => EndRecord::of_node(node.clone(), clock.wall_ms, detail),
                None => EndRecord::new(End::Done, clock.wall_ms, detail),
            };
            let done = record.end() == End::Done;
            let effect = if done { Effect::Ended(*id, ix) } else { Effect::Stopped(*id, ix) };
            batch.add(&Key::End(*id), json(&record), effect);
        }
        self.plan_flows(clock, batch);
        for (key, value) in &self.writer.others {
            if batch.full() {
                return;
            }
            batch.add(key, value.clone(), Effect::Other);
        }
        self.plan_log(clock, spare, per_second, batch);
        for (part, key) in self.history.spent(batch.most) {
            if batch.full() {
                return;
            }
            batch.add(&key, None, Effect::PartRemoved(part));
        }
        for (job, block) in self.history.blocks_due() {
            if batch.full() {
                return;
            }
            self.plan_finished(job, block, batch);
        }
        self.plan_cleaning(batch);
    }

    /// One part a transaction, so that its name is certainly free.
    fn plan_log(&mut self, clock: Clock, spare: usize, per_second: f64, batch: &mut Batch<'_>) {
        if batch.full() {
            return;
        }
        if let Some((key, record, told)) = self.next_part(clock, batch.mirror, spare, per_second) {
            batch.add(&key, json(&record), Effect::Told(told));
        }
    }

    fn plan_finished(&mut self, id: JobId, block: u32, batch: &mut Batch<'_>) {
        let work = batch.mirror.find(id).and_then(|ix| self.work.get(&ix));
        let Some(work) = work.filter(|work| !work.ending) else {
            // The end of the job says it all, once it is durable.
            if batch.mirror.end_of(id).is_some() || batch.mirror.find(id).is_none() {
                self.history.told_elsewhere(id, None);
            }
            return;
        };
        let record = FinishedRecord { tasks: work.done.block_hex(block) };
        batch.add(&Key::Finished(id, block), json(&record), Effect::Finished { job: id, block });
    }

    /// The records of ended jobs go once no task of theirs is anywhere.
    fn plan_cleaning(&mut self, batch: &mut Batch<'_>) {
        for id in self.writer.cleaning.clone() {
            if batch.mirror.end_of(id).is_none() || self.bound.contains_key(&id) {
                continue;
            }
            let blocks = batch.mirror.find_job(id).map_or(0, |job| Bits::block_of(job.info.tasks - 1) + 1);
            for block in 0..blocks {
                if batch.full() {
                    return;
                }
                let key = Key::Finished(id, block);
                if batch.mirror.stamp(&key.text()) != Revision(0) {
                    batch.add(&key, None, Effect::Other);
                }
            }
            let before = batch.room();
            for block in batch.mirror.graphs.tries_of(id).into_iter().flat_map(tries_blocks) {
                if batch.full() {
                    return;
                }
                batch.add(&Key::Tries(id, block), None, Effect::Other);
            }
            if batch.full() {
                return;
            }
            if batch.room() < before {
                continue;
            }
            // A graph's node has no record of its own, nor has what is gone.
            if batch.mirror.stamp(&Key::Job(id).text()) == Revision(0) {
                self.writer.cleaning.remove(&id);
                self.forget_work(id, batch.mirror.find(id));
                continue;
            }
            batch.add(&Key::Job(id), None, Effect::Cleaned(id, batch.mirror.find(id)));
        }
    }

    /// What came of the transaction. False: this node does not lead any more.
    pub fn written(&mut self, clock: Clock, answered: Answered, mirror: &mut Mirror) -> bool {
        self.writer.open = false;
        match answered.reply {
            StateReply::Applied { revision } => {
                apply_changes(&answered.request, revision, mirror);
                for effect in std::mem::take(&mut self.writer.in_flight) {
                    self.durable(effect, mirror, clock);
                }
                self.forget_others(&answered.request);
                true
            }
            StateReply::Conflict { failed } => {
                // A late transaction of ours, or another's: look before writing again.
                self.take_back(clock.now);
                self.writer.look_first = Some(clock.now);
                !failed.iter().any(|key| key == LEADER)
            }
            StateReply::Unknown => {
                self.take_back(clock.now);
                self.writer.look_first = Some(clock.now);
                true
            }
            _ => {
                self.take_back(clock.now);
                true
            }
        }
    }

    fn forget_others(&mut self, request: &crate::protocol::state::StateRequest) {
        let crate::protocol::state::StateRequest::Txn { changes, .. } = request else {
            return;
        };
        for change in changes {
            let value = match change {
                Change::Put { value, .. } => Some(value),
                Change::Delete { .. } => None,
            };
            let written =
                |(key, other): &(Key, Option<String>)| key.text() == change.key() && other.as_ref() == value;
            self.writer.others.retain(|other| !written(other));
        }
    }

    fn durable(&mut self, effect: Effect, mirror: &Mirror, clock: Clock) {
        match effect {
            Effect::Told(told) => self.told(told, mirror),
            Effect::PartRemoved(part) => self.history.removed(part),
            Effect::Finished { job, block } => self.history.told_elsewhere(job, Some(block)),
            Effect::Ended(id, ix) => {
                self.writer.ends.remove(&id);
                self.history.told_elsewhere(id, None);
                self.writer.clean(id);
                self.journal.note(id, EventWord::JobDone, None, 0, 0);
                log::info!(event = "done", job:% = id; "done {id}");
                self.forget_work(id, ix.filter(|_| mirror.find(id).is_none()));
            }
            Effect::Cleaned(id, ix) => {
                self.writer.cleaning.remove(&id);
                self.forget_work(id, ix);
            }
            Effect::Stopped(id, ix) => {
                self.writer.ends.remove(&id);
                // What never was ready is nowhere: no machine has to be looked at.
                if ix.is_some() || self.bound.contains_key(&id) {
                    self.history.told_elsewhere(id, None);
                    self.withdraw(id, ix, clock.wall_ms, clock);
                }
            }
            Effect::Tried(..) => {}
            Effect::Other => {}
        }
    }
}
