//! What a new leader takes over from the records of earlier ones.

use crate::bookkeeping::bits::Bits;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{Key, Recorded};
use crate::coordination::Clock;
use crate::coordination::leader::records::history::{PartId, Start};
use crate::coordination::leader::{Binding, Leader, Life, Run, Work};
use crate::ids::{Attempt, JobId, JobIx, MachineIx, TaskRef};

/// A part of an earlier leader's log: its key, its machines, blocks with tasks that finished.
type OldPart = (Key, Vec<Recorded>, Vec<(JobId, u32)>);

impl Leader {
    /// Parts of the log, oldest first, and what they say. Records of the form before the
    /// log count as parts of one machine each.
    pub(crate) fn inherit_machines(&mut self, mirror: &mut Mirror, clock: Clock) {
        let mut parts: Vec<OldPart> = Vec::new();
        for (name, record) in &mirror.machines {
            parts.push((Key::Machine(name.clone()), vec![record.recorded(name)], Vec::new()));
        }
        for (name, record) in &mirror.log {
            let blocks = record.done_rows().flat_map(|(job, first, count)| {
                let last = first.saturating_add(count.max(1) - 1);
                (Bits::block_of(first)..=Bits::block_of(last)).map(move |block| (job, block))
            });
            parts.push((Key::Log(name.clone()), record.machines().collect(), blocks.collect()));
        }
        parts.sort_by_key(|(key, ..)| mirror.stamp(&key.text()));
        for (key, machines, blocks) in parts {
            let part = self.history.add_part(key);
            for (job, block) in blocks {
                if mirror.end_of(job).is_none() && mirror.find(job).is_some() {
                    self.history.add_finished(part, job, block);
                }
            }
            for recorded in machines {
                self.inherit_machine(part, &recorded, mirror, clock);
            }
            self.history.checked(part);
        }
    }

    /// Of a machine whose tasks have all finished nothing needs to be remembered.
    fn inherit_machine(&mut self, part: PartId, recorded: &Recorded, mirror: &mut Mirror, clock: Clock) {
        let of_interest = |task: &TaskRef| {
            // A job's record goes only once none of its tasks is anywhere.
            mirror.find_job(task.job).is_some_and(|job| !job.finished.has(task.task))
        };
        let tasks: Vec<(TaskRef, Attempt)> =
            recorded.tasks.iter().filter(|(task, _)| of_interest(task)).copied().collect();
        if tasks.is_empty() && !recorded.returning {
            return;
        }
        let place = &recorded.place;
        let kind = mirror.names.kinds.intern(&place.kind);
        let zone = mirror.names.zones.intern(&place.zone);
        let ix = self.add_machine(&place.name, &place.endpoint, kind, zone, place.spot, clock);
        let machine = &mut self.machines[ix.at()];
        machine.life = Life::Up;
        if recorded.returning {
            machine.returning = true;
            self.return_told(ix, part);
        }
        for (task, attempt) in tasks {
            self.inherit_binding(ix, part, task, attempt, mirror, clock);
        }
        // Hearing the new token early ends the old leader's say at once.
        self.to_tell.insert(ix);
    }

    fn inherit_binding(
        &mut self,
        ix: MachineIx,
        part: PartId,
        task: TaskRef,
        attempt: Attempt,
        mirror: &Mirror,
        clock: Clock,
    ) {
        let start = Start { machine: ix, task, attempt };
        let known = |b: &&mut Binding| b.task == task && b.attempt == attempt;
        if let Some(binding) = self.machines[ix.at()].bindings.iter_mut().find(known) {
            // Told again by a later part.
            let before = binding.part.replace(part);
            self.history.add_start(part, start, before);
            return;
        }
        let job = mirror.find(task.job);
        let info = job.and_then(|job| mirror.job(job));
        let withdrawn = info.and_then(|job| job.end).map(|(_, at)| self.gone_by(at, clock));
        let binding = Binding {
            task,
            job: job.filter(|_| withdrawn.is_none()),
            attempt,
            need: info.map(|job| job.info.need).unwrap_or_default(),
            team: info.map(|job| job.info.team),
            pool: info.and_then(|job| job.info.pool()),
            idle_time: info.is_some_and(|job| self.is_idle_time(&job.info)),
            over_limit: false,
            run: Run::Inherited,
            part: Some(part),
            state: None,
            late: false,
            fetching_since: None,
            running_since: None,
            halt: withdrawn.map(|_| 0),
            halt_sent: None,
            gone_by: withdrawn,
        };
        self.attach(ix, binding);
        self.history.add_start(part, start, None);
    }

    pub(crate) fn inherit_jobs(&mut self, mirror: &Mirror, clock: Clock) {
        let jobs: Vec<JobIx> = mirror.live().map(|(ix, _)| ix).collect();
        for ix in jobs {
            self.add_job(ix, mirror, clock);
        }
        // Places of inherited tasks, so that none is started twice.
        for at in 0..self.machines.len() {
            let ix = MachineIx(at as u32);
            let zone = self.machines[at].zone;
            let image_of = |work: &Work| (work.info.image, work.info.image_mb);
            let mut images = Vec::new();
            for binding in &self.machines[at].bindings {
                if let Some(work) = binding.job.and_then(|job| self.work.get_mut(&job)) {
                    work.out.entry(binding.task.task).or_default().push((ix, binding.attempt));
                    *work.zones.entry(zone).or_default() += 1;
                    images.push(image_of(work));
                }
            }
            for (image, mb) in images {
                self.touch_image(ix, image, mb);
            }
        }
        // Nodes that are done are not among the jobs any more, but their failures may still be told.
        mirror.graphs.ended_with_tries(mirror).for_each(|id| self.writer.clean(id));
        let jobs: Vec<JobIx> = self.work.keys().copied().collect();
        self.queue_all(jobs);
    }
}
