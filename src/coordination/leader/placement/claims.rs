//! Room for array tasks that may stop others: less urgent ones, or what other teams have borrowed while the own one is
//! within its guarantee.
//!
//! Queues give such tasks the next room that comes free. Where long tasks hold all of it none does for minutes, so a few
//! of those are stopped: only where what is lost is far less than what they would still take.

use crate::coordination::Clock;
use crate::coordination::leader::placement::search::{CLAIM_MS, Loss, Stops};
use crate::coordination::leader::{Binding, Leader, Work};
use crate::ids::{JobIx, MachineIx};
use crate::protocol::operators::EventWord;
use crate::protocol::users::Urgency;

/// Tasks that one look stops at most, and jobs that it looks for room for.
const MOST_STOPPED: usize = 128;
const MOST_JOBS: usize = 4;
/// A task that ends within so long is waited for: where all do, room comes free all the time. With a quarter of that, a
/// guest's tasks of half a minute were stopped 5,058 times on one day, and its array never ended.
const SOON_MS: u64 = 60_000;
/// What it still takes must be worth so many times what is lost by stopping it.
const WORTH: u64 = 3;

/// For whom room is being made: work of that urgency, and perhaps only what a guarantee covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimed {
    urgency: Urgency,
    guaranteed: bool,
}

impl Claimed {
    /// Of several only what comes after all of them is kept off.
    fn with(self, other: Claimed) -> Claimed {
        Claimed { urgency: self.urgency.max(other.urgency), guaranteed: self.guaranteed && other.guaranteed }
    }
}

/// A task that may be stopped: work lost for each of its CPUs, in milliseconds, and where it is.
type Victim = (u64, MachineIx, usize, Loss);

impl Leader {
    /// Stops tasks for arrays that have waited a while and find no room.
    pub fn claim_for_arrays(&mut self, clock: Clock) {
        self.count_stopping();
        let mut jobs: Vec<JobIx> =
            self.work.iter().filter(|(_, work)| claims(work, clock)).map(|(ix, _)| *ix).collect();
        jobs.sort_by_key(|ix| self.work.get(ix).map(|work| self.turn(&work.rank)));
        let mut coming = self.room_coming();
        let mut left = MOST_STOPPED;
        let mut looked = 0;
        self.claimed = None;
        for ix in jobs {
            let Some((need, stops, tasks)) = self.claimant(ix) else { continue };
            let wanted = need.saturating_mul(tasks);
            let covered = wanted.min(coming);
            coming -= covered;
            let lack = (wanted - covered) / need.max(1);
            if lack == 0 {
                continue;
            }
            if left == 0 || looked == MOST_JOBS {
                return;
            }
            looked += 1;
            let stopped = self.stop_for_array(ix, need * lack, stops, left, clock);
            left -= stopped;
            if let Some(work) = self.work.get(&ix).filter(|_| stopped > 0) {
                let guaranteed = self.standings.of(ix).guaranteed;
                let claimed = Claimed { urgency: work.info.urgency, guaranteed };
                self.claimed = Some(self.claimed.map_or(claimed, |other| other.with(claimed)));
            }
        }
    }

    /// Room is being made for more urgent work: what was stopped for it does not begin there again.
    pub fn is_claimed(&self, job: JobIx, work: &Work) -> bool {
        let standing = self.standings.of(job);
        let kept = |claimed: Claimed| {
            work.info.urgency > claimed.urgency || (claimed.guaranteed && !standing.guaranteed)
        };
        self.claimed.is_some_and(kept) && !work.info.together() && !standing.behind
    }

    /// CPUs of a task, whom the job may stop, and for how many of its tasks.
    fn claimant(&self, ix: JobIx) -> Option<(u64, Stops, u64)> {
        let work = self.work.get(&ix)?;
        let need = work.info.need;
        let most = work.waiting().min(MOST_STOPPED as u64);
        let covered = |tasks: &u64| self.within_guarantee(work.info.team, &need.times(*tasks));
        let (tasks, lent) = match (1..=most).rev().find(covered) {
            Some(tasks) => (tasks, self.lent(work.info.team)),
            None => (most, Default::default()),
        };
        let fits = self.within_quota(work.info.team, &need);
        fits.then(|| (need.cpu, Stops::new(work, lent), tasks))
    }

    /// CPUs that are free for queued tasks, or are being freed.
    fn room_coming(&self) -> u64 {
        let free = self.roster.takers().iter().map(|ix| &self.machines[ix.at()]);
        let free = free.filter(|machine| machine.held_for.is_none()).map(|machine| machine.free().cpu);
        free.sum::<u64>() + self.being_stopped().cpu
    }

    /// Stops tasks worth so many CPUs, those first that lose least. Returns how many it stopped.
    fn stop_for_array(&mut self, ix: JobIx, lack: u64, mut stops: Stops, most: usize, clock: Clock) -> usize {
        let mut victims = self.victims(ix, &stops, clock);
        victims.sort_unstable_by_key(|(lost, ix, at, _)| (*lost, *ix, *at));
        let (mut freed, mut stopped) = (0, 0);
        for (_, machine, at, loss) in victims {
            if freed >= lack || stopped == most {
                break;
            }
            if stops.claim(&loss) {
                freed += self.machines[machine.at()].bindings[at].need.cpu;
                stopped += 1;
                self.halt(machine, at, EventWord::HaltedForUrgent);
                self.counters.preempted += 1;
            }
        }
        stopped
    }

    fn victims(&self, ix: JobIx, stops: &Stops, clock: Clock) -> Vec<Victim> {
        let Some(work) = self.work.get(&ix) else { return Vec::new() };
        let mut victims = Vec::new();
        for machine in self.roster.takers().iter().copied().filter(|machine| self.suits(*machine, work)) {
            for (at, binding) in self.machines[machine.at()].bindings.iter().enumerate() {
                if let Some(loss) = self.worth_stopping(binding, stops, clock) {
                    victims.push((loss.lost / binding.need.cpu.max(1), machine, at, loss));
                }
            }
        }
        victims
    }

    /// A gang is never stopped for a task of an array: too much goes with it.
    fn worth_stopping(&self, binding: &Binding, stops: &Stops, clock: Clock) -> Option<Loss> {
        let info = &self.work.get(&binding.job?)?.info;
        if binding.halt.is_some() || info.together() {
            return None;
        }
        let left = self.left_cpu_ms(binding, clock) * 1000 / binding.need.cpu.max(1);
        let loss = self.loss(binding, stops, clock)?;
        let worth = left > SOON_MS && left > WORTH * (loss.lost / binding.need.cpu.max(1));
        worth.then_some(loss)
    }
}

/// It waits, and has waited for a while.
fn claims(work: &Work, clock: Clock) -> bool {
    let waited = clock.wall_ms.saturating_sub(work.info.accepted_wall_ms);
    work.waits() && !work.info.together() && waited >= CLAIM_MS
}
