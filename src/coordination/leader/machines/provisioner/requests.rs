//! Scale-out requests, from recording them in the key-value store until the cloud lists their machines.
//!
//! A request is recorded before it is sent, under a name that identifies it to the cloud. After a failover,
//! the next leader sends it again and learns which machines it yielded.

use crate::bookkeeping::records::{ProvisioningRecord, RecordKey};
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::Leader;
use crate::coordination::{Action, Clock};
use crate::ids::Millis;
use crate::protocol::cloud::CloudRequest;

use super::offers::InstanceOffer;

/// A request stays on record for this many times the cloud's listing delay after it was granted.
const GRANTED_LISTING_DELAYS: u64 = 3;

/// Progress of a scale-out request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// The record of the request is being written.
    Recording,
    /// Recorded durably and ready to be sent.
    Ready,
    /// Sent; the result is unknown.
    Sent,
    /// Machines were granted. The record is kept until the cloud is guaranteed to list them.
    Granted { granted_at: Millis },
}

/// A request for machines of one offer.
#[derive(Debug)]
pub(super) struct ProvisioningRequest {
    pub(super) offer: InstanceOffer,
    pub(super) count: u32,
    pub(super) stage: RequestStage,
    pub(super) attempts: u32,
    pub(super) next_attempt_at: Millis,
    pub(super) sent_at: Millis,
}

impl ProvisioningRequest {
    /// Creates a request that has not been sent in this term.
    pub(super) fn new(offer: InstanceOffer, count: u32, stage: RequestStage) -> ProvisioningRequest {
        ProvisioningRequest {
            offer,
            count,
            stage,
            attempts: 0,
            next_attempt_at: Millis::default(),
            sent_at: Millis::default(),
        }
    }

    /// Returns whether the result of the request is unknown.
    pub(super) fn is_pending(&self) -> bool {
        !matches!(self.stage, RequestStage::Granted { .. })
    }

    fn is_unsent(&self) -> bool {
        matches!(self.stage, RequestStage::Recording | RequestStage::Ready)
    }

    /// Returns whether the request was granted more than `listing_delay_ms` ago.
    fn is_settled(&self, now: Millis, listing_delay_ms: u64) -> bool {
        matches!(self.stage, RequestStage::Granted { granted_at }
            if now.saturating_since(granted_at) > listing_delay_ms)
    }
}

impl Leader {
    /// Records a request for machines; it is sent once the record is durable.
    pub(in crate::coordination::leader::machines) fn create_provisioning_request(
        &mut self,
        offer: InstanceOffer,
        count: u32,
        cache: &StoreCache,
    ) {
        let provisioner = &mut self.provisioner;
        provisioner.request_counter += 1;
        // The name contains the fencing token, so no other leader ever uses it.
        let name = format!("r-{}-{}", provisioner.token.0, provisioner.request_counter);
        let record = ProvisioningRecord {
            machine_type: offer.machine_type_name(cache).into(),
            zone: offer.zone_name(cache).into(),
            spot: offer.spot,
            count,
        };
        log::info!("scale out: {count} {} in {} (spot {})", record.machine_type, record.zone, record.spot);
        let value = serde_json::to_string(&record).unwrap_or_default();
        self.writer.queue_write(RecordKey::ProvisioningRequest(name.clone()), Some(value));
        let request = ProvisioningRequest::new(offer, count, RequestStage::Recording);
        provisioner.requests.insert(name, request);
    }

    /// Sends the requests that are durably recorded and due, in the order of their names, until the rate
    /// budget is used up.
    pub(super) fn send_provisioning_requests(
        &mut self,
        clock: Clock,
        cache: &StoreCache,
        actions: &mut Vec<Action>,
    ) {
        let provisioner = &mut self.provisioner;
        for name in provisioner.request_names(ProvisioningRequest::is_unsent) {
            let Some(request) = provisioner.requests.get_mut(&name) else { continue };
            let durable = cache.provisioning_requests.contains_key(&name);
            if request.stage == RequestStage::Recording && durable {
                request.stage = RequestStage::Ready;
            }
            if request.stage != RequestStage::Ready || clock.now < request.next_attempt_at {
                continue;
            }
            if !provisioner.rate_budget.try_take(clock.now, 1) {
                return;
            }
            request.stage = RequestStage::Sent;
            request.attempts += 1;
            request.sent_at = clock.now;
            let offer = request.offer;
            let scale_out = CloudRequest::ScaleOut {
                request_id: name,
                machine_type: offer.machine_type_name(cache).into(),
                zone: offer.zone_name(cache).into(),
                spot: offer.spot,
                count: request.count,
            };
            provisioner.send_cloud_request(scale_out, actions);
        }
    }

    /// Removes granted requests whose machines the cloud is guaranteed to list by now.
    pub(in crate::coordination::leader::machines) fn remove_settled_requests(&mut self, clock: Clock) {
        let listing_delay_ms = GRANTED_LISTING_DELAYS * self.settings.cloud_list_lag_ms;
        let is_settled = |request: &ProvisioningRequest| request.is_settled(clock.now, listing_delay_ms);
        for name in self.provisioner.request_names(is_settled) {
            self.provisioner.requests.remove(&name);
            self.writer.queue_write(RecordKey::ProvisioningRequest(name), None);
        }
    }
}
