//! Links to the zones' processes: commands queue up, go out in batches, and bring back the zone's status.

use std::collections::VecDeque;
use std::net::SocketAddr;

use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;

use super::network::Network;
use super::start::to_json;
use super::{CONTROL_TIMEOUT_MS, START_TIMEOUT_MS, STATUS_INTERVAL_MS, ScaleRun};
use crate::control::{TaskEvent, ZoneCommand, ZoneStatus};
use crate::error::ScaleError;

/// Commands in one message to a zone, in bytes.
const MAX_COMMAND_BYTES: usize = 48 * 1024;

/// The link to one process of simulated workers. Counts of commands are since the start of the run.
pub(super) struct ZoneLink {
    address: SocketAddr,
    queue: VecDeque<ZoneCommand>,
    queued: u64,
    /// Commands in the message that has no response yet.
    sent_in_flight: Option<u64>,
    pub(super) acknowledged: u64,
    next_poll: u64,
    pub(super) status: ZoneStatus,
    /// As it was when the load began.
    pub(super) status_at_load_start: ZoneStatus,
}

impl ZoneLink {
    pub(super) fn new(address: SocketAddr) -> ZoneLink {
        ZoneLink {
            address,
            queue: VecDeque::new(),
            queued: 0,
            sent_in_flight: None,
            acknowledged: 0,
            next_poll: 0,
            status: ZoneStatus::default(),
            status_at_load_start: ZoneStatus::default(),
        }
    }

    /// Queues a command; returns the count of acknowledged commands at which it has been carried out.
    pub(super) fn queue_command(&mut self, command: ZoneCommand) -> u64 {
        self.queue.push_back(command);
        self.queued += 1;
        self.queued
    }

    /// Sends queued commands, or an empty batch when the status is due. One message is in flight at a time.
    pub(super) fn poll(&mut self, slot: CallSlot, network: &mut Network, now: u64) -> Result<(), ScaleError> {
        if self.sent_in_flight.is_some() || (self.queue.is_empty() && now < self.next_poll) {
            return Ok(());
        }
        self.next_poll = now + STATUS_INTERVAL_MS;
        let (mut commands, mut bytes) = (Vec::new(), 0);
        while bytes < MAX_COMMAND_BYTES
            && let Some(command) = self.queue.pop_front()
        {
            let text = to_json(&command, "a command")?;
            bytes += text.len() + 1;
            commands.push(text);
        }
        self.sent_in_flight = Some(commands.len() as u64);
        let body = format!("[{}]", commands.join(","));
        let request = ("POST", "/commands", body.as_bytes());
        network.send(slot, self.address, request, now + CONTROL_TIMEOUT_MS);
        Ok(())
    }

    /// Takes in the status from a response; returns its events.
    fn handle_status(&mut self, mut status: ZoneStatus) -> Vec<TaskEvent> {
        self.acknowledged += self.sent_in_flight.take().unwrap_or(0);
        let events = std::mem::take(&mut status.events);
        self.status = status;
        events
    }

    fn has_never_responded(&self) -> bool {
        self.acknowledged == 0 && self.status.until_ms == 0
    }

    /// Forgets all commands, before they are queued anew.
    fn reset(&mut self, now: u64) {
        self.sent_in_flight = None;
        self.queue.clear();
        self.queued = 0;
        self.next_poll = now + STATUS_INTERVAL_MS;
    }
}

impl ScaleRun {
    pub(super) fn handle_zone_response(
        &mut self,
        zone: usize,
        response: Option<&Response>,
    ) -> Result<(), ScaleError> {
        let name = &self.plan.zones[zone];
        let link = &mut self.zones[zone];
        let Some(response) = response else {
            // The process may not listen yet; commands sent to it so far are lost, and the cloud boots its machines again.
            if link.has_never_responded() && self.clock.now() < START_TIMEOUT_MS {
                link.reset(self.clock.now());
                self.cloud.clear_zone(zone);
                return Ok(());
            }
            return Err(ScaleError::Process(format!("the hollow workers of {name} do not answer")));
        };
        let status: ZoneStatus = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: format!("news of {name}"), error })?;
        self.pending_events.extend(link.handle_status(status));
        Ok(())
    }
}
