//! Where the time goes: at `debug`, how long the node works on each kind of event, how long
//! the transport reads, parses and writes, and how often it asks the kernel for something.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::ids::Millis;
use olivelatch_net::poll::Calls;

const REPORT_EVERY_MS: u64 = 30_000;
/// Longer than ten seconds counts as ten seconds.
const LONGEST_US: u64 = 10_000_000;

/// Nothing is measured unless it is shown.
#[derive(Default)]
pub struct Timings {
    kinds: BTreeMap<&'static str, (Histogram<u32>, u64)>,
    shown: Millis,
}

impl Timings {
    pub fn start(&self) -> Option<Instant> {
        log::log_enabled!(log::Level::Debug).then(Instant::now)
    }

    pub fn stop(&mut self, kind: &'static str, started: Option<Instant>) {
        let Some(started) = started else { return };
        let us = (started.elapsed().as_micros() as u64).clamp(1, LONGEST_US);
        if !self.kinds.contains_key(kind) {
            let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_US, 2) else { return };
            self.kinds.insert(kind, (histogram, 0));
        }
        if let Some((histogram, sum)) = self.kinds.get_mut(kind) {
            histogram.saturating_record(us);
            *sum += us;
        }
    }

    /// Shows the last half minute and begins anew.
    pub fn show(&mut self, now: Millis, calls: &Calls) {
        if self.kinds.is_empty() || now.since(self.shown) < REPORT_EVERY_MS {
            return;
        }
        self.shown = now;
        for (kind, (histogram, sum)) in &self.kinds {
            log::debug!(
                "time {kind}: {} events, {sum} us in all, {:.0} on average, p50 {}, p99 {}, longest {} us",
                histogram.len(),
                histogram.mean(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max()
            );
        }
        self.kinds.clear();
        let taken = |calls: &AtomicU64| calls.swap(0, Ordering::Relaxed);
        log::debug!(
            "calls: {} waits, {} reads, {} writes, {} registrations",
            taken(&calls.waits),
            taken(&calls.reads),
            taken(&calls.writes),
            taken(&calls.registrations)
        );
    }
}
