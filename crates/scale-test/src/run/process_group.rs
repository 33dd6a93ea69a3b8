//! The processes of a run and what they use. They end with the group, before the ports they listen on are given back.

use super::start::ReservedPorts;
use crate::error::ScaleError;
use crate::measurements::{ProcessUsage, SecondSample};
use crate::processes::{ManagedProcess, Role, sample_self};

pub(super) struct ProcessGroup {
    /// The controllers come last.
    pub(super) processes: Vec<ManagedProcess>,
    /// At the same indices as `processes`.
    usage: Vec<ProcessUsage>,
    own_usage: ProcessUsage,
    /// Memory that all processes together may take, in bytes.
    memory_limit: u64,
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

    /// Samples all processes and enters their processor time into `second`; `leader` is the index of the leader's process.
    ///
    /// # Errors
    ///
    /// A process has ended by itself, or all together take too much memory.
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
            if process.has_exited() {
                return Err(ScaleError::Process(format!("{} has ended by itself", process.name)));
            }
        }
        if bytes > self.memory_limit {
            return Err(ScaleError::Refused(format!("the processes take {} MB", bytes / 1_000_000)));
        }
        Ok(())
    }

    pub(super) fn kill_all(&mut self) {
        self.processes.iter_mut().for_each(ManagedProcess::kill);
    }

    /// Usage of all processes, the run's own last.
    pub(super) fn usage(&self) -> Vec<ProcessUsage> {
        self.usage.iter().chain([&self.own_usage]).cloned().collect()
    }

    /// Usage of the processes with a role.
    pub(super) fn usage_of(&self, role: Role) -> impl Iterator<Item = &ProcessUsage> {
        self.usage.iter().filter(move |usage| usage.role == role)
    }
}
