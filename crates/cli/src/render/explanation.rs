//! Renders why a job, or one of its tasks, is in its current state.

use anstyle::AnsiColor;
use olivelatch::protocol::operators::{Explanation, JobPhase};

use super::reasons::{reason_detail, reason_name, reason_remedy};
use super::{paint, value_or_unknown};

/// Renders the state, and each reason with its figures and what would change it.
pub fn explanation_text(explanation: &Explanation) -> String {
    let state = explanation.state.map_or("?", JobPhase::as_str);
    let task = explanation.task.map_or(String::new(), |task| format!(", task {task}"));
    let done = format!(
        "{} of {} tasks done",
        value_or_unknown(explanation.done),
        value_or_unknown(explanation.tasks)
    );
    let mut lines = vec![format!("{}{task}  {state}, {done}", explanation.job)];
    for reason in &explanation.reasons {
        lines.push(format!("  {}  {}", paint(reason_name(reason), AnsiColor::Cyan), reason_detail(reason)));
        lines.push(format!("      would change it: {}", reason_remedy(reason)));
    }
    lines.join("\n")
}
