//! Machines that are being provisioned, and offers that the cloud has rejected.

use super::Explanation;
use crate::coordination::leader::machines::provisioner::InstanceOffer;
use crate::ids::{Millis, from_milli};
use crate::protocol::operators::{InstanceOfferView, StateReason};

impl Explanation<'_> {
    /// Adds the machines that are being provisioned and the offers that are in backoff after a rejection, as
    /// far as the job may use them.
    pub(super) fn add_provisioning_reasons(&self, booting: u32, reasons: &mut Vec<StateReason>) {
        let requested = self.requested_offers();
        if booting > 0 || !requested.is_empty() {
            reasons.push(StateReason::Provisioning { offers: requested, booting });
        }
        let rejected = self.rejected_offers();
        if !rejected.is_empty() {
            reasons.push(StateReason::CloudRejected { offers: rejected });
        }
    }

    fn requested_offers(&self) -> Vec<InstanceOfferView> {
        let requests = self.leader.provisioner.pending_requests();
        let usable = requests.into_iter().filter(|(offer, _)| self.is_usable(offer));
        usable.map(|(offer, count)| self.offer_view(offer, count, None)).collect()
    }

    fn rejected_offers(&self) -> Vec<InstanceOfferView> {
        let remaining_ms = |until: Millis| until.saturating_since(self.clock.now);
        let in_backoff = self.leader.provisioner.offers_in_backoff(self.clock.now);
        let mut usable: Vec<(InstanceOffer, u64)> = in_backoff
            .filter(|(offer, _)| self.is_usable(offer))
            .map(|(offer, until)| (offer, remaining_ms(until)))
            .collect();
        usable.sort();
        usable.into_iter().map(|(offer, ms)| self.offer_view(offer, 0, Some(from_milli(ms)))).collect()
    }

    fn is_usable(&self, offer: &InstanceOffer) -> bool {
        let machine_type = self.leader.cluster.machine_types.get(&offer.machine_type);
        let capacity = machine_type.map(|machine_type| machine_type.capacity).unwrap_or_default();
        let spec = &self.job.spec;
        spec.allows(offer.machine_type, offer.zone, offer.spot) && spec.task_resources.fits_in(&capacity)
    }

    fn offer_view(&self, offer: InstanceOffer, count: u32, backoff_s: Option<f64>) -> InstanceOfferView {
        InstanceOfferView {
            machine_type: self.names.machine_types.name_or_unknown(offer.machine_type.index()).into(),
            zone: self.names.zones.name_or_unknown(offer.zone.index()).into(),
            spot: offer.spot,
            count,
            backoff_s,
        }
    }
}
