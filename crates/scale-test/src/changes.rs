//! The simulated operators of a run, who change team limits at planned times and poll until each change is in
//! force. Decides which requests to send; does no I/O and reads no clock.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use olivelatch::protocol::config::{ConfigChangeRequest, ConfigEntryView, TeamQuota};
use olivelatch_local_cluster::TeamSettings;
use olivelatch_net::http::Response;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::measurements::{ChangeSeriesReport, LatencyHistogram};
use crate::plan::ChangeSeriesPlan;

/// The operators' objective: a change is in force everywhere within this time.
const IN_FORCE_OBJECTIVE_MS: u64 = 3_000;
/// HTTP status of a request that exceeded a rate limit; the request is retried.
const TOO_MANY_REQUESTS: u16 = 429;
const REQUEST_TIMEOUT_MS: u64 = 4_000;
const RETRY_MS: u64 = 200;
/// A change sets a team's limit to at least this fraction of its limit in the plan.
const MIN_LIMIT_SHARE: f64 = 0.9;

/// A change that was requested. Times are in milliseconds of the run.
struct ConfigChange {
    /// Name of the series in the plan.
    series_name: String,
    team: usize,
    request: ConfigChangeRequest,
    requested_at: u64,
    /// Time at which the next request is due; `None` while one is in flight and after the last one.
    next_request_at: Option<u64>,
    /// Version of the configuration entry that contains the change, once the change is accepted.
    version: Option<u64>,
    /// Number of requests sent so far; each goes to the next controller in turn.
    requests_sent: usize,
    finished: bool,
}

/// A request of an operator that is due.
pub struct ChangeRequestToSend {
    /// Index of the change.
    pub change: usize,
    /// Index of the controller to send to; the caller takes it modulo the number of controllers.
    pub controller: usize,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query of the URL.
    pub path: String,
    /// JSON body, or empty.
    pub body: Vec<u8>,
    /// Time of the run at which the request times out and is retried.
    pub deadline_ms: u64,
}

/// Measurements of one series of changes.
#[derive(Default)]
struct SeriesMeasurements {
    requested: u64,
    failed: u64,
    first_failure: Option<String>,
    past_objective: u64,
    accept_times: LatencyHistogram,
    in_force_times: LatencyHistogram,
}

/// All configuration changes of a run.
pub struct ConfigChanges {
    series_plans: IndexMap<String, ChangeSeriesPlan>,
    teams: Vec<TeamSettings>,
    /// Time of the next burst of each series, in milliseconds from the beginning of the load.
    next_burst_ms: Vec<f64>,
    changes: Vec<ConfigChange>,
    measurements_by_series: BTreeMap<String, SeriesMeasurements>,
    rng: StdRng,
}

impl ConfigChanges {
    /// Creates the series of the plan, without changes yet.
    pub fn new(
        plans: &IndexMap<String, ChangeSeriesPlan>,
        teams: Vec<TeamSettings>,
        seed: u64,
    ) -> ConfigChanges {
        ConfigChanges {
            next_burst_ms: plans.values().map(|plan| plan.from_s * 1000.0).collect(),
            series_plans: plans.clone(),
            teams,
            changes: Vec::new(),
            measurements_by_series: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the requests that are due. `load_ms` is the time since the beginning of the load.
    pub fn due_requests(&mut self, now: u64, load_ms: u64) -> Vec<ChangeRequestToSend> {
        for index in 0..self.series_plans.len() {
            let Some((name, plan)) =
                self.series_plans.get_index(index).map(|(name, plan)| (name.clone(), plan.clone()))
            else {
                continue;
            };
            while self.next_burst_ms[index] <= load_ms as f64
                && self.next_burst_ms[index] < plan.to_s * 1000.0
            {
                self.next_burst_ms[index] += plan.every_s * 1000.0;
                (0..plan.burst).for_each(|_| self.start_change(&name, now));
            }
        }
        let due: Vec<usize> = (0..self.changes.len())
            .filter(|index| self.changes[*index].next_request_at.is_some_and(|next| next <= now))
            .collect();
        due.into_iter().map(|index| self.next_request(index, now)).collect()
    }

    fn start_change(&mut self, series_name: &str, now: u64) {
        let team = self.rng.random_range(0..self.teams.len());
        let limit_share = self.rng.random_range(MIN_LIMIT_SHARE..=1.0);
        let limit_cpus = (self.teams[team].limit * limit_share).floor();
        let request = ConfigChangeRequest {
            quota: TeamQuota { limit_cpus: Some(limit_cpus), guaranteed_cpus: None },
            expected_version: None,
            changed_by: "scale run".into(),
            reason: series_name.into(),
            change_id: format!("{:032x}", self.rng.random::<u128>()),
        };
        self.measurements_by_series.entry(series_name.into()).or_default().requested += 1;
        self.changes.push(ConfigChange {
            series_name: series_name.into(),
            team,
            request,
            requested_at: now,
            next_request_at: Some(now),
            version: None,
            requests_sent: 0,
            finished: false,
        });
    }

    /// Returns the request that makes the change, or, once the change is accepted, a request that asks whether
    /// it is in force.
    fn next_request(&mut self, index: usize, now: u64) -> ChangeRequestToSend {
        let change = &mut self.changes[index];
        change.next_request_at = None;
        change.requests_sent += 1;
        let controller = index + change.requests_sent;
        let entry = format!("/v1/config/team/{}", self.teams[change.team].name);
        let (method, path, body) = match change.version {
            Some(version) => ("GET", format!("{entry}?version={version}"), Vec::new()),
            None => ("PUT", entry, serde_json::to_vec(&change.request).unwrap_or_default()),
        };
        let deadline_ms = now + REQUEST_TIMEOUT_MS;
        ChangeRequestToSend { change: index, controller, method, path, body, deadline_ms }
    }

    /// Handles the response to a request of a change; `None` when the request failed or timed out.
    pub fn handle_response(&mut self, index: usize, response: Option<&Response>, now: u64) {
        let change = &mut self.changes[index];
        let series = self.measurements_by_series.entry(change.series_name.clone()).or_default();
        let status = response.map_or(0, |response| response.status);
        if (400..500).contains(&status) && status != TOO_MANY_REQUESTS {
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
            change.next_request_at = Some(now + RETRY_MS.max(u64::from(wait_s) * 1000));
            return;
        };
        let elapsed_ms = now.saturating_sub(change.requested_at);
        if change.version.is_none() {
            change.version = Some(view.version);
            series.accept_times.record(elapsed_ms);
        }
        if !view.is_effective {
            change.next_request_at = Some(now);
            return;
        }
        change.finished = true;
        series.in_force_times.record(elapsed_ms);
        series.past_objective += u64::from(elapsed_ms > IN_FORCE_OBJECTIVE_MS);
    }

    /// Returns the number of changes that are neither in force nor refused.
    pub fn unfinished(&self) -> usize {
        self.changes.iter().filter(|change| !change.finished).count()
    }

    /// Returns the measurements by the name of the series in the plan.
    pub fn measurements(&self) -> BTreeMap<String, ChangeSeriesReport> {
        let summarize = |(name, series): (&String, &SeriesMeasurements)| {
            let report = ChangeSeriesReport {
                requested: series.requested,
                failed: series.failed,
                first_failure: series.first_failure.clone(),
                acceptance_latency: series.accept_times.summary(),
                in_force_latency: series.in_force_times.summary(),
                past_objective: series.past_objective,
            };
            (name.clone(), report)
        };
        self.measurements_by_series.iter().map(summarize).collect()
    }
}
