//! The placement pass: moves due tasks to queues, places gangs, and fills machines from their queues, dedicated queues
//! first.
//!
//! A pass examines only machines with newly free capacity or new tasks, and thieves whose backoff has ended, so that
//! its cost is proportional to what changed.

use olivelatch_admission::pressure::PressureLevel;

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::eligibility::StartCheck;
use crate::coordination::leader::placement::policy::{QueueOrder, Rank};
use crate::coordination::leader::placement::queues::{Queue, QueueKind};
use crate::coordination::leader::placement::reserved_machines::GangDemandByType;
use crate::coordination::leader::placement::steal::QueuedTask;
use crate::ids::{JobIx, MachineIx, Resources};

/// Maximum number of steal attempts of one machine within one pass.
const MAX_STEALS_PER_PASS: usize = 4;
/// Paused thieves that resume at each sweep while any shared queue holds tasks.
const THIEVES_RESUMED_PER_SWEEP: usize = 4;
/// Minimum time between searches for machines for waiting gangs: too little changes for them in a shorter time.
const GANG_SEARCH_INTERVAL_MS: u64 = 150;
/// Minimum time between these searches while the leader is behind with handling its events.
const GANG_SEARCH_INTERVAL_UNDER_PRESSURE_MS: u64 = 1_000;

/// The first job of a queue from which a machine may start a task.
pub(super) struct FirstStartable {
    /// The position of that job; None if no job of the queue may start a task.
    pub(super) order: Option<QueueOrder>,
    /// At least one examined job could start on this machine, but a cluster-wide limit or a preempting job keeps it
    /// from starting.
    pub(super) any_limited: bool,
    /// The examined jobs whose zone rules keep their tasks from starting on this machine.
    pub(super) zone_blocked: Vec<JobIx>,
}

impl FirstStartable {
    /// Returns whether no job may start, and at least one waits for a change elsewhere: a limit or its zone rule, not
    /// the free capacity of this machine, keeps it from starting.
    pub(super) fn waits_for_changes_elsewhere(&self) -> bool {
        self.order.is_none() && (self.any_limited || !self.zone_blocked.is_empty())
    }
}

impl Leader {
    /// Runs one placement pass.
    pub(in crate::coordination) fn place_tasks(&mut self, clock: Clock) {
        self.requeue_delayed(clock);
        self.release_expired_holds(clock);
        if std::mem::take(&mut self.cluster.placement_index.recheck_backlog) {
            self.enqueue_backlog();
        }
        if !self.placement.waiting_gangs.is_empty() {
            // Gangs come first: no machine is filled from its queues before the search for the waiting gangs.
            if clock.now < self.placement.gang_search_not_before {
                return;
            }
            self.placement.gang_search_not_before = clock.now.saturating_add(self.gang_search_interval_ms());
            self.place_gangs(clock);
        } else if !self.placement.reserved_machines.is_empty() {
            self.reserve_scarce_machines(&GangDemandByType::default());
        }
        self.fill_machines(clock);
    }

    fn gang_search_interval_ms(&self) -> u64 {
        if self.pressure > PressureLevel::Calm {
            GANG_SEARCH_INTERVAL_UNDER_PRESSURE_MS
        } else {
            GANG_SEARCH_INTERVAL_MS
        }
    }

    /// Handles what depends on time alone: spills dedicated queues that have become too long, retries excluded
    /// machines, queues probation tasks and enforces time limits. Also resumes some paused thieves, as their samples
    /// may have missed all waiting tasks.
    ///
    /// Runs on a periodic timer. When it ran at every event, 300 machines with a dedicated queue made it cost more than
    /// all of placement.
    pub(in crate::coordination) fn sweep(&mut self, clock: Clock) {
        self.spill_dedicated_queues(clock);
        self.retry_after_exclusion(clock);
        self.queue_probation_tasks(clock);
        self.enforce_time_limits(clock);
        let has_queued = |ix: &MachineIx| !self.cluster.machines[ix.index()].shared_queue.is_empty();
        if self.cluster.placement_index.queue_eligible().iter().any(has_queued) {
            self.cluster.placement_index.resume_paused(THIEVES_RESUMED_PER_SWEEP);
        }
    }

    fn fill_machines(&mut self, clock: Clock) {
        let mut machines = self.cluster.placement_index.take_machines_to_fill(clock.now);
        machines.retain(|ix| self.cluster.machines[ix.index()].hold.is_none());
        // Cheap machines are filled first, so that expensive ones become empty and can be returned to the cloud.
        machines.sort_by(|a, b| self.price_per_cpu(*a).total_cmp(&self.price_per_cpu(*b)));
        for ix in machines {
            self.fill_machine(ix, clock);
        }
    }

    fn fill_machine(&mut self, machine_ix: MachineIx, clock: Clock) {
        self.counters.machines_examined += 1;
        let mut steals = 0;
        loop {
            // The dedicated queue comes first (DAWS): its tasks wait for this machine alone.
            while self.bind_next_task(machine_ix, QueueKind::Dedicated)
                || self.bind_next_task(machine_ix, QueueKind::Shared)
            {}
            let machine = &self.cluster.machines[machine_ix.index()];
            let may_steal = clock.now >= machine.steal_not_before && steals < MAX_STEALS_PER_PASS;
            if !may_steal || machine.free().cpu == 0 || !self.has_nothing_to_start(machine_ix) {
                return;
            }
            steals += 1;
            if !self.steal(machine_ix, clock) {
                return;
            }
        }
    }

    /// Returns the job's position in the order of service, which [`policy`](super::policy) defines.
    pub(in crate::coordination::leader) fn queue_order(&self, rank: &Rank) -> QueueOrder {
        QueueOrder::new(rank, self.placement.priority_inputs.get(rank.job))
    }

    /// Binds the first task of a queue that may start now, and returns whether there was one. For the shared queue, a
    /// task from a random sample of other shared queues is bound instead if it comes earlier in the order of service.
    fn bind_next_task(&mut self, machine_ix: MachineIx, kind: QueueKind) -> bool {
        let machine = &self.cluster.machines[machine_ix.index()];
        if machine.bindings.len() >= self.placement.max_tasks_per_record {
            return false;
        }
        let free = machine.free();
        let first = self.first_startable(machine.queue(kind), machine_ix, &free);
        let Some(own_order) = first.order else {
            if first.any_limited {
                self.cluster.placement_index.add_quota_blocked(machine_ix);
            }
            self.record_zone_blocked(machine_ix, &first.zone_blocked);
            return false;
        };
        let earlier = match kind {
            QueueKind::Dedicated => None,
            QueueKind::Shared => self.find_earlier_task(machine_ix, &free, own_order),
        };
        let next = earlier.unwrap_or(QueuedTask { machine_ix, rank: own_order.rank });
        let queue = self.cluster.machines[next.machine_ix.index()].queue_mut(kind);
        let Some(task) = queue.pop(next.rank) else {
            return false;
        };
        let attempt = self.term.next_attempt();
        self.bind(machine_ix, next.rank.job, task, attempt);
        true
    }

    /// Finds the first job of a queue that may start a task on this machine, whose free capacity is `free`.
    pub(super) fn first_startable(
        &self,
        queue: &Queue,
        machine_ix: MachineIx,
        free: &Resources,
    ) -> FirstStartable {
        let present = self.placement.priority_inputs.present;
        let mut any_limited = false;
        let mut zone_blocked = Vec::new();
        let mut first: Option<QueueOrder> = None;
        for rank in queue.ranks() {
            // Stops early in long queues: no later rank can come before the job that was found.
            if first.is_some_and(|first| first.precedes_all_from(rank, present)) {
                break;
            }
            let order = self.queue_order(rank);
            if first.is_some_and(|first| first < order) {
                continue;
            }
            match self.check_start(machine_ix, free, rank.job) {
                StartCheck::Allowed => first = Some(order),
                StartCheck::Limited => any_limited = true,
                StartCheck::ZoneBlocked => zone_blocked.push(rank.job),
                StartCheck::Blocked => {}
            }
        }
        FirstStartable { order: first, any_limited, zone_blocked }
    }
}
