//! Selects the DAG runs to delete: the oldest finished runs above the retention limits, and uploads that were not
//! committed in time.

use std::collections::{BTreeSet, HashMap};

use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::Leader;
use crate::ids::{DagRunIx, Millis};

/// Interval between two scans of all runs, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 1_000;
const MS_PER_SECOND: f64 = 1_000.0;
/// Above this share of the node limit, the oldest finished run is deleted even if the number of retained runs is within
/// its limit.
const NODE_LIMIT_WATERMARK: f64 = 0.8;

/// When the runs are scanned next, and since when uploads have been uncommitted.
#[derive(Debug, Default)]
pub(super) struct RetentionState {
    next_scan_at: Millis,
    /// When the parts of an uncommitted run were first seen.
    uncommitted_since: HashMap<DagRunIx, Millis>,
}

/// Runs that a scan found to be candidates for deletion or expiry.
#[derive(Debug, Default)]
struct RunScan {
    uncommitted: BTreeSet<DagRunIx>,
    /// Runs whose deletion has begun, and expired uploads.
    deleting: Vec<DagRunIx>,
    /// Finished runs in the order in which they finished, oldest first.
    finished: Vec<DagRunIx>,
}

fn scan_runs(cache: &StoreCache) -> RunScan {
    let mut scan = RunScan::default();
    let mut finished: Vec<(u64, DagRunIx)> = Vec::new();
    for (ix, run) in cache.dag_runs.all_runs() {
        if run.accepted.is_none() && !run.upload_expired {
            scan.uncommitted.insert(ix);
        } else if run.deleting || run.upload_expired {
            scan.deleting.push(ix);
        } else if run.is_ended() && run.replaced_jobs.is_empty() {
            finished.push((run.phase_record.since_wall_ms, ix));
        }
    }
    finished.sort_unstable();
    scan.finished = finished.into_iter().map(|(_, ix)| ix).collect();
    scan
}

impl Leader {
    /// Selects, at intervals, the runs whose records the store writer deletes.
    pub(in crate::coordination) fn scan_dag_runs(&mut self, cache: &StoreCache, clock: Clock) {
        if clock.now < self.dag_runs.retention.next_scan_at {
            return;
        }
        self.dag_runs.retention.next_scan_at = clock.now.saturating_add(SCAN_INTERVAL_MS);
        let scan = scan_runs(cache);
        let surplus_runs = self.surplus_runs(&scan.finished, cache);
        self.dag_runs.deleting.extend(scan.deleting);
        self.dag_runs.deleting.extend(surplus_runs);
        self.dag_runs.deleting.retain(|ix| cache.dag_runs.run(*ix).is_some());
        self.expire_uploads(scan.uncommitted, clock);
    }

    /// Returns the oldest finished runs above the retention limits, except those of which a task may still be on a
    /// machine.
    fn surplus_runs(&self, finished: &[DagRunIx], cache: &StoreCache) -> Vec<DagRunIx> {
        let limits = &self.tunables.graphs;
        let near_node_limit = cache.dag_runs.node_count as f64 > limits.max_nodes * NODE_LIMIT_WATERMARK;
        let surplus = finished
            .len()
            .saturating_sub(limits.retained_runs as usize)
            .max(usize::from(near_node_limit && !finished.is_empty()));
        let is_unplaced =
            |ix: &DagRunIx| cache.dag_runs.run(*ix).is_some_and(|run| !self.has_placed_tasks(run));
        finished.iter().copied().take(surplus).filter(is_unplaced).collect()
    }

    fn has_placed_tasks(&self, run: &DagRun) -> bool {
        let mut nodes = run.dag.iter().flat_map(|dag| &dag.nodes);
        nodes.any(|node| self.workload.placed_task_counts.contains_key(&node.job))
    }

    fn expire_uploads(&mut self, uncommitted: BTreeSet<DagRunIx>, clock: Clock) {
        let expiry_ms = (self.tunables.graphs.upload_expiry_s * MS_PER_SECOND) as u64;
        let uncommitted_since = &mut self.dag_runs.retention.uncommitted_since;
        uncommitted_since.retain(|ix, _| uncommitted.contains(ix));
        for ix in uncommitted {
            let since = *uncommitted_since.entry(ix).or_insert(clock.now);
            if clock.now.saturating_since(since) >= expiry_ms {
                self.dag_runs.abandoned.insert(ix);
            }
        }
    }
}
