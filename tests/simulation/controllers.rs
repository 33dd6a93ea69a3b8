//! The controllers of the simulated cluster: starting them, their links, delivering events to them, and their counters.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use olivelatch::coordination::Event;
use olivelatch::coordination::controller::Controller;
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use serde_json::{Value, json};

use super::SimulatedCluster;
use super::event_queue::EventQueue;
use super::fault_injection::ClockFault;

/// First port of the controllers' mesh addresses. Nothing listens on these ports.
const FIRST_MESH_PORT: usize = 10;

/// A controller, which may be down.
pub struct ControllerSlot {
    pub controller: Option<Controller>,
    pub(super) name: String,
    pub(super) zone: String,
    /// Kinds of links that are down, by their names in scenarios; `all` means every kind.
    pub(super) cut_links: HashSet<String>,
    /// How many times the controller has been started.
    pub(super) incarnation: u64,
    pub(super) event_queue: EventQueue,
    pub(super) clock_fault: ClockFault,
}

impl ControllerSlot {
    /// Returns a controller that has not been started yet.
    pub(super) fn new(name: String, zone: &str) -> ControllerSlot {
        ControllerSlot {
            controller: None,
            name,
            zone: zone.into(),
            cut_links: HashSet::new(),
            incarnation: 0,
            event_queue: EventQueue::default(),
            clock_fault: ClockFault::default(),
        }
    }

    pub fn is_leader(&self) -> bool {
        self.controller.as_ref().is_some_and(|controller| controller.leader().is_some())
    }

    pub(super) fn is_ready(&self) -> bool {
        self.controller.as_ref().is_some_and(Controller::is_ready)
    }
}

/// Real time that controllers took to handle events: in total, and for the slowest event.
#[derive(Default, Clone, Copy)]
pub struct EventHandlingTime {
    pub total: Duration,
    pub longest: Duration,
    /// Kind of the slowest event.
    pub longest_event: &'static str,
}

impl EventHandlingTime {
    fn add(&mut self, duration: Duration, kind: &'static str) {
        self.total += duration;
        if duration > self.longest {
            (self.longest, self.longest_event) = (duration, kind);
        }
    }
}

impl SimulatedCluster {
    /// Starts a controller from its settings and tunables, without state from an earlier incarnation.
    pub(super) fn boot_controller(&mut self, index: usize) {
        let settings = self.controller_settings(index);
        let mut tunables = Tunables::parse("scenario", &self.tunables).expect("tunables");
        let changes = &self.config_changes;
        tunables.config.enabled =
            changes.enabled && !changes.disabled_controllers.contains(&self.controllers[index].name);
        let clock = self.controller_clock(index);
        let slot = &mut self.controllers[index];
        slot.incarnation += 1;
        slot.event_queue = self.controller_capacity.map(EventQueue::new).unwrap_or_default();
        let seed = index as u64 * 1000 + slot.incarnation;
        slot.controller = Some(Controller::new(settings, tunables, seed, clock));
    }

    fn controller_settings(&self, index: usize) -> Settings {
        let mut config = self.config.clone();
        config["node"] = json!(self.controllers[index].name);
        config["zone"] = json!(self.controllers[index].zone);
        let others = self.controllers.iter().enumerate().filter(|(other, _)| *other != index);
        let others: Vec<Value> = others
            .map(|(other, slot)| {
                let addr = format!("127.0.0.1:{}", other + FIRST_MESH_PORT);
                json!({"node": slot.name, "zone": slot.zone, "addr": addr})
            })
            .collect();
        config["others"] = json!(others);
        config["cluster"]["count"] = json!(self.controllers.len());
        Settings::parse("scenario", &config.to_string()).expect("settings")
    }

    /// Returns whether a controller's links of this kind are down.
    pub(super) fn is_cut(&self, controller: usize, link: &str) -> bool {
        let cut_links = &self.controllers[controller].cut_links;
        cut_links.contains(link) || (cut_links.contains("all") && link != "none")
    }

    pub(super) fn are_zones_cut(&self, a: &str, b: &str) -> bool {
        self.zone_cuts.contains(&(a.into(), b.into())) || self.zone_cuts.contains(&(b.into(), a.into()))
    }

    /// Returns whether messages between a controller and a worker can arrive.
    pub(super) fn can_reach(&self, controller: usize, worker: usize) -> bool {
        let machine = &self.workers[worker].machine;
        self.machine_exists(worker)
            && !self.is_hung(worker)
            && !self.is_cut(controller, "workers")
            && !self.are_zones_cut(&self.controllers[controller].zone, &machine.zone)
    }

    /// Delivers an event to a controller. A frozen controller handles it when it is thawed, and one with limited
    /// processor time may queue it.
    pub(super) fn send_event(&mut self, controller: usize, event: Event) {
        let now = self.now;
        let slot = &mut self.controllers[controller];
        if slot.clock_fault.frozen {
            slot.clock_fault.missed_events.push(event);
            return;
        }
        if let Some(event) = slot.event_queue.take_or_queue(now, event) {
            self.handle_event_now(controller, event);
        }
    }

    /// Passes an event to a controller and carries out the resulting actions.
    pub(super) fn handle_event_now(&mut self, index: usize, event: Event) {
        let clock = self.controller_clock(index);
        let ControllerSlot { controller: Some(controller), name, .. } = &mut self.controllers[index] else {
            return;
        };
        let name = name.clone();
        self.trace.write_event(self.now, &name, &event);
        let (start, kind) = (Instant::now(), event.name());
        let actions = controller.handle_event(clock, event);
        self.event_handling_time.add(start.elapsed(), kind);
        for action in actions {
            self.trace.write_action(self.now, &name, &action);
            self.perform_action(index, action);
        }
    }

    /// Makes each controller handle its queued events, as far as its processor time allows, and then a tick. Frozen
    /// controllers are left out.
    pub(super) fn step_controllers(&mut self) {
        for index in 0..self.controllers.len() {
            if !self.controllers[index].clock_fault.frozen {
                self.drain_event_queue(index);
                self.send_event(index, Event::Tick);
            }
        }
    }

    /// Keeps the highest value of each of the leaders' counters, because a new leader starts counting from 0.
    pub(super) fn record_counters(&mut self) {
        let leaders = self.controllers.iter().filter_map(|slot| slot.controller.as_ref()?.leader());
        for leader in leaders {
            let counters = &leader.counters;
            for (name, value) in [
                ("tokens-raised", counters.tokens_raised),
                ("forgets-deferred", counters.forgets_deferred),
                ("queued-shared", counters.queued_shared),
                ("queued-dedicated", counters.queued_dedicated),
                ("steals", counters.steals),
                ("stolen", counters.stolen_tasks),
                ("spilled", counters.spilled_tasks),
                ("tasks-preempted", counters.preempted_tasks),
                ("machines-lost", counters.machines_lost),
                ("tasks-bound", counters.tasks_bound),
                ("machines-examined", counters.machines_examined),
                ("gang-searches", counters.gang_searches),
                ("kv-mutations", counters.kv_mutations),
                ("announcements", counters.leadership_announcements),
                ("announcements-per-step", counters.max_announcements_per_step),
            ] {
                let highest = self.counters.entry(name).or_default();
                *highest = (*highest).max(value);
            }
        }
    }
}
