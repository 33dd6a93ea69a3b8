//! Why a job is where it is: what placement itself asks of machines, teams and gangs, counted instead of acted upon.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::machines::provisioner::InstanceOffer;
use super::placement::dispatch::PlacementBlocker;
use super::placement::gang_search::GangSearch;
use super::placement::gangs::PlacementMethod;
use super::{Binding, JobState, Leader, MachineState};
use crate::bookkeeping::jobs::NameRegistry;
use crate::coordination::Clock;
use crate::ids::{JobIx, MachineIx, MachineTypeIx, Resources, from_milli};
use crate::protocol::operators::{InstanceOfferView, JobUsage, MachineTypeCapacity, StateReason};
use crate::protocol::workers::TaskPhase;

/// Jobs and machines named in one reason.
const MAX_NAMES: usize = 5;

/// Where the tasks of a job that are on machines stand.
#[derive(Default)]
struct PlacedCounts {
    running: u32,
    starting: u32,
    gathering: u32,
    fetching: u32,
    longest_fetch_ms: u64,
}

impl PlacedCounts {
    fn count(&mut self, binding: &Binding, clock: Clock) {
        match binding.reported_state {
            Some(TaskPhase::Running | TaskPhase::Checkpointing) => self.running += 1,
            Some(TaskPhase::WaitingForPeers) => self.gathering += 1,
            Some(TaskPhase::Fetching) => {
                self.fetching += 1;
                let since = binding.fetching_since.map_or(0, |since| clock.now.saturating_since(since));
                self.longest_fetch_ms = self.longest_fetch_ms.max(since);
            }
            _ => self.starting += 1,
        }
    }

    fn reasons(&self, work: &JobState, names: &NameRegistry) -> Vec<StateReason> {
        let fetch = StateReason::ImageFetch {
            tasks: self.fetching,
            image: names.images.name_or_unknown(work.spec.image.index()).into(),
            image_gb: from_milli(work.spec.image_mb),
            max_remaining_s: from_milli(self.longest_fetch_ms),
        };
        let all = [
            (self.running, StateReason::Running { tasks: self.running }),
            (self.gathering, StateReason::WaitingForPeers { tasks: self.gathering }),
            (self.fetching, fetch),
            (self.starting, StateReason::Starting { tasks: self.starting }),
        ];
        all.into_iter().filter(|(tasks, _)| *tasks > 0).map(|(_, reason)| reason).collect()
    }
}

/// What all machines say to a task.
#[derive(Default)]
struct BlockerCounts {
    up: u32,
    wrong_type: u32,
    wrong_zone: u32,
    wrong_spot: u32,
    too_small: u32,
    booting: u32,
    /// Nothing keeps the task off them but perhaps its team's limit.
    usable: u32,
    held: u32,
    holders: BTreeSet<JobIx>,
    machine_types: BTreeMap<MachineTypeIx, MachineTypeCapacity>,
}

impl Leader {
    /// The reasons, each with its figures; of one task if asked for.
    pub fn explain(
        &self,
        ix: JobIx,
        task: Option<u32>,
        names: &NameRegistry,
        clock: Clock,
    ) -> Vec<StateReason> {
        let Some(work) = self.workload.jobs.get(&ix) else { return vec![StateReason::PersistingResult] };
        if work.finishing || work.finished.is_full() || task.is_some_and(|task| work.finished.contains(task))
        {
            return vec![StateReason::PersistingResult];
        }
        let matches_task = |other: u32| task.is_none_or(|task| task == other);
        let placed = self.count_placed(ix, work, matches_task, clock);
        let mut reasons = placed.reasons(work, names);
        let (delayed, next_ms) = self.retry_delays(ix, matches_task, clock);
        if delayed > 0 {
            reasons.push(StateReason::RetryWait {
                tasks: delayed,
                retry_in_s: from_milli(next_ms),
                failed_on: self.failed_machine_names(work),
            });
        }
        let is_unplaced = |task: &u32| matches_task(*task) && !work.placements.contains_key(task);
        let waiting = work.finished.iter_missing().filter(is_unplaced).count() as u32;
        if waiting > delayed {
            self.waiting_reasons(ix, work, names, clock, &mut reasons);
        }
        reasons
    }

    fn count_placed(
        &self,
        ix: JobIx,
        work: &JobState,
        matches_task: impl Fn(u32) -> bool,
        clock: Clock,
    ) -> PlacedCounts {
        let machines: HashSet<MachineIx> = work.placements.values().flatten().map(|(ix, _)| *ix).collect();
        let mut placed = PlacedCounts::default();
        let bindings = machines.iter().flat_map(|machine| &self.cluster.machines[machine.index()].bindings);
        bindings
            .filter(|binding| binding.job == Some(ix) && matches_task(binding.task.task))
            .for_each(|binding| placed.count(binding, clock));
        placed
    }

    /// Tasks that wait before they are tried again, and when the first is.
    fn retry_delays(&self, ix: JobIx, matches_task: impl Fn(u32) -> bool, clock: Clock) -> (u32, u64) {
        let (mut count, mut next) = (0, None);
        if let Some((work, trial)) =
            self.workload.jobs.get(&ix).and_then(|work| Some((work, work.probation?)))
        {
            let is_waiting = |task: &u32| matches_task(*task) && !work.placements.contains_key(task);
            let queued = usize::from(trial.queued);
            let waiting = work.finished.iter_missing().filter(is_waiting).count().saturating_sub(queued);
            return (waiting as u32, trial.next_attempt_at.saturating_since(clock.now));
        }
        for (at, tasks) in &self.workload.retry_queue {
            let matching =
                tasks.iter().filter(|(job, task)| *job == ix && matches_task(*task)).count() as u32;
            if matching > 0 {
                count += matching;
                next.get_or_insert(at.saturating_since(clock.now));
            }
        }
        (count, next.unwrap_or(0))
    }

    fn failed_machine_names(&self, work: &JobState) -> Vec<String> {
        let mut failed: Vec<MachineIx> = work.failed_on.iter().copied().collect();
        failed.sort();
        failed.iter().take(MAX_NAMES).map(|ix| self.cluster.machines[ix.index()].name.clone()).collect()
    }

    fn waiting_reasons(
        &self,
        ix: JobIx,
        work: &JobState,
        names: &NameRegistry,
        clock: Clock,
        reasons: &mut Vec<StateReason>,
    ) {
        let tasks = if work.spec.is_all_or_nothing() { work.unplaced_tasks().len() as u64 } else { 1 };
        let limited = !self.within_quota(work.spec.team, &work.spec.task_resources.saturating_mul(tasks));
        if limited {
            reasons.extend(self.team_limit_reason(work, names));
        }
        let limited = limited || !self.pool_has_room(work, tasks as u32);
        reasons.extend(self.pool_full_reason(work, tasks as u32, names));
        let counts = self.count_blockers(ix, work, names);
        if counts.machine_types.is_empty() {
            reasons.push(no_machine_reason(work, &counts));
        } else if work.spec.is_all_or_nothing() {
            self.gang_reasons(ix, work, names, clock, limited, &counts, reasons);
        } else if counts.usable == 0 {
            reasons.push(no_room_reason(work, &counts));
        } else if !limited {
            reasons.push(StateReason::Schedulable { machines: counts.usable });
        }
        if counts.held > 0 {
            let gangs = counts.holders.iter().filter_map(|job| self.workload.jobs.get(job));
            let gangs = gangs.take(MAX_NAMES).map(|work| work.spec.id.to_string()).collect();
            reasons.push(StateReason::HeldForGang { machines: counts.held, gangs });
        }
        reasons.extend(self.behind_reason(ix, work));
        self.provisioning_reasons(work, names, clock, counts.booting, reasons);
    }

    #[allow(clippy::too_many_arguments)]
    fn gang_reasons(
        &self,
        ix: JobIx,
        work: &JobState,
        names: &NameRegistry,
        clock: Clock,
        limited: bool,
        counts: &BlockerCounts,
        reasons: &mut Vec<StateReason>,
    ) {
        let needs = work.unplaced_tasks().len();
        let search = GangSearch { job_ix: ix, job: work, count: needs, method: PlacementMethod::Free, clock };
        let placement_in = |zone| (self.find_partial_placement(&search, zone).machines.len(), zone);
        let best = self.gang_zones(work).into_iter().map(placement_in).max_by_key(|(count, _)| *count);
        let (could_start, zone) = best.unwrap_or((0, None));
        if could_start < needs {
            reasons.push(StateReason::GangInsufficientCapacity {
                required: needs as u32,
                schedulable: could_start as u32,
                zone: zone.map(|zone| names.zones.name_or_unknown(zone.index()).into()),
            });
            reasons.push(no_room_reason(work, counts));
        } else if !limited {
            reasons.push(StateReason::Schedulable { machines: could_start as u32 });
        }
    }

    fn team_limit_reason(&self, work: &JobState, names: &NameRegistry) -> Option<StateReason> {
        let team = work.spec.team;
        let limit = self.quotas.team_settings.get(&team)?.effective_limit();
        let used = self.quotas.usage.get(&team).copied().unwrap_or_default();
        let of_team = self
            .workload
            .jobs
            .values()
            .filter(|other| other.spec.team == team && !other.placements.is_empty());
        let mut by_job: Vec<(u64, String)> = of_team
            .map(|other| {
                (other.spec.task_resources.cpu * other.placements.len() as u64, other.spec.id.to_string())
            })
            .collect();
        by_job.sort_by(|a, b| b.cmp(a));
        by_job.truncate(MAX_NAMES);
        let finite = |milli: u64| (milli < u64::MAX).then(|| from_milli(milli));
        Some(StateReason::TeamLimit {
            team: names.teams.name_or_unknown(team.index()).into(),
            used_cpus: from_milli(used.cpu),
            limit_cpus: finite(limit.cpu),
            used_gpus: from_milli(used.gpu),
            limit_gpus: finite(limit.gpu),
            used_by: by_job.into_iter().map(|(cpu, job)| JobUsage { job, cpus: from_milli(cpu) }).collect(),
        })
    }

    fn pool_full_reason(&self, work: &JobState, tasks: u32, names: &NameRegistry) -> Option<StateReason> {
        let pool = work.spec.pool().filter(|_| !self.pool_has_room(work, tasks))?;
        Some(StateReason::PoolFull {
            pool: names.pools.name_or_unknown(pool.index()).into(),
            used: self.dag_runs.pool_used.get(&pool).copied().unwrap_or(0),
            slots: self.dag_runs.pool_slots.get(&pool).copied().unwrap_or(0),
        })
    }

    fn count_blockers(&self, job: JobIx, work: &JobState, names: &NameRegistry) -> BlockerCounts {
        let mut counts = BlockerCounts::default();
        for at in 0..self.cluster.machines.len() {
            self.count_machine(MachineIx(at as u32), job, work, names, &mut counts);
        }
        counts
    }

    fn count_machine(
        &self,
        ix: MachineIx,
        job: JobIx,
        work: &JobState,
        names: &NameRegistry,
        counts: &mut BlockerCounts,
    ) {
        let machine = &self.cluster.machines[ix.index()];
        let info = &work.spec;
        let may_use = info.allows(machine.machine_type, machine.zone, machine.spot)
            && info.task_resources.fits_in(&machine.capacity);
        match machine.state {
            MachineState::Gone => return,
            MachineState::Booting => {
                counts.booting += u32::from(may_use);
                return;
            }
            MachineState::Up | MachineState::Unreachable => counts.up += 1,
        }
        match self.machine_blocker(ix, work) {
            Some(PlacementBlocker::NotAllowed) if !info.allows_machine_type(machine.machine_type) => {
                counts.wrong_type += 1
            }
            Some(PlacementBlocker::NotAllowed) if info.zone.is_some_and(|zone| zone != machine.zone) => {
                counts.wrong_zone += 1;
            }
            Some(PlacementBlocker::NotAllowed) => counts.wrong_spot += 1,
            Some(PlacementBlocker::TooSmall) => counts.too_small += 1,
            Some(PlacementBlocker::Unavailable) if !may_use => counts.wrong_type += 1,
            blocker => self.count_eligible_machine(ix, job, work, names, blocker, counts),
        }
    }

    /// A machine that the job may use, if not now.
    fn count_eligible_machine(
        &self,
        ix: MachineIx,
        job: JobIx,
        work: &JobState,
        names: &NameRegistry,
        blocker: Option<PlacementBlocker>,
        counts: &mut BlockerCounts,
    ) {
        let machine = &self.cluster.machines[ix.index()];
        let free = machine.free();
        let type_room = counts.machine_types.entry(machine.machine_type).or_default();
        if type_room.machines == 0 {
            type_room.machine_type = names.machine_types.name_or_unknown(machine.machine_type.index()).into();
        }
        type_room.machines += 1;
        match blocker {
            Some(PlacementBlocker::Unavailable) => type_room.unschedulable += 1,
            Some(_) => type_room.excluded_after_failure += 1,
            None => {
                update_most_free(type_room, &free);
                let hold = machine.hold.filter(|hold| hold.job != job);
                match self.placement_blocker(ix, &free, work) {
                    Some(PlacementBlocker::InsufficientRoom) => type_room.without_capacity += 1,
                    Some(PlacementBlocker::ZoneRule) => type_room.excluded_by_zone += 1,
                    _ if hold.is_some() => {
                        counts.held += 1;
                        counts.holders.extend(hold.map(|hold| hold.job));
                    }
                    // Gangs and services may use machines that take no queued tasks.
                    _ if (machine.cordoned || machine.reserved) && !work.spec.is_all_or_nothing() => {
                        type_room.cordoned += 1
                    }
                    _ => counts.usable += 1,
                }
            }
        }
    }

    /// Work whose turn comes first on a machine type that the job may use too.
    fn behind_reason(&self, ix: JobIx, work: &JobState) -> Option<StateReason> {
        let own_order = self.queue_order(&work.queue_order);
        let shares_machine_type = |other: &JobState| {
            self.cluster
                .machine_types
                .keys()
                .any(|kind| other.spec.allows_machine_type(*kind) && work.spec.allows_machine_type(*kind))
        };
        let mut earlier: Vec<_> = self
            .workload
            .jobs
            .iter()
            .filter(|(other, _)| **other != ix)
            .map(|(_, other)| (self.queue_order(&other.queue_order), other))
            .filter(|(theirs, other)| *theirs < own_order && shares_machine_type(other))
            .map(|(theirs, other)| {
                (theirs, other, u64::from(other.unfinished_tasks()) - other.placements.len() as u64)
            })
            .filter(|(_, _, waiting)| *waiting > 0)
            .collect();
        if earlier.is_empty() {
            return None;
        }
        earlier.sort_by_key(|(theirs, ..)| *theirs);
        let cpu_s = |work: &JobState, tasks: u64| {
            from_milli(work.spec.task_resources.cpu) * from_milli(work.expected_run_ms()) * tasks as f64
        };
        Some(StateReason::QueuedBehind {
            jobs: earlier.len() as u32,
            tasks: earlier.iter().map(|(.., waiting)| waiting).sum(),
            cpu_seconds: earlier.iter().map(|(_, other, waiting)| cpu_s(other, *waiting)).sum(),
            first_jobs: earlier
                .iter()
                .take(MAX_NAMES)
                .map(|(_, other, _)| other.spec.id.to_string())
                .collect(),
        })
    }

    fn provisioning_reasons(
        &self,
        work: &JobState,
        names: &NameRegistry,
        clock: Clock,
        booting: u32,
        reasons: &mut Vec<StateReason>,
    ) {
        let is_usable = |offer: &InstanceOffer| {
            let size = self
                .cluster
                .machine_types
                .get(&offer.machine_type)
                .map(|kind| kind.capacity)
                .unwrap_or_default();
            work.spec.allows(offer.machine_type, offer.zone, offer.spot)
                && work.spec.task_resources.fits_in(&size)
        };
        let view = |offer: InstanceOffer, count: u32, rests_s: Option<f64>| InstanceOfferView {
            machine_type: names.machine_types.name_or_unknown(offer.machine_type.index()).into(),
            zone: names.zones.name_or_unknown(offer.zone.index()).into(),
            spot: offer.spot,
            count,
            backoff_s: rests_s,
        };
        let open = self.provisioner.pending_requests();
        let offers: Vec<InstanceOfferView> =
            open.iter().filter(|(o, _)| is_usable(o)).map(|(o, count)| view(*o, *count, None)).collect();
        if booting > 0 || !offers.is_empty() {
            reasons.push(StateReason::Provisioning { offers, booting });
        }
        let refused = self.provisioner.offers_in_backoff(clock.now).filter(|(offer, _)| is_usable(offer));
        let mut refused: Vec<(InstanceOffer, u64)> =
            refused.map(|(offer, until)| (offer, until.saturating_since(clock.now))).collect();
        refused.sort();
        if !refused.is_empty() {
            let offers =
                refused.into_iter().map(|(offer, ms)| view(offer, 0, Some(from_milli(ms)))).collect();
            reasons.push(StateReason::CloudRejected { offers });
        }
    }

    /// How a task of a job that is on a machine is shown.
    pub fn binding_of(&self, ix: MachineIx, job: JobIx, task: u32) -> Option<&Binding> {
        let matches_task = |b: &&Binding| b.job == Some(job) && b.task.task == task;
        self.cluster.machines[ix.index()].bindings.iter().find(matches_task)
    }
}

fn update_most_free(type_room: &mut MachineTypeCapacity, free: &Resources) {
    if from_milli(free.cpu) >= type_room.max_free_cpus {
        type_room.max_free_cpus = from_milli(free.cpu);
        type_room.max_free_gpus = from_milli(free.gpu);
        type_room.max_free_memory_gb = from_milli(free.mem);
    }
}

fn no_machine_reason(work: &JobState, counts: &BlockerCounts) -> StateReason {
    let need = &work.spec.task_resources;
    StateReason::NoEligibleMachine {
        requested_cpus: from_milli(need.cpu),
        requested_gpus: from_milli(need.gpu),
        requested_memory_gb: from_milli(need.mem),
        machines: counts.up,
        wrong_machine_type: counts.wrong_type,
        wrong_zone: counts.wrong_zone,
        spot_not_allowed: counts.wrong_spot,
        too_small: counts.too_small,
    }
}

fn no_room_reason(work: &JobState, counts: &BlockerCounts) -> StateReason {
    let need = &work.spec.task_resources;
    StateReason::InsufficientCapacity {
        requested_cpus: from_milli(need.cpu),
        requested_gpus: from_milli(need.gpu),
        requested_memory_gb: from_milli(need.mem),
        machine_types: counts.machine_types.values().cloned().collect(),
    }
}
