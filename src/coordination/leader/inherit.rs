//! What a new leader takes over from the records of earlier ones.

use super::{Binding, Leader, Life, Run, Work};
use crate::bookkeeping::ids::{Attempt, JobIx, MachineIx, TaskRef};
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::MachineRecord;
use crate::coordination::Clock;

impl Leader {
    pub(super) fn inherit_machines(&mut self, mirror: &mut Mirror, clock: Clock) {
        let records: Vec<(String, MachineRecord)> =
            mirror.machines.iter().map(|(name, record)| (name.clone(), record.clone())).collect();
        for (name, record) in records {
            let kind = mirror.names.kinds.intern(&record.kind);
            let zone = mirror.names.zones.intern(&record.zone);
            let ix = self.add_machine(&name, &record.endpoint, kind, zone, record.spot, clock);
            let machine = &mut self.machines[ix.at()];
            machine.life = Life::Up;
            machine.returning = record.returning;
            machine.return_recorded = record.returning;
            for (task, attempt) in record.tasks() {
                self.inherit_binding(ix, task, attempt, mirror, clock);
            }
            // Hearing the new token early ends the old leader's say at once.
            self.to_tell.insert(ix);
        }
    }

    fn inherit_binding(
        &mut self,
        ix: MachineIx,
        task: TaskRef,
        attempt: Attempt,
        mirror: &Mirror,
        clock: Clock,
    ) {
        let job = mirror.find(task.job);
        let info = job.and_then(|job| mirror.job(job));
        // A finished task only waits to be reaped.
        if info.is_some_and(|job| job.finished.has(task.task)) {
            return;
        }
        let withdrawn = info.and_then(|job| job.end).map(|(_, at)| self.gone_by(at, clock));
        let binding = Binding {
            task,
            job: job.filter(|_| withdrawn.is_none()),
            attempt,
            need: info.map(|job| job.info.need).unwrap_or_default(),
            team: info.map(|job| job.info.team),
            run: Run::Inherited,
            state: None,
            late: false,
            fetching_since: None,
            running_since: None,
            halt: withdrawn.map(|_| 0),
            halt_sent: None,
            gone_by: withdrawn,
        };
        self.attach(ix, binding);
    }

    pub(super) fn inherit_jobs(&mut self, mirror: &Mirror, clock: Clock) {
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
        let jobs: Vec<JobIx> = self.work.keys().copied().collect();
        for ix in jobs {
            self.queue_missing(ix);
        }
    }
}
