//! Jobs that their users have withdrawn: everything stops, and in time.

use super::Leader;
use crate::coordination::Clock;
use crate::coordination::leadership::MARGIN_MS;
use crate::ids::{JobId, JobIx, MachineIx, Millis};
use crate::protocol::operators::EventWord;

impl Leader {
    /// When a worker that still shows a withdrawn job's task must get no more answers,
    /// so that its lease takes the task away in time.
    pub fn gone_by(&self, told_wall_ms: u64, clock: Clock) -> Millis {
        let workers = &self.settings.workers;
        let slack = self.settings.time_bound_ms * 2 + 4 * MARGIN_MS;
        let spare = workers.cancel_ms.saturating_sub(workers.lease_ms + slack);
        let passed = clock.wall_ms.saturating_sub(told_wall_ms);
        clock.now.plus(spare.saturating_sub(passed))
    }

    /// None of the job's queued tasks starts any more.
    pub fn drop_queued(&mut self, ix: JobIx) {
        self.backlog.drop_job(ix);
        for machine in &mut self.machines {
            machine.shared.drop_job(ix);
            machine.dedicated.drop_job(ix);
        }
    }

    /// The user has withdrawn the job: nothing of it starts any more, everything stops.
    pub fn withdraw(&mut self, id: JobId, ix: Option<JobIx>, told_wall_ms: u64, clock: Clock) {
        if let Some(ix) = ix
            && let Some(work) = self.work.remove(&ix)
        {
            self.gangs.remove(&work.rank);
            self.drop_queued(ix);
            self.drop_holds(ix);
        }
        self.journal.note(id, EventWord::Withdrawn, None, 0, 0);
        let gone_by = self.gone_by(told_wall_ms, clock);
        let tasks = self.bound.get(&id).copied().unwrap_or(0);
        let ago_ms = clock.wall_ms.saturating_sub(told_wall_ms);
        log::info!(event = "stops", job:% = id, tasks, ago_ms; "{id} was withdrawn {ago_ms} ms ago: {tasks} tasks stop");
        for at in 0..self.machines.len() {
            self.machines[at].errors.remove(&id);
            for binding in &mut self.machines[at].bindings {
                if binding.task.job == id {
                    let task = binding.task.task;
                    self.journal.note(id, EventWord::HaltedWithdrawn, Some(MachineIx(at as u32)), task, 1);
                    binding.job = None;
                    binding.halt = Some(0);
                    binding.halt_sent = None;
                    binding.gone_by = Some(gone_by);
                    self.to_tell.insert(MachineIx(at as u32));
                }
            }
            self.drop_unsent(MachineIx(at as u32), clock);
        }
        self.writer.clean(id);
    }
}
