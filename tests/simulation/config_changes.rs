//! Config changes: operators request them, repeat the requests, and poll until the changes are in force. Checks at
//! every step that no leader starts tasks above a limit in force.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch::coordination::Event;
use olivelatch::coordination::controller::Controller;
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::config::{
    ConfigChangeRequest, ConfigEntryView, ConfigKey, ConfigRequest, TeamQuota,
};

use super::actions::{ActionResult, usage_error};
use super::{PendingRequest, SimulatedCluster, named_argument, numeric_argument};

const RETRY_MS: u64 = 300;

/// A change that an operator has requested.
struct ConfigChange {
    key: ConfigKey,
    request: ConfigChangeRequest,
    /// The only controller that the requests are sent to; `None` for any.
    only_controller: Option<String>,
    requested_at: u64,
    /// Time of the next request; `None` while one is in flight and once no more are needed.
    next_request_at: Option<u64>,
    /// The status of the final response to the change.
    status: Option<u16>,
    /// The version of the entry that the change created; `None` until it is known to be stored.
    version: Option<u64>,
    /// When the operator learned that the change is in force.
    in_force_at: Option<u64>,
    /// The entry as the last response showed it.
    view: Option<ConfigEntryView>,
}

/// A limit that was shown to be in force.
#[derive(Clone, Copy)]
struct ActiveLimit {
    version: u64,
    limit_cpus: f64,
}

#[derive(Default)]
pub struct ConfigChanges {
    pub enabled: bool,
    /// Controllers with config changes disabled, as in an earlier version.
    pub disabled_controllers: BTreeSet<String>,
    /// Changes by their names in the scenario.
    changes: BTreeMap<String, ConfigChange>,
    /// The newest limit that was shown to be in force, by team.
    active_limits: BTreeMap<String, ActiveLimit>,
    /// CPUs that each team used at the last check according to each leader, by the leader's index and incarnation and
    /// the team.
    last_usage: BTreeMap<(usize, u32, String), f64>,
}

impl ConfigChanges {
    /// Returns the highest limit that may apply to a team's task starts: the one in force, or that of a later change
    /// that a leader may already apply.
    fn highest_allowed(&self, team: &str) -> Option<f64> {
        let active = self.active_limits.get(team)?;
        let later = self.changes.values().filter(|change| {
            let may_be_stored = change.status.is_none_or(|status| status == 200);
            let newer = change.version.is_none_or(|version| version > active.version);
            change.key.team() == team && may_be_stored && newer
        });
        let later = later.map(|change| change.request.quota.limit_cpus.unwrap_or(f64::INFINITY));
        Some(later.fold(active.limit_cpus, f64::max))
    }
}

impl SimulatedCluster {
    /// Enables config changes at all controllers: [except NODE ...].
    pub fn enable_config(&mut self, words: &[&str]) -> ActionResult {
        let disabled = match words {
            [] => &[],
            ["except", nodes @ ..] => nodes,
            _ => return usage_error("[except NODE ...]"),
        };
        self.config_changes.enabled = true;
        self.config_changes.disabled_controllers = disabled.iter().map(|word| (*word).to_string()).collect();
        Ok(())
    }

    /// Requests a change: NAME TEAM [limit=] [guaranteed=] [expected_version=] [via=NODE]. Without values the entry is unset.
    pub fn set_config(&mut self, words: &[&str]) -> ActionResult {
        let [name, team, rest @ ..] = words else {
            return usage_error("NAME TEAM [limit=] [guaranteed=] [expected_version=] [via=]");
        };
        let key = ConfigKey::parse(&format!("team/{team}")).map_err(|error| error.to_string())?;
        let cpus = |field| named_argument(rest, field).map(|_| numeric_argument(rest, field, 0.0));
        let request = ConfigChangeRequest {
            quota: TeamQuota { limit_cpus: cpus("limit"), guaranteed_cpus: cpus("guaranteed") },
            expected_version: named_argument(rest, "expected_version").and_then(|text| text.parse().ok()),
            changed_by: "operator".into(),
            reason: String::new(),
            change_id: (*name).into(),
        };
        let change = ConfigChange {
            key,
            request,
            only_controller: named_argument(rest, "via").map(String::from),
            requested_at: self.now,
            next_request_at: Some(self.now),
            status: None,
            version: None,
            in_force_at: None,
            view: None,
        };
        self.config_changes.changes.insert((*name).into(), change);
        Ok(())
    }

    /// Sends the requests that are due, and checks the limits.
    pub fn step_config(&mut self) {
        if !self.config_changes.enabled {
            return;
        }
        let is_due = |change: &ConfigChange| change.next_request_at.is_some_and(|at| at <= self.now);
        let due: Vec<String> = self
            .config_changes
            .changes
            .iter()
            .filter(|(_, change)| is_due(change))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_config_request(&name);
        }
        self.check_limits();
    }

    fn send_config_request(&mut self, name: &str) {
        let Some(change) = self.config_changes.changes.get(name) else { return };
        let only_controller = change.only_controller.clone();
        let request = match change.version {
            Some(version) => ConfigRequest::Get { key: change.key.clone(), min_version: Some(version) },
            None => ConfigRequest::Set { key: change.key.clone(), change: change.request.clone() },
        };
        let controller = self.pick_controller(|cluster, index| {
            let slot = &cluster.controllers[index];
            let is_allowed = only_controller.as_ref().is_none_or(|name| *name == slot.name);
            let serves = slot.controller.as_ref().is_some_and(Controller::serves_config);
            is_allowed && serves && !cluster.is_cut(index, "users") && !slot.clock_fault.frozen
        });
        let now = self.now;
        if let Some(change) = self.config_changes.changes.get_mut(name) {
            change.next_request_at = controller.is_none().then_some(now + RETRY_MS);
        }
        if let Some(controller) = controller {
            let inbound = self.track_request(controller, PendingRequest::Config(name.into()));
            self.send_event(controller, Event::Config { inbound, request });
        }
    }

    /// Handles the response to a request; `None` if the controller was killed before it responded.
    pub fn handle_config_response(&mut self, name: &str, response: Option<&HttpResponse>) {
        let now = self.now;
        let Some(change) = self.config_changes.changes.get_mut(name) else { return };
        change.next_request_at = Some(now + RETRY_MS);
        let Some(response) = response.filter(|response| response.status != 503) else { return };
        let view: Option<ConfigEntryView> = serde_json::from_slice(&response.body).ok();
        if change.version.is_none() {
            change.status = Some(response.status);
        }
        change.view.clone_from(&view);
        let Some(view) = view.filter(|_| response.status == 200) else {
            change.next_request_at = None;
            return;
        };
        let version = *change.version.get_or_insert(view.version);
        // The view may show a later change. That change takes effect only after this one, so this one counts as in
        // force.
        if view.is_effective && change.in_force_at.is_none() {
            change.in_force_at = Some(now);
            change.next_request_at = None;
            let active =
                ActiveLimit { version, limit_cpus: change.request.quota.limit_cpus.unwrap_or(f64::INFINITY) };
            let team = change.key.team().to_string();
            let known = self.config_changes.active_limits.entry(team).or_insert(active);
            if known.version < version {
                *known = active;
            }
        }
    }

    /// Checks that leaders with config changes enabled start no task above a limit in force. Tasks that already run
    /// above it may continue.
    fn check_limits(&mut self) {
        let mut usage = BTreeMap::new();
        for index in 0..self.controllers.len() {
            let (clock, slot) = (self.controller_clock(index), &self.controllers[index]);
            if self.config_changes.disabled_controllers.contains(&slot.name) || !slot.is_leader() {
                continue;
            }
            let Some(status) =
                slot.controller.as_ref().and_then(|controller| controller.status(clock).leader_status)
            else {
                continue;
            };
            for team in status.teams {
                let key = (index, slot.incarnation as u32, team.team.clone());
                let before = self.config_changes.last_usage.get(&key).copied();
                let allowed = self.config_changes.highest_allowed(&team.team);
                let has_grown = before.is_some_and(|before| team.used_cpus > before + 1e-6);
                let exceeded = allowed.filter(|allowed| has_grown && team.used_cpus > allowed + 1e-6);
                if let Some(allowed) = exceeded {
                    let problem = format!(
                        "limit: {} started tasks of team {}, which now uses {} CPUs; the highest limit that may apply is {allowed} CPUs",
                        slot.name, team.team, team.used_cpus
                    );
                    self.violations.push(problem);
                }
                usage.insert(key, team.used_cpus);
            }
        }
        self.config_changes.last_usage = usage;
    }

    pub fn config_condition_holds(&self, words: &[&str]) -> bool {
        let change = |name: &str| self.config_changes.changes.get(name).expect("a change");
        match words {
            ["stored", name] => change(name).version.is_some(),
            ["answered", name, status] => {
                change(name).status.is_some_and(|found| found.to_string() == *status)
            }
            ["pending", name] => change(name).in_force_at.is_none(),
            // How many changes have a final response with this status.
            ["count", status, "=", count] => {
                let has_status =
                    |change: &&ConfigChange| change.status.is_some_and(|found| found.to_string() == *status);
                self.config_changes.changes.values().filter(has_status).count().to_string() == *count
            }
            // The change is in force or was rejected.
            ["settled", name] => {
                let change = change(name);
                change.in_force_at.is_some() || change.status.is_some_and(|status| status != 200)
            }
            ["in-force", name] => change(name).in_force_at.is_some(),
            // The time, in ms, from the request until the operator knew that the change is in force.
            ["delay", name, "<=", max_ms] => {
                let change = change(name);
                let max_ms: u64 = max_ms.parse().expect("milliseconds");
                change.in_force_at.is_some_and(|in_force_at| in_force_at - change.requested_at <= max_ms)
            }
            ["blocked-by", name, reason] => {
                let pending = change(name).view.as_ref().and_then(|view| view.pending_on.as_ref());
                pending.is_some_and(|pending| {
                    serde_json::to_value(pending.cause).is_ok_and(|word| word == *reason)
                })
            }
            ["usage-above-limit", name, "=", cpus] => {
                let cpus: f64 = cpus.parse().expect("CPUs");
                change(name).view.as_ref().is_some_and(|view| (view.cpus_over_limit - cpus).abs() < 1e-6)
            }
            _ => panic!("unknown condition config {words:?}"),
        }
    }
}
