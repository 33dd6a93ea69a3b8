//! Offers that the cloud has refused: each rests before it is tried again, longer after each further refusal.
//!
//! One offer is tried a second. With a rest that stayed the same, as many cheap offers without room as the rest has seconds
//! were tried in turn for ever, and dearer ones that had room never.

use std::collections::HashMap;

use crate::coordination::leader::machines::fleet::Offer;
use crate::ids::Millis;

/// The rest after a first refusal, and the longest one.
const FIRST_REST_MS: u64 = 15_000;
const LONGEST_REST_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Millis,
    rest_ms: u64,
}

#[derive(Debug, Default)]
pub struct Refusals(HashMap<Offer, Refusal>);

impl Refusals {
    /// The cloud had no room, or less than was asked for.
    pub fn refused(&mut self, offer: Offer, now: Millis) {
        let before = self.0.get(&offer).map(|refusal| refusal.rest_ms);
        let rest_ms = before.map_or(FIRST_REST_MS, |rest_ms| (2 * rest_ms).min(LONGEST_REST_MS));
        self.0.insert(offer, Refusal { until: now.plus(rest_ms), rest_ms });
    }

    /// The cloud gave some machines and had no more: the next refusal is a first one.
    pub fn exhausted(&mut self, offer: Offer, now: Millis) {
        self.0.remove(&offer);
        self.refused(offer, now);
    }

    /// The cloud gave all that was asked for.
    pub fn served(&mut self, offer: Offer) {
        self.0.remove(&offer);
    }

    pub fn rests(&self, offer: Offer, now: Millis) -> bool {
        self.0.get(&offer).is_some_and(|refusal| now < refusal.until)
    }

    /// Offers that rest, and until when.
    pub fn resting(&self, now: Millis) -> impl Iterator<Item = (Offer, Millis)> + '_ {
        let rests = move |(_, refusal): &(&Offer, &Refusal)| now < refusal.until;
        self.0.iter().filter(rests).map(|(offer, refusal)| (*offer, refusal.until))
    }
}
