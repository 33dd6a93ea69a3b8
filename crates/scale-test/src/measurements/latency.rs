//! Distributions of times: histograms while the run goes on, summaries for the report.

use std::collections::{BTreeMap, HashSet};

use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer times are recorded as this one.
const MAX_RECORDED_MS: u64 = 24 * 3_600_000;

/// A distribution of times, in seconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencySummary {
    /// How many times were recorded.
    pub count: u64,
    /// Median.
    pub p50_s: f64,
    /// 99th percentile.
    pub p99_s: f64,
    /// Longest.
    pub max_s: f64,
}

/// Histogram of times in milliseconds.
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram(
            Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
                .expect("bounds that histograms allow"),
        )
    }
}

impl LatencyHistogram {
    /// Adds a time in milliseconds.
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// The distribution so far.
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

/// Name of the row with a class's latencies over the whole load.
const WHOLE_LOAD: &str = "all";

/// Times from submission to the first start of each task, by class and phase of arrival.
#[derive(Default)]
pub struct StartLatencies {
    histograms: BTreeMap<(String, String), LatencyHistogram>,
    started_tasks: HashSet<String>,
}

impl StartLatencies {
    /// Records a start `ms` after the submission; returns false, and records nothing, if the task has run before.
    pub fn record_first_start(&mut self, task: &str, class: &str, phase: &str, ms: u64) -> bool {
        if !self.started_tasks.insert(task.into()) {
            return false;
        }
        for phase in [phase, WHOLE_LOAD] {
            self.histograms.entry((class.into(), phase.into())).or_default().record(ms);
        }
        true
    }

    /// Summaries by class and phase.
    pub fn table(&self) -> BTreeMap<String, BTreeMap<String, LatencySummary>> {
        let mut table: BTreeMap<String, BTreeMap<String, LatencySummary>> = BTreeMap::new();
        for ((class, phase), latencies) in &self.histograms {
            table.entry(class.clone()).or_default().insert(phase.clone(), latencies.summary());
        }
        table
    }
}
