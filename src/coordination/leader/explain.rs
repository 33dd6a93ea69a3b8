//! Why a job is where it is: what placement itself asks of machines, teams and gangs, counted instead of acted upon.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::machines::fleet::Offer;
use super::placement::dispatch::Hindrance;
use super::placement::gangs::{Way, missing};
use super::{Binding, Leader, Life, Work};
use crate::bookkeeping::jobs::Registry;
use crate::coordination::Clock;
use crate::ids::{Amount, JobIx, KindIx, MachineIx, units};
use crate::protocol::operators::{JobShare, KindRoom, OfferView, Reason};
use crate::protocol::workers::TaskState;

/// Jobs and machines named in one reason.
const MOST_NAMED: usize = 5;

/// Where the tasks of a job that are on machines stand.
#[derive(Default)]
struct Placed {
    running: u32,
    starting: u32,
    gathering: u32,
    fetching: u32,
    longest_fetch_ms: u64,
}

impl Placed {
    fn count(&mut self, binding: &Binding, clock: Clock) {
        match binding.state {
            Some(TaskState::Running | TaskState::Saving) => self.running += 1,
            Some(TaskState::Gathering) => self.gathering += 1,
            Some(TaskState::Fetching) => {
                self.fetching += 1;
                let since = binding.fetching_since.map_or(0, |since| clock.now.since(since));
                self.longest_fetch_ms = self.longest_fetch_ms.max(since);
            }
            _ => self.starting += 1,
        }
    }

    fn reasons(&self, work: &Work, names: &Registry) -> Vec<Reason> {
        let fetch = Reason::ImageFetch {
            tasks: self.fetching,
            image: names.images.name_at(work.info.image.at()).into(),
            image_gb: units(work.info.image_mb),
            longest_s: units(self.longest_fetch_ms),
        };
        let all = [
            (self.running, Reason::Running { tasks: self.running }),
            (self.gathering, Reason::Gathering { tasks: self.gathering }),
            (self.fetching, fetch),
            (self.starting, Reason::Starting { tasks: self.starting }),
        ];
        all.into_iter().filter(|(tasks, _)| *tasks > 0).map(|(_, reason)| reason).collect()
    }
}

/// What all machines say to a task.
#[derive(Default)]
struct Tally {
    up: u32,
    wrong_kind: u32,
    wrong_zone: u32,
    wrong_spot: u32,
    too_small: u32,
    booting: u32,
    /// Nothing keeps the task off them but perhaps its team's limit.
    able: u32,
    held: u32,
    holders: BTreeSet<JobIx>,
    kinds: BTreeMap<KindIx, KindRoom>,
}

impl Leader {
    /// The reasons, each with its figures; of one task if asked for.
    pub fn explain(&self, ix: JobIx, task: Option<u32>, names: &Registry, clock: Clock) -> Vec<Reason> {
        let Some(work) = self.work.get(&ix) else { return vec![Reason::Recording] };
        if work.ending || work.done.full() || task.is_some_and(|task| work.done.has(task)) {
            return vec![Reason::Recording];
        }
        let asked = |other: u32| task.is_none_or(|task| task == other);
        let placed = self.placed(ix, work, asked, clock);
        let mut reasons = placed.reasons(work, names);
        let (delayed, next_ms) = self.delays(ix, asked, clock);
        if delayed > 0 {
            reasons.push(Reason::RetryWait {
                tasks: delayed,
                next_s: units(next_ms),
                failed_on: self.failed_names(work),
            });
        }
        let away = |task: &u32| asked(*task) && !work.out.contains_key(task);
        let waiting = work.done.missing().filter(away).count() as u32;
        if waiting > delayed {
            self.waiting_reasons(ix, work, names, clock, &mut reasons);
        }
        reasons
    }

    fn placed(&self, ix: JobIx, work: &Work, asked: impl Fn(u32) -> bool, clock: Clock) -> Placed {
        let machines: HashSet<MachineIx> = work.out.values().flatten().map(|(ix, _)| *ix).collect();
        let mut placed = Placed::default();
        let bindings = machines.iter().flat_map(|machine| &self.machines[machine.at()].bindings);
        bindings
            .filter(|binding| binding.job == Some(ix) && asked(binding.task.task))
            .for_each(|binding| placed.count(binding, clock));
        placed
    }

    /// Tasks that wait before they are tried again, and when the first is.
    fn delays(&self, ix: JobIx, asked: impl Fn(u32) -> bool, clock: Clock) -> (u32, u64) {
        let (mut count, mut next) = (0, None);
        if let Some((work, trial)) = self.work.get(&ix).and_then(|work| Some((work, work.trial?))) {
            let waits = |task: &u32| asked(*task) && !work.out.contains_key(task);
            let queued = usize::from(trial.queued);
            let waiting = work.done.missing().filter(waits).count().saturating_sub(queued);
            return (waiting as u32, trial.next.since(clock.now));
        }
        for (at, tasks) in &self.delayed {
            let ours = tasks.iter().filter(|(job, task)| *job == ix && asked(*task)).count() as u32;
            if ours > 0 {
                count += ours;
                next.get_or_insert(at.since(clock.now));
            }
        }
        (count, next.unwrap_or(0))
    }

    fn failed_names(&self, work: &Work) -> Vec<String> {
        let mut failed: Vec<MachineIx> = work.failed_on.iter().copied().collect();
        failed.sort();
        failed.iter().take(MOST_NAMED).map(|ix| self.machines[ix.at()].name.clone()).collect()
    }

    fn waiting_reasons(
        &self,
        ix: JobIx,
        work: &Work,
        names: &Registry,
        clock: Clock,
        reasons: &mut Vec<Reason>,
    ) {
        let tasks = if work.info.together() { missing(work).len() as u64 } else { 1 };
        let limited = !self.within_quota(work.info.team, &work.info.need.times(tasks));
        if limited {
            reasons.extend(self.team_limit(work, names));
        }
        let limited = limited || !self.within_pool(work, tasks as u32);
        reasons.extend(self.pool_full(work, tasks as u32, names));
        let tally = self.tally(ix, work, names);
        if tally.kinds.is_empty() {
            reasons.push(no_machine(work, &tally));
        } else if work.info.together() {
            self.gang_reasons(ix, work, names, clock, limited, &tally, reasons);
        } else if tally.able == 0 {
            reasons.push(no_room(work, &tally));
        } else if !limited {
            reasons.push(Reason::Due { machines: tally.able });
        }
        if tally.held > 0 {
            let gangs = tally.holders.iter().filter_map(|job| self.work.get(job));
            let gangs = gangs.take(MOST_NAMED).map(|work| work.info.id.to_string()).collect();
            reasons.push(Reason::HeldForGang { machines: tally.held, gangs });
        }
        reasons.extend(self.behind(ix, work));
        self.fleet_reasons(work, names, clock, tally.booting, reasons);
    }

    #[allow(clippy::too_many_arguments)]
    fn gang_reasons(
        &self,
        ix: JobIx,
        work: &Work,
        names: &Registry,
        clock: Clock,
        limited: bool,
        tally: &Tally,
        reasons: &mut Vec<Reason>,
    ) {
        let needs = missing(work).len();
        let reach = |zone| (self.reach(ix, work, needs, zone, Way::Free, clock).1.len(), zone);
        let best = self.gang_zones(work).into_iter().map(reach).max_by_key(|(count, _)| *count);
        let (could, zone) = best.unwrap_or((0, None));
        if could < needs {
            reasons.push(Reason::GangLacks {
                needs: needs as u32,
                could_start: could as u32,
                zone: zone.map(|zone| names.zones.name_at(zone.at()).into()),
            });
            reasons.push(no_room(work, tally));
        } else if !limited {
            reasons.push(Reason::Due { machines: could as u32 });
        }
    }

    fn team_limit(&self, work: &Work, names: &Registry) -> Option<Reason> {
        let team = work.info.team;
        let limit = self.teams.get(&team)?.limit();
        let used = self.usage.get(&team).copied().unwrap_or_default();
        let of_team = self.work.values().filter(|other| other.info.team == team && !other.out.is_empty());
        let mut by: Vec<(u64, String)> = of_team
            .map(|other| (other.info.need.cpu * other.out.len() as u64, other.info.id.to_string()))
            .collect();
        by.sort_by(|a, b| b.cmp(a));
        by.truncate(MOST_NAMED);
        let bound = |milli: u64| (milli < u64::MAX).then(|| units(milli));
        Some(Reason::TeamLimit {
            team: names.teams.name_at(team.at()).into(),
            used_cpus: units(used.cpu),
            limit_cpus: bound(limit.cpu),
            used_gpus: units(used.gpu),
            limit_gpus: bound(limit.gpu),
            by: by.into_iter().map(|(cpu, job)| JobShare { job, cpus: units(cpu) }).collect(),
        })
    }

    fn pool_full(&self, work: &Work, tasks: u32, names: &Registry) -> Option<Reason> {
        let pool = work.info.pool().filter(|_| !self.within_pool(work, tasks))?;
        Some(Reason::PoolFull {
            pool: names.pools.name_at(pool.at()).into(),
            used: self.flows.used.get(&pool).copied().unwrap_or(0),
            slots: self.flows.slots.get(&pool).copied().unwrap_or(0),
        })
    }

    fn tally(&self, job: JobIx, work: &Work, names: &Registry) -> Tally {
        let mut tally = Tally::default();
        for at in 0..self.machines.len() {
            self.tally_one(MachineIx(at as u32), job, work, names, &mut tally);
        }
        tally
    }

    fn tally_one(&self, ix: MachineIx, job: JobIx, work: &Work, names: &Registry, tally: &mut Tally) {
        let machine = &self.machines[ix.at()];
        let info = &work.info;
        let may_use = info.allows(machine.kind, machine.zone, machine.spot) && info.need.fits(&machine.size);
        match machine.life {
            Life::Gone => return,
            Life::Booting => {
                tally.booting += u32::from(may_use);
                return;
            }
            Life::Up | Life::Silent => tally.up += 1,
        }
        match self.unfit(ix, work) {
            Some(Hindrance::Excluded) if !info.allows_kind(machine.kind) => tally.wrong_kind += 1,
            Some(Hindrance::Excluded) if info.zone.is_some_and(|zone| zone != machine.zone) => {
                tally.wrong_zone += 1;
            }
            Some(Hindrance::Excluded) => tally.wrong_spot += 1,
            Some(Hindrance::TooSmall) => tally.too_small += 1,
            Some(Hindrance::Closed) if !may_use => tally.wrong_kind += 1,
            unfit => self.tally_room(ix, job, work, names, unfit, tally),
        }
    }

    /// A machine that the job may use, if not now.
    fn tally_room(
        &self,
        ix: MachineIx,
        job: JobIx,
        work: &Work,
        names: &Registry,
        unfit: Option<Hindrance>,
        tally: &mut Tally,
    ) {
        let machine = &self.machines[ix.at()];
        let free = machine.free();
        let kind = tally.kinds.entry(machine.kind).or_default();
        if kind.machines == 0 {
            kind.kind = names.kinds.name_at(machine.kind.at()).into();
        }
        kind.machines += 1;
        match unfit {
            Some(Hindrance::Closed) => kind.closed += 1,
            Some(_) => kind.failed_here += 1,
            None => {
                note_free(kind, &free);
                let hold = machine.held_for.filter(|hold| hold.job != job);
                match self.hindrance(ix, &free, work) {
                    Some(Hindrance::Full) => kind.full += 1,
                    Some(Hindrance::ZoneRule) => kind.zone_rule += 1,
                    _ if hold.is_some() => {
                        tally.held += 1;
                        tally.holders.extend(hold.map(|hold| hold.job));
                    }
                    // Gangs and services may use machines that take no queued tasks.
                    _ if (machine.parked || machine.kept) && !work.info.together() => kind.parked += 1,
                    _ => tally.able += 1,
                }
            }
        }
    }

    /// Work whose turn comes first on a machine type that the job may use too.
    fn behind(&self, ix: JobIx, work: &Work) -> Option<Reason> {
        let turn = self.turn(&work.rank);
        let shares = |other: &Work| {
            self.kinds.keys().any(|kind| other.info.allows_kind(*kind) && work.info.allows_kind(*kind))
        };
        let mut earlier: Vec<_> = self
            .work
            .iter()
            .filter(|(other, _)| **other != ix)
            .map(|(_, other)| (self.turn(&other.rank), other))
            .filter(|(theirs, other)| *theirs < turn && shares(other))
            .map(|(theirs, other)| (theirs, other, u64::from(other.left()) - other.out.len() as u64))
            .filter(|(_, _, waiting)| *waiting > 0)
            .collect();
        if earlier.is_empty() {
            return None;
        }
        earlier.sort_by_key(|(theirs, ..)| *theirs);
        let cpu_s =
            |work: &Work, tasks: u64| units(work.info.need.cpu) * units(work.length_ms()) * tasks as f64;
        Some(Reason::Behind {
            jobs: earlier.len() as u32,
            tasks: earlier.iter().map(|(.., waiting)| waiting).sum(),
            cpu_seconds: earlier.iter().map(|(_, other, waiting)| cpu_s(other, *waiting)).sum(),
            first: earlier.iter().take(MOST_NAMED).map(|(_, other, _)| other.info.id.to_string()).collect(),
        })
    }

    fn fleet_reasons(
        &self,
        work: &Work,
        names: &Registry,
        clock: Clock,
        booting: u32,
        reasons: &mut Vec<Reason>,
    ) {
        let useful = |offer: &Offer| {
            let size = self.kinds.get(&offer.kind).map(|kind| kind.size).unwrap_or_default();
            work.info.allows(offer.kind, offer.zone, offer.spot) && work.info.need.fits(&size)
        };
        let view = |offer: Offer, count: u32, rests_s: Option<f64>| OfferView {
            kind: names.kinds.name_at(offer.kind.at()).into(),
            zone: names.zones.name_at(offer.zone.at()).into(),
            spot: offer.spot,
            count,
            rests_s,
        };
        let open = self.fleet.open_bookings();
        let offers: Vec<OfferView> =
            open.iter().filter(|(o, _)| useful(o)).map(|(o, count)| view(*o, *count, None)).collect();
        if booting > 0 || !offers.is_empty() {
            reasons.push(Reason::Booking { offers, booting });
        }
        let refused = self.fleet.resting_offers(clock.now).filter(|(offer, _)| useful(offer));
        let mut refused: Vec<(Offer, u64)> =
            refused.map(|(offer, until)| (offer, until.since(clock.now))).collect();
        refused.sort();
        if !refused.is_empty() {
            let offers = refused.into_iter().map(|(offer, ms)| view(offer, 0, Some(units(ms)))).collect();
            reasons.push(Reason::CloudRefused { offers });
        }
    }

    /// How a task of a job that is on a machine is shown.
    pub fn binding_of(&self, ix: MachineIx, job: JobIx, task: u32) -> Option<&Binding> {
        let here = |b: &&Binding| b.job == Some(job) && b.task.task == task;
        self.machines[ix.at()].bindings.iter().find(here)
    }
}

fn note_free(kind: &mut KindRoom, free: &Amount) {
    if units(free.cpu) >= kind.most_free_cpus {
        kind.most_free_cpus = units(free.cpu);
        kind.most_free_gpus = units(free.gpu);
        kind.most_free_memory_gb = units(free.mem);
    }
}

fn no_machine(work: &Work, tally: &Tally) -> Reason {
    let need = &work.info.need;
    Reason::NoMachine {
        needs_cpus: units(need.cpu),
        needs_gpus: units(need.gpu),
        needs_memory_gb: units(need.mem),
        machines: tally.up,
        wrong_kind: tally.wrong_kind,
        wrong_zone: tally.wrong_zone,
        wrong_spot: tally.wrong_spot,
        too_small: tally.too_small,
    }
}

fn no_room(work: &Work, tally: &Tally) -> Reason {
    let need = &work.info.need;
    Reason::NoRoom {
        needs_cpus: units(need.cpu),
        needs_gpus: units(need.gpu),
        needs_memory_gb: units(need.mem),
        kinds: tally.kinds.values().cloned().collect(),
    }
}
