//! The ordinary path: the t split, dedicated first, sampled half steals, spills over tt.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::queues::Rank;
use super::{Binding, Leader, Life, Run, Work};
use crate::bookkeeping::ids::{Attempt, JobIx, MachineIx, TaskRef};
use crate::coordination::Clock;

/// Stealing of one machine within one round of placement.
const STEALS_A_ROUND: usize = 4;

impl Leader {
    /// May a task of this job start on this machine, room and quota aside?
    pub fn suits(&self, ix: MachineIx, work: &Work) -> bool {
        let machine = &self.machines[ix.at()];
        machine.open()
            && work.info.allows(machine.kind, machine.zone, machine.spot)
            && work.info.need.fits(&machine.size)
            && !work.failed_on.contains(&ix)
    }

    /// The zone rules, judged against every place where a task of the job may still be.
    pub fn zone_allows(&self, ix: MachineIx, work: &Work) -> bool {
        let zone = self.machines[ix.at()].zone;
        let here = work.zones.get(&zone).copied().unwrap_or(0);
        if work.info.one_zone && !work.zones.is_empty() && here == 0 {
            return false;
        }
        !work.info.spread || here < work.info.tasks.div_ceil(2)
    }

    fn suiting(&self, work: &Work) -> Vec<MachineIx> {
        let all = (0..self.machines.len()).map(|at| MachineIx(at as u32));
        all.filter(|ix| !self.machines[ix.at()].parked && self.suits(*ix, work)).collect()
    }

    /// Time to fetch the image over the expected run time.
    pub fn ratio(&self, work: &Work) -> f64 {
        let rates = self.kinds.iter().filter(|(kind, _)| work.info.allows_kind(**kind));
        let rate = rates.map(|(_, kind)| kind.fetch_mb_per_s).fold(0.0, f64::max);
        let rate = if rate > 0.0 { rate } else { self.tunables.fetch_gb_per_s * 1000.0 };
        let fetch_ms = work.info.image_mb as f64 / rate * 1000.0;
        fetch_ms / work.length_ms().max(1) as f64
    }

    /// The t split: cheap to move joins a shared queue, dear to move the shortest
    /// dedicated queue of a machine that has the image, else a shared one.
    pub fn enqueue(&mut self, job: JobIx, task: u32) {
        let mut rng = SmallRng::seed_from_u64(self.rng.next_u64());
        let Some(work) = self.work.get(&job) else {
            return;
        };
        let rank = work.rank;
        let machines = self.suiting(work);
        let image = work.info.image;
        let dear = self.ratio(work) > self.tunables.t;
        let holder = |ix: &&MachineIx| dear && self.machines[ix.at()].has_image(image);
        let dedicated =
            machines.iter().filter(holder).min_by_key(|ix| self.machines[ix.at()].dedicated.len()).copied();
        let shared = || {
            let sample = sample_size(machines.len());
            let picks: Vec<&MachineIx> = machines.sample(&mut rng, sample).collect();
            picks.into_iter().copied().min_by_key(|ix| {
                let machine = &self.machines[ix.at()];
                machine.shared.len() as u64 * 1_000_000 / machine.size.cpu.max(1)
            })
        };
        let (queue, counter) = match (dedicated, dedicated.or_else(shared)) {
            (Some(ix), _) => (&mut self.machines[ix.at()].dedicated, &mut self.counters.to_dedicated),
            (None, Some(ix)) => (&mut self.machines[ix.at()].shared, &mut self.counters.to_shared),
            (None, None) => (&mut self.backlog, &mut self.counters.to_shared),
        };
        queue.push(rank, task);
        *counter += 1;
        for machine in &mut self.machines {
            machine.steal_paused = false;
        }
        self.stirred = true;
    }

    /// Places what can be placed.
    pub fn place(&mut self, clock: Clock) {
        self.wake(clock);
        if !std::mem::take(&mut self.stirred) {
            return;
        }
        self.release_holds(clock);
        self.place_gangs(clock);
        self.spread_backlog();
        self.spill(clock);
        let taking = |ix: &MachineIx| {
            let machine = &self.machines[ix.at()];
            machine.open() && !machine.parked && machine.held_for.is_none()
        };
        let mut order: Vec<MachineIx> = (0..self.machines.len()).map(|at| MachineIx(at as u32)).collect();
        order.retain(taking);
        // Cheap machines help themselves first, so that dear ones run empty.
        order.sort_by(|a, b| self.price_per_cpu(*a).total_cmp(&self.price_per_cpu(*b)));
        for ix in order {
            self.fill(ix, clock);
        }
    }

    /// Tasks that no machine could take, once one may.
    fn spread_backlog(&mut self) {
        for rank in self.backlog.ranks() {
            let Some(work) = self.work.get(&rank.job) else {
                continue;
            };
            if self.suiting(work).is_empty() {
                continue;
            }
            while let Some(task) = self.backlog.pop(rank) {
                self.enqueue(rank.job, task);
            }
        }
    }

    fn fill(&mut self, ix: MachineIx, clock: Clock) {
        let mut steals = 0;
        loop {
            // Dedicated first (source): those tasks wait for this machine alone.
            while self.bind_from(ix, true, clock) || self.bind_from(ix, false, clock) {}
            let machine = &self.machines[ix.at()];
            let idle = machine.shared.is_empty() && machine.free().cpu > 0;
            let rested = !machine.steal_paused && clock.now >= machine.next_steal;
            if !idle || !rested || steals >= STEALS_A_ROUND {
                return;
            }
            steals += 1;
            if !self.steal(ix, clock) {
                return;
            }
        }
    }

    /// Starts the first task of a queue that may start now.
    fn bind_from(&mut self, ix: MachineIx, dedicated: bool, clock: Clock) -> bool {
        let machine = &self.machines[ix.at()];
        if machine.bindings.len() >= self.most_tasks {
            return false;
        }
        let queue = if dedicated { &machine.dedicated } else { &machine.shared };
        let free = machine.free();
        let may = |rank: &Rank| {
            self.work.get(&rank.job).is_some_and(|work| {
                work.info.need.fits(&free)
                    && self.suits(ix, work)
                    && self.zone_allows(ix, work)
                    && self.within_quota(work.info.team, &work.info.need)
            })
        };
        // Within one urgency: teams within their guarantee, then those that borrow; the
        // hopeless last of all.
        let order = |rank: &Rank| {
            self.work.get(&rank.job).map(|work| {
                let borrows = !self.within_guarantee(work.info.team, &work.info.need);
                (work.info.urgency, self.hopeless(work, clock), borrows, *rank)
            })
        };
        let Some(rank) = queue.ranks().into_iter().filter(may).min_by_key(order) else {
            return false;
        };
        let machine = &mut self.machines[ix.at()];
        let queue = if dedicated { &mut machine.dedicated } else { &mut machine.shared };
        let Some(task) = queue.pop(rank) else {
            return false;
        };
        let attempt = self.next_attempt();
        self.bind(ix, rank.job, task, attempt);
        true
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
            run: Run::Planned,
            state: None,
            late: false,
            fetching_since: None,
            running_since: None,
            halt: None,
            halt_sent: None,
            gone_by: None,
        };
        self.attach(ix, binding);
        self.writer.urgent(ix);
    }

    /// Takes half of what it could run from the longest of a random sample of shared
    /// queues, as many as the square root of all (source).
    fn steal(&mut self, thief: MachineIx, clock: Clock) -> bool {
        let seed = self.rng.next_u64();
        let queues: Vec<MachineIx> = (0..self.machines.len())
            .map(|at| MachineIx(at as u32))
            .filter(|ix| *ix != thief && self.machines[ix.at()].life == Life::Up)
            .collect();
        let free = self.machines[thief.at()].free();
        let wanted = |job: JobIx| {
            self.work.get(&job).is_some_and(|work| {
                work.info.need.fits(&free)
                    && self.suits(thief, work)
                    && self.zone_allows(thief, work)
                    && self.within_quota(work.info.team, &work.info.need)
            })
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let sample = queues.sample(&mut rng, sample_size(queues.len()));
        let longest = sample
            .map(|ix| (self.machines[ix.at()].shared.count_where(wanted), *ix))
            .max_by_key(|(count, _)| *count);
        let taken = match longest {
            Some((count, victim)) if count > 0 => {
                let ranks = self.machines[victim.at()].shared.ranks();
                let jobs: Vec<JobIx> = ranks.iter().map(|rank| rank.job).filter(|job| wanted(*job)).collect();
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
            machine.next_steal = clock.now.plus(machine.steal_wait_ms.ceil() as u64);
            machine.steal_wait_ms *= 2.0;
            if machine.steal_wait_ms > bound {
                machine.steal_paused = true;
                machine.steal_wait_ms = first;
            }
            // Somebody has to come back when the wait is over.
            self.stirred = self.stirred || !machine.steal_paused;
            return;
        }
        machine.steal_wait_ms = first;
        for (rank, task) in taken {
            machine.shared.push(*rank, *task);
        }
        self.counters.steals += 1;
        self.counters.stolen += taken.len() as u64;
    }

    /// A dedicated queue that would take longer than tt gives the share above tt away.
    fn spill(&mut self, clock: Clock) {
        let tt = self.tunables.tt_s;
        for at in 0..self.machines.len() {
            let waiting = self.machines[at].dedicated.len();
            if waiting == 0 {
                continue;
            }
            let run_time = waiting as f64 / self.throughput(MachineIx(at as u32), clock);
            if run_time <= tt {
                continue;
            }
            let share = (run_time - tt) / run_time;
            let count = (share * waiting as f64).floor() as usize;
            let machine = &mut self.machines[at];
            let moved = machine.dedicated.take_back(count, |_| true);
            self.counters.spilled += moved.len() as u64;
            for (rank, task) in moved {
                machine.shared.push(rank, task);
            }
            for machine in &mut self.machines {
                machine.steal_paused = false;
            }
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
        let first = machine.dedicated.ranks().first().and_then(|rank| self.work.get(&rank.job));
        let promised = first.map_or(0.0, |work| {
            let slots = work.info.need.count_in(&machine.size).min(1000) as f64;
            slots * 1000.0 / work.length_ms().max(1) as f64
        });
        promised.max(1e-3)
    }
}

/// The square root of all queues, rounded up (source).
fn sample_size(queues: usize) -> usize {
    (queues as f64).sqrt().ceil() as usize
}
