//! The conditions that scenarios wait for and expect, grouped by subject. Evaluating a condition on a job or a run also
//! starts the polls and queries whose responses show whether it holds.

use olivelatch::coordination::controller::Controller;
use olivelatch_worker::Worker;
use serde_json::Value;

use super::job_stream::JobStream;
use super::operator_queries::job_name;
use super::{ControllerSlot, PendingRequest, SimulatedCluster};

const POLL_INTERVAL_MS: u64 = 500;
/// How long after a response about a job the condition `recently-answered` holds.
const RECENT_RESPONSE_MS: u64 = 5_000;

fn compare(value: u64, operator: &str, right: &str) -> bool {
    let right: u64 = right.parse().unwrap_or_else(|_| panic!("expected a number, found {right}"));
    match operator {
        ">=" => value >= right,
        "<=" => value <= right,
        "=" => value == right,
        _ => panic!("expected >=, <= or =, found {operator}"),
    }
}

/// Returns the number of tasks that the worker runs, without those that wait for their image.
fn running_tasks(worker: &Worker) -> u64 {
    worker.attempts.iter().filter(|attempt| attempt.has_image && !attempt.is_ended()).count() as u64
}

impl SimulatedCluster {
    pub fn condition_holds(&mut self, words: &[&str]) -> bool {
        self.job_condition(words)
            .or_else(|| self.operator_condition(words))
            .or_else(|| self.graph_condition(words))
            .or_else(|| self.record_condition(words))
            .or_else(|| self.machine_condition(words))
            .or_else(|| self.controller_condition(words))
            .unwrap_or_else(|| panic!("expected a condition, found {}", words.join(" ")))
    }

    fn poll_until_final(&mut self, id: &str) {
        if !self.final_states.contains_key(id) && self.now % POLL_INTERVAL_MS == 0 {
            self.poll_job(id);
        }
    }

    /// Conditions on what users know about jobs, and on the tasks of cancelled jobs.
    fn job_condition(&mut self, words: &[&str]) -> Option<bool> {
        Some(match words {
            [status @ ("done" | "withdrawn"), id] => {
                let id = job_name(id);
                self.poll_until_final(&id);
                self.final_states.get(&id).is_some_and(|known| known == status)
            }
            ["ended", id] => {
                let id = job_name(id);
                self.poll_until_final(&id);
                self.final_states.contains_key(&id)
            }
            // The users know the final state of every job of the stream.
            ["stream-finished"] => self.job_stream.as_ref().is_some_and(JobStream::is_finished),
            // The longest time, in ms, from the end of a job's last task until its user knew the final state.
            ["notification-delay", op, right] => self
                .job_stream
                .as_ref()
                .is_some_and(|stream| compare(stream.max_notification_delay_ms, op, right)),
            // The users have had a recent response about each of these jobs.
            ["recently-answered", ids @ ..] => {
                let ids: Vec<String> = ids.iter().map(|id| job_name(id)).collect();
                if self.now % POLL_INTERVAL_MS == 0 {
                    ids.iter().for_each(|id| self.poll_job(id));
                }
                let known = |id: &String| {
                    self.faults.last_answered_at.get(id).is_some_and(|at| self.now <= at + RECENT_RESPONSE_MS)
                };
                ids.iter().all(known)
            }
            // How many jobs' users know that their jobs are cancelled.
            ["reported-cancelled", op, right] => compare(self.cancelled.len() as u64, op, right),
            // The longest time, in ms, that a task ran after its user knew of the cancellation.
            ["longest-cancelled-run", op, right] => {
                compare(self.faults.longest_run_after_cancel_ms, op, right)
            }
            ["accepted", id] => self.accepted_jobs.contains(&job_name(id)),
            // How many tasks started after their user knew of the cancellation.
            ["started-after-cancel", op, right] => compare(self.faults.started_after_cancel, op, right),
            // How many tasks were killed because the lease of their worker had expired.
            ["killed-on-lease-expiry", op, right] => compare(self.faults.killed_on_lease_expiry, op, right),
            ["running", id, op, right] => {
                let id = job_name(id);
                let attempts = self.workers.iter().flat_map(|worker| &worker.attempts);
                let count = attempts
                    .filter(|attempt| attempt.job_name() == id && attempt.has_image && !attempt.is_ended())
                    .count();
                compare(count as u64, op, right)
            }
            // How many tasks of the job have started so far, repeated starts included.
            ["starts", id, op, right] => {
                compare(self.start_counts.get(&job_name(id)).copied().unwrap_or(0), op, right)
            }
            // How many attempts of the job the workers have received, including those that have exited.
            ["attempts", id, op, right] => {
                let id = job_name(id);
                let attempts = self.workers.iter().flat_map(|worker| &worker.attempts);
                compare(attempts.filter(|attempt| attempt.job_name() == id).count() as u64, op, right)
            }
            _ => return None,
        })
    }

    /// Conditions on the responses to operators' queries.
    fn operator_condition(&mut self, words: &[&str]) -> Option<bool> {
        Some(match words {
            ["reason", id, word] => {
                self.operator_queries.start_query("explain", &job_name(id));
                self.operator_queries.response_contains("explain", &job_name(id), word)
            }
            ["no-reason", id, word] => {
                let id = job_name(id);
                self.operator_queries.start_query("explain", &id);
                self.operator_queries.response("explain", &id).is_some()
                    && !self.operator_queries.response_contains("explain", &id, word)
            }
            ["event", id, word] => {
                self.operator_queries.start_query("events", &job_name(id));
                self.operator_queries.response_contains("events", &job_name(id), word)
            }
            ["inspected", id, pointer, "=", value] => {
                self.operator_queries.start_query("inspect", &job_name(id));
                let found = self
                    .operator_queries
                    .response("inspect", &job_name(id))
                    .and_then(|body| body.pointer(pointer));
                found.is_some_and(|found| found.to_string().trim_matches('"') == *value)
            }
            ["explain-value", id, pointer, op, right] => {
                self.operator_queries.start_query("explain", &job_name(id));
                let found = self
                    .operator_queries
                    .response("explain", &job_name(id))
                    .and_then(|body| body.pointer(pointer));
                found.and_then(Value::as_f64).is_some_and(|found| compare(found as u64, op, right))
            }
            ["listed", op, right] => {
                self.operator_queries.pagination_length().is_some_and(|rows| compare(rows as u64, op, right))
            }
            ["config", rest @ ..] => self.config_condition_holds(rest),
            _ => return None,
        })
    }

    /// Conditions on DAG runs and their nodes.
    fn graph_condition(&mut self, words: &[&str]) -> Option<bool> {
        Some(match words {
            ["node", run, node, state] => {
                self.dag_runs.node_view(run, node).is_some_and(|found| found["state"] == **state)
            }
            ["node", run, node, pointer, op, right] => {
                let found = self.dag_runs.node_view(run, node).and_then(|found| found.pointer(pointer));
                found.and_then(Value::as_u64).is_some_and(|found| compare(found, op, right))
            }
            ["run", run, state] => self.dag_runs.run_row(run).is_some_and(|row| row["state"] == **state),
            ["nodes", run, state, op, right] => {
                let found = self.dag_runs.run_row(run).map(|row| row["states"][*state].as_u64().unwrap_or(0));
                found.is_some_and(|found| compare(found, op, right))
            }
            ["graph-requests-answered"] => {
                self.dag_runs.is_idle()
                    && !self
                        .requests_in_flight
                        .values()
                        .any(|request| matches!(request, PendingRequest::Graph(_)))
            }
            _ => return None,
        })
    }

    /// Conditions on the records in the kv store.
    fn record_condition(&self, words: &[&str]) -> Option<bool> {
        Some(match words {
            ["record", key, op @ ("has" | "lacks"), word] => {
                let value = self.kv_store.get(key).map(Value::to_string);
                value.is_some_and(|value| value.contains(word) == (*op == "has"))
            }
            ["keys", prefix, op, right] => {
                let count = self.kv_store.keys().filter(|key| key.starts_with(prefix)).count();
                compare(count as u64, op, right)
            }
            ["granted-leases", op, right] => compare(self.kv_store.granted_lease_count(), op, right),
            ["records", op, right] => compare(self.kv_store.len() as u64, op, right),
            _ => return None,
        })
    }

    /// Conditions on machines and their tasks.
    fn machine_condition(&self, words: &[&str]) -> Option<bool> {
        Some(match words {
            ["tasks-on", host, op, right] => {
                let worker = self.workers.iter().find(|worker| worker.machine.name == *host);
                worker.is_some_and(|worker| compare(running_tasks(worker), op, right))
            }
            // The longest body of a heartbeat so far, in bytes.
            ["longest-heartbeat", op, right] => compare(self.longest_heartbeat_bytes, op, right),
            // How many heartbeats the workers have sent so far.
            ["heartbeats", op, right] => compare(self.heartbeat_count, op, right),
            ["machines", op, right] => compare(self.cloud.machines.len() as u64, op, right),
            ["workers", op, right] => compare(self.workers.len() as u64, op, right),
            ["tasks", op, right] => compare(self.workers.iter().map(running_tasks).sum(), op, right),
            ["released", host] => self.cloud.released.iter().any(|name| name == host),
            _ => return None,
        })
    }

    /// Conditions on controllers and the counters of leaders.
    fn controller_condition(&self, words: &[&str]) -> Option<bool> {
        Some(match words {
            ["counter", name, op, right] => {
                compare(self.counters.get(*name).copied().unwrap_or(0), op, right)
            }
            ["leader", op, node] => {
                let leads = self
                    .controllers
                    .iter()
                    .any(|slot| slot.is_leader() && (*node == "any" || slot.name == *node));
                (*op == "=") == leads
            }
            ["leaders", op, right] => {
                compare(self.controllers.iter().filter(|slot| slot.is_leader()).count() as u64, op, right)
            }
            ["idle-controllers", op, right] => {
                let is_idle =
                    |slot: &&ControllerSlot| slot.controller.as_ref().is_some_and(Controller::is_idle);
                compare(self.controllers.iter().filter(is_idle).count() as u64, op, right)
            }
            ["ready", node] => {
                let slot = &self.controllers[self.controller_index(node)];
                slot.controller.as_ref().is_some_and(Controller::is_ready)
            }
            ["unready", "any"] => self
                .controllers
                .iter()
                .any(|slot| slot.controller.as_ref().is_some_and(|controller| !controller.is_ready())),
            _ => return None,
        })
    }
}
