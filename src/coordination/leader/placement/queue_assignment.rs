//! Chooses the queue that a ready task joins: the split by the threshold `t` between dedicated and shared queues (DAWS,
//! Algorithm 1).
//!
//! Tasks that no present machine may run join the backlog. No task is started here: machines whose queues changed are
//! marked, and the next placement pass fills them.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::coordination::leader::placement::MS_PER_S;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::{JobState, Leader};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::JobEventKind;

/// Random samples drawn to choose a queue before all machines are examined.
const SAMPLES_PER_CHOICE: usize = 3;
/// Upper bound on the number of free slots that a machine counts as having for a job.
const MAX_FREE_SLOTS: u64 = 1_000_000;
/// Scales tasks per thousandth of a CPU to an integer.
const LOAD_SCALE: u64 = 1_000_000;
/// Scales a price per CPU to an integer.
const PRICE_SCALE: f64 = 1e9;
const MB_PER_GB: f64 = 1000.0;
/// Paused thieves that resume whenever tasks arrive, in addition to those that resume for each task.
const EXTRA_THIEVES_RESUMED: usize = 2;

/// How well a machine's shared queue suits a job; the smallest rating is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRating {
    is_full: bool,
    input_elsewhere: bool,
    /// Queue length per CPU of the machine if it is full, otherwise the price per CPU.
    load_or_price: u64,
    free_slots: Reverse<u64>,
}

/// A machine whose shared queue tasks may join.
struct QueueChoice {
    machine_ix: MachineIx,
    /// Number of the job's tasks that fit into its free capacity, beyond the tasks already in its queues.
    free_slots: usize,
}

impl Leader {
    /// Returns the time to fetch the image and the inputs, divided by the expected run time.
    fn fetch_to_run_ratio(&self, job: &JobState) -> f64 {
        let rates = self
            .cluster
            .machine_types
            .iter()
            .filter(|(ix, _)| job.spec.allows_machine_type(**ix))
            .map(|(_, machine_type)| machine_type.fetch_mb_per_s);
        let best_rate = rates.fold(0.0, f64::max);
        let rate = if best_rate > 0.0 { best_rate } else { self.tunables.fetch_gb_per_s * MB_PER_GB };
        // A DAG node fetches the output that it reads in the same way as its image.
        let data_mb = job.spec.image_mb + job.spec.node.as_ref().map_or(0, |node| node.input_mb);
        let fetch_ms = data_mb as f64 / rate * MS_PER_S;
        fetch_ms / job.expected_run_ms().max(1) as f64
    }

    /// Queues ready tasks of a job. If the job's data is cheap to move (a fetch-to-run ratio of at most `t`), they join
    /// shared queues. Otherwise they join the shortest dedicated queues of machines that have the image or input, or
    /// shared queues if no eligible machine has it.
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
        // Idle thieves pause until tasks arrive (DAWS). Some of them resume for each task that arrives.
        self.resume_thieves(tasks.len());
        self.cluster.placement_index.resume_paused(EXTRA_THIEVES_RESUMED);
    }

    /// Returns the eligible machines that have the job's image, followed by those that have only its inputs.
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
            .filter(|ix| self.cluster.placement_index.accepts_queued(*ix) && self.may_queue(*ix, job))
            .collect()
    }

    /// Queues each task in the dedicated queue that is the shortest at that moment.
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

    /// Queues tasks in the shared queue of the best machine of a random sample, as many at once as that machine has
    /// free slots for, but at least an even share. Each further portion draws a new sample.
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
            let portion = remaining.len().min(choice.free_slots.max(even_share));
            let (joining, rest) = remaining.split_at(portion);
            for task in joining {
                self.cluster.machines[choice.machine_ix.index()].shared_queue.push(rank, *task);
            }
            self.cluster.placement_index.mark_to_fill(choice.machine_ix);
            remaining = rest;
        }
    }

    /// Returns a random sample of the machines that accept queued tasks. Each call draws exactly one number from the
    /// leader's generator, whatever the size of the sample, so that runs with the same events are reproducible.
    pub(super) fn sample_machines(&mut self) -> Vec<MachineIx> {
        let mut rng = SmallRng::seed_from_u64(self.placement.rng.next_u64());
        let sample = self.cluster.placement_index.sample_queue_eligible(&mut rng);
        self.counters.machines_examined += sample.len() as u64;
        sample
    }

    /// Returns the best machine for the job's tasks among a random sample and the machines that have the job's input.
    /// Machines with free slots come first, ordered by whether they have the input, by price and by free slots. If none
    /// has free slots, the machine with the shortest queue per CPU is the best.
    fn choose_shared_queue(&mut self, job_ix: JobIx) -> Option<QueueChoice> {
        for _ in 0..SAMPLES_PER_CHOICE {
            let sample = self.sample_machines();
            let choice = self.best_shared_queue(job_ix, sample.into_iter());
            if choice.is_some() {
                return choice;
            }
        }
        // Few machines suit the job. Only examining all of them shows whether there is one.
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
            .filter(|ix| self.may_queue(*ix, job))
            .map(|ix| (self.rate_shared_queue(ix, job, &input_holders), ix))
            .min_by_key(|(rating, _)| *rating)?;
        Some(QueueChoice { machine_ix, free_slots: rating.free_slots.0 as usize })
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
        let free_slots =
            slots.saturating_sub(queued + machine.dedicated_queue.len() as u64).min(MAX_FREE_SLOTS);
        let is_full = free_slots == 0;
        let load = queued * LOAD_SCALE / machine.capacity.cpu.max(1);
        let price = (self.price_per_cpu(machine_ix) * PRICE_SCALE) as u64;
        QueueRating {
            is_full,
            // A DAG node starts soonest on a machine that has its input. If those are full, it is placed like other
            // jobs.
            input_elsewhere: !is_full && !input_holders.is_empty() && !input_holders.contains(&machine_ix),
            load_or_price: if is_full { load } else { price },
            free_slots: Reverse(free_slots),
        }
    }

    /// Moves the tasks of the backlog for which there is an eligible machine now to the machines' queues.
    pub(super) fn enqueue_backlog(&mut self) {
        for rank in self.placement.backlog.ranks().copied().collect::<Vec<Rank>>() {
            self.enqueue_backlog_of(rank);
        }
    }

    /// Moves the job's tasks of the backlog to the machines' queues, if there is an eligible machine now.
    pub(in crate::coordination::leader) fn enqueue_backlog_of(&mut self, rank: Rank) {
        let Some(job) = self.workload.jobs.get(&rank.job) else { return };
        if !self.cluster.placement_index.queue_eligible().iter().any(|ix| self.may_queue(*ix, job)) {
            return;
        }
        let mut tasks = Vec::new();
        while let Some(task) = self.placement.backlog.pop(rank) {
            tasks.push(task);
        }
        if !tasks.is_empty() {
            self.enqueue(rank.job, &tasks);
        }
    }
}
