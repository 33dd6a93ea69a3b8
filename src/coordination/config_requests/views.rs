//! Configuration entries as shown to clients: the configured and the effective quota, and what prevents a
//! version from being in force.

use super::rollout::ObservedVersions;
use crate::bookkeeping::config::apply_team_quota;
use crate::coordination::Clock;
use crate::coordination::controller_state::ControllerState;
use crate::ids::{Revision, from_milli};
use crate::protocol::HttpResponse;
use crate::protocol::config::{
    ConfigEntryList, ConfigEntryView, ConfigKey, PendingOn, PropagationBlocker, TeamQuota,
};
use crate::settings::{Settings, TeamSettings};

/// Renders entries from the state at one point in time.
pub(super) struct EntryRenderer<'a> {
    pub versions: &'a ObservedVersions,
    pub clock: Clock,
    pub state: &'a ControllerState,
}

impl EntryRenderer<'_> {
    /// Lists all entries: one per team, then those whose format this controller does not know.
    pub fn list_response(&self) -> HttpResponse {
        let settings = &self.state.settings;
        let teams = &settings.teams;
        let team_views =
            teams.iter().map(|team| self.entry_view(&ConfigKey::Team(team.name.clone()), Some(team), None));
        let is_team = |name: &str| teams.iter().any(|team| format!("team/{}", team.name) == name);
        let unrecognized = self.state.cache.config.unrecognized_names().filter(|(name, _)| !is_team(name));
        let unrecognized_views =
            unrecognized.map(|(name, version)| unrecognized_entry_view(name, version, &settings.controller));
        let list = ConfigEntryList {
            controller: settings.controller.clone(),
            revision: self.state.cache.revision.0,
            entries: team_views.chain(unrecognized_views).collect(),
        };
        HttpResponse::json(200, &list)
    }

    /// Returns one entry, or status 404 if neither the settings nor the records contain it.
    pub fn entry_response(&self, key: &ConfigKey) -> HttpResponse {
        let platform = platform_team(key, &self.state.settings);
        if platform.is_none() && self.state.cache.config.get(key).is_none() {
            return HttpResponse::error(404, &unknown_team_text(key));
        }
        HttpResponse::json(200, &self.entry_view(key, platform, None))
    }

    /// Returns one entry, with what prevents the requested version from being in force.
    pub fn entry_response_at(&self, key: &ConfigKey, version: Revision) -> HttpResponse {
        let platform = platform_team(key, &self.state.settings);
        HttpResponse::json(200, &self.entry_view(key, platform, Some(version)))
    }

    fn entry_view(
        &self,
        key: &ConfigKey,
        platform: Option<&TeamSettings>,
        requested_version: Option<Revision>,
    ) -> ConfigEntryView {
        let config = &self.state.cache.config;
        let entry = config.get(key);
        let unrecognized_version = config.unrecognized_version(&key.to_string());
        let version = entry.map(|entry| entry.version).or(unrecognized_version).unwrap_or_default();
        let configured: TeamQuota = entry.map(|entry| entry.record.quota.into()).unwrap_or_default();
        let effective = platform.map(|platform| apply_team_quota(platform, configured));
        let awaited_version = requested_version.unwrap_or(version).max(version);
        let pending_on = self.versions.blocker(key, awaited_version, self.clock, self.state);
        let used_cpu = self.state.team_cpu_usage(key.team());
        let cpu_limit = effective.as_ref().map_or(u64::MAX, |team| team.effective_limit().cpu);
        ConfigEntryView {
            key: key.to_string(),
            version: version.0,
            configured,
            ceiling: platform.map(team_quota).unwrap_or_default(),
            effective: effective.as_ref().map(team_quota).unwrap_or_default(),
            changed_by: entry.map(|entry| entry.record.changed_by.clone()),
            reason: entry.map(|entry| entry.record.reason.clone()),
            changed_at_ms: entry.map(|entry| entry.record.changed_at_ms),
            is_effective: pending_on.is_none(),
            pending_on,
            used_cpus: from_milli(used_cpu),
            cpus_over_limit: from_milli(used_cpu.saturating_sub(cpu_limit)),
        }
    }
}

/// Returns the platform's settings for the team that an entry belongs to.
pub(super) fn platform_team<'a>(key: &ConfigKey, settings: &'a Settings) -> Option<&'a TeamSettings> {
    settings.teams.iter().find(|team| team.name == key.team())
}

pub(super) fn unknown_team_text(key: &ConfigKey) -> String {
    format!("{key}: no such team in the platform's settings")
}

/// Returns the view of an entry whose format this controller does not know.
fn unrecognized_entry_view(name: &str, version: Revision, controller: &str) -> ConfigEntryView {
    ConfigEntryView {
        key: name.into(),
        version: version.0,
        configured: TeamQuota::default(),
        ceiling: TeamQuota::default(),
        effective: TeamQuota::default(),
        changed_by: None,
        reason: None,
        changed_at_ms: None,
        is_effective: false,
        pending_on: Some(PendingOn {
            controller: Some(controller.into()),
            cause: PropagationBlocker::UnsupportedFormat,
            since_s: 0.0,
        }),
        used_cpus: 0.0,
        cpus_over_limit: 0.0,
    }
}

/// Returns a team's quota in CPUs; a limit of `None` means that there is no limit.
fn team_quota(team: &TeamSettings) -> TeamQuota {
    let limit = team.effective_limit().cpu;
    TeamQuota {
        limit_cpus: (limit < u64::MAX).then(|| from_milli(limit)),
        guaranteed_cpus: Some(from_milli(team.guaranteed.cpu)),
    }
}
