//! What changes runs of graphs: parts, commits, cancellations, doing over. Each is decided behind a read barrier and
//! written conditionally, one transaction at a time.

use std::collections::VecDeque;

use super::kv_client::{CompletedRequest, KvClient, Purpose};
use super::user_requests::{RETRY_AFTER_S, apply_own_mutations, check_feasibility};
use super::{Action, Clock, InboundId};
use crate::bookkeeping::dag::{Dag, pool_names};
use crate::bookkeeping::dag_records::{DagRunRecord, RunPhase, RunPhaseRecord};
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::{GRAPH_ACCEPTANCE_KEY, RecordKey};
use crate::bookkeeping::run_listing::run_row;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{JobId, Millis};
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{
    DagRequest, DagRunHeader, DagRunName, GraphPart, MAX_PARTS, PartsUpload, RerunRequest,
};
use crate::protocol::kv::{KvMutation, KvReply, Precondition};
use crate::protocol::users::validate_manifest;
use crate::settings::Settings;
use crate::tunables::GraphTunables;

/// Clients wait longer; the answer must be on its way before.
const REQUEST_TIMEOUT_MS: u64 = 3_500;
/// Requests held at once: a body of each is in memory.
const MAX_PENDING: usize = 32;
/// Parts without a commit, of all runs together.
const MAX_UNCOMMITTED_PARTS: usize = 2 * MAX_PARTS as usize;
/// Parts named as missing.
const MAX_MISSING_NAMED: usize = 50;
/// Changes of one transaction stay below its 64 KiB.
const MAX_TXN_BYTES: usize = 40 * 1024;

#[derive(Debug)]
struct PendingRequest {
    inbound: InboundId,
    request: DagRequest,
    received_at: Millis,
    deadline: Millis,
}

#[derive(Debug)]
struct WriteInFlight {
    pending: PendingRequest,
    /// None: more of it is to be written.
    response: Option<HttpResponse>,
}

#[derive(Debug, Default)]
pub struct GraphRequestHandler {
    pending: VecDeque<PendingRequest>,
    write_in_flight: Option<WriteInFlight>,
}

/// What becomes of a request.
enum Decision {
    Respond(HttpResponse),
    Write { preconditions: Vec<Precondition>, mutations: Vec<KvMutation>, response: Option<HttpResponse> },
}

/// What decisions look at.
pub struct GraphRequestContext<'a> {
    pub cache: &'a StoreCache,
    pub settings: &'a Settings,
    pub tunables: &'a GraphTunables,
    pub clock: Clock,
}

fn reject(status: u16, text: &str) -> Decision {
    Decision::Respond(HttpResponse::error(status, text))
}

fn put_mutation(key: &RecordKey, value: &impl serde::Serialize) -> KvMutation {
    KvMutation::Put {
        key: key.encode(),
        value: serde_json::to_string(value).unwrap_or_default(),
        lease: None,
    }
}

impl GraphRequestHandler {
    pub fn needs_read_barrier(&self) -> bool {
        !self.pending.is_empty()
    }

    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The answer, if there is one at once.
    pub fn receive(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        request: DagRequest,
        kv_client: &KvClient,
    ) -> Option<HttpResponse> {
        if !kv_client.loaded || !kv_client.is_reachable(clock.now) || self.pending.len() >= MAX_PENDING {
            return Some(HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S));
        }
        let deadline = clock.now.saturating_add(REQUEST_TIMEOUT_MS);
        self.pending.push_back(PendingRequest { inbound, request, received_at: clock.now, deadline });
        None
    }

    /// Decides and writes the first request that the mirror is new enough for.
    pub fn process_pending(
        &mut self,
        context: &GraphRequestContext<'_>,
        kv_client: &mut KvClient,
        out: &mut Vec<Action>,
    ) {
        let fresh = kv_client.fresh_as_of.unwrap_or_default();
        while self.write_in_flight.is_none()
            && let Some(at) = self.pending.iter().position(|waiting| waiting.received_at <= fresh)
        {
            match decide(
                &self.pending[at].request,
                context,
                kv_client.write_bucket.available(context.clock.now),
            ) {
                Some(Decision::Respond(response)) => {
                    let inbound = self.pending.remove(at).map(|waiting| waiting.inbound);
                    out.extend(inbound.map(|call| Action::Respond { inbound: call, response }));
                }
                Some(Decision::Write { preconditions, mutations, response }) => {
                    if kv_client
                        .txn(context.clock, Purpose::GraphTxn, preconditions, mutations, out)
                        .is_none()
                    {
                        return;
                    }
                    self.write_in_flight =
                        self.pending.remove(at).map(|waiting| WriteInFlight { pending: waiting, response });
                }
                // The limits of the state service: later.
                None => return,
            }
        }
    }

    /// Gives up on what waited too long, and on everything once the service refuses.
    pub fn expire(&mut self, clock: Clock, reachable: bool, out: &mut Vec<Action>) {
        self.pending.retain(|waiting| {
            let over = !reachable || waiting.deadline <= clock.now;
            if over {
                let response = HttpResponse::retry_later("cannot decide now", RETRY_AFTER_S);
                out.push(Action::Respond { inbound: waiting.inbound, response });
            }
            !over
        });
    }

    /// What came of the transaction.
    pub fn handle_txn_reply(
        &mut self,
        clock: Clock,
        completed: CompletedRequest,
        cache: &mut StoreCache,
        out: &mut Vec<Action>,
    ) {
        let Some(writing) = self.write_in_flight.take() else { return };
        let inbound = writing.pending.inbound;
        match completed.reply {
            KvReply::Committed { revision } => {
                apply_own_mutations(&completed.request, revision, cache);
                match writing.response {
                    Some(answer) => out.push(Action::Respond { inbound, response: answer }),
                    None => self.pending.push_front(writing.pending),
                }
            }
            // Somebody was first: it is decided anew on what is there by now.
            KvReply::PreconditionFailed { .. } => {
                self.pending.push_back(PendingRequest { received_at: clock.now, ..writing.pending });
            }
            KvReply::Rejected { status: 429 } => self.pending.push_front(writing.pending),
            // Perhaps carried out: the client asks again and gets to know.
            _ => {
                let response = HttpResponse::retry_later("not certain to be stored", RETRY_AFTER_S);
                out.push(Action::Respond { inbound, response });
            }
        }
    }
}

/// None: the state service takes no changes now.
fn decide(request: &DagRequest, context: &GraphRequestContext<'_>, available_ops: usize) -> Option<Decision> {
    let max_ops = available_ops.min(context.settings.kv_limits.max_txn_ops);
    // Each of the others is at most two changes.
    if max_ops < 2 {
        return None;
    }
    Some(match request {
        DagRequest::UploadParts { run, upload } => decide_parts(run, upload, context, max_ops),
        DagRequest::Commit { run, header } => decide_commit(run, header, context),
        DagRequest::Cancel { run } => decide_cancel(run, context),
        DagRequest::Rerun { run, rerun: redo } => decide_rerun(run, redo, context),
    })
}

fn precondition(cache: &StoreCache, key: &RecordKey) -> Precondition {
    let key = key.encode();
    Precondition { revision: cache.key_revision(&key), key }
}

fn decide_parts(
    run: &DagRunName,
    upload: &PartsUpload,
    context: &GraphRequestContext<'_>,
    max_ops: usize,
) -> Decision {
    let last = upload.first_part.checked_add(upload.parts.len() as u32).filter(|last| *last <= MAX_PARTS);
    if upload.parts.is_empty() || last.is_none() {
        return reject(400, &format!("parts: expected some of 0 to {}", MAX_PARTS - 1));
    }
    let known = context.cache.dag_runs.by_name(run);
    if known.is_some_and(|run| run.upload_expired) {
        return reject(409, "the run's parts were not committed in time: choose another name for it");
    }
    let uncommitted: usize = context
        .cache
        .dag_runs
        .all_runs()
        .filter(|(_, run)| run.accepted.is_none())
        .map(|(_, run)| run.parts.len())
        .sum();
    if uncommitted + upload.parts.len() > MAX_UNCOMMITTED_PARTS {
        return Decision::Respond(HttpResponse::retry_later("too many parts wait for their commit", 10));
    }
    let max_value_bytes = (context.settings.kv_limits.max_value_kb * 1024.0) as usize;
    let mut preconditions = vec![precondition(context.cache, &RecordKey::DagRun(run.clone()))];
    let (mut mutations, mut bytes, mut incomplete, mut replaces) = (Vec::new(), 0, false, false);
    for (part, piece) in (upload.first_part..).zip(&upload.parts) {
        let key = RecordKey::GraphPart(run.clone(), part);
        let value = serde_json::to_string(piece).unwrap_or_default();
        if value.len() > max_value_bytes {
            return reject(
                400,
                &format!("part {part} is {} bytes: at most {max_value_bytes} are kept", value.len()),
            );
        }
        match known.map_or(PartUploadState::Missing, |run| part_upload_state(run, part, piece)) {
            PartUploadState::Identical => continue,
            PartUploadState::Conflicting => {
                return reject(409, &format!("part {part} is there with another content"));
            }
            PartUploadState::Replaceable => replaces = true,
            PartUploadState::Missing => {}
        }
        // Room for the word that something was replaced.
        if mutations.len() + 2 > max_ops || (bytes > 0 && bytes + value.len() > MAX_TXN_BYTES) {
            incomplete = true;
            break;
        }
        bytes += value.len() + 200;
        preconditions.push(precondition(context.cache, &key));
        mutations.push(KvMutation::Put { key: key.encode(), value, lease: None });
    }
    let stored =
        HttpResponse::json(200, &serde_json::json!({"run": run.as_str(), "parts": upload.parts.len()}));
    if mutations.is_empty() {
        return Decision::Respond(stored);
    }
    if replaces {
        // A commit that has looked at what was there before must fail its guard.
        preconditions.push(precondition(context.cache, &RecordKey::GraphAcceptance));
        mutations.push(touch_graphs_key(context));
    }
    Decision::Write { preconditions, mutations, response: (!incomplete).then_some(stored) }
}

/// What is known of a part that is sent.
enum PartUploadState {
    Missing,
    Identical,
    /// Nothing counts it yet, as the run was refused or is being written anew: it may be replaced.
    Replaceable,
    Conflicting,
}

fn part_upload_state(run: &DagRun, part: u32, content: &GraphPart) -> PartUploadState {
    if !run.parts.contains(&part) {
        return PartUploadState::Missing;
    }
    let committed = run.accepted.is_some() && part < run.next_rerun_part();
    match run.part_contents.get(&part) {
        // Of a run that was accepted the parts of the graph itself are not kept: nobody has reason to send others.
        None => PartUploadState::Identical,
        Some(known) if known == content => PartUploadState::Identical,
        Some(_) if committed => PartUploadState::Conflicting,
        Some(_) => PartUploadState::Replaceable,
    }
}

fn decide_commit(name: &DagRunName, header: &DagRunHeader, context: &GraphRequestContext<'_>) -> Decision {
    let cache = context.cache;
    let Some(run) = cache.dag_runs.by_name(name) else {
        return reject(409, "parts are missing: send them first");
    };
    if run.upload_expired {
        return reject(409, "the run's parts were not committed in time: choose another name for it");
    }
    if let Some((_, known, _)) = &run.accepted {
        return match known == header {
            true => Decision::Respond(HttpResponse::json(200, &run_row(run))),
            false => reject(409, "another run has that name"),
        };
    }
    let missing: Vec<u32> = (0..header.parts)
        .filter(|part| !run.part_contents.contains_key(part))
        .take(MAX_MISSING_NAMED)
        .collect();
    if !missing.is_empty() {
        let body = serde_json::json!({"error": "parts are missing: send them first", "missing": missing});
        return Decision::Respond(HttpResponse::json(409, &body));
    }
    if cache.dag_runs.node_count + header.nodes as usize > context.tunables.max_nodes as usize {
        return Decision::Respond(HttpResponse::retry_later("too many nodes are kept now", 30));
    }
    let flow = match Dag::from_parts((0..header.parts).filter_map(|part| run.part_contents.get(&part))) {
        Ok(flow) => flow,
        Err(problem) => return reject(422, &problem),
    };
    if let Err(response) = check_graph(&flow, header, context) {
        return Decision::Respond(response);
    }
    let record = DagRunRecord::Accepted { at: context.clock.wall_ms, header: header.clone() };
    let key = RecordKey::DagRun(name.clone());
    let preconditions = vec![precondition(cache, &key), precondition(cache, &RecordKey::GraphAcceptance)];
    let mutations = vec![put_mutation(&key, &record), touch_graphs_key(context)];
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    Decision::Write { preconditions, mutations, response: Some(HttpResponse::json(201, &body)) }
}

/// Makes every plain submission that does not know of it yet fail its guard.
fn touch_graphs_key(context: &GraphRequestContext<'_>) -> KvMutation {
    let value = serde_json::json!({"at": context.clock.wall_ms}).to_string();
    KvMutation::Put { key: GRAPH_ACCEPTANCE_KEY.into(), value, lease: None }
}

fn check_graph(
    flow: &Dag,
    header: &DagRunHeader,
    context: &GraphRequestContext<'_>,
) -> Result<(), HttpResponse> {
    if flow.nodes.len() != header.nodes as usize {
        return Err(HttpResponse::error(
            422,
            &format!("the parts hold {} nodes, not {}", flow.nodes.len(), header.nodes),
        ));
    }
    for template in &flow.templates {
        template
            .validate()
            .and_then(|()| validate_manifest(&template.manifest))
            .map_err(|problem| HttpResponse::error(422, &problem))?;
        if template.manifest.kind == crate::protocol::users::JobKind::Service {
            return Err(HttpResponse::error(422, "a service never ends: it cannot be a node"));
        }
        check_feasibility(&template.manifest, context.cache, context.settings)?;
    }
    if let Some(pool) = pool_names(flow).into_iter().find(|pool| !context.tunables.pools.contains_key(*pool))
    {
        return Err(HttpResponse::error(422, &format!("unknown pool {pool}")));
    }
    check_names_unused(flow.nodes.iter().map(|node| node.job), context)
}

fn check_names_unused(
    mut jobs: impl Iterator<Item = JobId>,
    context: &GraphRequestContext<'_>,
) -> Result<(), HttpResponse> {
    let cache = context.cache;
    let known = |job: &JobId| {
        cache.find(*job).is_some() || cache.terminal_state(*job).is_some() || cache.dag_runs.is_node_job(*job)
    };
    match jobs.find(known) {
        Some(job) => Err(HttpResponse::error(422, &format!("{job} is known already"))),
        None => Ok(()),
    }
}

fn decide_cancel(name: &DagRunName, context: &GraphRequestContext<'_>) -> Decision {
    let Some(run) = context.cache.dag_runs.by_name(name).filter(|run| run.dag.is_some()) else {
        return reject(404, "no such run");
    };
    if run.is_ended() || run.phase_record.cancelled {
        return Decision::Respond(HttpResponse::json(200, &run_row(run)));
    }
    let turn = RunPhaseRecord { cancelled: true, ..run.phase_record.clone() };
    let key = RecordKey::RunPhase(name.clone());
    let body = serde_json::json!({"run": name.as_str(), "state": "cancelling"});
    let response = Some(HttpResponse::json(200, &body));
    Decision::Write {
        preconditions: vec![precondition(context.cache, &key)],
        mutations: vec![put_mutation(&key, &turn)],
        response,
    }
}

fn decide_rerun(name: &DagRunName, redo: &RerunRequest, context: &GraphRequestContext<'_>) -> Decision {
    let Some(run) = context.cache.dag_runs.by_name(name) else { return reject(404, "no such run") };
    let Some(flow) = &run.dag else { return reject(404, "no such run") };
    if run.phase_record.reruns.contains(&(redo.first_part, redo.parts)) {
        return Decision::Respond(HttpResponse::json(200, &run_row(run)));
    }
    if run.deleting {
        return reject(404, "the run is being forgotten");
    }
    if run.phase_record.cancelled && !run.is_ended() {
        return Decision::Respond(HttpResponse::retry_later("the run is being cancelled", RETRY_AFTER_S));
    }
    if redo.first_part != run.next_rerun_part() || !(1..=MAX_PARTS).contains(&redo.parts) {
        return reject(409, &format!("the run has changed: its next part is {}", run.next_rerun_part()));
    }
    let mut rows = Vec::new();
    for part in redo.first_part..redo.first_part.saturating_add(redo.parts) {
        match run.part_contents.get(&part) {
            Some(piece) => rows.extend(piece.reruns.iter().copied()),
            None => return reject(409, &format!("part {part} is missing: send it first")),
        }
    }
    let jobs = match flow.rerun_jobs(&rows) {
        Ok(jobs) => jobs,
        Err(problem) => return reject(422, &problem),
    };
    if let Err(response) = check_names_unused(jobs.into_values(), context) {
        return Decision::Respond(response);
    }
    let mut turn = RunPhaseRecord { cancelled: false, succeeded: None, ..run.phase_record.clone() };
    turn.reruns.push((redo.first_part, redo.parts));
    if run.is_ended() {
        // Its turn has to come again.
        turn = RunPhaseRecord { phase: RunPhase::Waiting, since_wall_ms: context.clock.wall_ms, ..turn };
    }
    let key = RecordKey::RunPhase(name.clone());
    let preconditions = vec![
        precondition(context.cache, &key),
        precondition(context.cache, &RecordKey::DagRun(name.clone())),
        precondition(context.cache, &RecordKey::GraphAcceptance),
    ];
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    let mutations = vec![put_mutation(&key, &turn), touch_graphs_key(context)];
    Decision::Write { preconditions, mutations, response: Some(HttpResponse::json(200, &body)) }
}
