//! Explains to operators why a job is in its state: applies the rules of [placement](super::placement) to all machines
//! and counts the results, without placing anything.
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

/// Maximum number of jobs or machines that one reason names.
const MAX_NAMES: usize = 5;

impl Leader {
    /// Returns the reasons for the state of a job, or of one of its tasks if `task` is given.
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

/// The job to explain and the data that the explanation is derived from.
struct Explanation<'a> {
    leader: &'a Leader,
    job_ix: JobIx,
    job: &'a JobState,
    /// The task to explain; `None` selects all tasks of the job.
    task: Option<u32>,
    names: &'a NameRegistry,
    clock: Clock,
}

/// Tasks that wait for their retry backoff.
struct RetryDelays {
    tasks: u32,
    /// Time until the first of them is retried, in milliseconds.
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

    /// Whether the explanation covers the task.
    fn covers(&self, task: u32) -> bool {
        self.task.is_none_or(|selected| selected == task)
    }

    /// Returns the number of covered tasks that are neither finished nor on a machine.
    fn unplaced_count(&self) -> u64 {
        let is_unplaced = |task: &u32| self.covers(*task) && !self.job.placements.contains_key(task);
        self.job.finished.iter_missing().filter(is_unplaced).count() as u64
    }

    fn retry_delays(&self) -> RetryDelays {
        if let Some(probation) = self.job.probation {
            // One task is attempted at a time; the others wait for its result.
            let queued = u64::from(probation.queued);
            return RetryDelays {
                tasks: self.unplaced_count().saturating_sub(queued) as u32,
                first_in_ms: probation.next_attempt_at.saturating_since(self.clock.now),
            };
        }
        let mut delays = RetryDelays { tasks: 0, first_in_ms: 0 };
        for (retry_at, tasks) in &self.leader.workload.retry_queue {
            let is_selected = |(job_ix, task): &&(JobIx, u32)| *job_ix == self.job_ix && self.covers(*task);
            let matching = tasks.iter().filter(is_selected).count() as u32;
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

    /// Adds the reasons why unfinished tasks are on no machine.
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
            reasons.push(counts.no_eligible_machine_reason(self.job));
        } else if self.job.spec.is_all_or_nothing() {
            self.add_gang_reasons(is_limited, &counts, reasons);
        } else if counts.usable == 0 {
            reasons.push(counts.insufficient_capacity_reason(self.job));
        } else if !is_limited {
            reasons.push(StateReason::Schedulable { machines: counts.usable });
        }
        reasons.extend(self.held_for_gang_reason(&counts));
        reasons.extend(self.queued_behind_reason());
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
            reasons.push(counts.insufficient_capacity_reason(self.job));
        } else if !is_limited {
            reasons.push(StateReason::Schedulable { machines: schedulable as u32 });
        }
    }

    fn held_for_gang_reason(&self, counts: &MachineCounts) -> Option<StateReason> {
        let holders = counts.holders.iter().filter_map(|job_ix| self.leader.workload.jobs.get(job_ix));
        (counts.held > 0).then(|| StateReason::HeldForGang {
            machines: counts.held,
            gangs: holders.take(MAX_NAMES).map(|job| job.spec.id.to_string()).collect(),
        })
    }
}
