//! Changes of configuration on their way: decided behind a read barrier, written on the version that was looked at, and
//! watched until no controller can act by an older value. docs/design.md, "Changes of configuration", argues for it.
//! Bounded in number and in time; no I/O, no clock.

use std::collections::{BTreeMap, VecDeque};

use super::kv_client::{CompletedRequest, KvClient, Purpose};
use super::read_watermarks::{ReadWatermarks, STOPPED_AFTER_MS};
use super::user_requests::{RETRY_AFTER_S, apply_own_mutations};
use super::{Action, Clock, InboundId};
use crate::bookkeeping::config::apply_team_value;
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{Millis, Revision, from_milli, to_milli_floor};
use crate::protocol::HttpResponse;
use crate::protocol::config::{
    ConfigChangeRequest, ConfigEntryView, ConfigKey, ConfigRecord, ConfigRequest, ENTRY_FORMAT_VERSION,
    PendingOn, PropagationBlocker, TeamQuota,
};
use crate::protocol::kv::{KvMutation, KvReply, Precondition};
use crate::protocol::peer::PeerMessage;
use crate::settings::{Settings, TeamSettings};

/// Clients wait longer; the answer must be on its way before.
const REQUEST_TIMEOUT_MS: u64 = 2_900;
/// Requests held at once.
const MAX_PENDING: usize = 200;
/// Between two words to a leader that has not said how far it has read.
const NOTIFY_RETRY_MS: u64 = 100;

/// A change or a list that waits for a read sent after it came in.
#[derive(Debug)]
struct PendingRequest {
    inbound: InboundId,
    request: ConfigRequest,
    received_at: Millis,
    deadline: Millis,
}

/// Somebody waits until a version is in force.
#[derive(Debug)]
struct Watcher {
    inbound: InboundId,
    entry: ConfigKey,
    version: Revision,
    deadline: Millis,
}

/// What decisions look at.
pub struct ConfigRequestContext<'a> {
    pub cache: &'a StoreCache,
    pub settings: &'a Settings,
    pub watermarks: &'a ReadWatermarks,
    /// CPUs, in thousandths, that a team's tasks use or may use.
    pub used_cpu: &'a dyn Fn(&str) -> u64,
    pub clock: Clock,
}

#[derive(Debug, Default)]
pub struct ConfigRequestHandler {
    pending: VecDeque<PendingRequest>,
    write_in_flight: Option<PendingRequest>,
    watchers: Vec<Watcher>,
    /// When versions of entries became known here, for as long as that decides anything.
    seen_at: BTreeMap<Revision, Millis>,
    /// The records were read as a whole then: which of their changes are recent is not known.
    full_read_at: Option<Millis>,
    next_notify_at: Millis,
}

/// What becomes of a request.
enum Decision {
    Respond(HttpResponse),
    Write(Precondition, KvMutation),
}

impl ConfigRequestHandler {
    /// Somebody waits for a newer read of the records.
    pub fn needs_read_barrier(&self, cache: &StoreCache) -> bool {
        !self.pending.is_empty() || self.watchers.iter().any(|watcher| watcher.version > cache.revision)
    }

    /// Requests that wait for something.
    pub fn pending_count(&self) -> usize {
        self.pending.len() + self.watchers.len() + usize::from(self.write_in_flight.is_some())
    }

    /// Changes wait for the state service to take them: polls must leave them a request.
    pub fn has_writes_to_send(&self) -> bool {
        self.pending.iter().any(|waiting| matches!(waiting.request, ConfigRequest::Set { .. }))
    }

    /// An entry has changed at this revision.
    pub fn record_change(&mut self, revision: Revision, now: Millis) {
        self.seen_at.entry(revision).or_insert(now);
    }

    /// The records were read as a whole.
    pub fn record_full_read(&mut self, now: Millis) {
        self.seen_at.clear();
        self.full_read_at = Some(now);
    }

    /// Takes a request in; the answer, if there is one at once.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: ConfigRequest,
        kv_client: &KvClient,
    ) -> Option<HttpResponse> {
        let full = self.pending.len() + self.watchers.len() >= MAX_PENDING;
        if !kv_client.loaded || full {
            return Some(HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S));
        }
        let deadline = clock.now.saturating_add(REQUEST_TIMEOUT_MS);
        match request {
            ConfigRequest::Get { key: entry, min_version: Some(version) } => {
                self.watchers.push(Watcher { inbound, entry, version: Revision(version), deadline });
            }
            request => {
                if !kv_client.is_reachable(clock.now) {
                    return Some(HttpResponse::retry_later(
                        "the state service does not answer this controller",
                        RETRY_AFTER_S,
                    ));
                }
                self.pending.push_back(PendingRequest { inbound, request, received_at: clock.now, deadline });
            }
        }
        None
    }

    /// Decides what the mirror is new enough for, and writes one change at a time.
    pub fn process_pending(
        &mut self,
        context: &ConfigRequestContext<'_>,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        let fresh = kv_client.fresh_as_of.unwrap_or_default();
        let mut at = 0;
        while at < self.pending.len() {
            let waiting = &self.pending[at];
            let is_change = matches!(waiting.request, ConfigRequest::Set { .. });
            if waiting.received_at > fresh || (is_change && self.write_in_flight.is_some()) {
                at += 1;
                continue;
            }
            match self.decide(&waiting.request, context) {
                Decision::Respond(response) => {
                    let inbound = self.pending.remove(at).map(|waiting| waiting.inbound);
                    out.extend(inbound.map(|call| Action::Respond { inbound: call, response }));
                }
                Decision::Write(guard, change) => {
                    let (preconditions, mutations) = (vec![guard], vec![change]);
                    if kv_client
                        .txn(context.clock, Purpose::ConfigTxn, preconditions, mutations, out)
                        .is_none()
                    {
                        at += 1;
                        continue;
                    }
                    self.write_in_flight = self.pending.remove(at);
                }
            }
        }
        self.respond_to_watchers(context, out);
        self.notify_lagging_leader(context, out);
        self.prune_seen(context.clock.now);
    }

    fn decide(&self, request: &ConfigRequest, context: &ConfigRequestContext<'_>) -> Decision {
        match request {
            ConfigRequest::List => Decision::Respond(self.list_response(context)),
            ConfigRequest::Get { key: entry, .. } => Decision::Respond(self.entry_response(entry, context)),
            ConfigRequest::Set { key: entry, change } => self.decide_change(entry, change, context),
        }
    }

    fn decide_change(
        &self,
        entry: &ConfigKey,
        change: &ConfigChangeRequest,
        context: &ConfigRequestContext<'_>,
    ) -> Decision {
        let Some(platform) = platform_team(entry, context.settings) else {
            return Decision::Respond(HttpResponse::error(
                422,
                &format!("{entry}: no such team in the platform's settings"),
            ));
        };
        if let Err(problem) = validate_value(entry, change.quota, platform) {
            return Decision::Respond(HttpResponse::error(422, &problem));
        }
        let cache = context.cache;
        let known = cache.config.get(entry);
        if known.is_some_and(|known| known.record.change_id == change.change_id) {
            // The request was carried out before, and its answer was lost.
            return Decision::Respond(self.entry_response(entry, context));
        }
        let key = RecordKey::ConfigEntry(entry.to_string()).encode();
        let revision = cache.key_revision(&key);
        if cache.config.unrecognized_version(&entry.to_string()).is_some() {
            let text = format!(
                "{entry}: its record is of a later version: change it through a controller of that version"
            );
            return Decision::Respond(HttpResponse::error(409, &text));
        }
        if change.expected_version.is_some_and(|expected| Revision(expected) != revision) {
            return Decision::Respond(HttpResponse { status: 409, ..self.entry_response(entry, context) });
        }
        let record = ConfigRecord {
            format_version: ENTRY_FORMAT_VERSION,
            quota: change.quota.into(),
            changed_by: change.changed_by.clone(),
            reason: change.reason.clone(),
            changed_at_ms: context.clock.wall_ms,
            change_id: change.change_id.clone(),
        };
        let value = serde_json::to_string(&record).unwrap_or_default();
        Decision::Write(
            Precondition { key: key.clone(), revision },
            KvMutation::Put { key, value, lease: None },
        )
    }

    /// What came of a write. The revision of a change that was applied.
    pub fn handle_txn_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) -> Option<Revision> {
        let writing = self.write_in_flight.take()?;
        match completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, revision, cache);
                self.record_change(revision, clock.now);
                // Answered with the entry as it is now.
                self.pending.push_front(PendingRequest { received_at: Millis::default(), ..writing });
                return Some(revision);
            }
            // Somebody was first: it is decided anew on what is there by now.
            KvReply::PreconditionFailed { .. } => {
                self.pending.push_back(PendingRequest { received_at: clock.now, ..writing });
            }
            KvReply::Rejected { status: 429 } => self.pending.push_front(writing),
            // Perhaps carried out: the client asks again, and the change's number tells.
            _ => {
                let response = HttpResponse::retry_later("not certain to be stored", RETRY_AFTER_S);
                out.push(Action::Respond { inbound: writing.inbound, response });
            }
        }
        None
    }

    /// Gives up on what waited too long.
    pub fn expire(&mut self, clock: Clock, out: &mut Vec<Action>) {
        self.pending.retain(|waiting| {
            let over = waiting.deadline <= clock.now;
            if over {
                let response = HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S);
                out.push(Action::Respond { inbound: waiting.inbound, response });
            }
            !over
        });
    }

    fn respond_to_watchers(&mut self, context: &ConfigRequestContext<'_>, out: &mut Vec<Action>) {
        let now = context.clock.now;
        for watcher in std::mem::take(&mut self.watchers) {
            let blocker = self.rollout_blocker(&watcher.entry, watcher.version, context);
            if blocker.is_none() || watcher.deadline <= now {
                let response = self.entry_response_at(&watcher.entry, watcher.version, context);
                out.push(Action::Respond { inbound: watcher.inbound, response });
            } else {
                self.watchers.push(watcher);
            }
        }
    }

    /// A leader that should have read a change and has not said so is told to look.
    fn notify_lagging_leader(&mut self, context: &ConfigRequestContext<'_>, out: &mut Vec<Action>) {
        let newest = self.watchers.iter().map(|watcher| watcher.version).max();
        let Some(newest) = newest.filter(|_| context.clock.now >= self.next_notify_at) else { return };
        let Some(leader) = &context.cache.leader else { return };
        if leader.controller == context.settings.controller
            || context.watermarks.has_read(&leader.controller, newest)
        {
            return;
        }
        self.next_notify_at = context.clock.now.saturating_add(NOTIFY_RETRY_MS);
        let message = PeerMessage::RevisionNotice { revision: newest.0 };
        out.push(Action::SendPeerMessage { controller: leader.controller.clone(), message });
    }

    /// What was seen long ago decides nothing any more.
    fn prune_seen(&mut self, now: Millis) {
        let recent = |seen: Millis| now.saturating_since(seen) < 2 * STOPPED_AFTER_MS;
        self.seen_at.retain(|_, seen| recent(*seen));
        self.full_read_at = self.full_read_at.filter(|at| recent(*at));
    }

    /// Whom a version waits for; None: it is in force.
    fn rollout_blocker(
        &self,
        entry: &ConfigKey,
        version: Revision,
        context: &ConfigRequestContext<'_>,
    ) -> Option<PendingOn> {
        let cache = context.cache;
        let now = context.clock.now;
        let seen_at = self.seen_at.get(&version).copied().or(self.full_read_at);
        let since_s = seen_at.map_or(0.0, |seen| from_milli(now.saturating_since(seen)));
        let blocked =
            |node: Option<String>, reason| Some(PendingOn { controller: node, cause: reason, since_s });
        let own = context.settings.controller.clone();
        if cache.config.unrecognized_version(&entry.to_string()).is_some() {
            return blocked(Some(own), PropagationBlocker::UnsupportedFormat);
        }
        if cache.revision < version {
            return blocked(Some(own), PropagationBlocker::RevisionNotRead);
        }
        // Who leads by a read that reaches the change. Whoever comes to lead later has read it first.
        let Some(leader) = &cache.leader else { return None };
        if leader.config_format != Some(ENTRY_FORMAT_VERSION) {
            return blocked(Some(leader.controller.clone()), PropagationBlocker::LeaderConfigDisabled);
        }
        let stopped = seen_at.is_none_or(|seen| now.saturating_since(seen) >= STOPPED_AFTER_MS);
        let knows = leader.revision > version
            || leader.controller == own
            || context.watermarks.has_read(&leader.controller, version);
        if knows || stopped {
            None
        } else {
            blocked(Some(leader.controller.clone()), PropagationBlocker::LeaderBehind)
        }
    }

    fn list_response(&self, context: &ConfigRequestContext<'_>) -> HttpResponse {
        let mut entries: Vec<ConfigEntryView> = context
            .settings
            .teams
            .iter()
            .map(|team| self.entry_view(&ConfigKey::Team(team.name.clone()), Some(team), None, context))
            .collect();
        let known =
            |name: &str| context.settings.teams.iter().any(|team| format!("team/{}", team.name) == name);
        for (name, version) in context.cache.config.unrecognized_names().filter(|(name, _)| !known(name)) {
            entries.push(unknown_entry_view(name, version, &context.settings.controller));
        }
        let list = crate::protocol::config::ConfigEntryList {
            controller: context.settings.controller.clone(),
            revision: context.cache.revision.0,
            entries,
        };
        HttpResponse::json(200, &list)
    }

    fn entry_response(&self, entry: &ConfigKey, context: &ConfigRequestContext<'_>) -> HttpResponse {
        let platform = platform_team(entry, context.settings);
        if platform.is_none() && context.cache.config.get(entry).is_none() {
            return HttpResponse::error(404, &format!("{entry}: no such team in the platform's settings"));
        }
        HttpResponse::json(200, &self.entry_view(entry, platform, None, context))
    }

    /// The entry, with whom the asked version waits for.
    fn entry_response_at(
        &self,
        entry: &ConfigKey,
        version: Revision,
        context: &ConfigRequestContext<'_>,
    ) -> HttpResponse {
        let platform = platform_team(entry, context.settings);
        HttpResponse::json(200, &self.entry_view(entry, platform, Some(version), context))
    }

    fn entry_view(
        &self,
        entry: &ConfigKey,
        platform: Option<&TeamSettings>,
        requested_version: Option<Revision>,
        context: &ConfigRequestContext<'_>,
    ) -> ConfigEntryView {
        let known = context.cache.config.get(entry);
        let unknown_version = context.cache.config.unrecognized_version(&entry.to_string());
        let version = known.map(|known| known.version).or(unknown_version).unwrap_or_default();
        let value: TeamQuota = known.map(|known| known.record.quota.into()).unwrap_or_default();
        let effective = platform.map(|platform| apply_team_value(platform, value));
        let waits_for =
            self.rollout_blocker(entry, requested_version.unwrap_or(version).max(version), context);
        let used = (context.used_cpu)(entry.team());
        let limit = effective.as_ref().map_or(u64::MAX, |team| team.effective_limit().cpu);
        ConfigEntryView {
            key: entry.to_string(),
            version: version.0,
            configured: value,
            ceiling: platform.map(team_value).unwrap_or_default(),
            effective: effective.as_ref().map(team_value).unwrap_or_default(),
            changed_by: known.map(|known| known.record.changed_by.clone()),
            reason: known.map(|known| known.record.reason.clone()),
            changed_at_ms: known.map(|known| known.record.changed_at_ms),
            is_effective: waits_for.is_none(),
            pending_on: waits_for,
            used_cpus: from_milli(used),
            cpus_over_limit: from_milli(used.saturating_sub(limit)),
        }
    }
}

fn platform_team<'a>(entry: &ConfigKey, settings: &'a Settings) -> Option<&'a TeamSettings> {
    settings.teams.iter().find(|team| team.name == entry.team())
}

/// An entry of a sort that is not known here.
fn unknown_entry_view(name: &str, version: Revision, node: &str) -> ConfigEntryView {
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
            controller: Some(node.into()),
            cause: PropagationBlocker::UnsupportedFormat,
            since_s: 0.0,
        }),
        used_cpus: 0.0,
        cpus_over_limit: 0.0,
    }
}

/// A team's CPUs for people; no limit is null.
fn team_value(team: &TeamSettings) -> TeamQuota {
    let limit = team.effective_limit().cpu;
    TeamQuota {
        limit_cpus: (limit < u64::MAX).then(|| from_milli(limit)),
        guaranteed_cpus: Some(from_milli(team.guaranteed.cpu)),
    }
}

/// A value that can hold; else what was expected, for people.
fn validate_value(entry: &ConfigKey, value: TeamQuota, platform: &TeamSettings) -> Result<(), String> {
    const MOST_CPUS: f64 = 1e9;
    let limit = platform.effective_limit().cpu;
    let max_limit = if limit == u64::MAX { MOST_CPUS } else { from_milli(limit) };
    check_range(entry, "limit_cpus", value.limit_cpus, max_limit)?;
    let by_limit = value.limit_cpus.unwrap_or(MOST_CPUS);
    check_range(
        entry,
        "guaranteed_cpus",
        value.guaranteed_cpus,
        from_milli(platform.guaranteed.cpu).min(by_limit),
    )
}

fn check_range(entry: &ConfigKey, field: &str, value: Option<f64>, max: f64) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    let valid = value.is_finite() && value >= 0.0 && to_milli_floor(value) <= to_milli_floor(max);
    if valid {
        return Ok(());
    }
    Err(format!("{entry}: {field}: expected 0 to {max} (what the platform's settings allow), not {value}"))
}
