//! The leader's log at the state service: which tasks may be on which machines, which
//! machines go back, which tasks finished. Changes a second are the scarcest good there,
//! so one part of the log tells of everything since the one before, however many machines
//! that concerns. A part is removed once nothing in it counts any more.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::bookkeeping::bits::Bits;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{Key, LogRecord, Place};
use crate::coordination::Clock;
use crate::coordination::leader::{Leader, Life, Run};
use crate::ids::{Attempt, JobId, MachineIx, Millis, TaskRef, Token};

/// A part of the log, numbered in the order of writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(u64);

/// A task that may be on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start {
    pub machine: MachineIx,
    pub task: TaskRef,
    pub attempt: Attempt,
}

/// A part of the log that is durable, and what of it still counts.
#[derive(Debug)]
struct Part {
    key: Key,
    starts: HashSet<Start>,
    returns: BTreeSet<MachineIx>,
    /// Blocks of finished tasks that no other record tells of.
    finished: BTreeSet<(JobId, u32)>,
    /// Starts and returns it told of at first.
    told: usize,
    /// What counts is being written again, to a newer part.
    moving: bool,
}

impl Part {
    fn new(key: Key) -> Part {
        Part {
            key,
            starts: HashSet::new(),
            returns: BTreeSet::new(),
            finished: BTreeSet::new(),
            told: 0,
            moving: false,
        }
    }

    fn on_machines(&self) -> usize {
        self.starts.len() + self.returns.len()
    }

    fn counts(&self) -> bool {
        self.on_machines() > 0 || !self.finished.is_empty()
    }
}

/// What a part that is being written tells.
#[derive(Debug, Clone, Default)]
pub struct Told {
    name: String,
    starts: Vec<Start>,
    returns: Vec<MachineIx>,
    finished: Vec<TaskRef>,
}

#[derive(Debug, Default)]
pub struct History {
    parts: BTreeMap<PartId, Part>,
    /// Parts in which nothing counts.
    spent: BTreeSet<PartId>,
    /// Blocks that have to be told by a record of their own, so that old parts can go.
    blocks_due: BTreeSet<(JobId, u32)>,
    next_part: u64,
    next_name: u64,
    /// To be told with the next part, by machine.
    starts: BTreeSet<Start>,
    returns: BTreeSet<MachineIx>,
    finished: BTreeSet<TaskRef>,
    finished_since: Option<Millis>,
    written: Millis,
}

/// With more parts than that, those of which little counts are emptied: it is written again.
/// A fixed number alone would be wrong: with more running than so many parts can tell, all
/// that counts was written again and again, and starts waited 17 s for it.
const MANY_PARTS: usize = 64;
/// Little is this part of what a part told at first.
const LITTLE: usize = 4;
/// With so many parts in which only finished tasks count, their blocks get records of their own.
const MANY_FINISHED: usize = 32;
/// A part that has less room than this takes no further machine, or task.
const MACHINE_BYTES: usize = 400;
const TASK_BYTES: usize = 60;
/// Finished tasks wait so long for a part that is written anyway.
const FINISHED_MS: u64 = 1_000;
/// The part of the leader's changes that may be new parts of the log: removing a part
/// costs a change as well, and other records need some.
const LOG_SHARE: f64 = 0.4;

impl History {
    pub fn start(&mut self, start: Start) {
        self.starts.insert(start);
    }

    pub fn going_back(&mut self, machine: MachineIx) {
        self.returns.insert(machine);
    }

    pub fn finished(&mut self, task: TaskRef, now: Millis) {
        self.finished.insert(task);
        self.finished_since.get_or_insert(now);
    }

    /// Certainly not there any more.
    pub fn left(&mut self, part: Option<PartId>, start: Start) {
        self.starts.remove(&start);
        self.change(part, |part| {
            part.starts.remove(&start);
        });
    }

    /// The machine is gone: that it goes back is of no interest any more.
    pub fn gone(&mut self, machine: MachineIx, part: Option<PartId>) {
        self.returns.remove(&machine);
        self.change(part, |part| {
            part.returns.remove(&machine);
        });
    }

    fn change(&mut self, id: Option<PartId>, change: impl FnOnce(&mut Part)) {
        if let Some((id, part)) = id.and_then(|id| Some((id, self.parts.get_mut(&id)?))) {
            change(part);
            if !part.counts() {
                self.spent.insert(id);
            }
        }
    }

    /// The job's end, or the whole of a block, is told by a record of its own.
    pub fn told_elsewhere(&mut self, job: JobId, block: Option<u32>) {
        let over = |of: JobId, at: u32| of == job && block.is_none_or(|block| block == at);
        for (id, part) in &mut self.parts {
            part.finished.retain(|(of, at)| !over(*of, *at));
            if !part.counts() {
                self.spent.insert(*id);
            }
        }
        self.blocks_due.retain(|(of, at)| !over(*of, *at));
        if block.is_none() {
            self.finished.retain(|task| task.job != job);
        }
    }

    pub fn blocks_due(&self) -> Vec<(JobId, u32)> {
        self.blocks_due.iter().copied().collect()
    }

    /// Parts in which nothing counts.
    pub fn spent(&self, most: usize) -> Vec<(PartId, Key)> {
        let key = |id: &PartId| Some((*id, self.parts.get(id)?.key.clone()));
        self.spent.iter().filter_map(key).take(most).collect()
    }

    pub fn removed(&mut self, part: PartId) {
        self.spent.remove(&part);
        self.parts.remove(&part);
    }

    pub fn parts(&self) -> usize {
        self.parts.len()
    }

    /// Once all it tells is taken in, it is `checked`.
    pub fn add_part(&mut self, key: Key) -> PartId {
        let id = PartId(self.next_part);
        self.next_part += 1;
        self.parts.insert(id, Part::new(key));
        id
    }

    /// The part tells of it; what an earlier one told of it counts no more.
    pub fn add_start(&mut self, part: PartId, start: Start, before: Option<PartId>) {
        self.left(before, start);
        if let Some(part) = self.parts.get_mut(&part) {
            part.told += 1;
            part.starts.insert(start);
        }
    }

    fn add_return(&mut self, part: PartId, machine: MachineIx, before: Option<PartId>) {
        self.gone(machine, before);
        if let Some(part) = self.parts.get_mut(&part) {
            part.told += 1;
            part.returns.insert(machine);
        }
    }

    pub fn add_finished(&mut self, part: PartId, job: JobId, block: u32) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.finished.insert((job, block));
        }
    }

    /// Nothing is added to the part any more.
    pub fn checked(&mut self, part: PartId) {
        self.change(Some(part), |_| {});
    }

    /// Keeps the log short: parts of which little counts are told again, finished tasks
    /// that keep many parts get records of their own.
    fn tidy(&mut self) {
        let surplus = self.parts.len().saturating_sub(MANY_PARTS);
        let little = |part: &&mut Part| {
            !part.moving && part.on_machines() > 0 && part.on_machines() * LITTLE <= part.told
        };
        for part in self.parts.values_mut().take(surplus).filter(little) {
            part.moving = true;
            self.starts.extend(part.starts.iter().copied());
            self.returns.extend(part.returns.iter().copied());
        }
        let mut held_up = self.parts.values().filter(|part| part.on_machines() == 0 && part.counts());
        if self.blocks_due.is_empty() && held_up.clone().count() > MANY_FINISHED {
            self.blocks_due.extend(held_up.next().into_iter().flat_map(|part| part.finished.iter().copied()));
        }
    }

    /// Is it time for another part? With changes to spare at once, else in measured steps,
    /// so that many starts share one change.
    fn due(&self, now: Millis, spare: usize, per_second: f64) -> bool {
        let told = self.finished_since.is_some_and(|since| now.since(since) >= FINISHED_MS);
        if self.starts.is_empty() && self.returns.is_empty() && !told {
            return false;
        }
        let gap_ms = (1000.0 / (LOG_SHARE * per_second.max(0.1))) as u64;
        spare as f64 >= per_second * 0.6 || now.since(self.written) >= gap_ms
    }

    /// The name of the next part. One of that name may be there already, written by a
    /// transaction whose answer was lost: all it tells is written again, under another name.
    fn name(&mut self, token: Token, mirror: &Mirror) -> String {
        loop {
            let name = format!("{}-{}", token.0, self.next_name);
            if !mirror.log.contains_key(&name) {
                return name;
            }
            let part = self.add_part(Key::Log(name));
            self.checked(part);
            self.next_name += 1;
        }
    }

    /// What was to be told is told after all with a later part.
    pub fn untold(&mut self, told: Told, now: Millis) {
        self.starts.extend(told.starts);
        self.returns.extend(told.returns);
        if !told.finished.is_empty() {
            self.finished_since.get_or_insert(now);
            self.finished.extend(told.finished);
        }
    }
}

impl Leader {
    /// The next part of the log, if one is due: its name, its content, what it tells.
    pub fn next_part(
        &mut self,
        clock: Clock,
        mirror: &Mirror,
        spare: usize,
        per_second: f64,
    ) -> Option<(Key, LogRecord, Told)> {
        if !self.history.due(clock.now, spare, per_second) {
            return None;
        }
        let most = (self.settings.state_limits.value_kb * 1024.0) as usize;
        let name = self.history.name(self.token, mirror);
        let mut record = LogRecord::new(Attempt(self.token.0 << crate::coordination::leader::ATTEMPTS_BITS));
        let mut told = Told { name: name.clone(), ..Told::default() };
        self.tell_machines(mirror, &mut record, &mut told, most);
        self.tell_finished(&mut record, &mut told, most);
        if record.is_empty() {
            return None;
        }
        self.history.written = clock.now;
        Some((Key::Log(name), record, told))
    }

    fn tell_machines(&mut self, mirror: &Mirror, record: &mut LogRecord, told: &mut Told, most: usize) {
        while let Some(start) = self.history.starts.first().copied() {
            if record.bytes() + MACHINE_BYTES > most {
                return;
            }
            self.tell_machine(start.machine, mirror, record, told, most);
        }
        while let Some(ix) = self.history.returns.first().copied() {
            if record.bytes() + MACHINE_BYTES > most {
                return;
            }
            self.tell_machine(ix, mirror, record, told, most);
        }
    }

    fn tell_machine(
        &mut self,
        ix: MachineIx,
        mirror: &Mirror,
        record: &mut LogRecord,
        told: &mut Told,
        most: usize,
    ) {
        let machine = &self.machines[ix.at()];
        record.machine(&Place {
            name: machine.name.clone(),
            endpoint: machine.endpoint.clone(),
            kind: mirror.names.kinds.name_at(machine.kind.at()).into(),
            zone: mirror.names.zones.name_at(machine.zone.at()).into(),
            spot: machine.spot,
        });
        if self.history.returns.remove(&ix) && machine.life != Life::Gone {
            record.returning();
            told.returns.push(ix);
        }
        while let Some(start) = self.history.starts.first().copied().filter(|start| start.machine == ix) {
            if record.bytes() + TASK_BYTES > most {
                return;
            }
            self.history.starts.remove(&start);
            record.start(start.task, start.attempt);
            told.starts.push(start);
        }
    }

    fn tell_finished(&mut self, record: &mut LogRecord, told: &mut Told, most: usize) {
        while let Some(task) = self.history.finished.first().copied() {
            if record.bytes() + TASK_BYTES > most {
                return;
            }
            self.history.finished.remove(&task);
            record.done(task);
            told.finished.push(task);
        }
        self.history.finished_since = None;
    }

    /// It is durable that the machine goes back: it may be returned.
    pub(super) fn return_told(&mut self, ix: MachineIx, part: PartId) {
        let before = self.machines[ix.at()].return_part.replace(part);
        self.history.add_return(part, ix, before);
        self.fleet.to_release.insert(ix);
    }

    /// A part of the log is durable: what it tells may be acted on.
    pub fn told(&mut self, told: Told, mirror: &Mirror) {
        self.history.next_name += 1;
        let id = self.history.add_part(Key::Log(told.name));
        for start in told.starts {
            let machine = &mut self.machines[start.machine.at()];
            let here = |b: &&mut crate::coordination::leader::Binding| {
                b.task == start.task && b.attempt == start.attempt
            };
            let Some(binding) = machine.bindings.iter_mut().find(here) else { continue };
            let before = binding.part.replace(id);
            if binding.run == Run::Planned {
                binding.run = Run::Recorded;
                self.to_tell.insert(start.machine);
            }
            self.history.add_start(id, start, before);
        }
        for ix in told.returns {
            if self.machines[ix.at()].life != Life::Gone {
                self.return_told(ix, id);
            }
        }
        for task in told.finished {
            if mirror.end_of(task.job).is_none() && mirror.find(task.job).is_some() {
                self.history.add_finished(id, task.job, Bits::block_of(task.task));
            }
        }
        self.history.checked(id);
        self.history.tidy();
    }
}
