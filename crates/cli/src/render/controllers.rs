//! Renders the status of the controllers, and the leader's view of queues, machines and teams.

use olivelatch::protocol::operators::{ControllerStatus, LeaderStatus};

use super::{MS_PER_SECOND, duration_text, new_table, value_or_dash, value_or_unknown};

/// Renders one line per controller, and the leader's figures below. `statuses` holds for each controller its address
/// and its status, which is `None` if it does not respond.
pub fn controllers_table(statuses: &[(String, Option<ControllerStatus>)]) -> String {
    let mut table = new_table(&["CONTROLLER", "NODE", "STATE", "LIVE", "ENDED", "REVISION", "BEHIND", "UP"]);
    for (addr, status) in statuses {
        match status {
            Some(status) => table.add_row(controller_row(addr, status)),
            None => table.add_row(vec![addr.as_str(), "?", "does not answer", "?", "?", "?", "?", "?"]),
        };
    }
    let leader_status = statuses.iter().find_map(|(_, status)| status.as_ref()?.leader_status.as_ref());
    let details =
        leader_status.map_or("no leader responded: queues and machines are unknown".into(), leader_text);
    format!("{table}\n{details}")
}

fn controller_row(addr: &str, status: &ControllerStatus) -> Vec<String> {
    let cache_age = status.cache_age_s.map(|age_s| format!("{age_s:.1} s"));
    vec![
        addr.into(),
        status.controller.clone(),
        role_text(status).into(),
        status.jobs_active.to_string(),
        status.jobs_terminal.to_string(),
        status.revision.to_string(),
        value_or_unknown(cache_age),
        duration_text((status.uptime_s * MS_PER_SECOND as f64) as u64),
    ]
}

/// Renders whether the controller is the leader or a follower, or why a follower cannot serve requests.
fn role_text(status: &ControllerStatus) -> &'static str {
    match (status.is_leader, status.ready, status.kv_reachable) {
        (true, ..) => "leads",
        (_, _, false) => "without state service",
        (_, true, _) => "follows",
        _ => "not ready",
    }
}

fn leader_text(status: &LeaderStatus) -> String {
    let mut lines = vec![
        String::new(),
        format!(
            "machines: {} up, {} booting, {} unreachable; CPUs: {:.1} of {:.1} used; {} tasks on machines",
            status.machines_up,
            status.machines_booting,
            status.machines_unreachable,
            status.cpus_used,
            status.cpus,
            status.tasks_placed
        ),
        format!(
            "waiting: {} tasks in shared queues, {} in dedicated queues, {} that no present machine may take; {} gangs and services",
            status.queued_shared, status.queued_dedicated, status.queued_backlog, status.gangs_waiting
        ),
        format!(
            "since the leader took over: {} tasks bound, {} steals of {} tasks, {} tasks spilled, {} preempted, {} machines lost",
            status.tasks_bound,
            status.steals,
            status.stolen_tasks,
            status.spilled_tasks,
            status.preempted_tasks,
            status.machines_lost
        ),
    ];
    if !status.teams.is_empty() {
        lines.push(teams_table(status));
    }
    lines.join("\n")
}

fn teams_table(status: &LeaderStatus) -> String {
    let mut table = new_table(&["TEAM", "CPUS USED", "GUARANTEED", "LIMIT"]);
    for team in &status.teams {
        table.add_row(vec![
            team.team.clone(),
            team.used_cpus.to_string(),
            team.guaranteed_cpus.to_string(),
            value_or_dash(team.limit_cpus),
        ]);
    }
    table.to_string()
}
