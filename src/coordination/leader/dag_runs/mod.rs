//! DAG nodes and runs on the leader: retries, time limits, pools, output locality, and which runs are deleted.
//!
//! A DAG node's tasks are placed like all others; here is only what being a node adds. `DagRuns` owns state that is lost
//! at a failover; what must survive is in the records, written by the store writer.

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

/// What the leader knows of a job that is a DAG node, besides.
#[derive(Debug, Default)]
pub struct DagNodeState {
    /// Retry states of tasks that have failed.
    pub retries: BTreeMap<u32, RetryState>,
    /// The published result of a node with one task, or of a gang.
    result: Option<NodeResult>,
}

/// What the leader knows of DAG nodes and runs besides the records.
#[derive(Debug, Default)]
pub(super) struct DagRuns {
    time_limits: TimeLimits,
    /// Slots of each pool.
    pub(super) pool_slots: HashMap<PoolIx, u32>,
    /// Slots that are taken by tasks which may be on machines.
    pub(super) pool_used: HashMap<PoolIx, u32>,
    /// Machines on which tasks of nodes with downstream nodes have finished.
    output_holders: HashMap<JobId, Vec<MachineIx>>,
    /// Runs whose records are being deleted.
    pub(super) deleting: BTreeSet<DagRunIx>,
    /// Runs whose parts have waited too long for their commit.
    pub(super) abandoned: BTreeSet<DagRunIx>,
    retention: RetentionState,
}

impl Leader {
    /// Takes in the pools of the settings.
    pub(super) fn load_pools(&mut self, cache: &mut StoreCache) {
        for (pool, slots) in &self.tunables.graphs.pools {
            self.dag_runs.pool_slots.insert(cache.names.pools.intern(pool), *slots as u32);
        }
    }

    /// Adds the node state to a new job that is a DAG node. A node whose retries are exhausted without a terminal record
    /// fails now: the earlier leader did not get that far.
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

    /// Whether the job's pool has slots for this many more tasks.
    pub(super) fn pool_has_room(&self, state: &JobState, tasks: u32) -> bool {
        let Some(pool) = state.spec.pool() else { return true };
        let used = self.dag_runs.pool_used.get(&pool).copied().unwrap_or(0);
        self.dag_runs.pool_slots.get(&pool).is_none_or(|slots| used + tasks <= *slots)
    }

    /// Machines that hold output which the job reads.
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
