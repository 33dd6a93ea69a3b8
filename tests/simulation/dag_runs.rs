//! Graphs in scenarios: drafts that are uploaded in parts, runs that are watched, and what must hold of every start.

use std::collections::BTreeMap;

use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::graphs::{
    DagNodeRecord, GraphPart, GraphRouteRequest, NodeTemplate, parse_graph_request, split_into_parts,
};
use olivelatch_kv_store::KvEngine;
use serde_json::{Value, json};

const POLL_INTERVAL_MS: u64 = 500;
const RETRY_MS: u64 = 1_000;

/// A graph as a scenario describes it.
#[derive(Default)]
pub struct GraphDraft {
    templates: Vec<NodeTemplate>,
    pub nodes: Vec<DagNodeRecord>,
    edges: Vec<(u32, u32, u32)>,
    /// The parts that do nodes over, so far.
    rerun_parts: Vec<GraphPart>,
    next_part: u32,
}

/// What goes to a controller next, and which answer is expected (else it is repeated until it is taken).
#[derive(Clone)]
pub struct GraphRequest {
    pub run: String,
    pub path: String,
    pub body: Value,
    pub expect: Option<u16>,
    /// A commit: what it names is accepted with the answer.
    pub is_commit: bool,
}

#[derive(Default)]
pub struct DagRuns {
    drafts: BTreeMap<String, GraphDraft>,
    queue: Vec<(u64, GraphRequest)>,
    /// Runs with a request on its way.
    in_flight: Vec<String>,
    /// The last answers, by path.
    responses: BTreeMap<String, Value>,
    next_poll: BTreeMap<String, u64>,
    /// Final states of nodes that were told, by job.
    final_states: BTreeMap<String, String>,
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

    /// `after`: names, or `prefix*` for all nodes that begin so.
    pub fn add(&mut self, name: &str, job: u64, template: NodeTemplate, after: &[&str], map: Option<&str>) {
        let known = self.templates.iter().position(|other| *other == template);
        let template = known.unwrap_or_else(|| {
            self.templates.push(template);
            self.templates.len() - 1
        }) as u32;
        let at = self.nodes.len() as u32;
        for before in after {
            match before.strip_suffix('*') {
                Some(prefix) => {
                    let ours = |node: &&DagNodeRecord| node.name.starts_with(prefix);
                    let first = self.nodes.iter().position(|node| ours(&node)).expect("nodes") as u32;
                    self.edges.push((at, first, self.nodes.iter().filter(ours).count() as u32));
                }
                None => self.edges.push((at, self.position(before), 1)),
            }
        }
        let map = map.map(|map| self.position(map));
        self.nodes.push(DagNodeRecord { name: name.into(), job, template, mapped_from: map });
    }

    fn parts(&self, largest: usize) -> Vec<GraphPart> {
        split_into_parts(self.templates.clone(), self.nodes.clone(), self.edges.clone(), Vec::new(), largest)
    }

    fn upstream(&self, node: u32) -> Vec<u32> {
        let ours = self.edges.iter().filter(|(to, ..)| *to == node);
        ours.flat_map(|(_, first, count)| *first..first + count).collect()
    }

    fn downstream(&self, node: u32) -> Vec<u32> {
        let mut found = vec![node];
        for at in node + 1..self.nodes.len() as u32 {
            if self.upstream(at).iter().any(|up| found.contains(up)) {
                found.push(at);
            }
        }
        found
    }
}

impl DagRuns {
    pub fn draft(&mut self, run: &str) -> &mut GraphDraft {
        self.drafts.entry(run.into()).or_default()
    }

    fn push(&mut self, now: u64, run: &str, path: String, body: Value, expect: Option<u16>) {
        self.queue.push((now, GraphRequest { run: run.into(), path, body, expect, is_commit: false }));
    }

    /// Uploads the first `most` parts, a few in a request.
    pub fn upload(&mut self, now: u64, run: &str, largest: usize, most: usize) -> u32 {
        let parts = self.draft(run).parts(largest);
        for (at, few) in parts.iter().take(most).collect::<Vec<_>>().chunks(7).enumerate() {
            self.push(now, run, format!("graphs/{run}/parts"), json!({"first": at * 7, "parts": few}), None);
        }
        parts.len() as u32
    }

    pub fn commit(
        &mut self,
        now: u64,
        run: &str,
        graph: &str,
        parts: u32,
        most_runs: u64,
        expect: Option<u16>,
    ) {
        let draft = self.draft(run);
        draft.next_part = parts;
        let body =
            json!({"graph": graph, "parts": parts, "nodes": draft.nodes.len(), "most_runs": most_runs});
        let send = GraphRequest {
            run: run.into(),
            path: format!("graphs/{run}"),
            body,
            expect,
            is_commit: expect.is_none(),
        };
        self.queue.push((now, send));
    }

    pub fn cancel(&mut self, now: u64, run: &str) {
        self.push(now, run, format!("graphs/{run}/cancel"), json!({}), None);
    }

    /// Does a node and all behind it over, with jobs from `job` on. Returns the old and the new jobs.
    pub fn rerun(&mut self, now: u64, run: &str, node: &str, job: u64) -> Vec<(String, String)> {
        let draft = self.draft(run);
        let nodes = draft.downstream(draft.position(node));
        let rows: Vec<_> = nodes.iter().zip(job..).map(|(node, job)| (*node, 1, job)).collect();
        let mut names = Vec::new();
        for (node, _, job) in &rows {
            let row = &mut draft.nodes[*node as usize];
            names.push((job_name(row.job), job_name(*job)));
            row.job = *job;
        }
        let parts = split_into_parts(Vec::new(), Vec::new(), Vec::new(), rows, 3_000);
        let (from, count) = (draft.next_part, parts.len() as u32);
        draft.next_part += count;
        draft.rerun_parts.extend(parts.clone());
        self.push(now, run, format!("graphs/{run}/parts"), json!({"first": from, "parts": parts}), None);
        self.push(now, run, format!("graphs/{run}/redo"), json!({"from": from, "parts": count}), None);
        names
    }

    /// What is sent now: of each run one request at a time, in order.
    pub fn due_requests(&mut self, now: u64) -> Vec<GraphRequest> {
        let mut due: Vec<GraphRequest> = Vec::new();
        let mut rest = Vec::new();
        let mut waits: Vec<String> = self.in_flight.clone();
        for (at, send) in std::mem::take(&mut self.queue) {
            if at <= now && !waits.contains(&send.run) {
                waits.push(send.run.clone());
                due.push(send);
            } else {
                waits.push(send.run.clone());
                rest.push((at, send));
            }
        }
        self.queue = rest;
        self.in_flight.extend(due.iter().map(|send| send.run.clone()));
        due
    }

    /// An answer to what was sent; None: there was none. Err names what must not be.
    pub fn handle_response(
        &mut self,
        send: GraphRequest,
        answer: Option<&HttpResponse>,
        now: u64,
    ) -> Result<(), String> {
        self.in_flight.retain(|run| *run != send.run);
        let status = answer.map_or(503, |answer| answer.status);
        if let Some(expect) = send.expect {
            return match status {
                503 => {
                    self.queue.insert(0, (now + RETRY_MS, send));
                    Ok(())
                }
                _ if status == expect => Ok(()),
                _ => Err(format!("{}: answered {status} instead of {expect}", send.path)),
            };
        }
        if status < 300 {
            if send.is_commit {
                let jobs: Vec<String> =
                    self.draft(&send.run).nodes.iter().map(|node| job_name(node.job)).collect();
                self.accepted.extend(jobs);
            }
            return Ok(());
        }
        if status != 503 {
            let text =
                answer.map_or(String::new(), |answer| String::from_utf8_lossy(&answer.body).into_owned());
            return Err(format!("{}: answered {status}: {text}", send.path));
        }
        self.queue.insert(0, (now + RETRY_MS, send));
        Ok(())
    }

    /// What was last told of runs, for failures.
    pub fn responses_text(&self) -> String {
        self.responses.values().map(|answer| format!("\n  {} {}", answer["row"], answer["nodes"])).collect()
    }

    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    fn path_of(&mut self, run: &str, node: &str) -> String {
        let at = self.draft(run).position(node);
        let after = at.checked_sub(1).map_or(String::new(), |after| format!("after={after}&"));
        format!("graphs/{run}?{after}limit=1")
    }

    fn start_polling(&mut self, path: &str) {
        self.next_poll.entry(path.into()).or_insert(0);
    }

    /// Pages that are due to be asked for.
    pub fn due_polls(&mut self, now: u64) -> Vec<String> {
        let due = self.next_poll.iter_mut().filter(|(_, at)| **at <= now);
        due.map(|(path, at)| {
            *at = now + POLL_INTERVAL_MS;
            path.clone()
        })
        .collect()
    }

    /// A page came. Err: it contradicts one before.
    pub fn handle_poll_response(&mut self, path: &str, answer: &HttpResponse) -> Result<(), String> {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status != 200 {
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

    pub fn node_view(&mut self, run: &str, node: &str) -> Option<&Value> {
        let path = self.path_of(run, node);
        self.start_polling(&path);
        self.responses.get(&path)?["nodes"].as_array()?.first()
    }

    pub fn run_row(&mut self, run: &str) -> Option<&Value> {
        let path = format!("graphs/{run}?limit=1");
        self.start_polling(&path);
        Some(&self.responses.get(&path)?["row"])
    }

    /// A task of a job got its image: did its node's rule hold, by the ends that are stored?
    pub fn find_early_start(&self, job: &str, state: &KvEngine) -> Option<String> {
        let of = |draft: &GraphDraft| draft.nodes.iter().position(|node| job_name(node.job) == job);
        let (draft, at) = self.drafts.values().find_map(|draft| Some((draft, of(draft)?)))?;
        let rule = draft.templates[draft.nodes[at].template as usize].trigger_rule.as_str();
        let end = |up: u32| {
            let value = state.get(&format!("olivelatch/end/{}", job_name(draft.nodes[up as usize].job)))?;
            Some(value["end"] == "done")
        };
        let ends: Vec<Option<bool>> = draft.upstream(at as u32).into_iter().map(end).collect();
        let holds = match rule {
            "all_success" => ends.iter().all(|end| *end == Some(true)),
            "one_success" => ends.contains(&Some(true)),
            "one_failed" => ends.contains(&Some(false)),
            _ => ends.iter().all(Option::is_some),
        };
        (!holds && !ends.is_empty()).then(|| format!("{job} started before {rule} held"))
    }
}
