//! Requests about the configuration. A change is decided after a read barrier, written on the condition that
//! the entry has not changed since, and watched until no controller can act on an older value
//! (docs/design.md, "Changes of configuration"). Owns the requests that wait; their number and waiting time
//! are bounded. Performs no I/O and reads no clock.

mod rollout;
mod validation;
mod views;

use std::collections::VecDeque;

use rollout::ObservedVersions;
use validation::validate_quota;
use views::{EntryRenderer, platform_team, unknown_team_text};

use super::controller_state::ControllerState;
use super::kv_client::{CompletedRequest, KvClient, Purpose};
use super::kv_mutations::{RATE_LIMITED, apply_own_mutations, put_record, unchanged};
use super::pending_request::PendingRequest;
use super::unavailable::Unavailable;
use super::{Action, Clock, InboundId, OutboundId};
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{Millis, Revision};
use crate::protocol::HttpResponse;
use crate::protocol::config::{
    ConfigChangeRequest, ConfigKey, ConfigRecord, ConfigRequest, ENTRY_FORMAT_VERSION,
};
use crate::protocol::kv::{KvMutation, KvReply, Precondition};
use crate::protocol::peer::PeerMessage;

/// How long a request may wait. Clients' own time-outs are longer, so the response still reaches them.
const REQUEST_TIMEOUT_MS: u64 = 2_900;
/// Maximum number of requests that wait at the same time.
const MAX_PENDING: usize = 200;
/// Minimum interval between two notices to a leader that has not announced that it has read a change, in
/// milliseconds.
const NOTIFY_RETRY_MS: u64 = 100;

type Pending = PendingRequest<ConfigRequest>;

/// A client that waits until a version of an entry is in force.
#[derive(Debug)]
struct Watcher {
    inbound: InboundId,
    key: ConfigKey,
    version: Revision,
    deadline: Millis,
}

/// Holds requests about the configuration until they can be answered.
#[derive(Debug, Default)]
pub struct ConfigRequestHandler {
    pending: VecDeque<Pending>,
    write_in_flight: Option<Pending>,
    watchers: Vec<Watcher>,
    versions: ObservedVersions,
    next_notify_at: Millis,
}

/// What a request results in.
enum Decision {
    Respond(HttpResponse),
    Write(Precondition, KvMutation),
}

/// Whether a pending request left the queue, because it was answered or its write was sent.
enum Progress {
    Removed,
    StillPending,
}

impl ConfigRequestHandler {
    /// Returns whether a request waits for a newer read of the store.
    pub fn needs_read_barrier(&self, cache: &StoreCache) -> bool {
        !self.pending.is_empty() || self.watchers.iter().any(|watcher| watcher.version > cache.revision)
    }

    /// Returns the number of requests that have not been answered.
    pub fn pending_count(&self) -> usize {
        self.pending.len() + self.watchers.len() + usize::from(self.write_in_flight.is_some())
    }

    /// Returns whether a change waits to be written. Polls then leave one request of the rate limit for it.
    pub fn has_writes_to_send(&self) -> bool {
        self.pending.iter().any(|pending| is_change(&pending.request))
    }

    /// Records that an entry has changed at this revision.
    pub fn record_change(&mut self, revision: Revision, now: Millis) {
        self.versions.record_change(revision, now);
    }

    /// Records that all records have been loaded.
    pub fn record_full_read(&mut self, now: Millis) {
        self.versions.record_full_read(now);
    }

    /// Queues a request, or returns the response that rejects it.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: ConfigRequest,
        kv_client: &KvClient,
    ) -> Option<HttpResponse> {
        let is_full = self.pending.len() + self.watchers.len() >= MAX_PENDING;
        if !kv_client.loaded || is_full {
            return Some(Unavailable::CannotDecide.into());
        }
        if let ConfigRequest::Get { key, min_version: Some(version) } = request {
            let deadline = clock.now.saturating_add(REQUEST_TIMEOUT_MS);
            self.watchers.push(Watcher { inbound, key, version: Revision(version), deadline });
            return None;
        }
        if !kv_client.is_reachable(clock.now) {
            return Some(Unavailable::KvUnreachable.into());
        }
        self.pending.push_back(Pending::new(
            inbound,
            request,
            kv_client.last_sent(),
            clock.now,
            REQUEST_TIMEOUT_MS,
        ));
        None
    }

    /// Decides the requests that the cache is new enough for, writes one change at a time and answers watchers.
    pub fn process_pending(
        &mut self,
        clock: Clock,
        state: &ControllerState,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        let mut index = 0;
        while index < self.pending.len() {
            match self.process_one(index, clock, state, kv_client, out) {
                Progress::Removed => {}
                Progress::StillPending => index += 1,
            }
        }
        self.respond_to_watchers(clock, state, out);
        self.notify_lagging_leader(clock, state, out);
        self.versions.prune(clock.now);
    }

    fn process_one(
        &mut self,
        index: usize,
        clock: Clock,
        state: &ControllerState,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) -> Progress {
        let pending = &self.pending[index];
        let is_covered = kv_client.last_applied_poll.is_some_and(|read| pending.is_covered_by_read(read));
        if !is_covered || (is_change(&pending.request) && self.write_in_flight.is_some()) {
            return Progress::StillPending;
        }
        match self.decide(&pending.request, clock, state) {
            Decision::Respond(response) => {
                out.push(Action::respond(pending.inbound, response));
                self.pending.remove(index);
            }
            Decision::Write(precondition, mutation) => {
                let (preconditions, mutations) = (vec![precondition], vec![mutation]);
                if kv_client.txn(clock, Purpose::ConfigTxn, preconditions, mutations, out).is_none() {
                    return Progress::StillPending;
                }
                self.write_in_flight = self.pending.remove(index);
            }
        }
        Progress::Removed
    }

    fn renderer<'a>(&'a self, clock: Clock, state: &'a ControllerState) -> EntryRenderer<'a> {
        EntryRenderer { versions: &self.versions, clock, state }
    }

    fn decide(&self, request: &ConfigRequest, clock: Clock, state: &ControllerState) -> Decision {
        let renderer = self.renderer(clock, state);
        match request {
            ConfigRequest::List => Decision::Respond(renderer.list_response()),
            ConfigRequest::Get { key, .. } => Decision::Respond(renderer.entry_response(key)),
            ConfigRequest::Set { key, change } => decide_change(key, change, &renderer),
        }
    }

    /// Handles the store's reply to the write in flight; returns the revision of a change that was applied.
    /// `last_sent` is the last request that was sent to the store before the reply arrived.
    pub fn handle_txn_reply(
        &mut self,
        clock: Clock,
        completed: &CompletedRequest,
        last_sent: OutboundId,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) -> Option<Revision> {
        let written = self.write_in_flight.take()?;
        match &completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, *revision, cache);
                self.record_change(*revision, clock.now);
                // The request is decided again at once. The cached entry now has the change's id, so the
                // response is the entry in its current state.
                self.pending.push_front(written.awaiting_read_after(OutboundId::default()));
                return Some(*revision);
            }
            // Another controller wrote first: the change is decided again on the basis of that write.
            KvReply::PreconditionFailed { .. } => {
                self.pending.push_back(written.awaiting_read_after(last_sent));
            }
            KvReply::Rejected { status: RATE_LIMITED } => self.pending.push_front(written),
            // The client repeats the request, and the change's id then shows whether the change was applied.
            _ => out.push(Action::respond(written.inbound, Unavailable::WriteOutcomeUnknown)),
        }
        None
    }

    /// Rejects requests past their deadline.
    pub fn expire(&mut self, clock: Clock, out: &mut Vec<Action>) {
        self.pending.retain(|pending| pending.retain_unless(pending.is_expired(clock.now), out));
    }

    fn respond_to_watchers(&mut self, clock: Clock, state: &ControllerState, out: &mut Vec<Action>) {
        for watcher in std::mem::take(&mut self.watchers) {
            let is_effective = self.versions.blocker(&watcher.key, watcher.version, clock, state).is_none();
            if is_effective || watcher.deadline <= clock.now {
                let response = self.renderer(clock, state).entry_response_at(&watcher.key, watcher.version);
                out.push(Action::respond(watcher.inbound, response));
            } else {
                self.watchers.push(watcher);
            }
        }
    }

    /// Sends the leader a notice if a watcher waits for a version that the leader has not yet announced as
    /// read.
    fn notify_lagging_leader(&mut self, clock: Clock, state: &ControllerState, out: &mut Vec<Action>) {
        let Some(newest) = self.watchers.iter().map(|watcher| watcher.version).max() else { return };
        if clock.now < self.next_notify_at {
            return;
        }
        let Some(leader) = state.known_leader() else { return };
        if leader == state.settings.controller || state.watermarks.has_read(leader, newest) {
            return;
        }
        self.next_notify_at = clock.now.saturating_add(NOTIFY_RETRY_MS);
        let message = PeerMessage::RevisionNotice { revision: newest.0 };
        out.push(Action::SendPeerMessage { controller: leader.into(), message });
    }
}

fn is_change(request: &ConfigRequest) -> bool {
    matches!(request, ConfigRequest::Set { .. })
}

/// Decides a change on the basis of the cached entry.
fn decide_change(key: &ConfigKey, change: &ConfigChangeRequest, renderer: &EntryRenderer<'_>) -> Decision {
    let state = renderer.state;
    let Some(platform) = platform_team(key, &state.settings) else {
        return reject(422, &unknown_team_text(key));
    };
    if let Err(problem) = validate_quota(key, change.quota, platform) {
        return reject(422, &problem.to_string());
    }
    let config = &state.cache.config;
    if config.get(key).is_some_and(|entry| entry.record.change_id == change.change_id) {
        // The change was applied before, but its response was lost.
        return Decision::Respond(renderer.entry_response(key));
    }
    if config.unrecognized_version(&key.to_string()).is_some() {
        let text = format!(
            "{key}: the record was written by a later version: change it through a controller of that version"
        );
        return reject(409, &text);
    }
    let record_key = RecordKey::ConfigEntry(key.to_string());
    let precondition = unchanged(&state.cache, &record_key);
    if change.expected_version.is_some_and(|expected| Revision(expected) != precondition.revision) {
        return Decision::Respond(HttpResponse { status: 409, ..renderer.entry_response(key) });
    }
    let record = ConfigRecord {
        format_version: ENTRY_FORMAT_VERSION,
        quota: change.quota.into(),
        changed_by: change.changed_by.clone(),
        reason: change.reason.clone(),
        changed_at_ms: renderer.clock.wall_ms,
        change_id: change.change_id.clone(),
    };
    Decision::Write(precondition, put_record(&record_key, &record))
}

fn reject(status: u16, text: &str) -> Decision {
    Decision::Respond(HttpResponse::error(status, text))
}
