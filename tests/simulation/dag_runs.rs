//! Clients of the interface for graphs: they upload drafts of graphs in parts, commit, cancel and rerun runs, and poll
//! them. Also checks that no node starts before its trigger rule is satisfied.

use std::collections::BTreeMap;

use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::graphs::{
    DagNodeRecord, GraphPart, GraphRouteRequest, NodeTemplate, parse_graph_request, split_into_parts,
};
use olivelatch_kv_store::KvEngine;
use serde_json::{Value, json};

const POLL_INTERVAL_MS: u64 = 500;
/// Delay after which a request that got no response, or 503, is repeated.
const RETRY_MS: u64 = 1_000;
const PARTS_PER_REQUEST: usize = 7;
const MAX_RERUN_PART_BYTES: usize = 3_000;

/// A graph that a scenario describes.
#[derive(Default)]
pub struct GraphDraft {
    templates: Vec<NodeTemplate>,
    pub nodes: Vec<DagNodeRecord>,
    /// For each node and each range of its upstream nodes: the node, the first node of the range, and their number.
    edges: Vec<(u32, u32, u32)>,
    /// Parts that request reruns of nodes.
    rerun_parts: Vec<GraphPart>,
    /// Number of the next part after those of the commit and of earlier reruns.
    next_part: u32,
}

/// A request about a run. It is repeated while it gets no response or 503.
#[derive(Clone)]
pub struct GraphRequest {
    pub run: String,
    pub path: String,
    pub body: Value,
    /// The status that the response must have; `None` if the request must be accepted.
    pub expected_status: Option<u16>,
    /// Whether this is a commit, whose response accepts the jobs of the run.
    pub is_commit: bool,
}

/// The clients of all runs.
#[derive(Default)]
pub struct DagRuns {
    drafts: BTreeMap<String, GraphDraft>,
    /// Requests that are still to be sent, with the time at which each is due. Requests about a run keep their order.
    queue: Vec<(u64, GraphRequest)>,
    /// Runs with a request in flight.
    in_flight: Vec<String>,
    /// The last successful response for each path.
    responses: BTreeMap<String, Value>,
    /// Time of the next poll of each path.
    next_poll_at: BTreeMap<String, u64>,
    /// Final states of nodes that responses have shown, by job.
    final_states: BTreeMap<String, String>,
    /// Jobs that were accepted since the caller last emptied the list.
    pub accepted: Vec<String>,
}

fn job_name(number: u64) -> String {
    format!("job-{number:06}")
}

pub fn parse_route(method: &str, path: &str, body: &Value) -> GraphRouteRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let text = body.to_string();
    parse_graph_request(method, path, query, text.as_bytes())
        .expect("a path of the interface")
        .expect("a request")
}

impl GraphDraft {
    fn position(&self, name: &str) -> u32 {
        self.nodes.iter().position(|node| node.name == name).unwrap_or_else(|| panic!("no node {name}"))
            as u32
    }

    /// Adds a node. `after` holds names of upstream nodes, or `prefix*` for all nodes whose names start with `prefix`.
    pub fn add(&mut self, name: &str, job: u64, template: NodeTemplate, after: &[&str], map: Option<&str>) {
        let known = self.templates.iter().position(|other| *other == template);
        let template = known.unwrap_or_else(|| {
            self.templates.push(template);
            self.templates.len() - 1
        }) as u32;
        let index = self.nodes.len() as u32;
        for upstream in after {
            match upstream.strip_suffix('*') {
                Some(prefix) => {
                    let matches = |node: &&DagNodeRecord| node.name.starts_with(prefix);
                    let first = self.nodes.iter().position(|node| matches(&node)).expect("nodes") as u32;
                    self.edges.push((index, first, self.nodes.iter().filter(matches).count() as u32));
                }
                None => self.edges.push((index, self.position(upstream), 1)),
            }
        }
        let map = map.map(|map| self.position(map));
        self.nodes.push(DagNodeRecord { name: name.into(), job, template, mapped_from: map });
    }

    fn parts(&self, max_bytes: usize) -> Vec<GraphPart> {
        split_into_parts(
            self.templates.clone(),
            self.nodes.clone(),
            self.edges.clone(),
            Vec::new(),
            max_bytes,
        )
    }

    fn upstream(&self, node: u32) -> Vec<u32> {
        let ranges = self.edges.iter().filter(|(to, ..)| *to == node);
        ranges.flat_map(|(_, first, count)| *first..first + count).collect()
    }

    fn downstream(&self, node: u32) -> Vec<u32> {
        let mut found = vec![node];
        for index in node + 1..self.nodes.len() as u32 {
            if self.upstream(index).iter().any(|upstream| found.contains(upstream)) {
                found.push(index);
            }
        }
        found
    }
}

impl DagRuns {
    pub fn draft(&mut self, run: &str) -> &mut GraphDraft {
        self.drafts.entry(run.into()).or_default()
    }

    /// Queues a request other than a commit, which must be accepted.
    fn queue_request(&mut self, now: u64, run: &str, path: String, body: Value) {
        let request = GraphRequest { run: run.into(), path, body, expected_status: None, is_commit: false };
        self.queue.push((now, request));
    }

    /// Uploads at most `max_parts` of the run's parts, several per request. Returns the number of parts of the run.
    pub fn upload(&mut self, now: u64, run: &str, max_part_bytes: usize, max_parts: usize) -> u32 {
        let parts = self.draft(run).parts(max_part_bytes);
        let uploaded: Vec<_> = parts.iter().take(max_parts).collect();
        for (index, batch) in uploaded.chunks(PARTS_PER_REQUEST).enumerate() {
            let body = json!({"first": index * PARTS_PER_REQUEST, "parts": batch});
            self.queue_request(now, run, format!("graphs/{run}/parts"), body);
        }
        parts.len() as u32
    }

    /// Commits the uploaded parts. If `expected_status` is `None`, the commit must be accepted.
    pub fn commit(
        &mut self,
        now: u64,
        run: &str,
        graph: &str,
        parts: u32,
        max_active_runs: u64,
        expected_status: Option<u16>,
    ) {
        let draft = self.draft(run);
        draft.next_part = parts;
        let body =
            json!({"graph": graph, "parts": parts, "nodes": draft.nodes.len(), "most_runs": max_active_runs});
        let request = GraphRequest {
            run: run.into(),
            path: format!("graphs/{run}"),
            body,
            expected_status,
            is_commit: expected_status.is_none(),
        };
        self.queue.push((now, request));
    }

    pub fn cancel(&mut self, now: u64, run: &str) {
        self.queue_request(now, run, format!("graphs/{run}/cancel"), json!({}));
    }

    /// Reruns a node and all nodes downstream of it; their new jobs are numbered from `job`. Returns the old and the
    /// new job of each node.
    pub fn rerun(&mut self, now: u64, run: &str, node: &str, job: u64) -> Vec<(String, String)> {
        let draft = self.draft(run);
        let nodes = draft.downstream(draft.position(node));
        let rerun_ranges: Vec<_> = nodes.iter().zip(job..).map(|(node, job)| (*node, 1, job)).collect();
        let mut jobs = Vec::new();
        for (node, _, job) in &rerun_ranges {
            let record = &mut draft.nodes[*node as usize];
            jobs.push((job_name(record.job), job_name(*job)));
            record.job = *job;
        }
        let parts = split_into_parts(Vec::new(), Vec::new(), Vec::new(), rerun_ranges, MAX_RERUN_PART_BYTES);
        let (from, count) = (draft.next_part, parts.len() as u32);
        draft.next_part += count;
        draft.rerun_parts.extend(parts.clone());
        self.queue_request(now, run, format!("graphs/{run}/parts"), json!({"first": from, "parts": parts}));
        self.queue_request(now, run, format!("graphs/{run}/redo"), json!({"from": from, "parts": count}));
        jobs
    }

    /// Returns the requests that are due, in order and at most one per run.
    pub fn due_requests(&mut self, now: u64) -> Vec<GraphRequest> {
        let mut due: Vec<GraphRequest> = Vec::new();
        let mut later = Vec::new();
        let mut blocked_runs: Vec<String> = self.in_flight.clone();
        for (due_at, request) in std::mem::take(&mut self.queue) {
            let is_due = due_at <= now && !blocked_runs.contains(&request.run);
            blocked_runs.push(request.run.clone());
            if is_due {
                due.push(request);
            } else {
                later.push((due_at, request));
            }
        }
        self.queue = later;
        self.in_flight.extend(due.iter().map(|request| request.run.clone()));
        due
    }

    /// Handles the response to a request; `None` if there was none. Fails if the response has another status than
    /// expected.
    pub fn handle_response(
        &mut self,
        request: GraphRequest,
        response: Option<&HttpResponse>,
        now: u64,
    ) -> Result<(), String> {
        self.in_flight.retain(|run| *run != request.run);
        let status = response.map_or(503, |response| response.status);
        if let Some(expected) = request.expected_status {
            return match status {
                503 => {
                    self.queue.insert(0, (now + RETRY_MS, request));
                    Ok(())
                }
                _ if status == expected => Ok(()),
                _ => Err(format!("{}: got status {status} instead of {expected}", request.path)),
            };
        }
        if status < 300 {
            if request.is_commit {
                let jobs: Vec<String> =
                    self.draft(&request.run).nodes.iter().map(|node| job_name(node.job)).collect();
                self.accepted.extend(jobs);
            }
            return Ok(());
        }
        if status != 503 {
            let text = response
                .map_or(String::new(), |response| String::from_utf8_lossy(&response.body).into_owned());
            return Err(format!("{}: got status {status}: {text}", request.path));
        }
        self.queue.insert(0, (now + RETRY_MS, request));
        Ok(())
    }

    /// Returns the last responses about runs, for failure messages.
    pub fn responses_text(&self) -> String {
        self.responses.values().map(|body| format!("\n  {} {}", body["row"], body["nodes"])).collect()
    }

    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the path of the page that has only this node of the run.
    fn node_path(&mut self, run: &str, node: &str) -> String {
        let index = self.draft(run).position(node);
        let after = index.checked_sub(1).map_or(String::new(), |after| format!("after={after}&"));
        format!("graphs/{run}?{after}limit=1")
    }

    fn start_polling(&mut self, path: &str) {
        self.next_poll_at.entry(path.into()).or_insert(0);
    }

    /// Returns the paths of pages that are due to be polled.
    pub fn due_polls(&mut self, now: u64) -> Vec<String> {
        let due = self.next_poll_at.iter_mut().filter(|(_, due_at)| **due_at <= now);
        due.map(|(path, due_at)| {
            *due_at = now + POLL_INTERVAL_MS;
            path.clone()
        })
        .collect()
    }

    /// Handles the response to a poll. Fails if it contradicts an earlier one.
    pub fn handle_poll_response(&mut self, path: &str, response: &HttpResponse) -> Result<(), String> {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if response.status != 200 {
            self.responses.remove(path);
            return Ok(());
        }
        for node in body["nodes"].as_array().into_iter().flatten() {
            let (job, state) = (node["job"].as_str().unwrap_or(""), node["state"].as_str().unwrap_or(""));
            let known = self.final_states.get(job);
            if let Some(known) = known.filter(|known| *known != state) {
                return Err(format!("went_back: node {job} was {known} and is {state}"));
            }
            if ["success", "failed", "upstream_failed", "skipped", "cancelled"].contains(&state) {
                self.final_states.insert(job.into(), state.into());
            }
        }
        self.responses.insert(path.into(), body);
        Ok(())
    }

    /// Returns a node as the last response showed it. Starts to poll it if necessary.
    pub fn node_view(&mut self, run: &str, node: &str) -> Option<&Value> {
        let path = self.node_path(run, node);
        self.start_polling(&path);
        self.responses.get(&path)?["nodes"].as_array()?.first()
    }

    /// Returns a run as the last response showed it. Starts to poll it if necessary.
    pub fn run_row(&mut self, run: &str) -> Option<&Value> {
        let path = format!("graphs/{run}?limit=1");
        self.start_polling(&path);
        Some(&self.responses.get(&path)?["row"])
    }

    /// Called when a task of a job has started. Returns a violation if the terminal records of the upstream nodes do
    /// not satisfy the trigger rule of the job's node.
    pub fn find_early_start(&self, job: &str, kv_store: &KvEngine) -> Option<String> {
        let find_node = |draft: &GraphDraft| draft.nodes.iter().position(|node| job_name(node.job) == job);
        let (draft, index) = self.drafts.values().find_map(|draft| Some((draft, find_node(draft)?)))?;
        let rule = draft.templates[draft.nodes[index].template as usize].trigger_rule.as_str();
        let succeeded = |upstream: u32| {
            let job = job_name(draft.nodes[upstream as usize].job);
            Some(kv_store.get(&format!("olivelatch/end/{job}"))?["end"] == "done")
        };
        let outcomes: Vec<Option<bool>> = draft.upstream(index as u32).into_iter().map(succeeded).collect();
        let is_satisfied = match rule {
            "all_success" => outcomes.iter().all(|outcome| *outcome == Some(true)),
            "one_success" => outcomes.contains(&Some(true)),
            "one_failed" => outcomes.contains(&Some(false)),
            _ => outcomes.iter().all(Option::is_some),
        };
        (!is_satisfied && !outcomes.is_empty())
            .then(|| format!("{job} started before its trigger rule {rule} was satisfied"))
    }
}
