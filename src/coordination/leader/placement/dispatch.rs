//! The ordinary path: the t split, dedicated first, sampled half steals, spills over tt.

use std::collections::{BTreeSet, HashSet};

use olivelatch_admission::pressure::PressureLevel;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::{QueueOrder, Rank};
use crate::coordination::leader::placement::queues::Queue;
use crate::coordination::leader::placement::reserved_machines::GangDemandByType;
use crate::coordination::leader::records::assignment_log::TaskPlacement;
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader};
use crate::ids::{Attempt, JobIx, MachineIx, Resources, TaskId};
use crate::protocol::operators::JobEventKind;

/// Stealing of one machine within one round of placement.
const MAX_STEALS_PER_PASS: usize = 4;
/// Samples drawn for a task before all machines are looked at.
const SAMPLES_PER_TASK: usize = 3;
/// Thieves that try again now and then while tasks wait somewhere.
const THIEVES_WOKEN_PER_SWEEP: usize = 4;
/// Gangs that wait are tried that often: more often nothing has changed for them.
const GANG_INTERVAL_MS: u64 = 150;
/// And by a leader that is behind its events.
const GANG_INTERVAL_UNDER_LOAD_MS: u64 = 1_000;

/// What keeps a task off a machine. Placement starts it where there is nothing; explain counts what there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementBlocker {
    InsufficientRoom,
    /// Not up, not confirmed, deaf, going back, sick, slow or taken back soon.
    Unavailable,
    /// Its type, zone or kind (spot) is not allowed.
    NotAllowed,
    TooSmall,
    FailedBefore,
    /// One zone for all tasks, or at most half of them in one.
    ZoneRule,
    TeamLimit,
    PoolFull,
    /// Nobody waits for it, and what is free is left to work that is waited for.
    BestEffortLimit,
}

impl Leader {
    /// What keeps a task of this job off this machine, room and quota aside.
    pub fn machine_blocker(&self, ix: MachineIx, work: &JobState) -> Option<PlacementBlocker> {
        let machine = &self.cluster.machines[ix.index()];
        if !machine.is_schedulable() {
            Some(PlacementBlocker::Unavailable)
        } else if !work.spec.allows(machine.machine_type, machine.zone, machine.spot) {
            Some(PlacementBlocker::NotAllowed)
        } else if !work.spec.task_resources.fits_in(&machine.capacity) {
            Some(PlacementBlocker::TooSmall)
        } else if work.failed_on.contains(&ix) {
            Some(PlacementBlocker::FailedBefore)
        } else {
            None
        }
    }

    /// May a task of this job start on this machine, room and quota aside?
    pub fn is_eligible(&self, ix: MachineIx, work: &JobState) -> bool {
        self.machine_blocker(ix, work).is_none()
    }

    /// What keeps a task of this job from starting now on a machine with so much room.
    pub fn placement_blocker(
        &self,
        ix: MachineIx,
        free: &Resources,
        work: &JobState,
    ) -> Option<PlacementBlocker> {
        if !work.spec.task_resources.fits_in(free) {
            return Some(PlacementBlocker::InsufficientRoom);
        }
        if let Some(blocker) = self.machine_blocker(ix, work) {
            return Some(blocker);
        }
        if !self.zone_rules_allow(ix, work) {
            return Some(PlacementBlocker::ZoneRule);
        }
        if !self.within_quota(work.spec.team, &work.spec.task_resources) {
            return Some(PlacementBlocker::TeamLimit);
        }
        if !self.pool_has_room(work, 1) {
            return Some(PlacementBlocker::PoolFull);
        }
        (self.best_effort_slots(work) == 0).then_some(PlacementBlocker::BestEffortLimit)
    }

    /// The zone rules, judged against every place where a task of the job may still be.
    pub fn zone_rules_allow(&self, ix: MachineIx, work: &JobState) -> bool {
        let zone = self.cluster.machines[ix.index()].zone;
        // After a takeover there may be records of two zones, of which one is stale: neither is allowed until one is empty.
        if work.spec.single_zone && work.tasks_per_zone.keys().any(|other| *other != zone) {
            return false;
        }
        let here = work.tasks_per_zone.get(&zone).copied().unwrap_or(0);
        !work.spec.spread || here < work.spec.tasks.div_ceil(2)
    }

    /// Time to fetch the image over the expected run time.
    pub fn fetch_to_run_ratio(&self, work: &JobState) -> f64 {
        let rates =
            self.cluster.machine_types.iter().filter(|(kind, _)| work.spec.allows_machine_type(**kind));
        let rate = rates.map(|(_, kind)| kind.fetch_mb_per_s).fold(0.0, f64::max);
        let rate = if rate > 0.0 { rate } else { self.tunables.fetch_gb_per_s * 1000.0 };
        // Output that a node reads is data to be fetched like its image.
        let data_mb = work.spec.image_mb + work.spec.node.as_ref().map_or(0, |node| node.input_mb);
        let fetch_ms = data_mb as f64 / rate * 1000.0;
        fetch_ms / work.expected_run_ms().max(1) as f64
    }

    /// The t split: cheap to move joins a shared queue, dear to move the shortest
    /// dedicated queue of a machine that has the image, else a shared one.
    pub fn enqueue(&mut self, job: JobIx, tasks: &[u32]) {
        let Some(work) = self.workload.jobs.get(&job) else {
            return;
        };
        let expensive_to_move = self.fetch_to_run_ratio(work) > self.tunables.t;
        let holders = if expensive_to_move { self.image_holders(work) } else { Vec::new() };
        let count = tasks.len();
        if holders.is_empty() {
            self.enqueue_shared(job, tasks);
        } else {
            self.enqueue_dedicated(job, tasks, holders);
        }
        // Idle thieves gave up until tasks arrive (source): some for each task come back.
        self.cluster.placement_index.resume_paused(2 * count + 2);
    }

    fn image_holders(&self, work: &JobState) -> Vec<MachineIx> {
        let holders = self.cluster.image_holders.get(&work.spec.image);
        let input_holders = self.output_holders(work);
        let input_only_holders =
            input_holders.iter().filter(|ix| holders.is_none_or(|holders| !holders.contains(ix)));
        let eligible = |ix: &&MachineIx| {
            self.cluster.placement_index.accepts_queued(**ix) && self.is_eligible(**ix, work)
        };
        holders.into_iter().flatten().chain(input_only_holders).filter(eligible).copied().collect()
    }

    /// Each task joins the dedicated queue that is the shortest then.
    fn enqueue_dedicated(&mut self, job: JobIx, tasks: &[u32], holders: Vec<MachineIx>) {
        let Some(rank) = self.workload.jobs.get(&job).map(|work| work.queue_order) else { return };
        self.counters.machines_examined += holders.len() as u64;
        self.counters.queued_dedicated += tasks.len() as u64;
        self.log_queued(job, tasks, JobEventKind::QueuedDedicated);
        let length = |ix: &MachineIx| self.cluster.machines[ix.index()].dedicated_queue.len();
        let mut shortest: BTreeSet<(usize, MachineIx)> = holders.iter().map(|ix| (length(ix), *ix)).collect();
        for task in tasks {
            let Some((length, ix)) = shortest.pop_first() else { return };
            self.cluster.machines[ix.index()].dedicated_queue.push(rank, *task);
            shortest.insert((length + 1, ix));
            self.cluster.placement_index.mark_dedicated_nonempty(ix);
            self.cluster.placement_index.mark_to_fill(ix);
        }
    }

    /// Tasks join the shared queue of the best of a random sample, as many at once as it
    /// has room for.
    fn enqueue_shared(&mut self, job: JobIx, tasks: &[u32]) {
        let Some(rank) = self.workload.jobs.get(&job).map(|work| work.queue_order) else { return };
        self.counters.queued_shared += tasks.len() as u64;
        self.log_queued(job, tasks, JobEventKind::QueuedShared);
        let even_share = tasks.len().div_ceil(self.cluster.placement_index.queue_eligible().len().max(1));
        let mut remaining = tasks;
        while !remaining.is_empty() {
            let Some((ix, room)) = self.best_machine_in_samples(job) else {
                self.log_queued(job, remaining, JobEventKind::QueuedBacklog);
                for task in remaining {
                    self.placement.backlog.push(rank, *task);
                }
                return;
            };
            let (now, later) = remaining.split_at(remaining.len().min(room.max(even_share)));
            for task in now {
                self.cluster.machines[ix.index()].shared_queue.push(rank, *task);
            }
            self.cluster.placement_index.mark_to_fill(ix);
            remaining = later;
        }
    }

    /// A random sample of the machines that take queued tasks. However large it is, it takes
    /// one number of the leader's own generator.
    fn sample_machines(&mut self) -> Vec<MachineIx> {
        let mut rng = SmallRng::seed_from_u64(self.placement.rng.next_u64());
        let sample = self.cluster.placement_index.sample_queue_eligible(&mut rng);
        self.counters.machines_examined += sample.len() as u64;
        sample
    }

    /// The machine of a sample that can start most of the job's tasks, cheap ones first;
    /// else the one with the shortest queue for its size. And how many it can start.
    fn best_machine_in_samples(&mut self, job: JobIx) -> Option<(MachineIx, usize)> {
        for _ in 0..SAMPLES_PER_TASK {
            let sample = self.sample_machines();
            let best = self.best_machine_of(job, sample.into_iter());
            if best.is_some() {
                return best;
            }
        }
        // Few machines suit it: look at all before it is said that none does.
        self.counters.machines_examined += self.cluster.placement_index.queue_eligible().len() as u64;
        self.best_machine_of(job, self.cluster.placement_index.queue_eligible().iter().copied())
    }

    fn best_machine_of(
        &self,
        job: JobIx,
        sample: impl Iterator<Item = MachineIx>,
    ) -> Option<(MachineIx, usize)> {
        let work = self.workload.jobs.get(&job)?;
        let input_holders = self.output_holders(work);
        let rated = sample.chain(
            input_holders.iter().copied().filter(|ix| self.cluster.placement_index.accepts_queued(*ix)),
        );
        let rated = rated.filter(|ix| self.is_eligible(*ix, work)).map(|ix| {
            let machine = &self.cluster.machines[ix.index()];
            let queued = machine.shared_queue.len() as u64;
            let free = if machine.hold.is_some() {
                0
            } else {
                work.spec.task_resources.max_count_in(&machine.free())
            };
            let room = free.saturating_sub(queued + machine.dedicated_queue.len() as u64).min(1_000_000);
            let load = queued * 1_000_000 / machine.capacity.cpu.max(1);
            let price = (self.price_per_cpu(ix) * 1e9) as u64;
            // Where its input is, a node starts soonest; without room there it goes where others go.
            let input_elsewhere = room > 0 && !input_holders.is_empty() && !input_holders.contains(&ix);
            (
                (room == 0, input_elsewhere, if room == 0 { load } else { price }, u64::MAX - room),
                ix,
                room as usize,
            )
        });
        rated.min_by_key(|(key, ..)| *key).map(|(_, ix, room)| (ix, room))
    }

    /// Places what can be placed.
    pub fn place_tasks(&mut self, clock: Clock) {
        self.requeue_delayed(clock);
        self.release_expired_holds(clock);
        if std::mem::take(&mut self.cluster.placement_index.recheck_backlog) {
            self.enqueue_backlog();
        }
        if !self.placement.waiting_gangs.is_empty() {
            // Gangs come first, so nothing is filled before they have had a look.
            if clock.now < self.placement.gang_search_not_before {
                return;
            }
            let interval_ms = if self.pressure > PressureLevel::Calm {
                GANG_INTERVAL_UNDER_LOAD_MS
            } else {
                GANG_INTERVAL_MS
            };
            self.placement.gang_search_not_before = clock.now.saturating_add(interval_ms);
            self.place_gangs(clock);
        } else if !self.placement.reserved_machines.is_empty() {
            self.reserve_scarce_machines(&GangDemandByType::default());
        }
        let mut order = self.cluster.placement_index.take_machines_to_fill(clock.now);
        order.retain(|ix| self.cluster.machines[ix.index()].hold.is_none());
        // Cheap machines help themselves first, so that dear ones run empty.
        order.sort_by(|a, b| self.price_per_cpu(*a).total_cmp(&self.price_per_cpu(*b)));
        for ix in order {
            self.fill_machine(ix, clock);
        }
    }

    /// Dedicated queues grow too long by time passing as well. And tasks may sit where they
    /// cannot start, and thieves may have missed them all: some thieves that gave up try again.
    /// Looked at now and then only: at every event, 300 machines with a dedicated queue cost
    /// more than all that is placed.
    pub fn sweep(&mut self, clock: Clock) {
        self.spill(clock);
        self.retry_after_exclusion(clock);
        self.queue_probation_tasks(clock);
        self.enforce_time_limits(clock);
        let waiting = |ix: &MachineIx| !self.cluster.machines[ix.index()].shared_queue.is_empty();
        if self.cluster.placement_index.queue_eligible().iter().any(waiting) {
            self.cluster.placement_index.resume_paused(THIEVES_WOKEN_PER_SWEEP);
        }
    }

    /// Tasks that no machine could take, once one may.
    fn enqueue_backlog(&mut self) {
        for rank in self.placement.backlog.ranks().copied().collect::<Vec<Rank>>() {
            let Some(work) = self.workload.jobs.get(&rank.job) else {
                continue;
            };
            if !self.cluster.placement_index.queue_eligible().iter().any(|ix| self.is_eligible(*ix, work)) {
                continue;
            }
            let mut tasks = Vec::new();
            while let Some(task) = self.placement.backlog.pop(rank) {
                tasks.push(task);
            }
            self.enqueue(rank.job, &tasks);
        }
    }

    fn fill_machine(&mut self, ix: MachineIx, clock: Clock) {
        self.counters.machines_examined += 1;
        let mut steals = 0;
        loop {
            // Dedicated first (source): those tasks wait for this machine alone.
            while self.bind_next_task(ix, true) || self.bind_next_task(ix, false) {}
            let machine = &self.cluster.machines[ix.index()];
            let may_steal = clock.now >= machine.steal_not_before && steals < MAX_STEALS_PER_PASS;
            if !may_steal || machine.free().cpu == 0 || !self.has_nothing_to_start(ix) {
                return;
            }
            steals += 1;
            if !self.steal(ix, clock) {
                return;
            }
        }
    }

    /// Its shared queue is empty, or limits of teams and the like keep all in it from starting: without the latter,
    /// machines stood free beside queues full of work, because a guest's tasks that had to wait lay in their own.
    fn has_nothing_to_start(&self, ix: MachineIx) -> bool {
        let machine = &self.cluster.machines[ix.index()];
        let limited =
            || matches!(self.first_startable(&machine.shared_queue, ix, &machine.free()), (None, true));
        machine.shared_queue.is_empty() || limited()
    }

    /// May a task of this job start now with this much room? None: but for its team's limit.
    fn may_start(&self, ix: MachineIx, free: &Resources, job: JobIx) -> Option<bool> {
        let Some(work) = self.workload.jobs.get(&job) else { return Some(false) };
        match self.placement_blocker(ix, free, work) {
            None if self.yields_to_preemptor(job, work) => None,
            None => Some(true),
            Some(
                PlacementBlocker::TeamLimit | PlacementBlocker::PoolFull | PlacementBlocker::BestEffortLimit,
            ) => None,
            Some(_) => Some(false),
        }
    }

    /// When the job's turn comes: `policy` has the order.
    pub fn queue_order(&self, rank: &Rank) -> QueueOrder {
        QueueOrder::new(rank, self.placement.priority_inputs.get(rank.job))
    }

    /// Starts the first task of a queue that may start now. Instead of its own shared task
    /// a machine takes one whose turn is earlier, if it finds one in a sample.
    fn bind_next_task(&mut self, ix: MachineIx, dedicated: bool) -> bool {
        let machine = &self.cluster.machines[ix.index()];
        if machine.bindings.len() >= self.placement.max_tasks_per_record {
            return false;
        }
        let queue = if dedicated { &machine.dedicated_queue } else { &machine.shared_queue };
        let free = machine.free();
        let (first, limited) = self.first_startable(queue, ix, &free);
        let Some(first_order) = first else {
            if limited {
                self.cluster.placement_index.add_quota_blocked(ix);
            }
            return false;
        };
        let earlier_task = if dedicated { None } else { self.find_earlier_task(ix, &free, first_order) };
        let (from, rank) = earlier_task.unwrap_or((ix, first_order.rank));
        let machine = &mut self.cluster.machines[from.index()];
        let queue = if dedicated { &mut machine.dedicated_queue } else { &mut machine.shared_queue };
        let Some(task) = queue.pop(rank) else {
            return false;
        };
        let attempt = self.term.next_attempt();
        self.bind(ix, rank.job, task, attempt);
        true
    }

    /// The first turn of those in a queue that may start on a machine with so much room; and whether a limit of a team or
    /// pool kept others from starting.
    fn first_startable(&self, queue: &Queue, ix: MachineIx, free: &Resources) -> (Option<QueueOrder>, bool) {
        let mut limited = false;
        let mut first_order: Option<QueueOrder> = None;
        for rank in queue.ranks() {
            // Long queues are not gone through to their ends: what comes later in rank cannot come before this one.
            if first_order
                .is_some_and(|first| first.precedes_all_from(rank, self.placement.priority_inputs.present))
            {
                break;
            }
            let order = self.queue_order(rank);
            if first_order.is_some_and(|first| first < order) {
                continue;
            }
            let may = self.may_start(ix, free, rank.job);
            limited |= may.is_none();
            if may == Some(true) {
                first_order = Some(order);
            }
        }
        (first_order, limited)
    }

    /// A queue of a random sample whose first task comes before `turn` and may start here.
    /// Thieves of the source are idle; with queues everywhere nobody is, and tasks that are
    /// due would wait for their own machine however long its tasks run.
    fn find_earlier_task(
        &mut self,
        ix: MachineIx,
        free: &Resources,
        own_order: QueueOrder,
    ) -> Option<(MachineIx, Rank)> {
        let sample = self.sample_machines();
        // While some jobs are late the first in rank need not be the first in turn.
        let first = |queue: &Queue| {
            let rank = queue.first()?;
            let all = self.placement.priority_inputs.present.past_slo
                || self.placement.priority_inputs.present.below_minimum_share;
            if all {
                queue.ranks().map(|rank| self.queue_order(rank)).min()
            } else {
                Some(self.queue_order(&rank))
            }
        };
        let earlier_than_own = |other: MachineIx| {
            let theirs = first(&self.cluster.machines[other.index()].shared_queue)
                .filter(|theirs| *theirs < own_order)?;
            (self.may_start(ix, free, theirs.rank.job) == Some(true)).then_some((theirs, other))
        };
        let best = sample.into_iter().filter(|other| *other != ix).filter_map(earlier_than_own).min()?;
        self.counters.stolen_tasks += 1;
        Some((best.1, best.0.rank))
    }

    /// The task belongs to the machine; it is started once its record is durable.
    pub fn bind(&mut self, ix: MachineIx, job: JobIx, task: u32, attempt: Attempt) {
        let Some(work) = self.workload.jobs.get(&job) else {
            return;
        };
        let info = work.spec.clone();
        log::debug!("{}/{task} bound to {}", info.id, ix.0);
        self.record_image_use(ix, info.image, info.image_mb);
        let binding = Binding {
            task: TaskId { job: info.id, task },
            job: Some(job),
            attempt,
            need: info.task_resources,
            team: Some(info.team),
            pool: info.pool(),
            best_effort: self.is_best_effort(&info),
            timed_out: false,
            dispatch: DispatchState::Planned,
            log_segment: None,
            reported_state: None,
            late_start_possible: false,
            fetching_since: None,
            running_since: None,
            stop_grace_ms: None,
            stop_sent_at: None,
            lease_renewal_cutoff: None,
        };
        let start = TaskPlacement { machine: ix, task: binding.task, attempt };
        if let Some(trial) = self.workload.jobs.get_mut(&job).and_then(|work| work.probation.as_mut()) {
            trial.queued = false;
        }
        self.record_start(job);
        self.event_log.record(start.task.job, JobEventKind::Bound, Some(ix), start.task.task, 1);
        self.add_binding(ix, binding);
        self.assignment_log.queue_start(start);
        self.counters.tasks_bound += 1;
    }

    /// Takes half of what it could run from the longest of a random sample of shared
    /// queues, as many as the square root of all (source).
    fn steal(&mut self, thief: MachineIx, clock: Clock) -> bool {
        let sample = self.sample_machines();
        let free = self.cluster.machines[thief.index()].free();
        let can_start = |job: JobIx| self.may_start(thief, &free, job) == Some(true);
        let longest = sample
            .into_iter()
            .filter(|ix| *ix != thief)
            .map(|ix| (self.cluster.machines[ix.index()].shared_queue.count_where(can_start), ix))
            .max_by_key(|(count, _)| *count);
        let taken = match longest {
            Some((count, victim)) if count > 0 => {
                let ranks = self.cluster.machines[victim.index()].shared_queue.ranks();
                let jobs: HashSet<JobIx> = ranks.map(|rank| rank.job).filter(|job| can_start(*job)).collect();
                let half = count.div_ceil(2);
                self.cluster.machines[victim.index()]
                    .shared_queue
                    .take_from_back(half, |job| jobs.contains(&job))
            }
            _ => Vec::new(),
        };
        self.after_steal(thief, &taken, clock);
        !taken.is_empty()
    }

    fn after_steal(&mut self, thief: MachineIx, taken: &[(Rank, u32)], clock: Clock) {
        let bound = self.tunables.max_steal_backoff_s * 1000.0;
        let first = self.tunables.steal_backoff_ms;
        let machine = &mut self.cluster.machines[thief.index()];
        if taken.is_empty() {
            let wait = machine.steal_backoff_ms;
            if wait * 2.0 > bound {
                machine.steal_backoff_ms = first;
                machine.steal_not_before = clock.now;
                self.cluster.placement_index.pause(thief);
            } else {
                machine.steal_backoff_ms = wait * 2.0;
                machine.steal_not_before = clock.now.saturating_add(wait.ceil() as u64);
                self.cluster.placement_index.back_off_until(machine.steal_not_before, thief);
            }
            return;
        }
        machine.steal_backoff_ms = first;
        for (rank, task) in taken {
            machine.shared_queue.push(*rank, *task);
        }
        self.log_moved(taken, JobEventKind::Stolen, thief);
        self.counters.steals += 1;
        self.counters.stolen_tasks += taken.len() as u64;
    }

    /// A dedicated queue that would take longer than tt gives the share above tt away.
    fn spill(&mut self, clock: Clock) {
        let tt = self.tunables.tt_s;
        for ix in self.cluster.placement_index.dedicated_nonempty() {
            self.counters.machines_examined += 1;
            let waiting = self.cluster.machines[ix.index()].dedicated_queue.len();
            if waiting == 0 {
                self.cluster.placement_index.unmark_dedicated_nonempty(ix);
                continue;
            }
            let run_time = waiting as f64 / self.throughput(ix, clock);
            if run_time <= tt {
                continue;
            }
            let share = (run_time - tt) / run_time;
            let count = (share * waiting as f64).floor() as usize;
            let machine = &mut self.cluster.machines[ix.index()];
            let moved = machine.dedicated_queue.take_from_back(count, |_| true);
            let count = moved.len();
            for (rank, task) in &moved {
                machine.shared_queue.push(*rank, *task);
            }
            self.log_moved(&moved, JobEventKind::Spilled, ix);
            self.counters.spilled_tasks += count as u64;
            self.cluster.placement_index.mark_to_fill(ix);
            self.cluster.placement_index.resume_paused(2 * count);
        }
    }

    /// Tasks a second: those finished in the last minute; before any, what its room promises.
    fn throughput(&self, ix: MachineIx, clock: Clock) -> f64 {
        let machine = &self.cluster.machines[ix.index()];
        let recent =
            machine.recent_finishes.iter().filter(|at| clock.now.saturating_since(**at) < 60_000).count();
        let up = clock.now.saturating_since(machine.created_at).clamp(1000, 60_000) as f64 / 1000.0;
        if recent > 0 {
            return recent as f64 / up;
        }
        let first = machine.dedicated_queue.first().and_then(|rank| self.workload.jobs.get(&rank.job));
        let estimated = first.map_or(0.0, |work| {
            let slots = work.spec.task_resources.max_count_in(&machine.capacity).min(1000) as f64;
            slots * 1000.0 / work.expected_run_ms().max(1) as f64
        });
        estimated.max(1e-3)
    }
}
