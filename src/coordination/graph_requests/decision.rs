//! The possible decisions on a request about a run, and the context in which they are made.

use crate::bookkeeping::records::RecordKey;
use crate::coordination::Clock;
use crate::coordination::controller_state::ControllerState;
use crate::coordination::kv_mutations::{put_record, unchanged};
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::kv::{KvMutation, Precondition};

use super::rejection::GraphRejection;

/// The time, state and limits that a decision is based on.
#[derive(Clone, Copy)]
pub(super) struct DecisionContext<'a> {
    pub clock: Clock,
    pub state: &'a ControllerState,
    /// Number of mutations that the store's limits currently allow in one transaction.
    pub max_ops: usize,
}

/// What an acceptable request results in.
pub(super) enum Decision {
    /// Nothing has to be written.
    Respond(HttpResponse),
    Write {
        preconditions: Vec<Precondition>,
        mutations: Vec<KvMutation>,
        /// The response once the mutations are committed; `None` if the request needs further transactions.
        response: Option<HttpResponse>,
    },
}

/// A decision, or the response that rejects the request.
pub(super) type DecisionResult = Result<Decision, HttpResponse>;

impl DecisionContext<'_> {
    /// Returns the precondition that the key has not changed since the cache last read it.
    pub fn unchanged(&self, key: &RecordKey) -> Precondition {
        unchanged(&self.state.cache, key)
    }

    /// Returns a mutation of the graph acceptance key. Users' writes, commits and reruns are conditional on
    /// this key, so those that were decided before the mutation was read fail.
    pub fn touch_graph_acceptance(&self) -> KvMutation {
        put_record(&RecordKey::GraphAcceptance, &serde_json::json!({"at": self.clock.wall_ms}))
    }

    /// Checks that none of the names belongs to a job or a node.
    pub fn check_names_unused(&self, mut jobs: impl Iterator<Item = JobId>) -> Result<(), GraphRejection> {
        let cache = &self.state.cache;
        let is_known = |job: &JobId| {
            cache.find(*job).is_some()
                || cache.terminal_state(*job).is_some()
                || cache.dag_runs.is_node_job(*job)
        };
        match jobs.find(is_known) {
            Some(job) => Err(GraphRejection::JobNameTaken(job)),
            None => Ok(()),
        }
    }
}
