//! Users' requests: what can be answered at once, what needs a read barrier,
//! and what has to be written first.

use super::ledger::{Answered, Ledger, Purpose};
use super::watermarks::{READ_AGE_MS, Watermarks};
use super::{CallId, Clock, Output};
use crate::bookkeeping::graph_records::NodeEnd;
use crate::bookkeeping::jobs::{End, need_of};
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{EndDetail, EndRecord, GRAPHS, JobRecord, Key};
use crate::ids::{Amount, JobId, Millis, Revision, milli_down};
use crate::protocol::Answer;
use crate::protocol::state::{Change, Guard, Pair, StateReply, StateRequest};
use crate::protocol::users::{JobSpec, JobStatus, Shape, UserRequest, status_answer};
use crate::settings::{Settings, Team};

/// Users wait 2 s for a poll and 5 s for the rest; the answer must be on its way before.
const POLL_PATIENCE_MS: u64 = 1500;
const WRITE_PATIENCE_MS: u64 = 3500;
/// Requests held at once; more are told to come back.
const MOST_WAITING: usize = 2000;
pub const COME_BACK_S: u32 = 1;

#[derive(Debug)]
struct Waiting {
    call: CallId,
    request: UserRequest,
    arrived: Millis,
    until: Millis,
}

#[derive(Debug)]
enum Write {
    Accept { call: CallId, id: JobId, spec: Box<JobSpec> },
    Withdraw { call: CallId, id: JobId, detail: Option<EndDetail>, node: Option<Box<NodeEnd>> },
}

impl Write {
    fn id(&self) -> JobId {
        match self {
            Write::Accept { id, .. } | Write::Withdraw { id, .. } => *id,
        }
    }

    fn call(&self) -> CallId {
        match self {
            Write::Accept { call, .. } | Write::Withdraw { call, .. } => *call,
        }
    }
}

#[derive(Debug, Default)]
pub struct Users {
    /// Ends tell more for operators.
    details: bool,
    /// Graphs may be accepted: submissions are guarded against names that became known with one.
    graphs: bool,
    waiting: Vec<Waiting>,
    /// About jobs whose end is known, but may not be told yet.
    held: Vec<Waiting>,
    queued: Vec<(Write, Millis)>,
    writing: Vec<(Write, Millis)>,
    /// Jobs whose users were told that they are done, since that was last asked.
    told: Vec<JobId>,
}

/// What a request is decided by.
pub struct Records<'a> {
    pub mirror: &'a Mirror,
    pub watermarks: &'a Watermarks,
    pub settings: &'a Settings,
}

impl Records<'_> {
    fn stable(&self, id: JobId, now: Millis) -> bool {
        self.watermarks.stable(id, now, self.mirror.revision, self.mirror.leader.as_ref())
    }
}

/// Tells how many tasks of a job run, for display.
pub type Running<'a> = &'a dyn Fn(JobId) -> u32;

impl Users {
    pub fn new(details: bool, graphs: bool) -> Users {
        Users { details, graphs, ..Users::default() }
    }

    pub fn wants_barrier(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Ends never change, so the mirror's word is enough.
    fn final_answer(&mut self, id: JobId, mirror: &Mirror) -> Option<Answer> {
        let status = match mirror.end_of(id)? {
            End::Done => JobStatus::Done,
            End::Withdrawn => JobStatus::Withdrawn,
        };
        if status == JobStatus::Done {
            self.told.push(id);
        }
        Some(status_answer(200, id, status, None))
    }

    /// Whom it told of jobs that are done, since it was last asked.
    pub fn take_told(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.told)
    }

    /// Something is to be written as soon as the limits allow.
    pub fn writes_wait(&self) -> bool {
        !self.queued.is_empty() && self.writing.is_empty()
    }

    /// Requests that wait for an answer and have not been sent to the state service.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.held.len() + self.queued.len()
    }

    /// A request comes in: its answer, if it can be answered at once.
    pub fn take(
        &mut self,
        clock: Clock,
        call: CallId,
        request: UserRequest,
        ledger: &Ledger,
        records: &Records<'_>,
    ) -> Option<Answer> {
        let (id, mirror) = (request.id(), records.mirror);
        let ended = mirror.end_of(id).is_some();
        if ended && records.stable(id, clock.now) {
            return self.final_answer(id, mirror);
        }
        if !ledger.loaded || !ledger.reachable(clock.now) || self.held() >= MOST_WAITING {
            return Some(Answer::later("cannot decide now", COME_BACK_S));
        }
        let patience = match request {
            UserRequest::Poll { .. } => POLL_PATIENCE_MS,
            _ => WRITE_PATIENCE_MS,
        };
        let until = clock.now.plus(patience);
        match request {
            request if ended => self.held.push(Waiting { call, request, arrived: clock.now, until }),
            // The transaction's guards find out whether the name is known after all: nothing
            // has to be read first, which made half of the time that a submission took.
            UserRequest::Submit { id, spec: Ok(spec) }
                if mirror.find(id).is_none()
                    && !mirror.graphs.knows(id)
                    && judge(&spec, mirror, records.settings).is_ok() =>
            {
                self.queued.push((Write::Accept { call, id, spec }, until));
            }
            request => self.waiting.push(Waiting { call, request, arrived: clock.now, until }),
        }
        None
    }

    /// The mirror holds everything up to a read that was sent at `sent`.
    pub fn barrier(
        &mut self,
        clock: Clock,
        sent: Millis,
        records: &Records<'_>,
        running: Running<'_>,
        out: &mut Vec<Output>,
    ) {
        let (ripe, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|waiting| waiting.arrived <= sent);
        self.waiting = rest;
        for waiting in ripe {
            self.decide(clock, waiting, records, running, out);
        }
    }

    /// Answers what waited until an end may be told.
    pub fn settle(&mut self, clock: Clock, records: &Records<'_>, out: &mut Vec<Output>) {
        if self.held.is_empty() {
            return;
        }
        let stable = |waiting: &Waiting| records.stable(waiting.request.id(), clock.now);
        let (ripe, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held).into_iter().partition(stable);
        self.held = rest;
        for waiting in ripe {
            match self.final_answer(waiting.request.id(), records.mirror) {
                Some(answer) => out.push(Output::Answer { call: waiting.call, answer }),
                // The records are being read anew.
                None => self.waiting.push(waiting),
            }
        }
    }

    /// The job that somebody has waited longest for to be told of.
    pub fn held_end(&self) -> Option<JobId> {
        self.held.first().map(|waiting| waiting.request.id())
    }

    fn decide(
        &mut self,
        clock: Clock,
        waiting: Waiting,
        records: &Records<'_>,
        running: Running<'_>,
        out: &mut Vec<Output>,
    ) {
        let Records { mirror, settings, .. } = *records;
        let (call, id) = (waiting.call, waiting.request.id());
        if mirror.end_of(id).is_some() && !records.stable(id, clock.now) {
            self.held.push(waiting);
            return;
        }
        if let Some(answer) = self.final_answer(id, mirror) {
            out.push(Output::Answer { call, answer });
            return;
        }
        let answer = match waiting.request {
            UserRequest::Poll { id } => {
                status_of(id, mirror, running).unwrap_or_else(|| Answer::error(404, "no such job"))
            }
            UserRequest::Abort { id } if mirror.find(id).is_some() || mirror.graphs.knows(id) => {
                let detail = if self.details { mirror.end_detail(id, None) } else { None };
                let node = mirror.graphs.cancelled_end(id).map(Box::new);
                self.queued.push((Write::Withdraw { call, id, detail, node }, waiting.until));
                return;
            }
            UserRequest::Abort { .. } => Answer::error(404, "no such job"),
            // A known name comes before any verdict about what else is in the request.
            UserRequest::Submit { id, spec } => match (status_of(id, mirror, running), spec) {
                (Some(known), _) => known,
                (None, Err(problem)) => Answer::error(400, &problem),
                (None, Ok(spec)) => match judge(&spec, mirror, settings) {
                    Ok(()) => {
                        self.queued.push((Write::Accept { call, id, spec }, waiting.until));
                        return;
                    }
                    Err(answer) => answer,
                },
            },
        };
        out.push(Output::Answer { call, answer });
    }

    /// Gives up on what waited too long, and on everything once the service refuses.
    pub fn expire(&mut self, clock: Clock, reachable: bool, out: &mut Vec<Output>) {
        let overdue = |until: Millis| !reachable || until <= clock.now;
        let mut refuse = |call: CallId| {
            let answer = Answer::later("cannot decide now", COME_BACK_S);
            out.push(Output::Answer { call, answer });
        };
        self.waiting.retain(|waiting| {
            let over = overdue(waiting.until);
            if over {
                refuse(waiting.call);
            }
            !over
        });
        // Their ends are durable: they need the state service no more.
        self.held.retain(|waiting| {
            let over = waiting.until <= clock.now;
            if over {
                refuse(waiting.call);
            }
            !over
        });
        self.queued.retain(|(write, until)| {
            let over = overdue(*until);
            if over {
                refuse(write.call());
            }
            !over
        });
    }

    /// Sends what waits to be written, one transaction at a time.
    pub fn write(
        &mut self,
        clock: Clock,
        txn_ops: usize,
        mirror: &Mirror,
        ledger: &mut Ledger,
        out: &mut Vec<Output>,
    ) {
        if !self.writing.is_empty() || self.queued.is_empty() {
            return;
        }
        self.look_again(clock, mirror);
        let most = txn_ops.min(ledger.writes.available(clock.now));
        let mut guards = Vec::new();
        let mut changes: Vec<Change> = Vec::new();
        let mut bytes = 0;
        let mut count = 0;
        let graphs = mirror.stamp(GRAPHS);
        if self.graphs || graphs != Revision(0) {
            guards.push(Guard { key: GRAPHS.into(), stamp: graphs });
        }
        for (write, _) in self.queued.iter().take(most) {
            let (guard, change) = plan(write, clock.wall_ms);
            let size = change_size(&change);
            let twice = changes.iter().any(|other| other.key() == change.key());
            if twice || (count > 0 && bytes + size > LARGEST_TXN) {
                break;
            }
            bytes += size;
            count += 1;
            guards.extend(guard);
            changes.push(change);
        }
        if count > 0 && ledger.txn(clock, Purpose::UserTxn, guards, changes, out).is_some() {
            self.writing = self.queued.drain(..count).collect();
        }
    }

    /// Submissions whose names became known with a graph since they were taken in.
    fn look_again(&mut self, clock: Clock, mirror: &Mirror) {
        let known = |write: &Write| matches!(write, Write::Accept { id, .. } if mirror.graphs.knows(*id));
        if !self.queued.iter().any(|(write, _)| known(write)) {
            return;
        }
        for (write, until) in std::mem::take(&mut self.queued) {
            match write {
                Write::Accept { call, id, spec } if mirror.graphs.knows(id) => {
                    let request = UserRequest::Submit { id, spec: Ok(spec) };
                    self.waiting.push(Waiting { call, request, arrived: clock.now, until });
                }
                write => self.queued.push((write, until)),
            }
        }
    }

    /// What came of the transaction. True if the leader should hear of it.
    pub fn written(
        &mut self,
        clock: Clock,
        answered: Answered,
        mirror: &mut Mirror,
        out: &mut Vec<Output>,
    ) -> bool {
        let writing = std::mem::take(&mut self.writing);
        match answered.reply {
            StateReply::Applied { revision } => {
                apply_changes(&answered.request, revision, mirror);
                for (write, until) in writing {
                    self.carried_out(clock, write, until, answered.sent, out);
                }
                true
            }
            StateReply::Conflict { failed } => {
                self.again(clock, writing, &failed);
                false
            }
            StateReply::Refused { status: 429 } => {
                // Certainly not carried out: it goes again once the limit allows.
                self.queued.extend(writing);
                false
            }
            _ => {
                // Perhaps carried out, perhaps not: the user asks again and gets to know.
                for (write, _) in writing {
                    let answer = Answer::later("not certain to be stored", COME_BACK_S);
                    out.push(Output::Answer { call: write.call(), answer });
                }
                false
            }
        }
    }

    fn carried_out(
        &mut self,
        clock: Clock,
        write: Write,
        until: Millis,
        sent: Millis,
        out: &mut Vec<Output>,
    ) {
        match write {
            // By then its user may have heard of its end from another node: asking again tells.
            Write::Accept { call, .. } if clock.now.since(sent) >= READ_AGE_MS => {
                let answer = Answer::later("stored too long ago", COME_BACK_S);
                out.push(Output::Answer { call, answer });
            }
            Write::Accept { call, id, .. } => {
                log::info!(event = "accepted", job:% = id; "accepted {id}");
                let answer = status_answer(201, id, JobStatus::Pending, None);
                out.push(Output::Answer { call, answer });
            }
            Write::Withdraw { call, id, .. } => {
                log::info!(event = "withdrawn", job:% = id; "withdrawn {id}");
                let request = UserRequest::Abort { id };
                self.held.push(Waiting { call, request, arrived: clock.now, until });
            }
        }
    }

    /// Somebody else was first with some of the keys: those are looked up again.
    fn again(&mut self, clock: Clock, writing: Vec<(Write, Millis)>, failed: &[String]) {
        for (write, until) in writing {
            let id = write.id();
            let unseen = failed.iter().any(|key| key == GRAPHS);
            let lost = unseen
                || failed.is_empty()
                || failed
                    .iter()
                    .any(|key| matches!(Key::parse(key), Some(Key::Job(k) | Key::End(k)) if k == id));
            if !lost {
                self.queued.push((write, until));
                continue;
            }
            let (call, request) = match write {
                Write::Accept { call, id, spec } => (call, UserRequest::Submit { id, spec: Ok(spec) }),
                Write::Withdraw { call, id, .. } => (call, UserRequest::Abort { id }),
            };
            self.waiting.push(Waiting { call, request, arrived: clock.now, until });
        }
    }
}

/// Below the 64 KiB of a transaction, with room for its frame.
const LARGEST_TXN: usize = 48 * 1024;

fn change_size(change: &Change) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() * 3 + value.len() + 100,
        Change::Delete { key } => key.len() * 2 + 60,
    }
}

fn plan(write: &Write, wall_ms: u64) -> (Vec<Guard>, Change) {
    let absent = |key: Key| Guard { key: key.text(), stamp: Revision(0) };
    match write {
        Write::Accept { id, spec, .. } => {
            let record = JobRecord { at: wall_ms, spec: (**spec).clone() };
            let put = Change::Put {
                key: Key::Job(*id).text(),
                value: serde_json::to_string(&record).unwrap_or_default(),
                lease: None,
            };
            // The record of an ended job is removed in time, its end never is.
            (vec![absent(Key::Job(*id)), absent(Key::End(*id))], put)
        }
        Write::Withdraw { id, detail, node, .. } => {
            let plain = || EndRecord::new(End::Withdrawn, wall_ms, detail.clone());
            let of = |node: &NodeEnd| EndRecord::of_node(node.clone(), wall_ms, detail.clone());
            let record = node.as_deref().map_or_else(plain, of);
            let put = Change::Put {
                key: Key::End(*id).text(),
                value: serde_json::to_string(&record).unwrap_or_default(),
                lease: None,
            };
            (vec![absent(Key::End(*id))], put)
        }
    }
}

/// Takes the changes of a confirmed transaction into the mirror.
pub fn apply_changes(request: &StateRequest, revision: Revision, mirror: &mut Mirror) {
    let StateRequest::Txn { changes, .. } = request else {
        return;
    };
    for change in changes {
        let (key, value) = match change {
            Change::Put { key, value, .. } => (key, Some(value.clone())),
            Change::Delete { key } => (key, None),
        };
        mirror.apply_own(&Pair { key: key.clone(), value, stamp: revision });
    }
}

fn status_of(id: JobId, mirror: &Mirror, running: Running<'_>) -> Option<Answer> {
    let Some(job) = mirror.find_job(id) else {
        // A node of a graph that waits for others.
        return mirror.graphs.knows(id).then(|| status_answer(200, id, JobStatus::Pending, Some((0, 0))));
    };
    let runs = running(id);
    let status = if runs > 0 { JobStatus::Running } else { JobStatus::Pending };
    Some(status_answer(200, id, status, Some((job.finished.count(), runs))))
}

/// Can the job ever run?
pub fn judge(spec: &JobSpec, mirror: &Mirror, settings: &Settings) -> Result<(), Answer> {
    let need = need_of(spec);
    let Some(team) = settings.teams.iter().find(|team| team.name == spec.owner) else {
        return Err(Answer::error(422, "unknown team"));
    };
    if mirror.kinds.is_empty() {
        return Err(Answer::later("machine types are not known yet", COME_BACK_S));
    }
    let fits = mirror.kinds.values().any(|kind| {
        let allowed = spec.boxkinds.as_ref().is_none_or(|kinds| kinds.contains(&kind.name));
        let here = spec.hall.as_ref().is_none_or(|zone| kind.zones.is_empty() || kind.zones.contains(zone));
        let room = Amount {
            cpu: milli_down(kind.cpus),
            gpu: milli_down(kind.gpus),
            mem: milli_down(kind.memory_gb),
        };
        allowed && here && need.fits(&room)
    });
    if !fits {
        return Err(Answer::error(422, "a task fits no allowed machine type"));
    }
    if !within_limit(spec, &need, team) {
        return Err(Answer::error(422, "more than the team's limit"));
    }
    Ok(())
}

fn within_limit(spec: &JobSpec, need: &Amount, team: &Team) -> bool {
    let tasks = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => u64::from(spec.pieces),
    };
    need.times(tasks).fits(&team.limit())
}
