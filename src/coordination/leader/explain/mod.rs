//! Why a job's tasks are where they are: the rules of [placement](super::placement), counted instead of acted upon.
//!
//! Reads the leader's state and changes nothing.

mod limits;
mod machine_counts;
mod placed;
mod provisioning;

use machine_counts::MachineCounts;
use placed::PlacedCounts;

use super::placement::gang_search::GangSearch;
use super::placement::gangs::PlacementMethod;
use super::{JobState, Leader};
use crate::bookkeeping::jobs::NameRegistry;
use crate::coordination::Clock;
use crate::ids::{JobIx, MachineIx, from_milli};
use crate::protocol::operators::StateReason;

/// Jobs and machines named in one reason.
const MAX_NAMES: usize = 5;

impl Leader {
    /// The reasons, each with its figures; those of one task if one is given.
    pub(in crate::coordination) fn explain(
        &self,
        job_ix: JobIx,
        task: Option<u32>,
        names: &NameRegistry,
        clock: Clock,
    ) -> Vec<StateReason> {
        let Some(job) = self.workload.jobs.get(&job_ix) else {
            return vec![StateReason::PersistingResult];
        };
        let is_finished = |task| job.finished.contains(task);
        if job.finishing || job.finished.is_full() || task.is_some_and(is_finished) {
            return vec![StateReason::PersistingResult];
        }
        Explanation { leader: self, job_ix, job, task, names, clock }.reasons()
    }
}

/// An explanation in the making: the job and what is needed to explain it.
struct Explanation<'a> {
    leader: &'a Leader,
    job_ix: JobIx,
    job: &'a JobState,
    /// The task that is asked about; None is all of them.
    task: Option<u32>,
    names: &'a NameRegistry,
    clock: Clock,
}

/// Tasks that wait before they are retried.
struct RetryDelays {
    tasks: u32,
    /// Until the first of them is retried, in milliseconds.
    first_in_ms: u64,
}

impl Explanation<'_> {
    fn reasons(&self) -> Vec<StateReason> {
        let mut reasons = PlacedCounts::of(self).reasons(self);
        let delays = self.retry_delays();
        if delays.tasks > 0 {
            reasons.push(StateReason::RetryWait {
                tasks: delays.tasks,
                retry_in_s: from_milli(delays.first_in_ms),
                failed_on: self.failed_machine_names(),
            });
        }
        if self.unplaced_count() > u64::from(delays.tasks) {
            self.add_waiting_reasons(&mut reasons);
        }
        reasons
    }

    fn concerns(&self, task: u32) -> bool {
        self.task.is_none_or(|asked| asked == task)
    }

    /// Tasks in question that are on no machine.
    fn unplaced_count(&self) -> u64 {
        let is_unplaced = |task: &u32| self.concerns(*task) && !self.job.placements.contains_key(task);
        self.job.finished.iter_missing().filter(is_unplaced).count() as u64
    }

    fn retry_delays(&self) -> RetryDelays {
        if let Some(probation) = self.job.probation {
            // One task is tried at a time, the others wait for its result.
            let queued = u64::from(probation.queued);
            return RetryDelays {
                tasks: self.unplaced_count().saturating_sub(queued) as u32,
                first_in_ms: probation.next_attempt_at.saturating_since(self.clock.now),
            };
        }
        let mut delays = RetryDelays { tasks: 0, first_in_ms: 0 };
        for (retry_at, tasks) in &self.leader.workload.retry_queue {
            let is_asked = |(job_ix, task): &&(JobIx, u32)| *job_ix == self.job_ix && self.concerns(*task);
            let matching = tasks.iter().filter(is_asked).count() as u32;
            if delays.tasks == 0 && matching > 0 {
                delays.first_in_ms = retry_at.saturating_since(self.clock.now);
            }
            delays.tasks += matching;
        }
        delays
    }

    fn failed_machine_names(&self) -> Vec<String> {
        let mut failed: Vec<MachineIx> = self.job.failed_on.iter().copied().collect();
        failed.sort();
        let machines = &self.leader.cluster.machines;
        failed.iter().take(MAX_NAMES).map(|ix| machines[ix.index()].name.clone()).collect()
    }

    /// Why tasks are on no machine.
    fn add_waiting_reasons(&self, reasons: &mut Vec<StateReason>) {
        let counts = MachineCounts::of(self);
        let is_team_limited = self.is_team_limited();
        if is_team_limited {
            reasons.extend(self.team_limit_reason());
        }
        let pool_full = self.pool_full_reason();
        let is_limited = is_team_limited || pool_full.is_some();
        reasons.extend(pool_full);
        if counts.machine_types.is_empty() {
            reasons.push(counts.no_machine_reason(self.job));
        } else if self.job.spec.is_all_or_nothing() {
            self.add_gang_reasons(is_limited, &counts, reasons);
        } else if counts.usable == 0 {
            reasons.push(counts.no_room_reason(self.job));
        } else if !is_limited {
            reasons.push(StateReason::Schedulable { machines: counts.usable });
        }
        reasons.extend(self.held_reason(&counts));
        reasons.extend(self.behind_reason());
        self.add_provisioning_reasons(counts.booting, reasons);
    }

    fn add_gang_reasons(&self, is_limited: bool, counts: &MachineCounts, reasons: &mut Vec<StateReason>) {
        let required = self.job.unplaced_tasks().len();
        let search = GangSearch {
            job_ix: self.job_ix,
            job: self.job,
            count: required,
            method: PlacementMethod::Free,
            clock: self.clock,
        };
        let (schedulable, zone) = self
            .leader
            .gang_zones(self.job)
            .into_iter()
            .map(|zone| (self.leader.find_partial_placement(&search, zone).machines.len(), zone))
            .max_by_key(|(schedulable, _)| *schedulable)
            .unwrap_or((0, None));
        if schedulable < required {
            reasons.push(StateReason::GangInsufficientCapacity {
                required: required as u32,
                schedulable: schedulable as u32,
                zone: zone.map(|zone| self.names.zones.name_or_unknown(zone.index()).into()),
            });
            reasons.push(counts.no_room_reason(self.job));
        } else if !is_limited {
            reasons.push(StateReason::Schedulable { machines: schedulable as u32 });
        }
    }

    fn held_reason(&self, counts: &MachineCounts) -> Option<StateReason> {
        let holders = counts.holders.iter().filter_map(|job_ix| self.leader.workload.jobs.get(job_ix));
        (counts.held > 0).then(|| StateReason::HeldForGang {
            machines: counts.held,
            gangs: holders.take(MAX_NAMES).map(|job| job.spec.id.to_string()).collect(),
        })
    }
}
