//! DAG nodes and runs on the leader: retries, time limits, pools, output locality, and the retention of runs.
//!
//! The tasks of a DAG node are placed like all others; this module contains only what is specific to DAG nodes.
//! `DagRuns` owns state that is lost at a failover; state that must survive is in records, which the store writer
//! writes.

mod node_results;
mod run_retention;
mod time_limits;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use olivelatch_dag::RetryState;

use super::{JobState, Leader};
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::{DagRunIx, JobId, JobIx, MachineIx, PoolIx};
use node_results::NodeResult;
use run_retention::RetentionState;
use time_limits::TimeLimits;

/// Additional state of a job that is a DAG node.
#[derive(Debug, Default)]
pub struct DagNodeState {
    /// Retry states of the tasks that have failed, by task number. A gang has a single one, under number 0.
    pub retries: BTreeMap<u32, RetryState>,
    /// The result that is published for a node with one task or for a gang.
    result: Option<NodeResult>,
}

/// The leader's state of DAG nodes and runs that is not in records.
#[derive(Debug, Default)]
pub(super) struct DagRuns {
    time_limits: TimeLimits,
    /// Number of slots of each pool.
    pub(super) pool_slots: HashMap<PoolIx, u32>,
    /// Number of slots of each pool that are used by tasks which may be on machines.
    pub(super) pool_used: HashMap<PoolIx, u32>,
    /// Machines on which tasks of a node with downstream nodes have finished, and which may hold its output.
    output_holders: HashMap<JobId, Vec<MachineIx>>,
    /// Runs whose records are being deleted.
    pub(super) deleting: BTreeSet<DagRunIx>,
    /// Uploaded runs that were not committed within the upload expiry time.
    pub(super) abandoned: BTreeSet<DagRunIx>,
    retention: RetentionState,
}

impl Leader {
    /// Loads the pools and their slots from the tunables.
    pub(super) fn load_pools(&mut self, cache: &mut StoreCache) {
        for (pool, slots) in &self.tunables.graphs.pools {
            self.dag_runs.pool_slots.insert(cache.names.pools.intern(pool), *slots as u32);
        }
    }

    /// Adds the node state to a new job that is a DAG node. A node whose retries are exhausted fails now: the earlier
    /// leader recorded the failures but not yet the terminal record.
    pub(super) fn init_node_state(&mut self, ix: JobIx, cache: &StoreCache) {
        let Some(state) = self.workload.jobs.get_mut(&ix) else { return };
        let Some(node) = state.spec.node.as_ref().filter(|_| state.dag_node.is_none()) else { return };
        let id = state.spec.id;
        let retries = cache.dag_runs.retry_states_of(id).cloned().unwrap_or_default();
        let exhausted_task = retries
            .iter()
            .find(|(_, retry_state)| retry_state.is_exhausted(&node.retry_policy))
            .map(|(task, _)| *task);
        state.dag_node = Some(Box::new(DagNodeState { retries, result: None }));
        state.finishing |= cache.dag_runs.is_stopped(id);
        if let Some(task) = exhausted_task {
            self.fail_node(ix, task);
        }
    }

    /// Whether the job's pool has free slots for `tasks` more tasks. A job without a pool is not limited.
    pub(super) fn pool_has_free_slots(&self, state: &JobState, tasks: u32) -> bool {
        let Some(pool) = state.spec.pool() else { return true };
        let used = self.dag_runs.pool_used.get(&pool).copied().unwrap_or(0);
        self.dag_runs.pool_slots.get(&pool).is_none_or(|slots| used + tasks <= *slots)
    }

    /// Returns the machines that may hold output which the job reads.
    pub(super) fn output_holders(&self, state: &JobState) -> Vec<MachineIx> {
        let Some(node) = &state.spec.node else { return Vec::new() };
        let mut holders: Vec<MachineIx> = node
            .upstream_jobs
            .iter()
            .filter_map(|job| self.dag_runs.output_holders.get(job))
            .flatten()
            .copied()
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}
