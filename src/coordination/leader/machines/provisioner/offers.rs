//! The cloud's offers, their prices, and the choice of the cheapest offer for a job.

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader, MachineType};
use crate::ids::{MachineIx, MachineTypeIx, ZoneIx};

/// The minimum time for which the cloud bills a machine.
pub(in crate::coordination::leader::machines) const MIN_BILLED_MS: u64 = 60_000;
/// Fraction by which each machine already requested of an offer raises the offer's cost, so that requests
/// alternate between zones.
const PENDING_REQUEST_SURCHARGE: f64 = 0.01;

/// A combination of machine type, zone and purchase option (on demand or spot) that the cloud offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::coordination::leader) struct InstanceOffer {
    pub machine_type: MachineTypeIx,
    pub zone: ZoneIx,
    /// Whether it is a spot (preemptible) instance.
    pub spot: bool,
}

impl InstanceOffer {
    /// Returns the name of the machine type.
    pub(super) fn machine_type_name(self, cache: &StoreCache) -> &str {
        cache.names.machine_types.name_or_unknown(self.machine_type.index())
    }

    /// Returns the name of the zone.
    pub(super) fn zone_name(self, cache: &StoreCache) -> &str {
        cache.names.zones.name_or_unknown(self.zone.index())
    }
}

impl MachineType {
    /// Returns the price of a spot instance or of an on-demand instance. `None` if the type is not offered as
    /// spot instance.
    fn offered_price(&self, spot: bool) -> Option<f64> {
        if spot { self.spot_price } else { Some(self.price) }
    }

    /// Returns `price` divided by the CPU capacity of the type, in thousandths of a CPU.
    fn per_cpu(&self, price: f64) -> f64 {
        price / self.capacity.cpu.max(1) as f64
    }

    /// Returns the lower of the type's prices per CPU: on demand or spot.
    pub(super) fn lowest_price_per_cpu(&self) -> f64 {
        let prices = [Some(self.price), self.spot_price].into_iter().flatten();
        prices.map(|price| self.per_cpu(price)).fold(f64::MAX, f64::min)
    }
}

impl Leader {
    /// Returns the price of the machine per thousandth of a CPU.
    pub(in crate::coordination::leader) fn price_per_cpu(&self, ix: MachineIx) -> f64 {
        let machine = &self.cluster.machines[ix.index()];
        let Some(machine_type) = self.cluster.machine_types.get(&machine.machine_type) else {
            return f64::MAX;
        };
        machine_type.per_cpu(machine_type.offered_price(machine.spot).unwrap_or(machine_type.price))
    }

    /// Returns the offer with the lowest cost per task of the job, in the zones that `zone_allowed` accepts.
    /// Offers in backoff are left out.
    pub(in crate::coordination::leader) fn cheapest_offer(
        &self,
        job_state: &JobState,
        clock: Clock,
        zone_allowed: impl Fn(ZoneIx) -> bool,
    ) -> Option<InstanceOffer> {
        let spec = &job_state.spec;
        let pending = self.provisioner.pending_requests();
        let mut best: Option<(f64, InstanceOffer)> = None;
        for (type_ix, machine_type) in &self.cluster.machine_types {
            let mut slots = self.empty_room(machine_type.capacity).slots(&spec.task_resources);
            if slots == 0 || !spec.allows_machine_type(*type_ix) {
                continue;
            }
            if spec.is_all_or_nothing() {
                slots = slots.min(u64::from(spec.tasks));
            }
            let zones = machine_type.zones.iter().filter(|zone| zone_allowed(**zone));
            for (zone, spot) in zones.flat_map(|zone| [(*zone, false), (*zone, true)]) {
                let offer = InstanceOffer { machine_type: *type_ix, zone, spot };
                let in_backoff = self.provisioner.offer_backoff.is_backing_off(offer, clock.now);
                if in_backoff || !spec.allows(*type_ix, zone, spot) {
                    continue;
                }
                let Some(price) = machine_type.offered_price(spot) else { continue };
                let requested = f64::from(pending.get(&offer).copied().unwrap_or(0));
                let cost = price / slots as f64 * (1.0 + PENDING_REQUEST_SURCHARGE * requested);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }
}
