//! Renting, draining and returning machines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_admission::pressure::Level;

use crate::bookkeeping::mirror::Mirror;
use crate::bookkeeping::records::{BookingRecord, Key};
use crate::coordination::budget::Budget;
use crate::coordination::leader::machines::plan::{MachineSet, PAID_MS};
use crate::coordination::leader::machines::refusals::Refusals;
use crate::coordination::leader::{Leader, Life, Machine, Work};
use crate::coordination::{AskId, Clock, Output};
use crate::ids::{KindIx, MachineIx, Millis, Token, ZoneIx};
use crate::protocol::Outcome;
use crate::protocol::cloud::{CloudReply, CloudRequest, Listed, ListedState, RELEASE_MOST};

/// One sort of machine that can be rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub kind: KindIx,
    pub zone: ZoneIx,
    pub spot: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its record is being written.
    Recording,
    Ready,
    Asked,
    /// Answered: the record stays until the list shows the machines.
    Rented {
        at: Millis,
    },
}

#[derive(Debug)]
struct Booking {
    offer: Offer,
    count: u32,
    stage: Stage,
    tries: u32,
    next: Millis,
    asked_at: Millis,
}

#[derive(Debug)]
pub struct Fleet {
    token: Token,
    budget: Budget,
    bookings: BTreeMap<String, Booking>,
    counter: u32,
    asked: HashMap<AskId, (CloudRequest, Option<String>)>,
    next_ask: u64,
    /// Offers that were refused and are not tried for a while.
    refusals: Refusals,
    listing: bool,
    list_next: Millis,
    list_after: Option<String>,
    releasing: bool,
    release_next: Millis,
    catalog_next: Millis,
    planned: Millis,
    pub needed: MachineSet,
    /// Machines that go back and are not returned yet; that is durable.
    pub to_release: BTreeSet<MachineIx>,
}

const LIST_EVERY_MS: u64 = 4_000;
const CATALOG_EVERY_MS: u64 = 60_000;
const PLAN_EVERY_MS: u64 = 1_000;
/// Planning is what a leader that is behind its events leaves undone first.
fn plan_every_ms(pressure: Level) -> u64 {
    match pressure {
        Level::Calm => PLAN_EVERY_MS,
        Level::Busy => 4 * PLAN_EVERY_MS,
        Level::Overloaded => 15 * PLAN_EVERY_MS,
    }
}

const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Asks of the fleet are told apart from those of the ledger by this bit.
const FLEET_ASK: u64 = 1 << 62;
/// Workers with nothing to do may try every other node first, each for four seconds, before they find a new leader.
const FIND_LEADER_MS: u64 = 30_000;
/// A machine that takes so many times its usual boot time never comes up.
const BOOT_PATIENCE: u64 = 3;

impl Fleet {
    pub fn new(rps: f64, token: Token, now: Millis) -> Fleet {
        Fleet {
            token,
            budget: Budget::new(rps * 0.9, now),
            bookings: BTreeMap::new(),
            counter: 0,
            asked: HashMap::new(),
            next_ask: FLEET_ASK,
            refusals: Refusals::default(),
            listing: false,
            list_next: Millis::default(),
            list_after: None,
            releasing: false,
            release_next: Millis::default(),
            catalog_next: Millis::default(),
            planned: Millis::default(),
            needed: MachineSet::default(),
            to_release: BTreeSet::new(),
        }
    }

    /// Rentals of earlier leaders: the same request again tells which machines they got.
    pub fn inherit_bookings(&mut self, mirror: &mut Mirror) {
        let records: Vec<(String, BookingRecord)> =
            mirror.bookings.iter().map(|(name, record)| (name.clone(), record.clone())).collect();
        for (name, record) in records {
            let offer = Offer {
                kind: mirror.names.kinds.intern(&record.kind),
                zone: mirror.names.zones.intern(&record.zone),
                spot: record.spot,
            };
            let booking = Booking {
                offer,
                count: record.count,
                stage: Stage::Ready,
                tries: 0,
                next: Millis::default(),
                asked_at: Millis::default(),
            };
            self.bookings.insert(name, booking);
        }
    }

    /// Offers that rest after a refusal, and until when.
    pub fn resting_offers(&self, now: Millis) -> impl Iterator<Item = (Offer, Millis)> + '_ {
        self.refusals.resting(now)
    }

    fn ask(&mut self, request: CloudRequest, booking: Option<String>, out: &mut Vec<Output>) {
        self.next_ask += 1;
        let ask = AskId(self.next_ask);
        out.push(Output::Cloud { ask, request: request.clone(), timeout_ms: CLOUD_TIMEOUT_MS });
        self.asked.insert(ask, (request, booking));
    }

    /// Rentals asked for whose answer is not there yet.
    pub fn open_bookings(&self) -> BTreeMap<Offer, u32> {
        let mut open = BTreeMap::new();
        for booking in self.bookings.values() {
            if !matches!(booking.stage, Stage::Rented { .. }) {
                *open.entry(booking.offer).or_default() += booking.count;
            }
        }
        open
    }
}

impl Leader {
    /// Requests to the cloud that are due.
    pub fn run_fleet(&mut self, clock: Clock, mirror: &Mirror, out: &mut Vec<Output>) {
        self.rent(clock, mirror, out);
        self.release(clock, out);
        let fleet = &mut self.fleet;
        if !fleet.listing && clock.now >= fleet.list_next && fleet.budget.take(clock.now, 1) {
            fleet.listing = true;
            let after = fleet.list_after.clone();
            fleet.ask(CloudRequest::List { after }, None, out);
        }
        if clock.now >= fleet.catalog_next && fleet.budget.take(clock.now, 1) {
            fleet.catalog_next = clock.now.plus(CATALOG_EVERY_MS);
            fleet.ask(CloudRequest::Catalog, None, out);
        }
        if clock.now.since(self.fleet.planned) >= plan_every_ms(self.pressure) {
            self.fleet.planned = clock.now;
            self.plan_fleet(clock, mirror);
            self.return_idle(clock);
        }
    }

    fn rent(&mut self, clock: Clock, mirror: &Mirror, out: &mut Vec<Output>) {
        let waits = |booking: &Booking| matches!(booking.stage, Stage::Recording | Stage::Ready);
        let waiting = self.fleet.bookings.iter().filter(|(_, booking)| waits(booking));
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            let durable = mirror.bookings.contains_key(&name);
            let fleet = &mut self.fleet;
            let Some(booking) = fleet.bookings.get_mut(&name) else {
                continue;
            };
            if booking.stage == Stage::Recording && durable {
                booking.stage = Stage::Ready;
            }
            if booking.stage != Stage::Ready || clock.now < booking.next {
                continue;
            }
            if !fleet.budget.take(clock.now, 1) {
                return;
            }
            booking.stage = Stage::Asked;
            booking.tries += 1;
            booking.asked_at = clock.now;
            let request = CloudRequest::Rent {
                booking: name.clone(),
                kind: mirror.names.kinds.name_at(booking.offer.kind.at()).into(),
                zone: mirror.names.zones.name_at(booking.offer.zone.at()).into(),
                spot: booking.offer.spot,
                count: booking.count,
            };
            fleet.ask(request, Some(name), out);
        }
    }

    fn release(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if self.fleet.releasing || clock.now < self.fleet.release_next {
            return;
        }
        let due = self.fleet.to_release.iter().take(RELEASE_MOST);
        let machines: Vec<String> = due.map(|ix| self.machines[ix.at()].name.clone()).collect();
        if machines.is_empty() || !self.fleet.budget.take(clock.now, 1) {
            return;
        }
        self.fleet.releasing = true;
        log::info!("returning {}", machines.join(" "));
        self.fleet.ask(CloudRequest::Release { machines }, None, out);
    }

    pub fn owns_ask(&self, ask: AskId) -> bool {
        self.fleet.asked.contains_key(&ask)
    }

    pub fn cloud_answered(&mut self, clock: Clock, ask: AskId, outcome: &Outcome, mirror: &mut Mirror) {
        let Some((request, booking)) = self.fleet.asked.remove(&ask) else {
            return;
        };
        let reply = request.read_reply(outcome);
        match reply {
            CloudReply::Refused { .. } => self.fleet.budget.refused(clock.now),
            CloudReply::Unknown => {}
            _ => self.fleet.budget.served(),
        }
        match request {
            CloudRequest::Catalog => self.catalog_answered(clock, reply, mirror),
            CloudRequest::List { .. } => self.list_answered(clock, reply, mirror),
            CloudRequest::Release { machines } => self.release_answered(clock, &machines, &reply),
            CloudRequest::Rent { .. } => {
                if let Some(name) = booking {
                    self.rent_answered(clock, &name, reply);
                }
            }
        }
    }

    fn catalog_answered(&mut self, clock: Clock, reply: CloudReply, mirror: &mut Mirror) {
        let CloudReply::Catalog(entries) = reply else {
            self.fleet.catalog_next = clock.now.plus(2_000);
            return;
        };
        for entry in entries {
            let key = Key::Kind(entry.name.clone());
            let recorded = mirror.stamp(&key.text()).0 > 0 || self.writer.waits_for(&key);
            let known = mirror.kinds.get(&entry.name).is_some_and(|known| {
                known.cpus == entry.cpus
                    && known.gpus == entry.gpus
                    && known.memory_gb == entry.memory_gb
                    && known.zones == entry.zones
            });
            if !known || !recorded {
                self.writer.kind(&entry);
            }
            // Prices move and are only used here; they need no write.
            mirror.kinds.insert(entry.name.clone(), entry);
        }
        self.learn_kinds(mirror);
    }

    fn list_answered(&mut self, clock: Clock, reply: CloudReply, mirror: &mut Mirror) {
        self.fleet.listing = false;
        let CloudReply::List { machines, more } = reply else {
            self.fleet.list_next = clock.now.plus(LIST_EVERY_MS);
            return;
        };
        self.fleet.list_after = machines.last().filter(|_| more).map(|machine| machine.name.clone());
        self.fleet.list_next = if more { clock.now } else { clock.now.plus(LIST_EVERY_MS) };
        for listed in &machines {
            self.listed(clock, listed, mirror);
        }
    }

    fn listed(&mut self, clock: Clock, listed: &Listed, mirror: &mut Mirror) {
        let kind = mirror.names.kinds.intern(&listed.kind);
        let zone = mirror.names.zones.intern(&listed.zone);
        let known = self.by_name.contains_key(&listed.name);
        if !known && listed.state == ListedState::Failed {
            return;
        }
        let ix = self.add_machine(&listed.name, &listed.endpoint, kind, zone, listed.spot, clock);
        let rented = clock.now.minus(listed.age_ms);
        let machine = &mut self.machines[ix.at()];
        machine.since = machine.since.min(rented);
        machine.running |= listed.state == ListedState::Running;
        if machine.endpoint.is_empty() {
            machine.endpoint.clone_from(&listed.endpoint);
        }
        if listed.state == ListedState::Failed && machine.life != Life::Gone && !machine.returning {
            // It stopped by itself: nothing runs there. It stays in the list until it is deleted.
            log::info!("machine {} failed", machine.name);
            machine.life = Life::Silent;
            self.send_back(ix);
            self.clear_machine(ix, clock);
        }
    }

    fn release_answered(&mut self, clock: Clock, machines: &[String], reply: &CloudReply) {
        self.fleet.releasing = false;
        if *reply != CloudReply::Released {
            self.fleet.release_next = clock.now.plus(1_000);
            return;
        }
        for name in machines {
            let Some(ix) = self.by_name.get(name).copied() else {
                continue;
            };
            self.machines[ix.at()].life = Life::Gone;
            self.fleet.to_release.remove(&ix);
            let part = self.machines[ix.at()].return_part.take();
            self.history.gone(ix, part);
            self.refresh(ix);
            self.clear_machine(ix, clock);
            self.spread_queues(ix);
            self.forget_images(ix);
        }
    }

    fn rent_answered(&mut self, clock: Clock, name: &str, reply: CloudReply) {
        let Some(booking) = self.fleet.bookings.get_mut(name) else {
            return;
        };
        let offer = booking.offer;
        match reply {
            CloudReply::Rented(machines) => {
                let asked_at = booking.asked_at;
                booking.stage = Stage::Rented { at: clock.now };
                if (machines.len() as u32) < booking.count {
                    self.fleet.refusals.exhausted(offer, clock.now);
                } else {
                    self.fleet.refusals.served(offer);
                }
                log::info!("rented {} for {name}", machines.join(" "));
                for machine in &machines {
                    let ix = self.add_machine(machine, "", offer.kind, offer.zone, offer.spot, clock);
                    self.machines[ix.at()].since = asked_at;
                }
            }
            CloudReply::NoCapacity => {
                self.fleet.bookings.remove(name);
                self.fleet.refusals.refused(offer, clock.now);
                self.writer.other(Key::Booking(name.into()), None);
            }
            // The same name again: it gives the same machines, or is carried out now.
            _ => {
                booking.stage = Stage::Ready;
                booking.next = clock.now.plus(500 * u64::from(booking.tries.min(8)));
            }
        }
    }

    pub fn forget_bookings(&mut self, clock: Clock) {
        let shown = 3 * self.settings.list_lag_ms;
        let old =
            |booking: &Booking| matches!(booking.stage, Stage::Rented { at } if clock.now.since(at) > shown);
        let names: Vec<String> = self
            .fleet
            .bookings
            .iter()
            .filter(|(_, booking)| old(booking))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.fleet.bookings.remove(&name);
            self.writer.other(Key::Booking(name), None);
        }
    }

    pub fn book(&mut self, offer: Offer, count: u32, mirror: &Mirror) {
        self.fleet.counter += 1;
        // The token makes the name this leader's own: no other can ever use it again.
        let name = format!("r-{}-{}", self.fleet.token.0, self.fleet.counter);
        let record = BookingRecord {
            kind: mirror.names.kinds.name_at(offer.kind.at()).into(),
            zone: mirror.names.zones.name_at(offer.zone.at()).into(),
            spot: offer.spot,
            count,
        };
        log::info!("renting {count} {} in {} (spot {})", record.kind, record.zone, record.spot);
        let value = serde_json::to_string(&record).unwrap_or_default();
        self.writer.other(Key::Booking(name.clone()), Some(value));
        let booking = Booking {
            offer,
            count,
            stage: Stage::Recording,
            tries: 0,
            next: Millis::default(),
            asked_at: Millis::default(),
        };
        self.fleet.bookings.insert(name, booking);
    }

    /// Machines that nobody needs, that never came up or that went silent are returned.
    fn return_idle(&mut self, clock: Clock) {
        // What is cheap may wait longer for the next job.
        let prices = self.kinds.values().flat_map(|kind| {
            let per_cpu = |price: f64| price / kind.size.cpu.max(1) as f64;
            [Some(kind.price), kind.spot_price].into_iter().flatten().map(per_cpu)
        });
        let cheapest = prices.fold(f64::MAX, f64::min);
        for at in 0..self.machines.len() {
            let ix = MachineIx(at as u32);
            let machine = &self.machines[at];
            if machine.returning || machine.life == Life::Gone || !machine.bindings.is_empty() {
                continue;
            }
            let dear = (cheapest / self.price_per_cpu(ix)).clamp(0.0, 1.0);
            let age = clock.now.since(machine.since);
            let idle_ms = (self.tunables.idle_s * 1000.0 * dear) as u64;
            let idle = clock.now.since(machine.idle_since);
            let why = match machine.life {
                Life::Booting if self.boot_overdue(machine, clock) => "never came up",
                Life::Silent if idle > 20_000 => "silent",
                Life::Up if machine.sick => "sick",
                Life::Up if machine.slow => "slow",
                Life::Up
                    if idle >= idle_ms
                        && age >= PAID_MS
                        && machine.held_for.is_none()
                        && !self.fleet.needed.contains(ix) =>
                {
                    "idle"
                }
                _ => continue,
            };
            let name = machine.name.as_str();
            log::info!(event = "goes_back", machine = name, why; "machine {name} goes back: {why}");
            self.send_back(ix);
        }
    }

    /// It should have reported long ago. One that was up before this node led may still be looking for it: without that
    /// time a new leader gave back 147 idle machines within a second, and rented them anew.
    pub fn boot_overdue(&self, machine: &Machine, clock: Clock) -> bool {
        let boot = self.kinds.get(&machine.kind).map_or(60_000, |kind| kind.boot_ms);
        let late = clock.now.since(machine.since) > boot * BOOT_PATIENCE + 10_000;
        let finding = machine.running && clock.now < self.acquired.plus(FIND_LEADER_MS);
        late && !finding
    }

    pub fn best_offer(&self, work: &Work, clock: Clock, here: impl Fn(ZoneIx) -> bool) -> Option<Offer> {
        let open = self.fleet.open_bookings();
        let mut best: Option<(f64, Offer)> = None;
        for (kind_ix, kind) in &self.kinds {
            let slots = work.info.need.count_in(&kind.size).min(1_000_000);
            if slots == 0 || !work.info.allows_kind(*kind_ix) {
                continue;
            }
            let slots = if work.info.together() { slots.min(u64::from(work.info.tasks)) } else { slots };
            for zone in kind.zones.iter().filter(|zone| here(**zone)) {
                for spot in [false, true] {
                    let offer = Offer { kind: *kind_ix, zone: *zone, spot };
                    let rests = self.fleet.refusals.rests(offer, clock.now);
                    if rests || !work.info.allows(*kind_ix, *zone, spot) {
                        continue;
                    }
                    let price = match (spot, kind.spot_price) {
                        (false, _) => kind.price,
                        (true, Some(price)) => price,
                        (true, None) => continue,
                    };
                    // Offers already asked for come later, so that zones take turns.
                    let cost = price / slots as f64
                        * (1.0 + 0.01 * f64::from(open.get(&offer).copied().unwrap_or(0)));
                    if best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }
}
