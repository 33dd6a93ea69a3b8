//! Requests on runs of graphs: uploaded in parts, committed atomically, read page by page.

use olivelatch::protocol::graphs::{
    DagRunDetail, DagRunHeader, DagRunList, DagRunSummary, GraphPart, RerunRequest,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::Client;
use crate::exchange::ClientError;

/// Parts of one request together; controllers accept bodies up to 64 KiB.
const MAX_BODY_BYTES: usize = 48 * 1024;
/// How often a commit is tried; parts that are missing are uploaded in between.
const MAX_COMMIT_ATTEMPTS: usize = 3;
/// Rows of a page, as the controllers limit them.
const RUNS_PER_PAGE: usize = 200;
const NODES_PER_PAGE: usize = 500;

/// The body of a commit that is refused as parts of it are not stored.
#[derive(Deserialize)]
struct MissingParts {
    #[serde(default)]
    missing: Vec<u32>,
}

/// The end of the batch of parts from `start` on that one request may hold; at least one part.
fn end_of_batch(parts: &[GraphPart], start: usize) -> Result<usize, serde_json::Error> {
    let (mut end, mut bytes) = (start, 0);
    while end < parts.len() {
        let size = serde_json::to_string(&parts[end])?.len() + 1;
        if end > start && bytes + size > MAX_BODY_BYTES {
            break;
        }
        bytes += size;
        end += 1;
    }
    Ok(end)
}

fn state_of(response: &Value) -> String {
    response["state"].as_str().unwrap_or("").into()
}

impl Client {
    fn post_change(&mut self, path: &str, body: &Value) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", path, body.to_string().as_bytes())?)?)
    }

    /// Stores parts under consecutive numbers from `first`, as many in a request as its body may hold.
    fn upload_parts(&mut self, run: &str, first: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        let mut start = 0;
        while start < parts.len() {
            let end = end_of_batch(parts, start)?;
            let body = json!({"first": first + start as u32, "parts": parts[start..end]});
            self.post_change(&format!("/v1/graphs/{run}/parts"), &body)?;
            start = end;
        }
        Ok(())
    }

    /// Uploads the parts of a run and commits them atomically, and returns the run's state. Repeated, it is the same run.
    ///
    /// # Errors
    /// The run is refused, its parts go missing repeatedly, or no controller answers in time.
    pub fn submit_run(
        &mut self,
        run: &str,
        header: &DagRunHeader,
        parts: &[GraphPart],
    ) -> Result<String, ClientError> {
        self.upload_parts(run, 0, parts)?;
        let body = serde_json::to_value(header)?;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.post_change(&format!("/v1/graphs/{run}"), &body) {
                Ok(response) => return Ok(state_of(&response)),
                Err(ClientError::Refused { status: 409, text, body }) => {
                    // Parts of an upload that takes too long are dropped by the controllers.
                    let missing = serde_json::from_slice::<MissingParts>(&body)
                        .map_or(Vec::new(), |refusal| refusal.missing);
                    if missing.is_empty() {
                        return Err(ClientError::Refused { status: 409, text, body });
                    }
                    for part in missing.into_iter().filter(|part| (*part as usize) < parts.len()) {
                        self.upload_parts(run, part, &parts[part as usize..=part as usize])?;
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Err(ClientError::Refused { status: 409, text: "parts go missing".into(), body: Vec::new() })
    }

    /// One page of the list of runs, of one graph or of all.
    ///
    /// # Errors
    /// No controller answers in time, or it refuses the request.
    pub fn runs(&mut self, graph: Option<&str>, after: Option<&str>) -> Result<DagRunList, ClientError> {
        let graph = graph.map_or(String::new(), |graph| format!("&graph={graph}"));
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/graphs?limit={RUNS_PER_PAGE}{graph}{after}"))
    }

    /// A run without its nodes.
    ///
    /// # Errors
    /// The run is unknown, or no controller answers in time.
    pub fn run_row(&mut self, run: &str) -> Result<DagRunSummary, ClientError> {
        let detail: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit=1"))?;
        Ok(detail.summary)
    }

    /// A run with all its nodes. The summary is that of the last page, so that it is not older than any node.
    ///
    /// # Errors
    /// The run is unknown, or no controller answers in time.
    pub fn run_detail(&mut self, run: &str) -> Result<DagRunDetail, ClientError> {
        let mut detail: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit={NODES_PER_PAGE}"))?;
        while let Some(after) = detail.next {
            let page: DagRunDetail =
                self.get(&format!("/v1/graphs/{run}?limit={NODES_PER_PAGE}&after={after}"))?;
            detail.nodes.extend(page.nodes);
            (detail.summary, detail.next, detail.controller) = (page.summary, page.next, page.controller);
        }
        Ok(detail)
    }

    /// Cancels a run, and returns its state after that.
    ///
    /// # Errors
    /// The run is unknown or over, or no controller answers in time.
    pub fn cancel_run(&mut self, run: &str) -> Result<String, ClientError> {
        let response = self.post_change(&format!("/v1/graphs/{run}/cancel"), &json!({}))?;
        Ok(state_of(&response))
    }

    /// Runs nodes again: uploads the parts that list them, from the number `first` on, then commits these.
    ///
    /// # Errors
    /// The run has changed meanwhile (status 409), the request is refused, or no controller answers in time.
    pub fn rerun_nodes(&mut self, run: &str, first: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        self.upload_parts(run, first, parts)?;
        let rerun = RerunRequest { first_part: first, parts: parts.len() as u32 };
        self.post_change(&format!("/v1/graphs/{run}/redo"), &serde_json::to_value(rerun)?).map(drop)
    }
}
