//! Operators' queries: each waits for a read barrier here or is forwarded to the leader, and is then
//! answered.

use super::Controller;
use crate::coordination::operator_queries::{Requester, respond_to};
use crate::coordination::unavailable::Unavailable;
use crate::coordination::{Action, Clock, InboundId, OutboundId};
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::protocol::peer::LeaderQuery;

/// HTTP status with which a leader responds to a forwarded query that it cannot answer now.
const SERVICE_UNAVAILABLE: u16 = 503;

impl Controller {
    /// Returns whether the operators' interface is enabled.
    pub fn serves_operators(&self) -> bool {
        self.operator_queries.enabled
    }

    /// Handles a query from one of this controller's own clients.
    pub(super) fn handle_operator_query(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(response) = self.respond_or_defer(clock, inbound, request, out) {
            out.push(Action::Respond { inbound, response });
        }
    }

    /// Returns the response if it is available at once; otherwise the query waits here or at the leader.
    fn respond_or_defer(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) -> Option<HttpResponse> {
        if request == OperatorRequest::Status {
            return Some(HttpResponse::json(200, &self.status(clock)));
        }
        if !self.kv_client.loaded {
            return Some(Unavailable::CacheLoading.into());
        }
        if !self.kv_client.is_reachable(clock.now) {
            return Some(self.kv_unreachable_response(clock, &request));
        }
        let result = match self.leader_to_forward_to(clock, &request) {
            Some(leader) => {
                self.operator_queries.forward_to_leader(clock.now, &leader, inbound, request, out)
            }
            None => self.operator_queries.enqueue(
                clock.now,
                self.kv_client.last_sent(),
                Requester::Client(inbound),
                request,
            ),
        };
        result.err().map(HttpResponse::from)
    }

    /// Returns the leader if the query should be forwarded to it because it has more information than the
    /// records. Returns `None` if this controller leads, the leader cannot be reached or the job has
    /// finished: terminal states never change, so the records suffice for them.
    fn leader_to_forward_to(&self, clock: Clock, request: &OperatorRequest) -> Option<String> {
        if self.state.is_leader() || request.to_leader_query().is_none() {
            return None;
        }
        let leader = self.state.known_leader()?;
        let is_live = self.peers.is_peer_live(clock.now, leader);
        (is_live && !self.concerns_finished_job(request)).then(|| leader.to_string())
    }

    /// Returns whether the records suffice because the job has finished. Events are not part of the records,
    /// so queries for them need the leader even after the job has finished.
    fn concerns_finished_job(&self, request: &OperatorRequest) -> bool {
        match request {
            OperatorRequest::InspectJob { id, .. } | OperatorRequest::ExplainJob { id, .. } => {
                self.state.cache.terminal_state(*id).is_some()
            }
            _ => false,
        }
    }

    /// Handles a query that another controller forwarded because this controller leads or led until recently.
    pub(super) fn receive_forwarded_query(
        &mut self,
        clock: Clock,
        controller: &str,
        query_id: u64,
        query: &LeaderQuery,
        out: &mut Vec<Action>,
    ) {
        let requester = Requester::Controller { controller: controller.into(), query_id };
        let can_answer = self.operator_queries.enabled && self.state.is_leader();
        let is_enqueued = can_answer
            && self
                .operator_queries
                .enqueue(
                    clock.now,
                    self.kv_client.last_sent(),
                    requester.clone(),
                    OperatorRequest::from(query),
                )
                .is_ok();
        if !is_enqueued {
            respond_to(&requester, &Unavailable::ForwardedQueryRefused.into(), out);
        }
    }

    /// Handles the leader's response to a query that this controller forwarded.
    pub(super) fn receive_leader_response(
        &mut self,
        clock: Clock,
        query_id: u64,
        response: HttpResponse,
        out: &mut Vec<Action>,
    ) {
        let Some((inbound, request)) = self.operator_queries.take_forwarded(query_id) else { return };
        if response.status == SERVICE_UNAVAILABLE {
            self.answer_without_leader(clock, inbound, request, out);
        } else {
            out.push(Action::Respond { inbound, response });
        }
    }

    /// Answers a query from the records if they suffice, because the leader does not answer it.
    fn answer_without_leader(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: OperatorRequest,
        out: &mut Vec<Action>,
    ) {
        let is_answerable_from_records =
            matches!(request, OperatorRequest::InspectJob { .. } | OperatorRequest::ExplainJob { .. });
        let is_enqueued = is_answerable_from_records
            && self
                .operator_queries
                .enqueue(clock.now, self.kv_client.last_sent(), Requester::Client(inbound), request)
                .is_ok();
        if !is_enqueued {
            out.push(Action::respond(inbound, Unavailable::LeaderUnresponsive));
        }
    }

    /// Answers queries whose response from the leader or read barrier did not arrive in time.
    pub(super) fn expire_operator_queries(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let expired = self.operator_queries.take_expired(clock);
        for (inbound, request) in expired.forwarded {
            self.answer_without_leader(clock, inbound, request, out);
        }
        let response = Unavailable::ReadBarrierTimeout.into();
        for requester in expired.awaiting_barrier {
            respond_to(&requester, &response, out);
        }
    }

    /// Answers the queries that were received before `read` was sent: it has been applied to the cache.
    pub(super) fn respond_to_operator_queries(
        &mut self,
        clock: Clock,
        read: OutboundId,
        out: &mut Vec<Action>,
    ) {
        for group in self.operator_queries.take_ready(read) {
            let response = if self.operator_queries.try_take_budget(clock.now) {
                self.operator_response(clock, &group.request)
            } else {
                Unavailable::QueryRateExceeded.into()
            };
            for requester in &group.requesters {
                respond_to(requester, &response, out);
            }
        }
    }
}
