//! Changes of configuration: operators that set, repeat and watch them, and the limit that must hold at every moment.

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

/// A change that an operator has asked for.
struct ConfigChange {
    entry: ConfigKey,
    change: ConfigChangeRequest,
    /// Asked of this controller only.
    only_controller: Option<String>,
    requested_at: u64,
    next_attempt: Option<u64>,
    /// The final answer's status.
    status: Option<u16>,
    version: Option<u64>,
    in_force_at: Option<u64>,
    /// As it was last shown.
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
    /// Controllers whose configuration is off, as if of an earlier version.
    pub disabled_controllers: BTreeSet<String>,
    changes: BTreeMap<String, ConfigChange>,
    active_limits: BTreeMap<String, ActiveLimit>,
    /// CPUs of each team at each leading node when that was last looked at, with its process's number.
    last_usage: BTreeMap<(usize, u32, String), f64>,
}

impl ConfigChanges {
    /// The most that a team may start up to: by what is in force, or by a later change that may be acted by already.
    fn highest_allowed(&self, team: &str) -> Option<f64> {
        let holds = self.active_limits.get(team)?;
        let later = self.changes.values().filter(|sent| {
            let may_hold = sent.status.is_none_or(|status| status == 200);
            let newer = sent.version.is_none_or(|version| version > holds.version);
            sent.entry.team() == team && may_hold && newer
        });
        let later = later.map(|sent| sent.change.quota.limit_cpus.unwrap_or(f64::INFINITY));
        Some(later.fold(holds.limit_cpus, f64::max))
    }
}

impl SimulatedCluster {
    /// Turns the configuration on, but not at the controllers named.
    pub fn enable_config(&mut self, words: &[&str]) -> ActionResult {
        self.config_changes.enabled = true;
        self.config_changes.disabled_controllers = words.iter().map(|word| (*word).to_string()).collect();
        Ok(())
    }

    /// NAME TEAM [limit=] [guaranteed=] [expected=] [via=NODE]: without values, what was set is taken back.
    pub fn set_config(&mut self, words: &[&str]) -> ActionResult {
        let [name, team, rest @ ..] = words else {
            return usage_error("NAME TEAM [limit=] [guaranteed=] [expected=]");
        };
        let entry = ConfigKey::parse(&format!("team/{team}")).map_err(|error| error.to_string())?;
        let cpus = |field| named_argument(rest, field).map(|_| numeric_argument(rest, field, 0.0));
        let change = ConfigChangeRequest {
            quota: TeamQuota { limit_cpus: cpus("limit"), guaranteed_cpus: cpus("guaranteed") },
            expected_version: named_argument(rest, "expected").and_then(|text| text.parse().ok()),
            changed_by: "operator".into(),
            reason: String::new(),
            change_id: (*name).into(),
        };
        let sent = ConfigChange {
            entry,
            change,
            only_controller: named_argument(rest, "via").map(String::from),
            requested_at: self.now,
            next_attempt: Some(self.now),
            status: None,
            version: None,
            in_force_at: None,
            view: None,
        };
        self.config_changes.changes.insert((*name).into(), sent);
        Ok(())
    }

    pub fn step_config(&mut self) {
        if !self.config_changes.enabled {
            return;
        }
        let due = |sent: &ConfigChange| sent.next_attempt.is_some_and(|next| next <= self.now);
        let due: Vec<String> = self
            .config_changes
            .changes
            .iter()
            .filter(|(_, s)| due(s))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_config_request(&name);
        }
        self.check_limits();
    }

    fn send_config_request(&mut self, name: &str) {
        let Some(sent) = self.config_changes.changes.get(name) else { return };
        let via = sent.only_controller.clone();
        let request = match sent.version {
            Some(version) => ConfigRequest::Get { key: sent.entry.clone(), min_version: Some(version) },
            None => ConfigRequest::Set { key: sent.entry.clone(), change: sent.change.clone() },
        };
        let serves = |world: &SimulatedCluster, at: usize| {
            let slot = &world.controllers[at];
            let asked = via.as_ref().is_none_or(|via| *via == slot.name);
            let serves = slot.controller.as_ref().is_some_and(Controller::serves_config);
            asked && serves && !world.is_cut(at, "users") && !slot.clock_fault.frozen
        };
        let at = self.pick_controller(serves);
        let now = self.now;
        if let Some(sent) = self.config_changes.changes.get_mut(name) {
            sent.next_attempt = at.is_none().then_some(now + RETRY_MS);
        }
        if let Some(at) = at {
            let call = self.track_request(at, PendingRequest::Config(name.into()));
            self.send_event(at, Event::Config { inbound: call, request });
        }
    }

    /// An answer, or none.
    pub fn handle_config_response(&mut self, name: &str, answer: Option<&HttpResponse>) {
        let now = self.now;
        let Some(sent) = self.config_changes.changes.get_mut(name) else { return };
        sent.next_attempt = Some(now + RETRY_MS);
        let Some(answer) = answer.filter(|answer| answer.status != 503) else { return };
        let view: Option<ConfigEntryView> = serde_json::from_slice(&answer.body).ok();
        if sent.version.is_none() {
            sent.status = Some(answer.status);
        }
        sent.view.clone_from(&view);
        let Some(view) = view.filter(|_| answer.status == 200) else {
            sent.next_attempt = None;
            return;
        };
        let version = *sent.version.get_or_insert(view.version);
        // A later change may be shown by now: it is in force only if this one is.
        if view.is_effective && sent.in_force_at.is_none() {
            sent.in_force_at = Some(now);
            sent.next_attempt = None;
            let holds =
                ActiveLimit { version, limit_cpus: sent.change.quota.limit_cpus.unwrap_or(f64::INFINITY) };
            let team = sent.entry.team().to_string();
            let known = self.config_changes.active_limits.entry(team).or_insert(holds);
            if known.version < version {
                *known = holds;
            }
        }
    }

    /// Where the configuration is on, nothing starts above a limit that is in force. What runs above it may stay.
    fn check_limits(&mut self) {
        let mut seen = BTreeMap::new();
        for at in 0..self.controllers.len() {
            let (clock, slot) = (self.controller_clock(at), &self.controllers[at]);
            if self.config_changes.disabled_controllers.contains(&slot.name) || !slot.is_leader() {
                continue;
            }
            let Some(work) = slot.controller.as_ref().and_then(|node| node.status(clock).leader_status)
            else {
                continue;
            };
            for team in work.teams {
                let key = (at, slot.incarnation as u32, team.team.clone());
                let before = self.config_changes.last_usage.get(&key).copied();
                let allowed = self.config_changes.highest_allowed(&team.team);
                let grown = before.is_some_and(|before| team.used_cpus > before + 1e-6);
                if grown && allowed.is_some_and(|allowed| team.used_cpus > allowed + 1e-6) {
                    let problem = format!(
                        "limit: {} starts up to {} CPUs at {}, {:?} in force",
                        team.team, team.used_cpus, slot.name, allowed
                    );
                    self.violations.push(problem);
                }
                seen.insert(key, team.used_cpus);
            }
        }
        self.config_changes.last_usage = seen;
    }

    pub fn config_condition_holds(&self, words: &[&str]) -> bool {
        let sent = |name: &str| self.config_changes.changes.get(name).expect("a change");
        match words {
            ["stored", name] => sent(name).version.is_some(),
            ["answered", name, status] => sent(name).status.is_some_and(|found| found.to_string() == *status),
            ["pending", name] => sent(name).in_force_at.is_none(),
            // Changes that were answered so.
            ["count", status, "=", count] => {
                let so = |sent: &&ConfigChange| sent.status.is_some_and(|found| found.to_string() == *status);
                self.config_changes.changes.values().filter(so).count().to_string() == *count
            }
            // In force, or refused for good.
            ["over", name] => {
                let sent = sent(name);
                sent.in_force_at.is_some() || sent.status.is_some_and(|status| status != 200)
            }
            ["in-force", name] => sent(name).in_force_at.is_some(),
            // Milliseconds from the wish to the answer that it is in force.
            ["took", name, "<=", most] => {
                let sent = sent(name);
                let most: u64 = most.parse().expect("milliseconds");
                sent.in_force_at.is_some_and(|at| at - sent.requested_at <= most)
            }
            ["waits", name, reason] => {
                let waits = sent(name).view.as_ref().and_then(|view| view.pending_on.as_ref());
                waits.is_some_and(|waits| serde_json::to_value(waits.cause).is_ok_and(|word| word == *reason))
            }
            ["above", name, "=", cpus] => {
                let cpus: f64 = cpus.parse().expect("CPUs");
                sent(name).view.as_ref().is_some_and(|view| (view.cpus_over_limit - cpus).abs() < 1e-6)
            }
            _ => panic!("unknown condition config {words:?}"),
        }
    }
}
