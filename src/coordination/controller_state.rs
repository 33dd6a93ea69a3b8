//! The state that a controller's decisions are based on: the cached records, its settings, how far the other
//! controllers have read, and the leader's state while this controller leads. Performs no I/O and reads no
//! clock.

use std::sync::Arc;

use super::Clock;
use super::leader::Leader;
use super::read_watermarks::ReadWatermarks;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::JobId;
use crate::settings::Settings;
use crate::tunables::Tunables;

/// The state that all request handlers of a controller base their decisions on.
pub struct ControllerState {
    pub(super) settings: Arc<Settings>,
    pub(super) tunables: Arc<Tunables>,
    pub(super) cache: StoreCache,
    pub(super) watermarks: ReadWatermarks,
    /// Present while this controller leads.
    pub(super) leader: Option<Leader>,
}

impl ControllerState {
    pub(super) fn new(settings: Settings, tunables: Tunables, peer_names: &[String]) -> ControllerState {
        ControllerState {
            settings: Arc::new(settings),
            tunables: Arc::new(tunables),
            cache: StoreCache::default(),
            watermarks: ReadWatermarks::new(peer_names),
            leader: None,
        }
    }

    pub(super) fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the controller that leads according to the cached records.
    pub(super) fn known_leader(&self) -> Option<&str> {
        self.cache.leader.as_ref().map(|leader| leader.controller.as_str())
    }

    /// Returns whether a job's terminal state may be reported because no controller can still report an older
    /// one.
    pub(super) fn is_stable(&self, id: JobId, clock: Clock) -> bool {
        self.watermarks.is_stable(id, clock.now, self.cache.revision, self.cache.leader.as_ref())
    }

    /// Returns how many tasks of a job are running, for display.
    pub(super) fn running_task_count(&self, id: JobId) -> u32 {
        match self.leader.as_ref().zip(self.cache.find(id)) {
            Some((leader, ix)) => leader.workload.jobs.get(&ix).map_or(0, |job| job.placements.len() as u32),
            None => self.cache.recorded_running_tasks(id),
        }
    }

    /// Returns a function that gives [`running_task_count`](Self::running_task_count) for many jobs: a
    /// follower collects the counts from its cache once for all of them.
    pub(super) fn running_task_counts(&self) -> impl Fn(JobId) -> u32 + '_ {
        let recorded =
            if self.is_leader() { Default::default() } else { self.cache.recorded_running_by_job() };
        move |id| match &self.leader {
            Some(_) => self.running_task_count(id),
            None => recorded.get(&id).copied().unwrap_or(0),
        }
    }

    /// Returns the CPUs of a team's tasks, in thousandths of a CPU: on the leader those in use according to
    /// its state, on a follower those that the records allow to be in use.
    pub(super) fn team_cpu_usage(&self, team: &str) -> u64 {
        let Some(team) = self.cache.names.teams.find(team) else { return 0 };
        if let Some(leader) = &self.leader {
            return leader.quotas.usage.get(&team).map_or(0, |used| used.cpu);
        }
        self.cache
            .live_jobs()
            .filter(|(_, job)| job.spec.team == team)
            .map(|(_, job)| {
                job.spec.task_resources.cpu * u64::from(self.cache.recorded_running_tasks(job.spec.id))
            })
            .sum()
    }
}
