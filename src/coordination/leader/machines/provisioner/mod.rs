//! The provisioner: scale-out and scale-in requests to the cloud, the cloud's catalog and its list of
//! machines.
//!
//! Owns the requests in flight, the rate budget for the cloud and the backoff of refused offers. It returns
//! actions and does no I/O itself. The capacity plan decides which machines the cluster needs.

mod cloud_replies;
mod offer_backoff;
mod offers;
mod requests;
mod scale_in;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_admission::pressure::PressureLevel;

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::Leader;
use crate::coordination::leader::machines::machine_set::MachineSet;
use crate::coordination::token_bucket::TokenBucket;
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::{FencingToken, MachineIx, Millis};
use crate::protocol::cloud::CloudRequest;
use offer_backoff::OfferBackoff;
pub(in crate::coordination::leader) use offers::InstanceOffer;
pub(super) use offers::MIN_BILLED_MS;
use requests::{ProvisioningRequest, RequestStage};

/// Time between requests for the catalog.
const CATALOG_INTERVAL_MS: u64 = 60_000;
/// Time between capacity plans.
const PLAN_INTERVAL_MS: u64 = 1_000;
const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// This bit is set in the outbound ids of the provisioner, and not in those of the key-value client.
const CLOUD_OUTBOUND_BIT: u64 = 1 << 62;
/// Fraction of the cloud's rate limit that the leader uses.
const RATE_LIMIT_SHARE: f64 = 0.9;

/// The state of requests to the cloud, and the machines that they are to provide or release.
#[derive(Debug)]
pub(in crate::coordination::leader) struct Provisioner {
    token: FencingToken,
    rate_budget: TokenBucket,
    /// Scale-out requests by name; the names are unique over all terms.
    requests: BTreeMap<String, ProvisioningRequest>,
    request_counter: u32,
    /// Requests that were sent and have no response yet.
    in_flight: HashMap<OutboundId, CloudRequest>,
    last_outbound: u64,
    offer_backoff: OfferBackoff,
    list_in_flight: bool,
    next_list_at: Millis,
    /// The last machine of the previously listed page. `None` if the next page is the first one.
    list_after: Option<String>,
    release_in_flight: bool,
    next_release_at: Millis,
    next_catalog_at: Millis,
    last_planned_at: Millis,
    /// Machines that the last capacity plan needs.
    pub(super) needed_machines: MachineSet,
    /// Machines whose return is durably recorded and that the cloud has not released yet.
    pub to_release: BTreeSet<MachineIx>,
}

impl Provisioner {
    /// Creates a provisioner for a term. `rps` is the number of requests per second that the cloud allows.
    pub fn new(rps: f64, token: FencingToken, now: Millis) -> Provisioner {
        Provisioner {
            token,
            rate_budget: TokenBucket::new(rps * RATE_LIMIT_SHARE, now),
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

    /// Recovers the scale-out requests on record. They are sent again, and the cloud's responses name the
    /// machines that they already yielded.
    pub fn recover_requests(&mut self, cache: &mut StoreCache) {
        for (name, record) in &cache.provisioning_requests {
            let offer = InstanceOffer {
                machine_type: cache.names.machine_types.intern(&record.machine_type),
                zone: cache.names.zones.intern(&record.zone),
                spot: record.spot,
            };
            let request = ProvisioningRequest::new(offer, record.count, RequestStage::Ready);
            self.requests.insert(name.clone(), request);
        }
    }

    /// Returns the offers in backoff after a refusal, with the end of the backoff.
    pub fn offers_in_backoff(&self, now: Millis) -> impl Iterator<Item = (InstanceOffer, Millis)> + '_ {
        self.offer_backoff.active(now)
    }

    /// Returns the number of machines requested of each offer, counting only requests whose result is
    /// unknown.
    pub fn pending_requests(&self) -> BTreeMap<InstanceOffer, u32> {
        let mut pending = BTreeMap::new();
        for request in self.requests.values().filter(|request| request.is_pending()) {
            *pending.entry(request.offer).or_default() += request.count;
        }
        pending
    }

    /// Returns the names of the scale-out requests that match, ascending.
    fn request_names(&self, matches: impl Fn(&ProvisioningRequest) -> bool) -> Vec<String> {
        let matching = self.requests.iter().filter(|(_, request)| matches(request));
        matching.map(|(name, _)| name.clone()).collect()
    }

    fn send_cloud_request(&mut self, request: CloudRequest, actions: &mut Vec<Action>) {
        self.last_outbound += 1;
        let outbound = OutboundId(self.last_outbound);
        actions.push(Action::CallCloud { outbound, request: request.clone(), timeout_ms: CLOUD_TIMEOUT_MS });
        self.in_flight.insert(outbound, request);
    }

    fn list_machines_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.list_in_flight || now < self.next_list_at || !self.rate_budget.try_take(now, 1) {
            return;
        }
        self.list_in_flight = true;
        let after = self.list_after.clone();
        self.send_cloud_request(CloudRequest::ListMachines { after }, actions);
    }

    fn request_catalog_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_catalog_at || !self.rate_budget.try_take(now, 1) {
            return;
        }
        self.next_catalog_at = now.saturating_add(CATALOG_INTERVAL_MS);
        self.send_cloud_request(CloudRequest::Catalog, actions);
    }
}

impl Leader {
    /// Sends the requests to the cloud that are due, and plans capacity if a plan is due.
    pub(in crate::coordination) fn run_provisioner(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        actions: &mut Vec<Action>,
    ) {
        self.send_provisioning_requests(clock, cache, actions);
        self.release_machines(clock, actions);
        self.provisioner.list_machines_if_due(clock.now, actions);
        self.provisioner.request_catalog_if_due(clock.now, actions);
        let since_plan_ms = clock.now.saturating_since(self.provisioner.last_planned_at);
        if since_plan_ms >= plan_interval_ms(self.pressure) {
            self.provisioner.last_planned_at = clock.now;
            self.plan_capacity(clock, cache);
            self.scale_in(clock);
        }
    }
}

/// Returns the time between capacity plans. Planning is the first work that a leader postpones while it is
/// behind with handling its events.
fn plan_interval_ms(pressure: PressureLevel) -> u64 {
    match pressure {
        PressureLevel::Calm => PLAN_INTERVAL_MS,
        PressureLevel::Busy => 4 * PLAN_INTERVAL_MS,
        PressureLevel::Overloaded => 15 * PLAN_INTERVAL_MS,
    }
}
