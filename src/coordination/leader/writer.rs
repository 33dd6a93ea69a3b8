//! The leader's durable records: what has to be written, in which order, and
//! what may happen once it is.

use std::collections::{BTreeSet, VecDeque};

use super::{Leader, Life, Run};
use crate::bookkeeping::bits::Bits;
use crate::bookkeeping::ids::{Attempt, JobId, MachineIx, Millis, Revision, TaskRef};
use crate::bookkeeping::jobs::End;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{EndRecord, FinishedRecord, Key, LEADER, MachineRecord};
use crate::coordination::Clock;
use crate::coordination::Output;
use crate::coordination::ledger::{Answered, Ledger, Purpose};
use crate::coordination::users::apply_changes;
use crate::protocol::cloud::CatalogEntry;
use crate::protocol::state::{Change, Guard, StateReply};

/// What follows once a change is durable.
#[derive(Debug, Clone)]
enum Effect {
    Machine { ix: MachineIx, runs: Vec<(TaskRef, Attempt)>, returning: bool },
    Finished { job: JobId, block: u32 },
    Ended(JobId),
    Cleaned(JobId),
    Other,
}

#[derive(Debug, Default)]
pub struct Writer {
    urgent: BTreeSet<MachineIx>,
    stale: BTreeSet<MachineIx>,
    finished: BTreeSet<(JobId, u32)>,
    ends: BTreeSet<JobId>,
    cleaning: BTreeSet<JobId>,
    /// Bookings, machine types: whole changes that only have to be made.
    others: VecDeque<(Key, Option<String>)>,
    in_flight: Vec<Effect>,
    open: bool,
    /// After a transaction without an answer: nothing is written before a poll sent
    /// later than this has told what became of it.
    look_first: Option<Millis>,
    tidied: Millis,
}

/// Records that only list tasks that are gone are rewritten that seldom.
const TIDY_MS: u64 = 4000;
/// A batch that is this large takes no more: with one more value of up to 16 KiB it still
/// fits the 64 KiB of a transaction.
const LARGEST_TXN: usize = 40 * 1024;

impl Writer {
    /// Tasks of this machine wait for its record.
    pub fn urgent(&mut self, ix: MachineIx) {
        self.urgent.insert(ix);
    }

    /// Its record lists something that is gone.
    pub fn stale(&mut self, ix: MachineIx) {
        self.stale.insert(ix);
    }

    pub fn finished(&mut self, task: TaskRef) {
        self.finished.insert((task.job, Bits::block_of(task.task)));
    }

    pub fn end(&mut self, id: JobId) {
        self.ends.insert(id);
    }

    pub fn clean(&mut self, id: JobId) {
        self.cleaning.insert(id);
    }

    pub fn other(&mut self, key: Key, value: Option<String>) {
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

struct Batch<'a> {
    mirror: &'a Mirror,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    effects: Vec<Effect>,
    bytes: usize,
    most: usize,
}

impl Batch<'_> {
    fn full(&self) -> bool {
        self.changes.len() >= self.most || self.bytes >= LARGEST_TXN
    }

    fn add(&mut self, key: &Key, value: Option<String>, effect: Effect) {
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

fn json(value: &impl serde::Serialize) -> Option<String> {
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
        let most = self.settings.state_limits.txn_ops.min(ledger.writes.available(clock.now));
        let leader_key = Guard { key: LEADER.into(), stamp: Revision(self.token.0) };
        let mut batch = Batch {
            mirror,
            guards: vec![leader_key],
            changes: Vec::new(),
            effects: Vec::new(),
            bytes: 0,
            most,
        };
        self.plan(clock, &mut batch);
        if batch.changes.is_empty() {
            // Whatever is listed needed no change.
            for effect in batch.effects {
                self.durable(effect);
            }
            return;
        }
        let (guards, changes, effects) = (batch.guards, batch.changes, batch.effects);
        if ledger.txn(clock, Purpose::LeaderTxn, guards, changes, out).is_some() {
            self.writer.open = true;
            self.writer.in_flight = effects;
        }
    }

    fn plan(&mut self, clock: Clock, batch: &mut Batch<'_>) {
        for id in self.writer.ends.clone() {
            if batch.full() {
                return;
            }
            if batch.mirror.end_of(id).is_some() {
                self.writer.ends.remove(&id);
                continue;
            }
            let record = EndRecord::new(End::Done, clock.wall_ms);
            batch.add(&Key::End(id), json(&record), Effect::Ended(id));
        }
        for ix in self.writer.urgent.clone() {
            if batch.full() {
                return;
            }
            self.plan_machine(ix, batch);
        }
        for (key, value) in self.writer.others.clone() {
            if batch.full() {
                return;
            }
            batch.add(&key, value, Effect::Other);
        }
        for (job, block) in self.writer.finished.clone() {
            if batch.full() {
                return;
            }
            self.plan_finished(job, block, batch);
        }
        self.plan_cleaning(batch);
        if clock.now.since(self.writer.tidied) >= TIDY_MS && batch.changes.len() < batch.most / 2 {
            self.writer.tidied = clock.now;
            for ix in self.writer.stale.clone() {
                if batch.full() {
                    return;
                }
                if !self.writer.urgent.contains(&ix) {
                    self.plan_machine(ix, batch);
                }
            }
        }
    }

    fn plan_machine(&self, ix: MachineIx, batch: &mut Batch<'_>) {
        let machine = &self.machines[ix.at()];
        let key = Key::Machine(machine.name.clone());
        let gone = machine.life == Life::Gone;
        let bare = machine.bindings.is_empty() && !machine.returning;
        if gone || (bare && !batch.mirror.machines.contains_key(&machine.name)) {
            let effect = Effect::Machine { ix, runs: Vec::new(), returning: false };
            if batch.mirror.machines.contains_key(&machine.name) {
                batch.add(&key, None, effect);
            } else {
                // Nothing to remove: a comparison would be a wasted write.
                batch.effects.push(effect);
            }
            return;
        }
        let names = &batch.mirror.names;
        let mut record = MachineRecord::new(
            names.kinds.name_at(machine.kind.at()),
            names.zones.name_at(machine.zone.at()),
            machine.spot,
            &machine.endpoint,
        );
        record.returning = machine.returning;
        for binding in &machine.bindings {
            record.add(binding.task, binding.attempt);
        }
        let planned = machine.bindings.iter().filter(|binding| binding.run == Run::Planned);
        let runs = planned.map(|binding| (binding.task, binding.attempt)).collect();
        let effect = Effect::Machine { ix, runs, returning: machine.returning };
        batch.add(&key, json(&record), effect);
    }

    fn plan_finished(&self, id: JobId, block: u32, batch: &mut Batch<'_>) {
        let work = batch.mirror.find(id).and_then(|ix| self.work.get(&ix));
        let Some(work) = work.filter(|work| !work.ending) else {
            // The end of the job says it all.
            batch.effects.push(Effect::Finished { job: id, block });
            return;
        };
        let record = FinishedRecord { tasks: work.done.block_hex(block) };
        batch.add(&Key::Finished(id, block), json(&record), Effect::Finished { job: id, block });
    }

    /// The records of ended jobs go once no task of theirs is anywhere.
    fn plan_cleaning(&mut self, batch: &mut Batch<'_>) {
        for id in self.writer.cleaning.clone() {
            let there = |machine: &super::Machine| machine.bindings.iter().any(|b| b.task.job == id);
            if batch.mirror.end_of(id).is_none() || self.machines.iter().any(there) {
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
            if batch.full() {
                return;
            }
            if blocks == 0 {
                self.writer.cleaning.remove(&id);
                continue;
            }
            batch.add(&Key::Job(id), None, Effect::Cleaned(id));
        }
    }

    /// What came of the transaction. False: this node does not lead any more.
    pub fn written(&mut self, clock: Clock, answered: Answered, mirror: &mut Mirror) -> bool {
        self.writer.open = false;
        let effects = std::mem::take(&mut self.writer.in_flight);
        match answered.reply {
            StateReply::Applied { revision } => {
                apply_changes(&answered.request, revision, mirror);
                for effect in effects {
                    self.durable(effect);
                }
                self.forget_others(&answered.request);
                self.stirred = true;
                true
            }
            StateReply::Conflict { failed } => {
                // A late transaction of ours, or another's: look before writing again.
                self.writer.look_first = Some(clock.now);
                !failed.iter().any(|key| key == LEADER)
            }
            StateReply::Unknown => {
                self.writer.look_first = Some(clock.now);
                true
            }
            _ => true,
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

    fn durable(&mut self, effect: Effect) {
        match effect {
            Effect::Machine { ix, runs, returning } => self.recorded(ix, &runs, returning),
            Effect::Finished { job, block } => {
                self.writer.finished.remove(&(job, block));
            }
            Effect::Ended(id) => {
                self.writer.ends.remove(&id);
                self.writer.clean(id);
                log::info!("done {id}");
            }
            Effect::Cleaned(id) => {
                self.writer.cleaning.remove(&id);
            }
            Effect::Other => {}
        }
    }

    fn recorded(&mut self, ix: MachineIx, runs: &[(TaskRef, Attempt)], returning: bool) {
        self.writer.urgent.remove(&ix);
        self.writer.stale.remove(&ix);
        let machine = &mut self.machines[ix.at()];
        machine.return_recorded |= returning;
        let unmarked = machine.returning && !returning;
        for binding in &mut machine.bindings {
            if binding.run == Run::Planned && runs.contains(&(binding.task, binding.attempt)) {
                binding.run = Run::Recorded;
            }
        }
        // Bound, or marked, while the transaction was on its way.
        if unmarked || machine.bindings.iter().any(|binding| binding.run == Run::Planned) {
            self.writer.urgent.insert(ix);
        }
        if !runs.is_empty() {
            self.to_tell.insert(ix);
        }
    }
}
