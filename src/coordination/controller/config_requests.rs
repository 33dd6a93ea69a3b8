//! The configuration interface of one controller: passes requests to their handler, and changes to the
//! leader.

use super::Controller;
use crate::coordination::kv_client::CompletedRequest;
use crate::coordination::{Action, Clock, InboundId};
use crate::ids::Revision;
use crate::protocol::config::ConfigRequest;

impl Controller {
    /// Returns whether the configuration interface is enabled.
    pub fn serves_config(&self) -> bool {
        self.state.tunables.config.enabled
    }

    pub(super) fn handle_config_request(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: ConfigRequest,
        out: &mut Vec<Action>,
    ) {
        let response = self.config_requests.receive(clock, inbound, request, &self.kv_client);
        out.extend(response.map(|response| Action::Respond { inbound, response }));
    }

    pub(super) fn process_config_requests(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if !self.serves_config() {
            return;
        }
        self.config_requests.expire(clock, out);
        self.config_requests.process_pending(clock, &self.state, &mut self.kv_client, out);
    }

    /// Handles the store's reply to a change that this controller wrote.
    pub(super) fn handle_config_txn_reply(
        &mut self,
        clock: Clock,
        completed: &CompletedRequest,
        out: &mut Vec<Action>,
    ) {
        let (last_sent, cache) = (self.kv_client.last_sent(), &mut self.state.cache);
        let written = self.config_requests.handle_txn_reply(clock, completed, last_sent, cache, out);
        if let Some(revision) = written {
            self.apply_config_change(clock, revision);
            self.notify_leader(revision, out);
        }
    }

    /// Applies a change of an entry at this revision: a leader uses the new value from now on, and announces
    /// to the other controllers when it has read up to the revision.
    pub(super) fn apply_config_change(&mut self, clock: Clock, revision: Revision) {
        if !self.serves_config() {
            return;
        }
        self.config_requests.record_change(revision, clock.now);
        if let Some(leader) = &mut self.state.leader {
            leader.apply_config(&mut self.state.cache);
            self.state.watermarks.require_announcement(revision);
        }
    }
}
