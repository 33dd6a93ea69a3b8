//! What a request about a run leads to, and what it is decided by.

use crate::bookkeeping::records::RecordKey;
use crate::coordination::Clock;
use crate::coordination::controller_state::ControllerState;
use crate::coordination::kv_mutations::{put_record, unchanged};
use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::kv::{KvMutation, Precondition};

use super::rejection::GraphRejection;

/// What decisions are made by.
#[derive(Clone, Copy)]
pub(super) struct DecisionContext<'a> {
    pub clock: Clock,
    pub state: &'a ControllerState,
    /// Mutations that the store's limits allow in one transaction now.
    pub max_ops: usize,
}

/// What an acceptable request leads to.
pub(super) enum Decision {
    /// Nothing has to be written.
    Respond(HttpResponse),
    Write {
        preconditions: Vec<Precondition>,
        mutations: Vec<KvMutation>,
        /// The response once it is written; `None` if the request needs further transactions.
        response: Option<HttpResponse>,
    },
}

/// A decision, or the response that refuses the request.
pub(super) type DecisionResult = Result<Decision, HttpResponse>;

impl DecisionContext<'_> {
    /// The key must not have changed since the cache last read it.
    pub fn unchanged(&self, key: &RecordKey) -> Precondition {
        unchanged(&self.state.cache, key)
    }

    /// Changes the key that plain submissions and commits are conditional on: those that have not read this change fail.
    pub fn touch_graph_acceptance(&self) -> KvMutation {
        put_record(&RecordKey::GraphAcceptance, &serde_json::json!({"at": self.clock.wall_ms}))
    }

    /// Checks that no job or node has one of the names.
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
