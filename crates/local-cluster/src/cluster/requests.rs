//! Dispatches requests to the component that serves their listener. Responses wait for the next commit.

use olivelatch_kv_store::query_parameter;
use olivelatch_net::server::{ConnectionId, IncomingRequest};
use serde_json::{Value, json};

use super::{CLOUD_LISTENER, JOB_STORE_LISTENER, KV_STORE_LISTENER, LocalCluster};

/// Upper bound of the time that a request for changes may wait.
const MAX_WATCH_MS: u64 = 60_000;

/// A request for changes that waits for a change or for its time-out.
pub(super) struct PendingWatch {
    connection: ConnectionId,
    path: String,
    prefix: String,
    after: u64,
    deadline: u64,
}

impl LocalCluster {
    /// Handles a request, and queues its response until the next commit. Always returns `None`: the connection's next
    /// request is read when the response has been sent.
    pub(super) fn handle_request(&mut self, incoming: IncomingRequest, now: u64) -> Option<IncomingRequest> {
        self.requests += 1;
        let IncomingRequest { connection, listener, request } = incoming;
        let (method, path, body) = (request.method.as_str(), request.path.as_str(), request.body.as_slice());
        let (status, body) = match listener {
            KV_STORE_LISTENER => {
                if let Some(watch) = self.pending_watch(connection, method, path, now) {
                    self.pending_watches.push(watch);
                    return None;
                }
                self.kv_engine.handle_request(method, path, body, now)
            }
            CLOUD_LISTENER => {
                self.cloud_changed |= method == "POST";
                self.cloud.handle_request(method, path, body, now)
            }
            JOB_STORE_LISTENER => {
                let response = self.job_store.handle_request(&self.folder, method, path, body);
                response.unwrap_or_else(|| self.handle_cluster_request(method, path))
            }
            _ => self.machines.handle_request(listener, method, path, body, &self.job_store, now),
        };
        self.pending_responses.push((connection, status, body));
        None
    }

    /// Returns the watch for a request for changes, if it allows waiting and there are no changes yet.
    fn pending_watch(
        &self,
        connection: ConnectionId,
        method: &str,
        path: &str,
        now: u64,
    ) -> Option<PendingWatch> {
        if method != "GET" || !path.starts_with("/changes?") {
            return None;
        }
        let parameter = |name: &str| query_parameter(path, name);
        let block_ms = parameter("block_ms")?.parse::<u64>().ok().filter(|ms| *ms > 0)?.min(MAX_WATCH_MS);
        let after = parameter("after")?.parse().ok()?;
        let prefix = parameter("starts").unwrap_or("").to_string();
        let must_wait = !self.kv_engine.has_changed(&prefix, after);
        must_wait.then(|| PendingWatch {
            connection,
            path: path.into(),
            prefix,
            after,
            deadline: now + block_ms,
        })
    }

    /// Queues the responses to watches that have a change or have timed out.
    pub(super) fn complete_due_watches(&mut self, now: u64) {
        let (due, waiting): (Vec<PendingWatch>, Vec<PendingWatch>) =
            std::mem::take(&mut self.pending_watches).into_iter().partition(|watch| {
                watch.deadline <= now || self.kv_engine.has_changed(&watch.prefix, watch.after)
            });
        self.pending_watches = waiting;
        for watch in due {
            let (status, body) = self.kv_engine.handle_request("GET", &watch.path, b"", now);
            self.pending_responses.push((watch.connection, status, body));
        }
    }

    /// Handles requests about the local cluster itself, which come from `olivelatchctl` and tests.
    fn handle_cluster_request(&mut self, method: &str, path: &str) -> (u16, Value) {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (method, segments.as_slice()) {
            ("GET", ["region"]) => {
                let machines = self.machines.names();
                (
                    200,
                    json!({"plan": self.addresses, "folder": self.folder, "machines": machines,
                    "busy": self.machines.running_tasks(), "processes": self.processes.running_count(),
                    "pids": self.controllers.pids(), "revision": self.kv_engine.revision(), "requests": self.requests}),
                )
            }
            // For demonstrations and tests: kills the controller's process, as in a crash.
            ("POST", ["controllers", index, "kill"]) => match index.parse::<usize>() {
                Ok(index) if index < self.addresses.controllers.len() => {
                    self.controllers.kill_controller(index);
                    (200, json!({"killed": index}))
                }
                _ => {
                    let count = self.addresses.controllers.len();
                    (
                        404,
                        json!({"error": format!("no controller with index {index:?}; this cluster has {count} controllers")}),
                    )
                }
            },
            _ => (404, json!({"error": "no such path"})),
        }
    }
}
