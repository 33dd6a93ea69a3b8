//! What only the leader knows and does: all machine queues, placement, the
//! fleet, and the records that make it safe.

pub mod cancellation;
pub mod dag_runs;
pub mod debug_status;
pub mod event_log;
pub mod explain;
mod machine;
pub mod machines;
pub mod operator_views;
pub mod placement;
pub mod records;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use olivelatch_admission::headroom::Headroom;
use olivelatch_admission::pressure::PressureLevel;
use olivelatch_admission::service_window::ServiceWindow;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Clock;
use crate::bookkeeping::bit_set::BitSet;
use crate::bookkeeping::jobs::JobSpec;
use crate::bookkeeping::records::max_tasks_per_machine;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{
    AgentEpoch, Attempt, ClassIx, FencingToken, ImageIx, JobId, JobIx, MachineIx, MachineTypeIx, Millis,
    Resources, TeamIx, ZoneIx, to_milli_floor,
};
use crate::settings::{Settings, TeamSettings};
use crate::tunables::Tunables;
use event_log::{EventLog, FirstRun};
pub use machine::{Binding, DispatchState, Machine, MachineState};
use machines::faults::Probation;
use machines::placement_index::PlacementIndex;
use machines::provisioner::Provisioner;
use placement::best_effort;
use placement::gang_search::GangSearchCache;
use placement::overload::{self, TeamClass};
use placement::policy::{PriorityInputsTable, Rank};
use placement::preemption::PreemptorPriority;
use placement::queues::Queue;
use records::assignment_log::AssignmentLog;
use records::store_writer::StoreWriter;

/// What is known of a job's tasks beyond the durable records.
#[derive(Debug)]
pub struct JobState {
    pub spec: Arc<JobSpec>,
    pub queue_order: Rank,
    /// Finished tasks, those included that are not durable yet.
    pub finished: BitSet,
    /// Where each unfinished task may be: after a takeover that can be several places.
    pub placements: HashMap<u32, Vec<(MachineIx, Attempt)>>,
    pub tasks_per_zone: HashMap<ZoneIx, u32>,
    /// Run times of finished tasks.
    pub finished_runs: u32,
    pub total_run_ms: u64,
    /// Machines on which its tasks failed, since one last succeeded.
    pub failed_on: HashSet<MachineIx>,
    /// Failures on machines that it was allowed back to, since one last succeeded.
    pub retried_exclusions: usize,
    /// Not allowed back before.
    pub retry_exclusion_not_before: Millis,
    /// It fails wherever it is tried.
    pub probation: Option<Probation>,
    pub finishing: bool,
    pub first_run: FirstRun,
    /// Of a graph's node.
    pub dag_node: Option<Box<dag_runs::DagNodeState>>,
}

impl JobState {
    /// Expected run time of a task: the mean of those finished, else the owner's estimate.
    pub fn expected_run_ms(&self) -> u64 {
        if self.finished_runs > 0 {
            self.total_run_ms / u64::from(self.finished_runs)
        } else {
            self.spec.estimated_run_ms.max(1000)
        }
    }

    /// Tasks that are neither done nor out. Of a job on trial only one is waited for.
    pub fn waiting_tasks(&self) -> u64 {
        let waiting = u64::from(self.unfinished_tasks()).saturating_sub(self.placements.len() as u64);
        if self.probation.is_some() { waiting.min(1) } else { waiting }
    }

    /// Some of its tasks are neither done nor out, and it is not on trial.
    pub fn has_waiting_tasks(&self) -> bool {
        self.probation.is_none() && self.waiting_tasks() > 0
    }

    pub fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.finished.count()
    }
}

/// A machine type as used here.
#[derive(Debug, Clone)]
pub struct MachineType {
    pub name: String,
    pub capacity: Resources,
    pub image_cache_mb: u64,
    pub fetch_mb_per_s: f64,
    pub price: f64,
    pub spot_price: Option<f64>,
    pub boot_ms: u64,
    pub zones: Vec<ZoneIx>,
}

#[derive(Debug, Default)]
pub struct Counters {
    pub queued_shared: u64,
    pub queued_dedicated: u64,
    pub steals: u64,
    pub stolen_tasks: u64,
    pub spilled_tasks: u64,
    pub preempted_tasks: u64,
    pub machines_lost: u64,
    /// Tasks bound to machines, and machines looked at to fill them or to steal from.
    pub tasks_bound: u64,
    pub machines_examined: u64,
    /// Searches for a place for a gang, over all machines that fit it.
    pub gang_searches: u64,
    /// Changes asked of the state service.
    pub kv_mutations: u64,
    /// Machines greeted, and most of them by one step.
    pub leadership_announcements: u64,
    pub max_announcements_per_step: u64,
}

#[derive(Debug)]
pub struct Leader {
    pub token: FencingToken,
    pub acquired_at: Millis,
    /// Until then a deposed leader may have kept workers alive.
    recovery_until: Millis,
    attempt_counter: u64,
    pub machines: Vec<Machine>,
    pub machines_by_name: HashMap<String, MachineIx>,
    pub jobs: BTreeMap<JobIx, JobState>,
    pub usage: HashMap<TeamIx, Resources>,
    /// What of it has been told to stop, when gangs were last placed.
    stopping_usage: HashMap<TeamIx, Resources>,
    team_settings: HashMap<TeamIx, TeamSettings>,
    priority_inputs: PriorityInputsTable,
    /// CPU milliseconds (in thousandths of CPUs) started for each party lately.
    recently_served: ServiceWindow<TeamClass>,
    pub machine_types: BTreeMap<MachineTypeIx, MachineType>,
    /// Within what time a class's jobs should be done, by the settings' objectives.
    pub completion_slos: HashMap<ClassIx, Vec<u64>>,
    /// Classes whose jobs somebody waits for, by any of the settings' objectives.
    slo_classes: BTreeSet<ClassIx>,
    /// What idle-time work uses, and may use, in thousandths of CPUs.
    best_effort_cpu: u64,
    headroom: Headroom,
    /// For whom room was made when that was last looked at.
    preemption_state: Option<PreemptorPriority>,
    /// Ready tasks that no present machine may take.
    pub backlog: Queue,
    /// Tasks that wait before they are tried again.
    retry_queue: BTreeMap<Millis, Vec<(JobIx, u32)>>,
    /// Machines held for gangs.
    pub held_machines: BTreeSet<MachineIx>,
    /// Machines kept from queued tasks because gangs wait for their type.
    reserved_machines: BTreeSet<MachineIx>,
    /// Gangs and services with tasks to place.
    pub waiting_gangs: BTreeSet<Rank>,
    pub writer: StoreWriter,
    pub assignment_log: AssignmentLog,
    pub provisioner: Provisioner,
    /// What nodes of graphs need besides.
    pub dag_runs: dag_runs::DagRuns,
    pub counters: Counters,
    /// What operators may ask about.
    pub event_log: EventLog,
    pub settings: Arc<Settings>,
    pub tunables: Arc<Tunables>,
    max_tasks_per_record: usize,
    rng: SmallRng,
    /// Tasks of each job that may be somewhere.
    pub placed_task_counts: HashMap<JobId, u32>,
    /// Which machines placement has to look at.
    pub placement_index: PlacementIndex,
    /// Machines that should have an image.
    image_holders: HashMap<ImageIx, BTreeSet<MachineIx>>,
    next_status_at: Millis,
    /// Gangs that need not be searched for again yet.
    gang_search_cache: GangSearchCache,
    /// Waiting gangs are not tried before.
    gang_search_not_before: Millis,
    /// How far the node is behind its events.
    pub pressure: PressureLevel,
    /// Machines that should hear from us without waiting for their report.
    pub pending_announcements: BTreeSet<MachineIx>,
}

/// A job that nobody waits for comes after those with an aim of a few minutes.
const DEFAULT_SLO_MS: u64 = 600_000;
/// The size of a job puts it behind jobs that came so much later at most.
const MAX_SIZE_PENALTY_MS: u64 = 120_000;
/// Room for attempts within one leadership; the token in front keeps them rising over all.
const ATTEMPT_BITS: u32 = 24;

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
            token,
            acquired_at: clock.now,
            recovery_until: clock.now.saturating_add(grace + slack),
            attempt_counter: 0,
            machines: Vec::new(),
            machines_by_name: HashMap::new(),
            jobs: BTreeMap::new(),
            usage: HashMap::new(),
            stopping_usage: HashMap::new(),
            team_settings: HashMap::new(),
            priority_inputs: PriorityInputsTable::default(),
            recently_served: ServiceWindow::new(overload::SERVICE_WINDOW_MS, clock.now.0),
            machine_types: BTreeMap::new(),
            completion_slos: HashMap::new(),
            slo_classes: BTreeSet::new(),
            best_effort_cpu: 0,
            headroom: best_effort::new_headroom(),
            preemption_state: None,
            backlog: Queue::default(),
            retry_queue: BTreeMap::new(),
            held_machines: BTreeSet::new(),
            reserved_machines: BTreeSet::new(),
            waiting_gangs: BTreeSet::new(),
            writer: StoreWriter::default(),
            assignment_log: AssignmentLog::default(),
            provisioner: Provisioner::new(settings.cloud_rps, token, clock.now),
            dag_runs: dag_runs::DagRuns::default(),
            counters: Counters::default(),
            event_log: EventLog::new(tunables.operators.event_capacity(), clock.wall_ms),
            settings: settings.clone(),
            tunables: tunables.clone(),
            max_tasks_per_record: max_tasks_per_machine(settings.kv_limits.max_value_kb),
            rng: SmallRng::seed_from_u64(seed),
            placed_task_counts: HashMap::new(),
            placement_index: PlacementIndex::default(),
            image_holders: HashMap::new(),
            next_status_at: Millis::default(),
            gang_search_cache: GangSearchCache::default(),
            gang_search_not_before: Millis::default(),
            pressure: PressureLevel::Calm,
            pending_announcements: BTreeSet::new(),
        };
        leader.apply_config(cache);
        for objective in &settings.objectives {
            if let Some(class) = &objective.job_class {
                leader.slo_classes.insert(cache.names.classes.intern(class));
            }
            if let ("finished", Some(class), Some(within)) =
                (objective.kind.as_str(), &objective.job_class, objective.target_s)
            {
                let class = cache.names.classes.intern(class);
                let aims = leader.completion_slos.entry(class).or_default();
                aims.push((within * 1000.0) as u64);
                aims.sort_unstable();
            }
        }
        leader.load_machine_types(cache);
        leader.load_pools(cache);
        leader.recover_machines(cache, clock);
        leader.provisioner.recover_requests(cache);
        leader.recover_jobs(cache, clock);
        leader.event_log.finish_recovery();
        leader
    }

    pub fn next_attempt(&mut self) -> Attempt {
        self.attempt_counter += 1;
        Attempt((self.token.0 << ATTEMPT_BITS) + self.attempt_counter)
    }

    pub fn load_machine_types(&mut self, cache: &mut StoreCache) {
        for entry in cache.machine_types.values() {
            let ix = cache.names.machine_types.intern(&entry.name);
            let zones = entry.zones.iter().map(|zone| cache.names.zones.intern(zone)).collect();
            let published = entry.fetch_gb_per_s * 1000.0;
            let first = if published > 0.0 { published } else { self.tunables.fetch_gb_per_s * 1000.0 };
            // What was observed outlives a new look at the catalog.
            let rate = self.machine_types.get(&ix).map_or(first, |kind| kind.fetch_mb_per_s);
            self.machine_types.insert(
                ix,
                MachineType {
                    name: entry.name.clone(),
                    capacity: Resources {
                        cpu: to_milli_floor(entry.cpus),
                        gpu: to_milli_floor(entry.gpus),
                        mem: to_milli_floor(entry.memory_gb),
                    },
                    image_cache_mb: to_milli_floor(entry.image_cache_gb),
                    fetch_mb_per_s: rate,
                    price: entry.price,
                    spot_price: entry.spot_price,
                    boot_ms: (entry.boot_s * 1000.0) as u64,
                    zones,
                },
            );
        }
        for machine in &mut self.machines {
            if let Some(kind) = self.machine_types.get(&machine.machine_type) {
                machine.capacity = kind.capacity;
            }
        }
        self.placement_index.recheck_backlog = true;
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
        let aim = self.completion_slos.get(&job.spec.class).and_then(|aims| aims.first().copied());
        let aim = due.into_iter().chain(aim).min().unwrap_or(DEFAULT_SLO_MS);
        let size = self.size_penalty_ms(&job.spec);
        if !self.jobs.contains_key(&ix) {
            self.event_log.record_new_job(info.id);
        }
        self.jobs.entry(ix).or_insert_with(|| JobState {
            spec: job.spec.clone(),
            queue_order: Rank::new(ix, &job.spec, aim, size),
            finished: job.finished_tasks.clone(),
            placements: HashMap::new(),
            tasks_per_zone: HashMap::new(),
            finished_runs: 0,
            total_run_ms: 0,
            failed_on: HashSet::new(),
            retried_exclusions: 0,
            retry_exclusion_not_before: Millis::default(),
            probation: None,
            finishing: false,
            first_run: self.event_log.initial_first_run(),
            dag_node: None,
        });
        self.init_node_state(ix, cache);
    }

    /// How long a quarter of the machines there would be busy with the whole job.
    fn size_penalty_ms(&self, info: &JobSpec) -> u64 {
        let open =
            self.placement_index.open().iter().map(|ix| self.machines[ix.index()].capacity.cpu).sum::<u64>();
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
        if !self.placed_task_counts.contains_key(&id)
            && let Some(ix) = ix
        {
            self.jobs.remove(&ix);
        }
    }

    fn enqueue_waiting_tasks(&mut self, ix: JobIx) {
        let Some(work) = self.jobs.get(&ix) else {
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
            self.waiting_gangs.insert(work.queue_order);
            self.gang_search_not_before = Millis::default();
        } else {
            let tasks: Vec<u32> =
                work.finished.iter_missing().filter(|task| !work.placements.contains_key(task)).collect();
            self.enqueue(ix, &tasks);
        }
    }

    pub fn finish_job(&mut self, ix: JobIx) {
        let Some(work) = self.jobs.get(&ix).filter(|work| !work.finishing) else { return };
        let (id, node) = (work.spec.id, self.success_record(work));
        match node {
            Some(node) => self.writer.queue_node_terminal(id, node),
            None => self.writer.queue_job_success(id),
        }
        if let Some(work) = self.jobs.get_mut(&ix) {
            work.finishing = true;
        }
    }

    pub fn register_machine(
        &mut self,
        name: &str,
        endpoint: &str,
        kind: MachineTypeIx,
        zone: ZoneIx,
        spot: bool,
        clock: Clock,
    ) -> MachineIx {
        if let Some(ix) = self.machines_by_name.get(name) {
            return *ix;
        }
        let ix = MachineIx(self.machines.len() as u32);
        self.machines_by_name.insert(name.into(), ix);
        self.machines.push(Machine {
            name: name.into(),
            endpoint: endpoint.into(),
            machine_type: kind,
            zone,
            spot,
            state: MachineState::Booting,
            cloud_running: false,
            created_at: clock.now,
            epoch: AgentEpoch(0),
            epoch_first_seen: None,
            sequence: 0,
            last_heartbeat_id: (AgentEpoch(0), 0),
            token_acknowledged: false,
            token_first_acknowledged: None,
            last_answered_heartbeat_at: None,
            unacknowledged_since: None,
            unacknowledged_starts: 0,
            reclaim_notice_until: None,
            returning: false,
            return_log_segment: None,
            bindings: Vec::new(),
            used: Resources::default(),
            capacity: self.machine_types.get(&kind).map(|kind| kind.capacity).unwrap_or_default(),
            shared_queue: Queue::default(),
            dedicated_queue: Queue::default(),
            steal_backoff_ms: self.tunables.steal_backoff_ms,
            steal_not_before: Millis::default(),
            hold: None,
            images: Vec::new(),
            direct_send_in_flight: false,
            direct_send_not_before: Millis::default(),
            late_starts: HashSet::new(),
            idle_since: clock.now,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            run_time_ratio: (0, 0.0),
            slow: false,
            cordoned: false,
            reserved: false,
            recent_finishes: Vec::new(),
        });
        ix
    }

    /// Something changed that decides whether the machine takes queued tasks.
    pub fn refresh_placement_index(&mut self, ix: MachineIx) {
        let machine = &self.machines[ix.index()];
        let queued = !machine.cordoned && !machine.reserved;
        self.placement_index.update(
            ix,
            (machine.machine_type, machine.zone),
            machine.is_schedulable(),
            queued,
        );
    }

    /// It stops working, or never started: it is returned.
    pub fn return_machine(&mut self, ix: MachineIx) {
        self.machines[ix.index()].returning = true;
        self.refresh_placement_index(ix);
        self.requeue_machine_queues(ix);
        self.assignment_log.queue_return(ix);
    }
}
