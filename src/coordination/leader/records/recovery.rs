//! What a new leader takes over from the records of earlier ones.

use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::records::{RecordKey, RecordedMachine};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::records::assignment_log::{SegmentId, TaskPlacement};
use crate::coordination::leader::{Binding, DispatchState, JobState, Leader, MachineIdentity, MachineState};
use crate::ids::{Attempt, JobId, JobIx, MachineIx, TaskId};

/// A part of an earlier leader's log: its key, its machines, blocks with tasks that finished.
type RecoveredSegment = (RecordKey, Vec<RecordedMachine>, Vec<(JobId, u32)>);

impl Leader {
    /// Parts of the log, oldest first, and what they say. Records of the form before the
    /// log count as parts of one machine each.
    pub(crate) fn recover_machines(&mut self, cache: &mut StoreCache, clock: Clock) {
        let mut segments: Vec<RecoveredSegment> = Vec::new();
        for (name, record) in &cache.machines {
            segments.push((
                RecordKey::LegacyMachine(name.clone()),
                vec![record.to_recorded(name)],
                Vec::new(),
            ));
        }
        for (name, record) in &cache.assignment_log {
            let blocks = record.finished_ranges().flat_map(|(job, first, count)| {
                let last = first.saturating_add(count.max(1) - 1);
                (BitSet::block_of(first)..=BitSet::block_of(last)).map(move |block| (job, block))
            });
            segments.push((
                RecordKey::AssignmentLog(name.clone()),
                record.recorded_machines().collect(),
                blocks.collect(),
            ));
        }
        segments.sort_by_key(|(key, ..)| cache.key_revision(&key.encode()));
        for (key, machines, blocks) in segments {
            let segment = self.assignment_log.add_segment(key);
            for (job, block) in blocks {
                if cache.terminal_state(job).is_none() && cache.find(job).is_some() {
                    self.assignment_log.add_finished(segment, job, block);
                }
            }
            for recorded in machines {
                self.recover_machine(segment, &recorded, cache, clock);
            }
            self.assignment_log.finish_segment(segment);
        }
    }

    /// Of a machine whose tasks have all finished nothing needs to be remembered.
    fn recover_machine(
        &mut self,
        segment: SegmentId,
        recorded: &RecordedMachine,
        cache: &mut StoreCache,
        clock: Clock,
    ) {
        let may_still_run = |task: &TaskId| {
            // A job's record goes only once none of its tasks is anywhere.
            cache.find_job(task.job).is_some_and(|job| !job.finished_tasks.contains(task.task))
        };
        let tasks: Vec<(TaskId, Attempt)> =
            recorded.tasks.iter().filter(|(task, _)| may_still_run(task)).copied().collect();
        if tasks.is_empty() && !recorded.returning {
            return;
        }
        let place = &recorded.machine;
        let kind = cache.names.machine_types.intern(&place.machine_type);
        let zone = cache.names.zones.intern(&place.zone);
        let ix = self.register_machine(
            MachineIdentity {
                name: &place.name,
                endpoint: &place.endpoint,
                machine_type: kind,
                zone,
                spot: place.spot,
            },
            clock,
        );
        let machine = &mut self.cluster.machines[ix.index()];
        machine.state = MachineState::Up;
        if recorded.returning {
            machine.returning = true;
            self.mark_return_persisted(ix, segment);
        }
        for (task, attempt) in tasks {
            self.recover_binding(ix, segment, task, attempt, cache, clock);
        }
        // Hearing the new token early ends the old leader's say at once.
        self.cluster.pending_announcements.insert(ix);
    }

    fn recover_binding(
        &mut self,
        ix: MachineIx,
        segment: SegmentId,
        task: TaskId,
        attempt: Attempt,
        cache: &StoreCache,
        clock: Clock,
    ) {
        let start = TaskPlacement { machine: ix, task, attempt };
        let same_attempt = |b: &&mut Binding| b.task == task && b.attempt == attempt;
        if let Some(binding) = self.cluster.machines[ix.index()].bindings.iter_mut().find(same_attempt) {
            // Told again by a later part.
            let previous = binding.log_segment.replace(segment);
            self.assignment_log.add_start(segment, start, previous);
            return;
        }
        let job = cache.find(task.job);
        let info = job.and_then(|job| cache.job(job));
        let cancelled_gone_by =
            info.and_then(|job| job.terminal).map(|(_, at)| self.cancel_deadline(at, clock));
        let binding = Binding {
            task,
            job: job.filter(|_| cancelled_gone_by.is_none()),
            attempt,
            need: info.map(|job| job.spec.task_resources).unwrap_or_default(),
            team: info.map(|job| job.spec.team),
            pool: info.and_then(|job| job.spec.pool()),
            best_effort: info.is_some_and(|job| self.is_best_effort(&job.spec)),
            timed_out: false,
            dispatch: DispatchState::Inherited,
            log_segment: Some(segment),
            reported_state: None,
            late_start_possible: false,
            fetching_since: None,
            running_since: None,
            stop_grace_ms: cancelled_gone_by.map(|_| 0),
            stop_sent_at: None,
            lease_renewal_cutoff: cancelled_gone_by,
        };
        self.add_binding(ix, binding);
        self.assignment_log.add_start(segment, start, None);
    }

    pub(crate) fn recover_jobs(&mut self, cache: &StoreCache, clock: Clock) {
        let jobs: Vec<JobIx> = cache.live_jobs().map(|(ix, _)| ix).collect();
        for ix in jobs {
            self.track_job(ix, cache, clock);
        }
        // Places of inherited tasks, so that none is started twice.
        for index in 0..self.cluster.machines.len() {
            let ix = MachineIx(index as u32);
            let zone = self.cluster.machines[index].zone;
            let image_of = |work: &JobState| (work.spec.image, work.spec.image_mb);
            let mut images = Vec::new();
            for binding in &self.cluster.machines[index].bindings {
                if let Some(work) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
                    work.placements.entry(binding.task.task).or_default().push((ix, binding.attempt));
                    *work.tasks_per_zone.entry(zone).or_default() += 1;
                    images.push(image_of(work));
                }
            }
            for (image, mb) in images {
                self.record_image_use(ix, image, mb);
            }
        }
        // Nodes that are done are not among the jobs any more, but their failures may still be told.
        cache.dag_runs.terminal_jobs_with_retry_states(cache).for_each(|id| self.writer.queue_cleanup(id));
        let jobs: Vec<JobIx> = self.workload.jobs.keys().copied().collect();
        self.enqueue_jobs(jobs);
    }
}
