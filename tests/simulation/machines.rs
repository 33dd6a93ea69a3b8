//! Machines and their workers: workers boot, run tasks and send heartbeats, and switch to another controller if one
//! does not respond.

use std::collections::BTreeMap;

use olivelatch::coordination::Event;
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::workers::parse_heartbeat;
use olivelatch_worker::{GangTimes, ProcessAction, Worker, coordinate_gangs};
use serde_json::Value;

use super::SimulatedCluster;
use super::requests::PendingRequest;

/// Time after which a worker stops waiting for the response to a heartbeat and switches to the next controller.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Delay before a worker sends a heartbeat to the next controller.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1_000;
/// Minimum time between two heartbeats. Changes of tasks are reported before the regular interval ends, but not sooner.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Where and when a worker sends its next heartbeat.
#[derive(Clone, Copy)]
pub(super) struct HeartbeatTarget {
    controller: usize,
    next_at: u64,
    /// Time at which the heartbeat in flight was sent; `None` if every heartbeat has a response.
    in_flight_since: Option<u64>,
}

impl SimulatedCluster {
    /// Returns whether the cloud still has the machine.
    pub(super) fn machine_exists(&self, worker: usize) -> bool {
        let name = &self.workers[worker].machine.name;
        self.cloud.machines.iter().any(|machine| machine.name == *name)
    }

    /// Returns whether the worker's machine hangs.
    pub(super) fn is_hung(&self, worker: usize) -> bool {
        self.hung_machines.contains(&self.workers[worker].machine.name)
    }

    /// Starts the worker of each machine that has just finished booting.
    pub(super) fn boot_machines(&mut self) {
        for machine in &self.cloud.machines {
            let known = self.workers.iter().any(|worker| worker.machine.name == machine.name);
            if machine.ready_at > self.now || known {
                continue;
            }
            let machine_type = self.cloud.machine_types.iter().find(|kind| kind.name == machine.machine_type);
            let machine = machine.machine(machine_type.expect("a known type"), machine.endpoint.clone());
            self.workers.push(Worker::new(machine, self.now));
            self.heartbeat_targets.push(HeartbeatTarget {
                controller: self.workers.len() % self.controllers.len(),
                next_at: self.now,
                in_flight_since: None,
            });
        }
    }

    /// Advances the tasks of every worker, and sends heartbeats that are due.
    pub(super) fn step_workers(&mut self) {
        let lease_ms = self.worker_setting_ms("lease_s", 12.0);
        for index in 0..self.workers.len() {
            let exists = self.machine_exists(index);
            if !exists || self.is_hung(index) {
                self.step_stopped_worker(index, exists, lease_ms);
                continue;
            }
            self.workers[index].advance(self.now, lease_ms, &self.jobs);
            self.check_tasks(index);
            self.send_heartbeat(index);
        }
    }

    /// Handles the worker of a machine that was removed or hangs. A removed machine loses its tasks at once; one that
    /// hangs loses them when its lease expires, so that they are no longer running when it resumes.
    fn step_stopped_worker(&mut self, index: usize, exists: bool, lease_ms: u64) {
        let worker = &mut self.workers[index];
        let lease_expired = self.now > worker.last_answered_heartbeat_sent_at + lease_ms;
        if !exists || lease_expired {
            worker.advance(self.now, lease_ms, &BTreeMap::new());
        }
        worker.attempts.retain(|_| exists);
        self.check_cancelled(index);
    }

    /// Lets gangs wait for their members and time out on lost ones.
    pub(super) fn coordinate_gangs(&mut self) {
        let times = GangTimes {
            gather_timeout_ms: self.worker_setting_ms("gang_wait_s", 0.0),
            peer_loss_timeout_ms: self.worker_setting_ms("gang_peer_s", 0.0),
        };
        coordinate_gangs(&mut self.workers, self.now, times, &self.jobs, &mut self.broken_gangs);
        // The simulation has no processes, so kills are only counted.
        let actions = self.workers.iter_mut().flat_map(|worker| worker.take_process_actions());
        let killed = actions.filter(|action| matches!(action, ProcessAction::Kill { .. })).count();
        self.faults.killed_on_lease_expiry += killed as u64;
    }

    fn send_heartbeat(&mut self, index: usize) {
        let target = self.heartbeat_targets[index];
        if let Some(sent_at) = target.in_flight_since {
            if self.now >= sent_at + HEARTBEAT_TIMEOUT_MS {
                self.retarget_heartbeats(index, target.controller);
            }
            return;
        }
        let interval_ms = self.worker_setting_ms("report_s", 2.0);
        let may_send_early = self.workers[index].has_unreported_change
            && self.now + interval_ms >= target.next_at + MIN_HEARTBEAT_INTERVAL_MS;
        if self.now < target.next_at && !may_send_early {
            return;
        }
        self.workers[index].has_unreported_change = false;
        let epoch = self.workers[index].epoch;
        let body = self.workers[index].heartbeat(self.now).to_string();
        self.longest_heartbeat_bytes = self.longest_heartbeat_bytes.max(body.len() as u64);
        self.heartbeat_count += 1;
        self.heartbeat_targets[index] = HeartbeatTarget {
            controller: target.controller,
            next_at: self.now + interval_ms,
            in_flight_since: Some(self.now),
        };
        if self.controllers[target.controller].controller.is_none() {
            self.retarget_heartbeats(index, target.controller);
            return;
        }
        let send_path_down = self.faults.send_path_down.contains(&self.workers[index].machine.name);
        if !self.can_reach(target.controller, index) || send_path_down {
            return;
        }
        let heartbeat = parse_heartbeat(body.as_bytes()).expect("a valid heartbeat");
        self.copy_heartbeat(target.controller, body.as_bytes());
        let request = PendingRequest::Heartbeat { worker: index, sent_at: self.now, epoch };
        let inbound = self.track_request(target.controller, request);
        self.send_event(target.controller, Event::Heartbeat { inbound, heartbeat });
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        worker: usize,
        sent_at: u64,
        epoch: u64,
        response: &HttpResponse,
    ) {
        let now = self.now;
        let timed_out = now >= sent_at + HEARTBEAT_TIMEOUT_MS;
        if timed_out || self.faults.receive_path_down.contains(&self.workers[worker].machine.name) {
            return;
        }
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        self.heartbeat_targets[worker].in_flight_since = None;
        if response.status == 200 && self.workers[worker].epoch == epoch {
            self.workers[worker].apply_heartbeat_response(&body, sent_at, now, &self.jobs);
            return;
        }
        let leader =
            body["home"].as_str().and_then(|home| self.controllers.iter().position(|slot| slot.name == home));
        let current = self.heartbeat_targets[worker].controller;
        match leader.filter(|leader| response.status == 421 && *leader != current) {
            Some(controller) => {
                self.heartbeat_targets[worker] =
                    HeartbeatTarget { controller, next_at: now, in_flight_since: None };
            }
            None => self.retarget_heartbeats(worker, current),
        }
    }

    /// Makes the worker send its next heartbeat to the controller after this one, after a delay.
    pub(super) fn retarget_heartbeats(&mut self, worker: usize, controller: usize) {
        self.heartbeat_targets[worker] = HeartbeatTarget {
            controller: (controller + 1) % self.controllers.len(),
            next_at: self.now + NEXT_CONTROLLER_DELAY_MS,
            in_flight_since: None,
        };
    }
}
