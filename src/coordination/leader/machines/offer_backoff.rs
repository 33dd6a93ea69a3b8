//! Offers that the cloud has refused: each rests before it is tried again, longer after each further refusal.
//!
//! One offer is tried a second. With a rest that stayed the same, as many cheap offers without room as the rest has seconds
//! were tried in turn for ever, and dearer ones that had room never.

use std::collections::HashMap;

use crate::coordination::leader::machines::provisioner::InstanceOffer;
use crate::ids::Millis;

/// The rest after a first refusal, and the longest one.
const INITIAL_BACKOFF_MS: u64 = 15_000;
const MAX_BACKOFF_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    backoff_ms: u64,
}

#[derive(Debug, Default)]
pub struct OfferBackoff(HashMap<InstanceOffer, Backoff>);

impl OfferBackoff {
    /// The cloud had no room, or less than was asked for.
    pub fn record_refusal(&mut self, offer: InstanceOffer, now: Millis) {
        let before = self.0.get(&offer).map(|refusal| refusal.backoff_ms);
        let rest_ms = before.map_or(INITIAL_BACKOFF_MS, |rest_ms| (2 * rest_ms).min(MAX_BACKOFF_MS));
        self.0.insert(offer, Backoff { until: now.saturating_add(rest_ms), backoff_ms: rest_ms });
    }

    /// The cloud gave some machines and had no more: the next refusal is a first one.
    pub fn record_partial_grant(&mut self, offer: InstanceOffer, now: Millis) {
        self.0.remove(&offer);
        self.record_refusal(offer, now);
    }

    /// The cloud gave all that was asked for.
    pub fn reset(&mut self, offer: InstanceOffer) {
        self.0.remove(&offer);
    }

    pub fn is_backing_off(&self, offer: InstanceOffer, now: Millis) -> bool {
        self.0.get(&offer).is_some_and(|refusal| now < refusal.until)
    }

    /// Offers that rest, and until when.
    pub fn active(&self, now: Millis) -> impl Iterator<Item = (InstanceOffer, Millis)> + '_ {
        let backing_off = move |(_, refusal): &(&InstanceOffer, &Backoff)| now < refusal.until;
        self.0.iter().filter(backing_off).map(|(offer, refusal)| (*offer, refusal.until))
    }
}
