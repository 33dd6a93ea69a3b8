//! Operators of a run: they change team limits at planned times and wait until each change is in force. Decides; no I/O.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use olivelatch::protocol::config::{ChangeRequest, EntryView, TeamValue};
use olivelatch_net::http::Response;
use olivelatch_region::TeamPlan;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::figures::{ChangeFigures, Times};
use crate::plan::ChangesPlan;

/// A change is in force everywhere within this, by the operators' word.
const AIM_MS: u64 = 3_000;
const PATIENCE_MS: u64 = 4_000;
const RETRY_MS: u64 = 200;
/// Least part of its platform limit that a team's limit is lowered to.
const LEAST_PART: f64 = 0.9;

/// A change on its way.
struct Change {
    series: String,
    team: usize,
    request: ChangeRequest,
    asked_at: u64,
    next: Option<u64>,
    version: Option<u64>,
    /// Requests so far: each goes to another controller.
    tries: usize,
    over: bool,
}

/// A request that goes out now.
pub struct ChangeCall {
    pub change: usize,
    /// The controller to ask is this one of all in turn.
    pub controller: usize,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub until_ms: u64,
}

/// What was measured of a series.
#[derive(Default)]
struct Series {
    asked: u64,
    failed: u64,
    first_failure: Option<String>,
    late: u64,
    set: Times,
    in_force: Times,
}

/// All changes of a run.
pub struct Changes {
    plans: IndexMap<String, ChangesPlan>,
    teams: Vec<TeamPlan>,
    /// When each series comes next, from the begin of the load.
    next_ms: Vec<f64>,
    changes: Vec<Change>,
    series: BTreeMap<String, Series>,
    random: StdRng,
}

impl Changes {
    pub fn new(plans: &IndexMap<String, ChangesPlan>, teams: Vec<TeamPlan>, seed: u64) -> Changes {
        Changes {
            next_ms: plans.values().map(|plan| plan.from_s * 1000.0).collect(),
            plans: plans.clone(),
            teams,
            changes: Vec::new(),
            series: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Requests that are due; `load_ms`: the time since the begin of the load.
    pub fn due(&mut self, now: u64, load_ms: u64) -> Vec<ChangeCall> {
        for at in 0..self.plans.len() {
            let Some((name, plan)) =
                self.plans.get_index(at).map(|(name, plan)| (name.clone(), plan.clone()))
            else {
                continue;
            };
            while self.next_ms[at] <= load_ms as f64 && self.next_ms[at] < plan.to_s * 1000.0 {
                self.next_ms[at] += plan.every_s * 1000.0;
                (0..plan.burst).for_each(|_| self.ask(&name, now));
            }
        }
        let due: Vec<usize> = (0..self.changes.len())
            .filter(|at| self.changes[*at].next.is_some_and(|next| next <= now))
            .collect();
        due.into_iter().map(|at| self.call(at, now)).collect()
    }

    fn ask(&mut self, series: &str, now: u64) {
        let team = self.random.random_range(0..self.teams.len());
        let part = self.random.random_range(LEAST_PART..=1.0);
        let limit_cpus = (self.teams[team].limit * part).floor();
        let request = ChangeRequest {
            value: TeamValue { limit_cpus: Some(limit_cpus), guaranteed_cpus: None },
            expected: None,
            by: "scale run".into(),
            why: series.into(),
            change: format!("{:032x}", self.random.random::<u128>()),
        };
        self.series.entry(series.into()).or_default().asked += 1;
        self.changes.push(Change {
            series: series.into(),
            team,
            request,
            asked_at: now,
            next: Some(now),
            version: None,
            tries: 0,
            over: false,
        });
    }

    fn call(&mut self, at: usize, now: u64) -> ChangeCall {
        let change = &mut self.changes[at];
        change.next = None;
        change.tries += 1;
        let controller = at + change.tries;
        let entry = format!("/v1/config/team/{}", self.teams[change.team].name);
        let until_ms = now + PATIENCE_MS;
        match change.version {
            Some(version) => {
                let path = format!("{entry}?version={version}");
                ChangeCall { change: at, controller, method: "GET", path, body: Vec::new(), until_ms }
            }
            None => {
                let body = serde_json::to_vec(&change.request).unwrap_or_default();
                ChangeCall { change: at, controller, method: "PUT", path: entry, body, until_ms }
            }
        }
    }

    /// An answer, or none.
    pub fn answered(&mut self, at: usize, response: Option<&Response>, now: u64) {
        let change = &mut self.changes[at];
        let series = self.series.entry(change.series.clone()).or_default();
        let status = response.map_or(0, |response| response.status);
        if (400..500).contains(&status) && status != 429 {
            change.over = true;
            series.failed += 1;
            let body = response.map(|response| String::from_utf8_lossy(&response.body).into_owned());
            series.first_failure = series.first_failure.take().or(body);
            return;
        }
        let view: Option<EntryView> = response
            .filter(|_| status == 200)
            .and_then(|response| serde_json::from_slice(&response.body).ok());
        let Some(view) = view else {
            let wait_s = response.and_then(|response| response.retry_after_s).unwrap_or(0);
            change.next = Some(now + RETRY_MS.max(u64::from(wait_s) * 1000));
            return;
        };
        let took = now.saturating_sub(change.asked_at);
        if change.version.is_none() {
            change.version = Some(view.version);
            series.set.record(took);
        }
        if !view.in_force {
            change.next = Some(now);
            return;
        }
        change.over = true;
        series.in_force.record(took);
        series.late += u64::from(took > AIM_MS);
    }

    /// Changes that are not in force yet.
    pub fn open(&self) -> usize {
        self.changes.iter().filter(|change| !change.over).count()
    }

    pub fn figures(&self) -> BTreeMap<String, ChangeFigures> {
        let one = |(name, series): (&String, &Series)| {
            let figures = ChangeFigures {
                asked: series.asked,
                failed: series.failed,
                first_failure: series.first_failure.clone(),
                set: series.set.wait(),
                in_force: series.in_force.wait(),
                late: series.late,
            };
            (name.clone(), figures)
        };
        self.series.iter().map(one).collect()
    }
}
