//! Tasks come to machines and leave them: what follows for use, records and queues.

use std::collections::BTreeMap;

use crate::coordination::Clock;
use crate::coordination::leader::records::history::Start;
use crate::coordination::leader::{Binding, Leader, Run};
use crate::ids::{ImageIx, JobIx, MachineIx};
use crate::protocol::operators::EventWord;

impl Leader {
    /// A task may be on a machine from now on.
    pub fn attach(&mut self, ix: MachineIx, binding: Binding) {
        let machine = &mut self.machines[ix.at()];
        machine.used.add(&binding.need);
        if binding.idle_time {
            self.idle_time_cpu += binding.need.cpu;
        }
        if let Some(team) = binding.team {
            self.usage.entry(team).or_default().add(&binding.need);
        }
        if let Some(pool) = binding.pool {
            *self.flows.used.entry(pool).or_default() += 1;
        }
        if let Some(work) = binding.job.and_then(|job| self.work.get_mut(&job)) {
            work.out.entry(binding.task.task).or_default().push((ix, binding.attempt));
            *work.zones.entry(machine.zone).or_default() += 1;
        }
        *self.bound.entry(binding.task.job).or_default() += 1;
        machine.bindings.push(binding);
    }

    /// A task is certainly not on the machine any more.
    pub fn detach(&mut self, ix: MachineIx, at: usize, clock: Clock) -> Binding {
        let machine = &mut self.machines[ix.at()];
        let binding = machine.bindings.swap_remove(at);
        machine.used = machine.used.less(&binding.need);
        if binding.idle_time {
            self.idle_time_cpu = self.idle_time_cpu.saturating_sub(binding.need.cpu);
        }
        if machine.bindings.is_empty() {
            machine.idle_since = clock.now;
        }
        if let Some(team) = binding.team
            && let Some(used) = self.usage.get_mut(&team)
        {
            *used = used.less(&binding.need);
        }
        if let Some(used) = binding.pool.and_then(|pool| self.flows.used.get_mut(&pool)) {
            *used = used.saturating_sub(1);
        }
        if let Some(work) = binding.job.and_then(|job| self.work.get_mut(&job)) {
            if let Some(places) = work.out.get_mut(&binding.task.task) {
                places.retain(|place| *place != (ix, binding.attempt));
                if places.is_empty() {
                    work.out.remove(&binding.task.task);
                }
            }
            if let Some(count) = work.zones.get_mut(&machine.zone) {
                *count -= 1;
                if *count == 0 {
                    work.zones.remove(&machine.zone);
                }
            }
        }
        if let Some(count) = self.bound.get_mut(&binding.task.job) {
            *count -= 1;
            if *count == 0 {
                self.bound.remove(&binding.task.job);
            }
        }
        let start = Start { machine: ix, task: binding.task, attempt: binding.attempt };
        self.history.left(binding.part, start);
        self.roster.room(ix);
        binding
    }

    /// Bindings that are to stop and whose run command never went out are simply dropped.
    pub fn drop_unsent(&mut self, ix: MachineIx, clock: Clock) {
        let unsent = |binding: &Binding| {
            binding.halt.is_some() && !binding.late && matches!(binding.run, Run::Planned | Run::Recorded)
        };
        while let Some(at) = self.machines[ix.at()].bindings.iter().position(unsent) {
            let binding = self.detach(ix, at, clock);
            self.requeue(&binding, 0, clock);
        }
    }

    /// Puts a task back in line, unless its job has ended.
    pub fn requeue(&mut self, binding: &Binding, delay_ms: u64, clock: Clock) {
        let Some(ix) = binding.job else { return };
        let Some(work) = self.work.get(&ix) else {
            return;
        };
        // A record may still list a task that a later one shows elsewhere: gone from
        // one place, it must not start again while it is at the other.
        if work.ending || work.done.has(binding.task.task) || work.out.contains_key(&binding.task.task) {
            return;
        }
        // It is tried again when its turn comes: `try_again`.
        if work.trial.is_some() {
            return;
        }
        if work.info.together() || delay_ms > 0 {
            let at = clock.now.plus(delay_ms);
            self.delayed.entry(at).or_default().push((ix, binding.task.task));
        } else {
            self.enqueue(ix, &[binding.task.task]);
        }
    }

    /// Tasks whose wait is over.
    pub fn wake(&mut self, clock: Clock) {
        while let Some((at, _)) = self.delayed.first_key_value()
            && *at <= clock.now
        {
            for (ix, task) in self.delayed.pop_first().map(|(_, tasks)| tasks).unwrap_or_default() {
                let Some(work) = self.work.get(&ix) else {
                    continue;
                };
                if work.ending || work.done.has(task) || work.out.contains_key(&task) {
                    continue;
                }
                if work.info.together() {
                    self.gangs.insert(work.rank);
                } else {
                    self.enqueue(ix, &[task]);
                }
            }
        }
    }

    /// Takes every task off a machine that is certainly gone or empty.
    pub fn clear_machine(&mut self, ix: MachineIx, clock: Clock) {
        while !self.machines[ix.at()].bindings.is_empty() {
            let at = self.machines[ix.at()].bindings.len() - 1;
            let binding = self.detach(ix, at, clock);
            self.journal.note(binding.task.job, EventWord::MachineGone, Some(ix), binding.task.task, 1);
            self.requeue(&binding, 0, clock);
        }
    }

    /// The queues of a machine that takes no more tasks go elsewhere.
    pub fn spread_queues(&mut self, ix: MachineIx) {
        let machine = &mut self.machines[ix.at()];
        let mut tasks = machine.shared.drain();
        tasks.extend(machine.dedicated.drain());
        let mut by_job: BTreeMap<JobIx, Vec<u32>> = BTreeMap::new();
        for (rank, task) in tasks {
            by_job.entry(rank.job).or_default().push(task);
        }
        for (job, tasks) in by_job {
            self.enqueue(job, &tasks);
        }
    }

    pub fn touch_image(&mut self, ix: MachineIx, image: ImageIx, mb: u64) {
        let machine = &mut self.machines[ix.at()];
        machine.images.retain(|(held, _)| *held != image);
        machine.images.push((image, mb));
        self.holders.entry(image).or_default().insert(ix);
        let cache = self.kinds.get(&machine.kind).map_or(u64::MAX, |kind| kind.cache_mb);
        while machine.images.len() > 1 && machine.images.iter().map(|(_, mb)| mb).sum::<u64>() > cache {
            let (dropped, _) = machine.images.remove(0);
            if let Some(holders) = self.holders.get_mut(&dropped) {
                holders.remove(&ix);
            }
        }
    }

    /// Nothing is known of its images any more.
    pub fn forget_images(&mut self, ix: MachineIx) {
        for (image, _) in std::mem::take(&mut self.machines[ix.at()].images) {
            if let Some(holders) = self.holders.get_mut(&image) {
                holders.remove(&ix);
            }
        }
    }
}
