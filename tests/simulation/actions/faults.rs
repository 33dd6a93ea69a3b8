//! Actions that start and end faults of the kv store, the cloud, machines and messages.

use olivelatch::coordination::Event;
use olivelatch_worker::{TaskWork, Worker};

use super::super::{PeerMessageMode, SimulatedCluster, TxnMode};
use super::requests::parse_job;
use super::{ActionResult, parse_argument, parse_seconds, usage_error};

impl SimulatedCluster {
    pub(super) fn set_kv_outage(&mut self, words: &[&str]) -> ActionResult {
        self.kv_outage = match words {
            ["on"] => true,
            ["off"] => false,
            _ => return usage_error("on or off"),
        };
        if !self.kv_outage {
            self.kv_store.renew_all_leases(self.now);
        }
        Ok(())
    }

    pub(super) fn set_cloud_outage(&mut self, words: &[&str]) -> ActionResult {
        self.cloud_down = match words {
            ["on"] => true,
            ["off"] => false,
            _ => return usage_error("on or off"),
        };
        Ok(())
    }

    /// Hangs a machine until it resumes: its worker and its tasks make no progress, no message reaches or leaves it, and
    /// its tasks are killed if the worker's lease expires meanwhile.
    pub(super) fn hang_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.hung_machines.insert((*host).into());
        Ok(())
    }

    pub(super) fn resume_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.hung_machines.remove(*host);
        Ok(())
    }

    fn worker(&mut self, host: &str) -> Result<&mut Worker, String> {
        self.workers
            .iter_mut()
            .find(|worker| worker.machine.name == host)
            .ok_or_else(|| format!("expected a machine with a worker, found {host}"))
    }

    pub(super) fn fail_tasks_on_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.worker(host)?.fails_tasks = true;
        Ok(())
    }

    /// Makes all tasks fail on one of the machines that the cloud has, chosen by a number, if there is any.
    pub(super) fn fail_tasks_on_any_machine(&mut self, words: &[&str]) -> ActionResult {
        let [number] = words else { return usage_error("NUMBER") };
        let number: usize = parse_argument(number, "a number")?;
        let present: Vec<usize> =
            (0..self.workers.len()).filter(|worker| self.machine_exists(*worker)).collect();
        if let Some(worker) = present.get(number % present.len().max(1)) {
            self.workers[*worker].fails_tasks = true;
        }
        Ok(())
    }

    /// Makes tasks succeed again on every machine.
    pub(super) fn repair_machines(&mut self, _: &[&str]) -> ActionResult {
        self.workers.iter_mut().for_each(|worker| worker.fails_tasks = false);
        Ok(())
    }

    /// Makes the job's tasks succeed from now on.
    pub(super) fn stop_task_failures(&mut self, words: &[&str]) -> ActionResult {
        let [id] = words else { return usage_error("JOB") };
        let (id, _) = parse_job(id)?;
        match self.jobs.get_mut(&id).map(|job| &mut job.work) {
            Some(TaskWork::Simulated { fails, .. }) => *fails = false,
            _ => return Err(format!("expected a submitted job, found {id}")),
        }
        Ok(())
    }

    pub(super) fn slow_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host, factor] = words else { return usage_error("HOST FACTOR") };
        self.worker(host)?.slowdown_factor = parse_argument(factor, "a factor")?;
        Ok(())
    }

    pub(super) fn announce_spot_reclaim(&mut self, words: &[&str]) -> ActionResult {
        let [host, seconds] = words else { return usage_error("HOST SECONDS") };
        let until = self.deadline_in(seconds)?;
        let worker = self.worker(host)?;
        worker.termination_at = Some(until);
        worker.has_unreported_change = true;
        Ok(())
    }

    /// Removes a machine from the cloud without notice.
    pub(super) fn remove_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.cloud.machines.retain(|machine| machine.name != *host);
        Ok(())
    }

    pub(super) fn set_change_response_mode(&mut self, words: &[&str]) -> ActionResult {
        self.change_responses_too_large = match words {
            ["too-large"] => true,
            ["normal"] => false,
            _ => return usage_error("too-large or normal"),
        };
        Ok(())
    }

    pub(super) fn set_txn_mode(&mut self, words: &[&str]) -> ActionResult {
        (self.txn_mode, self.faults.txn_delay_ms) = match words {
            ["response-lost"] => (TxnMode::ResponseLost, None),
            ["duplicated"] => (TxnMode::Duplicated, None),
            ["held"] => (TxnMode::Delayed, None),
            ["delayed", seconds] => (TxnMode::Delayed, Some((parse_seconds(seconds)? * 1000.0) as u64)),
            ["normal"] => (TxnMode::Normal, None),
            _ => return usage_error("response-lost, duplicated, held, delayed SECONDS or normal"),
        };
        Ok(())
    }

    pub(super) fn set_peer_message_mode(&mut self, words: &[&str]) -> ActionResult {
        self.peer_message_mode = match words {
            ["held"] => PeerMessageMode::Delayed,
            ["duplicated"] => PeerMessageMode::Duplicated,
            ["normal"] => PeerMessageMode::Normal,
            _ => return usage_error("held, duplicated or normal"),
        };
        Ok(())
    }

    /// Delivers the transactions, commands and messages between controllers that were held.
    pub(super) fn deliver_held(&mut self, _: &[&str]) -> ActionResult {
        for body in std::mem::take(&mut self.held_txns) {
            self.kv_store.handle_request("POST", "/txn", &body, self.now);
        }
        self.deliver_held_commands();
        for (to, sender, message) in std::mem::take(&mut self.held_peer_messages) {
            self.send_event(to, Event::Peer { controller: sender, message });
        }
        Ok(())
    }

    /// Drops the transactions, commands and messages between controllers that were held.
    pub(super) fn drop_held(&mut self, _: &[&str]) -> ActionResult {
        self.held_txns.clear();
        self.direct_commands.drop_held();
        self.held_peer_messages.clear();
        Ok(())
    }
}
