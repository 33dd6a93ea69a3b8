//! Dense indices and other newtypes. Names become one of these at the door.

use std::collections::HashMap;
use std::fmt;

/// A job's number; on the wire it is written `job-000412`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct JobId(pub u64);

impl JobId {
    /// Only the canonical spelling is accepted, so that one job has one name.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        if digits.len() < 6 || digits.len() > 18 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let id = JobId(digits.parse().ok()?);
        (digits.len() == 6 || !digits.starts_with('0')).then_some(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}", self.0)
    }
}

/// One task of a job, as workers name it: `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub task: u32,
}

impl TaskId {
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

index!(/// A controller; 0 is this one's position in the sorted list of names.
    ControllerIx);
index!(/// A live job in the mirror.
    JobIx);
index!(/// A machine the leader knows.
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
index!(/// A run of a graph in the mirror.
    DagRunIx);

/// Attempt number of a task; never reused, see `coordination::leadership`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Attempt(pub u64);

/// Who is entitled to command the workers: the revision that created the leader's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct FencingToken(pub u64);

/// A worker's session; it rises when the worker's lease ends.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct AgentEpoch(pub u64);

/// Revision of the state service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct Revision(pub u64);

/// A lease at the state service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId(pub u64);

/// Steady milliseconds since an arbitrary start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Millis(pub u64);

impl Millis {
    pub fn saturating_add(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    pub fn saturating_sub(self, ms: u64) -> Millis {
        Millis(self.0.saturating_sub(ms))
    }

    pub fn saturating_since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Maps names to dense indices and back.
#[derive(Debug, Clone)]
pub struct Interner<I> {
    index: HashMap<Box<str>, I>,
    names: Vec<Box<str>>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Interner { index: HashMap::new(), names: Vec::new() }
    }
}

impl<I: Copy + From<u32>> Interner<I> {
    pub fn find(&self, name: &str) -> Option<I> {
        self.index.get(name).copied()
    }

    pub fn intern(&mut self, name: &str) -> I {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = I::from(self.names.len() as u32);
        self.index.insert(name.into(), ix);
        self.names.push(name.into());
        ix
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    pub fn name_or_unknown(&self, at: usize) -> &str {
        self.names.get(at).map_or("?", |name| name)
    }
}

/// What a task takes, or a machine has. CPUs and accelerators in thousandths,
/// memory in MiB-like thousandths of a GB, so that sums are exact.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Resources {
    pub cpu: u64,
    pub gpu: u64,
    pub mem: u64,
}

impl Resources {
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu && self.gpu <= available.gpu && self.mem <= available.mem
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpu += other.cpu;
        self.gpu += other.gpu;
        self.mem += other.mem;
    }

    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
            mem: self.mem.saturating_sub(other.mem),
        }
    }

    pub fn saturating_mul(&self, n: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
        }
    }

    /// How many of `self` fit into `room`.
    pub fn max_count_in(&self, available: &Resources) -> u64 {
        let quotient = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        quotient(self.cpu, available.cpu)
            .min(quotient(self.gpu, available.gpu))
            .min(quotient(self.mem, available.mem))
    }
}

/// What a task needs is rounded up, what is there is rounded down.
pub fn to_milli_ceil(value: f64) -> u64 {
    (value * 1000.0 - 1e-6).ceil().max(0.0) as u64
}

pub fn to_milli_floor(value: f64) -> u64 {
    (value * 1000.0 + 1e-6).floor().max(0.0) as u64
}

/// Thousandths as people write them: CPUs, GB, seconds.
pub fn from_milli(milli: u64) -> f64 {
    milli as f64 / 1000.0
}

pub fn seconds_to_ms(value: f64) -> u64 {
    (value * 1000.0).round().max(0.0) as u64
}
