//! Requests that change runs of graphs: uploads of parts, commits, cancellations and reruns. Each is decided
//! after a read barrier and written conditionally, one transaction at a time. Owns the requests that wait;
//! their number and waiting time are bounded. Performs no I/O and reads no clock.

mod commit;
mod decision;
mod phase_change;
mod rejection;
mod upload;

use std::collections::VecDeque;

use commit::decide_commit;
use decision::{Decision, DecisionContext};
use phase_change::{decide_cancel, decide_rerun};
use upload::decide_upload;

use super::controller_state::ControllerState;
use super::kv_client::{CompletedRequest, KvClient, Purpose};
use super::kv_mutations::{RATE_LIMITED, apply_own_mutations};
use super::pending_request::PendingRequest;
use super::unavailable::Unavailable;
use super::{Action, Clock, InboundId, OutboundId};
use crate::bookkeeping::store_cache::StoreCache;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::DagRequest;
use crate::protocol::kv::KvReply;

/// How long a request may wait. Clients' own time-outs are longer, so the response still reaches them.
const REQUEST_TIMEOUT_MS: u64 = 3_500;
/// Maximum number of requests that wait at the same time: the body of each is kept in memory.
const MAX_PENDING: usize = 32;
/// Minimum number of mutations that must be available before a request is decided. It suffices for every
/// request except uploads of many parts, which are spread over several transactions.
const MIN_TXN_OPS: usize = 2;

type Pending = PendingRequest<DagRequest>;

#[derive(Debug)]
struct WriteInFlight {
    pending: Pending,
    /// `None` if the request needs further transactions.
    response: Option<HttpResponse>,
}

/// Holds changes of runs until they are written and answered.
#[derive(Debug, Default)]
pub struct GraphRequestHandler {
    pending: VecDeque<Pending>,
    write_in_flight: Option<WriteInFlight>,
}

impl GraphRequestHandler {
    /// Returns whether a request waits for a newer read of the store.
    pub fn needs_read_barrier(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of requests that wait, without the one whose write is in flight.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Queues a request, or returns the response that rejects it.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: DagRequest,
        kv_client: &KvClient,
    ) -> Option<HttpResponse> {
        if !kv_client.loaded || !kv_client.is_reachable(clock.now) || self.pending.len() >= MAX_PENDING {
            return Some(Unavailable::CannotDecide.into());
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

    /// Decides the requests that the cache is new enough for, up to the first that needs a write.
    pub fn process_pending(
        &mut self,
        clock: Clock,
        state: &ControllerState,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        let Some(read) = kv_client.last_applied_poll else { return };
        while self.write_in_flight.is_none()
            && let Some(index) = self.pending.iter().position(|pending| pending.is_covered_by_read(read))
        {
            let available_ops = kv_client.write_bucket.available(clock.now);
            let max_ops = available_ops.min(state.settings.kv_limits.max_txn_ops);
            if max_ops < MIN_TXN_OPS {
                return;
            }
            let context = DecisionContext { clock, state, max_ops };
            match decide(&self.pending[index].request, &context) {
                Decision::Respond(response) => {
                    let answered = self.pending.remove(index);
                    out.extend(answered.map(|pending| Action::respond(pending.inbound, response)));
                }
                Decision::Write { preconditions, mutations, response } => {
                    if kv_client.txn(clock, Purpose::GraphTxn, preconditions, mutations, out).is_none() {
                        return;
                    }
                    let written = self.pending.remove(index);
                    self.write_in_flight = written.map(|pending| WriteInFlight { pending, response });
                }
            }
        }
    }

    /// Rejects requests past their deadline, and all requests while the store is unreachable.
    pub fn expire(&mut self, clock: Clock, kv_reachable: bool, out: &mut Vec<Action>) {
        self.pending
            .retain(|pending| pending.retain_unless(!kv_reachable || pending.is_expired(clock.now), out));
    }

    /// Handles the store's reply to the transaction in flight. `last_sent` is the last request that was sent to the
    /// store before the reply arrived.
    pub fn handle_txn_reply(
        &mut self,
        completed: &CompletedRequest,
        last_sent: OutboundId,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) {
        let Some(WriteInFlight { pending, response }) = self.write_in_flight.take() else { return };
        match &completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, *revision, cache);
                match response {
                    Some(response) => out.push(Action::respond(pending.inbound, response)),
                    None => self.pending.push_front(pending),
                }
            }
            // Another controller wrote first: the request is decided again on the basis of that write.
            KvReply::PreconditionFailed { .. } => {
                self.pending.push_back(pending.awaiting_read_after(last_sent));
            }
            KvReply::Rejected { status: RATE_LIMITED } => self.pending.push_front(pending),
            // The client repeats the request, and the response then shows whether the write was stored.
            _ => out.push(Action::respond(pending.inbound, Unavailable::WriteOutcomeUnknown)),
        }
    }
}

fn decide(request: &DagRequest, context: &DecisionContext<'_>) -> Decision {
    let result = match request {
        DagRequest::UploadParts { run, upload } => decide_upload(run, upload, context),
        DagRequest::Commit { run, header } => decide_commit(run, header, context),
        DagRequest::Cancel { run } => decide_cancel(run, context),
        DagRequest::Rerun { run, rerun } => decide_rerun(run, rerun, context),
    };
    result.unwrap_or_else(Decision::Respond)
}
