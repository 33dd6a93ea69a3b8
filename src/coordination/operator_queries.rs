//! Operators' queries that wait for a read barrier here or for the leader's response. Their number, their
//! waiting time and the responses per second are bounded. Performs no I/O and reads no clock.

use std::collections::BTreeMap;

use super::token_bucket::TokenBucket;
use super::unavailable::Unavailable;
use super::{Action, Clock, InboundId, OutboundId};
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::protocol::peer::PeerMessage;
use crate::tunables::OperatorTunables;

/// How long a query may wait for a read barrier. Clients' own time-outs are longer, so the response still
/// reaches them.
const BARRIER_TIMEOUT_MS: u64 = 2_500;
/// How long a follower waits for the leader's response before it answers from the records alone or reports
/// that the leader does not answer.
const FORWARD_TIMEOUT_MS: u64 = 1_500;
/// Maximum number of queries that wait for a read barrier, and likewise of those that wait for the leader's
/// response.
const MAX_PENDING: usize = 200;

/// The client or controller that gets the response to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requester {
    /// A client of this controller.
    Client(InboundId),
    /// Another controller, which forwarded its client's query.
    Controller {
        /// The name of that controller.
        controller: String,
        /// The number that it gave the query; the response carries it.
        query_id: u64,
    },
}

#[derive(Debug)]
struct PendingQuery {
    requester: Requester,
    request: OperatorRequest,
    /// The last request that was sent to the store before the query arrived.
    last_sent_before: OutboundId,
    deadline: Millis,
}

#[derive(Debug)]
struct ForwardedQuery {
    inbound: InboundId,
    request: OperatorRequest,
    deadline: Millis,
}

/// Identical queries, whose requesters get the same response.
#[derive(Debug)]
pub struct QueryGroup {
    /// The query that all of them sent.
    pub request: OperatorRequest,
    /// The requesters, in the order in which their queries were received.
    pub requesters: Vec<Requester>,
}

/// Queries that were not answered in time.
#[derive(Debug)]
pub struct ExpiredQueries {
    /// Queries of this controller's clients that the leader did not answer.
    pub forwarded: Vec<(InboundId, OperatorRequest)>,
    /// Requesters whose query was not covered by a read of the store in time.
    pub awaiting_barrier: Vec<Requester>,
}

/// Holds operators' queries until they can be answered.
#[derive(Debug)]
pub struct OperatorQueryHandler {
    /// Whether the operators' interface is enabled.
    pub enabled: bool,
    awaiting_barrier: Vec<PendingQuery>,
    forwarded: BTreeMap<u64, ForwardedQuery>,
    last_query_id: u64,
    /// Limits the responses per second, since each may scan all machines or jobs.
    budget: TokenBucket,
}

impl OperatorQueryHandler {
    /// Creates a handler that numbers forwarded queries consecutively, starting after `query_id_base`. That
    /// number differs from process to process, so that the response to a query of an earlier process of this
    /// controller is not mistaken for the response to a new query.
    pub fn new(tunables: &OperatorTunables, query_id_base: u64, now: Millis) -> OperatorQueryHandler {
        OperatorQueryHandler {
            enabled: tunables.enabled,
            awaiting_barrier: Vec::new(),
            forwarded: BTreeMap::new(),
            last_query_id: query_id_base,
            budget: TokenBucket::new(tunables.queries_per_s, now),
        }
    }

    /// Returns whether a query waits for a newer read of the store.
    pub fn needs_read_barrier(&self) -> bool {
        !self.awaiting_barrier.is_empty()
    }

    /// Makes a query wait for a read that is sent after `last_sent_before`, the last request that was sent to the
    /// store before the query arrived.
    ///
    /// # Errors
    /// Returns an error if too many queries wait.
    pub fn enqueue(
        &mut self,
        now: Millis,
        last_sent_before: OutboundId,
        requester: Requester,
        request: OperatorRequest,
    ) -> Result<(), Unavailable> {
        if self.awaiting_barrier.len() >= MAX_PENDING {
            return Err(Unavailable::TooManyQueries);
        }
        let deadline = now.saturating_add(BARRIER_TIMEOUT_MS);
        self.awaiting_barrier.push(PendingQuery { requester, request, last_sent_before, deadline });
        Ok(())
    }

    /// Forwards a query to the leader.
    ///
    /// # Errors
    /// Returns an error if too many queries wait for the leader, or if queries of this kind are not
    /// forwarded.
    pub fn forward_to_leader(
        &mut self,
        now: Millis,
        leader: &str,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), Unavailable> {
        let query = request.to_leader_query().filter(|_| self.forwarded.len() < MAX_PENDING);
        let query = query.ok_or(Unavailable::TooManyQueries)?;
        self.last_query_id = self.last_query_id.wrapping_add(1);
        let query_id = self.last_query_id;
        let deadline = now.saturating_add(FORWARD_TIMEOUT_MS);
        self.forwarded.insert(query_id, ForwardedQuery { inbound, request, deadline });
        let message = PeerMessage::Query { query_id, query };
        out.push(Action::SendPeerMessage { controller: leader.into(), message });
        Ok(())
    }

    /// Removes and returns the query that a response of the leader belongs to.
    pub fn take_forwarded(&mut self, query_id: u64) -> Option<(InboundId, OperatorRequest)> {
        self.forwarded.remove(&query_id).map(|query| (query.inbound, query.request))
    }

    /// Removes and returns the queries that were received before `read` was sent, with identical ones grouped.
    pub fn take_ready(&mut self, read: OutboundId) -> Vec<QueryGroup> {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|query| query.last_sent_before < read);
        self.awaiting_barrier = waiting;
        let mut groups: Vec<QueryGroup> = Vec::new();
        for PendingQuery { requester, request, .. } in ready {
            match groups.iter_mut().find(|group| group.request == request) {
                Some(group) => group.requesters.push(requester),
                None => groups.push(QueryGroup { request, requesters: vec![requester] }),
            }
        }
        groups
    }

    /// Takes one response from the rate limit's budget; returns false if the budget is used up.
    pub fn try_take_budget(&mut self, now: Millis) -> bool {
        self.budget.try_take(now, 1)
    }

    /// Removes and returns the queries past their deadline.
    pub fn take_expired(&mut self, clock: Clock) -> ExpiredQueries {
        let expired_ids: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, query)| query.deadline <= clock.now)
            .map(|(query_id, _)| *query_id)
            .collect();
        let forwarded = expired_ids.into_iter().filter_map(|id| self.take_forwarded(id)).collect();
        let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|query| query.deadline <= clock.now);
        self.awaiting_barrier = waiting;
        let awaiting_barrier = expired.into_iter().map(|query| query.requester).collect();
        ExpiredQueries { forwarded, awaiting_barrier }
    }
}

/// Responds to a client, or to the controller that forwarded its client's query.
pub fn respond_to(requester: &Requester, response: &HttpResponse, out: &mut Vec<Action>) {
    out.push(match requester {
        Requester::Client(inbound) => Action::Respond { inbound: *inbound, response: response.clone() },
        Requester::Controller { controller, query_id } => {
            let message = PeerMessage::QueryResponse {
                query_id: *query_id,
                status: response.status,
                retry_after_s: response.retry_after_s,
                body: response.body.clone(),
            };
            Action::SendPeerMessage { controller: controller.clone(), message }
        }
    });
}

#[cfg(test)]
#[path = "tests/operator_queries.rs"]
mod tests;
