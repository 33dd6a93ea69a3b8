//! Durations by kind of work: how long the controller takes to handle each kind of event, and how long the transport
//! takes to read, parse and write.
//!
//! Durations are logged at `debug` level together with the number of system calls, and kept for scrapes if the
//! operators' interface is enabled. If neither applies, nothing is measured.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::ids::Millis;
use olivelatch_net::poller::SyscallCounters;

/// Minimum time between two log lines about one kind.
const LOG_INTERVAL_MS: u64 = 30_000;
/// Maximum duration that is recorded, in microseconds. Longer durations are recorded as this value.
const MAX_US: u64 = 10_000_000;

/// Upper bounds of the histogram buckets in a scrape, in microseconds.
const BUCKET_BOUNDS_US: [u64; 10] = [20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 20_000, 100_000];

/// The durations of one kind of work, in the form that a scrape reports.
#[derive(Debug, Clone)]
pub(super) struct DurationHistogram {
    pub(super) sum_s: f64,
    pub(super) count: u64,
    /// Upper bound of each bucket in seconds, and the number of durations in the bucket (not cumulative).
    pub(super) buckets: Vec<(f64, u64)>,
}

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The durations of one kind of work, in microseconds.
struct Durations {
    histogram: Histogram<u32>,
    sum_us: u64,
}

type ByKind = BTreeMap<&'static str, Durations>;

/// The durations of all kinds of work.
#[derive(Default)]
pub(super) struct Timings {
    /// Durations since they were last logged.
    recent: ByKind,
    last_logged_at: Millis,
    /// Durations since the process started, for scrapes; `None` if scrapes are disabled.
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
    // The count is the sum of the buckets, so that the two always agree.
    let count = buckets.iter().map(|(_, count)| count).sum();
    DurationHistogram { sum_s: durations.sum_us as f64 / 1e6, count, buckets }
}

impl Timings {
    /// With `keep_totals`, durations since the process started are kept for scrapes.
    pub(super) fn new(keep_totals: bool) -> Timings {
        Timings { totals: keep_totals.then(BTreeMap::new), ..Timings::default() }
    }

    /// Starts a measurement. Returns `None` if measuring is disabled.
    pub(super) fn start(&self) -> Option<Instant> {
        (self.totals.is_some() || log::log_enabled!(log::Level::Debug)).then(Instant::now)
    }

    /// Returns the durations of each kind since the process started.
    pub(super) fn duration_histograms(&self) -> Vec<(&'static str, DurationHistogram)> {
        let totals = self.totals.iter().flatten();
        totals.map(|(kind, durations)| (*kind, duration_histogram(durations))).collect()
    }

    /// Ends a measurement and records its duration.
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

    /// Logs the durations and system calls since the last log lines, at most once per [`LOG_INTERVAL_MS`].
    pub(super) fn log_recent(&mut self, now: Millis, syscalls: &SyscallCounters) {
        if self.recent.is_empty() || now.saturating_since(self.last_logged_at) < LOG_INTERVAL_MS {
            return;
        }
        self.last_logged_at = now;
        for (kind, Durations { histogram, sum_us }) in &self.recent {
            log::debug!(
                "durations of {kind}: {} events, total {sum_us} us, mean {:.0} us, p50 {} us, p99 {} us, max {} us",
                histogram.len(),
                histogram.mean(),
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.max()
            );
        }
        self.recent.clear();
        let take_count = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        log::debug!(
            "system calls: {} waits, {} reads, {} writes, {} registrations",
            take_count(&syscalls.waits),
            take_count(&syscalls.reads),
            take_count(&syscalls.writes),
            take_count(&syscalls.registrations)
        );
    }
}
