//! Ending and starting controllers, and cutting their links.

use super::super::{ControllerSlot, SimulatedCluster};
use super::{ActionResult, usage_error};

impl SimulatedCluster {
    pub fn controller_index(&self, name: &str) -> usize {
        if name == "leader" {
            return self.controllers.iter().position(ControllerSlot::is_leader).expect("a leader");
        }
        self.controllers.iter().position(|slot| slot.name == name).expect("a node")
    }

    /// `leader?` is the leader if there is one. Every other name must be that of a controller.
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

    /// Kills a controller, and starts it again with no memory after so many seconds.
    pub(super) fn restart_at_once(&mut self, words: &[&str]) -> ActionResult {
        let [node, seconds] = words else { return usage_error("NODE SECONDS") };
        let name = self.controllers[self.controller_index(node)].name.clone();
        self.kill_controller(&[&name])?;
        self.advance(&[*seconds])?;
        self.start_controller(&[&name])
    }

    pub(super) fn set_controller_capacity(&mut self, words: &[&str]) -> ActionResult {
        let [units] = words else { return usage_error("UNITS A SECOND") };
        self.controller_capacity = Some(units.parse().map_err(|_| "a number")?);
        Ok(())
    }

    pub(super) fn cut_link(&mut self, words: &[&str]) -> ActionResult {
        let [node, what] = words else { return usage_error("NODE WHAT") };
        if *node == "all" {
            self.controllers.iter_mut().for_each(|slot| {
                slot.cut_links.insert((*what).into());
            });
            return Ok(());
        }
        // There may be no leader to cut off.
        let Some(index) = self.find_controller(node) else { return Ok(()) };
        self.controllers[index].cut_links.insert((*what).into());
        Ok(())
    }

    /// Restores links of this kind at every controller.
    pub(super) fn restore_links(&mut self, words: &[&str]) -> ActionResult {
        let [what] = words else { return usage_error("WHAT") };
        self.controllers.iter_mut().for_each(|slot| {
            slot.cut_links.remove(*what);
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
