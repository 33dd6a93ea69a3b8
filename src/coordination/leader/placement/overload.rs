//! What changes in the order of service while not all can be served in time: floors for parties that are behind, small
//! gangs first. docs/overload.md argues for it.

use std::collections::BTreeMap;

use olivelatch_admission::served::Claim;

use crate::coordination::Clock;
use crate::coordination::leader::placement::gangs::missing;
use crate::coordination::leader::placement::policy::Rank;
use crate::coordination::leader::{Leader, Life, NO_AIM_MS, Work};
use crate::ids::{ClassIx, JobIx, KindIx, TeamIx};
use crate::protocol::users::Urgency;

/// Who is owed a floor: the jobs of a class that a team owns.
pub type Party = (TeamIx, ClassIx);

/// What was started within so many milliseconds counts.
pub const WINDOW_MS: u64 = 60_000;
/// A party below this part of its weight comes forward.
const FLOOR: f64 = 0.5;

impl Leader {
    /// A task of the job starts.
    pub fn started(&mut self, job: JobIx) {
        if let Some(work) = self.work.get(&job) {
            let amount = work.info.need.cpu.saturating_mul(work.length_ms()) / 1000;
            self.served.give((work.info.team, work.info.class), amount);
        }
    }

    /// Which jobs have missed all their aims or will, and which parties have such jobs waiting and are below their floor.
    pub fn mark_late(&mut self, clock: Clock) {
        self.served.at(clock.now.0);
        let late = self.late_jobs(clock);
        let mut waiting: BTreeMap<Party, bool> = BTreeMap::new();
        for (ix, work) in self.work.iter().filter(|(_, work)| work.waits()) {
            *waiting.entry((work.info.team, work.info.class)).or_default() |= late.contains_key(ix);
        }
        let claims: Vec<Claim<Party>> =
            waiting.keys().map(|party| Claim { party: *party, weight: self.weight_of(party.0) }).collect();
        let mut behind = self.served.behind(&claims, FLOOR);
        behind.retain(|party| self.tunables.overload.order && waiting.get(party) == Some(&true));
        (self.standings.present.late, self.standings.present.behind) = (!late.is_empty(), !behind.is_empty());
        for (ix, work) in &self.work {
            let standing = self.standings.at(*ix);
            standing.hopeless = late.get(ix).copied();
            standing.behind = behind.contains(&(work.info.team, work.info.class));
        }
    }

    /// Jobs whose last aim has passed, and array jobs that could not meet theirs even if all smaller ones went first and
    /// nothing of what is put off came in between (Moore's rule for the fewest late jobs): with the work left of each.
    fn late_jobs(&self, clock: Clock) -> BTreeMap<JobIx, u64> {
        let mut late = BTreeMap::new();
        let mut arrays: Vec<(Urgency, u64, JobIx, u64)> = Vec::new();
        for (ix, work) in &self.work {
            let left = left_work(work);
            if self.hopeless(work, clock) {
                late.insert(*ix, if self.tunables.overload.order { left } else { 0 });
            } else if self.tunables.overload.order && !work.info.together() && work.trial.is_none() {
                arrays.push((work.info.urgency, left, *ix, self.last_chance_ms(work, clock)));
            }
        }
        arrays.sort_unstable();
        let cpus = self.cpus_for_arrays().max(1);
        let mut ahead = 0;
        for (_, left, ix, chance_ms) in arrays {
            if left.saturating_add(ahead).saturating_mul(1000) / cpus > chance_ms {
                late.insert(ix, left);
            } else {
                ahead = left.saturating_add(ahead);
            }
        }
        late
    }

    /// From now until the job's deadline, or the last aim of its class.
    fn last_chance_ms(&self, work: &Work, clock: Clock) -> u64 {
        let until =
            work.info.due_wall_ms.or(self.last_aim_ms(work).map(|aim| work.info.accepted_wall_ms + aim));
        until.map_or(u64::MAX, |until| until.saturating_sub(clock.wall_ms))
    }

    /// Of the machines there and those coming, in thousandths of CPUs.
    pub fn cpus_there(&self) -> u64 {
        let there = self.machines.iter().filter(|machine| machine.life != Life::Gone && !machine.returning);
        there.map(|machine| machine.size.cpu).sum()
    }

    /// What of them gangs do not use.
    fn cpus_for_arrays(&self) -> u64 {
        let gangs = self.work.values().filter(|work| work.info.together());
        let used: u64 = gangs.map(|work| work.info.need.cpu * work.out.len() as u64).sum();
        self.cpus_there().saturating_sub(used)
    }

    /// A team counts by what it is guaranteed; one without a guarantee a little.
    fn weight_of(&self, team: TeamIx) -> u64 {
        let cpu = self.teams.get(&team).map_or(0, |team| team.guaranteed.cpu + team.guaranteed.gpu);
        let all: u64 = self.teams.values().map(|team| team.guaranteed.cpu + team.guaranteed.gpu).sum();
        cpu.max(all / 20).max(1)
    }

    /// The order in which waiting gangs are tried: by rank, unless they are so many for the machines that fit them that
    /// one that came now would not even start before its aims had passed. Then those of parties that are behind come
    /// first, and small ones before large ones that came only a little earlier, so that more of them end.
    pub fn gang_order(&self) -> Vec<Rank> {
        let mut ranks: Vec<Rank> = self.gangs.iter().copied().collect();
        let too_many = self.too_many_gangs(&ranks).filter(|_| self.tunables.overload.order);
        let Some(work_ahead) = too_many else { return ranks };
        log::debug!("gangs are too many: {work_ahead} ms ahead of the next");
        ranks.sort_by_cached_key(|rank| {
            let work = self.work.get(&rank.job);
            let due = work.map_or(0, |work| {
                let own = u64::from(work.left()).saturating_mul(work.length_ms());
                work.info.accepted_wall_ms.saturating_add(own)
            });
            (!self.standings.of(rank.job).behind, rank.urgency(), due, *rank)
        });
        ranks
    }

    /// Milliseconds that the machines of some type are busy with the gangs that wait for it, if that is too many.
    fn too_many_gangs(&self, ranks: &[Rank]) -> Option<u64> {
        let mut ahead: BTreeMap<KindIx, (u64, u64)> = BTreeMap::new();
        for work in ranks.iter().filter_map(|rank| self.work.get(&rank.job)) {
            let aim = self.last_aim_ms(work).unwrap_or(NO_AIM_MS);
            let own = (missing(work).len() as u64).saturating_mul(work.length_ms());
            let kinds = self.kinds_for(work);
            for kind in &kinds {
                let slots =
                    self.kinds.get(kind).map_or(0, |kind| work.info.need.count_in(&kind.size).min(1_000));
                let (busy, least) = ahead.entry(*kind).or_insert((0, u64::MAX));
                *busy = busy.saturating_add(own / slots.max(1) / kinds.len() as u64);
                *least = (*least).min(aim);
            }
        }
        let late = ahead.into_iter().filter_map(|(kind, (busy, least))| {
            let machines = self.roster.open_in(|other, _| other == kind).count() as u64;
            let wait = busy / machines.max(1);
            (machines > 0 && wait > least).then_some(wait)
        });
        late.max()
    }
}

/// CPU milliseconds that it still needs, in thousandths of CPUs.
fn left_work(work: &Work) -> u64 {
    work.info.need.cpu.saturating_mul(u64::from(work.left())).saturating_mul(work.length_ms()) / 1000
}
