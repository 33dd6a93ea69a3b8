//! The leader: all duties that only one controller at a time performs. It places tasks, scales the cluster out and in,
//! and writes the records from which the next leader recovers.
//!
//! [`Leader`] owns its state in parts: the leadership [term], the [machines](cluster), the [jobs](workload), the
//! [team quotas](quotas), [placement](placement::state), the [provisioner](machines::provisioner), the
//! [assignment log](records) and the [store writer](records). It does no I/O and reads no clock: it receives events and
//! the time, and returns actions. After a failover its state is rebuilt from the records, except measurements and
//! observations (measured rates, failures of jobs and machines).

#![warn(missing_docs)]

mod binding;
pub mod cancellation;
pub mod cluster;
pub mod counters;
pub mod dag_runs;
pub mod debug_status;
pub mod event_log;
pub mod explain;
mod job_tracking;
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
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{FencingToken, MachineIx, Millis};
use crate::settings::Settings;
use crate::tunables::Tunables;
pub use binding::{Binding, DispatchState};
use cluster::ClusterState;
pub use cluster::MachineType;
use counters::Counters;
use event_log::EventLog;
use job_tracking::DEFAULT_SLO_MS;
pub use machine::{Machine, MachineIdentity, MachineState, RunTimeRatios};
use machines::provisioner::Provisioner;
use placement::state::PlacementState;
use quotas::TeamQuotas;
use records::assignment_log::AssignmentLog;
use records::store_writer::StoreWriter;
use slos::ClassObjectives;
use term::LeaderTerm;
pub use workload::JobState;
use workload::Workload;

/// The complete state of the leader. Each part owns one concern; the submodules implement the operations on the parts.
#[derive(Debug)]
pub struct Leader {
    pub(super) term: LeaderTerm,
    pub(super) cluster: ClusterState,
    /// The unfinished jobs.
    pub workload: Workload,
    pub(super) quotas: TeamQuotas,
    slos: ClassObjectives,
    placement: PlacementState,
    provisioner: Provisioner,
    dag_runs: dag_runs::DagRuns,
    /// Pending writes to the key-value store.
    writer: StoreWriter,
    /// The durable record of which tasks may be on which machines.
    assignment_log: AssignmentLog,
    /// Counters of the term.
    pub counters: Counters,
    /// The latest events of each job, for operators.
    pub(super) event_log: EventLog,
    /// How far the controller lags behind its events.
    pub(super) pressure: PressureLevel,
    next_status_at: Millis,
    settings: Arc<Settings>,
    tunables: Arc<Tunables>,
}

impl Leader {
    /// Creates a leader that is recovered from the records. `cache` must hold all records up to the revision of
    /// `token`.
    ///
    /// `previous_serving_ms` is how long after its own lease a deposed leader may have answered heartbeats. The last
    /// worker leases that it renewed have expired by the term's `recovery_until`.
    pub fn new(
        token: FencingToken,
        previous_serving_ms: u64,
        seed: u64,
        cache: &mut StoreCache,
        settings: &Arc<Settings>,
        tunables: &Arc<Tunables>,
        clock: Clock,
    ) -> Leader {
        let grace_ms = previous_serving_ms + settings.worker_timings.lease_duration_ms;
        let slack_ms = super::leadership::clock_slack_ms(grace_ms);
        let mut leader = Leader {
            term: LeaderTerm::new(token, clock.now, clock.now.saturating_add(grace_ms + slack_ms)),
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
        leader.recover_jobs(cache);
        leader.event_log.finish_recovery();
        leader
    }

    /// Updates the placement index after a change that may affect whether the machine accepts tasks. If it has stopped
    /// accepting queued tasks, those in its queues move to other queues: nothing on this machine would start them, and
    /// no other machine steals from it.
    pub fn refresh_placement_index(&mut self, ix: MachineIx) {
        let machine = &self.cluster.machines[ix.index()];
        let accepts_queued = !machine.cordoned && !machine.reserved;
        let accepted_before = self.cluster.placement_index.accepts_queued(ix);
        self.cluster.placement_index.update(
            ix,
            (machine.machine_type, machine.zone),
            machine.is_schedulable(),
            accepts_queued,
        );
        if accepted_before && !self.cluster.placement_index.accepts_queued(ix) {
            self.requeue_machine_queues(ix);
        }
    }

    /// Begins the return of a machine to the cloud. Its queued tasks move to other queues. The machine is released once
    /// the return is durable.
    pub fn return_machine(&mut self, ix: MachineIx) {
        self.cluster.machines[ix.index()].returning = true;
        self.refresh_placement_index(ix);
        self.assignment_log.queue_return(ix);
    }
}
