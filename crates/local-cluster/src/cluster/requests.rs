//! Requests to the region: each goes to the part that serves its listener, and its response waits for the next commit.

use olivelatch_kv_store::query_parameter;
use olivelatch_net::server::{ConnectionId, IncomingRequest};
use serde_json::{Value, json};

use super::{CLOUD_LISTENER, JOB_STORE, KV_STORE, LocalCluster};

/// The longest that a request for changes waits.
const MAX_WATCH_MS: u64 = 60_000;

/// A request for changes that waits until there is one.
pub(super) struct PendingWatch {
    connection: ConnectionId,
    path: String,
    prefix: String,
    after: u64,
    deadline: u64,
}

impl LocalCluster {
    /// Carries out a request. Its response goes out after the next commit, and with it the connection's next request is
    /// read.
    pub(super) fn handle_request(&mut self, incoming: IncomingRequest, now: u64) -> Option<IncomingRequest> {
        self.requests += 1;
        let IncomingRequest { connection, listener, request } = incoming;
        let (method, path, body) = (request.method.as_str(), request.path.as_str(), request.body.as_slice());
        let (status, body) = match listener {
            KV_STORE => {
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
            JOB_STORE => {
                let response = self.job_store.handle_request(&self.folder, method, path, body);
                response.unwrap_or_else(|| self.describe_cluster(method, path))
            }
            _ => self.machines.handle_request(listener, method, path, body, &self.job_store, now),
        };
        self.pending_responses.push((connection, status, body));
        None
    }

    /// The watch that a request for changes becomes if there are none yet and it may wait.
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
        let value = |name: &str| query_parameter(path, name);
        let block_ms = value("block_ms")?.parse::<u64>().ok().filter(|ms| *ms > 0)?.min(MAX_WATCH_MS);
        let after = value("after")?.parse().ok()?;
        let prefix = value("starts").unwrap_or("").to_string();
        let must_wait = !self.kv_engine.has_changed(&prefix, after);
        must_wait.then(|| PendingWatch {
            connection,
            path: path.into(),
            prefix,
            after,
            deadline: now + block_ms,
        })
    }

    /// Answers the watches that have a change, and those whose time is over.
    pub(super) fn answer_due_watches(&mut self, now: u64) {
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

    /// Requests on the region itself, for `olivelatchctl` and tests.
    fn describe_cluster(&mut self, method: &str, path: &str) -> (u16, Value) {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (method, parts.as_slice()) {
            ("GET", ["region"]) => {
                let machines = self.machines.names();
                (
                    200,
                    json!({"plan": self.addresses, "folder": self.folder, "machines": machines,
                    "busy": self.machines.running_tasks(), "processes": self.processes.running_count(),
                    "pids": self.controllers.pids(), "revision": self.kv_engine.revision(), "requests": self.requests}),
                )
            }
            // For demonstrations and tests: as if the controller's process had crashed.
            ("POST", ["controllers", index, "kill"]) => match index.parse::<usize>() {
                Ok(index) if index < self.addresses.controllers.len() => {
                    self.controllers.kill_controller(index);
                    (200, json!({"killed": index}))
                }
                _ => (404, json!({"error": "no such controller"})),
            },
            _ => (404, json!({"error": "no such path"})),
        }
    }
}
