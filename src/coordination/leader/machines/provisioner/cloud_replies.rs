//! Handles replies of the cloud: the catalog, the list of machines, and the results of scale-out requests.
//!
//! A request whose outcome is unknown is sent again; all requests are idempotent.

use super::offers::InstanceOffer;
use super::requests::RequestStage;
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::{Leader, MachineIdentity, MachineState};
use crate::coordination::{Clock, OutboundId};
use crate::ids::Millis;
use crate::protocol::HttpOutcome;
use crate::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply, CloudRequest, MachineTypeRecord};

/// Time between the end of one listing of all machines and the start of the next.
const LIST_INTERVAL_MS: u64 = 4_000;
/// Delay before a failed catalog request is sent again.
const CATALOG_RETRY_MS: u64 = 2_000;
/// Delay before a scale-out request without a known result is sent again. It grows by this much with each
/// attempt, up to `MAX_RETRY_DELAY_ATTEMPTS` attempts.
const SCALE_OUT_RETRY_MS: u64 = 500;
const MAX_RETRY_DELAY_ATTEMPTS: u32 = 8;

impl Leader {
    /// Returns whether a response belongs to a request of the provisioner.
    pub(in crate::coordination) fn owns_outbound(&self, outbound: OutboundId) -> bool {
        self.provisioner.in_flight.contains_key(&outbound)
    }

    /// Handles the response to a request of the provisioner.
    pub(in crate::coordination) fn handle_cloud_response(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
        cache: &mut StoreCache,
    ) {
        let Some(request) = self.provisioner.in_flight.remove(&outbound) else { return };
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
            CloudRequest::ScaleOut { request_id, .. } => {
                self.handle_scale_out_reply(clock, &request_id, reply);
            }
        }
    }

    fn handle_catalog_reply(&mut self, clock: Clock, reply: CloudReply, cache: &mut StoreCache) {
        let CloudReply::Catalog(entries) = reply else {
            self.provisioner.next_catalog_at = clock.now.saturating_add(CATALOG_RETRY_MS);
            return;
        };
        for entry in entries {
            let key = RecordKey::MachineType(entry.name.clone());
            let recorded = cache.key_revision(&key.encode()).0 > 0 || self.writer.has_pending_write(&key);
            let unchanged =
                cache.machine_types.get(&entry.name).is_some_and(|known| has_same_hardware(known, &entry));
            if !unchanged || !recorded {
                self.writer.queue_machine_type(&entry);
            }
            // Prices change often and only the leader uses them, so a new price alone is not written to the
            // store.
            cache.machine_types.insert(entry.name.clone(), entry);
        }
        self.load_machine_types(cache);
    }

    fn handle_list_reply(&mut self, clock: Clock, reply: CloudReply, cache: &mut StoreCache) {
        let provisioner = &mut self.provisioner;
        provisioner.list_in_flight = false;
        let CloudReply::MachineList { machines, has_more } = reply else {
            provisioner.next_list_at = clock.now.saturating_add(LIST_INTERVAL_MS);
            return;
        };
        provisioner.list_after = machines.last().filter(|_| has_more).map(|machine| machine.name.clone());
        let delay_ms = if has_more { 0 } else { LIST_INTERVAL_MS };
        provisioner.next_list_at = clock.now.saturating_add(delay_ms);
        for listed in &machines {
            self.reconcile_listed_machine(clock, listed, cache);
        }
    }

    fn reconcile_listed_machine(&mut self, clock: Clock, listed: &CloudMachine, cache: &mut StoreCache) {
        let machine_type = cache.names.machine_types.intern(&listed.machine_type);
        let zone = cache.names.zones.intern(&listed.zone);
        let failed = listed.state == CloudMachineState::Failed;
        if failed && !self.cluster.machines_by_name.contains_key(&listed.name) {
            return;
        }
        let identity = MachineIdentity {
            name: &listed.name,
            endpoint: &listed.endpoint,
            machine_type,
            zone,
            spot: listed.spot,
        };
        let ix = self.register_machine(identity, clock);
        let machine = &mut self.cluster.machines[ix.index()];
        machine.created_at = machine.created_at.min(clock.now.saturating_sub(listed.age_ms));
        machine.cloud_running |= listed.state == CloudMachineState::Running;
        if machine.endpoint.is_empty() {
            machine.endpoint.clone_from(&listed.endpoint);
        }
        // A failed machine runs no task. The cloud lists it until it is released.
        if failed && machine.state != MachineState::Gone && !machine.returning {
            log::info!("machine {} has failed according to the cloud, returning it", machine.name);
            machine.state = MachineState::Unreachable;
            self.return_machine(ix);
            self.remove_all_bindings(ix, clock);
        }
    }

    fn handle_scale_out_reply(&mut self, clock: Clock, name: &str, reply: CloudReply) {
        let provisioner = &mut self.provisioner;
        let Some(request) = provisioner.requests.get_mut(name) else { return };
        let offer = request.offer;
        match reply {
            CloudReply::ScaledOut(machines) => {
                let sent_at = request.sent_at;
                request.stage = RequestStage::Granted { granted_at: clock.now };
                if (machines.len() as u32) < request.count {
                    provisioner.offer_backoff.record_partial_grant(offer, clock.now);
                } else {
                    provisioner.offer_backoff.reset(offer);
                }
                log::info!("provisioned machines {} for request {name}", machines.join(" "));
                self.register_granted_machines(&machines, offer, sent_at, clock);
            }
            CloudReply::NoCapacity => {
                provisioner.requests.remove(name);
                provisioner.offer_backoff.record_refusal(offer, clock.now);
                self.writer.queue_write(RecordKey::ProvisioningRequest(name.into()), None);
            }
            // Sending the same name again yields the same machines if the request was executed, and executes
            // it if it was not.
            _ => {
                request.stage = RequestStage::Ready;
                let delay_ms = SCALE_OUT_RETRY_MS * u64::from(request.attempts.min(MAX_RETRY_DELAY_ATTEMPTS));
                request.next_attempt_at = clock.now.saturating_add(delay_ms);
            }
        }
    }

    fn register_granted_machines(
        &mut self,
        names: &[String],
        offer: InstanceOffer,
        sent_at: Millis,
        clock: Clock,
    ) {
        for name in names {
            let identity = MachineIdentity {
                name,
                endpoint: "",
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
            };
            let ix = self.register_machine(identity, clock);
            self.cluster.machines[ix.index()].created_at = sent_at;
        }
    }
}

/// Returns whether two catalog entries agree in all fields whose changes are recorded for the next leader.
fn has_same_hardware(known: &MachineTypeRecord, entry: &MachineTypeRecord) -> bool {
    known.cpus == entry.cpus
        && known.gpus == entry.gpus
        && known.memory_gb == entry.memory_gb
        && known.zones == entry.zones
}
