//! The processes of a run and their resource usage. Dropping the group kills the processes and then releases
//! their ports.

use super::start::ReservedPorts;
use crate::error::ScaleError;
use crate::measurements::{ProcessUsage, SecondSample};
use crate::processes::{ManagedProcess, Role, sample_self};

pub(super) struct ProcessGroup {
    /// The controllers come last.
    pub(super) processes: Vec<ManagedProcess>,
    /// Resource usage of each process, at the same indices as `processes`.
    usage: Vec<ProcessUsage>,
    own_usage: ProcessUsage,
    /// Maximum memory of all processes together, in bytes.
    memory_limit: u64,
    /// Declared after `processes`, so that the ports are released after the processes have ended.
    _ports: ReservedPorts,
}

impl ProcessGroup {
    pub(super) fn new(
        processes: Vec<ManagedProcess>,
        memory_limit: u64,
        ports: ReservedPorts,
    ) -> ProcessGroup {
        ProcessGroup {
            usage: processes.iter().map(|process| ProcessUsage::new(&process.name, process.role)).collect(),
            own_usage: ProcessUsage::new("load, cloud, check", Role::LoadGenerator),
            processes,
            memory_limit,
            _ports: ports,
        }
    }

    /// Samples all processes and writes their processor time to `second`. `leader` is the index of the
    /// leader's process.
    ///
    /// # Errors
    ///
    /// A process exited unexpectedly, or the processes together use more memory than the limit.
    pub(super) fn sample(
        &mut self,
        now: u64,
        leader: Option<usize>,
        second: &mut SecondSample,
    ) -> Result<(), ScaleError> {
        second.load_cpu = self.own_usage.add_sample(now, Some(sample_self()));
        let mut bytes = sample_self().memory_bytes;
        for (index, process) in self.processes.iter_mut().enumerate() {
            let sample = process.sample();
            bytes += sample.map_or(0, |sample| sample.memory_bytes);
            let share = self.usage[index].add_sample(now, sample);
            match process.role {
                Role::Controller => second.controllers_cpu += share,
                Role::KvStore => second.state_cpu += share,
                Role::SimulatedWorkers => second.workers_cpu += share,
                Role::LoadGenerator => {}
            }
            if leader == Some(index) {
                second.leader_cpu = share;
            }
            if process.has_exited_unexpectedly() {
                return Err(ScaleError::Process(format!(
                    "process {} exited unexpectedly; see its log in the output directory",
                    process.name
                )));
            }
        }
        if bytes > self.memory_limit {
            return Err(ScaleError::Refused(format!(
                "the processes of the run use {} MB of memory; the limit is {} MB, half of the machine's memory; use a smaller plan",
                bytes / 1_000_000,
                self.memory_limit / 1_000_000
            )));
        }
        Ok(())
    }

    pub(super) fn kill_all(&mut self) {
        self.processes.iter_mut().for_each(ManagedProcess::kill);
    }

    /// Returns the usage of all processes; the run's own process comes last.
    pub(super) fn usage(&self) -> Vec<ProcessUsage> {
        self.usage.iter().chain([&self.own_usage]).cloned().collect()
    }

    /// Returns the usage of the processes with this role.
    pub(super) fn usage_of(&self, role: Role) -> impl Iterator<Item = &ProcessUsage> {
        self.usage.iter().filter(move |usage| usage.role == role)
    }
}
