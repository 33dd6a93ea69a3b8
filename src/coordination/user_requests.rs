//! Users' requests: what can be answered at once, what needs a read barrier,
//! and what has to be written first.

use super::kv_client::{CompletedRequest, KvClient, Purpose};
use super::read_watermarks::{MAX_READ_AGE_MS, ReadWatermarks};
use super::{Action, Clock, InboundId};
use crate::bookkeeping::dag_records::NodeTerminalRecord;
use crate::bookkeeping::jobs::{TerminalState, task_resources};
use crate::bookkeeping::records::{
    GRAPH_ACCEPTANCE_KEY, JobRecord, RecordKey, TerminalDetail, TerminalRecord,
};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{JobId, Millis, Resources, Revision, to_milli_floor};
use crate::protocol::HttpResponse;
use crate::protocol::kv::{KvEntry, KvMutation, KvReply, KvRequest, Precondition};
use crate::protocol::users::{JobKind, JobManifest, JobStatus, UserRequest, status_response};
use crate::settings::{Settings, TeamSettings};

/// Users wait 2 s for a poll and 5 s for the rest; the answer must be on its way before.
const POLL_TIMEOUT_MS: u64 = 1500;
const WRITE_TIMEOUT_MS: u64 = 3500;
/// Requests held at once; more are told to come back.
const MAX_PENDING: usize = 2000;
pub const RETRY_AFTER_S: u32 = 1;

#[derive(Debug)]
struct PendingRequest {
    inbound: InboundId,
    request: UserRequest,
    received_at: Millis,
    deadline: Millis,
}

#[derive(Debug)]
enum PendingWrite {
    Accept {
        inbound: InboundId,
        id: JobId,
        spec: Box<JobManifest>,
    },
    Cancel {
        inbound: InboundId,
        id: JobId,
        detail: Option<TerminalDetail>,
        node: Option<Box<NodeTerminalRecord>>,
    },
}

impl PendingWrite {
    fn id(&self) -> JobId {
        match self {
            PendingWrite::Accept { id, .. } | PendingWrite::Cancel { id, .. } => *id,
        }
    }

    fn inbound(&self) -> InboundId {
        match self {
            PendingWrite::Accept { inbound: call, .. } | PendingWrite::Cancel { inbound: call, .. } => *call,
        }
    }
}

#[derive(Debug, Default)]
pub struct UserRequestHandler {
    /// Ends tell more for operators.
    records_details: bool,
    /// Graphs may be accepted: submissions are guarded against names that became known with one.
    graphs_enabled: bool,
    awaiting_barrier: Vec<PendingRequest>,
    /// About jobs whose end is known, but may not be told yet.
    awaiting_stability: Vec<PendingRequest>,
    queued_writes: Vec<(PendingWrite, Millis)>,
    writes_in_flight: Vec<(PendingWrite, Millis)>,
    /// Jobs whose users were told that they are done, since that was last asked.
    reported_done: Vec<JobId>,
}

/// What a request is decided by.
pub struct UserRequestContext<'a> {
    pub cache: &'a StoreCache,
    pub watermarks: &'a ReadWatermarks,
    pub settings: &'a Settings,
}

impl UserRequestContext<'_> {
    fn is_stable(&self, id: JobId, now: Millis) -> bool {
        self.watermarks.is_stable(id, now, self.cache.revision, self.cache.leader.as_ref())
    }
}

/// Tells how many tasks of a job run, for display.
pub type RunningTaskCount<'a> = &'a dyn Fn(JobId) -> u32;

impl UserRequestHandler {
    pub fn new(records_details: bool, graphs_enabled: bool) -> UserRequestHandler {
        UserRequestHandler { records_details, graphs_enabled, ..UserRequestHandler::default() }
    }

    pub fn needs_read_barrier(&self) -> bool {
        !self.awaiting_barrier.is_empty()
    }

    /// Ends never change, so the mirror's word is enough.
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

    /// Whom it told of jobs that are done, since it was last asked.
    pub fn take_reported_done(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.reported_done)
    }

    /// Something is to be written as soon as the limits allow.
    pub fn has_writes_to_send(&self) -> bool {
        !self.queued_writes.is_empty() && self.writes_in_flight.is_empty()
    }

    /// Requests that wait for an answer and have not been sent to the state service.
    pub fn unsent_count(&self) -> usize {
        self.awaiting_barrier.len() + self.awaiting_stability.len() + self.queued_writes.len()
    }

    /// A request comes in: its answer, if it can be answered at once.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: UserRequest,
        kv_client: &KvClient,
        context: &UserRequestContext<'_>,
    ) -> Option<HttpResponse> {
        let (id, cache) = (request.id(), context.cache);
        let finished = cache.terminal_state(id).is_some();
        if finished && context.is_stable(id, clock.now) {
            return self.terminal_response(id, cache);
        }
        if !kv_client.loaded || !kv_client.is_reachable(clock.now) || self.unsent_count() >= MAX_PENDING {
            return Some(HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S));
        }
        let timeout_ms = match request {
            UserRequest::Poll { .. } => POLL_TIMEOUT_MS,
            _ => WRITE_TIMEOUT_MS,
        };
        let deadline = clock.now.saturating_add(timeout_ms);
        match request {
            request if finished => self.awaiting_stability.push(PendingRequest {
                inbound,
                request,
                received_at: clock.now,
                deadline,
            }),
            // The transaction's guards find out whether the name is known after all: nothing
            // has to be read first, which made half of the time that a submission took.
            UserRequest::Submit { id, manifest: Ok(spec) }
                if cache.find(id).is_none()
                    && !cache.dag_runs.is_node_job(id)
                    && check_feasibility(&spec, cache, context.settings).is_ok() =>
            {
                self.queued_writes.push((PendingWrite::Accept { inbound, id, spec }, deadline));
            }
            request => self.awaiting_barrier.push(PendingRequest {
                inbound,
                request,
                received_at: clock.now,
                deadline,
            }),
        }
        None
    }

    /// The mirror holds everything up to a read that was sent at `sent`.
    pub fn complete_read_barrier(
        &mut self,
        clock: Clock,
        read_sent_at: Millis,
        context: &UserRequestContext<'_>,
        running_tasks: RunningTaskCount<'_>,
        out: &mut Vec<Action>,
    ) {
        let (ready, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.awaiting_barrier)
            .into_iter()
            .partition(|waiting| waiting.received_at <= read_sent_at);
        self.awaiting_barrier = rest;
        for waiting in ready {
            self.decide(clock, waiting, context, running_tasks, out);
        }
    }

    /// Answers what waited until an end may be told.
    pub fn respond_when_stable(
        &mut self,
        clock: Clock,
        context: &UserRequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        if self.awaiting_stability.is_empty() {
            return;
        }
        let is_stable = |waiting: &PendingRequest| context.is_stable(waiting.request.id(), clock.now);
        let (ready, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.awaiting_stability).into_iter().partition(is_stable);
        self.awaiting_stability = rest;
        for waiting in ready {
            match self.terminal_response(waiting.request.id(), context.cache) {
                Some(answer) => out.push(Action::Respond { inbound: waiting.inbound, response: answer }),
                // The records are being read anew.
                None => self.awaiting_barrier.push(waiting),
            }
        }
    }

    /// The job that somebody has waited longest for to be told of.
    pub fn oldest_awaiting_stability(&self) -> Option<JobId> {
        self.awaiting_stability.first().map(|waiting| waiting.request.id())
    }

    fn decide(
        &mut self,
        clock: Clock,
        pending: PendingRequest,
        context: &UserRequestContext<'_>,
        running_tasks: RunningTaskCount<'_>,
        out: &mut Vec<Action>,
    ) {
        let UserRequestContext { cache, settings, .. } = *context;
        let (inbound, id) = (pending.inbound, pending.request.id());
        if cache.terminal_state(id).is_some() && !context.is_stable(id, clock.now) {
            self.awaiting_stability.push(pending);
            return;
        }
        if let Some(response) = self.terminal_response(id, cache) {
            out.push(Action::Respond { inbound, response });
            return;
        }
        let response = match pending.request {
            UserRequest::Poll { id } => job_status_response(id, cache, running_tasks)
                .unwrap_or_else(|| HttpResponse::error(404, "no such job")),
            UserRequest::Cancel { id } if cache.find(id).is_some() || cache.dag_runs.is_node_job(id) => {
                let detail = if self.records_details { cache.terminal_detail(id, None) } else { None };
                let node = cache.dag_runs.cancelled_terminal(id).map(Box::new);
                self.queued_writes
                    .push((PendingWrite::Cancel { inbound, id, detail, node }, pending.deadline));
                return;
            }
            UserRequest::Cancel { .. } => HttpResponse::error(404, "no such job"),
            // A known name comes before any verdict about what else is in the request.
            UserRequest::Submit { id, manifest: spec } => {
                match (job_status_response(id, cache, running_tasks), spec) {
                    (Some(known), _) => known,
                    (None, Err(problem)) => HttpResponse::error(400, &problem),
                    (None, Ok(spec)) => match check_feasibility(&spec, cache, settings) {
                        Ok(()) => {
                            self.queued_writes
                                .push((PendingWrite::Accept { inbound, id, spec }, pending.deadline));
                            return;
                        }
                        Err(answer) => answer,
                    },
                }
            }
        };
        out.push(Action::Respond { inbound, response });
    }

    /// Gives up on what waited too long, and on everything once the service refuses.
    pub fn expire(&mut self, clock: Clock, reachable: bool, out: &mut Vec<Action>) {
        let overdue = |until: Millis| !reachable || until <= clock.now;
        let mut refuse = |call: InboundId| {
            let response = HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S);
            out.push(Action::Respond { inbound: call, response });
        };
        self.awaiting_barrier.retain(|waiting| {
            let over = overdue(waiting.deadline);
            if over {
                refuse(waiting.inbound);
            }
            !over
        });
        // Their ends are durable: they need the state service no more.
        self.awaiting_stability.retain(|waiting| {
            let over = waiting.deadline <= clock.now;
            if over {
                refuse(waiting.inbound);
            }
            !over
        });
        self.queued_writes.retain(|(write, until)| {
            let over = overdue(*until);
            if over {
                refuse(write.inbound());
            }
            !over
        });
    }

    /// Sends what waits to be written, one transaction at a time.
    pub fn send_writes(
        &mut self,
        clock: Clock,
        txn_ops: usize,
        cache: &StoreCache,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        if !self.writes_in_flight.is_empty() || self.queued_writes.is_empty() {
            return;
        }
        self.revalidate_queued(clock, cache);
        let most = txn_ops.min(kv_client.write_bucket.available(clock.now));
        let mut preconditions = Vec::new();
        let mut mutations: Vec<KvMutation> = Vec::new();
        let mut bytes = 0;
        let mut count = 0;
        let graphs = cache.key_revision(GRAPH_ACCEPTANCE_KEY);
        if self.graphs_enabled || graphs != Revision(0) {
            preconditions.push(Precondition { key: GRAPH_ACCEPTANCE_KEY.into(), revision: graphs });
        }
        for (write, _) in self.queued_writes.iter().take(most) {
            let (guard, change) = plan_mutation(write, clock.wall_ms);
            let size = mutation_size(&change);
            let twice = mutations.iter().any(|other| other.key() == change.key());
            if twice || (count > 0 && bytes + size > MAX_TXN_BYTES) {
                break;
            }
            bytes += size;
            count += 1;
            preconditions.extend(guard);
            mutations.push(change);
        }
        if count > 0 && kv_client.txn(clock, Purpose::UserTxn, preconditions, mutations, out).is_some() {
            self.writes_in_flight = self.queued_writes.drain(..count).collect();
        }
    }

    /// Submissions whose names became known with a graph since they were taken in.
    fn revalidate_queued(&mut self, clock: Clock, cache: &StoreCache) {
        let known = |write: &PendingWrite| matches!(write, PendingWrite::Accept { id, .. } if cache.dag_runs.is_node_job(*id));
        if !self.queued_writes.iter().any(|(write, _)| known(write)) {
            return;
        }
        for (write, until) in std::mem::take(&mut self.queued_writes) {
            match write {
                PendingWrite::Accept { inbound, id, spec } if cache.dag_runs.is_node_job(id) => {
                    let request = UserRequest::Submit { id, manifest: Ok(spec) };
                    self.awaiting_barrier.push(PendingRequest {
                        inbound,
                        request,
                        received_at: clock.now,
                        deadline: until,
                    });
                }
                write => self.queued_writes.push((write, until)),
            }
        }
    }

    /// What came of the transaction. True if the leader should hear of it.
    pub fn handle_txn_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) -> bool {
        let writing = std::mem::take(&mut self.writes_in_flight);
        match completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, revision, cache);
                for (write, until) in writing {
                    self.complete_write(clock, write, until, completed.sent_at, out);
                }
                true
            }
            KvReply::PreconditionFailed { failed_keys: failed } => {
                self.retry_conflicting(clock, writing, &failed);
                false
            }
            KvReply::Rejected { status: 429 } => {
                // Certainly not carried out: it goes again once the limit allows.
                self.queued_writes.extend(writing);
                false
            }
            _ => {
                // Perhaps carried out, perhaps not: the user asks again and gets to know.
                for (write, _) in writing {
                    let response = HttpResponse::retry_later("not certain to be stored", RETRY_AFTER_S);
                    out.push(Action::Respond { inbound: write.inbound(), response });
                }
                false
            }
        }
    }

    fn complete_write(
        &mut self,
        clock: Clock,
        write: PendingWrite,
        deadline: Millis,
        txn_sent_at: Millis,
        out: &mut Vec<Action>,
    ) {
        match write {
            // By then its user may have heard of its end from another node: asking again tells.
            PendingWrite::Accept { inbound, .. }
                if clock.now.saturating_since(txn_sent_at) >= MAX_READ_AGE_MS =>
            {
                let response = HttpResponse::retry_later("stored too long ago", RETRY_AFTER_S);
                out.push(Action::Respond { inbound, response });
            }
            PendingWrite::Accept { inbound, id, .. } => {
                log::info!(event = "accepted", job:% = id; "accepted {id}");
                let response = status_response(201, id, JobStatus::Pending, None);
                out.push(Action::Respond { inbound, response });
            }
            PendingWrite::Cancel { inbound, id, .. } => {
                log::info!(event = "withdrawn", job:% = id; "withdrawn {id}");
                let request = UserRequest::Cancel { id };
                self.awaiting_stability.push(PendingRequest {
                    inbound,
                    request,
                    received_at: clock.now,
                    deadline,
                });
            }
        }
    }

    /// Somebody else was first with some of the keys: those are looked up again.
    fn retry_conflicting(&mut self, clock: Clock, writes: Vec<(PendingWrite, Millis)>, failed: &[String]) {
        for (write, until) in writes {
            let id = write.id();
            let graphs_changed = failed.iter().any(|key| key == GRAPH_ACCEPTANCE_KEY);
            let conflicting = graphs_changed
                || failed.is_empty()
                || failed
                    .iter()
                    .any(|key| matches!(RecordKey::parse(key), Some(RecordKey::Job(k) | RecordKey::Terminal(k)) if k == id));
            if !conflicting {
                self.queued_writes.push((write, until));
                continue;
            }
            let (inbound, request) = match write {
                PendingWrite::Accept { inbound, id, spec } => {
                    (inbound, UserRequest::Submit { id, manifest: Ok(spec) })
                }
                PendingWrite::Cancel { inbound, id, .. } => (inbound, UserRequest::Cancel { id }),
            };
            self.awaiting_barrier.push(PendingRequest {
                inbound,
                request,
                received_at: clock.now,
                deadline: until,
            });
        }
    }
}

/// Below the 64 KiB of a transaction, with room for its frame.
const MAX_TXN_BYTES: usize = 48 * 1024;

fn mutation_size(mutation: &KvMutation) -> usize {
    match mutation {
        KvMutation::Put { key, value, .. } => key.len() * 3 + value.len() + 100,
        KvMutation::Delete { key } => key.len() * 2 + 60,
    }
}

fn plan_mutation(write: &PendingWrite, wall_ms: u64) -> (Vec<Precondition>, KvMutation) {
    let absent = |key: RecordKey| Precondition { key: key.encode(), revision: Revision(0) };
    match write {
        PendingWrite::Accept { id, spec, .. } => {
            let record = JobRecord { accepted_wall_ms: wall_ms, manifest: (**spec).clone() };
            let put = KvMutation::Put {
                key: RecordKey::Job(*id).encode(),
                value: serde_json::to_string(&record).unwrap_or_default(),
                lease: None,
            };
            // The record of an ended job is removed in time, its end never is.
            (vec![absent(RecordKey::Job(*id)), absent(RecordKey::Terminal(*id))], put)
        }
        PendingWrite::Cancel { id, detail, node, .. } => {
            let plain = || TerminalRecord::new(TerminalState::Cancelled, wall_ms, detail.clone());
            let of =
                |node: &NodeTerminalRecord| TerminalRecord::for_node(node.clone(), wall_ms, detail.clone());
            let record = node.as_deref().map_or_else(plain, of);
            let put = KvMutation::Put {
                key: RecordKey::Terminal(*id).encode(),
                value: serde_json::to_string(&record).unwrap_or_default(),
                lease: None,
            };
            (vec![absent(RecordKey::Terminal(*id))], put)
        }
    }
}

/// Takes the changes of a confirmed transaction into the mirror.
pub fn apply_own_mutations(request: &KvRequest, revision: Revision, cache: &mut StoreCache) {
    let KvRequest::Transaction { mutations: changes, .. } = request else {
        return;
    };
    for change in changes {
        let (key, value) = match change {
            KvMutation::Put { key, value, .. } => (key, Some(value.clone())),
            KvMutation::Delete { key } => (key, None),
        };
        cache.apply_own_change(&KvEntry { key: key.clone(), value, revision });
    }
}

fn job_status_response(
    id: JobId,
    cache: &StoreCache,
    running_tasks: RunningTaskCount<'_>,
) -> Option<HttpResponse> {
    let Some(job) = cache.find_job(id) else {
        // A node of a graph that waits for others.
        return cache
            .dag_runs
            .is_node_job(id)
            .then(|| status_response(200, id, JobStatus::Pending, Some((0, 0))));
    };
    let runs = running_tasks(id);
    let status = if runs > 0 { JobStatus::Running } else { JobStatus::Pending };
    Some(status_response(200, id, status, Some((job.finished_tasks.count(), runs))))
}

/// Can the job ever run?
pub fn check_feasibility(
    spec: &JobManifest,
    cache: &StoreCache,
    settings: &Settings,
) -> Result<(), HttpResponse> {
    let need = task_resources(spec);
    let Some(team) = settings.teams.iter().find(|team| team.name == spec.team) else {
        return Err(HttpResponse::error(422, "unknown team"));
    };
    if cache.machine_types.is_empty() {
        return Err(HttpResponse::retry_later("machine types are not known yet", RETRY_AFTER_S));
    }
    let fits = cache.machine_types.values().any(|kind| {
        let allowed = spec.machine_types.as_ref().is_none_or(|kinds| kinds.contains(&kind.name));
        let zone_allowed =
            spec.zone.as_ref().is_none_or(|zone| kind.zones.is_empty() || kind.zones.contains(zone));
        let capacity = Resources {
            cpu: to_milli_floor(kind.cpus),
            gpu: to_milli_floor(kind.gpus),
            mem: to_milli_floor(kind.memory_gb),
        };
        allowed && zone_allowed && need.fits_in(&capacity)
    });
    if !fits {
        return Err(HttpResponse::error(422, "a task fits no allowed machine type"));
    }
    if !fits_team_limit(spec, &need, team) {
        return Err(HttpResponse::error(422, "more than the team's limit"));
    }
    Ok(())
}

fn fits_team_limit(spec: &JobManifest, need: &Resources, team: &TeamSettings) -> bool {
    let tasks = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => u64::from(spec.tasks),
    };
    need.saturating_mul(tasks).fits_in(&team.effective_limit())
}
