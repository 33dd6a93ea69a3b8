//! Words and tables for people. Colours only on a terminal (`anstream` strips them elsewhere).

use std::time::{SystemTime, UNIX_EPOCH};

use anstyle::{AnsiColor, Style};
use comfy_table::{Cell, CellAlignment, Table, presets};
use olivelatch::protocol::graphs::{RunRow, RunState};
use olivelatch::protocol::operators::{
    EventList, EventWord, Explanation, JobDetail, JobRow, JobState, KindRoom, LeaderStatus, NodeStatus,
    OfferView, Reason, Source,
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

fn state_colour(state: JobState) -> AnsiColor {
    match state {
        JobState::Pending => AnsiColor::Yellow,
        JobState::Running => AnsiColor::Cyan,
        JobState::Done => AnsiColor::Green,
        JobState::Withdrawn => AnsiColor::Magenta,
    }
}

/// What is not known is shown as `?`, never as something else.
fn known<T: ToString>(value: Option<T>) -> String {
    value.map_or("?".into(), |value| value.to_string())
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A span as people say it.
pub fn span(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        10_000..120_000 => format!("{} s", ms / 1000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        7_200_000..172_800_000 => format!("{} h", ms / 3_600_000),
        _ => format!("{} days", ms / 86_400_000),
    }
}

fn ago(at_ms: Option<u64>) -> String {
    at_ms.map_or("?".into(), |at| format!("{} ago", span(now_ms().saturating_sub(at))))
}

fn run_colour(state: RunState) -> AnsiColor {
    match state {
        RunState::Success => AnsiColor::Green,
        RunState::Failed | RunState::Cancelled => AnsiColor::Red,
        RunState::Running => AnsiColor::Cyan,
        RunState::Waiting | RunState::Cancelling => AnsiColor::Yellow,
    }
}

pub fn runs(rows: &[RunRow]) -> String {
    let mut table = table(&["RUN", "GRAPH", "STATE", "NODES", "OF THEM", "ACCEPTED"]);
    for row in rows {
        let states: Vec<String> =
            row.states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        table.add_row(vec![
            Cell::new(&row.run),
            Cell::new(&row.graph),
            Cell::new(row.state.word()),
            Cell::new(row.nodes).set_alignment(CellAlignment::Right),
            Cell::new(states.join(", ")),
            Cell::new(ago(Some(row.accepted_ms))),
        ]);
    }
    // As with jobs, colours take no room: they are put in where a row's state stands.
    let text = table.to_string();
    let (head, lines) = text.split_once('\n').unwrap_or((&text, ""));
    let paint_row = |(line, row): (&str, &RunRow)| {
        let word = format!(" {} ", row.state.word());
        line.replacen(&word, &format!(" {} ", paint(row.state.word(), run_colour(row.state))), 1)
    };
    let painted: Vec<String> = lines.lines().zip(rows).map(paint_row).collect();
    std::iter::once(head.to_string()).chain(painted).collect::<Vec<_>>().join("\n")
}

pub fn jobs(rows: &[JobRow]) -> String {
    let mut table = table(&["JOB", "STATE", "TEAM", "CLASS", "DONE", "RUNNING", "ACCEPTED", "TOOK"]);
    for row in rows {
        let took = row.accepted_ms.zip(row.ended_ms).map(|(from, to)| span(to.saturating_sub(from)));
        let took = if row.state.ended() { known(took) } else { "-".into() };
        let done = format!("{}/{}", known(row.done), known(row.tasks));
        table.add_row(vec![
            Cell::new(&row.id),
            Cell::new(row.state.word()),
            Cell::new(known(row.team.clone())),
            Cell::new(known(row.class.clone())),
            Cell::new(done).set_alignment(CellAlignment::Right),
            Cell::new(known(row.running)).set_alignment(CellAlignment::Right),
            Cell::new(ago(row.accepted_ms)),
            Cell::new(took).set_alignment(CellAlignment::Right),
        ]);
    }
    colour_states(&table.to_string())
}

/// Colours are put in after the columns are laid out, as their codes take no room.
fn colour_states(text: &str) -> String {
    let states = [JobState::Pending, JobState::Running, JobState::Done, JobState::Withdrawn];
    let line = |line: &str| {
        let state = states.into_iter().find(|state| line.split_whitespace().nth(1) == Some(state.word()));
        state.map_or(line.to_string(), |s| line.replacen(s.word(), &paint(s.word(), state_colour(s)), 1))
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}

pub fn detail(detail: &JobDetail) -> String {
    let row = &detail.row;
    let mut lines = vec![format!("{}  {}", row.id, paint(row.state.word(), state_colour(row.state)))];
    lines.push(format!(
        "team {}, class {}, {} of {} tasks done, {} running",
        known(row.team.clone()),
        known(row.class.clone()),
        known(row.done),
        known(row.tasks),
        known(row.running)
    ));
    let ended = row.ended_ms.map_or(String::new(), |at| format!(", ended {}", ago(Some(at))));
    lines.push(format!(
        "accepted {}, first task ran {}{ended}",
        ago(row.accepted_ms),
        row.first_start_ms.map_or("at an unknown time or not yet".into(), |at| ago(Some(at)))
    ));
    if let Some(spec) = &detail.spec {
        let image = if spec.image_gb > 0.0 {
            format!(", image {} of {} GB", spec.image, spec.image_gb)
        } else {
            String::new()
        };
        lines.push(format!(
            "each task: {} CPUs, {} GPUs, {} GB{image}, about {} s",
            spec.cpus, spec.gpus, spec.memory_gb, spec.guess_s
        ));
    }
    if detail.source == Source::Records && !row.state.ended() {
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
                task.state.word().into(),
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

fn limit_of(limit: Option<f64>) -> String {
    limit.map_or("no limit".into(), |limit| format!("{limit}"))
}

fn room(kind: &KindRoom) -> String {
    let kept = [
        (kind.full, "without room"),
        (kind.parked, "parked"),
        (kind.closed, "closed"),
        (kind.failed_here, "failed the job before"),
        (kind.zone_rule, "excluded by its zone rule"),
    ];
    let kept: Vec<String> = kept
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{count} {what}"))
        .collect();
    format!(
        "{} of type {}: {}; most free on one: {} CPUs, {} GB",
        plural(u64::from(kind.machines), "machine", "machines"),
        kind.kind,
        kept.join(", "),
        kind.most_free_cpus,
        kind.most_free_memory_gb
    )
}

fn offers(offers: &[OfferView]) -> String {
    let one = |offer: &OfferView| {
        let spot = if offer.spot { " (spot)" } else { "" };
        let rests = offer.rests_s.map_or(String::new(), |rests| format!(", asked again in {rests:.0} s"));
        let count = if offer.count > 0 { format!("{} ", offer.count) } else { String::new() };
        format!("{count}{} in {}{spot}{rests}", offer.kind, offer.zone)
    };
    offers.iter().map(one).collect::<Vec<_>>().join("; ")
}

/// The word of a reason as the interface has it, what it says with its figures, and what would change it.
pub fn reason(reason: &Reason) -> (&'static str, String, &'static str) {
    match reason {
        Reason::Ended { state } => ("ended", format!("it is over: {}", state.word()), "nothing; it stays so"),
        Reason::Recording => ("recording", "all tasks are done, the end is being written".into(), "a moment"),
        Reason::Running { tasks: count } => {
            ("running", format!("{} running or saving", tasks(*count)), "their ends")
        }
        Reason::Starting { tasks: count } => (
            "starting",
            format!("{} bound to a machine, the start is being written or on its way", tasks(*count)),
            "a moment",
        ),
        Reason::ImageFetch { tasks: count, image, image_gb, longest_s } => (
            "image_fetch",
            format!("{} wait for image {image} ({image_gb} GB), {longest_s:.1} s so far", tasks(*count)),
            "the fetch",
        ),
        Reason::Gathering { tasks: count } => {
            ("gathering", format!("{} of the gang wait for the others", tasks(*count)), "the last of them")
        }
        Reason::RetryWait { tasks: count, next_s, failed_on } => {
            let on = if failed_on.is_empty() {
                String::new()
            } else {
                format!("; failed on {}", failed_on.join(", "))
            };
            (
                "retry_wait",
                format!("{} failed or refused, tried again from {next_s:.1} s on{on}", tasks(*count)),
                "the wait; if it fails on every machine, the job itself (latch logs)",
            )
        }
        Reason::Upstream { run, rule, open, first } => (
            "upstream",
            format!(
                "a node of {run} under the rule {rule}; {} before it not over: {}",
                plural(u64::from(*open), "node is", "nodes are"),
                none_or(first.join(", "))
            ),
            "their ends (latch graph show)",
        ),
        Reason::RunWaits { run, most_runs, before } => (
            "run_waits",
            format!(
                "{run} waits for its turn: of its graph {most_runs} at a time; under way: {}",
                none_or(before.join(", "))
            ),
            "the end of a run before it",
        ),
        Reason::PoolFull { pool, used, slots } => (
            "pool_full",
            format!("{used} of {slots} slots of pool {pool} are taken"),
            "ends of other tasks in the pool, or more slots",
        ),
        Reason::TeamLimit { team, used_cpus, limit_cpus, used_gpus, limit_gpus, by } => {
            let by: Vec<String> =
                by.iter().map(|share| format!("{} ({} CPUs)", share.job, share.cpus)).collect();
            let gpus = limit_gpus.map_or(String::new(), |limit| format!(" and {used_gpus} of {limit} GPUs"));
            let limit = limit_of(*limit_cpus);
            (
                "team_limit",
                format!("team {team} uses {used_cpus} of {limit} CPUs{gpus}: {}", by.join(", ")),
                "ends of these jobs, or a higher limit of the team",
            )
        }
        Reason::Behind { jobs, tasks, cpu_seconds, first } => (
            "behind",
            format!(
                "{} with {tasks} tasks ({cpu_seconds:.0} CPU seconds) come first: {}",
                plural(u64::from(*jobs), "job", "jobs"),
                first.join(", ")
            ),
            "their ends, or a higher urgency",
        ),
        Reason::NoMachine {
            needs_cpus,
            needs_memory_gb,
            machines,
            wrong_kind,
            wrong_zone,
            wrong_spot,
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
        Reason::NoRoom { needs_cpus, needs_memory_gb, kinds, .. } => (
            "no_room",
            format!(
                "a task needs {needs_cpus} CPUs, {needs_memory_gb} GB; {}",
                kinds.iter().map(room).collect::<Vec<_>>().join("; ")
            ),
            "ends of other tasks, or more machines",
        ),
        Reason::HeldForGang { machines, gangs } => (
            "held_for_gang",
            format!(
                "{} with room held for {}",
                plural(u64::from(*machines), "machine is", "machines are"),
                gangs.join(", ")
            ),
            "the gang's start",
        ),
        Reason::GangLacks { needs, could_start, zone } => {
            let zone = zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
            (
                "gang_lacks",
                format!(
                    "the gang needs room for {needs} tasks at once, there is room for {could_start}{zone}"
                ),
                "ends of other tasks, or more machines",
            )
        }
        Reason::Booking { offers: open, booting } => (
            "booking",
            format!(
                "{} boot; being rented: {}",
                plural(u64::from(*booting), "machine", "machines"),
                none_or(offers(open))
            ),
            "their start",
        ),
        Reason::CloudRefused { offers: refused } => (
            "cloud_refused",
            format!("the cloud had no more of {}", offers(refused)),
            "capacity of the cloud",
        ),
        Reason::Due { machines } => (
            "due",
            format!("{} may start it now", plural(u64::from(*machines), "machine", "machines")),
            "a moment",
        ),
        Reason::StateUnreachable { since_s } => (
            "state_unreachable",
            format!("this controller has not reached the state service for {since_s:.1} s"),
            "its return; another controller may reach it",
        ),
        Reason::NoLeader { silent } => {
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
    let state = explanation.state.map_or("?", JobState::word);
    let task = explanation.task.map_or(String::new(), |task| format!(", task {task}"));
    let done = format!("{} of {} tasks done", known(explanation.done), known(explanation.tasks));
    let mut lines = vec![format!("{}{task}  {state}, {done}", explanation.job)];
    for one in &explanation.reasons {
        let (word, says, change) = reason(one);
        lines.push(format!("  {}  {says}", paint(word, AnsiColor::Cyan)));
        lines.push(format!("      would change it: {change}"));
    }
    lines.join("\n")
}

fn event_text(event: EventWord) -> String {
    // The words are those of the interface and its page.
    serde_json::to_value(event).ok().and_then(|word| word.as_str().map(String::from)).unwrap_or_default()
}

pub fn events(list: &EventList) -> String {
    let mut table = table(&["AGO", "EVENT", "TASKS", "FIRST", "MACHINE"]);
    if list.earlier_unknown {
        table.add_row(vec!["", "(earlier events are unknown: another node led, or they were too many)"]);
    }
    for event in &list.events {
        let count = if event.tasks == 0 { "-".into() } else { event.tasks.to_string() };
        table.add_row(vec![
            span(now_ms().saturating_sub(event.at_ms)),
            event_text(event.event),
            count,
            event.first_task.map_or("-".into(), |task| task.to_string()),
            event.machine.clone().unwrap_or("-".into()),
        ]);
    }
    table.to_string()
}

pub fn nodes(statuses: &[(String, Option<NodeStatus>)]) -> String {
    let mut rows = table(&["CONTROLLER", "NODE", "STATE", "LIVE", "ENDED", "REVISION", "BEHIND", "UP"]);
    for (addr, status) in statuses {
        let Some(status) = status else {
            rows.add_row(vec![addr.as_str(), "?", "does not answer", "?", "?", "?", "?", "?"]);
            continue;
        };
        let role = match (status.leads, status.ready, status.state_reachable) {
            (true, ..) => "leads",
            (_, _, false) => "without state service",
            (_, true, _) => "follows",
            _ => "not ready",
        };
        let behind = status.mirror_age_s.map(|age| format!("{age:.1} s"));
        rows.add_row(vec![
            addr.clone(),
            status.node.clone(),
            role.into(),
            status.jobs_live.to_string(),
            status.jobs_ended.to_string(),
            status.revision.to_string(),
            known(behind),
            span((status.uptime_s * 1000.0) as u64),
        ]);
    }
    let work = statuses.iter().filter_map(|(_, status)| status.as_ref()?.work.as_ref()).next();
    format!("{rows}\n{}", work.map_or("nobody leads: queues and machines are unknown".into(), leader))
}

fn leader(work: &LeaderStatus) -> String {
    let mut lines = vec![
        String::new(),
        format!(
            "machines {} up, {} booting, {} silent; CPUs {:.1} of {:.1} used; {} tasks on machines",
            work.machines_up,
            work.machines_booting,
            work.machines_silent,
            work.cpus_used,
            work.cpus,
            work.tasks_out
        ),
        format!(
            "waiting: {} shared, {} dedicated, {} that no machine may take, {} gangs",
            work.queued_shared, work.queued_dedicated, work.queued_nowhere, work.gangs_waiting
        ),
        format!(
            "since this takeover: {} starts, {} steals of {} tasks, {} spilled, {} stopped for others, {} machines lost",
            work.starts,
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
