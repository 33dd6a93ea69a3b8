//! The state service as this controller last saw it.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use super::accounts::{Account, Accounts, PartyIx};
use super::bits::Bits;
use super::config::ConfigEntries;
use super::graphs::Graphs;
use super::jobs::{End, Job, JobInfo, Registry};
use super::records::{
    BookingRecord, EndDetail, EndRecord, FinishedRecord, JobRecord, Key, LeaderRecord, LogRecord,
    MachineRecord,
};
use crate::ids::{ClassIx, JobId, JobIx, LeaseId, Revision, TeamIx};
use crate::protocol::cloud::CatalogEntry;
use crate::protocol::state::Pair;

/// What changed, for those who act on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    Job(JobIx),
    Ended(JobId, End),
    Leader,
    Kinds,
    /// An entry of the configuration has changed at this revision.
    Config(Revision),
}

#[derive(Debug)]
pub struct LeaderSeen {
    pub node: String,
    pub revision: Revision,
    pub lease: Option<LeaseId>,
    /// The format of configuration entries that it acts by, if it does.
    pub config: Option<u32>,
}

#[derive(Debug, Default)]
pub struct Mirror {
    /// Everything up to this revision is in here.
    pub revision: Revision,
    pub names: Registry,
    pub leader: Option<LeaderSeen>,
    /// Records of the form before the log.
    pub machines: BTreeMap<String, MachineRecord>,
    /// The leaders' log, by the name of its part.
    pub log: BTreeMap<String, LogRecord>,
    /// Tasks that the log tells of, by job, and in how many of its entries: counted at every poll of a user.
    told: HashMap<JobId, BTreeMap<u32, u32>>,
    pub bookings: BTreeMap<String, BookingRecord>,
    pub kinds: BTreeMap<String, CatalogEntry>,
    jobs: Vec<Option<Box<Job>>>,
    /// In the order of their ids, for lists.
    index: BTreeMap<JobId, JobIx>,
    ended: BTreeMap<JobId, Ended>,
    /// Ends learned since that was last asked.
    new_ends: Vec<NewEnd>,
    pub accounts: Accounts,
    details: BTreeMap<JobId, Detail>,
    /// Versions of the keys that the leader rewrites.
    stamps: HashMap<String, Revision>,
    /// Keys this node deleted and when, until the changes up to then have been seen.
    tombs: HashMap<String, Revision>,
    /// Finished blocks that were read before their job's record (pages come sorted by key).
    early: HashMap<JobId, Vec<Early>>,
    pub graphs: Graphs,
    pub config: ConfigEntries,
}

/// An end that was learned a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewEnd {
    pub id: JobId,
    pub revision: Revision,
    pub cancelled: bool,
}

/// How and when a job ended; what its user was told counts for its party, if that is known.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: u64,
    party: Option<PartyIx>,
    end: End,
    told: bool,
}

/// What an end tells of its job, if the operators' interface was on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Detail {
    pub team: TeamIx,
    pub class: ClassIx,
    pub tasks: u32,
    pub accepted_ms: u64,
    pub first_ms: Option<u64>,
}

#[derive(Debug)]
enum Early {
    Block(u32, String),
    Row(u32, u32),
}

impl Early {
    fn add_to(&self, finished: &mut Bits) {
        match self {
            Early::Block(block, hex) => finished.add_hex(*block, hex),
            Early::Row(first, count) => finished.add_row(*first, *count),
        }
    }
}

impl Mirror {
    pub fn job(&self, ix: JobIx) -> Option<&Job> {
        self.jobs.get(ix.at())?.as_deref()
    }

    pub fn find(&self, id: JobId) -> Option<JobIx> {
        self.index.get(&id).copied()
    }

    pub fn find_job(&self, id: JobId) -> Option<&Job> {
        self.job(self.find(id)?)
    }

    pub fn end_of(&self, id: JobId) -> Option<End> {
        self.ended.get(&id).map(|ended| ended.end)
    }

    /// How and when a job ended, and what is kept of it.
    pub fn ended(&self, id: JobId) -> Option<(End, u64, Option<Detail>)> {
        self.ended.get(&id).map(|ended| (ended.end, ended.at, self.details.get(&id).copied()))
    }

    /// Live and ended jobs in the order of their ids, from behind `after` on.
    pub fn ids_after(&self, after: Option<JobId>) -> impl Iterator<Item = JobId> + '_ {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut live = self.index.range((from, Bound::Unbounded)).map(|(id, _)| *id).peekable();
        let mut ended = self.ended.range((from, Bound::Unbounded)).map(|(id, _)| *id).peekable();
        std::iter::from_fn(move || match (live.peek().copied(), ended.peek().copied()) {
            (Some(a), Some(b)) if a == b => live.next().and(ended.next()),
            (Some(a), Some(b)) if a < b => live.next(),
            (_, Some(_)) => ended.next(),
            (_, None) => live.next(),
        })
    }

    /// Jobs with a record, and ends.
    pub fn counts(&self) -> (usize, usize) {
        (self.index.len(), self.ended.len())
    }

    /// What of an ended job is kept for operators.
    pub fn end_detail(&self, id: JobId, first_ms: Option<u64>) -> Option<EndDetail> {
        let info = &self.find_job(id)?.info;
        Some(EndDetail {
            team: self.names.teams.name_at(info.team.at()).into(),
            class: self.names.classes.name_at(info.class.at()).into(),
            tasks: info.tasks,
            accepted: info.accepted_wall_ms,
            first: first_ms,
        })
    }

    /// Jobs whose record still exists, ended ones whose tasks are being cleared included.
    pub fn live(&self) -> impl Iterator<Item = (JobIx, &Job)> {
        self.jobs.iter().enumerate().filter_map(|(at, job)| Some((JobIx(at as u32), job.as_deref()?)))
    }

    pub fn stamp(&self, key: &str) -> Revision {
        self.stamps.get(key).copied().unwrap_or_default()
    }

    /// Takes a change in; older than what is known, it changes nothing.
    pub fn apply(&mut self, pair: &Pair) -> Option<Seen> {
        let known = self.stamp(&pair.key).max(self.tombs.get(&pair.key).copied().unwrap_or_default());
        if pair.stamp <= known {
            return None;
        }
        let key = Key::parse(&pair.key)?;
        // An end is created once and stays for ever: its version is never asked for, and would
        // be most of what a job that is over costs.
        let end = match key {
            Key::End(id) if self.ended.contains_key(&id) => return None,
            Key::End(_) => true,
            _ => false,
        };
        match &pair.value {
            Some(value) => {
                let seen = self.put(&key, value, pair.stamp);
                if !end {
                    self.stamps.insert(pair.key.clone(), pair.stamp);
                }
                seen
            }
            None => {
                self.stamps.remove(&pair.key);
                self.delete(&key)
            }
        }
    }

    /// Ends learned since that was last asked.
    pub fn take_new_ends(&mut self) -> Vec<NewEnd> {
        std::mem::take(&mut self.new_ends)
    }

    /// Takes in a change that this node made and that was confirmed.
    pub fn apply_own(&mut self, pair: &Pair) -> Option<Seen> {
        let seen = self.apply(pair);
        if pair.value.is_none() && pair.stamp > self.revision {
            self.tombs.insert(pair.key.clone(), pair.stamp);
        }
        seen
    }

    /// All changes up to here have been applied.
    pub fn caught_up(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        let seen = self.revision;
        self.tombs.retain(|_, at| *at > seen);
    }

    fn put(&mut self, key: &Key, value: &str, stamp: Revision) -> Option<Seen> {
        match key {
            Key::Leader => {
                let record: LeaderRecord = serde_json::from_str(value).ok()?;
                self.leader = Some(LeaderSeen {
                    node: record.node,
                    revision: stamp,
                    lease: record.lease.map(LeaseId),
                    config: record.config,
                });
                Some(Seen::Leader)
            }
            Key::Job(id) => {
                let record: JobRecord = serde_json::from_str(value).ok()?;
                Some(Seen::Job(self.add_job(*id, &record, stamp)))
            }
            Key::End(id) => {
                let record: EndRecord = serde_json::from_str(value).ok()?;
                self.account_end(*id, record.end(), record.at);
                if let Some(detail) = &record.detail {
                    let detail = self.detail(detail);
                    self.details.insert(*id, detail);
                }
                let end = record.end();
                self.new_ends.push(NewEnd { id: *id, revision: stamp, cancelled: end == End::Withdrawn });
                if let Some(job) = self.job_mut(*id) {
                    job.end = Some((end, record.at));
                }
                self.node_ended(*id, end, record.node);
                if end == End::Done {
                    self.drop_derived(*id);
                }
                Some(Seen::Ended(*id, end))
            }
            Key::Finished(id, block) => {
                let record: FinishedRecord = serde_json::from_str(value).ok()?;
                self.finished(*id, Early::Block(*block, record.tasks));
                None
            }
            Key::Log(name) => {
                let record: LogRecord = serde_json::from_str(value).ok()?;
                for (id, first, count) in record.done_rows() {
                    self.finished(id, Early::Row(first, count));
                }
                self.tell(&record);
                if let Some(before) = self.log.insert(name.clone(), record) {
                    self.untell(&before);
                }
                None
            }
            Key::Machine(name) => {
                let record: MachineRecord = serde_json::from_str(value).ok()?;
                self.machines.insert(name.clone(), record);
                None
            }
            Key::Booking(name) => {
                let record: BookingRecord = serde_json::from_str(value).ok()?;
                self.bookings.insert(name.clone(), record);
                None
            }
            Key::Kind(name) => {
                let record: CatalogEntry = serde_json::from_str(value).ok()?;
                self.kinds.insert(name.clone(), record);
                Some(Seen::Kinds)
            }
            Key::Graphs => None,
            Key::Config(name) => {
                self.config.put(name, value, stamp);
                Some(Seen::Config(stamp))
            }
            Key::Part(run, part) => {
                self.put_part(run, *part, serde_json::from_str(value).ok()?);
                None
            }
            Key::Graph(run) => {
                self.put_graph(run, serde_json::from_str(value).ok()?, stamp);
                None
            }
            Key::Turn(run) => {
                self.put_turn(run, serde_json::from_str(value).ok()?);
                None
            }
            Key::Tries(id, _) => {
                self.put_tries(*id, serde_json::from_str(value).ok()?);
                None
            }
        }
    }

    fn delete(&mut self, key: &Key) -> Option<Seen> {
        match key {
            Key::Leader => {
                self.leader = None;
                return Some(Seen::Leader);
            }
            Key::Job(id) => {
                self.drop_job(*id);
                self.early.remove(id);
            }
            Key::Machine(name) => {
                self.machines.remove(name);
            }
            Key::Log(name) => {
                if let Some(record) = self.log.remove(name) {
                    self.untell(&record);
                }
            }
            Key::Booking(name) => {
                self.bookings.remove(name);
            }
            Key::Config(name) => self.config.remove(name),
            Key::Part(run, part) => self.drop_part(run, *part),
            Key::Graph(run) => self.drop_graph(run),
            Key::Turn(run) => self.drop_turn(run),
            Key::Tries(id, block) => self.drop_tries(*id, *block),
            Key::Finished(..) | Key::End(_) | Key::Kind(_) | Key::Graphs => {}
        }
        None
    }

    fn detail(&mut self, detail: &EndDetail) -> Detail {
        Detail {
            team: self.names.teams.intern(&detail.team),
            class: self.names.classes.intern(&detail.class),
            tasks: detail.tasks,
            accepted_ms: detail.accepted,
            first_ms: detail.first,
        }
    }

    fn add_job(&mut self, id: JobId, record: &JobRecord, stamp: Revision) -> JobIx {
        if let Some(ix) = self.index.get(&id) {
            return *ix;
        }
        let info = JobInfo::new(id, &record.spec, record.at, stamp, &mut self.names);
        self.add_with_early(Job::new(info))
    }

    /// With what was read of it before.
    pub(super) fn add_with_early(&mut self, mut job: Job) -> JobIx {
        let id = job.info.id;
        for early in self.early.remove(&id).unwrap_or_default() {
            early.add_to(&mut job.finished);
        }
        job.end = self.ended.get(&id).map(|ended| (ended.end, ended.at));
        self.account_job(&mut job);
        let ix = JobIx(self.jobs.len() as u32);
        self.index.insert(job.info.id, ix);
        self.jobs.push(Some(Box::new(job)));
        ix
    }

    pub(super) fn drop_job(&mut self, id: JobId) {
        if let Some(ix) = self.index.remove(&id) {
            self.jobs[ix.at()] = None;
        }
    }

    /// A node that is done has no record to be removed, unless its finished tasks have: all its tasks have ended.
    fn drop_derived(&mut self, id: JobId) {
        let Some(job) = self.find_job(id).filter(|job| job.info.node.is_some()) else { return };
        let blocks = 0..=Bits::block_of(job.info.tasks - 1);
        if !blocks.into_iter().any(|block| self.stamp(&Key::Finished(id, block).text()) != Revision(0)) {
            self.drop_job(id);
        }
    }

    /// A job that was not known before, perhaps after its end.
    fn account_job(&mut self, job: &mut Job) {
        let id = job.info.id;
        let party = self.accounts.party(job.info.team, job.info.class);
        let ended = self.ended.get_mut(&id);
        let known = ended.as_ref().is_some_and(|ended| ended.party.is_some());
        let Some(account) = self.accounts.of(party).filter(|_| !known) else { return };
        account.accepted += 1;
        job.started = !job.finished.is_empty() || self.told.contains_key(&id);
        if let Some(ended) = ended {
            ended.party = Some(party);
            job.started |= ended.end == End::Done;
            count_end(account, ended.end);
        }
        account.started += u64::from(job.started);
    }

    fn account_start(&mut self, id: JobId) {
        let Some(job) = self.job_mut(id).filter(|job| !job.started) else { return };
        job.started = true;
        let (team, class) = (job.info.team, job.info.class);
        let party = self.accounts.party(team, class);
        if let Some(account) = self.accounts.of(party) {
            account.started += 1;
        }
    }

    fn account_end(&mut self, id: JobId, end: End, at: u64) {
        if end == End::Done {
            self.account_start(id);
        }
        let job = self.find_job(id).map(|job| (job.info.team, job.info.class));
        let party = job.map(|(team, class)| self.accounts.party(team, class));
        if let Some(account) = party.and_then(|party| self.accounts.of(party)) {
            count_end(account, end);
        }
        self.ended.insert(id, Ended { at, party, end, told: false });
    }

    /// A user was told that the job is done: counted once.
    pub fn told_done(&mut self, id: JobId) {
        let Some(ended) = self.ended.get_mut(&id).filter(|ended| ended.end == End::Done && !ended.told)
        else {
            return;
        };
        ended.told = true;
        if let Some(account) = ended.party.and_then(|party| self.accounts.of(party)) {
            account.told += 1;
        }
    }

    fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        let ix = self.index.get(&id)?;
        self.jobs.get_mut(ix.at())?.as_deref_mut()
    }

    fn finished(&mut self, id: JobId, what: Early) {
        if let Some(job) = self.job_mut(id) {
            what.add_to(&mut job.finished);
        } else if !self.ended.contains_key(&id) {
            // An ended job's tasks are of no interest any more.
            self.early.entry(id).or_default().push(what);
        }
    }

    fn tell(&mut self, record: &LogRecord) {
        for (task, _) in record.starts() {
            *self.told.entry(task.job).or_default().entry(task.task).or_default() += 1;
            self.account_start(task.job);
        }
    }

    fn untell(&mut self, record: &LogRecord) {
        for (task, _) in record.starts() {
            let Some(tasks) = self.told.get_mut(&task.job) else { continue };
            if let Some(count) = tasks.get_mut(&task.task).filter(|count| **count > 1) {
                *count -= 1;
                continue;
            }
            tasks.remove(&task.task);
            if tasks.is_empty() {
                self.told.remove(&task.job);
            }
        }
    }

    /// Tasks of a job that may be on machines, by the records: for display.
    pub fn recorded_running(&self, id: JobId) -> u32 {
        let Some((job, tasks)) = self.find_job(id).zip(self.told.get(&id)) else { return 0 };
        tasks.keys().filter(|task| !job.finished.has(**task)).count() as u32
    }

    /// The same for all jobs.
    pub fn all_recorded_running(&self) -> BTreeMap<JobId, u32> {
        let running = self.told.keys().map(|id| (*id, self.recorded_running(*id)));
        running.filter(|(_, tasks)| *tasks > 0).collect()
    }

    /// Where tasks of a job may be, by the records: machine and attempt.
    pub fn recorded_places(&self, id: JobId) -> BTreeMap<u32, Vec<(String, u64)>> {
        let mut places: BTreeMap<u32, Vec<(String, u64)>> = BTreeMap::new();
        for machine in self.log.values().flat_map(LogRecord::machines) {
            for (task, attempt) in machine.tasks.iter().filter(|(task, _)| task.job == id) {
                let place = (machine.place.name.clone(), attempt.0);
                let known = places.entry(task.task).or_default();
                if !known.contains(&place) {
                    known.push(place);
                }
            }
        }
        places
    }
}

fn count_end(account: &mut Account, end: End) {
    match end {
        End::Done => account.done += 1,
        End::Withdrawn => account.withdrawn += 1,
    }
}

#[cfg(test)]
#[path = "tests/mirror.rs"]
mod tests;
