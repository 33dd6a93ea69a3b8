//! Types for identifiers, dense indices, time and amounts of resources.
//!
//! Names received from outside are converted to these types where they are parsed, so that the rest of the program
//! compares and stores numbers. Nothing here does I/O or reads a clock.

use std::fmt;

mod interner;
mod resources;
mod time;

pub use interner::Interner;
pub use resources::{Resources, from_milli, seconds_to_ms, to_milli_ceil, to_milli_floor};
pub use time::Millis;

/// Minimum and maximum number of digits of a job number as text.
const MIN_JOB_DIGITS: usize = 6;
const MAX_JOB_DIGITS: usize = 18;

/// The number of a job; its text form is `job-000412`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the canonical form only, so that each job has exactly one text form.
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

/// One task of a job; its text form is `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub task: u32,
}

impl TaskId {
    /// Parses the text form, which workers use.
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
            /// Returns the index for vectors of such items.
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

index!(/// A job in the store cache, whose records still exist.
    JobIx);
index!(/// A machine in the leader's state.
    MachineIx);
index!(/// A machine type.
    MachineTypeIx);
index!(/// A zone.
    ZoneIx);
index!(/// A team.
    TeamIx);
index!(/// An image that tasks are started from.
    ImageIx);
index!(/// A job class.
    ClassIx);
index!(/// A pool, whose slots the tasks of graph nodes share.
    PoolIx);
index!(/// A graph run in the store cache.
    DagRunIx);

/// The number of an attempt to run a task. It is never reused; see `coordination::leadership`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Attempt(pub u64);

/// A fencing token: a revision from the creation of the leader key up to the latest that the leader has read. Workers
/// reject commands with a token lower than the highest one they have seen.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct FencingToken(pub u64);

/// The incarnation of a worker; it increases when the worker's lease expires.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct WorkerEpoch(pub u64);

/// A revision of the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

/// Id of a lease of the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId(pub u64);
