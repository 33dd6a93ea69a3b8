//! Faults other than cut links and killed controllers: machines whose messages are lost in one direction, duplicated
//! heartbeats, delayed transactions and responses, frozen controllers, and clocks that drift.

use std::collections::{BTreeMap, HashSet, VecDeque};

use olivelatch::coordination::{Clock, Event, InboundId, OutboundId};
use olivelatch::ids::Millis;
use olivelatch::protocol::HttpOutcome;
use olivelatch::protocol::workers::parse_heartbeat;
use olivelatch_worker::Worker;

use super::actions::{ActionResult, parse_argument, parse_seconds, usage_error};
use super::{START_MS, STEP_MS, SimulatedCluster};

/// Maximum number of heartbeats that are kept for the next leader.
const MAX_KEPT_HEARTBEATS: usize = 40;
/// Delays after which each kept heartbeat arrives; it arrives once for each of them.
const KEPT_DELAYS_MS: [u64; 3] = [0, 100, 3_000];
/// The wall clock when simulated time was 0, as Unix time in ms.
const WALL_CLOCK_BASE_MS: u64 = 1_700_000_000_000;

/// The active faults, the messages that they delay, and measurements of their effects.
#[derive(Default)]
pub struct Faults {
    /// Machines whose heartbeats arrive, but which receive neither responses nor direct commands.
    pub receive_path_down: HashSet<String>,
    /// Machines whose heartbeats are lost, but which receive direct commands.
    pub send_path_down: HashSet<String>,
    /// Delays after which copies of heartbeats arrive, used in turn; empty if heartbeats are not copied.
    copy_delays_ms: Vec<u64>,
    /// Copies of heartbeats in flight: time of arrival, controller, and body.
    heartbeat_copies: Vec<(u64, usize, Vec<u8>)>,
    /// Set while heartbeats are kept for the next leader: index and incarnation of the leader, if any, when the fault
    /// started or when the leader last changed.
    kept_for_next_leader: Option<Option<(usize, u64)>>,
    /// Bodies of the kept heartbeats, oldest first.
    kept_heartbeats: VecDeque<Vec<u8>>,
    /// Response time of the cloud, in ms; 0 for a response within the same step.
    cloud_delay_ms: u64,
    /// Number of task starts after the user knew that the job is cancelled.
    pub started_after_cancel: u64,
    /// Response time of the kv store, in ms; 0 for a response within the same step.
    pub kv_delay_ms: u64,
    /// Whether `kv_delay_ms` applies to reads only, and writes are answered within the same step.
    pub kv_delay_of_reads_only: bool,
    /// Whether the response time of the kv store varies, so that responses may arrive out of order.
    pub kv_delay_varies: bool,
    /// Delayed responses: time of arrival, controller, its incarnation when it sent the request, and the response.
    delayed_responses: Vec<(u64, usize, u64, Event)>,
    /// Delay after which a transaction without a response is carried out.
    pub txn_delay_ms: Option<u64>,
    /// Delayed transactions: time at which each is carried out, and its body.
    delayed_txns: Vec<(u64, Vec<u8>)>,
    /// The longest time, in ms, that a task ran after its user knew of the cancellation.
    pub longest_run_after_cancel_ms: u64,
    /// Number of tasks that were killed when their worker's lease had expired.
    pub killed_on_lease_expiry: u64,
    /// Time of the last response about each job.
    pub last_answered_at: BTreeMap<String, u64>,
}

/// Errors of a controller's clocks, and whether the controller is frozen.
#[derive(Default)]
pub struct ClockFault {
    /// Relative error of the monotonic clock: positive if it runs fast.
    drift: f64,
    wall_offset_ms: i64,
    pub frozen: bool,
    /// Events that arrived while the controller was frozen.
    pub missed_events: Vec<Event>,
}

/// Adds machines to a selection: by name or `all`; `none` clears it.
fn select_machines(selected: &mut HashSet<String>, workers: &[Worker], words: &[&str]) {
    for host in words {
        match *host {
            "none" => selected.clear(),
            "all" => selected.extend(workers.iter().map(|worker| worker.machine.name.clone())),
            host => drop(selected.insert(host.into())),
        }
    }
}

/// Removes and returns the items that are due, and keeps their order.
pub(super) fn take_due<T>(items: &mut Vec<T>, is_due: impl Fn(&T) -> bool) -> Vec<T> {
    let (due, later) = std::mem::take(items).into_iter().partition(is_due);
    *items = later;
    due
}

impl SimulatedCluster {
    pub fn longest_run_after_cancel_ms(&self) -> u64 {
        self.faults.longest_run_after_cancel_ms
    }

    /// Returns the clocks as a controller reads them.
    pub fn controller_clock(&self, controller: usize) -> Clock {
        let fault = &self.controllers[controller].clock_fault;
        let elapsed_ms = (self.now - START_MS) as f64 * (1.0 + fault.drift);
        let wall_ms = WALL_CLOCK_BASE_MS + self.now;
        Clock {
            now: Millis(START_MS + elapsed_ms as u64),
            wall_ms: wall_ms.saturating_add_signed(fault.wall_offset_ms),
        }
    }

    /// Delivers a response of the kv store, at once or after the delay that is set.
    pub fn deliver_kv_response(
        &mut self,
        controller: usize,
        outbound: OutboundId,
        outcome: HttpOutcome,
        is_read: bool,
        timeout_ms: u64,
    ) {
        // Some responses take a few hundred milliseconds, the others one step.
        let varying_ms = match (outbound.0 * 7 + controller as u64 * 3) % 11 {
            0 => 300,
            4 => 900,
            8 => 150,
            _ => STEP_MS,
        };
        let delay_ms = if self.faults.kv_delay_varies { varying_ms } else { self.faults.kv_delay_ms };
        let is_exempt = self.faults.kv_delay_of_reads_only && !is_read;
        if delay_ms == 0 || is_exempt {
            return self.send_event(controller, Event::Kv { outbound, outcome });
        }
        let outcome = if delay_ms < timeout_ms { outcome } else { HttpOutcome::Unknown };
        let due = self.now + delay_ms.min(timeout_ms);
        let incarnation = self.controllers[controller].incarnation;
        self.faults.delayed_responses.push((due, controller, incarnation, Event::Kv { outbound, outcome }));
    }

    /// Delivers a response of the cloud, at once or after the delay that is set. The request has been carried out
    /// already.
    pub fn deliver_cloud_response(
        &mut self,
        controller: usize,
        outbound: OutboundId,
        outcome: HttpOutcome,
        timeout_ms: u64,
    ) {
        let delay_ms = self.faults.cloud_delay_ms;
        if delay_ms == 0 {
            return self.send_event(controller, Event::Cloud { outbound, outcome });
        }
        let outcome = if delay_ms < timeout_ms { outcome } else { HttpOutcome::Unknown };
        let due = self.now + delay_ms.min(timeout_ms);
        self.faults.delayed_responses.push((
            due,
            controller,
            self.controllers[controller].incarnation,
            Event::Cloud { outbound, outcome },
        ));
    }

    /// Schedules a transaction that is carried out after a delay and gets no response.
    pub fn delay_txn(&mut self, delay_ms: u64, body: Vec<u8>) {
        self.faults.delayed_txns.push((self.now + delay_ms, body));
    }

    /// Keeps a heartbeat for the next leader and schedules a copy of it, as far as these faults are set.
    pub fn copy_heartbeat(&mut self, controller: usize, body: &[u8]) {
        if self.faults.kept_for_next_leader.is_some() {
            if self.faults.kept_heartbeats.len() >= MAX_KEPT_HEARTBEATS {
                self.faults.kept_heartbeats.pop_front();
            }
            self.faults.kept_heartbeats.push_back(body.to_vec());
        }
        let delays = &self.faults.copy_delays_ms;
        if let Some(delay) = delays.get(self.request_count as usize % delays.len().max(1)) {
            self.faults.heartbeat_copies.push((self.now + delay, controller, body.to_vec()));
        }
    }

    /// When the leader has changed, delivers the kept heartbeats to every controller: at once, and twice more later.
    pub fn deliver_kept_heartbeats(&mut self) {
        let Some(before) = self.faults.kept_for_next_leader else { return };
        let leader = self.current_leader();
        if leader.is_none() || leader == before {
            return;
        }
        self.faults.kept_for_next_leader = Some(leader);
        if before.is_none() {
            return;
        }
        let now = self.now;
        for body in std::mem::take(&mut self.faults.kept_heartbeats) {
            for (controller, delay_ms) in
                (0..self.controllers.len()).flat_map(|index| KEPT_DELAYS_MS.map(|delay_ms| (index, delay_ms)))
            {
                self.faults.heartbeat_copies.push((now + delay_ms, controller, body.clone()));
            }
        }
    }

    /// Delivers the delayed transactions, responses and heartbeats that are due.
    pub fn deliver_delayed(&mut self) {
        let now = self.now;
        for (_, body) in take_due(&mut self.faults.delayed_txns, |(due, _)| *due <= now) {
            if !self.kv_outage {
                self.kv_store.handle_request("POST", "/txn", &body, now);
            }
        }
        for (_, controller, incarnation, response) in
            take_due(&mut self.faults.delayed_responses, |(due, ..)| *due <= now)
        {
            if self.controllers[controller].incarnation == incarnation {
                self.send_event(controller, response);
            }
        }
        for (_, controller, body) in take_due(&mut self.faults.heartbeat_copies, |(due, ..)| *due <= now) {
            let heartbeat = parse_heartbeat(&body).expect("a valid heartbeat");
            // No worker waits for the response.
            self.request_count += 1;
            let inbound = InboundId(self.request_count);
            self.send_event(controller, Event::Heartbeat { inbound, heartbeat });
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
            ["none"] => 0,
            [seconds] => (parse_seconds(seconds)? * 1000.0) as u64,
            _ => return usage_error("SECONDS or none"),
        };
        Ok(())
    }

    pub fn set_heartbeat_copies(&mut self, words: &[&str]) -> ActionResult {
        let leader = self.current_leader();
        self.faults.kept_for_next_leader = (words == ["to-next-leader"]).then_some(leader);
        if words == ["to-next-leader"] {
            return Ok(());
        }
        self.faults.kept_heartbeats.clear();
        let delays: Result<Vec<f64>, String> =
            words.iter().filter(|word| **word != "none").map(|word| parse_seconds(word)).collect();
        self.faults.copy_delays_ms = delays?.into_iter().map(|seconds| (seconds * 1000.0) as u64).collect();
        Ok(())
    }

    pub fn set_kv_delay(&mut self, words: &[&str]) -> ActionResult {
        self.faults.kv_delay_varies = words == ["variable"];
        self.faults.kv_delay_of_reads_only = matches!(words, ["reads", _]);
        self.faults.kv_delay_ms = match words {
            ["none" | "variable"] => 0,
            [seconds] | ["reads", seconds] => (parse_seconds(seconds)? * 1000.0) as u64,
            _ => return usage_error("SECONDS, reads SECONDS, variable or none"),
        };
        Ok(())
    }

    /// Freezes a controller: it handles no events, while its clocks keep running.
    pub fn freeze_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        let Some(controller) =
            self.find_controller(node).filter(|index| self.controllers[*index].controller.is_some())
        else {
            return Ok(());
        };
        self.controllers[controller].clock_fault.frozen = true;
        Ok(())
    }

    /// Thaws all controllers. They handle the events that arrived while they were frozen, although the senders may have
    /// timed out.
    pub fn thaw_controllers(&mut self, _: &[&str]) -> ActionResult {
        for controller in 0..self.controllers.len() {
            self.controllers[controller].clock_fault.frozen = false;
            for event in std::mem::take(&mut self.controllers[controller].clock_fault.missed_events) {
                self.send_event(controller, event);
            }
        }
        Ok(())
    }

    /// Sets the errors of a controller's clocks: the drift of its monotonic clock in ppm and the offset of its wall
    /// clock in ms.
    pub fn set_clock(&mut self, words: &[&str]) -> ActionResult {
        let [node, ppm, wall] = words else { return usage_error("NODE PPM MILLISECONDS") };
        let controller = self.controller_index(node);
        let fault = &mut self.controllers[controller].clock_fault;
        fault.drift = parse_argument::<f64>(ppm, "a drift in ppm")? / 1e6;
        fault.wall_offset_ms = parse_argument(wall, "a number of milliseconds")?;
        Ok(())
    }
}
