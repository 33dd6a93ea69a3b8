//! Operators' questions on their way: those that wait for a read barrier here, and those asked of the leader.
//! Bounded in number, in time and in what they may cost a second.

use std::collections::BTreeMap;

use super::token_bucket::TokenBucket;
use super::{Action, Clock, InboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::protocol::peer::PeerMessage;
use crate::tunables::OperatorTunables;

/// Clients wait longer; the answer must be on its way before.
const BARRIER_TIMEOUT_MS: u64 = 2_500;
/// After that a follower answers for itself, or says that the leader did not.
const FORWARD_TIMEOUT_MS: u64 = 1_500;
/// Questions held at once, here and at the leader.
const MAX_PENDING: usize = 200;
pub const RETRY_AFTER_S: u32 = 1;

/// Who gets the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requester {
    Client(InboundId),
    /// Another controller, whose client asked.
    Controller {
        controller: String,
        query_id: u64,
    },
}

#[derive(Debug)]
pub struct PendingQuery {
    pub requester: Requester,
    pub request: OperatorRequest,
    received_at: Millis,
    deadline: Millis,
}

#[derive(Debug)]
struct ForwardedQuery {
    inbound: InboundId,
    request: OperatorRequest,
    deadline: Millis,
}

#[derive(Debug)]
pub struct OperatorQueryHandler {
    pub enabled: bool,
    awaiting_barrier: Vec<PendingQuery>,
    forwarded: BTreeMap<u64, ForwardedQuery>,
    last_query_id: u64,
    /// Answers that cost a look at every machine or job.
    budget: TokenBucket,
}

impl OperatorQueryHandler {
    /// Questions are numbered from `first` on, which differs from process to process: the answer to one that a former
    /// process of this name asked is nobody's.
    pub fn new(tunables: &OperatorTunables, first_query_id: u64, now: Millis) -> OperatorQueryHandler {
        OperatorQueryHandler {
            enabled: tunables.enabled,
            awaiting_barrier: Vec::new(),
            forwarded: BTreeMap::new(),
            last_query_id: first_query_id,
            budget: TokenBucket::new(tunables.queries_per_s, now),
        }
    }

    pub fn needs_read_barrier(&self) -> bool {
        !self.awaiting_barrier.is_empty()
    }

    /// Waits for a barrier; false if there are too many.
    pub fn enqueue(&mut self, now: Millis, requester: Requester, request: OperatorRequest) -> bool {
        let room = self.awaiting_barrier.len() < MAX_PENDING;
        if room {
            self.awaiting_barrier.push(PendingQuery {
                requester,
                request,
                received_at: now,
                deadline: now.saturating_add(BARRIER_TIMEOUT_MS),
            });
        }
        room
    }

    /// Asks the leader; false if there are too many.
    pub fn forward_to_leader(
        &mut self,
        now: Millis,
        leader: &str,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(question) = request.to_leader_query().filter(|_| self.forwarded.len() < MAX_PENDING) else {
            return false;
        };
        self.last_query_id = self.last_query_id.wrapping_add(1);
        self.forwarded.insert(
            self.last_query_id,
            ForwardedQuery { inbound, request, deadline: now.saturating_add(FORWARD_TIMEOUT_MS) },
        );
        out.push(Action::SendPeerMessage {
            controller: leader.into(),
            message: PeerMessage::Query { query_id: self.last_query_id, query: question },
        });
        true
    }

    /// The leader's answer has come: whose it is.
    pub fn take_forwarded(&mut self, query_id: u64) -> Option<(InboundId, OperatorRequest)> {
        self.forwarded.remove(&query_id).map(|relayed| (relayed.inbound, relayed.request))
    }

    /// Questions that a read sent at `sent` answers, equal ones together.
    pub fn take_ready(&mut self, read_sent_at: Millis) -> Vec<(OperatorRequest, Vec<Requester>)> {
        let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|question| question.received_at <= read_sent_at);
        self.awaiting_barrier = rest;
        let mut groups: Vec<(OperatorRequest, Vec<Requester>)> = Vec::new();
        for question in ready {
            match groups.iter_mut().find(|(request, _)| *request == question.request) {
                Some((_, askers)) => askers.push(question.requester),
                None => groups.push((question.request, vec![question.requester])),
            }
        }
        groups
    }

    /// May one more answer be worked out now?
    pub fn try_take_budget(&mut self, now: Millis) -> bool {
        self.budget.try_take(now, 1)
    }

    /// What the leader did not answer in time, and those that no barrier came for.
    pub fn take_expired(&mut self, clock: Clock) -> (Vec<(InboundId, OperatorRequest)>, Vec<Requester>) {
        let unanswered_ids: Vec<u64> =
            self.forwarded.iter().filter(|(_, r)| r.deadline <= clock.now).map(|(ask, _)| *ask).collect();
        let unanswered = unanswered_ids.into_iter().filter_map(|ask| self.take_forwarded(ask)).collect();
        let (expired, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|question| question.deadline <= clock.now);
        self.awaiting_barrier = rest;
        (unanswered, expired.into_iter().map(|question| question.requester).collect())
    }
}

/// The answer goes to a client, or back over the mesh.
pub fn send_response(requester: &Requester, response: &HttpResponse, out: &mut Vec<Action>) {
    out.push(match requester {
        Requester::Client(call) => Action::Respond { inbound: *call, response: response.clone() },
        Requester::Controller { controller: node, query_id: ask } => {
            let message = PeerMessage::QueryResponse {
                query_id: *ask,
                status: response.status,
                retry_after_s: response.retry_after_s,
                body: response.body.clone(),
            };
            Action::SendPeerMessage { controller: node.clone(), message }
        }
    });
}

#[cfg(test)]
#[path = "tests/operator_queries.rs"]
mod tests;
