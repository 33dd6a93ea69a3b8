//! What workers say, and what follows from it.

use std::collections::HashSet;

use crate::bookkeeping::mirror::Mirror;
use crate::coordination::Clock;
use crate::coordination::leader::machines::faults::patience;
use crate::coordination::leader::{Binding, Leader, Life, Run};
use crate::ids::{Attempt, JobIx, MachineIx, Session, TaskRef};
use crate::protocol::operators::EventWord;
use crate::protocol::users::Shape;
use crate::protocol::workers::{ExitCause, Order, Piece, Report, TaskState};
use olivelatch_graph::Tries;

/// Before a task that failed, or was refused, is tried again.
pub const AFTER_ERROR_MS: u64 = 1000;
const AFTER_REFUSAL_MS: u64 = 700;
const AFTER_UNKNOWN_MS: u64 = 3000;
/// A machine on which runs take so many times their jobs' mean is replaced.
const SLOW: f64 = 2.0;
/// Runs that a job, and a machine, must have finished before it is compared.
const COMPARED_RUNS: u32 = 4;

/// Fetches that tell a rate, and how much one of them counts.
const SHORTEST_FETCH_MS: u64 = 2_000;
const FETCH_WEIGHT: f64 = 0.1;

/// How to answer a report.
#[derive(Debug)]
pub enum Verdict {
    Orders(Vec<Order>),
    /// No answer that keeps the worker alive: what it holds must go.
    Starve,
}

impl Leader {
    /// A report that came as a request. `may_run`: this node is entitled to start tasks.
    pub fn report(&mut self, mirror: &mut Mirror, clock: Clock, report: &Report, may_run: bool) -> Verdict {
        let ix = self.machine_of(mirror, report, clock);
        let reported = std::mem::replace(&mut self.machines[ix.at()].reported, (report.session, report.tick));
        if (report.session, report.tick) <= reported {
            // A copy that comes late: nobody waits for the answer, and no lease grows by it.
            self.machines[ix.at()].reported = reported;
            return Verdict::Starve;
        }
        // A report older than the body of an answer to `/orders` may still be the worker's latest: its answer keeps
        // the worker alive like any other, but it says nothing new.
        let newer = self.is_newer(ix, report);
        self.heard_of(ix, clock);
        if newer && report.token != self.token && self.unheard(ix, clock) {
            return Verdict::Starve;
        }
        if newer {
            self.observe(ix, clock, report);
            self.adopt_done(mirror, report, clock);
        }
        if newer && report.token == self.token {
            let machine = &mut self.machines[ix.at()];
            machine.confirmed = true;
            machine.unheard_since = None;
            self.absent(ix, clock, report);
        }
        self.refresh(ix);
        let overdue = |binding: &Binding| binding.gone_by.is_some_and(|by| by <= clock.now);
        if self.machines[ix.at()].bindings.iter().any(overdue) {
            return Verdict::Starve;
        }
        self.machines[ix.at()].answered = Some(clock.now);
        if !newer || report.token != self.token {
            // It hears of us only now; orders follow once it shows the token.
            return Verdict::Orders(Vec::new());
        }
        let mut orders = self.reaps(ix, mirror, report);
        orders.extend(self.orders(ix, clock, Some(report.tick), may_run));
        Verdict::Orders(orders)
    }

    /// The body of an answer to `/orders`: true as far as it goes, but silent on
    /// commands that are still on their way in a response.
    pub fn observe_direct(&mut self, ix: MachineIx, clock: Clock, report: &Report) {
        if !self.is_newer(ix, report) {
            return;
        }
        self.observe(ix, clock, report);
        let machine = &mut self.machines[ix.at()];
        // Its reports may still be on their way to a leader that is cut off, for 16 s after
        // a takeover: what it showed here entitles us just as well.
        if report.token == self.token && !machine.confirmed {
            machine.confirmed = true;
            machine.shown = Some(clock.now);
            self.to_tell.insert(ix);
        }
        self.refresh(ix);
    }

    fn machine_of(&mut self, mirror: &mut Mirror, report: &Report, clock: Clock) -> MachineIx {
        let kind = mirror.names.kinds.intern(&report.kind);
        let zone = mirror.names.zones.intern(&report.zone);
        let ix = self.add_machine(&report.machine, &report.endpoint, kind, zone, report.spot, clock);
        self.machines[ix.at()].endpoint.clone_from(&report.endpoint);
        ix
    }

    /// It is there, or there again.
    fn heard_of(&mut self, ix: MachineIx, clock: Clock) {
        let machine = &mut self.machines[ix.at()];
        if machine.life == Life::Booting {
            let kind = self.kinds.get(&machine.kind).map_or("", |kind| &kind.name);
            log::info!(event = "machine_up", machine = machine.name.as_str(); "machine {} up ({kind})", machine.name);
            machine.idle_since = clock.now;
        }
        if matches!(machine.life, Life::Booting | Life::Silent) {
            machine.shown = None;
            machine.life = Life::Up;
        }
    }

    fn is_newer(&self, ix: MachineIx, report: &Report) -> bool {
        let machine = &self.machines[ix.at()];
        (report.session, report.tick) > (machine.session, machine.tick)
    }

    /// Whoever calls it refreshes the machine when all is taken in.
    fn observe(&mut self, ix: MachineIx, clock: Clock, report: &Report) {
        let before = self.machines[ix.at()].session;
        if report.session > before {
            self.machines[ix.at()].session_seen = Some(clock.now);
            self.new_session(ix, before, report.session, clock);
        }
        let machine = &mut self.machines[ix.at()];
        machine.session = report.session;
        machine.tick = report.tick;
        match report.notice_ms {
            Some(ms) => {
                let until = clock.now.plus(ms);
                if machine.notice_until.is_none() {
                    log::info!(event = "notice", machine = machine.name.as_str(); "machine {} is taken back in {ms} ms", machine.name);
                    machine.notice_until = Some(until);
                    self.on_notice(ix, ms);
                }
            }
            None => machine.notice_until = None,
        }
        for piece in &report.pieces {
            self.piece(ix, clock, piece);
        }
    }

    /// The worker's lease had ended: it has forgotten all it was told before.
    fn new_session(&mut self, ix: MachineIx, before: Session, now: Session, clock: Clock) {
        self.machines[ix.at()].late.clear();
        if before == Session(0) {
            return;
        }
        log::info!("machine {} starts session {}", self.machines[ix.at()].name, now.0);
        // What was inherited may have been started in this very session, if the one seen before was that of an old report
        // that came late: a report with our token tells.
        let sent = |binding: &Binding| {
            binding.late || !matches!(binding.run, Run::Planned | Run::Recorded | Run::Inherited)
        };
        let open = |binding: &Binding| binding.late || matches!(binding.run, Run::Answered { .. });
        if self.machines[ix.at()].bindings.iter().any(open) {
            self.not_heard(ix);
        }
        while let Some(at) = self.machines[ix.at()].bindings.iter().position(sent) {
            let binding = self.detach(ix, at, clock);
            self.journal.note(binding.task.job, EventWord::MachineGone, Some(ix), binding.task.task, 1);
            self.requeue(&binding, 0, clock);
        }
        self.forget_images(ix);
    }

    fn piece(&mut self, ix: MachineIx, clock: Clock, piece: &Piece) {
        let known = self.machines[ix.at()]
            .bindings
            .iter()
            .position(|b| b.task == piece.task && b.attempt == piece.attempt);
        match (known, piece.state) {
            (Some(at), TaskState::Exited(cause)) => self.exited(ix, at, piece, cause, clock),
            (Some(at), state) => {
                let machine = &mut self.machines[ix.at()];
                if !matches!(machine.bindings[at].run, Run::Seen | Run::Inherited) {
                    machine.unheard_runs = 0;
                }
                let binding = &mut machine.bindings[at];
                binding.run = Run::Seen;
                if binding.state != Some(state) {
                    log::debug!("{} {:?} on {}", piece.task, state, ix.0);
                }
                binding.state = Some(state);
                binding.late = false;
                if state == TaskState::Fetching {
                    binding.fetching_since.get_or_insert(clock.now);
                }
                if state == TaskState::Running && binding.running_since.is_none() {
                    binding.running_since = Some(clock.now);
                    let job = binding.job;
                    self.journal.note(piece.task.job, EventWord::Running, Some(ix), piece.task.task, 1);
                    if let Some(work) = binding.job.and_then(|job| self.work.get_mut(&job)) {
                        work.first_run.saw(clock.wall_ms);
                    }
                    self.limit_from_now(ix, job, piece, clock);
                }
                let binding = &mut self.machines[ix.at()].bindings[at];
                let fetched = matches!(state, TaskState::Running | TaskState::Gathering);
                if let Some(since) = binding.fetching_since.take_if(|_| fetched) {
                    let job = binding.job;
                    self.fetched(ix, job, clock.now.since(since));
                }
            }
            (None, TaskState::Exited(_)) => {}
            // Nothing of ours: it stops, and counts as being there until it is gone.
            (None, state) => self.unknown_task(ix, piece, state),
        }
    }

    /// An image came in: what the machine type really fetches a second.
    fn fetched(&mut self, ix: MachineIx, job: Option<JobIx>, ms: u64) {
        let Some(work) = job.and_then(|job| self.work.get(&job)) else { return };
        let Some(kind) = self.kinds.get_mut(&self.machines[ix.at()].kind) else { return };
        // Shorter than the reports are apart, it says nothing.
        if ms < SHORTEST_FETCH_MS || work.info.image_mb == 0 {
            return;
        }
        let seen = work.info.image_mb as f64 / ms as f64 * 1000.0;
        kind.fetch_mb_per_s += (seen - kind.fetch_mb_per_s) * FETCH_WEIGHT;
    }

    fn unknown_task(&mut self, ix: MachineIx, piece: &Piece, state: TaskState) {
        log::info!("stray {} on {}", piece.task, self.machines[ix.at()].name);
        let binding = Binding {
            task: piece.task,
            job: None,
            attempt: piece.attempt,
            need: Default::default(),
            team: None,
            pool: None,
            idle_time: false,
            over_limit: false,
            run: Run::Seen,
            part: None,
            state: Some(state),
            late: false,
            fetching_since: None,
            running_since: None,
            halt: Some(0),
            halt_sent: None,
            gone_by: None,
        };
        self.attach(ix, binding);
    }

    /// Tasks that a report proves not to be there.
    fn absent(&mut self, ix: MachineIx, clock: Clock, report: &Report) {
        let shown: HashSet<(TaskRef, Attempt)> =
            report.pieces.iter().map(|piece| (piece.task, piece.attempt)).collect();
        let deaf = self.dropped_answer(ix, report.tick);
        let mut at = 0;
        while let Some(binding) = self.machines[ix.at()].bindings.get_mut(at) {
            if shown.contains(&(binding.task, binding.attempt)) {
                at += 1;
                continue;
            }
            match binding.run {
                // Our response was dropped: the worker never carries it out later.
                Run::Answered { tick } if tick < report.tick && (!deaf || binding.late) => {
                    binding.run = Run::Recorded;
                }
                Run::Answered { tick } if tick < report.tick => {
                    let binding = self.detach(ix, at, clock);
                    self.requeue(&binding, 0, clock);
                    continue;
                }
                Run::Seen | Run::Inherited if !binding.late => {
                    let binding = self.detach(ix, at, clock);
                    self.requeue(&binding, 0, clock);
                    continue;
                }
                _ => {}
            }
            at += 1;
        }
        self.drop_unsent(ix, clock);
    }

    fn exited(&mut self, ix: MachineIx, at: usize, piece: &Piece, cause: ExitCause, clock: Clock) {
        let binding = self.detach(ix, at, clock);
        self.note_exit(ix, &binding, cause);
        if binding.late {
            self.machines[ix.at()].late.insert((binding.task, binding.attempt));
        }
        if cause == ExitCause::Done {
            if let Some(job) = binding.job {
                self.node_done(ix, job, piece);
            }
            self.finished(ix, &binding, clock);
            return;
        }
        let tried = self.node_failed(ix, &binding, cause);
        let delay = match cause {
            ExitCause::Error => {
                self.failed(ix, &binding, clock);
                AFTER_ERROR_MS
            }
            ExitCause::NoRoom | ExitCause::Busy => AFTER_REFUSAL_MS,
            ExitCause::Unknown => AFTER_UNKNOWN_MS,
            _ => 0,
        };
        let work = binding.job.and_then(|job| self.work.get(&job));
        let usual = delay.saturating_mul(work.map_or(1, patience));
        let delay = tried.flatten().unwrap_or(usual);
        self.requeue(&binding, delay, clock);
        self.gang_member_left(&binding);
    }

    fn finished(&mut self, ix: MachineIx, binding: &Binding, clock: Clock) {
        let machine = &mut self.machines[ix.at()];
        machine.errors.clear();
        machine.finishes.retain(|at| clock.now.since(*at) < 60_000);
        machine.finishes.push(clock.now);
        let Some(job) = binding.job else { return };
        let Some(work) = self.work.get_mut(&job) else {
            return;
        };
        let on_trial = work.succeeded();
        if let Some(since) = binding.running_since {
            if work.runs >= COMPARED_RUNS {
                let mean = (work.run_ms / u64::from(work.runs)).max(1);
                machine.pace.0 += 1;
                machine.pace.1 += clock.now.since(since) as f64 / mean as f64;
            }
            let (runs, sum) = machine.pace;
            if runs >= COMPARED_RUNS && sum > SLOW * f64::from(runs) && !machine.slow {
                log::info!(event = "slow", machine = machine.name.as_str(); "machine {} taken for slow", machine.name);
                machine.slow = true;
            }
            // Only runs that were seen from start to end say how long a task takes.
            work.runs += 1;
            work.run_ms += clock.now.since(since);
        }
        self.task_done(job, binding.task, clock);
        if on_trial {
            self.trial_over(job);
        }
    }

    fn task_done(&mut self, ix: JobIx, task: TaskRef, clock: Clock) {
        let Some(work) = self.work.get_mut(&ix) else {
            return;
        };
        if work.info.shape == Shape::Gang {
            // They complete together: when one is done, all of them are.
            for task in 0..work.info.tasks {
                work.done.set(task);
            }
        } else if work.done.set(task.task) && !work.done.full() {
            self.history.finished(task, clock.now);
        }
        if work.done.full() {
            self.end_job(ix);
        }
    }

    /// Exited tasks that may be forgotten by the worker: whatever that erases is durable.
    fn reaps(&self, ix: MachineIx, mirror: &Mirror, report: &Report) -> Vec<Order> {
        if report.token != self.token {
            return Vec::new();
        }
        let machine = &self.machines[ix.at()];
        let may_go = |piece: &&Piece| {
            let TaskState::Exited(cause) = piece.state else {
                return false;
            };
            // A direct command may still come and would start it once more.
            if machine.late.contains(&(piece.task, piece.attempt)) {
                return false;
            }
            if cause != ExitCause::Done || mirror.end_of(piece.task.job).is_some() {
                return true;
            }
            mirror.find_job(piece.task.job).is_none_or(|job| job.finished.has(piece.task.task))
        };
        let may_go = |piece: &&Piece| may_go(piece) && !self.untold_failure(piece, mirror);
        let reap = |piece: &Piece| Order::Reap { task: piece.task, attempt: piece.attempt };
        report.pieces.iter().filter(may_go).map(reap).collect()
    }

    /// A failed try of a node that is not durable: forgotten by the worker, a new leader would not count it.
    fn untold_failure(&self, piece: &Piece, mirror: &Mirror) -> bool {
        let work = mirror.find(piece.task.job).and_then(|job| self.work.get(&job));
        let Some((work, node)) = work.and_then(|work| Some((work, work.node.as_ref()?))) else {
            return false;
        };
        // A gang fails as one.
        let task = if work.info.shape == Shape::Gang { 0 } else { piece.task.task };
        let covers = |tries: Option<&Tries>| tries.is_some_and(|tries| tries.covers(piece.attempt.0));
        let told = mirror.graphs.tries_of(piece.task.job).and_then(|tries| tries.get(&task));
        mirror.end_of(piece.task.job).is_none() && covers(node.tries.get(&task)) && !covers(told)
    }

    /// A `done` of a task that an earlier leader had started and taken off its record.
    pub fn adopt_done(&mut self, mirror: &Mirror, report: &Report, clock: Clock) {
        for piece in &report.pieces {
            if piece.state != TaskState::Exited(ExitCause::Done) {
                continue;
            }
            let Some(ix) = mirror.find(piece.task.job) else {
                continue;
            };
            let Some(work) = self.work.get_mut(&ix) else {
                continue;
            };
            // Counted already: it only waits to be reaped.
            if work.out.contains_key(&piece.task.task) || work.done.has(piece.task.task) {
                continue;
            }
            let machine = self.by_name.get(&report.machine).copied();
            if let Some(machine) = machine {
                self.node_done(machine, ix, piece);
            }
            self.task_done(ix, piece.task, clock);
            if self.work.get(&ix).is_some_and(|work| work.done.full()) {
                self.drop_queued(ix);
            }
        }
    }
}
