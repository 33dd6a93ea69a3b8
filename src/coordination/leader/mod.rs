//! The leader: everything that only one controller at a time knows and does. It places tasks, scales the cluster out and
//! in, and keeps the records that let the next leader take over.
//!
//! [`Leader`] owns its state in parts: the leadership [term], the [machines](cluster), the [jobs](workload), the
//! [team quotas](quotas), [placement](placement::state), the [provisioner](machines::provisioner), the
//! [assignment log](records::assignment_log) and the [write pipeline](records::store_writer). It does no I/O and reads no
//! clock: events and the time come in, actions go out. All of it is rebuilt from the records at failover, except what is
//! only evidence (measured rates, failures of jobs and machines).

pub mod cancellation;
pub mod cluster;
pub mod counters;
pub mod dag_runs;
pub mod debug_status;
pub mod event_log;
pub mod explain;
mod machine;
pub mod machines;
pub mod operator_views;
pub mod placement;
pub mod quotas;
pub mod records;
pub mod slos;
pub mod term;
pub mod workload;

use std::sync::Arc;

use olivelatch_admission::pressure::PressureLevel;

use super::Clock;
use crate::bookkeeping::jobs::JobSpec;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{FencingToken, JobId, JobIx, MachineIx, Millis};
use crate::settings::Settings;
use crate::tunables::Tunables;
use cluster::ClusterState;
pub use cluster::MachineType;
use counters::Counters;
use event_log::EventLog;
pub use machine::{Binding, DispatchState, Machine, MachineIdentity, MachineState};
use machines::provisioner::Provisioner;
use placement::policy::Rank;
use placement::state::PlacementState;
use quotas::TeamQuotas;
use records::assignment_log::AssignmentLog;
use records::store_writer::StoreWriter;
use slos::ClassObjectives;
use term::LeaderTerm;
pub use workload::JobState;
use workload::Workload;

/// The leader's whole state. Each part owns one concern; the modules below work on the parts.
#[derive(Debug)]
pub struct Leader {
    pub(super) term: LeaderTerm,
    pub(super) cluster: ClusterState,
    pub workload: Workload,
    pub(super) quotas: TeamQuotas,
    slos: ClassObjectives,
    placement: PlacementState,
    provisioner: Provisioner,
    dag_runs: dag_runs::DagRuns,
    /// Pending writes to the key-value store.
    writer: StoreWriter,
    /// Which tasks may be on which machines, as recorded.
    assignment_log: AssignmentLog,
    pub counters: Counters,
    /// What was decided about each job, for operators.
    pub(super) event_log: EventLog,
    /// How far the controller is behind its events.
    pub(super) pressure: PressureLevel,
    next_status_at: Millis,
    settings: Arc<Settings>,
    tunables: Arc<Tunables>,
}

/// A job that nobody waits for comes after those with an aim of a few minutes.
const DEFAULT_SLO_MS: u64 = 600_000;
/// The size of a job puts it behind jobs that came so much later at most.
const MAX_SIZE_PENALTY_MS: u64 = 120_000;
impl Leader {
    /// Rebuilds everything from the records; the mirror holds all of them up to the token.
    pub fn new(
        token: FencingToken,
        previous_lease_ms: u64,
        seed: u64,
        cache: &mut StoreCache,
        settings: &Arc<Settings>,
        tunables: &Arc<Tunables>,
        clock: Clock,
    ) -> Leader {
        let grace = previous_lease_ms + settings.worker_timings.lease_duration_ms;
        let slack = super::leadership::clock_slack_ms(grace);
        let mut leader = Leader {
            term: LeaderTerm::new(token, clock.now, clock.now.saturating_add(grace + slack)),
            cluster: ClusterState::default(),
            workload: Workload::default(),
            quotas: TeamQuotas::default(),
            slos: ClassObjectives::default(),
            placement: PlacementState::new(settings, seed, clock.now),
            provisioner: Provisioner::new(settings.cloud_rps, token, clock.now),
            dag_runs: dag_runs::DagRuns::default(),
            writer: StoreWriter::default(),
            assignment_log: AssignmentLog::default(),
            counters: Counters::default(),
            event_log: EventLog::new(tunables.operators.event_capacity(), clock.wall_ms),
            pressure: PressureLevel::Calm,
            next_status_at: Millis::default(),
            settings: settings.clone(),
            tunables: tunables.clone(),
        };
        leader.apply_config(cache);
        leader.slos.load(&settings.objectives, &mut cache.names.classes);
        leader.load_machine_types(cache);
        leader.load_pools(cache);
        leader.recover_machines(cache, clock);
        leader.provisioner.recover_requests(cache);
        leader.recover_jobs(cache, clock);
        leader.event_log.finish_recovery();
        leader
    }

    /// A job that the mirror holds. Its ready tasks are queued by `queue_all`.
    pub fn track_job(&mut self, ix: JobIx, cache: &StoreCache, _clock: Clock) {
        let Some(job) = cache.job(ix) else { return };
        if job.terminal.is_some() {
            self.writer.queue_cleanup(job.spec.id);
            return;
        }
        let info = &job.spec;
        log::debug!(
            "job {}: {:?} of {} tasks, {} mCPU, {} MB image, {} ms, team {}, class {}",
            info.id,
            info.kind,
            info.tasks,
            info.task_resources.cpu,
            info.image_mb,
            info.estimated_run_ms,
            info.team.0,
            info.class.0
        );
        let due = job.spec.slo_wall_ms.map(|due| due.saturating_sub(job.spec.accepted_wall_ms));
        let aim = self.slos.completion_slos.get(&job.spec.class).and_then(|aims| aims.first().copied());
        let aim = due.into_iter().chain(aim).min().unwrap_or(DEFAULT_SLO_MS);
        let size = self.size_penalty_ms(&job.spec);
        if !self.workload.jobs.contains_key(&ix) {
            self.event_log.record_new_job(info.id);
        }
        self.workload.jobs.entry(ix).or_insert_with(|| {
            JobState::new(job, Rank::new(ix, &job.spec, aim, size), self.event_log.initial_first_run())
        });
        self.init_node_state(ix, cache);
    }

    /// How long a quarter of the machines there would be busy with the whole job.
    fn size_penalty_ms(&self, info: &JobSpec) -> u64 {
        let open = self
            .cluster
            .placement_index
            .open()
            .iter()
            .map(|ix| self.cluster.machines[ix.index()].capacity.cpu)
            .sum::<u64>();
        let work = info
            .task_resources
            .cpu
            .saturating_mul(u64::from(info.tasks))
            .saturating_mul(info.estimated_run_ms);
        (work / (open / 4).max(1)).min(MAX_SIZE_PENALTY_MS)
    }

    /// Queues every task of new jobs that is neither finished nor out.
    pub fn enqueue_jobs(&mut self, jobs: impl IntoIterator<Item = JobIx>) {
        jobs.into_iter().for_each(|ix| self.enqueue_waiting_tasks(ix));
        self.update_guaranteed_jobs();
    }

    /// A job that has ended and of which nothing is anywhere.
    pub fn remove_finished_job(&mut self, id: JobId, ix: Option<JobIx>) {
        if !self.workload.placed_task_counts.contains_key(&id)
            && let Some(ix) = ix
        {
            self.workload.jobs.remove(&ix);
        }
    }

    fn enqueue_waiting_tasks(&mut self, ix: JobIx) {
        let Some(work) = self.workload.jobs.get(&ix) else {
            return;
        };
        if work.finished.is_full() {
            self.finish_job(ix);
            return;
        }
        if work.finishing {
            return;
        }
        if work.spec.is_all_or_nothing() {
            self.placement.waiting_gangs.insert(work.queue_order);
            self.placement.gang_search_not_before = Millis::default();
        } else {
            let tasks: Vec<u32> =
                work.finished.iter_missing().filter(|task| !work.placements.contains_key(task)).collect();
            self.enqueue(ix, &tasks);
        }
    }

    pub fn finish_job(&mut self, ix: JobIx) {
        let Some(work) = self.workload.jobs.get(&ix).filter(|work| !work.finishing) else { return };
        let (id, node) = (work.spec.id, self.success_record(work));
        match node {
            Some(node) => self.writer.queue_node_terminal(id, node),
            None => self.writer.queue_job_success(id),
        }
        if let Some(work) = self.workload.jobs.get_mut(&ix) {
            work.finishing = true;
        }
    }

    /// Something changed that decides whether the machine takes queued tasks.
    pub fn refresh_placement_index(&mut self, ix: MachineIx) {
        let machine = &self.cluster.machines[ix.index()];
        let queued = !machine.cordoned && !machine.reserved;
        self.cluster.placement_index.update(
            ix,
            (machine.machine_type, machine.zone),
            machine.is_schedulable(),
            queued,
        );
    }

    /// It stops working, or never started: it is returned.
    pub fn return_machine(&mut self, ix: MachineIx) {
        self.cluster.machines[ix.index()].returning = true;
        self.refresh_placement_index(ix);
        self.requeue_machine_queues(ix);
        self.assignment_log.queue_return(ix);
    }
}
