//! The ordinary path: the t split, dedicated first, sampled half steals, spills over tt.

use std::collections::{BTreeSet, HashSet};

use olivelatch_admission::pressure::Level;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::coordination::Clock;
use crate::coordination::leader::placement::policy::{Rank, Turn};
use crate::coordination::leader::placement::queues::Queue;
use crate::coordination::leader::placement::scarce::Waits;
use crate::coordination::leader::records::history::Start;
use crate::coordination::leader::{Binding, Leader, Run, Work};
use crate::ids::{Amount, Attempt, JobIx, MachineIx, TaskRef};
use crate::protocol::operators::EventWord;

/// Stealing of one machine within one round of placement.
const STEALS_A_ROUND: usize = 4;
/// Samples drawn for a task before all machines are looked at.
const SAMPLES: usize = 3;
/// Thieves that try again now and then while tasks wait somewhere.
const SWEPT: usize = 4;
/// Gangs that wait are tried that often: more often nothing has changed for them.
const GANGS_EVERY_MS: u64 = 150;
/// And by a leader that is behind its events.
const GANGS_SELDOM_MS: u64 = 1_000;

/// What keeps a task off a machine. Placement starts it where there is nothing; explain counts what there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hindrance {
    Full,
    /// Not up, not confirmed, deaf, going back, sick, slow or taken back soon.
    Closed,
    /// Its type, zone or kind (spot) is not allowed.
    Excluded,
    TooSmall,
    FailedHere,
    /// One zone for all tasks, or at most half of them in one.
    ZoneRule,
    TeamLimit,
    PoolFull,
    /// Nobody waits for it, and what is free is left to work that is waited for.
    IdleTime,
}

impl Leader {
    /// What keeps a task of this job off this machine, room and quota aside.
    pub fn unfit(&self, ix: MachineIx, work: &Work) -> Option<Hindrance> {
        let machine = &self.machines[ix.at()];
        if !machine.open() {
            Some(Hindrance::Closed)
        } else if !work.info.allows(machine.kind, machine.zone, machine.spot) {
            Some(Hindrance::Excluded)
        } else if !work.info.need.fits(&machine.size) {
            Some(Hindrance::TooSmall)
        } else if work.failed_on.contains(&ix) {
            Some(Hindrance::FailedHere)
        } else {
            None
        }
    }

    /// May a task of this job start on this machine, room and quota aside?
    pub fn suits(&self, ix: MachineIx, work: &Work) -> bool {
        self.unfit(ix, work).is_none()
    }

    /// What keeps a task of this job from starting now on a machine with so much room.
    pub fn hindrance(&self, ix: MachineIx, free: &Amount, work: &Work) -> Option<Hindrance> {
        if !work.info.need.fits(free) {
            return Some(Hindrance::Full);
        }
        if let Some(unfit) = self.unfit(ix, work) {
            return Some(unfit);
        }
        if !self.zone_allows(ix, work) {
            return Some(Hindrance::ZoneRule);
        }
        if !self.within_quota(work.info.team, &work.info.need) {
            return Some(Hindrance::TeamLimit);
        }
        if !self.within_pool(work, 1) {
            return Some(Hindrance::PoolFull);
        }
        (self.headroom_for(work) == 0).then_some(Hindrance::IdleTime)
    }

    /// The zone rules, judged against every place where a task of the job may still be.
    pub fn zone_allows(&self, ix: MachineIx, work: &Work) -> bool {
        let zone = self.machines[ix.at()].zone;
        // After a takeover there may be records of two zones, of which one is stale: neither is allowed until one is empty.
        if work.info.one_zone && work.zones.keys().any(|other| *other != zone) {
            return false;
        }
        let here = work.zones.get(&zone).copied().unwrap_or(0);
        !work.info.spread || here < work.info.tasks.div_ceil(2)
    }

    /// Time to fetch the image over the expected run time.
    pub fn ratio(&self, work: &Work) -> f64 {
        let rates = self.kinds.iter().filter(|(kind, _)| work.info.allows_kind(**kind));
        let rate = rates.map(|(_, kind)| kind.fetch_mb_per_s).fold(0.0, f64::max);
        let rate = if rate > 0.0 { rate } else { self.tunables.fetch_gb_per_s * 1000.0 };
        // Output that a node reads is data to be fetched like its image.
        let data_mb = work.info.image_mb + work.info.node.as_ref().map_or(0, |node| node.input_mb);
        let fetch_ms = data_mb as f64 / rate * 1000.0;
        fetch_ms / work.length_ms().max(1) as f64
    }

    /// The t split: cheap to move joins a shared queue, dear to move the shortest
    /// dedicated queue of a machine that has the image, else a shared one.
    pub fn enqueue(&mut self, job: JobIx, tasks: &[u32]) {
        let Some(work) = self.work.get(&job) else {
            return;
        };
        let dear = self.ratio(work) > self.tunables.t;
        let holders = if dear { self.image_holders(work) } else { Vec::new() };
        let count = tasks.len();
        if holders.is_empty() {
            self.share_out(job, tasks);
        } else {
            self.dedicate(job, tasks, holders);
        }
        // Idle thieves gave up until tasks arrive (source): some for each task come back.
        self.roster.wake(2 * count + 2);
    }

    fn image_holders(&self, work: &Work) -> Vec<MachineIx> {
        let holders = self.holders.get(&work.info.image);
        let homes = self.homes_of(work);
        let beside = homes.iter().filter(|ix| holders.is_none_or(|holders| !holders.contains(ix)));
        let able = |ix: &&MachineIx| self.roster.takes(**ix) && self.suits(**ix, work);
        holders.into_iter().flatten().chain(beside).filter(able).copied().collect()
    }

    /// Each task joins the dedicated queue that is the shortest then.
    fn dedicate(&mut self, job: JobIx, tasks: &[u32], holders: Vec<MachineIx>) {
        let Some(rank) = self.work.get(&job).map(|work| work.rank) else { return };
        self.counters.looked_at += holders.len() as u64;
        self.counters.to_dedicated += tasks.len() as u64;
        self.note_queued(job, tasks, EventWord::QueuedDedicated);
        let length = |ix: &MachineIx| self.machines[ix.at()].dedicated.len();
        let mut shortest: BTreeSet<(usize, MachineIx)> = holders.iter().map(|ix| (length(ix), *ix)).collect();
        for task in tasks {
            let Some((length, ix)) = shortest.pop_first() else { return };
            self.machines[ix.at()].dedicated.push(rank, *task);
            shortest.insert((length + 1, ix));
            self.roster.dedicated(ix);
            self.roster.room(ix);
        }
    }

    /// Tasks join the shared queue of the best of a random sample, as many at once as it
    /// has room for.
    fn share_out(&mut self, job: JobIx, tasks: &[u32]) {
        let Some(rank) = self.work.get(&job).map(|work| work.rank) else { return };
        self.counters.to_shared += tasks.len() as u64;
        self.note_queued(job, tasks, EventWord::QueuedShared);
        let fair = tasks.len().div_ceil(self.roster.takers().len().max(1));
        let mut rest = tasks;
        while !rest.is_empty() {
            let Some((ix, room)) = self.best_sampled(job) else {
                self.note_queued(job, rest, EventWord::QueuedNowhere);
                for task in rest {
                    self.backlog.push(rank, *task);
                }
                return;
            };
            let (now, later) = rest.split_at(rest.len().min(room.max(fair)));
            for task in now {
                self.machines[ix.at()].shared.push(rank, *task);
            }
            self.roster.room(ix);
            rest = later;
        }
    }

    /// A random sample of the machines that take queued tasks. However large it is, it takes
    /// one number of the leader's own generator.
    fn draw(&mut self) -> Vec<MachineIx> {
        let mut rng = SmallRng::seed_from_u64(self.rng.next_u64());
        let sample = self.roster.sample(&mut rng);
        self.counters.looked_at += sample.len() as u64;
        sample
    }

    /// The machine of a sample that can start most of the job's tasks, cheap ones first;
    /// else the one with the shortest queue for its size. And how many it can start.
    fn best_sampled(&mut self, job: JobIx) -> Option<(MachineIx, usize)> {
        for _ in 0..SAMPLES {
            let sample = self.draw();
            let best = self.best_of(job, sample.into_iter());
            if best.is_some() {
                return best;
            }
        }
        // Few machines suit it: look at all before it is said that none does.
        self.counters.looked_at += self.roster.takers().len() as u64;
        self.best_of(job, self.roster.takers().iter().copied())
    }

    fn best_of(&self, job: JobIx, sample: impl Iterator<Item = MachineIx>) -> Option<(MachineIx, usize)> {
        let work = self.work.get(&job)?;
        let homes = self.homes_of(work);
        let rated = sample.chain(homes.iter().copied().filter(|ix| self.roster.takes(*ix)));
        let rated = rated.filter(|ix| self.suits(*ix, work)).map(|ix| {
            let machine = &self.machines[ix.at()];
            let queued = machine.shared.len() as u64;
            let free = if machine.held_for.is_some() { 0 } else { work.info.need.count_in(&machine.free()) };
            let room = free.saturating_sub(queued + machine.dedicated.len() as u64).min(1_000_000);
            let load = queued * 1_000_000 / machine.size.cpu.max(1);
            let price = (self.price_per_cpu(ix) * 1e9) as u64;
            // Where its input is, a node starts soonest; without room there it goes where others go.
            let away = room > 0 && !homes.is_empty() && !homes.contains(&ix);
            ((room == 0, away, if room == 0 { load } else { price }, u64::MAX - room), ix, room as usize)
        });
        rated.min_by_key(|(key, ..)| *key).map(|(_, ix, room)| (ix, room))
    }

    /// Places what can be placed.
    pub fn place(&mut self, clock: Clock) {
        self.wake(clock);
        self.release_holds(clock);
        if std::mem::take(&mut self.roster.backlog_due) {
            self.spread_backlog();
        }
        if !self.gangs.is_empty() {
            // Gangs come first, so nothing is filled before they have had a look.
            if clock.now < self.gangs_next {
                return;
            }
            let every = if self.pressure > Level::Calm { GANGS_SELDOM_MS } else { GANGS_EVERY_MS };
            self.gangs_next = clock.now.plus(every);
            self.place_gangs(clock);
        } else if !self.kept.is_empty() {
            self.keep_scarce(&Waits::default());
        }
        let mut order = self.roster.take(clock.now);
        order.retain(|ix| self.machines[ix.at()].held_for.is_none());
        // Cheap machines help themselves first, so that dear ones run empty.
        order.sort_by(|a, b| self.price_per_cpu(*a).total_cmp(&self.price_per_cpu(*b)));
        for ix in order {
            self.fill(ix, clock);
        }
    }

    /// Dedicated queues grow too long by time passing as well. And tasks may sit where they
    /// cannot start, and thieves may have missed them all: some thieves that gave up try again.
    /// Looked at now and then only: at every event, 300 machines with a dedicated queue cost
    /// more than all that is placed.
    pub fn sweep(&mut self, clock: Clock) {
        self.spill(clock);
        self.forgive(clock);
        self.try_again(clock);
        self.enforce_limits(clock);
        let waiting = |ix: &MachineIx| !self.machines[ix.at()].shared.is_empty();
        if self.roster.takers().iter().any(waiting) {
            self.roster.wake(SWEPT);
        }
    }

    /// Tasks that no machine could take, once one may.
    fn spread_backlog(&mut self) {
        for rank in self.backlog.ranks().copied().collect::<Vec<Rank>>() {
            let Some(work) = self.work.get(&rank.job) else {
                continue;
            };
            if !self.roster.takers().iter().any(|ix| self.suits(*ix, work)) {
                continue;
            }
            let mut tasks = Vec::new();
            while let Some(task) = self.backlog.pop(rank) {
                tasks.push(task);
            }
            self.enqueue(rank.job, &tasks);
        }
    }

    fn fill(&mut self, ix: MachineIx, clock: Clock) {
        self.counters.looked_at += 1;
        let mut steals = 0;
        loop {
            // Dedicated first (source): those tasks wait for this machine alone.
            while self.bind_from(ix, true) || self.bind_from(ix, false) {}
            let machine = &self.machines[ix.at()];
            let may_steal = clock.now >= machine.next_steal && steals < STEALS_A_ROUND;
            if !may_steal || machine.free().cpu == 0 || !self.has_nothing_to_start(ix) {
                return;
            }
            steals += 1;
            if !self.steal(ix, clock) {
                return;
            }
        }
    }

    /// Its shared queue is empty, or limits of teams and the like keep all in it from starting: without the latter,
    /// machines stood free beside queues full of work, because a guest's tasks that had to wait lay in their own.
    fn has_nothing_to_start(&self, ix: MachineIx) -> bool {
        let machine = &self.machines[ix.at()];
        let limited = || matches!(self.first_turn(&machine.shared, ix, &machine.free()), (None, true));
        machine.shared.is_empty() || limited()
    }

    /// May a task of this job start now with this much room? None: but for its team's limit.
    fn may_start(&self, ix: MachineIx, free: &Amount, job: JobIx) -> Option<bool> {
        let Some(work) = self.work.get(&job) else { return Some(false) };
        match self.hindrance(ix, free, work) {
            None if self.is_claimed(job, work) => None,
            None => Some(true),
            Some(Hindrance::TeamLimit | Hindrance::PoolFull | Hindrance::IdleTime) => None,
            Some(_) => Some(false),
        }
    }

    /// When the job's turn comes: `policy` has the order.
    pub fn turn(&self, rank: &Rank) -> Turn {
        Turn::new(rank, self.standings.of(rank.job))
    }

    /// Starts the first task of a queue that may start now. Instead of its own shared task
    /// a machine takes one whose turn is earlier, if it finds one in a sample.
    fn bind_from(&mut self, ix: MachineIx, dedicated: bool) -> bool {
        let machine = &self.machines[ix.at()];
        if machine.bindings.len() >= self.most_tasks {
            return false;
        }
        let queue = if dedicated { &machine.dedicated } else { &machine.shared };
        let free = machine.free();
        let (first, limited) = self.first_turn(queue, ix, &free);
        let Some(turn) = first else {
            if limited {
                self.roster.limited(ix);
            }
            return false;
        };
        let earlier = if dedicated { None } else { self.earlier_turn(ix, &free, turn) };
        let (from, rank) = earlier.unwrap_or((ix, turn.rank));
        let machine = &mut self.machines[from.at()];
        let queue = if dedicated { &mut machine.dedicated } else { &mut machine.shared };
        let Some(task) = queue.pop(rank) else {
            return false;
        };
        let attempt = self.next_attempt();
        self.bind(ix, rank.job, task, attempt);
        true
    }

    /// The first turn of those in a queue that may start on a machine with so much room; and whether a limit of a team or
    /// pool kept others from starting.
    fn first_turn(&self, queue: &Queue, ix: MachineIx, free: &Amount) -> (Option<Turn>, bool) {
        let mut limited = false;
        let mut first: Option<Turn> = None;
        for rank in queue.ranks() {
            // Long queues are not gone through to their ends: what comes later in rank cannot come before this one.
            if first.is_some_and(|first| first.before_all_behind(rank, self.standings.present)) {
                break;
            }
            let turn = self.turn(rank);
            if first.is_some_and(|first| first < turn) {
                continue;
            }
            let may = self.may_start(ix, free, rank.job);
            limited |= may.is_none();
            if may == Some(true) {
                first = Some(turn);
            }
        }
        (first, limited)
    }

    /// A queue of a random sample whose first task comes before `turn` and may start here.
    /// Thieves of the source are idle; with queues everywhere nobody is, and tasks that are
    /// due would wait for their own machine however long its tasks run.
    fn earlier_turn(&mut self, ix: MachineIx, free: &Amount, turn: Turn) -> Option<(MachineIx, Rank)> {
        let sample = self.draw();
        // While some jobs are late the first in rank need not be the first in turn.
        let first = |queue: &Queue| {
            let rank = queue.first()?;
            let all = self.standings.present.late || self.standings.present.behind;
            if all { queue.ranks().map(|rank| self.turn(rank)).min() } else { Some(self.turn(&rank)) }
        };
        let better = |other: MachineIx| {
            let theirs = first(&self.machines[other.at()].shared).filter(|theirs| *theirs < turn)?;
            (self.may_start(ix, free, theirs.rank.job) == Some(true)).then_some((theirs, other))
        };
        let best = sample.into_iter().filter(|other| *other != ix).filter_map(better).min()?;
        self.counters.stolen += 1;
        Some((best.1, best.0.rank))
    }

    /// The task belongs to the machine; it is started once its record is durable.
    pub fn bind(&mut self, ix: MachineIx, job: JobIx, task: u32, attempt: Attempt) {
        let Some(work) = self.work.get(&job) else {
            return;
        };
        let info = work.info.clone();
        log::debug!("{}/{task} bound to {}", info.id, ix.0);
        self.touch_image(ix, info.image, info.image_mb);
        let binding = Binding {
            task: TaskRef { job: info.id, task },
            job: Some(job),
            attempt,
            need: info.need,
            team: Some(info.team),
            pool: info.pool(),
            idle_time: self.is_idle_time(&info),
            over_limit: false,
            run: Run::Planned,
            part: None,
            state: None,
            late: false,
            fetching_since: None,
            running_since: None,
            halt: None,
            halt_sent: None,
            gone_by: None,
        };
        let start = Start { machine: ix, task: binding.task, attempt };
        if let Some(trial) = self.work.get_mut(&job).and_then(|work| work.trial.as_mut()) {
            trial.queued = false;
        }
        self.started(job);
        self.journal.note(start.task.job, EventWord::Bound, Some(ix), start.task.task, 1);
        self.attach(ix, binding);
        self.history.start(start);
        self.counters.bound += 1;
    }

    /// Takes half of what it could run from the longest of a random sample of shared
    /// queues, as many as the square root of all (source).
    fn steal(&mut self, thief: MachineIx, clock: Clock) -> bool {
        let sample = self.draw();
        let free = self.machines[thief.at()].free();
        let wanted = |job: JobIx| self.may_start(thief, &free, job) == Some(true);
        let longest = sample
            .into_iter()
            .filter(|ix| *ix != thief)
            .map(|ix| (self.machines[ix.at()].shared.count_where(wanted), ix))
            .max_by_key(|(count, _)| *count);
        let taken = match longest {
            Some((count, victim)) if count > 0 => {
                let ranks = self.machines[victim.at()].shared.ranks();
                let jobs: HashSet<JobIx> = ranks.map(|rank| rank.job).filter(|job| wanted(*job)).collect();
                let half = count.div_ceil(2);
                self.machines[victim.at()].shared.take_back(half, |job| jobs.contains(&job))
            }
            _ => Vec::new(),
        };
        self.after_steal(thief, &taken, clock);
        !taken.is_empty()
    }

    fn after_steal(&mut self, thief: MachineIx, taken: &[(Rank, u32)], clock: Clock) {
        let bound = self.tunables.steal_bound_s * 1000.0;
        let first = self.tunables.steal_wait_ms;
        let machine = &mut self.machines[thief.at()];
        if taken.is_empty() {
            let wait = machine.steal_wait_ms;
            if wait * 2.0 > bound {
                machine.steal_wait_ms = first;
                machine.next_steal = clock.now;
                self.roster.rest(thief);
            } else {
                machine.steal_wait_ms = wait * 2.0;
                machine.next_steal = clock.now.plus(wait.ceil() as u64);
                self.roster.nap(machine.next_steal, thief);
            }
            return;
        }
        machine.steal_wait_ms = first;
        for (rank, task) in taken {
            machine.shared.push(*rank, *task);
        }
        self.note_moved(taken, EventWord::Stolen, thief);
        self.counters.steals += 1;
        self.counters.stolen += taken.len() as u64;
    }

    /// A dedicated queue that would take longer than tt gives the share above tt away.
    fn spill(&mut self, clock: Clock) {
        let tt = self.tunables.tt_s;
        for ix in self.roster.with_dedicated() {
            self.counters.looked_at += 1;
            let waiting = self.machines[ix.at()].dedicated.len();
            if waiting == 0 {
                self.roster.not_dedicated(ix);
                continue;
            }
            let run_time = waiting as f64 / self.throughput(ix, clock);
            if run_time <= tt {
                continue;
            }
            let share = (run_time - tt) / run_time;
            let count = (share * waiting as f64).floor() as usize;
            let machine = &mut self.machines[ix.at()];
            let moved = machine.dedicated.take_back(count, |_| true);
            let count = moved.len();
            for (rank, task) in &moved {
                machine.shared.push(*rank, *task);
            }
            self.note_moved(&moved, EventWord::Spilled, ix);
            self.counters.spilled += count as u64;
            self.roster.room(ix);
            self.roster.wake(2 * count);
        }
    }

    /// Tasks a second: those finished in the last minute; before any, what its room promises.
    fn throughput(&self, ix: MachineIx, clock: Clock) -> f64 {
        let machine = &self.machines[ix.at()];
        let recent = machine.finishes.iter().filter(|at| clock.now.since(**at) < 60_000).count();
        let up = clock.now.since(machine.since).clamp(1000, 60_000) as f64 / 1000.0;
        if recent > 0 {
            return recent as f64 / up;
        }
        let first = machine.dedicated.first().and_then(|rank| self.work.get(&rank.job));
        let promised = first.map_or(0.0, |work| {
            let slots = work.info.need.count_in(&machine.size).min(1000) as f64;
            slots * 1000.0 / work.length_ms().max(1) as f64
        });
        promised.max(1e-3)
    }
}
