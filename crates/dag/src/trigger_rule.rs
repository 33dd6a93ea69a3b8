//! Trigger rules, in Airflow's words: what the ends of a node's upstream nodes mean for it.

use serde::{Deserialize, Serialize};

/// How a node ended. Final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeOutcome {
    Success,
    /// Its tries were used up.
    Failed,
    /// It cannot run any more, since something before it failed.
    UpstreamFailed,
    /// It need not run: its rule did not call for it.
    Skipped,
    /// Somebody cancelled it, or its run.
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

    /// What rules call failed: whatever should have run to success and did not.
    pub fn is_failure(self) -> bool {
        matches!(self, NodeOutcome::Failed | NodeOutcome::UpstreamFailed | NodeOutcome::Cancelled)
    }
}

/// When a node runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TriggerRule {
    #[default]
    AllSuccess,
    AllFailed,
    AllDone,
    OneSuccess,
    OneFailed,
    NoneFailed,
    NoneFailedMinOneSuccess,
}

impl TriggerRule {
    pub const ALL: [TriggerRule; 7] = [
        TriggerRule::AllSuccess,
        TriggerRule::AllFailed,
        TriggerRule::AllDone,
        TriggerRule::OneSuccess,
        TriggerRule::OneFailed,
        TriggerRule::NoneFailed,
        TriggerRule::NoneFailedMinOneSuccess,
    ];

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

    pub fn parse(word: &str) -> Option<TriggerRule> {
        TriggerRule::ALL.into_iter().find(|rule| rule.as_str() == word)
    }
}

/// Ends of a node's upstream nodes so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct UpstreamCounts {
    pub upstream: u32,
    pub success: u32,
    pub failed: u32,
    pub skipped: u32,
}

impl UpstreamCounts {
    pub fn record(&mut self, outcome: NodeOutcome) {
        match outcome {
            NodeOutcome::Success => self.success += 1,
            NodeOutcome::Skipped => self.skipped += 1,
            _ => self.failed += 1,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.success + self.failed + self.skipped >= self.upstream
    }
}

/// What a rule says of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RuleDecision {
    Wait,
    Run,
    /// It will never run.
    End(NodeOutcome),
}

impl TriggerRule {
    /// Once it is `Run` or `End`, further ends leave it so; only which `End` may still change, from skipped to
    /// failed.
    pub fn decide(self, counts: &UpstreamCounts) -> RuleDecision {
        use NodeOutcome::{Skipped, UpstreamFailed};
        use RuleDecision::{End, Run, Wait};
        if counts.upstream == 0 {
            return Run;
        }
        let ended = counts.is_complete();
        match self {
            TriggerRule::AllSuccess if counts.failed > 0 => End(UpstreamFailed),
            TriggerRule::AllSuccess if counts.skipped > 0 => End(Skipped),
            TriggerRule::AllFailed if counts.success + counts.skipped > 0 => End(Skipped),
            TriggerRule::OneSuccess if counts.success > 0 => Run,
            TriggerRule::OneSuccess if ended && counts.failed > 0 => End(UpstreamFailed),
            TriggerRule::OneSuccess if ended => End(Skipped),
            TriggerRule::OneFailed if counts.failed > 0 => Run,
            TriggerRule::OneFailed if ended => End(Skipped),
            TriggerRule::NoneFailed | TriggerRule::NoneFailedMinOneSuccess if counts.failed > 0 => {
                End(UpstreamFailed)
            }
            TriggerRule::NoneFailedMinOneSuccess if ended && counts.success == 0 => End(Skipped),
            _ if ended => Run,
            _ => Wait,
        }
    }
}

#[cfg(test)]
#[path = "tests/trigger_rule.rs"]
mod tests;
