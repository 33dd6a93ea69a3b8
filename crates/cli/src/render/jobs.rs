//! Renders lists of jobs, and one job with its tasks.

use anstyle::AnsiColor;
use comfy_table::{Cell, CellAlignment};
use olivelatch::protocol::operators::{JobDetail, JobPhase, JobSummary, ResponseSource};

use super::{age_text, duration_text, new_table, paint, value_or_dash, value_or_unknown};

const JOB_PHASES: [JobPhase; 4] = [JobPhase::Pending, JobPhase::Running, JobPhase::Done, JobPhase::Cancelled];

fn state_colour(state: JobPhase) -> AnsiColor {
    match state {
        JobPhase::Pending => AnsiColor::Yellow,
        JobPhase::Running => AnsiColor::Cyan,
        JobPhase::Done => AnsiColor::Green,
        JobPhase::Cancelled => AnsiColor::Magenta,
    }
}

fn painted_state(state: JobPhase) -> String {
    paint(state.as_str(), state_colour(state))
}

/// Renders a list of jobs, one per line.
pub fn jobs_table(rows: &[JobSummary]) -> String {
    let mut table = new_table(&["JOB", "STATE", "TEAM", "CLASS", "DONE", "RUNNING", "ACCEPTED", "TOOK"]);
    for row in rows {
        table.add_row(vec![
            Cell::new(&row.id),
            Cell::new(row.state.as_str()),
            Cell::new(value_or_unknown(row.team.clone())),
            Cell::new(value_or_unknown(row.class.clone())),
            Cell::new(format!("{}/{}", value_or_unknown(row.done), value_or_unknown(row.tasks)))
                .set_alignment(CellAlignment::Right),
            Cell::new(value_or_unknown(row.running)).set_alignment(CellAlignment::Right),
            Cell::new(age_text(row.accepted_ms)),
            Cell::new(turnaround_text(row)).set_alignment(CellAlignment::Right),
        ]);
    }
    colour_states(&table.to_string())
}

/// Renders the time from acceptance to the terminal state; `-` while the job is not finished.
fn turnaround_text(row: &JobSummary) -> String {
    if !row.state.is_terminal() {
        return "-".into();
    }
    let turnaround_ms =
        row.accepted_ms.zip(row.finished_ms).map(|(accepted, finished)| finished.saturating_sub(accepted));
    value_or_unknown(turnaround_ms.map(duration_text))
}

/// Colours the states, which are in the second column, after the table is laid out, as colour codes in a cell would
/// widen its column.
fn colour_states(text: &str) -> String {
    let colour_line = |line: &str| {
        let second_column = line.split_whitespace().nth(1);
        match JOB_PHASES.into_iter().find(|state| second_column == Some(state.as_str())) {
            Some(state) => line.replacen(state.as_str(), &painted_state(state), 1),
            None => line.to_string(),
        }
    };
    text.lines().map(colour_line).collect::<Vec<_>>().join("\n")
}

/// Renders one job: its task counts, its times, the resources per task, and its unfinished tasks.
pub fn job_detail_text(detail: &JobDetail) -> String {
    let mut lines = summary_lines(&detail.summary);
    lines.extend(task_resources_line(detail));
    if detail.source == ResponseSource::Store && !detail.summary.state.is_terminal() {
        lines.push(
            "from the stored records, as no leader responds: the state of tasks on their machines is unknown"
                .into(),
        );
    }
    if !detail.tasks.is_empty() {
        lines.push(tasks_table(detail));
    }
    if let Some(next) = detail.next {
        lines.push(format!("more tasks follow after task {next}"));
    }
    lines.join("\n")
}

fn summary_lines(row: &JobSummary) -> Vec<String> {
    let finished = row
        .finished_ms
        .map_or(String::new(), |finished_ms| format!(", finished {}", age_text(Some(finished_ms))));
    let first_start = row
        .first_start_ms
        .map_or("at an unknown time, or not yet".into(), |first_start_ms| age_text(Some(first_start_ms)));
    vec![
        format!("{}  {}", row.id, painted_state(row.state)),
        format!(
            "team {}, class {}, {} of {} tasks done, {} running",
            value_or_unknown(row.team.clone()),
            value_or_unknown(row.class.clone()),
            value_or_unknown(row.done),
            value_or_unknown(row.tasks),
            value_or_unknown(row.running)
        ),
        format!("accepted {}, first task started {first_start}{finished}", age_text(row.accepted_ms)),
    ]
}

fn task_resources_line(detail: &JobDetail) -> Option<String> {
    let spec = detail.spec.as_ref()?;
    let image = if spec.image_gb > 0.0 {
        format!(", image {} of {} GB", spec.image, spec.image_gb)
    } else {
        String::new()
    };
    Some(format!(
        "each task: {} CPUs, {} GPUs, {} GB{image}, about {} s",
        spec.cpus, spec.gpus, spec.memory_gb, spec.estimated_run_s
    ))
}

fn tasks_table(detail: &JobDetail) -> String {
    let mut table = new_table(&["TASK", "STATE", "ATTEMPT", "MACHINES"]);
    for task in &detail.tasks {
        table.add_row(vec![
            task.task.to_string(),
            task.state.as_str().into(),
            value_or_dash(task.attempt),
            task.machines.join(" "),
        ]);
    }
    table.to_string()
}
