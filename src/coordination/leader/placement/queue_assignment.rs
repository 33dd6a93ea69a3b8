//! Which queue a ready task joins: the t split between dedicated and shared queues (source, Algorithm 1).
//!
//! Fills the machines' queues and, with tasks that no present machine may take, the backlog. Starts nothing itself: it
//! marks machines to be filled.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::coordination::leader::placement::MS_PER_S;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::placement::steal::THIEVES_RESUMED_PER_TASK;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;

/// Samples drawn for a task before all machines are examined.
const SAMPLES_PER_TASK: usize = 3;
/// A machine counts as having room for at most this many tasks.
const MAX_ROOM_TASKS: u64 = 1_000_000;
/// Makes an integer of tasks per thousandth of a CPU.
const LOAD_SCALE: u64 = 1_000_000;
/// Makes an integer of a price per CPU.
const PRICE_SCALE: f64 = 1e9;
const MB_PER_GB: f64 = 1000.0;
/// Thieves that resume at an arrival, beside those for each task.
const EXTRA_THIEVES_RESUMED: usize = 2;

/// How well a machine's shared queue suits a job; the smallest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRating {
    is_full: bool,
    input_elsewhere: bool,
    /// The queue's length for the machine's size if it is full, else the price per CPU.
    load_or_price: u64,
    room: Reverse<u64>,
}

/// A machine whose shared queue tasks may join, and how many of them it can start.
struct QueueChoice {
    machine_ix: MachineIx,
    room: usize,
}

impl Leader {
    /// Time to fetch the image and inputs over the expected run time.
    fn fetch_to_run_ratio(&self, job: &JobState) -> f64 {
        let rates = self
            .cluster
            .machine_types
            .iter()
            .filter(|(ix, _)| job.spec.allows_machine_type(**ix))
            .map(|(_, machine_type)| machine_type.fetch_mb_per_s);
        let best_rate = rates.fold(0.0, f64::max);
        let rate = if best_rate > 0.0 { best_rate } else { self.tunables.fetch_gb_per_s * MB_PER_GB };
        // Output that a node reads is data to be fetched like its image.
        let data_mb = job.spec.image_mb + job.spec.node.as_ref().map_or(0, |node| node.input_mb);
        let fetch_ms = data_mb as f64 / rate * MS_PER_S;
        fetch_ms / job.expected_run_ms().max(1) as f64
    }

    /// The t split: what is cheap to move joins a shared queue, the rest the shortest dedicated queue of a machine that
    /// has the image, else a shared one.
    pub(in crate::coordination::leader) fn enqueue(&mut self, job_ix: JobIx, tasks: &[u32]) {
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return;
        };
        let rank = job.rank;
        let expensive_to_move = self.fetch_to_run_ratio(job) > self.tunables.fetch_ratio_threshold;
        let holders = if expensive_to_move { self.image_holders(job) } else { Vec::new() };
        if holders.is_empty() {
            self.enqueue_shared(rank, tasks);
        } else {
            self.enqueue_dedicated(rank, tasks, &holders);
        }
        // Idle thieves pause until tasks arrive (source); some for each task resume now.
        let resumed = THIEVES_RESUMED_PER_TASK * tasks.len() + EXTRA_THIEVES_RESUMED;
        self.cluster.placement_index.resume_paused(resumed);
    }

    /// Eligible machines that have the job's image, then those that have its inputs only.
    fn image_holders(&self, job: &JobState) -> Vec<MachineIx> {
        let holders = self.cluster.image_holders.get(&job.spec.image);
        let input_holders = self.output_holders(job);
        let input_only_holders =
            input_holders.iter().filter(|ix| holders.is_none_or(|holders| !holders.contains(ix)));
        holders
            .into_iter()
            .flatten()
            .chain(input_only_holders)
            .copied()
            .filter(|ix| self.cluster.placement_index.accepts_queued(*ix) && self.is_eligible(*ix, job))
            .collect()
    }

    /// Each task joins the dedicated queue that is the shortest at that moment.
    fn enqueue_dedicated(&mut self, rank: Rank, tasks: &[u32], holders: &[MachineIx]) {
        self.counters.machines_examined += holders.len() as u64;
        self.counters.queued_dedicated += tasks.len() as u64;
        self.log_queued(rank.job, tasks, JobEventKind::QueuedDedicated);
        let length = |ix: &MachineIx| self.cluster.machines[ix.index()].dedicated_queue.len();
        let mut by_length: BTreeSet<(usize, MachineIx)> =
            holders.iter().map(|ix| (length(ix), *ix)).collect();
        for task in tasks {
            let Some((length, ix)) = by_length.pop_first() else { return };
            self.cluster.machines[ix.index()].dedicated_queue.push(rank, *task);
            by_length.insert((length + 1, ix));
            self.cluster.placement_index.mark_dedicated_nonempty(ix);
            self.cluster.placement_index.mark_to_fill(ix);
        }
    }

    /// Tasks join the shared queue of the best machine of a random sample, as many at once as it has room for.
    fn enqueue_shared(&mut self, rank: Rank, tasks: &[u32]) {
        self.counters.queued_shared += tasks.len() as u64;
        self.log_queued(rank.job, tasks, JobEventKind::QueuedShared);
        let even_share = tasks.len().div_ceil(self.cluster.placement_index.queue_eligible().len().max(1));
        let mut remaining = tasks;
        while !remaining.is_empty() {
            let Some(choice) = self.choose_shared_queue(rank.job) else {
                self.log_queued(rank.job, remaining, JobEventKind::QueuedBacklog);
                for task in remaining {
                    self.placement.backlog.push(rank, *task);
                }
                return;
            };
            let portion = remaining.len().min(choice.room.max(even_share));
            let (joining, rest) = remaining.split_at(portion);
            for task in joining {
                self.cluster.machines[choice.machine_ix.index()].shared_queue.push(rank, *task);
            }
            self.cluster.placement_index.mark_to_fill(choice.machine_ix);
            remaining = rest;
        }
    }

    /// A random sample of the machines that take queued tasks. Whatever its size, it draws exactly one number from the
    /// leader's generator, so that runs with the same events repeat exactly.
    pub(super) fn sample_machines(&mut self) -> Vec<MachineIx> {
        let mut rng = SmallRng::seed_from_u64(self.placement.rng.next_u64());
        let sample = self.cluster.placement_index.sample_queue_eligible(&mut rng);
        self.counters.machines_examined += sample.len() as u64;
        sample
    }

    /// The machine of a sample that can start most of the job's tasks, cheap ones first; else the one with the shortest
    /// queue for its size.
    fn choose_shared_queue(&mut self, job_ix: JobIx) -> Option<QueueChoice> {
        for _ in 0..SAMPLES_PER_TASK {
            let sample = self.sample_machines();
            let choice = self.best_shared_queue(job_ix, sample.into_iter());
            if choice.is_some() {
                return choice;
            }
        }
        // Few machines suit the job: only after all of them have been examined is it certain that none does.
        let all = self.cluster.placement_index.queue_eligible();
        self.counters.machines_examined += all.len() as u64;
        self.best_shared_queue(job_ix, all.iter().copied())
    }

    fn best_shared_queue(
        &self,
        job_ix: JobIx,
        sample: impl Iterator<Item = MachineIx>,
    ) -> Option<QueueChoice> {
        let job = self.workload.jobs.get(&job_ix)?;
        let input_holders = self.output_holders(job);
        let open_input_holders =
            input_holders.iter().copied().filter(|ix| self.cluster.placement_index.accepts_queued(*ix));
        let (rating, machine_ix) = sample
            .chain(open_input_holders)
            .filter(|ix| self.is_eligible(*ix, job))
            .map(|ix| (self.rate_shared_queue(ix, job, &input_holders), ix))
            .min_by_key(|(rating, _)| *rating)?;
        Some(QueueChoice { machine_ix, room: rating.room.0 as usize })
    }

    fn rate_shared_queue(
        &self,
        machine_ix: MachineIx,
        job: &JobState,
        input_holders: &[MachineIx],
    ) -> QueueRating {
        let machine = &self.cluster.machines[machine_ix.index()];
        let queued = machine.shared_queue.len() as u64;
        let slots =
            if machine.hold.is_some() { 0 } else { job.spec.task_resources.max_count_in(&machine.free()) };
        let room = slots.saturating_sub(queued + machine.dedicated_queue.len() as u64).min(MAX_ROOM_TASKS);
        let is_full = room == 0;
        let load = queued * LOAD_SCALE / machine.capacity.cpu.max(1);
        let price = (self.price_per_cpu(machine_ix) * PRICE_SCALE) as u64;
        QueueRating {
            is_full,
            // A node starts soonest where its input is; without room there it is placed like any other job.
            input_elsewhere: !is_full && !input_holders.is_empty() && !input_holders.contains(&machine_ix),
            load_or_price: if is_full { load } else { price },
            room: Reverse(room),
        }
    }

    /// Queues the backlog's tasks for which there is an eligible machine now.
    pub(super) fn enqueue_backlog(&mut self) {
        for rank in self.placement.backlog.ranks().copied().collect::<Vec<Rank>>() {
            let Some(job) = self.workload.jobs.get(&rank.job) else {
                continue;
            };
            if !self.cluster.placement_index.queue_eligible().iter().any(|ix| self.is_eligible(*ix, job)) {
                continue;
            }
            let mut tasks = Vec::new();
            while let Some(task) = self.placement.backlog.pop(rank) {
                tasks.push(task);
            }
            self.enqueue(rank.job, &tasks);
        }
    }
}
