//! Recovery after a failover: restores machines, the tasks that may be on them, and jobs from the records of earlier
//! leaders.
//!
//! Recovery starts no task itself. A task that may be on a machine is bound to it, so that it is not started a second
//! time; heartbeats then show which tasks the machine really has.

use super::assignment_log::{FinishedBlock, SegmentId, TaskPlacement, needs_finished_record};
use super::bindings::add_placement;
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::records::{AssignmentLogRecord, RecordKey, RecordedMachine};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{Binding, DispatchState, Leader, MachineIdentity, MachineState};
use crate::ids::{Attempt, JobIx, MachineIx, TaskId};
use crate::protocol::users::JobKind;

/// Grace period for stopping a task whose job was cancelled or failed under an earlier leader, in milliseconds.
const INHERITED_STOP_GRACE_MS: u64 = 0;

/// A segment of an earlier leader's log, or a machine record in the format that preceded the log.
struct RecoveredSegment {
    key: RecordKey,
    machines: Vec<RecordedMachine>,
    /// Blocks of task numbers that contain finished tasks.
    finished: Vec<FinishedBlock>,
}

impl RecoveredSegment {
    fn from_log(name: &str, record: &AssignmentLogRecord) -> RecoveredSegment {
        let finished = record.finished_ranges().flat_map(|(job, first, count)| {
            let last = first.saturating_add(count.max(1) - 1);
            let blocks = BitSet::block_of(first)..=BitSet::block_of(last);
            blocks.map(move |block| FinishedBlock { job, block })
        });
        RecoveredSegment {
            key: RecordKey::AssignmentLog(name.into()),
            machines: record.recorded_machines().collect(),
            finished: finished.collect(),
        }
    }
}

/// Returns all segments in the store, oldest first.
fn recovered_segments(cache: &StoreCache) -> Vec<RecoveredSegment> {
    let legacy_machines = cache.legacy_machines.iter().map(|(name, record)| RecoveredSegment {
        key: RecordKey::LegacyMachine(name.clone()),
        machines: vec![record.to_recorded(name)],
        finished: Vec::new(),
    });
    let log = cache.assignment_log.iter().map(|(name, record)| RecoveredSegment::from_log(name, record));
    let mut segments: Vec<RecoveredSegment> = legacy_machines.chain(log).collect();
    segments.sort_by_key(|segment| cache.key_revision(&segment.key.encode()));
    segments
}

impl Leader {
    /// Restores the assignment log with its machines and bindings. The oldest segment comes first, so that newer
    /// entries supersede older ones.
    pub(in crate::coordination::leader) fn recover_machines(&mut self, cache: &mut StoreCache, clock: Clock) {
        for recovered in recovered_segments(cache) {
            let segment = self.assignment_log.add_segment(recovered.key);
            for block in recovered.finished {
                if needs_finished_record(block.job, cache) {
                    self.assignment_log.add_finished(segment, block);
                }
            }
            for machine in recovered.machines {
                self.recover_machine(segment, &machine, cache, clock);
            }
            self.assignment_log.finish_segment(segment);
        }
    }

    /// Registers a recorded machine and binds the tasks that may still run on it. A machine whose tasks have all
    /// finished is skipped, unless it is being returned to the cloud.
    fn recover_machine(
        &mut self,
        segment: SegmentId,
        recorded: &RecordedMachine,
        cache: &mut StoreCache,
        clock: Clock,
    ) {
        let may_still_run = |task: &TaskId| {
            // A task of a job without a record cannot be running: the record is deleted only once none of the job's
            // tasks may be on a machine.
            cache.find_job(task.job).is_some_and(|job| !job.finished_tasks.contains(task.task))
        };
        let tasks: Vec<(TaskId, Attempt)> =
            recorded.tasks.iter().filter(|(task, _)| may_still_run(task)).copied().collect();
        if tasks.is_empty() && !recorded.returning {
            return;
        }
        let ix = self.register_recorded_machine(recorded, cache, clock);
        if recorded.returning {
            self.cluster.machines[ix.index()].returning = true;
            self.mark_return_persisted(ix, segment);
        }
        for (task, attempt) in tasks {
            self.recover_binding(segment, TaskPlacement { machine: ix, task, attempt }, cache, clock);
        }
        // Announces the new token early, because a worker that has received it rejects commands of the deposed leader.
        self.cluster.pending_direct_messages.insert(ix);
    }

    fn register_recorded_machine(
        &mut self,
        recorded: &RecordedMachine,
        cache: &mut StoreCache,
        clock: Clock,
    ) -> MachineIx {
        let descriptor = &recorded.machine;
        let identity = MachineIdentity {
            name: &descriptor.name,
            endpoint: &descriptor.endpoint,
            machine_type: cache.names.machine_types.intern(&descriptor.machine_type),
            zone: cache.names.zones.intern(&descriptor.zone),
            spot: descriptor.spot,
        };
        let ix = self.register_machine(identity, clock);
        self.cluster.machines[ix.index()].state = MachineState::Up;
        ix
    }

    fn recover_binding(
        &mut self,
        segment: SegmentId,
        placement: TaskPlacement,
        cache: &StoreCache,
        clock: Clock,
    ) {
        if let Some(binding) = self.binding_mut(&placement) {
            // An earlier segment also records this attempt; the entry in this segment supersedes it.
            let previous = binding.log_segment.replace(segment);
            self.assignment_log.add_start(segment, placement, previous);
            return;
        }
        let binding = self.inherited_binding(segment, &placement, cache, clock);
        self.add_binding(placement.machine, binding);
        self.assignment_log.add_start(segment, placement, None);
    }

    fn inherited_binding(
        &self,
        segment: SegmentId,
        placement: &TaskPlacement,
        cache: &StoreCache,
        clock: Clock,
    ) -> Binding {
        let ix = cache.find(placement.task.job);
        let job = ix.and_then(|ix| cache.job(ix));
        let terminal = job.and_then(|job| job.terminal);
        let lease_renewal_cutoff = terminal.map(|(_, wall_ms)| self.cancel_deadline(wall_ms, clock));
        Binding {
            task: placement.task,
            job: ix.filter(|_| terminal.is_none()),
            attempt: placement.attempt,
            need: job.map(|job| job.spec.task_resources).unwrap_or_default(),
            team: job.map(|job| job.spec.team),
            pool: job.and_then(|job| job.spec.pool()),
            best_effort: job.is_some_and(|job| self.is_best_effort(&job.spec)),
            service: job.is_some_and(|job| job.spec.kind == JobKind::Service),
            timed_out: false,
            dispatch: DispatchState::Inherited,
            log_segment: Some(segment),
            reported_state: None,
            late_start_possible: false,
            fetching_since: None,
            running_since: None,
            stop_grace_ms: terminal.map(|_| INHERITED_STOP_GRACE_MS),
            stop_sent_at: None,
            lease_renewal_cutoff,
        }
    }

    /// Restores all unfinished jobs and queues their tasks, except those that may be on a machine.
    pub(in crate::coordination::leader) fn recover_jobs(&mut self, cache: &StoreCache) {
        let live_jobs: Vec<JobIx> = cache.live_jobs().map(|(ix, _)| ix).collect();
        for ix in live_jobs {
            self.track_job(ix, cache);
        }
        for index in 0..self.cluster.machines.len() {
            self.recover_placements(MachineIx(index as u32));
        }
        // Finished DAG nodes are no longer live jobs, but records of their retry states may remain to be deleted.
        cache.dag_runs.terminal_jobs_with_retry_states(cache).for_each(|id| self.writer.queue_cleanup(id));
        let jobs: Vec<JobIx> = self.workload.jobs.keys().copied().collect();
        self.enqueue_jobs(jobs);
    }

    /// Adds the machine's bindings to the placements of their jobs, and the images of these jobs to the machine's
    /// estimated cache. [`add_binding`](Leader::add_binding) could not do it, because bindings are recovered before
    /// jobs.
    fn recover_placements(&mut self, ix: MachineIx) {
        let machine = &self.cluster.machines[ix.index()];
        let mut images = Vec::new();
        for binding in &machine.bindings {
            if let Some(state) = binding.job.and_then(|job| self.workload.jobs.get_mut(&job)) {
                add_placement(state, binding, ix, machine.zone);
                images.push((state.spec.image, state.spec.image_mb));
            }
        }
        for (image, mb) in images {
            self.record_image_use(ix, image, mb);
        }
    }
}
