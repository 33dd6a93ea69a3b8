//! Jobs by class and team, in the log and in the status.

use super::Controller;
use crate::bookkeeping::job_counters::JobCounters;
use crate::coordination::Clock;
use crate::ids::{ClassIx, TeamIx};
use crate::protocol::operators::JobCountersView;

/// How often accounts that changed are shown in the log.
const LOG_INTERVAL_MS: u64 = 30_000;

impl Controller {
    /// A line for each party whose account changed.
    pub(super) fn log_job_counters(&mut self, clock: Clock) {
        if clock.now < self.next_counters_log_at || !self.kv_client.loaded {
            return;
        }
        self.next_counters_log_at = clock.now.saturating_add(LOG_INTERVAL_MS);
        let rows: Vec<JobCounters> = self.cache.job_counters.rows().map(|(_, account)| account).collect();
        for (view, (row, at)) in self.job_counter_views().iter().zip(rows.iter().zip(0..)) {
            if self.logged_counters.get(at) != Some(row) {
                log::info!(
                    event = "account", team = view.team.as_str(), class = view.class.as_str();
                    "account {}/{}: accepted {}, started {}, done {}, withdrawn {}, told here {}",
                    view.team, view.class, view.accepted, view.started, view.done, view.cancelled, view.completions_reported
                );
            }
        }
        self.logged_counters = rows;
    }

    /// What the status tells of each party.
    pub(super) fn job_counter_views(&self) -> Vec<JobCountersView> {
        let names = &self.cache.names;
        let view = |(party, account): (Option<(TeamIx, ClassIx)>, JobCounters)| {
            let name = party.map(|(team, class)| {
                (names.teams.name_or_unknown(team.index()), names.classes.name_or_unknown(class.index()))
            });
            let (team, class) = name.unwrap_or(("others", "others"));
            JobCountersView {
                team: team.into(),
                class: class.into(),
                accepted: account.accepted,
                started: account.started,
                done: account.done,
                cancelled: account.cancelled,
                completions_reported: account.notified,
            }
        };
        self.cache.job_counters.rows().map(view).collect()
    }
}
