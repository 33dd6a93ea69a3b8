//! Carries out the run's commands to a zone: boots and removes machines, stores job descriptions, partitions
//! the network and reports the status.

use std::sync::atomic::Ordering;

use olivelatch_net::client::CallSlot;
use olivelatch_net::server::ListenerId;
use olivelatch_worker::{HeartbeatSender, Worker};
use rand::RngExt;

use super::Zone;
use super::observation::WorkerContext;
use crate::control::{SimulatedMachine, ZoneCommand};
use crate::error::{ScaleError, io_error};

impl Zone {
    /// Carries out the commands in `body`; returns the zone's status. Each event is delivered in one status
    /// only.
    pub(super) fn handle_control_message(&mut self, body: &[u8], now: u64) -> Result<Vec<u8>, ScaleError> {
        let json_error = |error| ScaleError::Json { what: "commands from the run".into(), error };
        self.last_command_at = now;
        let commands: Vec<ZoneCommand> = serde_json::from_slice(body).map_err(json_error)?;
        for command in commands {
            self.handle_control_command(command, now)?;
        }
        self.observe_workers(now);
        self.update_status(now);
        let body = serde_json::to_vec(&self.status).map_err(json_error)?;
        self.status.events.clear();
        Ok(body)
    }

    fn handle_control_command(&mut self, command: ZoneCommand, now: u64) -> Result<(), ScaleError> {
        match command {
            ZoneCommand::Boot(machine) => self.boot_worker(machine, now)?,
            ZoneCommand::Remove(name) => self.remove_worker(&name, now),
            ZoneCommand::Describe(job) => drop(self.jobs.insert(job.job.clone(), job.into())),
            ZoneCommand::SetPartitioned(true) => self.partition(),
            ZoneCommand::SetPartitioned(false) => self.heal_partition(),
        }
        Ok(())
    }

    fn update_status(&mut self, now: u64) {
        let syscalls = &self.poller.syscalls;
        self.status.until_ms = now;
        self.status.workers = self.workers.len();
        self.status.tasks_on_machines =
            self.worker_contexts.iter().map(WorkerContext::tasks_on_machine).sum();
        self.status.bytes_in =
            syscalls.bytes_read.load(Ordering::Relaxed).saturating_sub(self.control_traffic.bytes_in);
        self.status.bytes_out =
            syscalls.bytes_written.load(Ordering::Relaxed).saturating_sub(self.control_traffic.bytes_out);
    }

    fn boot_worker(&mut self, machine: SimulatedMachine, now: u64) -> Result<(), ScaleError> {
        let listener = ListenerId(self.next_listener);
        self.next_listener += 1;
        let endpoint = machine.endpoint.clone();
        let address = endpoint.parse().map_err(|_| {
            ScaleError::Process(format!("address of a worker: expected IP:PORT, not {endpoint}"))
        })?;
        self.server
            .listen(&mut self.keys, address, listener)
            .map_err(io_error(format!("listening on {endpoint}")))?;
        // A random delay within the heartbeat interval, so that workers that boot together do not send their
        // heartbeats at the same time.
        let first_heartbeat = now + self.rng.random_range(0..self.heartbeat_times.interval_ms.max(1));
        let controller = self.rng.random_range(0..self.arguments.controllers.len());
        self.worker_by_listener.insert(listener, self.workers.len());
        self.workers.push(Worker::new(machine.into(), now));
        let heartbeat_sender = HeartbeatSender::new(controller, first_heartbeat);
        self.worker_contexts.push(WorkerContext::new(listener, heartbeat_sender));
        Ok(())
    }

    fn remove_worker(&mut self, name: &str, now: u64) {
        let Some(index) = self.workers.iter().position(|worker| worker.machine.name == name) else { return };
        self.observe_workers(now);
        self.workers.swap_remove(index);
        let removed = self.worker_contexts.swap_remove(index);
        removed.observe_removal(name, now, &mut self.status.events);
        self.worker_by_listener.remove(&removed.listener);
        if let Some(moved) = self.worker_contexts.get(index) {
            self.worker_by_listener.insert(moved.listener, index);
        }
        self.server.close_listener(removed.listener);
        self.http_client.abort_call(CallSlot(removed.listener.0));
    }

    fn partition(&mut self) {
        self.partitioned = true;
        // The heartbeats in flight are lost.
        let slots: Vec<CallSlot> =
            self.worker_contexts.iter().map(|worker| CallSlot(worker.listener.0)).collect();
        let now = self.clock.now();
        for slot in slots {
            self.http_client.abort_call(slot);
            self.handle_heartbeat_response(slot, None, now);
        }
    }

    fn heal_partition(&mut self) {
        self.partitioned = false;
        for connection in std::mem::take(&mut self.unanswered_connections) {
            // The senders have timed out by now; their requests are not carried out.
            self.server.respond(connection, 503, b"{}");
        }
    }
}
