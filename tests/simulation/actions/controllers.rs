//! Actions that kill and start controllers and that cut and restore their links.

use super::super::{ControllerSlot, SimulatedCluster};
use super::{ActionResult, parse_argument, usage_error};

/// The links of a controller that can be cut: to the kv store, only its polls for changes, to the workers, only the
/// direct commands to them, to the other controllers, to the users, and all of these.
const LINKS: [&str; 7] = ["kv", "change-polls", "workers", "direct-commands", "peers", "users", "all"];

fn check_link(link: &str) -> ActionResult {
    if LINKS.contains(&link) {
        Ok(())
    } else {
        Err(format!("expected one of the links {}, found {link}", LINKS.join(", ")))
    }
}

impl SimulatedCluster {
    pub fn controller_index(&self, name: &str) -> usize {
        if name == "leader" {
            let leader = self.controllers.iter().position(ControllerSlot::is_leader);
            return leader.unwrap_or_else(|| panic!("expected a leader, found none at {} ms", self.now));
        }
        let named = self.controllers.iter().position(|slot| slot.name == name);
        named.unwrap_or_else(|| panic!("expected the name of a controller, found {name}"))
    }

    /// Returns the index of a controller. `leader?` names the leader, if there is one; any other name must exist.
    pub fn find_controller(&self, name: &str) -> Option<usize> {
        match name {
            "leader?" => self.controllers.iter().position(ControllerSlot::is_leader),
            _ => Some(self.controller_index(name)),
        }
    }

    pub(super) fn kill_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        let Some(index) = self.find_controller(node) else { return Ok(()) };
        self.controllers[index].controller = None;
        self.controllers[index].clock_fault.frozen = false;
        self.controllers[index].clock_fault.missed_events.clear();
        self.abandon_requests(index);
        Ok(())
    }

    pub(super) fn start_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        self.boot_controller(self.controller_index(node));
        Ok(())
    }

    pub(super) fn start_all_controllers(&mut self, _: &[&str]) -> ActionResult {
        for index in 0..self.controllers.len() {
            if self.controllers[index].controller.is_none() {
                self.boot_controller(index);
            }
        }
        Ok(())
    }

    /// Kills a controller, and starts it again without its in-memory state after the given number of seconds.
    pub(super) fn kill_and_restart(&mut self, words: &[&str]) -> ActionResult {
        let [node, seconds] = words else { return usage_error("NODE SECONDS") };
        let name = self.controllers[self.controller_index(node)].name.clone();
        self.kill_controller(&[&name])?;
        self.advance(&[*seconds])?;
        self.start_controller(&[&name])
    }

    /// Limits the processor time of controllers that are started afterwards, in units per second: a heartbeat or the
    /// outcome of a direct command costs 1 unit, direct commands to a worker cost 3.
    pub(super) fn set_controller_capacity(&mut self, words: &[&str]) -> ActionResult {
        let [units] = words else { return usage_error("UNITS-PER-SECOND") };
        self.controller_capacity = Some(parse_argument(units, "a number of units per second")?);
        Ok(())
    }

    pub(super) fn cut_link(&mut self, words: &[&str]) -> ActionResult {
        let [node, link] = words else { return usage_error("NODE LINK") };
        check_link(link)?;
        if *node == "all" {
            self.controllers.iter_mut().for_each(|slot| {
                slot.cut_links.insert((*link).into());
            });
            return Ok(());
        }
        // There may be no leader, so `leader?` may name no controller.
        let Some(index) = self.find_controller(node) else { return Ok(()) };
        self.controllers[index].cut_links.insert((*link).into());
        Ok(())
    }

    /// Restores links of this kind at every controller.
    pub(super) fn restore_links(&mut self, words: &[&str]) -> ActionResult {
        let [link] = words else { return usage_error("LINK") };
        check_link(link)?;
        self.controllers.iter_mut().for_each(|slot| {
            slot.cut_links.remove(*link);
        });
        Ok(())
    }

    pub(super) fn restore_all_links(&mut self, _: &[&str]) -> ActionResult {
        self.controllers.iter_mut().for_each(|slot| slot.cut_links.clear());
        self.zone_cuts.clear();
        Ok(())
    }

    pub(super) fn partition_zones(&mut self, words: &[&str]) -> ActionResult {
        let [a, b] = words else { return usage_error("ZONE ZONE") };
        self.zone_cuts.insert(((*a).into(), (*b).into()));
        Ok(())
    }
}
