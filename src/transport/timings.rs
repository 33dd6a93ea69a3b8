//! Where the time goes: at `debug`, how long the node works on each kind of event, how long
//! the transport reads, parses and writes, and how often it asks the kernel for something.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::ids::Millis;
use olivelatch_net::poller::SyscallCounters;

const LOG_INTERVAL_MS: u64 = 30_000;
/// Longer than ten seconds counts as ten seconds.
const MAX_US: u64 = 10_000_000;

/// Upper bounds for scrapes, in microseconds.
const BUCKET_BOUNDS_US: [u64; 10] = [20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 20_000, 100_000];

/// How long a kind of event took, as a scrape shows it.
#[derive(Debug, Clone)]
pub struct DurationHistogram {
    pub sum_s: f64,
    pub count: u64,
    /// Upper bound in seconds, and how many lie between the bound before and this one.
    pub buckets: Vec<(f64, u64)>,
}

type ByKind = BTreeMap<&'static str, (Histogram<u32>, u64)>;

/// Nothing is measured unless it is shown.
#[derive(Default)]
pub struct Timings {
    recent: ByKind,
    last_logged_at: Millis,
    /// Since the start, for scrapes; None if there are none.
    totals: Option<ByKind>,
}

fn record(kinds: &mut ByKind, kind: &'static str, us: u64) {
    if !kinds.contains_key(kind) {
        let Ok(histogram) = Histogram::new_with_bounds(1, MAX_US, 2) else { return };
        kinds.insert(kind, (histogram, 0));
    }
    if let Some((histogram, sum)) = kinds.get_mut(kind) {
        histogram.saturating_record(us);
        *sum += us;
    }
}

fn duration_histogram(histogram: &Histogram<u32>, sum_us: u64) -> DurationHistogram {
    let mut buckets = Vec::with_capacity(BUCKET_BOUNDS_US.len() + 1);
    let mut below = 0;
    for bound in BUCKET_BOUNDS_US {
        buckets.push((bound as f64 / 1e6, histogram.count_between(below, bound - 1)));
        below = bound;
    }
    buckets.push((f64::INFINITY, histogram.count_between(below, u64::MAX)));
    // What the buckets hold is the count, so that the two agree.
    let count = buckets.iter().map(|(_, count)| count).sum();
    DurationHistogram { sum_s: sum_us as f64 / 1e6, count, buckets }
}

impl Timings {
    /// `scraped`: also kept since the start.
    pub fn new(keep_totals: bool) -> Timings {
        Timings { totals: keep_totals.then(BTreeMap::new), ..Timings::default() }
    }

    pub fn start(&self) -> Option<Instant> {
        (self.totals.is_some() || log::log_enabled!(log::Level::Debug)).then(Instant::now)
    }

    /// All kinds since the start.
    pub fn duration_histograms(&self) -> Vec<(&'static str, DurationHistogram)> {
        let totals = self.totals.iter().flatten();
        totals.map(|(kind, (histogram, sum))| (*kind, duration_histogram(histogram, *sum))).collect()
    }

    pub fn stop(&mut self, kind: &'static str, started: Option<Instant>) {
        let Some(started) = started else { return };
        let us = (started.elapsed().as_micros() as u64).clamp(1, MAX_US);
        if let Some(totals) = &mut self.totals {
            record(totals, kind, us);
        }
        if log::log_enabled!(log::Level::Debug) {
            record(&mut self.recent, kind, us);
        }
    }

    /// Shows the last half minute and begins anew.
    pub fn log_recent(&mut self, now: Millis, calls: &SyscallCounters) {
        if self.recent.is_empty() || now.saturating_since(self.last_logged_at) < LOG_INTERVAL_MS {
            return;
        }
        self.last_logged_at = now;
        for (kind, (histogram, sum)) in &self.recent {
            log::debug!(
                "time {kind}: {} events, {sum} us in all, {:.0} on average, p50 {}, p99 {}, longest {} us",
                histogram.len(),
                histogram.mean(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max()
            );
        }
        self.recent.clear();
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
