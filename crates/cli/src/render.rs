//! Words and tables for people. Colours only on a terminal (`anstream` strips them elsewhere).

use std::time::{SystemTime, UNIX_EPOCH};

use anstyle::{AnsiColor, Style};
use comfy_table::{Cell, CellAlignment, Table, presets};
use olivelatch::protocol::graphs::{DagRunState, DagRunSummary};
use olivelatch::protocol::operators::{
    AnswerSource, ControllerStatus, Explanation, InstanceOfferView, JobDetail, JobEventKind, JobEventList,
    JobPhase, JobSummary, LeaderStatus, MachineTypeCapacity, StateReason,
};

pub fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head);
    table
}

fn paint(text: &str, colour: AnsiColor) -> String {
    let style = Style::new().fg_color(Some(colour.into()));
    format!("{style}{text}{style:#}")
}

fn state_colour(state: JobPhase) -> AnsiColor {
    match state {
        JobPhase::Pending => AnsiColor::Yellow,
        JobPhase::Running => AnsiColor::Cyan,
        JobPhase::Done => AnsiColor::Green,
        JobPhase::Cancelled => AnsiColor::Magenta,
    }
}

/// What is not known is shown as `?`, never as something else.
fn value_or_unknown<T: ToString>(value: Option<T>) -> String {
    value.map_or("?".into(), |value| value.to_string())
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A span as people say it.
pub fn duration_text(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        10_000..120_000 => format!("{} s", ms / 1000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        7_200_000..172_800_000 => format!("{} h", ms / 3_600_000),
        _ => format!("{} days", ms / 86_400_000),
    }
}

fn age_text(at_ms: Option<u64>) -> String {
    at_ms.map_or("?".into(), |at| format!("{} ago", duration_text(now_ms().saturating_sub(at))))
}

fn run_colour(state: DagRunState) -> AnsiColor {
    match state {
        DagRunState::Success => AnsiColor::Green,
        DagRunState::Failed | DagRunState::Cancelled => AnsiColor::Red,
        DagRunState::Running => AnsiColor::Cyan,
        DagRunState::Waiting | DagRunState::Cancelling => AnsiColor::Yellow,
    }
}

pub fn runs_table(rows: &[DagRunSummary]) -> String {
    let mut table = table(&["RUN", "GRAPH", "STATE", "NODES", "OF THEM", "ACCEPTED"]);
    for row in rows {
        let states: Vec<String> =
            row.node_states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        table.add_row(vec![
            Cell::new(&row.run),
            Cell::new(&row.graph),
            Cell::new(row.state.as_str()),
            Cell::new(row.nodes).set_alignment(CellAlignment::Right),
            Cell::new(states.join(", ")),
            Cell::new(age_text(Some(row.accepted_ms))),
        ]);
    }
    // As with jobs, colours take no room: they are put in where a row's state stands.
    let text = table.to_string();
    let (head, lines) = text.split_once('\n').unwrap_or((&text, ""));
    let paint_row = |(line, row): (&str, &DagRunSummary)| {
        let word = format!(" {} ", row.state.as_str());
        line.replacen(&word, &format!(" {} ", paint(row.state.as_str(), run_colour(row.state))), 1)
    };
    let painted: Vec<String> = lines.lines().zip(rows).map(paint_row).collect();
    std::iter::once(head.to_string()).chain(painted).collect::<Vec<_>>().join("\n")
}

pub fn jobs_table(rows: &[JobSummary]) -> String {
    let mut table = table(&["JOB", "STATE", "TEAM", "CLASS", "DONE", "RUNNING", "ACCEPTED", "TOOK"]);
    for row in rows {
        let took =
            row.accepted_ms.zip(row.finished_ms).map(|(from, to)| duration_text(to.saturating_sub(from)));
        let took = if row.state.is_terminal() { value_or_unknown(took) } else { "-".into() };
        let done = format!("{}/{}", value_or_unknown(row.done), value_or_unknown(row.tasks));
        table.add_row(vec![
            Cell::new(&row.id),
            Cell::new(row.state.as_str()),
            Cell::new(value_or_unknown(row.team.clone())),
            Cell::new(value_or_unknown(row.class.clone())),
            Cell::new(done).set_alignment(CellAlignment::Right),
            Cell::new(value_or_unknown(row.running)).set_alignment(CellAlignment::Right),
            Cell::new(age_text(row.accepted_ms)),
            Cell::new(took).set_alignment(CellAlignment::Right),
        ]);
    }
    colour_states(&table.to_string())
}

/// Colours are put in after the columns are laid out, as their codes take no room.
fn colour_states(text: &str) -> String {
    let states = [JobPhase::Pending, JobPhase::Running, JobPhase::Done, JobPhase::Cancelled];
    let line = |line: &str| {
        let state = states.into_iter().find(|state| line.split_whitespace().nth(1) == Some(state.as_str()));
        state.map_or(line.to_string(), |s| line.replacen(s.as_str(), &paint(s.as_str(), state_colour(s)), 1))
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}

pub fn job_detail(detail: &JobDetail) -> String {
    let row = &detail.summary;
    let mut lines = vec![format!("{}  {}", row.id, paint(row.state.as_str(), state_colour(row.state)))];
    lines.push(format!(
        "team {}, class {}, {} of {} tasks done, {} running",
        value_or_unknown(row.team.clone()),
        value_or_unknown(row.class.clone()),
        value_or_unknown(row.done),
        value_or_unknown(row.tasks),
        value_or_unknown(row.running)
    ));
    let ended = row.finished_ms.map_or(String::new(), |at| format!(", ended {}", age_text(Some(at))));
    lines.push(format!(
        "accepted {}, first task ran {}{ended}",
        age_text(row.accepted_ms),
        row.first_start_ms.map_or("at an unknown time or not yet".into(), |at| age_text(Some(at)))
    ));
    if let Some(spec) = &detail.spec {
        let image = if spec.image_gb > 0.0 {
            format!(", image {} of {} GB", spec.image, spec.image_gb)
        } else {
            String::new()
        };
        lines.push(format!(
            "each task: {} CPUs, {} GPUs, {} GB{image}, about {} s",
            spec.cpus, spec.gpus, spec.memory_gb, spec.estimated_run_s
        ));
    }
    if detail.source == AnswerSource::Store && !row.state.is_terminal() {
        lines.push(
            "told from the records, as no leader answers: what tasks do on their machines is unknown".into(),
        );
    }
    if !detail.tasks.is_empty() {
        let mut table = table(&["TASK", "STATE", "ATTEMPT", "MACHINES"]);
        for task in &detail.tasks {
            let attempt = task.attempt.map_or("-".into(), |attempt| attempt.to_string());
            table.add_row(vec![
                task.task.to_string(),
                task.state.as_str().into(),
                attempt,
                task.machines.join(" "),
            ]);
        }
        lines.push(table.to_string());
    }
    if let Some(next) = detail.next {
        lines.push(format!("more tasks follow after {next}"));
    }
    lines.join("\n")
}

fn plural(count: u64, one: &str, many: &str) -> String {
    if count == 1 { format!("1 {one}") } else { format!("{count} {many}") }
}

fn tasks(count: u32) -> String {
    plural(u64::from(count), "task", "tasks")
}

fn limit_text(limit: Option<f64>) -> String {
    limit.map_or("no limit".into(), |limit| format!("{limit}"))
}

fn machine_type_capacity(kind: &MachineTypeCapacity) -> String {
    let kept = [
        (kind.without_capacity, "without room"),
        (kind.cordoned, "parked"),
        (kind.unschedulable, "closed"),
        (kind.excluded_after_failure, "failed the job before"),
        (kind.excluded_by_zone, "excluded by its zone rule"),
    ];
    let kept: Vec<String> = kept
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{count} {what}"))
        .collect();
    format!(
        "{} of type {}: {}; most free on one: {} CPUs, {} GB",
        plural(u64::from(kind.machines), "machine", "machines"),
        kind.machine_type,
        kept.join(", "),
        kind.max_free_cpus,
        kind.max_free_memory_gb
    )
}

fn offers_text(offers: &[InstanceOfferView]) -> String {
    let one = |offer: &InstanceOfferView| {
        let spot = if offer.spot { " (spot)" } else { "" };
        let rests = offer.backoff_s.map_or(String::new(), |rests| format!(", asked again in {rests:.0} s"));
        let count = if offer.count > 0 { format!("{} ", offer.count) } else { String::new() };
        format!("{count}{} in {}{spot}{rests}", offer.machine_type, offer.zone)
    };
    offers.iter().map(one).collect::<Vec<_>>().join("; ")
}

/// The word of a reason as the interface has it, what it says with its figures, and what would change it.
pub fn reason_texts(reason: &StateReason) -> (&'static str, String, &'static str) {
    match reason {
        StateReason::Terminal { state } => {
            ("ended", format!("it is over: {}", state.as_str()), "nothing; it stays so")
        }
        StateReason::PersistingResult => {
            ("recording", "all tasks are done, the end is being written".into(), "a moment")
        }
        StateReason::Running { tasks: count } => {
            ("running", format!("{} running or saving", tasks(*count)), "their ends")
        }
        StateReason::Starting { tasks: count } => (
            "starting",
            format!("{} bound to a machine, the start is being written or on its way", tasks(*count)),
            "a moment",
        ),
        StateReason::ImageFetch { tasks: count, image, image_gb, max_remaining_s: longest_s } => (
            "image_fetch",
            format!("{} wait for image {image} ({image_gb} GB), {longest_s:.1} s so far", tasks(*count)),
            "the fetch",
        ),
        StateReason::WaitingForPeers { tasks: count } => {
            ("gathering", format!("{} of the gang wait for the others", tasks(*count)), "the last of them")
        }
        StateReason::RetryWait { tasks: count, retry_in_s: next_s, failed_on } => {
            let on = if failed_on.is_empty() {
                String::new()
            } else {
                format!("; failed on {}", failed_on.join(", "))
            };
            (
                "retry_wait",
                format!("{} failed or refused, tried again from {next_s:.1} s on{on}", tasks(*count)),
                "the wait; if it fails on every machine, the job itself (olivelatchctl logs)",
            )
        }
        StateReason::WaitingForUpstream {
            run,
            trigger_rule: rule,
            unfinished: open,
            first_unfinished: first,
        } => (
            "upstream",
            format!(
                "a node of {run} under the rule {rule}; {} before it not over: {}",
                plural(u64::from(*open), "node is", "nodes are"),
                none_or(first.join(", "))
            ),
            "their ends (olivelatchctl graph show)",
        ),
        StateReason::ActiveRunLimit { run, max_active_runs: most_runs, earlier_runs: before } => (
            "run_waits",
            format!(
                "{run} waits for its turn: of its graph {most_runs} at a time; under way: {}",
                none_or(before.join(", "))
            ),
            "the end of a run before it",
        ),
        StateReason::PoolFull { pool, used, slots } => (
            "pool_full",
            format!("{used} of {slots} slots of pool {pool} are taken"),
            "ends of other tasks in the pool, or more slots",
        ),
        StateReason::TeamLimit { team, used_cpus, limit_cpus, used_gpus, limit_gpus, used_by: by } => {
            let by: Vec<String> =
                by.iter().map(|share| format!("{} ({} CPUs)", share.job, share.cpus)).collect();
            let gpus = limit_gpus.map_or(String::new(), |limit| format!(" and {used_gpus} of {limit} GPUs"));
            let limit = limit_text(*limit_cpus);
            (
                "team_limit",
                format!("team {team} uses {used_cpus} of {limit} CPUs{gpus}: {}", by.join(", ")),
                "ends of these jobs, or a higher limit of the team",
            )
        }
        StateReason::QueuedBehind { jobs, tasks, cpu_seconds, first_jobs: first } => (
            "behind",
            format!(
                "{} with {tasks} tasks ({cpu_seconds:.0} CPU seconds) come first: {}",
                plural(u64::from(*jobs), "job", "jobs"),
                first.join(", ")
            ),
            "their ends, or a higher urgency",
        ),
        StateReason::NoEligibleMachine {
            requested_cpus: needs_cpus,
            requested_memory_gb: needs_memory_gb,
            machines,
            wrong_machine_type: wrong_kind,
            wrong_zone,
            spot_not_allowed: wrong_spot,
            too_small,
            ..
        } => (
            "no_machine",
            format!(
                "no machine that it may use is up (a task needs {needs_cpus} CPUs, {needs_memory_gb} GB); \
                 of {machines} up, {wrong_kind} are of another type, {wrong_zone} in another zone, {wrong_spot} spot, {too_small} too small"
            ),
            "a rental, or wider constraints of the job",
        ),
        StateReason::InsufficientCapacity {
            requested_cpus: needs_cpus,
            requested_memory_gb: needs_memory_gb,
            machine_types: kinds,
            ..
        } => (
            "no_room",
            format!(
                "a task needs {needs_cpus} CPUs, {needs_memory_gb} GB; {}",
                kinds.iter().map(machine_type_capacity).collect::<Vec<_>>().join("; ")
            ),
            "ends of other tasks, or more machines",
        ),
        StateReason::HeldForGang { machines, gangs } => (
            "held_for_gang",
            format!(
                "{} with room held for {}",
                plural(u64::from(*machines), "machine is", "machines are"),
                gangs.join(", ")
            ),
            "the gang's start",
        ),
        StateReason::GangInsufficientCapacity { required: needs, schedulable: could_start, zone } => {
            let zone = zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
            (
                "gang_lacks",
                format!(
                    "the gang needs room for {needs} tasks at once, there is room for {could_start}{zone}"
                ),
                "ends of other tasks, or more machines",
            )
        }
        StateReason::Provisioning { offers: open, booting } => (
            "booking",
            format!(
                "{} boot; being rented: {}",
                plural(u64::from(*booting), "machine", "machines"),
                none_or(offers_text(open))
            ),
            "their start",
        ),
        StateReason::CloudRejected { offers: refused } => (
            "cloud_refused",
            format!("the cloud had no more of {}", offers_text(refused)),
            "capacity of the cloud",
        ),
        StateReason::Schedulable { machines } => (
            "due",
            format!("{} may start it now", plural(u64::from(*machines), "machine", "machines")),
            "a moment",
        ),
        StateReason::KvUnreachable { since_s } => (
            "state_unreachable",
            format!("this controller has not reached the state service for {since_s:.1} s"),
            "its return; another controller may reach it",
        ),
        StateReason::NoLeader { unreachable_leader: silent } => {
            let who = silent
                .as_ref()
                .map_or("nobody leads".into(), |node| format!("{node} led, and is not heard from"));
            ("no_leader", who, "a takeover, some seconds")
        }
    }
}

fn none_or(text: String) -> String {
    if text.is_empty() { "none".into() } else { text }
}

pub fn explanation(explanation: &Explanation) -> String {
    let state = explanation.state.map_or("?", JobPhase::as_str);
    let task = explanation.task.map_or(String::new(), |task| format!(", task {task}"));
    let done = format!(
        "{} of {} tasks done",
        value_or_unknown(explanation.done),
        value_or_unknown(explanation.tasks)
    );
    let mut lines = vec![format!("{}{task}  {state}, {done}", explanation.job)];
    for one in &explanation.reasons {
        let (word, says, change) = reason_texts(one);
        lines.push(format!("  {}  {says}", paint(word, AnsiColor::Cyan)));
        lines.push(format!("      would change it: {change}"));
    }
    lines.join("\n")
}

fn event_text(event: JobEventKind) -> String {
    // The words are those of the interface and its page.
    serde_json::to_value(event).ok().and_then(|word| word.as_str().map(String::from)).unwrap_or_default()
}

pub fn events_table(list: &JobEventList) -> String {
    let mut table = table(&["AGO", "EVENT", "TASKS", "FIRST", "MACHINE"]);
    if list.truncated {
        table.add_row(vec!["", "(earlier events are unknown: another node led, or they were too many)"]);
    }
    for event in &list.events {
        let count = if event.tasks == 0 { "-".into() } else { event.tasks.to_string() };
        table.add_row(vec![
            duration_text(now_ms().saturating_sub(event.at_ms)),
            event_text(event.kind),
            count,
            event.first_task.map_or("-".into(), |task| task.to_string()),
            event.machine.clone().unwrap_or("-".into()),
        ]);
    }
    table.to_string()
}

pub fn controllers_table(statuses: &[(String, Option<ControllerStatus>)]) -> String {
    let mut rows = table(&["CONTROLLER", "NODE", "STATE", "LIVE", "ENDED", "REVISION", "BEHIND", "UP"]);
    for (addr, status) in statuses {
        let Some(status) = status else {
            rows.add_row(vec![addr.as_str(), "?", "does not answer", "?", "?", "?", "?", "?"]);
            continue;
        };
        let role = match (status.is_leader, status.ready, status.kv_reachable) {
            (true, ..) => "leads",
            (_, _, false) => "without state service",
            (_, true, _) => "follows",
            _ => "not ready",
        };
        let behind = status.cache_age_s.map(|age| format!("{age:.1} s"));
        rows.add_row(vec![
            addr.clone(),
            status.controller.clone(),
            role.into(),
            status.jobs_active.to_string(),
            status.jobs_terminal.to_string(),
            status.revision.to_string(),
            value_or_unknown(behind),
            duration_text((status.uptime_s * 1000.0) as u64),
        ]);
    }
    let work = statuses.iter().filter_map(|(_, status)| status.as_ref()?.leader_status.as_ref()).next();
    format!("{rows}\n{}", work.map_or("nobody leads: queues and machines are unknown".into(), leader_lines))
}

fn leader_lines(work: &LeaderStatus) -> String {
    let mut lines = vec![
        String::new(),
        format!(
            "machines {} up, {} booting, {} silent; CPUs {:.1} of {:.1} used; {} tasks on machines",
            work.machines_up,
            work.machines_booting,
            work.machines_unreachable,
            work.cpus_used,
            work.cpus,
            work.tasks_placed
        ),
        format!(
            "waiting: {} shared, {} dedicated, {} that no machine may take, {} gangs",
            work.queued_shared, work.queued_dedicated, work.queued_backlog, work.gangs_waiting
        ),
        format!(
            "since this takeover: {} starts, {} steals of {} tasks, {} spilled, {} stopped for others, {} machines lost",
            work.tasks_bound,
            work.steals,
            work.stolen_tasks,
            work.spilled_tasks,
            work.preempted_tasks,
            work.machines_lost
        ),
    ];
    if !work.teams.is_empty() {
        let mut teams = table(&["TEAM", "CPUS USED", "GUARANTEED", "LIMIT"]);
        for team in &work.teams {
            let limit = team.limit_cpus.map_or("-".into(), |limit| limit.to_string());
            teams.add_row(vec![
                team.team.clone(),
                team.used_cpus.to_string(),
                team.guaranteed_cpus.to_string(),
                limit,
            ]);
        }
        lines.push(teams.to_string());
    }
    lines.join("\n")
}

#[cfg(test)]
#[path = "tests/render.rs"]
mod tests;
