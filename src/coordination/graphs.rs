//! What changes runs of graphs: parts, commits, cancellations, doing over. Each is decided behind a read barrier and
//! written conditionally, one transaction at a time.

use std::collections::VecDeque;

use super::ledger::{Answered, Ledger, Purpose};
use super::users::{COME_BACK_S, apply_changes, judge};
use super::{CallId, Clock, Output};
use crate::bookkeeping::flow::{Flow, pools};
use crate::bookkeeping::graph_records::{GraphRecord, Phase, TurnRecord};
use crate::bookkeeping::graphs::Run;
use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{GRAPHS, Key};
use crate::bookkeeping::run_listing::run_row;
use crate::ids::{JobId, Millis};
use crate::protocol::Answer;
use crate::protocol::graphs::{
    GraphHeader, GraphPart, GraphRequest, MOST_PARTS, PartsUpload, RedoRequest, RunName,
};
use crate::protocol::state::{Change, Guard, StateReply};
use crate::protocol::users::check_spec;
use crate::settings::Settings;
use crate::tunables::GraphTunables;

/// Clients wait longer; the answer must be on its way before.
const PATIENCE_MS: u64 = 3_500;
/// Requests held at once: a body of each is in memory.
const MOST_WAITING: usize = 32;
/// Parts without a commit, of all runs together.
const MOST_LOOSE_PARTS: usize = 2 * MOST_PARTS as usize;
/// Parts named as missing.
const NAMED: usize = 50;
/// Changes of one transaction stay below its 64 KiB.
const LARGEST_TXN: usize = 40 * 1024;

#[derive(Debug)]
struct Waiting {
    call: CallId,
    request: GraphRequest,
    arrived: Millis,
    until: Millis,
}

#[derive(Debug)]
struct Writing {
    waiting: Waiting,
    /// None: more of it is to be written.
    then: Option<Answer>,
}

#[derive(Debug, Default)]
pub struct GraphDesk {
    waiting: VecDeque<Waiting>,
    writing: Option<Writing>,
}

/// What becomes of a request.
enum Decision {
    Answer(Answer),
    Write { guards: Vec<Guard>, changes: Vec<Change>, then: Option<Answer> },
}

/// What decisions look at.
pub struct Ground<'a> {
    pub mirror: &'a Mirror,
    pub settings: &'a Settings,
    pub tunables: &'a GraphTunables,
    pub clock: Clock,
}

fn refuse(status: u16, text: &str) -> Decision {
    Decision::Answer(Answer::error(status, text))
}

fn put(key: &Key, value: &impl serde::Serialize) -> Change {
    Change::Put { key: key.text(), value: serde_json::to_string(value).unwrap_or_default(), lease: None }
}

impl GraphDesk {
    pub fn wants_barrier(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub fn held(&self) -> usize {
        self.waiting.len()
    }

    /// The answer, if there is one at once.
    pub fn take(
        &mut self,
        clock: Clock,
        call: CallId,
        request: GraphRequest,
        ledger: &Ledger,
    ) -> Option<Answer> {
        if !ledger.loaded || !ledger.reachable(clock.now) || self.waiting.len() >= MOST_WAITING {
            return Some(Answer::later("cannot decide now", COME_BACK_S));
        }
        let until = clock.now.plus(PATIENCE_MS);
        self.waiting.push_back(Waiting { call, request, arrived: clock.now, until });
        None
    }

    /// Decides and writes the first request that the mirror is new enough for.
    pub fn step(&mut self, ground: &Ground<'_>, ledger: &mut Ledger, out: &mut Vec<Output>) {
        let fresh = ledger.fresh.unwrap_or_default();
        while self.writing.is_none()
            && let Some(at) = self.waiting.iter().position(|waiting| waiting.arrived <= fresh)
        {
            match decide(&self.waiting[at].request, ground, ledger.writes.available(ground.clock.now)) {
                Some(Decision::Answer(answer)) => {
                    let call = self.waiting.remove(at).map(|waiting| waiting.call);
                    out.extend(call.map(|call| Output::Answer { call, answer }));
                }
                Some(Decision::Write { guards, changes, then }) => {
                    if ledger.txn(ground.clock, Purpose::GraphTxn, guards, changes, out).is_none() {
                        return;
                    }
                    self.writing = self.waiting.remove(at).map(|waiting| Writing { waiting, then });
                }
                // The limits of the state service: later.
                None => return,
            }
        }
    }

    /// Gives up on what waited too long, and on everything once the service refuses.
    pub fn expire(&mut self, clock: Clock, reachable: bool, out: &mut Vec<Output>) {
        self.waiting.retain(|waiting| {
            let over = !reachable || waiting.until <= clock.now;
            if over {
                let answer = Answer::later("cannot decide now", COME_BACK_S);
                out.push(Output::Answer { call: waiting.call, answer });
            }
            !over
        });
    }

    /// What came of the transaction.
    pub fn written(&mut self, clock: Clock, answered: Answered, mirror: &mut Mirror, out: &mut Vec<Output>) {
        let Some(writing) = self.writing.take() else { return };
        let call = writing.waiting.call;
        match answered.reply {
            StateReply::Applied { revision } => {
                apply_changes(&answered.request, revision, mirror);
                match writing.then {
                    Some(answer) => out.push(Output::Answer { call, answer }),
                    None => self.waiting.push_front(writing.waiting),
                }
            }
            // Somebody was first: it is decided anew on what is there by now.
            StateReply::Conflict { .. } => {
                self.waiting.push_back(Waiting { arrived: clock.now, ..writing.waiting });
            }
            StateReply::Refused { status: 429 } => self.waiting.push_front(writing.waiting),
            // Perhaps carried out: the client asks again and gets to know.
            _ => {
                let answer = Answer::later("not certain to be stored", COME_BACK_S);
                out.push(Output::Answer { call, answer });
            }
        }
    }
}

/// None: the state service takes no changes now.
fn decide(request: &GraphRequest, ground: &Ground<'_>, spare: usize) -> Option<Decision> {
    let most = spare.min(ground.settings.state_limits.txn_ops);
    // Each of the others is at most two changes.
    if most < 2 {
        return None;
    }
    Some(match request {
        GraphRequest::Parts { run, upload } => parts(run, upload, ground, most),
        GraphRequest::Commit { run, header } => commit(run, header, ground),
        GraphRequest::Cancel { run } => cancel(run, ground),
        GraphRequest::Redo { run, redo } => do_over(run, redo, ground),
    })
}

fn guard(mirror: &Mirror, key: &Key) -> Guard {
    let key = key.text();
    Guard { stamp: mirror.stamp(&key), key }
}

fn parts(run: &RunName, upload: &PartsUpload, ground: &Ground<'_>, most: usize) -> Decision {
    let last = upload.first.checked_add(upload.parts.len() as u32).filter(|last| *last <= MOST_PARTS);
    if upload.parts.is_empty() || last.is_none() {
        return refuse(400, &format!("parts: expected some of 0 to {}", MOST_PARTS - 1));
    }
    let known = ground.mirror.graphs.by_name(run);
    if known.is_some_and(|run| run.swept) {
        return refuse(409, "the run's parts were not committed in time: choose another name for it");
    }
    let loose: usize = ground
        .mirror
        .graphs
        .all()
        .filter(|(_, run)| run.accepted.is_none())
        .map(|(_, run)| run.parts.len())
        .sum();
    if loose + upload.parts.len() > MOST_LOOSE_PARTS {
        return Decision::Answer(Answer::later("too many parts wait for their commit", 10));
    }
    let largest = (ground.settings.state_limits.value_kb * 1024.0) as usize;
    let mut guards = vec![guard(ground.mirror, &Key::Graph(run.clone()))];
    let (mut changes, mut bytes, mut rest, mut replaces) = (Vec::new(), 0, false, false);
    for (part, piece) in (upload.first..).zip(&upload.parts) {
        let key = Key::Part(run.clone(), part);
        let value = serde_json::to_string(piece).unwrap_or_default();
        if value.len() > largest {
            return refuse(400, &format!("part {part} is {} bytes: at most {largest} are kept", value.len()));
        }
        match known.map_or(There::No, |run| there(run, part, piece)) {
            There::Same => continue,
            There::Claimed => return refuse(409, &format!("part {part} is there with another content")),
            There::Other => replaces = true,
            There::No => {}
        }
        // Room for the word that something was replaced.
        if changes.len() + 2 > most || (bytes > 0 && bytes + value.len() > LARGEST_TXN) {
            rest = true;
            break;
        }
        bytes += value.len() + 200;
        guards.push(guard(ground.mirror, &key));
        changes.push(Change::Put { key: key.text(), value, lease: None });
    }
    let stored = Answer::json(200, &serde_json::json!({"run": run.as_str(), "parts": upload.parts.len()}));
    if changes.is_empty() {
        return Decision::Answer(stored);
    }
    if replaces {
        // A commit that has looked at what was there before must fail its guard.
        guards.push(guard(ground.mirror, &Key::Graphs));
        changes.push(acceptance(ground));
    }
    Decision::Write { guards, changes, then: (!rest).then_some(stored) }
}

/// What is known of a part that is sent.
enum There {
    No,
    Same,
    /// Nothing counts it yet, as the run was refused or is being written anew: it may be replaced.
    Other,
    Claimed,
}

fn there(run: &Run, part: u32, piece: &GraphPart) -> There {
    if !run.parts.contains(&part) {
        return There::No;
    }
    let claimed = run.accepted.is_some() && part < run.next_part();
    match run.pieces.get(&part) {
        // Of a run that was accepted the parts of the graph itself are not kept: nobody has reason to send others.
        None => There::Same,
        Some(known) if known == piece => There::Same,
        Some(_) if claimed => There::Claimed,
        Some(_) => There::Other,
    }
}

fn commit(name: &RunName, header: &GraphHeader, ground: &Ground<'_>) -> Decision {
    let mirror = ground.mirror;
    let Some(run) = mirror.graphs.by_name(name) else {
        return refuse(409, "parts are missing: send them first");
    };
    if run.swept {
        return refuse(409, "the run's parts were not committed in time: choose another name for it");
    }
    if let Some((_, known, _)) = &run.accepted {
        return match known == header {
            true => Decision::Answer(Answer::json(200, &run_row(run))),
            false => refuse(409, "another run has that name"),
        };
    }
    let missing: Vec<u32> =
        (0..header.parts).filter(|part| !run.pieces.contains_key(part)).take(NAMED).collect();
    if !missing.is_empty() {
        let body = serde_json::json!({"error": "parts are missing: send them first", "missing": missing});
        return Decision::Answer(Answer::json(409, &body));
    }
    if mirror.graphs.nodes + header.nodes as usize > ground.tunables.most_nodes as usize {
        return Decision::Answer(Answer::later("too many nodes are kept now", 30));
    }
    let flow = match Flow::build((0..header.parts).filter_map(|part| run.pieces.get(&part))) {
        Ok(flow) => flow,
        Err(problem) => return refuse(422, &problem),
    };
    if let Err(answer) = check(&flow, header, ground) {
        return Decision::Answer(answer);
    }
    let record = GraphRecord::Accepted { at: ground.clock.wall_ms, header: header.clone() };
    let key = Key::Graph(name.clone());
    let guards = vec![guard(mirror, &key), guard(mirror, &Key::Graphs)];
    let changes = vec![put(&key, &record), acceptance(ground)];
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    Decision::Write { guards, changes, then: Some(Answer::json(201, &body)) }
}

/// Makes every plain submission that does not know of it yet fail its guard.
fn acceptance(ground: &Ground<'_>) -> Change {
    let value = serde_json::json!({"at": ground.clock.wall_ms}).to_string();
    Change::Put { key: GRAPHS.into(), value, lease: None }
}

fn check(flow: &Flow, header: &GraphHeader, ground: &Ground<'_>) -> Result<(), Answer> {
    if flow.nodes.len() != header.nodes as usize {
        return Err(Answer::error(
            422,
            &format!("the parts hold {} nodes, not {}", flow.nodes.len(), header.nodes),
        ));
    }
    for template in &flow.templates {
        template
            .check()
            .and_then(|()| check_spec(&template.spec))
            .map_err(|problem| Answer::error(422, &problem))?;
        if template.spec.shape == crate::protocol::users::Shape::Service {
            return Err(Answer::error(422, "a service never ends: it cannot be a node"));
        }
        judge(&template.spec, ground.mirror, ground.settings)?;
    }
    if let Some(pool) = pools(flow).into_iter().find(|pool| !ground.tunables.pools.contains_key(*pool)) {
        return Err(Answer::error(422, &format!("unknown pool {pool}")));
    }
    names_are_free(flow.nodes.iter().map(|node| node.job), ground)
}

fn names_are_free(mut jobs: impl Iterator<Item = JobId>, ground: &Ground<'_>) -> Result<(), Answer> {
    let mirror = ground.mirror;
    let known = |job: &JobId| {
        mirror.find(*job).is_some() || mirror.end_of(*job).is_some() || mirror.graphs.knows(*job)
    };
    match jobs.find(known) {
        Some(job) => Err(Answer::error(422, &format!("{job} is known already"))),
        None => Ok(()),
    }
}

fn cancel(name: &RunName, ground: &Ground<'_>) -> Decision {
    let Some(run) = ground.mirror.graphs.by_name(name).filter(|run| run.flow.is_some()) else {
        return refuse(404, "no such run");
    };
    if run.ended() || run.turn.cancelled {
        return Decision::Answer(Answer::json(200, &run_row(run)));
    }
    let turn = TurnRecord { cancelled: true, ..run.turn.clone() };
    let key = Key::Turn(name.clone());
    let body = serde_json::json!({"run": name.as_str(), "state": "cancelling"});
    let then = Some(Answer::json(200, &body));
    Decision::Write { guards: vec![guard(ground.mirror, &key)], changes: vec![put(&key, &turn)], then }
}

fn do_over(name: &RunName, redo: &RedoRequest, ground: &Ground<'_>) -> Decision {
    let Some(run) = ground.mirror.graphs.by_name(name) else { return refuse(404, "no such run") };
    let Some(flow) = &run.flow else { return refuse(404, "no such run") };
    if run.turn.redos.contains(&(redo.from, redo.parts)) {
        return Decision::Answer(Answer::json(200, &run_row(run)));
    }
    if run.fading {
        return refuse(404, "the run is being forgotten");
    }
    if run.turn.cancelled && !run.ended() {
        return Decision::Answer(Answer::later("the run is being cancelled", COME_BACK_S));
    }
    if redo.from != run.next_part() || !(1..=MOST_PARTS).contains(&redo.parts) {
        return refuse(409, &format!("the run has changed: its next part is {}", run.next_part()));
    }
    let mut rows = Vec::new();
    for part in redo.from..redo.from.saturating_add(redo.parts) {
        match run.pieces.get(&part) {
            Some(piece) => rows.extend(piece.redo.iter().copied()),
            None => return refuse(409, &format!("part {part} is missing: send it first")),
        }
    }
    let jobs = match flow.redone(&rows) {
        Ok(jobs) => jobs,
        Err(problem) => return refuse(422, &problem),
    };
    if let Err(answer) = names_are_free(jobs.into_values(), ground) {
        return Decision::Answer(answer);
    }
    let mut turn = TurnRecord { cancelled: false, well: None, ..run.turn.clone() };
    turn.redos.push((redo.from, redo.parts));
    if run.ended() {
        // Its turn has to come again.
        turn = TurnRecord { phase: Phase::Waiting, at: ground.clock.wall_ms, ..turn };
    }
    let key = Key::Turn(name.clone());
    let guards = vec![
        guard(ground.mirror, &key),
        guard(ground.mirror, &Key::Graph(name.clone())),
        guard(ground.mirror, &Key::Graphs),
    ];
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    let changes = vec![put(&key, &turn), acceptance(ground)];
    Decision::Write { guards, changes, then: Some(Answer::json(200, &body)) }
}
