//! Trigger rules, in Airflow's words: what the ends of a node's upstream nodes mean for it.

use serde::{Deserialize, Serialize};

/// How a node ended. Final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
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

impl Outcome {
    /// As clients and records write it.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::Failed => "failed",
            Outcome::UpstreamFailed => "upstream_failed",
            Outcome::Skipped => "skipped",
            Outcome::Cancelled => "cancelled",
        }
    }

    /// What rules call failed: whatever should have run to success and did not.
    pub fn counts_as_failed(self) -> bool {
        matches!(self, Outcome::Failed | Outcome::UpstreamFailed | Outcome::Cancelled)
    }
}

/// When a node runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    #[default]
    AllSuccess,
    AllFailed,
    AllDone,
    OneSuccess,
    OneFailed,
    NoneFailed,
    NoneFailedMinOneSuccess,
}

impl Rule {
    pub const ALL: [Rule; 7] = [
        Rule::AllSuccess,
        Rule::AllFailed,
        Rule::AllDone,
        Rule::OneSuccess,
        Rule::OneFailed,
        Rule::NoneFailed,
        Rule::NoneFailedMinOneSuccess,
    ];

    pub fn word(self) -> &'static str {
        match self {
            Rule::AllSuccess => "all_success",
            Rule::AllFailed => "all_failed",
            Rule::AllDone => "all_done",
            Rule::OneSuccess => "one_success",
            Rule::OneFailed => "one_failed",
            Rule::NoneFailed => "none_failed",
            Rule::NoneFailedMinOneSuccess => "none_failed_min_one_success",
        }
    }

    pub fn parse(word: &str) -> Option<Rule> {
        Rule::ALL.into_iter().find(|rule| rule.word() == word)
    }
}

/// Ends of a node's upstream nodes so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    pub upstream: u32,
    pub success: u32,
    pub failed: u32,
    pub skipped: u32,
}

impl Counts {
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.success += 1,
            Outcome::Skipped => self.skipped += 1,
            _ => self.failed += 1,
        }
    }

    pub fn all_ended(&self) -> bool {
        self.success + self.failed + self.skipped >= self.upstream
    }
}

/// What a rule says of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    Wait,
    Run,
    /// It will never run.
    End(Outcome),
}

impl Rule {
    /// Once it is `Run` or `End`, further ends leave it so; only which `End` may still change, from skipped to
    /// failed.
    pub fn verdict(self, counts: &Counts) -> Verdict {
        use Outcome::{Skipped, UpstreamFailed};
        use Verdict::{End, Run, Wait};
        if counts.upstream == 0 {
            return Run;
        }
        let ended = counts.all_ended();
        match self {
            Rule::AllSuccess if counts.failed > 0 => End(UpstreamFailed),
            Rule::AllSuccess if counts.skipped > 0 => End(Skipped),
            Rule::AllFailed if counts.success + counts.skipped > 0 => End(Skipped),
            Rule::OneSuccess if counts.success > 0 => Run,
            Rule::OneSuccess if ended && counts.failed > 0 => End(UpstreamFailed),
            Rule::OneSuccess if ended => End(Skipped),
            Rule::OneFailed if counts.failed > 0 => Run,
            Rule::OneFailed if ended => End(Skipped),
            Rule::NoneFailed | Rule::NoneFailedMinOneSuccess if counts.failed > 0 => End(UpstreamFailed),
            Rule::NoneFailedMinOneSuccess if ended && counts.success == 0 => End(Skipped),
            _ if ended => Run,
            _ => Wait,
        }
    }
}

#[cfg(test)]
#[path = "tests/rule.rs"]
mod tests;
