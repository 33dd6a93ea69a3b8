//! Renting, draining and returning machines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_admission::pressure::PressureLevel;

use crate::bookkeeping::records::{ProvisioningRecord, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::machines::capacity_plan::{MIN_BILLED_MS, MachineSet};
use crate::coordination::leader::machines::offer_backoff::OfferBackoff;
use crate::coordination::leader::{JobState, Leader, Machine, MachineIdentity, MachineState};
use crate::coordination::token_bucket::TokenBucket;
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::{FencingToken, MachineIx, MachineTypeIx, Millis, ZoneIx};
use crate::protocol::HttpOutcome;
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply, CloudRequest, MAX_SCALE_IN_BATCH};

/// One sort of machine that can be rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceOffer {
    pub machine_type: MachineTypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestStage {
    /// Its record is being written.
    Recording,
    Ready,
    Sent,
    /// Answered: the record stays until the list shows the machines.
    Granted {
        granted_at: Millis,
    },
}

#[derive(Debug)]
struct ProvisioningRequest {
    offer: InstanceOffer,
    count: u32,
    stage: RequestStage,
    attempts: u32,
    next_attempt_at: Millis,
    sent_at: Millis,
}

#[derive(Debug)]
pub struct Provisioner {
    token: FencingToken,
    rate_budget: TokenBucket,
    requests: BTreeMap<String, ProvisioningRequest>,
    request_counter: u32,
    in_flight: HashMap<OutboundId, (CloudRequest, Option<String>)>,
    last_outbound: u64,
    /// Offers that were refused and are not tried for a while.
    offer_backoff: OfferBackoff,
    list_in_flight: bool,
    next_list_at: Millis,
    list_after: Option<String>,
    release_in_flight: bool,
    next_release_at: Millis,
    next_catalog_at: Millis,
    last_planned_at: Millis,
    pub needed_machines: MachineSet,
    /// Machines that go back and are not returned yet; that is durable.
    pub to_release: BTreeSet<MachineIx>,
}

const LIST_INTERVAL_MS: u64 = 4_000;
const CATALOG_INTERVAL_MS: u64 = 60_000;
const PLAN_INTERVAL_MS: u64 = 1_000;
/// Planning is what a leader that is behind its events leaves undone first.
fn plan_interval_ms(pressure: PressureLevel) -> u64 {
    match pressure {
        PressureLevel::Calm => PLAN_INTERVAL_MS,
        PressureLevel::Busy => 4 * PLAN_INTERVAL_MS,
        PressureLevel::Overloaded => 15 * PLAN_INTERVAL_MS,
    }
}

const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// Asks of the fleet are told apart from those of the ledger by this bit.
const CLOUD_OUTBOUND_BIT: u64 = 1 << 62;
/// Workers with nothing to do may try every other node first, each for four seconds, before they find a new leader.
const IDLE_LEADER_DISCOVERY_MS: u64 = 30_000;
/// A machine that takes so many times its usual boot time never comes up.
const BOOT_TIMEOUT_FACTOR: u64 = 3;

impl Provisioner {
    pub fn new(rps: f64, token: FencingToken, now: Millis) -> Provisioner {
        Provisioner {
            token,
            rate_budget: TokenBucket::new(rps * 0.9, now),
            requests: BTreeMap::new(),
            request_counter: 0,
            in_flight: HashMap::new(),
            last_outbound: CLOUD_OUTBOUND_BIT,
            offer_backoff: OfferBackoff::default(),
            list_in_flight: false,
            next_list_at: Millis::default(),
            list_after: None,
            release_in_flight: false,
            next_release_at: Millis::default(),
            next_catalog_at: Millis::default(),
            last_planned_at: Millis::default(),
            needed_machines: MachineSet::default(),
            to_release: BTreeSet::new(),
        }
    }

    /// Rentals of earlier leaders: the same request again tells which machines they got.
    pub fn recover_requests(&mut self, cache: &mut StoreCache) {
        let records: Vec<(String, ProvisioningRecord)> =
            cache.provisioning_requests.iter().map(|(name, record)| (name.clone(), record.clone())).collect();
        for (name, record) in records {
            let offer = InstanceOffer {
                machine_type: cache.names.machine_types.intern(&record.machine_type),
                zone: cache.names.zones.intern(&record.zone),
                spot: record.spot,
            };
            let request = ProvisioningRequest {
                offer,
                count: record.count,
                stage: RequestStage::Ready,
                attempts: 0,
                next_attempt_at: Millis::default(),
                sent_at: Millis::default(),
            };
            self.requests.insert(name, request);
        }
    }

    /// Offers that rest after a refusal, and until when.
    pub fn offers_in_backoff(&self, now: Millis) -> impl Iterator<Item = (InstanceOffer, Millis)> + '_ {
        self.offer_backoff.active(now)
    }

    fn send_cloud_request(
        &mut self,
        request: CloudRequest,
        request_name: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        self.last_outbound += 1;
        let outbound = OutboundId(self.last_outbound);
        actions.push(Action::CallCloud { outbound, request: request.clone(), timeout_ms: CLOUD_TIMEOUT_MS });
        self.in_flight.insert(outbound, (request, request_name));
    }

    /// Rentals asked for whose answer is not there yet.
    pub fn pending_requests(&self) -> BTreeMap<InstanceOffer, u32> {
        let mut pending = BTreeMap::new();
        for request in self.requests.values() {
            if !matches!(request.stage, RequestStage::Granted { .. }) {
                *pending.entry(request.offer).or_default() += request.count;
            }
        }
        pending
    }
}

impl Leader {
    /// Requests to the cloud that are due.
    pub fn run_provisioner(&mut self, clock: Clock, cache: &StoreCache, actions: &mut Vec<Action>) {
        self.send_provisioning_requests(clock, cache, actions);
        self.release_machines(clock, actions);
        let provisioner = &mut self.provisioner;
        if !provisioner.list_in_flight
            && clock.now >= provisioner.next_list_at
            && provisioner.rate_budget.try_take(clock.now, 1)
        {
            provisioner.list_in_flight = true;
            let after = provisioner.list_after.clone();
            provisioner.send_cloud_request(CloudRequest::ListMachines { after }, None, actions);
        }
        if clock.now >= provisioner.next_catalog_at && provisioner.rate_budget.try_take(clock.now, 1) {
            provisioner.next_catalog_at = clock.now.saturating_add(CATALOG_INTERVAL_MS);
            provisioner.send_cloud_request(CloudRequest::Catalog, None, actions);
        }
        if clock.now.saturating_since(self.provisioner.last_planned_at) >= plan_interval_ms(self.pressure) {
            self.provisioner.last_planned_at = clock.now;
            self.plan_capacity(clock, cache);
            self.scale_in(clock);
        }
    }

    fn send_provisioning_requests(&mut self, clock: Clock, cache: &StoreCache, actions: &mut Vec<Action>) {
        let is_unsent = |request: &ProvisioningRequest| {
            matches!(request.stage, RequestStage::Recording | RequestStage::Ready)
        };
        let unsent = self.provisioner.requests.iter().filter(|(_, request)| is_unsent(request));
        let names: Vec<String> = unsent.map(|(name, _)| name.clone()).collect();
        for name in names {
            let durable = cache.provisioning_requests.contains_key(&name);
            let provisioner = &mut self.provisioner;
            let Some(pending) = provisioner.requests.get_mut(&name) else {
                continue;
            };
            if pending.stage == RequestStage::Recording && durable {
                pending.stage = RequestStage::Ready;
            }
            if pending.stage != RequestStage::Ready || clock.now < pending.next_attempt_at {
                continue;
            }
            if !provisioner.rate_budget.try_take(clock.now, 1) {
                return;
            }
            pending.stage = RequestStage::Sent;
            pending.attempts += 1;
            pending.sent_at = clock.now;
            let request = CloudRequest::ScaleOut {
                request_id: name.clone(),
                machine_type: cache
                    .names
                    .machine_types
                    .name_or_unknown(pending.offer.machine_type.index())
                    .into(),
                zone: cache.names.zones.name_or_unknown(pending.offer.zone.index()).into(),
                spot: pending.offer.spot,
                count: pending.count,
            };
            provisioner.send_cloud_request(request, Some(name), actions);
        }
    }

    fn release_machines(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        if self.provisioner.release_in_flight || clock.now < self.provisioner.next_release_at {
            return;
        }
        let due = self.provisioner.to_release.iter().take(MAX_SCALE_IN_BATCH);
        let machines: Vec<String> = due.map(|ix| self.cluster.machines[ix.index()].name.clone()).collect();
        if machines.is_empty() || !self.provisioner.rate_budget.try_take(clock.now, 1) {
            return;
        }
        self.provisioner.release_in_flight = true;
        log::info!("returning {}", machines.join(" "));
        self.provisioner.send_cloud_request(CloudRequest::ScaleIn { machines }, None, actions);
    }

    pub fn owns_outbound(&self, outbound: OutboundId) -> bool {
        self.provisioner.in_flight.contains_key(&outbound)
    }

    pub fn handle_cloud_response(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
        cache: &mut StoreCache,
    ) {
        let Some((request, request_name)) = self.provisioner.in_flight.remove(&outbound) else {
            return;
        };
        let reply = request.parse_reply(outcome);
        match reply {
            CloudReply::Rejected { .. } => self.provisioner.rate_budget.back_off(clock.now),
            CloudReply::Unknown => {}
            _ => self.provisioner.rate_budget.reset_backoff(),
        }
        match request {
            CloudRequest::Catalog => self.handle_catalog_reply(clock, reply, cache),
            CloudRequest::ListMachines { .. } => self.handle_list_reply(clock, reply, cache),
            CloudRequest::ScaleIn { machines } => self.handle_release_reply(clock, &machines, &reply),
            CloudRequest::ScaleOut { .. } => {
                if let Some(name) = request_name {
                    self.handle_provisioning_reply(clock, &name, reply);
                }
            }
        }
    }

    fn handle_catalog_reply(&mut self, clock: Clock, reply: CloudReply, cache: &mut StoreCache) {
        let CloudReply::Catalog(entries) = reply else {
            self.provisioner.next_catalog_at = clock.now.saturating_add(2_000);
            return;
        };
        for entry in entries {
            let key = RecordKey::MachineType(entry.name.clone());
            let recorded = cache.key_revision(&key.encode()).0 > 0 || self.writer.has_pending_write(&key);
            let known = cache.machine_types.get(&entry.name).is_some_and(|known| {
                known.cpus == entry.cpus
                    && known.gpus == entry.gpus
                    && known.memory_gb == entry.memory_gb
                    && known.zones == entry.zones
            });
            if !known || !recorded {
                self.writer.queue_machine_type(&entry);
            }
            // Prices move and are only used here; they need no write.
            cache.machine_types.insert(entry.name.clone(), entry);
        }
        self.load_machine_types(cache);
    }

    fn handle_list_reply(&mut self, clock: Clock, reply: CloudReply, cache: &mut StoreCache) {
        self.provisioner.list_in_flight = false;
        let CloudReply::MachineList { machines, has_more: more } = reply else {
            self.provisioner.next_list_at = clock.now.saturating_add(LIST_INTERVAL_MS);
            return;
        };
        self.provisioner.list_after = machines.last().filter(|_| more).map(|machine| machine.name.clone());
        self.provisioner.next_list_at =
            if more { clock.now } else { clock.now.saturating_add(LIST_INTERVAL_MS) };
        for listed in &machines {
            self.reconcile_listed_machine(clock, listed, cache);
        }
    }

    fn reconcile_listed_machine(&mut self, clock: Clock, listed: &CloudMachine, cache: &mut StoreCache) {
        let machine_type = cache.names.machine_types.intern(&listed.machine_type);
        let zone = cache.names.zones.intern(&listed.zone);
        let known = self.cluster.machines_by_name.contains_key(&listed.name);
        if !known && listed.state == CloudMachineState::Failed {
            return;
        }
        let ix = self.register_machine(
            MachineIdentity {
                name: &listed.name,
                endpoint: &listed.endpoint,
                machine_type,
                zone,
                spot: listed.spot,
            },
            clock,
        );
        let provisioned_at = clock.now.saturating_sub(listed.age_ms);
        let machine = &mut self.cluster.machines[ix.index()];
        machine.created_at = machine.created_at.min(provisioned_at);
        machine.cloud_running |= listed.state == CloudMachineState::Running;
        if machine.endpoint.is_empty() {
            machine.endpoint.clone_from(&listed.endpoint);
        }
        if listed.state == CloudMachineState::Failed
            && machine.state != MachineState::Gone
            && !machine.returning
        {
            // It stopped by itself: nothing runs there. It stays in the list until it is deleted.
            log::info!("machine {} failed", machine.name);
            machine.state = MachineState::Unreachable;
            self.return_machine(ix);
            self.remove_all_bindings(ix, clock);
        }
    }

    fn handle_release_reply(&mut self, clock: Clock, machines: &[String], reply: &CloudReply) {
        self.provisioner.release_in_flight = false;
        if *reply != CloudReply::ScaledIn {
            self.provisioner.next_release_at = clock.now.saturating_add(1_000);
            return;
        }
        for name in machines {
            let Some(ix) = self.cluster.machines_by_name.get(name).copied() else {
                continue;
            };
            self.cluster.machines[ix.index()].state = MachineState::Gone;
            self.provisioner.to_release.remove(&ix);
            let segment = self.cluster.machines[ix.index()].return_log_segment.take();
            self.assignment_log.remove_return(ix, segment);
            self.refresh_placement_index(ix);
            self.remove_all_bindings(ix, clock);
            self.requeue_machine_queues(ix);
            self.forget_images(ix);
        }
    }

    fn handle_provisioning_reply(&mut self, clock: Clock, name: &str, reply: CloudReply) {
        let Some(request) = self.provisioner.requests.get_mut(name) else {
            return;
        };
        let offer = request.offer;
        match reply {
            CloudReply::ScaledOut(machines) => {
                let sent_at = request.sent_at;
                request.stage = RequestStage::Granted { granted_at: clock.now };
                if (machines.len() as u32) < request.count {
                    self.provisioner.offer_backoff.record_partial_grant(offer, clock.now);
                } else {
                    self.provisioner.offer_backoff.reset(offer);
                }
                log::info!("rented {} for {name}", machines.join(" "));
                for machine in &machines {
                    let ix = self.register_machine(
                        MachineIdentity {
                            name: machine,
                            endpoint: "",
                            machine_type: offer.machine_type,
                            zone: offer.zone,
                            spot: offer.spot,
                        },
                        clock,
                    );
                    self.cluster.machines[ix.index()].created_at = sent_at;
                }
            }
            CloudReply::NoCapacity => {
                self.provisioner.requests.remove(name);
                self.provisioner.offer_backoff.record_refusal(offer, clock.now);
                self.writer.queue_write(RecordKey::ProvisioningRequest(name.into()), None);
            }
            // The same name again: it gives the same machines, or is carried out now.
            _ => {
                request.stage = RequestStage::Ready;
                request.next_attempt_at = clock.now.saturating_add(500 * u64::from(request.attempts.min(8)));
            }
        }
    }

    pub fn remove_settled_requests(&mut self, clock: Clock) {
        let listing_delay_ms = 3 * self.settings.cloud_list_lag_ms;
        let is_settled = |request: &ProvisioningRequest| matches!(request.stage, RequestStage::Granted { granted_at } if clock.now.saturating_since(granted_at) > listing_delay_ms);
        let names: Vec<String> = self
            .provisioner
            .requests
            .iter()
            .filter(|(_, request)| is_settled(request))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.provisioner.requests.remove(&name);
            self.writer.queue_write(RecordKey::ProvisioningRequest(name), None);
        }
    }

    pub fn create_provisioning_request(&mut self, offer: InstanceOffer, count: u32, cache: &StoreCache) {
        self.provisioner.request_counter += 1;
        // The token makes the name this leader's own: no other can ever use it again.
        let name = format!("r-{}-{}", self.provisioner.token.0, self.provisioner.request_counter);
        let record = ProvisioningRecord {
            machine_type: cache.names.machine_types.name_or_unknown(offer.machine_type.index()).into(),
            zone: cache.names.zones.name_or_unknown(offer.zone.index()).into(),
            spot: offer.spot,
            count,
        };
        log::info!("renting {count} {} in {} (spot {})", record.machine_type, record.zone, record.spot);
        let value = serde_json::to_string(&record).unwrap_or_default();
        self.writer.queue_write(RecordKey::ProvisioningRequest(name.clone()), Some(value));
        let request = ProvisioningRequest {
            offer,
            count,
            stage: RequestStage::Recording,
            attempts: 0,
            next_attempt_at: Millis::default(),
            sent_at: Millis::default(),
        };
        self.provisioner.requests.insert(name, request);
    }

    /// Machines that nobody needs, that never came up or that went silent are returned.
    fn scale_in(&mut self, clock: Clock) {
        // What is cheap may wait longer for the next job.
        let prices = self.cluster.machine_types.values().flat_map(|kind| {
            let per_cpu = |price: f64| price / kind.capacity.cpu.max(1) as f64;
            [Some(kind.price), kind.spot_price].into_iter().flatten().map(per_cpu)
        });
        let cheapest = prices.fold(f64::MAX, f64::min);
        for at in 0..self.cluster.machines.len() {
            let ix = MachineIx(at as u32);
            let machine = &self.cluster.machines[at];
            if machine.returning || machine.state == MachineState::Gone || !machine.bindings.is_empty() {
                continue;
            }
            let idle_factor = (cheapest / self.price_per_cpu(ix)).clamp(0.0, 1.0);
            let age = clock.now.saturating_since(machine.created_at);
            let idle_ms = (self.tunables.idle_return_s * 1000.0 * idle_factor) as u64;
            let idle = clock.now.saturating_since(machine.idle_since);
            let why = match machine.state {
                MachineState::Booting if self.is_boot_overdue(machine, clock) => "never came up",
                MachineState::Unreachable if idle > 20_000 => "silent",
                MachineState::Up if machine.quarantined => "sick",
                MachineState::Up if machine.slow => "slow",
                MachineState::Up
                    if idle >= idle_ms
                        && age >= MIN_BILLED_MS
                        && machine.hold.is_none()
                        && !self.provisioner.needed_machines.contains(ix) =>
                {
                    "idle"
                }
                _ => continue,
            };
            let name = machine.name.as_str();
            log::info!(event = "goes_back", machine = name, why; "machine {name} goes back: {why}");
            self.return_machine(ix);
        }
    }

    /// It should have reported long ago. One that was up before this node led may still be looking for it: without that
    /// time a new leader gave back 147 idle machines within a second, and rented them anew.
    pub fn is_boot_overdue(&self, machine: &Machine, clock: Clock) -> bool {
        let boot = self.cluster.machine_types.get(&machine.machine_type).map_or(60_000, |kind| kind.boot_ms);
        let overdue = clock.now.saturating_since(machine.created_at) > boot * BOOT_TIMEOUT_FACTOR + 10_000;
        let seeking_leader = machine.cloud_running
            && clock.now < self.term.acquired_at().saturating_add(IDLE_LEADER_DISCOVERY_MS);
        overdue && !seeking_leader
    }

    pub fn cheapest_offer(
        &self,
        work: &JobState,
        clock: Clock,
        zone_allowed: impl Fn(ZoneIx) -> bool,
    ) -> Option<InstanceOffer> {
        let pending = self.provisioner.pending_requests();
        let mut best: Option<(f64, InstanceOffer)> = None;
        for (kind_ix, kind) in &self.cluster.machine_types {
            let slots = work.spec.task_resources.max_count_in(&kind.capacity).min(1_000_000);
            if slots == 0 || !work.spec.allows_machine_type(*kind_ix) {
                continue;
            }
            let slots =
                if work.spec.is_all_or_nothing() { slots.min(u64::from(work.spec.tasks)) } else { slots };
            for zone in kind.zones.iter().filter(|zone| zone_allowed(**zone)) {
                for spot in [false, true] {
                    let offer = InstanceOffer { machine_type: *kind_ix, zone: *zone, spot };
                    let in_backoff = self.provisioner.offer_backoff.is_backing_off(offer, clock.now);
                    if in_backoff || !work.spec.allows(*kind_ix, *zone, spot) {
                        continue;
                    }
                    let price = match (spot, kind.spot_price) {
                        (false, _) => kind.price,
                        (true, Some(price)) => price,
                        (true, None) => continue,
                    };
                    // Offers already asked for come later, so that zones take turns.
                    let cost = price / slots as f64
                        * (1.0 + 0.01 * f64::from(pending.get(&offer).copied().unwrap_or(0)));
                    if best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }
}
