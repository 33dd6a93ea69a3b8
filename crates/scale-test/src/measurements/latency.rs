//! Latency distributions: histograms that are filled during the run, and summaries for the report.

use std::collections::{BTreeMap, HashSet};

use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer times are recorded as this value.
const MAX_RECORDED_MS: u64 = 24 * 3_600_000;

/// Summary of a latency distribution, in seconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencySummary {
    /// Number of recorded latencies.
    pub count: u64,
    /// Median in seconds.
    pub p50_s: f64,
    /// 99th percentile in seconds.
    pub p99_s: f64,
    /// Maximum in seconds.
    pub max_s: f64,
}

/// Histogram of latencies in milliseconds.
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram(
            Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid constants"),
        )
    }
}

impl LatencyHistogram {
    /// Records a latency in milliseconds.
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// Returns the summary of the latencies recorded so far.
    pub fn summary(&self) -> LatencySummary {
        let quantile_s = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        LatencySummary {
            count: self.0.len(),
            p50_s: quantile_s(0.5),
            p99_s: quantile_s(0.99),
            max_s: self.0.max() as f64 / 1000.0,
        }
    }
}

/// Name of the row with the latencies of a class over the whole load.
const WHOLE_LOAD: &str = "all";

/// Latencies from a job's planned submission to the first start of each of its tasks, by class and by the
/// phase of arrival.
#[derive(Default)]
pub struct StartLatencies {
    histograms: BTreeMap<(String, String), LatencyHistogram>,
    started_tasks: HashSet<String>,
}

impl StartLatencies {
    /// Records a start `ms` after the submission. Returns false, without recording, if the task has started
    /// before.
    pub fn record_first_start(&mut self, task: &str, class: &str, phase: &str, ms: u64) -> bool {
        if !self.started_tasks.insert(task.into()) {
            return false;
        }
        for phase in [phase, WHOLE_LOAD] {
            self.histograms.entry((class.into(), phase.into())).or_default().record(ms);
        }
        true
    }

    /// Returns the summaries by class and phase.
    pub fn summaries(&self) -> BTreeMap<String, BTreeMap<String, LatencySummary>> {
        let mut summaries: BTreeMap<String, BTreeMap<String, LatencySummary>> = BTreeMap::new();
        for ((class, phase), latencies) in &self.histograms {
            summaries.entry(class.clone()).or_default().insert(phase.clone(), latencies.summary());
        }
        summaries
    }
}
