//! Job counters per team and class, as they appear in the log and in the status.

use super::Controller;
use crate::bookkeeping::job_counters::JobCounters;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::ids::Millis;
use crate::protocol::operators::JobCountersView;

/// Interval at which changed counters are logged, in milliseconds.
const LOG_INTERVAL_MS: u64 = 30_000;
/// Name of the row that sums all teams and classes without a row of their own.
const OTHERS: &str = "others";

/// Logs the counters that have changed since they were last logged.
#[derive(Debug)]
pub(super) struct JobCountersLog {
    next_at: Millis,
    logged: Vec<JobCounters>,
}

impl JobCountersLog {
    pub fn new(now: Millis) -> JobCountersLog {
        JobCountersLog { next_at: now, logged: Vec::new() }
    }

    fn log_changes(&mut self, now: Millis, cache: &StoreCache) {
        if now < self.next_at {
            return;
        }
        self.next_at = now.saturating_add(LOG_INTERVAL_MS);
        let counters: Vec<JobCounters> = cache.job_counters.rows().map(|(_, counters)| counters).collect();
        for (index, view) in job_counter_views(cache).iter().enumerate() {
            if self.logged.get(index) != counters.get(index) {
                log::info!(
                    event = "job_counters", team = view.team.as_str(), class = view.class.as_str();
                    "job counters {}/{}: accepted {}, started {}, done {}, cancelled {}, completions reported here {}",
                    view.team, view.class, view.accepted, view.started, view.done, view.cancelled, view.completions_reported
                );
            }
        }
        self.logged = counters;
    }
}

impl Controller {
    /// Logs one line for each team and class whose counters have changed, if the interval has passed.
    pub(super) fn log_job_counters(&mut self, clock: Clock) {
        if self.kv_client.loaded {
            self.counters_log.log_changes(clock.now, &self.state.cache);
        }
    }
}

/// Returns the counters of each team and class as shown in the status.
pub(super) fn job_counter_views(cache: &StoreCache) -> Vec<JobCountersView> {
    let names = &cache.names;
    let rows = cache.job_counters.rows();
    rows.map(|(team_and_class, counters)| {
        let (team, class) = team_and_class.map_or((OTHERS, OTHERS), |(team, class)| {
            (names.teams.name_or_unknown(team.index()), names.classes.name_or_unknown(class.index()))
        });
        JobCountersView {
            team: team.into(),
            class: class.into(),
            accepted: counters.accepted,
            started: counters.started,
            done: counters.done,
            cancelled: counters.cancelled,
            completions_reported: counters.notified,
        }
    })
    .collect()
}
