//! Configuration on one controller: changes go to the desk, what holds goes to the leader.

use super::Controller;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::config_requests::ConfigRequestContext;
use crate::coordination::kv_client::CompletedRequest;
use crate::coordination::leader::Leader;
use crate::coordination::{Action, Clock, InboundId};
use crate::ids::Revision;
use crate::protocol::config::ConfigRequest;
use crate::protocol::peer::PeerMessage;

impl Controller {
    /// Is the configuration's interface turned on?
    pub fn serves_config(&self) -> bool {
        self.tunables.config.enabled
    }

    pub(super) fn handle_config_request(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: ConfigRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(answer) = self.config_requests.receive(clock, inbound, request, &self.kv_client) {
            out.push(Action::Respond { inbound, response: answer });
        }
    }

    pub(super) fn process_config_requests(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if !self.serves_config() {
            return;
        }
        self.config_requests.expire(clock, out);
        let (leader, mirror) = (self.leader.as_ref(), &self.cache);
        let used = |team: &str| team_cpu_usage(leader, mirror, team);
        let context = ConfigRequestContext {
            cache: &self.cache,
            settings: &self.settings,
            watermarks: &self.watermarks,
            used_cpu: &used,
            clock,
        };
        self.config_requests.process_pending(&context, &mut self.kv_client, out);
    }

    /// What came of a change that this node wrote.
    pub(super) fn handle_config_txn_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(revision) = self.config_requests.handle_txn_reply(clock, completed, &mut self.cache, out)
        else {
            return;
        };
        self.apply_config_change(clock, revision);
        if self.leader.is_none()
            && let Some(leader) = &self.cache.leader
        {
            let message = PeerMessage::RevisionNotice { revision: revision.0 };
            out.push(Action::SendPeerMessage { controller: leader.controller.clone(), message });
        }
    }

    /// An entry has changed at this revision: from now on the leader acts by it, and says so once it has read so far.
    pub(super) fn apply_config_change(&mut self, clock: Clock, revision: Revision) {
        if !self.serves_config() {
            return;
        }
        self.config_requests.record_change(revision, clock.now);
        if let Some(leader) = &mut self.leader {
            leader.apply_config(&mut self.cache);
            self.watermarks.require_announcement(revision);
        }
    }
}

/// CPUs of a team's tasks in thousandths: where the leader knows them to be, or where the records say they may be.
fn team_cpu_usage(leader: Option<&Leader>, cache: &StoreCache, team: &str) -> u64 {
    let Some(team) = cache.names.teams.find(team) else { return 0 };
    match leader {
        Some(leader) => leader.quotas.usage.get(&team).map_or(0, |used| used.cpu),
        None => cache
            .live_jobs()
            .filter(|(_, job)| job.spec.team == team)
            .map(|(_, job)| {
                job.spec.task_resources.cpu * u64::from(cache.recorded_running_tasks(job.spec.id))
            })
            .sum(),
    }
}
