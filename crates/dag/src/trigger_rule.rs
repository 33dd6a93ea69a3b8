//! Trigger rules, with Airflow's names: what the outcomes of a node's upstream nodes mean for it.

use serde::{Deserialize, Serialize};

/// How a node ended. Final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeOutcome {
    /// All its tasks finished.
    Success,
    /// A task had no attempts left.
    Failed,
    /// It cannot run, since an upstream node failed.
    UpstreamFailed,
    /// Its rule did not call for it.
    Skipped,
    /// A user cancelled it or its run.
    Cancelled,
}

impl NodeOutcome {
    /// As clients and records write it.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeOutcome::Success => "success",
            NodeOutcome::Failed => "failed",
            NodeOutcome::UpstreamFailed => "upstream_failed",
            NodeOutcome::Skipped => "skipped",
            NodeOutcome::Cancelled => "cancelled",
        }
    }

    /// What rules count as failed: every node that should have succeeded and did not.
    pub fn is_failure(self) -> bool {
        matches!(self, NodeOutcome::Failed | NodeOutcome::UpstreamFailed | NodeOutcome::Cancelled)
    }
}

/// When a node runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TriggerRule {
    /// All upstream nodes succeeded.
    #[default]
    AllSuccess,
    /// All upstream nodes failed.
    AllFailed,
    /// All upstream nodes ended, in whatever way.
    AllDone,
    /// One upstream node succeeded; the others need not have ended.
    OneSuccess,
    /// One upstream node failed; the others need not have ended.
    OneFailed,
    /// All upstream nodes succeeded or were skipped.
    NoneFailed,
    /// All upstream nodes succeeded or were skipped, and at least one succeeded.
    NoneFailedMinOneSuccess,
}

impl TriggerRule {
    /// All rules, for parsing and lists.
    pub const ALL: [TriggerRule; 7] = [
        TriggerRule::AllSuccess,
        TriggerRule::AllFailed,
        TriggerRule::AllDone,
        TriggerRule::OneSuccess,
        TriggerRule::OneFailed,
        TriggerRule::NoneFailed,
        TriggerRule::NoneFailedMinOneSuccess,
    ];

    /// As clients and records write it.
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

    /// The rule that [`as_str`](Self::as_str) writes so.
    pub fn parse(name: &str) -> Option<TriggerRule> {
        TriggerRule::ALL.into_iter().find(|rule| rule.as_str() == name)
    }
}

/// Outcomes of a node's upstream nodes so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct UpstreamCounts {
    /// How many upstream nodes there are.
    pub upstream: u32,
    /// How many succeeded.
    pub success: u32,
    /// How many failed, in the sense of [`NodeOutcome::is_failure`].
    pub failed: u32,
    /// How many were skipped.
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

    /// All upstream nodes have ended.
    fn is_complete(&self) -> bool {
        self.success + self.failed + self.skipped >= self.upstream
    }
}

/// What a rule decides for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RuleDecision {
    /// It depends on outcomes that are not known yet.
    Wait,
    /// It may run.
    Run,
    /// It never runs: its outcome is known.
    End(NodeOutcome),
}

impl TriggerRule {
    /// Once this is `Run` or `End`, further outcomes leave it so; only which `End` may still change, from skipped to
    /// failed.
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
