//! Users' requests: decides which can be answered from the cache at once, which need a read barrier, and
//! which need a write first. Owns the requests that wait; their number and waiting time are bounded. Performs
//! no I/O and reads no clock.

mod feasibility;
mod writes;

pub use feasibility::check_feasibility;
pub use writes::TxnResult;
use writes::{JobWrite, PendingWrite};

use super::controller_state::ControllerState;
use super::kv_client::KvClient;
use super::pending_request::PendingRequest;
use super::unavailable::Unavailable;
use super::{Action, Clock, InboundId, OutboundId};
use crate::bookkeeping::jobs::TerminalState;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::users::{JobManifest, JobStatus, UserRequest, status_response};
use crate::tunables::Tunables;

/// How long a poll may wait. Users time out after 2 s, so the response still reaches them.
const POLL_TIMEOUT_MS: u64 = 1500;
/// How long any other request may wait. Users time out after 5 s, so the response still reaches them.
const WRITE_TIMEOUT_MS: u64 = 3500;
/// Maximum number of requests that wait at the same time; further ones are rejected with a retry delay.
const MAX_PENDING: usize = 2000;

type Pending = PendingRequest<UserRequest>;

/// What a request results in once its read barrier is complete.
enum Decision {
    Respond(HttpResponse),
    Write(JobWrite),
}

/// Holds users' requests until they can be answered.
#[derive(Debug, Default)]
pub struct UserRequestHandler {
    /// Whether terminal records include the details of finished jobs that the operators' interface shows.
    records_details: bool,
    /// Whether runs of graphs may be accepted: submissions then must not use a name that a graph's node has
    /// taken in the meantime.
    graphs_enabled: bool,
    awaiting_barrier: Vec<Pending>,
    /// Requests about jobs whose terminal state is known here while another controller might still report an
    /// older one.
    awaiting_stability: Vec<Pending>,
    queued_writes: Vec<PendingWrite>,
    writes_in_flight: Vec<PendingWrite>,
    /// Jobs that were reported as done since the last call of `take_reported_done`.
    reported_done: Vec<JobId>,
}

impl UserRequestHandler {
    /// Creates a handler without requests.
    pub fn new(tunables: &Tunables) -> UserRequestHandler {
        UserRequestHandler {
            records_details: tunables.operators.enabled,
            graphs_enabled: tunables.graphs.enabled,
            ..UserRequestHandler::default()
        }
    }

    /// Returns whether a request waits for a newer read of the store.
    pub fn needs_read_barrier(&self) -> bool {
        !self.awaiting_barrier.is_empty()
    }

    /// Removes and returns the jobs that were reported as done since the last call.
    pub fn take_reported_done(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.reported_done)
    }

    /// Returns the number of requests that wait, without those whose write is in flight.
    pub fn pending_count(&self) -> usize {
        self.awaiting_barrier.len() + self.awaiting_stability.len() + self.queued_writes.len()
    }

    /// Returns the job of the request that has waited longest for a terminal state to become stable.
    pub fn oldest_awaiting_stability(&self) -> Option<JobId> {
        self.awaiting_stability.first().map(|pending| pending.request.id())
    }

    /// Handles a request; returns the response if it is available at once.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: UserRequest,
        kv_client: &KvClient,
        state: &ControllerState,
    ) -> Option<HttpResponse> {
        let id = request.id();
        let is_terminal = state.cache.terminal_state(id).is_some();
        if is_terminal && state.is_stable(id, clock) {
            return self.terminal_response(id, &state.cache);
        }
        if !kv_client.loaded || !kv_client.is_reachable(clock.now) || self.pending_count() >= MAX_PENDING {
            return Some(Unavailable::CannotDecide.into());
        }
        let timeout_ms = match request {
            UserRequest::Poll { .. } => POLL_TIMEOUT_MS,
            UserRequest::Submit { .. } | UserRequest::Cancel { .. } => WRITE_TIMEOUT_MS,
        };
        let pending = PendingRequest::new(inbound, request, kv_client.last_sent(), clock.now, timeout_ms);
        if is_terminal {
            self.awaiting_stability.push(pending);
        } else {
            self.enqueue(pending, state);
        }
        None
    }

    /// Queues the write of a new and feasible submission at once; any other request waits for a read.
    ///
    /// The transaction's preconditions detect a name that is already in use, so a submission needs no read
    /// first. That read accounted for half of a submission's latency.
    fn enqueue(&mut self, pending: Pending, state: &ControllerState) {
        match pending.request {
            UserRequest::Submit { id, manifest: Ok(manifest) }
                if is_unknown_and_feasible(id, &manifest, state) =>
            {
                self.queued_writes.push(PendingWrite {
                    inbound: pending.inbound,
                    job: id,
                    write: JobWrite::Accept { manifest },
                    deadline: pending.deadline,
                });
            }
            request => self.awaiting_barrier.push(Pending { request, ..pending }),
        }
    }

    /// Decides the requests that were received before `read` was sent: it has been applied to the cache.
    pub fn complete_read_barrier(
        &mut self,
        clock: Clock,
        read: OutboundId,
        state: &ControllerState,
        out: &mut Vec<Action>,
    ) {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|pending| pending.is_covered_by_read(read));
        self.awaiting_barrier = waiting;
        for pending in ready {
            self.decide(clock, pending, state, out);
        }
    }

    /// Answers the requests whose job's terminal state has become stable.
    pub fn respond_when_stable(&mut self, clock: Clock, state: &ControllerState, out: &mut Vec<Action>) {
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_stability)
            .into_iter()
            .partition(|pending| state.is_stable(pending.request.id(), clock));
        self.awaiting_stability = waiting;
        for pending in ready {
            match self.terminal_response(pending.request.id(), &state.cache) {
                Some(response) => out.push(Action::respond(pending.inbound, response)),
                // The cache has been discarded in the meantime and is being reloaded.
                None => self.awaiting_barrier.push(pending),
            }
        }
    }

    /// Answers a request from the cache, or queues the write that it needs.
    fn decide(&mut self, clock: Clock, pending: Pending, state: &ControllerState, out: &mut Vec<Action>) {
        let cache = &state.cache;
        let (inbound, id) = (pending.inbound, pending.request.id());
        if cache.terminal_state(id).is_some() && !state.is_stable(id, clock) {
            self.awaiting_stability.push(pending);
            return;
        }
        if let Some(response) = self.terminal_response(id, cache) {
            out.push(Action::respond(inbound, response));
            return;
        }
        let decision = match pending.request {
            UserRequest::Poll { id } => Decision::Respond(
                job_status_response(id, state).unwrap_or_else(|| HttpResponse::error(404, "no such job")),
            ),
            UserRequest::Cancel { id } => self.decide_cancel(id, cache),
            UserRequest::Submit { id, manifest } => decide_submit(id, manifest, state),
        };
        match decision {
            Decision::Respond(response) => out.push(Action::respond(inbound, response)),
            Decision::Write(write) => {
                self.queued_writes.push(PendingWrite { inbound, job: id, write, deadline: pending.deadline });
            }
        }
    }

    /// Decides the cancellation of a job that is not terminal.
    fn decide_cancel(&self, id: JobId, cache: &StoreCache) -> Decision {
        if cache.find(id).is_none() && !cache.dag_runs.is_node_job(id) {
            return Decision::Respond(HttpResponse::error(404, "no such job"));
        }
        Decision::Write(JobWrite::Cancel {
            detail: if self.records_details { cache.terminal_detail(id, None) } else { None },
            node: cache.dag_runs.cancelled_terminal(id).map(Box::new),
        })
    }

    /// Returns the response about a finished job, or `None` if the job is not terminal. Terminal states never
    /// change, so no newer read is needed.
    fn terminal_response(&mut self, id: JobId, cache: &StoreCache) -> Option<HttpResponse> {
        let status = match cache.terminal_state(id)? {
            TerminalState::Done => JobStatus::Done,
            TerminalState::Cancelled => JobStatus::Cancelled,
        };
        if status == JobStatus::Done {
            self.reported_done.push(id);
        }
        Some(status_response(200, id, status, None))
    }

    /// Rejects requests past their deadline, and all that need the store while it is unreachable.
    pub fn expire(&mut self, clock: Clock, kv_reachable: bool, out: &mut Vec<Action>) {
        self.awaiting_barrier
            .retain(|pending| pending.retain_unless(!kv_reachable || pending.is_expired(clock.now), out));
        // The terminal states are durable, so these requests no longer need the store.
        self.awaiting_stability.retain(|pending| pending.retain_unless(pending.is_expired(clock.now), out));
        self.queued_writes.retain(|write| {
            let is_rejected = !kv_reachable || write.deadline <= clock.now;
            if is_rejected {
                out.push(Action::respond(write.inbound, Unavailable::CannotDecide));
            }
            !is_rejected
        });
    }
}

fn is_unknown_and_feasible(id: JobId, manifest: &JobManifest, state: &ControllerState) -> bool {
    state.cache.find(id).is_none()
        && !state.cache.dag_runs.is_node_job(id)
        && check_feasibility(manifest, &state.cache, &state.settings).is_ok()
}

/// Decides a submission. A repeated submission is answered with the job's status, even if the rest of the
/// request differs or is invalid.
fn decide_submit(id: JobId, manifest: Result<Box<JobManifest>, String>, state: &ControllerState) -> Decision {
    if let Some(status) = job_status_response(id, state) {
        return Decision::Respond(status);
    }
    let manifest = match manifest {
        Ok(manifest) => manifest,
        Err(problem) => return Decision::Respond(HttpResponse::error(400, &problem)),
    };
    match check_feasibility(&manifest, &state.cache, &state.settings) {
        Ok(()) => Decision::Write(JobWrite::Accept { manifest }),
        Err(refusal) => Decision::Respond(refusal),
    }
}

/// Returns the status of a job that is not terminal, or `None` if there is no such job.
fn job_status_response(id: JobId, state: &ControllerState) -> Option<HttpResponse> {
    let Some(job) = state.cache.find_job(id) else {
        // A node of a graph becomes a job once its upstream nodes are done.
        return state
            .cache
            .dag_runs
            .is_node_job(id)
            .then(|| status_response(200, id, JobStatus::Pending, Some((0, 0))));
    };
    let running = state.running_task_count(id);
    let status = if running > 0 { JobStatus::Running } else { JobStatus::Pending };
    Some(status_response(200, id, status, Some((job.finished_tasks.count(), running))))
}
