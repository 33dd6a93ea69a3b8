//! Identifiers, dense indices, time and amounts as types of their own.
//!
//! Names from outside become one of these where they are parsed, so that the rest of the program compares and stores
//! numbers. Nothing here does I/O or reads a clock.

use std::fmt;

mod interner;
mod resources;
mod time;

pub use interner::Interner;
pub use resources::{Resources, from_milli, seconds_to_ms, to_milli_ceil, to_milli_floor};
pub use time::Millis;

/// Digits of a job's number as it is written, at least and at most.
const MIN_JOB_DIGITS: usize = 6;
const MAX_JOB_DIGITS: usize = 18;

/// The number of a job, which is written `job-000412`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the canonical spelling alone, so that one job has one name.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        if !(MIN_JOB_DIGITS..=MAX_JOB_DIGITS).contains(&digits.len())
            || !digits.bytes().all(|b| b.is_ascii_digit())
        {
            return None;
        }
        let id = JobId(digits.parse().ok()?);
        (digits.len() == MIN_JOB_DIGITS || !digits.starts_with('0')).then_some(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}", self.0)
    }
}

/// One task of a job, which is written `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub task: u32,
}

impl TaskId {
    /// Parses the form in which workers name tasks.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, task) = text.split_once('/')?;
        Some(TaskId { job: JobId::parse(job)?, task: task.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub struct $name(pub u32);

        impl $name {
            /// The position in vectors of these.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl From<u32> for $name {
            fn from(raw: u32) -> Self {
                $name(raw)
            }
        }
    };
}

index!(/// A live job in the store cache.
    JobIx);
index!(/// A machine that the leader knows.
    MachineIx);
index!(/// A machine type.
    MachineTypeIx);
index!(/// A zone.
    ZoneIx);
index!(/// A team.
    TeamIx);
index!(/// An image.
    ImageIx);
index!(/// A class of jobs.
    ClassIx);
index!(/// A pool, whose slots nodes of graphs share.
    PoolIx);
index!(/// A run of a graph in the store cache.
    DagRunIx);

/// The number of an attempt of a task; never reused, see `coordination::leadership`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Attempt(pub u64);

/// Orders leaderships: the revision that created the leader's key. Workers reject commands with a lower one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct FencingToken(pub u64);

/// The incarnation of a worker; it rises when the worker's lease expires.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct AgentEpoch(pub u64);

/// A revision of the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

/// A lease at the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId(pub u64);
