//! Trigger rules, named as in Airflow: they decide by the outcomes of a node's upstream nodes whether it runs.

use serde::{Deserialize, Serialize};

/// The final outcome of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeOutcome {
    /// All tasks of the node succeeded.
    Success,
    /// A task of the node used up its attempts.
    Failed,
    /// The node cannot run, as an upstream node failed or did not produce the list that the node runs over.
    UpstreamFailed,
    /// The trigger rule did not select the node, or the list that the node runs over is empty. Not a failure.
    Skipped,
    /// A user cancelled the node or its run.
    Cancelled,
}

impl NodeOutcome {
    /// Returns the name used on the wire and in stored records.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeOutcome::Success => "success",
            NodeOutcome::Failed => "failed",
            NodeOutcome::UpstreamFailed => "upstream_failed",
            NodeOutcome::Skipped => "skipped",
            NodeOutcome::Cancelled => "cancelled",
        }
    }

    /// Returns whether trigger rules count this outcome as a failure: the node should have succeeded and did not.
    pub fn is_failure(self) -> bool {
        matches!(self, NodeOutcome::Failed | NodeOutcome::UpstreamFailed | NodeOutcome::Cancelled)
    }
}

/// The condition on the upstream outcomes under which a node runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TriggerRule {
    /// All upstream nodes succeeded.
    #[default]
    AllSuccess,
    /// All upstream nodes failed.
    AllFailed,
    /// All upstream nodes finished, with any outcome.
    AllDone,
    /// At least one upstream node succeeded; the others need not have finished.
    OneSuccess,
    /// At least one upstream node failed; the others need not have finished.
    OneFailed,
    /// All upstream nodes succeeded or were skipped.
    NoneFailed,
    /// All upstream nodes succeeded or were skipped, and at least one succeeded.
    NoneFailedMinOneSuccess,
}

impl TriggerRule {
    /// All trigger rules, for parsing and for listing them in error messages.
    pub const ALL: [TriggerRule; 7] = [
        TriggerRule::AllSuccess,
        TriggerRule::AllFailed,
        TriggerRule::AllDone,
        TriggerRule::OneSuccess,
        TriggerRule::OneFailed,
        TriggerRule::NoneFailed,
        TriggerRule::NoneFailedMinOneSuccess,
    ];

    /// Returns the name used on the wire and in stored records.
    pub fn as_str(self) -> &'static str {
        match self {
            TriggerRule::AllSuccess => "all_success",
            TriggerRule::AllFailed => "all_failed",
            TriggerRule::AllDone => "all_done",
            TriggerRule::OneSuccess => "one_success",
            TriggerRule::OneFailed => "one_failed",
            TriggerRule::NoneFailed => "none_failed",
            TriggerRule::NoneFailedMinOneSuccess => "none_failed_min_one_success",
        }
    }

    /// Returns the rule with this name, as written by [`as_str`](Self::as_str).
    pub fn parse(name: &str) -> Option<TriggerRule> {
        TriggerRule::ALL.into_iter().find(|rule| rule.as_str() == name)
    }
}

/// Counts of a node's upstream nodes by outcome, as recorded so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct UpstreamCounts {
    /// Number of upstream nodes, finished or not.
    pub upstream: u32,
    /// Number of upstream nodes that succeeded.
    pub success: u32,
    /// Number of upstream nodes that failed, in the sense of [`NodeOutcome::is_failure`].
    pub failed: u32,
    /// Number of upstream nodes that were skipped.
    pub skipped: u32,
}

impl UpstreamCounts {
    /// Counts an outcome.
    pub fn record(&mut self, outcome: NodeOutcome) {
        match outcome {
            NodeOutcome::Success => self.success += 1,
            NodeOutcome::Skipped => self.skipped += 1,
            _ => self.failed += 1,
        }
    }

    /// Returns whether all upstream nodes have finished.
    fn is_complete(&self) -> bool {
        self.success + self.failed + self.skipped >= self.upstream
    }
}

/// The decision of a trigger rule for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RuleDecision {
    /// The decision depends on upstream outcomes that are not known yet.
    Wait,
    /// The node may run.
    Run,
    /// The node never runs and gets this outcome.
    End(NodeOutcome),
}

impl TriggerRule {
    /// Decides by the outcomes counted so far. Further outcomes never change `Run` or turn `End` into another decision;
    /// they may only change the outcome in `End` from skipped to upstream failed.
    pub fn decide(self, counts: &UpstreamCounts) -> RuleDecision {
        use NodeOutcome::{Skipped, UpstreamFailed};
        use RuleDecision::{End, Run, Wait};
        if counts.upstream == 0 {
            return Run;
        }
        let is_complete = counts.is_complete();
        match self {
            TriggerRule::AllSuccess if counts.failed > 0 => End(UpstreamFailed),
            TriggerRule::AllSuccess if counts.skipped > 0 => End(Skipped),
            TriggerRule::AllFailed if counts.success + counts.skipped > 0 => End(Skipped),
            TriggerRule::OneSuccess if counts.success > 0 => Run,
            TriggerRule::OneSuccess if is_complete && counts.failed > 0 => End(UpstreamFailed),
            TriggerRule::OneSuccess if is_complete => End(Skipped),
            TriggerRule::OneFailed if counts.failed > 0 => Run,
            TriggerRule::OneFailed if is_complete => End(Skipped),
            TriggerRule::NoneFailed | TriggerRule::NoneFailedMinOneSuccess if counts.failed > 0 => {
                End(UpstreamFailed)
            }
            TriggerRule::NoneFailedMinOneSuccess if is_complete && counts.success == 0 => End(Skipped),
            _ if is_complete => Run,
            _ => Wait,
        }
    }
}

#[cfg(test)]
#[path = "tests/trigger_rule.rs"]
mod tests;
