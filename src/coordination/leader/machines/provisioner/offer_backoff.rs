//! Exponential backoff of offers that the cloud has refused.
//!
//! One offer is tried per second, the cheapest that is not in backoff. With a constant backoff of n seconds
//! and n cheap offers without capacity, each cheap offer was due again by the time the others had been tried,
//! so more expensive offers that had capacity were never tried.

use std::collections::HashMap;

use super::offers::InstanceOffer;
use crate::ids::Millis;

/// The backoff after the first refusal. Each further refusal doubles it.
const INITIAL_BACKOFF_MS: u64 = 15_000;
const MAX_BACKOFF_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    backoff_ms: u64,
}

/// Offers that the cloud has refused, with their backoff. Holds at most one entry per offer of the catalog.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff(HashMap<InstanceOffer, Backoff>);

impl OfferBackoff {
    /// Starts or doubles the backoff of an offer, because the cloud had no capacity or less than requested.
    pub(super) fn record_refusal(&mut self, offer: InstanceOffer, now: Millis) {
        let previous_ms = self.0.get(&offer).map(|backoff| backoff.backoff_ms);
        let backoff_ms = previous_ms.map_or(INITIAL_BACKOFF_MS, |ms| (2 * ms).min(MAX_BACKOFF_MS));
        self.0.insert(offer, Backoff { until: now.saturating_add(backoff_ms), backoff_ms });
    }

    /// Restarts the backoff of an offer from its initial value, because the cloud granted some machines but
    /// fewer than requested.
    pub(super) fn record_partial_grant(&mut self, offer: InstanceOffer, now: Millis) {
        self.0.remove(&offer);
        self.record_refusal(offer, now);
    }

    /// Ends the backoff of an offer, because the cloud granted all machines that were requested.
    pub(super) fn reset(&mut self, offer: InstanceOffer) {
        self.0.remove(&offer);
    }

    pub(super) fn is_backing_off(&self, offer: InstanceOffer, now: Millis) -> bool {
        self.0.get(&offer).is_some_and(|backoff| now < backoff.until)
    }

    /// Returns the offers in backoff with the end of the backoff, in no particular order.
    pub(super) fn active(&self, now: Millis) -> impl Iterator<Item = (InstanceOffer, Millis)> + '_ {
        let is_active = move |(_, backoff): &(&InstanceOffer, &Backoff)| now < backoff.until;
        self.0.iter().filter(is_active).map(|(offer, backoff)| (*offer, backoff.until))
    }
}
