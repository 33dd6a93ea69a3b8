//! Spills (DAWS, sections 2.2.2 and 4): if the estimated run time of a dedicated queue exceeds the threshold `tt`, the
//! excess part of its tasks moves to the machine's shared queue, from which other machines may steal them.

use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::coordination::leader::placement::{MAX_EXPECTED_SLOTS, MS_PER_S};
use crate::ids::MachineIx;
use crate::protocol::operators::JobEventKind;

/// Throughput is measured over the tasks that finished within this time.
const THROUGHPUT_WINDOW_MS: u64 = 60_000;
/// Lower bound on the uptime by which the number of finished tasks is divided.
const MIN_UPTIME_MS: u64 = 1_000;
/// Lower bound on the throughput in tasks per second: the queue length is divided by it, so it must not be zero.
const MIN_THROUGHPUT: f64 = 1e-3;

impl Leader {
    /// Spills from every dedicated queue that is too long.
    pub(super) fn spill_dedicated_queues(&mut self, clock: Clock) {
        for ix in self.cluster.placement_index.dedicated_nonempty() {
            self.counters.machines_examined += 1;
            if self.cluster.machines[ix.index()].dedicated_queue.is_empty() {
                self.cluster.placement_index.unmark_dedicated_nonempty(ix);
                continue;
            }
            self.spill_dedicated_queue(ix, clock);
        }
    }

    fn spill_dedicated_queue(&mut self, machine_ix: MachineIx, clock: Clock) {
        let tt = self.tunables.spill_threshold_s;
        let queued = self.cluster.machines[machine_ix.index()].dedicated_queue.len();
        let run_time_s = queued as f64 / self.throughput(machine_ix, clock);
        if run_time_s <= tt {
            return;
        }
        let share_above_tt = (run_time_s - tt) / run_time_s;
        let limit = (share_above_tt * queued as f64).floor() as usize;
        let machine = &mut self.cluster.machines[machine_ix.index()];
        let spilled = machine.dedicated_queue.take_from_back(limit, |_| true);
        for (rank, task) in &spilled {
            machine.shared_queue.push(*rank, *task);
        }
        self.log_moved(&spilled, JobEventKind::Spilled, machine_ix);
        self.counters.spilled_tasks += spilled.len() as u64;
        self.cluster.placement_index.mark_to_fill(machine_ix);
        self.resume_thieves(spilled.len());
    }

    /// Returns the machine's throughput in tasks per second, measured over the tasks finished within the window. If
    /// there are none, estimates it from the machine's capacity and the first job of its dedicated queue.
    fn throughput(&self, machine_ix: MachineIx, clock: Clock) -> f64 {
        let machine = &self.cluster.machines[machine_ix.index()];
        let is_recent = |finished_at| clock.now.saturating_since(finished_at) < THROUGHPUT_WINDOW_MS;
        let finished = machine.recent_finishes.iter().filter(|at| is_recent(**at)).count();
        if finished > 0 {
            let uptime_ms =
                clock.now.saturating_since(machine.created_at).clamp(MIN_UPTIME_MS, THROUGHPUT_WINDOW_MS);
            return finished as f64 / (uptime_ms as f64 / MS_PER_S);
        }
        let first_job = machine.dedicated_queue.first().and_then(|rank| self.workload.jobs.get(&rank.job));
        let estimate = first_job.map_or(0.0, |job| {
            let slots = job.spec.task_resources.max_count_in(&machine.capacity).min(MAX_EXPECTED_SLOTS);
            slots as f64 * MS_PER_S / job.expected_run_ms().max(1) as f64
        });
        estimate.max(MIN_THROUGHPUT)
    }
}
