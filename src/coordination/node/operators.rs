//! Operators' questions: answered from the mirror behind a read barrier, the rest by the leader.

use super::Node;
use crate::bookkeeping::listing::{page, row_of, spec_of};
use crate::bookkeeping::mirror::Mirror;
use crate::coordination::operators::{Asker, COME_BACK_S, deliver};
use crate::coordination::{CallId, Clock, Output};
use crate::ids::{JobId, Millis, units};
use crate::protocol::Answer;
use crate::protocol::mesh::{LARGEST_FRAME, Question};
use crate::protocol::operators::{
    EventList, Explanation, JobDetail, JobList, JobState, NodeStatus, OperatorRequest, Reason, Source,
    TaskRow, TaskWord,
};

/// Room for the frame around an answer that goes over the mesh.
const FRAME_ROOM: usize = 1024;

fn later(text: &str) -> Answer {
    Answer::later(text, COME_BACK_S)
}

impl Node {
    /// A question of one of this node's clients.
    pub(super) fn operator(
        &mut self,
        clock: Clock,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        if let Some(answer) = self.at_once(clock, call, request, out) {
            out.push(Output::Answer { call, answer });
        }
    }

    /// The answer, if there is one now; else it waits here or at the leader.
    fn at_once(
        &mut self,
        clock: Clock,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        if request == OperatorRequest::Status {
            return Some(Answer::json(200, &self.status(clock)));
        }
        if !self.ledger.loaded {
            return Some(later("the records are being read"));
        }
        if !self.ledger.reachable(clock.now) {
            return Some(self.unreachable(clock, &request));
        }
        let follows = self.leader.is_none() && request.question().is_some();
        let leader = self.mirror.leader.as_ref().map(|leader| leader.node.clone());
        let heard = |leader: &String| self.peers.hears(clock.now, leader);
        match leader.filter(|leader| follows && heard(leader)) {
            // Ends never change, but only the leader has events.
            Some(leader) if !self.over(&request) => {
                let sent = self.operators.relay(clock.now, &leader, call, request, out);
                (!sent).then(|| later("too many questions"))
            }
            _ => {
                let held = self.operators.wait(clock.now, Asker::Call(call), request);
                (!held).then(|| later("too many questions"))
            }
        }
    }

    fn over(&self, request: &OperatorRequest) -> bool {
        match request {
            OperatorRequest::Inspect { id, .. } | OperatorRequest::Explain { id, .. } => {
                self.mirror.end_of(*id).is_some()
            }
            _ => false,
        }
    }

    fn unreachable(&self, clock: Clock, request: &OperatorRequest) -> Answer {
        let OperatorRequest::Explain { id, task } = request else {
            return later("the state service does not answer this controller");
        };
        let since = self.ledger.failing_since.map_or(0, |since| clock.now.since(since));
        let reason = Reason::StateUnreachable { since_s: units(since) };
        let explanation = self.explanation(*id, *task, vec![reason]);
        // Whether the job exists is not known either.
        Answer::json(200, &explanation)
    }

    /// Another controller passes a question on: this node leads, or did.
    pub(super) fn asked_by_node(
        &mut self,
        clock: Clock,
        node: &str,
        ask: u64,
        question: &Question,
        out: &mut Vec<Output>,
    ) {
        let asker = Asker::Node { node: node.into(), ask };
        let able = self.operators.enabled && self.leader.is_some();
        if !able || !self.operators.wait(clock.now, asker.clone(), OperatorRequest::from(question)) {
            deliver(&asker, &later("does not lead, or too many questions"), out);
        }
    }

    pub(super) fn told_by_leader(&mut self, clock: Clock, ask: u64, answer: Answer, out: &mut Vec<Output>) {
        let Some((call, request)) = self.operators.told(ask) else { return };
        if answer.status == 503 {
            self.without_leader(clock, call, request, out);
        } else {
            out.push(Output::Answer { call, answer });
        }
    }

    /// The leader does not answer: what the records tell is told from them.
    fn without_leader(
        &mut self,
        clock: Clock,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let records = matches!(request, OperatorRequest::Inspect { .. } | OperatorRequest::Explain { .. });
        if !records || !self.operators.wait(clock.now, Asker::Call(call), request) {
            out.push(Output::Answer { call, answer: later("the leader does not answer") });
        }
    }

    pub(super) fn operators_overdue(&mut self, clock: Clock, out: &mut Vec<Output>) {
        let (silent, over) = self.operators.overdue(clock);
        for (call, request) in silent {
            self.without_leader(clock, call, request, out);
        }
        for asker in over {
            deliver(&asker, &later("no fresh answer from the state service"), out);
        }
    }

    /// The mirror holds everything up to a read that was sent at `sent`.
    pub(super) fn answer_operators(&mut self, clock: Clock, sent: Millis, out: &mut Vec<Output>) {
        for (request, askers) in self.operators.ripe(sent) {
            let answer = if self.operators.affords(clock.now) {
                self.answer_operator(clock, &request)
            } else {
                later("too many questions a second")
            };
            askers.iter().for_each(|asker| deliver(asker, &answer, out));
        }
    }

    fn answer_operator(&self, clock: Clock, request: &OperatorRequest) -> Answer {
        let answer = match request {
            OperatorRequest::List(query) => {
                let running = self.running_of_all();
                let (jobs, next) = page(&self.mirror, query, &running);
                let next = next.map(|id| id.to_string());
                let revision = self.mirror.revision.0;
                Answer::json(200, &JobList { node: self.settings.node.clone(), revision, jobs, next })
            }
            OperatorRequest::Inspect { id, after, limit } => self.inspect(*id, *after, *limit),
            OperatorRequest::Explain { id, task } => self.explain(clock, *id, *task),
            OperatorRequest::Events { id } => self.events(*id),
            OperatorRequest::Runs(query) => self.run_list(query),
            OperatorRequest::Run { run, after, limit } => self.run_shown(run, *after, *limit),
            OperatorRequest::Status | OperatorRequest::Metrics => Answer::json(200, &self.status(clock)),
        };
        let fits = answer.body.len() + FRAME_ROOM <= LARGEST_FRAME;
        if fits { answer } else { Answer::error(400, "the answer is too long: ask for a smaller limit") }
    }

    fn inspect(&self, id: JobId, after: Option<u32>, limit: usize) -> Answer {
        let Some(row) = row_of(&self.mirror, id, &|id| self.running(id)) else {
            return Answer::error(404, "no such job");
        };
        let job = self.mirror.find_job(id).filter(|_| !row.state.ended());
        let known = self.leader.as_ref().zip(self.mirror.find(id));
        let (tasks, next) = match (job, known) {
            (None, _) => (Vec::new(), None),
            (Some(_), Some((leader, ix))) => leader.task_rows(ix, after, limit),
            (Some(_), None) => recorded_rows(&self.mirror, id, after, limit),
        };
        let mut row = row;
        if let Some((leader, ix)) = known
            && let Some(work) = leader.work.get(&ix)
        {
            row.first_start_ms = work.first_run.known();
        }
        let detail = JobDetail {
            node: self.settings.node.clone(),
            source: if self.leader.is_some() { Source::Leader } else { Source::Records },
            row,
            spec: job.map(|job| spec_of(&self.mirror, job)),
            tasks,
            next,
        };
        Answer::json(200, &detail)
    }

    fn explain(&self, clock: Clock, id: JobId, task: Option<u32>) -> Answer {
        let known = self.mirror.find(id);
        let reasons = match (self.mirror.end_of(id), known, &self.leader) {
            (Some(_), ..) => {
                let row = row_of(&self.mirror, id, &|_| 0);
                vec![Reason::Ended { state: row.map_or(JobState::Done, |row| row.state) }]
            }
            (None, None, _) => match self.waiting_node(id) {
                Some(reason) => vec![reason],
                None => return Answer::error(404, "no such job"),
            },
            (None, Some(_), None) => {
                let leader = self.mirror.leader.as_ref().map(|leader| leader.node.clone());
                vec![Reason::NoLeader { silent: leader.filter(|node| *node != self.settings.node) }]
            }
            (None, Some(ix), Some(leader)) => leader.explain(ix, task, &self.mirror.names, clock),
        };
        let tasks = self.mirror.find_job(id).map(|job| job.info.tasks);
        if let (Some(task), Some(tasks)) = (task, tasks)
            && task >= tasks
        {
            return Answer::error(404, &format!("the job has tasks 0 to {}", tasks - 1));
        }
        Answer::json(200, &self.explanation(id, task, reasons))
    }

    fn explanation(&self, id: JobId, task: Option<u32>, reasons: Vec<Reason>) -> Explanation {
        let row = row_of(&self.mirror, id, &|id| self.running(id));
        Explanation {
            node: self.settings.node.clone(),
            job: id.to_string(),
            task,
            state: row.as_ref().map(|row| row.state),
            tasks: row.as_ref().and_then(|row| row.tasks),
            done: row.as_ref().and_then(|row| row.done),
            reasons,
        }
    }

    fn events(&self, id: JobId) -> Answer {
        if self.mirror.find(id).is_none() && self.mirror.end_of(id).is_none() {
            return Answer::error(404, "no such job");
        }
        let Some(leader) = &self.leader else { return later("nobody leads") };
        let (events, earlier_unknown) = leader.event_rows(id);
        let node = self.settings.node.clone();
        Answer::json(200, &EventList { node, job: id.to_string(), earlier_unknown, events })
    }

    /// The same for many jobs: without a leader's knowledge, the log is gone through once for all of them.
    pub(super) fn running_of_all(&self) -> impl Fn(JobId) -> u32 + '_ {
        let recorded =
            if self.leader.is_some() { Default::default() } else { self.mirror.all_recorded_running() };
        move |id| match &self.leader {
            Some(_) => self.running(id),
            None => recorded.get(&id).copied().unwrap_or(0),
        }
    }

    /// How many tasks of a job run, for display.
    pub(super) fn running(&self, id: JobId) -> u32 {
        match self.leader.as_ref().zip(self.mirror.find(id)) {
            Some((leader, ix)) => leader.work.get(&ix).map_or(0, |work| work.out.len() as u32),
            None => self.mirror.recorded_running(id),
        }
    }

    /// This controller as operators see it.
    pub fn status(&self, clock: Clock) -> NodeStatus {
        let (live, ended) = self.mirror.counts();
        NodeStatus {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            ready: self.ready(),
            leads: self.leader.is_some(),
            leader: self.mirror.leader.as_ref().map(|leader| leader.node.clone()),
            revision: self.mirror.revision.0,
            mirror_age_s: self.ledger.fresh.map(|fresh| units(clock.now.since(fresh))),
            state_reachable: self.ledger.loaded && self.ledger.reachable(clock.now),
            jobs_live: live as u64,
            jobs_ended: ended as u64,
            requests_held: self.users.held() as u64,
            takeovers: self.takeovers,
            uptime_s: units(clock.now.since(self.started)),
            accounts: self.accounts(),
            work: self.leader.as_ref().map(|leader| leader.figures(&self.mirror.names)),
        }
    }

    /// Is the operators' interface turned on?
    pub fn serves_operators(&self) -> bool {
        self.operators.enabled
    }
}

/// By the records alone: a task is on a machine's record, or waits.
fn recorded_rows(
    mirror: &Mirror,
    id: JobId,
    after: Option<u32>,
    limit: usize,
) -> (Vec<TaskRow>, Option<u32>) {
    let Some(job) = mirror.find_job(id) else { return (Vec::new(), None) };
    let places = mirror.recorded_places(id);
    let mut open = job.finished.missing().filter(|task| after.is_none_or(|after| *task > after));
    let row = |task: u32| {
        let places = places.get(&task);
        TaskRow {
            task,
            state: if places.is_some() { TaskWord::Placed } else { TaskWord::Waiting },
            attempt: places.and_then(|places| places.iter().map(|(_, attempt)| *attempt).max()),
            machines: places.map_or(Vec::new(), |p| p.iter().map(|(name, _)| name.clone()).collect()),
        }
    };
    let rows: Vec<TaskRow> = open.by_ref().take(limit).map(row).collect();
    let next = open.next().and(rows.last().map(|row| row.task));
    (rows, next)
}
