//! Operators of a run: they change team limits at planned times and wait until each change is in force. Decides; no I/O.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use olivelatch::protocol::config::{ConfigChangeRequest, ConfigEntryView, TeamQuota};
use olivelatch_local_cluster::TeamSettings;
use olivelatch_net::http::Response;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::measurements::{ConfigChangeLatency, LatencyHistogram};
use crate::plan::ChangesPlan;

/// A change is in force everywhere within this, by the operators' word.
const OBJECTIVE_MS: u64 = 3_000;
const REQUEST_TIMEOUT_MS: u64 = 4_000;
const RETRY_MS: u64 = 200;
/// Least part of its platform limit that a team's limit is lowered to.
const MIN_LIMIT_SHARE: f64 = 0.9;

/// A change on its way.
struct ConfigChange {
    series: String,
    team: usize,
    request: ConfigChangeRequest,
    requested_at: u64,
    next_attempt: Option<u64>,
    version: Option<u64>,
    /// Requests so far: each goes to another controller.
    attempts: usize,
    finished: bool,
}

/// A request that goes out now.
pub struct ChangeRequestToSend {
    pub change: usize,
    /// The controller to ask is this one of all in turn.
    pub controller: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

/// What was measured of a series.
#[derive(Default)]
struct SeriesMeasurements {
    requested: u64,
    failed: u64,
    first_failure: Option<String>,
    past_objective: u64,
    accept_times: LatencyHistogram,
    in_force_times: LatencyHistogram,
}

/// All changes of a run.
pub struct ConfigChanges {
    plans: IndexMap<String, ChangesPlan>,
    teams: Vec<TeamSettings>,
    /// When each series comes next, from the begin of the load.
    next_ms: Vec<f64>,
    changes: Vec<ConfigChange>,
    series: BTreeMap<String, SeriesMeasurements>,
    rng: StdRng,
}

impl ConfigChanges {
    pub fn new(plans: &IndexMap<String, ChangesPlan>, teams: Vec<TeamSettings>, seed: u64) -> ConfigChanges {
        ConfigChanges {
            next_ms: plans.values().map(|plan| plan.from_s * 1000.0).collect(),
            plans: plans.clone(),
            teams,
            changes: Vec::new(),
            series: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Requests that are due; `load_ms`: the time since the begin of the load.
    pub fn due_requests(&mut self, now: u64, load_ms: u64) -> Vec<ChangeRequestToSend> {
        for at in 0..self.plans.len() {
            let Some((name, plan)) =
                self.plans.get_index(at).map(|(name, plan)| (name.clone(), plan.clone()))
            else {
                continue;
            };
            while self.next_ms[at] <= load_ms as f64 && self.next_ms[at] < plan.to_s * 1000.0 {
                self.next_ms[at] += plan.every_s * 1000.0;
                (0..plan.burst).for_each(|_| self.start_change(&name, now));
            }
        }
        let due: Vec<usize> = (0..self.changes.len())
            .filter(|at| self.changes[*at].next_attempt.is_some_and(|next| next <= now))
            .collect();
        due.into_iter().map(|at| self.next_request(at, now)).collect()
    }

    fn start_change(&mut self, series: &str, now: u64) {
        let team = self.rng.random_range(0..self.teams.len());
        let part = self.rng.random_range(MIN_LIMIT_SHARE..=1.0);
        let limit_cpus = (self.teams[team].limit * part).floor();
        let request = ConfigChangeRequest {
            quota: TeamQuota { limit_cpus: Some(limit_cpus), guaranteed_cpus: None },
            expected_version: None,
            changed_by: "scale run".into(),
            reason: series.into(),
            change_id: format!("{:032x}", self.rng.random::<u128>()),
        };
        self.series.entry(series.into()).or_default().requested += 1;
        self.changes.push(ConfigChange {
            series: series.into(),
            team,
            request,
            requested_at: now,
            next_attempt: Some(now),
            version: None,
            attempts: 0,
            finished: false,
        });
    }

    fn next_request(&mut self, at: usize, now: u64) -> ChangeRequestToSend {
        let change = &mut self.changes[at];
        change.next_attempt = None;
        change.attempts += 1;
        let controller = at + change.attempts;
        let entry = format!("/v1/config/team/{}", self.teams[change.team].name);
        let until_ms = now + REQUEST_TIMEOUT_MS;
        match change.version {
            Some(version) => {
                let path = format!("{entry}?version={version}");
                ChangeRequestToSend {
                    change: at,
                    controller,
                    method: "GET",
                    path,
                    body: Vec::new(),
                    deadline_ms: until_ms,
                }
            }
            None => {
                let body = serde_json::to_vec(&change.request).unwrap_or_default();
                ChangeRequestToSend {
                    change: at,
                    controller,
                    method: "PUT",
                    path: entry,
                    body,
                    deadline_ms: until_ms,
                }
            }
        }
    }

    /// An answer, or none.
    pub fn handle_response(&mut self, at: usize, response: Option<&Response>, now: u64) {
        let change = &mut self.changes[at];
        let series = self.series.entry(change.series.clone()).or_default();
        let status = response.map_or(0, |response| response.status);
        if (400..500).contains(&status) && status != 429 {
            change.finished = true;
            series.failed += 1;
            let body = response.map(|response| String::from_utf8_lossy(&response.body).into_owned());
            series.first_failure = series.first_failure.take().or(body);
            return;
        }
        let view: Option<ConfigEntryView> = response
            .filter(|_| status == 200)
            .and_then(|response| serde_json::from_slice(&response.body).ok());
        let Some(view) = view else {
            let wait_s = response.and_then(|response| response.retry_after_s).unwrap_or(0);
            change.next_attempt = Some(now + RETRY_MS.max(u64::from(wait_s) * 1000));
            return;
        };
        let took = now.saturating_sub(change.requested_at);
        if change.version.is_none() {
            change.version = Some(view.version);
            series.accept_times.record(took);
        }
        if !view.is_effective {
            change.next_attempt = Some(now);
            return;
        }
        change.finished = true;
        series.in_force_times.record(took);
        series.past_objective += u64::from(took > OBJECTIVE_MS);
    }

    /// Changes that are not in force yet.
    pub fn unfinished(&self) -> usize {
        self.changes.iter().filter(|change| !change.finished).count()
    }

    pub fn measurements(&self) -> BTreeMap<String, ConfigChangeLatency> {
        let one = |(name, series): (&String, &SeriesMeasurements)| {
            let figures = ConfigChangeLatency {
                requested: series.requested,
                failed: series.failed,
                first_failure: series.first_failure.clone(),
                acceptance_latency: series.accept_times.summary(),
                in_force_latency: series.in_force_times.summary(),
                past_objective: series.past_objective,
            };
            (name.clone(), figures)
        };
        self.series.iter().map(one).collect()
    }
}
