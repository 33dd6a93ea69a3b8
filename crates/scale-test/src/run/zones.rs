//! Links to the zones' processes: commands are queued and sent in batches, and each response carries the
//! zone's status.

use std::collections::VecDeque;
use std::net::SocketAddr;

use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;

use super::network::Network;
use super::start::to_json;
use super::{CONTROL_REQUEST_TIMEOUT_MS, START_TIMEOUT_MS, STATUS_INTERVAL_MS, ScaleRun};
use crate::control::{TaskEvent, ZoneCommand, ZoneStatus};
use crate::error::ScaleError;

/// No further command is added to a message to a zone once its commands have reached this size in bytes.
const COMMAND_BATCH_BYTES: usize = 48 * 1024;

/// The link to one process of simulated workers.
pub(super) struct ZoneLink {
    address: SocketAddr,
    queue: VecDeque<ZoneCommand>,
    /// Number of commands queued since the start of the run or the last reset.
    queued: u64,
    /// Number of commands in the message in flight; `None` if no message is in flight.
    commands_in_flight: Option<u64>,
    /// Number of commands acknowledged by the zone's process.
    pub(super) acknowledged: u64,
    /// Time of the run at which the next status poll is due.
    next_poll: u64,
    /// Status in the last response.
    pub(super) status: ZoneStatus,
    /// Status when the load began.
    pub(super) status_at_load_start: ZoneStatus,
}

impl ZoneLink {
    pub(super) fn new(address: SocketAddr) -> ZoneLink {
        ZoneLink {
            address,
            queue: VecDeque::new(),
            queued: 0,
            commands_in_flight: None,
            acknowledged: 0,
            next_poll: 0,
            status: ZoneStatus::default(),
            status_at_load_start: ZoneStatus::default(),
        }
    }

    /// Queues a command; the command has been carried out once `acknowledged` reaches the returned count.
    pub(super) fn queue_command(&mut self, command: ZoneCommand) -> u64 {
        self.queue.push_back(command);
        self.queued += 1;
        self.queued
    }

    /// Sends queued commands, or an empty batch if a status poll is due. At most one message is in flight at
    /// a time.
    pub(super) fn poll(&mut self, slot: CallSlot, network: &mut Network, now: u64) -> Result<(), ScaleError> {
        if self.commands_in_flight.is_some() || (self.queue.is_empty() && now < self.next_poll) {
            return Ok(());
        }
        self.next_poll = now + STATUS_INTERVAL_MS;
        let (mut commands, mut bytes) = (Vec::new(), 0);
        while bytes < COMMAND_BATCH_BYTES
            && let Some(command) = self.queue.pop_front()
        {
            let text = to_json(&command, "a command to a zone")?;
            bytes += text.len() + 1;
            commands.push(text);
        }
        self.commands_in_flight = Some(commands.len() as u64);
        let body = format!("[{}]", commands.join(","));
        let request = ("POST", "/commands", body.as_bytes());
        network.send(slot, self.address, request, now + CONTROL_REQUEST_TIMEOUT_MS);
        Ok(())
    }

    /// Stores the status of a response and counts the commands as acknowledged; returns the events.
    fn handle_status(&mut self, mut status: ZoneStatus) -> Vec<TaskEvent> {
        self.acknowledged += self.commands_in_flight.take().unwrap_or(0);
        let events = std::mem::take(&mut status.events);
        self.status = status;
        events
    }

    fn has_never_responded(&self) -> bool {
        self.acknowledged == 0 && self.status.until_ms == 0
    }

    /// Discards all commands, so that the caller can queue them again.
    fn reset(&mut self, now: u64) {
        self.commands_in_flight = None;
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
            // The process may not listen yet. The commands sent to it so far are lost; `clear_zone` makes the
            // cloud send the boot commands of its machines again.
            if link.has_never_responded() && self.clock.now() < START_TIMEOUT_MS {
                link.reset(self.clock.now());
                self.cloud.clear_zone(zone);
                return Ok(());
            }
            return Err(ScaleError::Process(format!(
                "the process of the simulated workers of zone {name} did not respond; see its log in the output directory"
            )));
        };
        let status: ZoneStatus = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: format!("status of zone {name}"), error })?;
        self.pending_events.extend(link.handle_status(status));
        Ok(())
    }
}
