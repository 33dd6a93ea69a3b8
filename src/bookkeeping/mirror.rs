//! The state service as this controller last saw it.

use std::collections::{BTreeMap, HashMap};

use super::bits::Bits;
use super::jobs::{End, Job, JobInfo, Registry};
use super::records::{
    BookingRecord, EndRecord, FinishedRecord, JobRecord, Key, LeaderRecord, LogRecord, MachineRecord,
};
use crate::ids::{JobId, JobIx, Revision};
use crate::protocol::cloud::CatalogEntry;
use crate::protocol::state::Pair;

/// What changed, for those who act on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    Job(JobIx),
    Ended(JobId, End),
    Leader,
    Kinds,
}

#[derive(Debug)]
pub struct LeaderSeen {
    pub node: String,
    pub revision: Revision,
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
    pub bookings: BTreeMap<String, BookingRecord>,
    pub kinds: BTreeMap<String, CatalogEntry>,
    jobs: Vec<Option<Box<Job>>>,
    index: HashMap<JobId, JobIx>,
    ended: HashMap<JobId, (End, u64)>,
    /// Versions of the keys that the leader rewrites.
    stamps: HashMap<String, Revision>,
    /// Keys this node deleted and when, until the changes up to then have been seen.
    tombs: HashMap<String, Revision>,
    /// Finished blocks that were read before their job's record (pages come sorted by key).
    early: HashMap<JobId, Vec<Early>>,
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
        self.ended.get(&id).map(|ended| ended.0)
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
                self.leader = Some(LeaderSeen { node: record.node, revision: stamp });
                Some(Seen::Leader)
            }
            Key::Job(id) => {
                let record: JobRecord = serde_json::from_str(value).ok()?;
                Some(Seen::Job(self.add_job(*id, &record, stamp)))
            }
            Key::End(id) => {
                let record: EndRecord = serde_json::from_str(value).ok()?;
                self.ended.insert(*id, (record.end(), record.at));
                if let Some(job) = self.job_mut(*id) {
                    job.end = Some((record.end(), record.at));
                }
                Some(Seen::Ended(*id, record.end()))
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
                self.log.insert(name.clone(), record);
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
        }
    }

    fn delete(&mut self, key: &Key) -> Option<Seen> {
        match key {
            Key::Leader => {
                self.leader = None;
                return Some(Seen::Leader);
            }
            Key::Job(id) => {
                if let Some(ix) = self.index.remove(id) {
                    self.jobs[ix.at()] = None;
                }
                self.early.remove(id);
            }
            Key::Machine(name) => {
                self.machines.remove(name);
            }
            Key::Log(name) => {
                self.log.remove(name);
            }
            Key::Booking(name) => {
                self.bookings.remove(name);
            }
            Key::Finished(..) | Key::End(_) | Key::Kind(_) => {}
        }
        None
    }

    fn add_job(&mut self, id: JobId, record: &JobRecord, stamp: Revision) -> JobIx {
        if let Some(ix) = self.index.get(&id) {
            return *ix;
        }
        let mut job = Job::new(JobInfo::new(id, &record.spec, record.at, stamp, &mut self.names));
        for early in self.early.remove(&id).unwrap_or_default() {
            early.add_to(&mut job.finished);
        }
        job.end = self.ended.get(&id).copied();
        let ix = JobIx(self.jobs.len() as u32);
        self.jobs.push(Some(Box::new(job)));
        self.index.insert(id, ix);
        ix
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

    /// Tasks of a job that may be on machines, by the records: for display.
    pub fn recorded_running(&self, id: JobId) -> u32 {
        let Some(job) = self.find_job(id) else { return 0 };
        let starts = self.log.values().flat_map(LogRecord::starts);
        let ours = starts.filter(|(task, _)| task.job == id && !job.finished.has(task.task));
        let mut tasks: Vec<u32> = ours.map(|(task, _)| task.task).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.len() as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_end_is_taken_in_once_and_costs_no_version() {
        let mut mirror = Mirror::default();
        let value = serde_json::to_string(&EndRecord::new(End::Withdrawn, 7)).expect("JSON");
        for at in 0..1000 {
            let key = Key::End(JobId(at)).text();
            let pair = Pair { key, value: Some(value.clone()), stamp: Revision(at + 1) };
            assert_eq!(mirror.apply(&pair), Some(Seen::Ended(JobId(at), End::Withdrawn)));
            assert_eq!(mirror.apply(&pair), None);
            assert_eq!(mirror.end_of(JobId(at)), Some(End::Withdrawn));
        }
        assert!(mirror.stamps.is_empty());
    }
}
