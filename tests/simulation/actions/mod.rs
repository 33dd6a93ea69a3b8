//! The actions of scenarios. The first word of a line names the action, and the other words are its arguments.

mod controllers;
mod faults;
mod requests;
mod setup;
mod timing;

use std::str::FromStr;

use super::SimulatedCluster;

impl SimulatedCluster {
    /// Runs the action of one line. Fails if the action fails or if an invariant has been violated.
    pub fn run_action(&mut self, words: &[&str]) -> Result<(), String> {
        let (name, arguments) = words.split_first().ok_or("expected an action, found an empty line")?;
        let action = ACTIONS.iter().find(|(known, _)| known == name);
        let (_, action) =
            action.ok_or_else(|| format!("expected one of the names in ACTIONS, found {name}"))?;
        action(self, arguments)?;
        match self.violations.first() {
            Some(violation) => Err(format!("violated rule: {violation}")),
            None => Ok(()),
        }
    }
}

/// The result of an action. The error tells the author of the scenario what was expected or does not hold.
pub type ActionResult = Result<(), String>;
type Action = fn(&mut SimulatedCluster, &[&str]) -> ActionResult;

/// The actions by their names in scenarios.
const ACTIONS: &[(&str, Action)] = &[
    ("settings", SimulatedCluster::set_settings),
    ("tunable", SimulatedCluster::set_tunable),
    ("operators", SimulatedCluster::set_operators),
    ("list", SimulatedCluster::start_list),
    ("config", SimulatedCluster::enable_config),
    ("set-config", SimulatedCluster::set_config),
    ("graphs", SimulatedCluster::set_graphs),
    ("node", SimulatedCluster::add_node),
    ("fan-out", SimulatedCluster::add_fan_out),
    ("upload", SimulatedCluster::upload_graph),
    ("commit", SimulatedCluster::commit_graph),
    ("cancel-run", SimulatedCluster::cancel_run),
    ("rerun", SimulatedCluster::rerun),
    ("team", SimulatedCluster::add_team),
    ("objective", SimulatedCluster::add_objective),
    ("machine-type", SimulatedCluster::add_machine_type),
    ("controllers", SimulatedCluster::start_controllers),
    ("machine", SimulatedCluster::add_machine),
    ("machines", SimulatedCluster::add_machines),
    ("record", SimulatedCluster::put_record),
    ("mark-accepted", SimulatedCluster::mark_accepted),
    ("submit", |cluster, arguments| {
        cluster.submit_job(arguments);
        Ok(())
    }),
    ("submit-raw", SimulatedCluster::submit_raw),
    ("poll", SimulatedCluster::poll_expecting),
    ("poll-all", SimulatedCluster::poll_all_controllers),
    ("cancel", SimulatedCluster::cancel),
    ("advance", SimulatedCluster::advance),
    ("until", SimulatedCluster::until),
    ("expect", SimulatedCluster::expect),
    ("never", SimulatedCluster::never),
    ("kill", SimulatedCluster::kill_controller),
    ("start", SimulatedCluster::start_controller),
    ("start-all", SimulatedCluster::start_all_controllers),
    ("event-capacity", SimulatedCluster::set_controller_capacity),
    ("cut", SimulatedCluster::cut_link),
    ("restore", SimulatedCluster::restore_links),
    ("heal", SimulatedCluster::restore_all_links),
    ("partition", SimulatedCluster::partition_zones),
    ("kv-outage", SimulatedCluster::set_kv_outage),
    ("cloud-outage", SimulatedCluster::set_cloud_outage),
    ("hang", SimulatedCluster::hang_machine),
    ("resume", SimulatedCluster::resume_machine),
    ("fail-tasks", SimulatedCluster::fail_tasks_on_machine),
    ("slow-machine", SimulatedCluster::slow_machine),
    ("stop-failures", SimulatedCluster::stop_task_failures),
    ("fail-tasks-anywhere", SimulatedCluster::fail_tasks_on_any_machine),
    ("repair-machines", SimulatedCluster::repair_machines),
    ("reclaim-notice", SimulatedCluster::announce_spot_reclaim),
    ("remove-machine", SimulatedCluster::remove_machine),
    ("change-responses", SimulatedCluster::set_change_response_mode),
    ("direct-commands", SimulatedCluster::set_direct_commands),
    ("start-attempt", SimulatedCluster::start_attempt),
    ("expect-violation", SimulatedCluster::expect_violation),
    ("txns", SimulatedCluster::set_txn_mode),
    ("deliver-held", SimulatedCluster::deliver_held),
    ("drop-held", SimulatedCluster::drop_held),
    ("peer-messages", SimulatedCluster::set_peer_message_mode),
    ("restart", SimulatedCluster::kill_and_restart),
    ("poll-rate", SimulatedCluster::poll_repeatedly),
    ("receive-path-down", SimulatedCluster::set_receive_path_down),
    ("send-path-down", SimulatedCluster::set_send_path_down),
    ("check-waiting", SimulatedCluster::expect_prompt_starts),
    ("cloud-delay", SimulatedCluster::set_cloud_delay),
    ("concurrent-polls", SimulatedCluster::set_poll_bursts),
    ("stream", SimulatedCluster::set_stream),
    ("cancel-at-end", SimulatedCluster::set_cancellations_at_end),
    ("copy-heartbeats", SimulatedCluster::set_heartbeat_copies),
    ("kv-delay", SimulatedCluster::set_kv_delay),
    ("freeze", SimulatedCluster::freeze_controller),
    ("thaw", SimulatedCluster::thaw_controllers),
    ("clock", SimulatedCluster::set_clock),
];

/// The error for wrong arguments of an action. Callers print it together with the line, which shows what was found.
pub fn usage_error(expected: &str) -> ActionResult {
    Err(format!("expected {expected}"))
}

/// Parses a number. The error names what was `expected`, for example `a number of tasks`.
pub fn parse_argument<T: FromStr>(text: &str, expected: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("expected {expected}, found {text}"))
}

pub fn parse_seconds(text: &str) -> Result<f64, String> {
    parse_argument(text, "a number of seconds")
}

pub fn parse_status(text: &str) -> Result<u16, String> {
    parse_argument(text, "a status code")
}
