//! What scenarios wait for and expect.

use olivelatch::coordination::controller::Controller;
use olivelatch_worker::Worker;
use serde_json::Value;

use super::job_stream::JobStream;
use super::operator_queries::job_name;
use super::{ControllerSlot, PendingRequest, SimulatedCluster};

impl SimulatedCluster {
    pub fn condition_holds(&mut self, words: &[&str]) -> bool {
        let compare = |value: u64, op: &str, right: &str| {
            let right: u64 = right.parse().expect("a number");
            match op {
                ">=" => value >= right,
                "<=" => value <= right,
                "=" => value == right,
                _ => panic!("unknown comparison {op}"),
            }
        };
        let name = |word: &str| format!("job-{:06}", word.parse::<u64>().expect("a job number"));
        let on =
            |worker: &Worker| worker.attempts.iter().filter(|p| p.has_image && !p.is_ended()).count() as u64;
        match words {
            [status @ ("done" | "withdrawn"), id] => {
                let id = name(id);
                if !self.final_states.contains_key(&id) && self.now % 500 == 0 {
                    self.poll_job(&id);
                }
                self.final_states.get(&id).is_some_and(|known| known == status)
            }
            ["ended", id] => {
                let id = name(id);
                if !self.final_states.contains_key(&id) && self.now % 500 == 0 {
                    self.poll_job(&id);
                }
                self.final_states.contains_key(&id)
            }
            // Every job of the stream has been told to be over.
            ["streamed"] => self.job_stream.as_ref().is_some_and(JobStream::is_finished),
            // The longest time from the end of a job's last task until that was told, in milliseconds.
            ["told_late", op, right] => self
                .job_stream
                .as_ref()
                .is_some_and(|stream| compare(stream.max_notification_delay_ms, op, right)),
            ["explained", id, word] => {
                self.operator_queries.start_query("explain", &job_name(id));
                self.operator_queries.response_contains("explain", &job_name(id), word)
            }
            ["unexplained", id, word] => {
                let id = job_name(id);
                self.operator_queries.start_query("explain", &id);
                self.operator_queries.response("explain", &id).is_some()
                    && !self.operator_queries.response_contains("explain", &id, word)
            }
            ["noted", id, word] => {
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
            ["figure", id, pointer, op, right] => {
                self.operator_queries.start_query("explain", &job_name(id));
                let found = self
                    .operator_queries
                    .response("explain", &job_name(id))
                    .and_then(|body| body.pointer(pointer));
                found.and_then(Value::as_f64).is_some_and(|found| compare(found as u64, op, right))
            }
            ["known", ids @ ..] => {
                let ids: Vec<String> = ids.iter().map(|id| name(id)).collect();
                if self.now % 500 == 0 {
                    ids.iter().for_each(|id| self.poll_job(id));
                }
                let known = |id: &String| {
                    self.faults.last_answered_at.get(id).is_some_and(|at| self.now <= at + 5_000)
                };
                ids.iter().all(known)
            }
            ["confirmed", op, right] => compare(self.cancelled.len() as u64, op, right),
            // In milliseconds, after its user had been told.
            ["stayed", op, right] => compare(self.faults.longest_cancelled_stay_ms, op, right),
            ["accepted", id] => self.accepted_jobs.contains(&name(id)),
            ["record", key, op @ ("has" | "lacks"), word] => {
                let value = self.kv_store.get(key).map(Value::to_string);
                value.is_some_and(|value| value.contains(word) == (*op == "has"))
            }
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
            ["sent"] => {
                self.dag_runs.is_idle()
                    && !self.requests_in_flight.values().any(|call| matches!(call, PendingRequest::Graph(_)))
            }
            ["keys", prefix, op, right] => {
                let count = self.kv_store.keys().filter(|key| key.starts_with(prefix)).count();
                compare(count as u64, op, right)
            }
            ["listed", op, right] => {
                self.operator_queries.pagination_length().is_some_and(|rows| compare(rows as u64, op, right))
            }
            ["running", id, op, right] => {
                let id = name(id);
                let pieces = self.workers.iter().flat_map(|worker| &worker.attempts);
                let count = pieces.filter(|p| p.job_name() == id && p.has_image && !p.is_ended()).count();
                compare(count as u64, op, right)
            }
            ["counter", name, op, right] => {
                compare(self.counters.get(*name).copied().unwrap_or(0), op, right)
            }
            ["on", host, op, right] => {
                let worker = self.workers.iter().find(|worker| worker.machine.name == *host);
                worker.is_some_and(|worker| compare(on(worker), op, right))
            }
            // Tasks that started after their user had been told that the job is cancelled.
            ["started_cancelled", op, right] => compare(self.faults.started_cancelled, op, right),
            // Tasks that ended with the lease of their worker.
            ["lost_with_lease", op, right] => compare(self.faults.lost_with_lease, op, right),
            ["machines", op, right] => compare(self.cloud.machines.len() as u64, op, right),
            ["workers", op, right] => compare(self.workers.len() as u64, op, right),
            ["tasks", op, right] => compare(self.workers.iter().map(on).sum(), op, right),
            ["leader", op, node] => {
                let leads_any = self
                    .controllers
                    .iter()
                    .any(|slot| slot.is_leader() && (*node == "any" || slot.name == *node));
                (*op == "=") == leads_any
            }
            ["leaders", op, right] => {
                compare(self.controllers.iter().filter(|slot| slot.is_leader()).count() as u64, op, right)
            }
            ["quiet", op, right] => {
                let quiet =
                    |slot: &&ControllerSlot| slot.controller.as_ref().is_some_and(Controller::is_idle);
                compare(self.controllers.iter().filter(quiet).count() as u64, op, right)
            }
            ["ready", node] => {
                let slot = self.controllers.iter().find(|slot| slot.name == *node).expect("a node");
                slot.controller.as_ref().is_some_and(Controller::is_ready)
            }
            ["unready", "any"] => self
                .controllers
                .iter()
                .any(|slot| slot.controller.as_ref().is_some_and(|node| !node.is_ready())),
            ["released", host] => self.cloud.released.iter().any(|name| name == host),
            ["grants", op, right] => compare(self.kv_store.granted_lease_count(), op, right),
            ["config", rest @ ..] => self.config_condition_holds(rest),
            ["records", op, right] => compare(self.kv_store.len() as u64, op, right),
            _ => panic!("unknown condition {words:?}"),
        }
    }
}
