//! Durations by kind of work: how long the controller handles each kind of event, and how long the transport reads,
//! parses and writes.
//!
//! They are logged at `debug`, together with the number of system calls, and kept for scrapes where these are enabled.
//! Otherwise nothing is measured.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::ids::Millis;
use olivelatch_net::poller::SyscallCounters;

/// Time between two log lines of one kind.
const LOG_INTERVAL_MS: u64 = 30_000;
/// Longest duration that is recorded, in microseconds; longer ones count as this one.
const MAX_US: u64 = 10_000_000;

/// Upper bounds of the buckets of a scrape, in microseconds.
const BUCKET_BOUNDS_US: [u64; 10] = [20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 20_000, 100_000];

/// The durations of one kind as a scrape shows them.
#[derive(Debug, Clone)]
pub(super) struct DurationHistogram {
    pub(super) sum_s: f64,
    pub(super) count: u64,
    /// Upper bound in seconds, and how many durations lie between the bound before and this one.
    pub(super) buckets: Vec<(f64, u64)>,
}

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The durations of one kind, in microseconds.
struct Durations {
    histogram: Histogram<u32>,
    sum_us: u64,
}

type ByKind = BTreeMap<&'static str, Durations>;

/// The durations of all kinds.
#[derive(Default)]
pub(super) struct Timings {
    /// Since they were last logged.
    recent: ByKind,
    last_logged_at: Millis,
    /// Since the start, for scrapes; None if these are not enabled.
    totals: Option<ByKind>,
}

fn record(kinds: &mut ByKind, kind: &'static str, us: u64) {
    if !kinds.contains_key(kind) {
        let Ok(histogram) = Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS) else { return };
        kinds.insert(kind, Durations { histogram, sum_us: 0 });
    }
    if let Some(durations) = kinds.get_mut(kind) {
        durations.histogram.saturating_record(us);
        durations.sum_us += us;
    }
}

fn duration_histogram(durations: &Durations) -> DurationHistogram {
    let histogram = &durations.histogram;
    let mut buckets = Vec::with_capacity(BUCKET_BOUNDS_US.len() + 1);
    let mut below = 0;
    for bound in BUCKET_BOUNDS_US {
        buckets.push((bound as f64 / 1e6, histogram.count_between(below, bound - 1)));
        below = bound;
    }
    buckets.push((f64::INFINITY, histogram.count_between(below, u64::MAX)));
    // The count is what the buckets hold, so that the two agree.
    let count = buckets.iter().map(|(_, count)| count).sum();
    DurationHistogram { sum_s: durations.sum_us as f64 / 1e6, count, buckets }
}

impl Timings {
    /// With `keep_totals` durations are also kept since the start, for scrapes.
    pub(super) fn new(keep_totals: bool) -> Timings {
        Timings { totals: keep_totals.then(BTreeMap::new), ..Timings::default() }
    }

    /// Begins a measurement; None if nothing is measured.
    pub(super) fn start(&self) -> Option<Instant> {
        (self.totals.is_some() || log::log_enabled!(log::Level::Debug)).then(Instant::now)
    }

    /// The durations of each kind since the start.
    pub(super) fn duration_histograms(&self) -> Vec<(&'static str, DurationHistogram)> {
        let totals = self.totals.iter().flatten();
        totals.map(|(kind, durations)| (*kind, duration_histogram(durations))).collect()
    }

    /// Ends a measurement.
    pub(super) fn stop(&mut self, kind: &'static str, started: Option<Instant>) {
        let Some(started) = started else { return };
        let us = (started.elapsed().as_micros() as u64).clamp(1, MAX_US);
        if let Some(totals) = &mut self.totals {
            record(totals, kind, us);
        }
        if log::log_enabled!(log::Level::Debug) {
            record(&mut self.recent, kind, us);
        }
    }

    /// Logs the durations and system calls since the last time, once in [`LOG_INTERVAL_MS`].
    pub(super) fn log_recent(&mut self, now: Millis, syscalls: &SyscallCounters) {
        if self.recent.is_empty() || now.saturating_since(self.last_logged_at) < LOG_INTERVAL_MS {
            return;
        }
        self.last_logged_at = now;
        for (kind, Durations { histogram, sum_us }) in &self.recent {
            log::debug!(
                "time {kind}: {} events, {sum_us} us in all, {:.0} on average, p50 {}, p99 {}, longest {} us",
                histogram.len(),
                histogram.mean(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max()
            );
        }
        self.recent.clear();
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        log::debug!(
            "calls: {} waits, {} reads, {} writes, {} registrations",
            take(&syscalls.waits),
            take(&syscalls.reads),
            take(&syscalls.writes),
            take(&syscalls.registrations)
        );
    }
}
