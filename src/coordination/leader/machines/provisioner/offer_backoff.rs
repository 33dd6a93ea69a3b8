//! Exponential backoff of offers that the cloud has refused.
//!
//! One offer is tried a second. With a constant backoff of as many seconds as there are cheap offers without
//! capacity, these were tried in turn for ever, and more expensive offers that had capacity never.

use std::collections::HashMap;

use super::offers::InstanceOffer;
use crate::ids::Millis;

/// The backoff after a first refusal; each further one doubles it.
const INITIAL_BACKOFF_MS: u64 = 15_000;
/// The longest backoff.
const MAX_BACKOFF_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    backoff_ms: u64,
}

/// Offers that were refused. At most one entry per offer of the catalog.
#[derive(Debug, Default)]
pub(super) struct OfferBackoff(HashMap<InstanceOffer, Backoff>);

impl OfferBackoff {
    /// The cloud had no capacity, or less than requested.
    pub(super) fn record_refusal(&mut self, offer: InstanceOffer, now: Millis) {
        let previous_ms = self.0.get(&offer).map(|backoff| backoff.backoff_ms);
        let backoff_ms = previous_ms.map_or(INITIAL_BACKOFF_MS, |ms| (2 * ms).min(MAX_BACKOFF_MS));
        self.0.insert(offer, Backoff { until: now.saturating_add(backoff_ms), backoff_ms });
    }

    /// The cloud granted some machines and had no more: the next refusal counts as a first one.
    pub(super) fn record_partial_grant(&mut self, offer: InstanceOffer, now: Millis) {
        self.0.remove(&offer);
        self.record_refusal(offer, now);
    }

    /// The cloud granted all that was requested.
    pub(super) fn reset(&mut self, offer: InstanceOffer) {
        self.0.remove(&offer);
    }

    pub(super) fn is_backing_off(&self, offer: InstanceOffer, now: Millis) -> bool {
        self.0.get(&offer).is_some_and(|backoff| now < backoff.until)
    }

    /// Offers in backoff, and until when, in no particular order.
    pub(super) fn active(&self, now: Millis) -> impl Iterator<Item = (InstanceOffer, Millis)> + '_ {
        let is_active = move |(_, backoff): &(&InstanceOffer, &Backoff)| now < backoff.until;
        self.0.iter().filter(is_active).map(|(offer, backoff)| (*offer, backoff.until))
    }
}
