//! What goes wrong around controllers beside cuts and ends: machines that hear nothing, reports and transactions that come
//! late, controllers that stand still, clocks that run apart, a state service that answers slowly.

use std::collections::{BTreeMap, HashSet, VecDeque};

use olivelatch::coordination::{Clock, Event, InboundId, OutboundId};
use olivelatch::ids::Millis;
use olivelatch::protocol::HttpOutcome;
use olivelatch::protocol::workers::parse_heartbeat;
use olivelatch_worker::Worker;

use super::actions::{ActionResult, parse_seconds, usage_error};
use super::{START_MS, STEP_MS, SimulatedCluster};

/// Copies of reports that are kept for the next leader at most.
const MAX_KEPT_HEARTBEATS: usize = 40;

/// What is on its way, with the time when it arrives.
#[derive(Default)]
pub struct Faults {
    /// Machines whose reports arrive, but nothing that they are told.
    pub receive_path_down: HashSet<String>,
    /// Machines whose reports reach nobody, while direct commands reach them.
    pub send_path_down: HashSet<String>,
    /// After how long copies of reports arrive again, in turn; none: they do not.
    copy_delays_ms: Vec<u64>,
    heartbeat_copies: Vec<(u64, usize, Vec<u8>)>,
    /// Copies of reports are kept for the next leader, and who led when they were.
    kept_for_next_leader: Option<Option<(usize, u64)>>,
    kept_heartbeats: VecDeque<Vec<u8>>,
    /// How long the cloud takes to answer what it has carried out.
    cloud_delay_ms: u64,
    /// Starts of tasks whose users had been told that their jobs are cancelled.
    pub started_cancelled: u64,
    /// How long the state service takes to answer.
    pub kv_delay_ms: u64,
    /// It takes unlike times, so that an answer to an earlier question may come after one to a later.
    pub kv_delay_varies: bool,
    /// Answers on their way: when they arrive, at which life of which controller.
    delayed_responses: Vec<(u64, usize, u64, Event)>,
    /// Transactions without an answer are carried out so much later.
    pub txn_delay_ms: Option<u64>,
    delayed_txns: Vec<(u64, Vec<u8>)>,
    /// How long a withdrawn job's task was there at most after its user had been told.
    pub longest_cancelled_stay_ms: u64,
    /// Tasks that were killed as their worker's lease ended.
    pub lost_with_lease: u64,
    /// When a question about a job was last answered.
    pub last_answered_at: BTreeMap<String, u64>,
}

/// What a controller makes of time.
#[derive(Default)]
pub struct ClockFault {
    /// Its steady clock runs fast by this share.
    drift: f64,
    wall_offset_ms: i64,
    pub frozen: bool,
    /// What came in while it stood still.
    pub missed_events: Vec<Event>,
}

/// Machines by name, `all` or `none` of them.
fn select_machines(named: &mut HashSet<String>, workers: &[Worker], words: &[&str]) {
    for host in words {
        match *host {
            "none" => named.clear(),
            "all" => named.extend(workers.iter().map(|worker| worker.machine.name.clone())),
            host => drop(named.insert(host.into())),
        }
    }
}

impl SimulatedCluster {
    pub fn longest_cancelled_stay_ms(&self) -> u64 {
        self.faults.longest_cancelled_stay_ms
    }

    pub fn controller_clock(&self, at: usize) -> Clock {
        let pace = &self.controllers[at].clock_fault;
        let gone = (self.now - START_MS) as f64 * (1.0 + pace.drift);
        let wall = 1_700_000_000_000_u64 + self.now;
        Clock {
            now: Millis(START_MS + gone as u64),
            wall_ms: wall.saturating_add_signed(pace.wall_offset_ms),
        }
    }

    /// An answer of the state service, at once or after its time.
    pub fn deliver_kv_response(
        &mut self,
        at: usize,
        outbound: OutboundId,
        outcome: HttpOutcome,
        timeout_ms: u64,
    ) {
        // Now and then a few hundred milliseconds, otherwise at once.
        let now_and_then = match (outbound.0 * 7 + at as u64 * 3) % 11 {
            0 => 300,
            4 => 900,
            8 => 150,
            _ => STEP_MS,
        };
        let slow = if self.faults.kv_delay_varies { now_and_then } else { self.faults.kv_delay_ms };
        if slow == 0 {
            return self.send_event(at, Event::Kv { outbound, outcome });
        }
        let outcome = if slow < timeout_ms { outcome } else { HttpOutcome::Unknown };
        let due = self.now + slow.min(timeout_ms);
        let life = self.controllers[at].incarnation;
        self.faults.delayed_responses.push((due, at, life, Event::Kv { outbound, outcome }));
    }

    /// The cloud has carried a request out; its answer comes at once or after its time.
    pub fn deliver_cloud_response(
        &mut self,
        at: usize,
        outbound: OutboundId,
        outcome: HttpOutcome,
        timeout_ms: u64,
    ) {
        let late = self.faults.cloud_delay_ms;
        if late == 0 {
            return self.send_event(at, Event::Cloud { outbound, outcome });
        }
        let outcome = if late < timeout_ms { outcome } else { HttpOutcome::Unknown };
        let due = self.now + late.min(timeout_ms);
        self.faults.delayed_responses.push((
            due,
            at,
            self.controllers[at].incarnation,
            Event::Cloud { outbound, outcome },
        ));
    }

    /// A transaction that is carried out later, without an answer.
    pub fn delay_txn(&mut self, late_ms: u64, body: Vec<u8>) {
        self.faults.delayed_txns.push((self.now + late_ms, body));
    }

    pub fn copy_heartbeat(&mut self, node: usize, body: &[u8]) {
        if self.faults.kept_for_next_leader.is_some() {
            if self.faults.kept_heartbeats.len() >= MAX_KEPT_HEARTBEATS {
                self.faults.kept_heartbeats.pop_front();
            }
            self.faults.kept_heartbeats.push_back(body.to_vec());
        }
        let delays = &self.faults.copy_delays_ms;
        if let Some(delay) = delays.get(self.next_request as usize % delays.len().max(1)) {
            self.faults.heartbeat_copies.push((self.now + delay, node, body.to_vec()));
        }
    }

    /// Another leader begins: what was kept arrives at every controller, at once and once more later.
    pub fn deliver_kept_heartbeats(&mut self) {
        let Some(before) = self.faults.kept_for_next_leader else { return };
        let leads = self.current_leader();
        if leads.is_none() || leads == before {
            return;
        }
        self.faults.kept_for_next_leader = Some(leads);
        if before.is_none() {
            return;
        }
        let now = self.now;
        for body in std::mem::take(&mut self.faults.kept_heartbeats) {
            for (node, later) in (0..self.controllers.len()).flat_map(|at| [(at, 0), (at, 100), (at, 3_000)])
            {
                self.faults.heartbeat_copies.push((now + later, node, body.clone()));
            }
        }
    }

    /// What has been on its way for long enough arrives.
    pub fn deliver_delayed(&mut self) {
        let now = self.now;
        let txns = std::mem::take(&mut self.faults.delayed_txns);
        let (due, rest): (Vec<_>, Vec<_>) = txns.into_iter().partition(|(at, _)| *at <= now);
        self.faults.delayed_txns = rest;
        if !self.kv_outage {
            due.into_iter()
                .for_each(|(_, body)| drop(self.kv_store.handle_request("POST", "/txn", &body, now)));
        }
        let answers = std::mem::take(&mut self.faults.delayed_responses);
        let (due, rest): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.faults.delayed_responses = rest;
        for (_, at, life, answer) in due {
            if self.controllers[at].incarnation == life {
                self.send_event(at, answer);
            }
        }
        let copied = std::mem::take(&mut self.faults.heartbeat_copies);
        let (due, rest): (Vec<_>, Vec<_>) = copied.into_iter().partition(|(at, ..)| *at <= now);
        self.faults.heartbeat_copies = rest;
        for (_, node, body) in due {
            let report = parse_heartbeat(&body).expect("a report of the protocol's form");
            self.next_request += 1;
            // Nobody waits for the answer.
            self.send_event(
                node,
                Event::Heartbeat { inbound: InboundId(self.next_request), heartbeat: report },
            );
        }
    }

    pub fn set_receive_path_down(&mut self, words: &[&str]) -> ActionResult {
        let workers = &self.workers;
        select_machines(&mut self.faults.receive_path_down, workers, words);
        Ok(())
    }

    pub fn set_send_path_down(&mut self, words: &[&str]) -> ActionResult {
        let workers = &self.workers;
        select_machines(&mut self.faults.send_path_down, workers, words);
        Ok(())
    }

    pub fn set_cloud_delay(&mut self, words: &[&str]) -> ActionResult {
        self.faults.cloud_delay_ms = match words {
            ["late", seconds] => (parse_seconds(seconds)? * 1000.0) as u64,
            ["fine"] => 0,
            _ => return usage_error("late SECONDS or fine"),
        };
        Ok(())
    }

    pub fn set_heartbeat_copies(&mut self, words: &[&str]) -> ActionResult {
        let leads = self.current_leader();
        self.faults.kept_for_next_leader = if words == ["next"] { Some(leads) } else { None };
        if words == ["next"] {
            return Ok(());
        }
        self.faults.kept_heartbeats.clear();
        let delays: Result<Vec<f64>, String> =
            words.iter().filter(|word| **word != "none").map(|word| parse_seconds(word)).collect();
        self.faults.copy_delays_ms = delays?.into_iter().map(|seconds| (seconds * 1000.0) as u64).collect();
        Ok(())
    }

    pub fn set_kv_delay(&mut self, words: &[&str]) -> ActionResult {
        self.faults.kv_delay_varies = words == ["uneven"];
        self.faults.kv_delay_ms = match words {
            ["slow", seconds] => (parse_seconds(seconds)? * 1000.0) as u64,
            ["fine" | "uneven"] => 0,
            _ => return usage_error("slow SECONDS, uneven or fine"),
        };
        Ok(())
    }

    /// The controller stands still while its clocks run on.
    pub fn freeze_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        let Some(at) = self.find_controller(node).filter(|at| self.controllers[*at].controller.is_some())
        else {
            return Ok(());
        };
        self.controllers[at].clock_fault.frozen = true;
        Ok(())
    }

    /// It goes on with all that has come in meanwhile; who had sent that may have given up.
    pub fn thaw_controllers(&mut self, _: &[&str]) -> ActionResult {
        for at in 0..self.controllers.len() {
            self.controllers[at].clock_fault.frozen = false;
            for input in std::mem::take(&mut self.controllers[at].clock_fault.missed_events) {
                self.send_event(at, input);
            }
        }
        Ok(())
    }

    /// Its clocks run apart from the others': steady clock in parts of a million, time of day in milliseconds.
    pub fn set_clock(&mut self, words: &[&str]) -> ActionResult {
        let [node, ppm, wall] = words else { return usage_error("NODE PPM MILLISECONDS") };
        let at = self.controller_index(node);
        let pace = &mut self.controllers[at].clock_fault;
        pace.drift = ppm.parse::<f64>().map_err(|_| "a number")? / 1e6;
        pace.wall_offset_ms = wall.parse().map_err(|_| "a number")?;
        Ok(())
    }
}
