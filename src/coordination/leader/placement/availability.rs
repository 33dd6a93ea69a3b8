//! What a machine can run for a job: now, later or never.
//!
//! Placement, the capacity plan and the retries of failed jobs share this answer. When each had its own, the plan counted
//! machines on which placement started nothing, and accepted jobs waited for good
//! (docs/incidents/jobs-without-a-machine.md).
//!
//! The functions read the leader's state and change nothing.

use crate::coordination::Clock;
use crate::coordination::leader::placement::eligibility::{PlacementBlocker, mismatch};
use crate::coordination::leader::{Binding, JobState, Leader, Machine, MachineState};
use crate::ids::{MachineIx, Resources};
use crate::protocol::users::JobKind;

/// A booting machine is expected to be available no sooner than this time from now.
const MIN_BOOT_WAIT_MS: u64 = 5_000;
/// A running task is expected to run at least this much longer.
const MIN_REMAINING_RUN_MS: u64 = 1_000;

/// What a machine can run for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::leader) enum Availability {
    /// Its free capacity suffices for this many tasks.
    Now { slots: u64 },
    /// It is expected to have room for this many tasks once it is up or some of its tasks have ended.
    Later { slots: u64 },
    /// As things stand it runs no task of the job, however long the job waits.
    Never(PlacementBlocker),
}

/// The room on a machine, now and as its tasks end.
#[derive(Debug, Clone)]
pub(in crate::coordination::leader) struct RoomForecast {
    /// Time until the machine is up, in milliseconds; 0 if it is.
    pub(in crate::coordination::leader) up_in_ms: u64,
    /// Room now, or as soon as the machine is up.
    present: Room,
    /// The expected ends of the tasks that end by themselves, the earliest first, with what each of them frees.
    ends: Vec<(u64, Resources)>,
    /// Room once all of these tasks have ended.
    lasting: Room,
}

/// Room for tasks on a machine. The record of a machine holds a limited number of tasks, however small they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::leader) struct Room {
    resources: Resources,
    tasks: u64,
}

impl Room {
    /// Returns how many tasks fit that need these resources each.
    pub(in crate::coordination::leader) fn slots(&self, need: &Resources) -> u64 {
        need.max_count_in(&self.resources).min(self.tasks)
    }

    fn add_task(&mut self, need: &Resources) {
        self.resources.add(need);
        self.tasks += 1;
    }
}

impl RoomForecast {
    /// Returns how many tasks fit at the same time once all tasks that end by themselves have ended.
    pub(in crate::coordination::leader) fn lasting_slots(&self, need: &Resources) -> u64 {
        self.lasting.slots(need)
    }

    /// Returns the CPUs, in thousandths, that are free once all tasks that end by themselves have ended.
    pub(in crate::coordination::leader) fn lasting_cpu(&self) -> u64 {
        self.lasting.resources.cpu
    }

    /// Returns the room after `ms`, if the tasks end as expected.
    pub(in crate::coordination::leader) fn room_after(&self, ms: u64) -> Room {
        let mut room = self.present;
        for (_, need) in self.ends.iter().take_while(|(end_ms, _)| *end_ms <= ms) {
            room.add_task(need);
        }
        room
    }

    /// Returns the time until a task fits and the room at that time, if the tasks end as expected. `None` if a task
    /// does not fit even then.
    pub(in crate::coordination::leader) fn first_fit(&self, need: &Resources) -> Option<(u64, Room)> {
        if self.lasting.slots(need) == 0 {
            return None;
        }
        let mut room = self.present;
        let mut in_ms = self.up_in_ms;
        for (end_ms, freed) in &self.ends {
            if room.slots(need) > 0 {
                break;
            }
            room.add_task(freed);
            in_ms = in_ms.max(*end_ms);
        }
        Some((in_ms, room))
    }
}

impl Machine {
    /// Returns the capacity that is left when all tasks that end by themselves have ended.
    fn lasting_capacity(&self) -> Resources {
        self.capacity.saturating_sub(&self.service_use)
    }
}

impl Leader {
    /// Returns what the machine can run for the job.
    pub(in crate::coordination::leader) fn availability(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
        clock: Clock,
    ) -> Availability {
        if let Some(blocker) = self.planning_blocker(machine_ix, job) {
            return Availability::Never(blocker);
        }
        let Some(forecast) = self.room_forecast(machine_ix, clock) else {
            return Availability::Never(PlacementBlocker::Unavailable);
        };
        let need = &job.spec.task_resources;
        match forecast.first_fit(need) {
            Some((0, room)) => Availability::Now { slots: room.slots(need) },
            Some((_, room)) => Availability::Later { slots: room.slots(need) },
            None => Availability::Never(PlacementBlocker::InsufficientCapacity),
        }
    }

    /// Returns why no capacity can be planned for the job on this machine, whatever its state and its other tasks. A
    /// machine on which the job has failed is retried only while there is no other one, so none is planned there.
    pub(in crate::coordination::leader) fn planning_blocker(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> Option<PlacementBlocker> {
        let machine = &self.cluster.machines[machine_ix.index()];
        let has_failed = job.failed_on.contains(&machine_ix);
        mismatch(machine, job).or(has_failed.then_some(PlacementBlocker::FailedBefore))
    }

    /// Returns how many tasks of the job fit on the machine once all tasks that end by themselves have ended.
    pub(in crate::coordination::leader) fn lasting_slots(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> u64 {
        let machine = &self.cluster.machines[machine_ix.index()];
        self.empty_room(machine.lasting_capacity()).slots(&job.spec.task_resources)
    }

    /// Returns whether a task of the job fits on the machine once all tasks that end by themselves have ended.
    pub(in crate::coordination::leader) fn has_lasting_room(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
    ) -> bool {
        self.lasting_slots(machine_ix, job) > 0
    }

    /// Returns whether tasks of the job may wait in the queues of this machine: they may run there, and the tasks that
    /// do not end by themselves leave them room.
    pub(in crate::coordination::leader) fn may_queue(&self, machine_ix: MachineIx, job: &JobState) -> bool {
        self.is_eligible(machine_ix, job) && self.has_lasting_room(machine_ix, job)
    }

    /// Returns how the room on the machine grows as its tasks end. `None` if it gets no tasks: it is not up or booting,
    /// is being returned or reclaimed, or is excluded because of its own faults.
    pub(in crate::coordination::leader) fn room_forecast(
        &self,
        machine_ix: MachineIx,
        clock: Clock,
    ) -> Option<RoomForecast> {
        let machine = &self.cluster.machines[machine_ix.index()];
        let up_in_ms = self.up_in_ms(machine, clock)?;
        let present = self.present_room(machine);
        let mut ends: Vec<(u64, Resources)> = machine
            .bindings
            .iter()
            .filter_map(|binding| Some((self.remaining_run_ms(binding, clock)?, binding.need)))
            .collect();
        ends.sort_unstable_by_key(|(end_ms, _)| *end_ms);
        let mut lasting = present;
        ends.iter().for_each(|(_, need)| lasting.add_task(need));
        Some(RoomForecast { up_in_ms, present, ends, lasting })
    }

    /// Returns the room on the machine that no task uses.
    pub(in crate::coordination::leader) fn present_room(&self, machine: &Machine) -> Room {
        let max_tasks = self.placement.max_tasks_per_record as u64;
        Room { resources: machine.free(), tasks: max_tasks.saturating_sub(machine.bindings.len() as u64) }
    }

    /// Returns the room on an empty machine with this capacity.
    pub(in crate::coordination::leader) fn empty_room(&self, capacity: Resources) -> Room {
        Room { resources: capacity, tasks: self.placement.max_tasks_per_record as u64 }
    }

    /// Returns the time until the machine is up, in milliseconds; 0 if it is. `None` if it gets no tasks.
    fn up_in_ms(&self, machine: &Machine, clock: Clock) -> Option<u64> {
        match machine.state {
            MachineState::Up if machine.is_schedulable() || !machine.token_acknowledged => Some(0),
            MachineState::Booting if !machine.returning && !self.is_boot_overdue(machine, clock) => {
                let machine_type = self.cluster.machine_types.get(&machine.machine_type);
                let boot_ms = machine_type.map_or(0, |machine_type| machine_type.boot_ms);
                let elapsed_ms = clock.now.saturating_since(machine.created_at);
                Some(boot_ms.saturating_sub(elapsed_ms).max(MIN_BOOT_WAIT_MS))
            }
            _ => None,
        }
    }

    /// Returns the expected remaining run time of a task in milliseconds. `None` if it runs until it is stopped, as the
    /// tasks of services do. A task that is past its estimate is expected to run on for as long as it has overrun it.
    pub(in crate::coordination::leader) fn remaining_run_ms(
        &self,
        binding: &Binding,
        clock: Clock,
    ) -> Option<u64> {
        let Some(job) = binding.job.and_then(|job| self.workload.jobs.get(&job)) else { return Some(0) };
        if let Some(grace_ms) = binding.stop_grace_ms {
            return Some(grace_ms.max(MIN_REMAINING_RUN_MS));
        }
        if job.spec.kind == JobKind::Service {
            return None;
        }
        let ran_ms = binding.running_since.map_or(0, |since| clock.now.saturating_since(since));
        Some(job.expected_run_ms().abs_diff(ran_ms).max(MIN_REMAINING_RUN_MS))
    }
}
