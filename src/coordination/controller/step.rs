//! The work that is due at a given time, regardless of which events arrived: one step serves all events that
//! were received together.
//!
//! The order matters: requests to the store share its rate limits, so the earlier parts of a step have
//! priority.

use super::Controller;
use crate::coordination::{Action, Clock};

/// Interval at which the leader polls the store for changes while no client waits for them, in milliseconds.
const LEADER_POLL_MS: u64 = 250;
/// Interval at which a follower polls the store for changes while no client waits for them, in milliseconds.
const FOLLOWER_POLL_MS: u64 = 500;
/// Interval of the scans for changes that only the passage of time causes (such as lost machines, and
/// machines that stopped trying to steal tasks), in milliseconds. Scanning periodically keeps the cost of an
/// event independent of the number of machines.
const SCAN_INTERVAL_MS: u64 = 250;

impl Controller {
    /// Does the work that is due now.
    pub fn step(&mut self, clock: Clock) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = &mut actions;
        self.refresh_cache(clock, out);
        self.process_watermarks(clock, out);
        self.process_user_requests(clock, out);
        self.process_graph_requests(clock, out);
        self.process_config_requests(clock, out);
        self.request_catalog(clock, out);
        let kv_reachable = self.kv_client.is_reachable(clock.now);
        self.peers.send_beacons(clock.now, &self.peer_names, kv_reachable, out);
        self.detect_isolation(clock);
        if clock.now >= self.next_scan_at {
            self.step_down_if_unreachable(clock, out);
            self.log_job_counters(clock);
        }
        self.run_leader(clock, out);
        actions
    }

    /// Campaigns or renews the lease, then reads the store if a read is due or something waits for it.
    fn refresh_cache(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let idle_interval_ms = if self.leads_or_will() { LEADER_POLL_MS } else { FOLLOWER_POLL_MS };
        let is_preferred = clock.now < self.peers.preferred_until;
        self.leadership.tick(clock, is_preferred, &self.state.cache, &mut self.kv_client, out);
        let is_read_awaited = self.needs_read_barrier() || self.acquired_leadership.is_some() || is_preferred;
        let has_writes = self.user_requests.has_writes_to_send() || self.config_requests.has_writes_to_send();
        let reserved_requests = usize::from(has_writes) + usize::from(self.state.is_leader());
        self.kv_client.refresh_cache(
            clock,
            is_read_awaited,
            idle_interval_ms,
            reserved_requests,
            &self.state.cache,
            out,
        );
    }

    fn needs_read_barrier(&self) -> bool {
        self.user_requests.needs_read_barrier()
            || self.operator_queries.needs_read_barrier()
            || self.graph_requests.needs_read_barrier()
            || self.config_requests.needs_read_barrier(&self.state.cache)
    }

    /// Rejects users' requests and operators' queries past their deadline, then sends users' writes.
    fn process_user_requests(&mut self, clock: Clock, out: &mut Vec<Action>) {
        self.user_requests.expire(clock, self.kv_client.is_reachable(clock.now), out);
        if self.operator_queries.enabled {
            self.expire_operator_queries(clock, out);
        }
        let max_ops = self.state.settings.kv_limits.max_txn_ops;
        self.user_requests.send_writes(clock, max_ops, &self.state.cache, &mut self.kv_client, out);
    }

    /// Runs the leader's part of the step, while this controller leads.
    fn run_leader(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let may_act = self.may_act(clock);
        let state = &mut self.state;
        let Some(leader) = &mut state.leader else { return };
        leader.event_log.set_wall_time(clock.wall_ms);
        let is_scan_due = clock.now >= self.next_scan_at;
        if is_scan_due {
            self.next_scan_at = clock.now.saturating_add(SCAN_INTERVAL_MS);
            leader.expire_machine_leases(clock);
        }
        if !may_act {
            return;
        }
        if is_scan_due {
            leader.return_silent_spot_machines(clock);
            leader.sweep(clock);
            leader.scan_dag_runs(&state.cache, clock);
            leader.log_status(clock.now);
        }
        leader.place_tasks(clock);
        leader.run_provisioner(clock, &state.cache, out);
        leader.write_records(clock, &state.cache, &mut self.kv_client, out);
        for message in leader.take_direct_messages(clock, may_act) {
            self.direct_commands.send(leader, message, out);
        }
    }
}
