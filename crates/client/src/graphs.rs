//! Requests about runs of graphs, which are uploaded in parts, committed atomically and read page by page.

use olivelatch::protocol::graphs::{
    DagRunDetail, DagRunHeader, DagRunList, DagRunSummary, GraphPart, RerunRequest,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::Client;
use crate::exchange::ClientError;

/// Maximum size of the parts in one request, in bytes. Leaves room for the rest of the body, as controllers accept
/// bodies of up to 64 KiB.
const MAX_PARTS_BYTES: usize = 48 * 1024;
/// How many times a commit is attempted; missing parts are uploaded again between the attempts.
const MAX_COMMIT_ATTEMPTS: usize = 3;
const RUNS_PER_PAGE: usize = 200;
/// The largest page size that the controllers allow.
const NODES_PER_PAGE: usize = 500;

/// The body of the response to a commit that is rejected because some of its parts are not stored.
#[derive(Deserialize)]
struct MissingParts {
    #[serde(default)]
    missing: Vec<u32>,
}

/// Returns the end of the batch of parts that starts at `start`: as many as fit in one request, but at least one.
fn end_of_batch(parts: &[GraphPart], start: usize) -> Result<usize, serde_json::Error> {
    let (mut end, mut bytes) = (start, 0);
    while end < parts.len() {
        // With the comma after it.
        let size = serde_json::to_string(&parts[end])?.len() + 1;
        if end > start && bytes + size > MAX_PARTS_BYTES {
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
    fn post_json(&mut self, path: &str, body: &Value) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", path, body.to_string().as_bytes())?)?)
    }

    /// Uploads parts, with as many in each request as fit. They are numbered consecutively, starting at
    /// `first_number`.
    fn upload_parts(&mut self, run: &str, first_number: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        let mut start = 0;
        while start < parts.len() {
            let end = end_of_batch(parts, start)?;
            let body = json!({"first": first_number + start as u32, "parts": parts[start..end]});
            self.post_json(&format!("/v1/graphs/{run}/parts"), &body)?;
            start = end;
        }
        Ok(())
    }

    /// Uploads the parts of a run, commits them atomically and returns the run's state. Repeating the call
    /// does not create another run.
    ///
    /// # Errors
    /// The run is rejected, parts of it expire before every commit attempt, or no controller responds in time.
    pub fn submit_run(
        &mut self,
        run: &str,
        header: &DagRunHeader,
        parts: &[GraphPart],
    ) -> Result<String, ClientError> {
        self.upload_parts(run, 0, parts)?;
        let body = serde_json::to_value(header)?;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.post_json(&format!("/v1/graphs/{run}"), &body) {
                Ok(response) => return Ok(state_of(&response)),
                Err(ClientError::Refused { status: 409, text, body }) => {
                    // Controllers drop the parts of an upload that takes too long.
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
        Err(ClientError::Refused {
            status: 409,
            text: format!(
                "parts of the run were missing in each of {MAX_COMMIT_ATTEMPTS} commit attempts; submit the run again"
            ),
            body: Vec::new(),
        })
    }

    /// Returns one page of the list of runs, of one graph or of all graphs.
    ///
    /// # Errors
    /// No controller responds in time, or the request is rejected.
    pub fn runs(&mut self, graph: Option<&str>, after: Option<&str>) -> Result<DagRunList, ClientError> {
        let graph = graph.map_or(String::new(), |graph| format!("&graph={graph}"));
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/graphs?limit={RUNS_PER_PAGE}{graph}{after}"))
    }

    /// Returns a run without its nodes.
    ///
    /// # Errors
    /// The run is unknown, or no controller responds in time.
    pub fn run_summary(&mut self, run: &str) -> Result<DagRunSummary, ClientError> {
        let detail: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit=1"))?;
        Ok(detail.summary)
    }

    /// Returns a run with all its nodes. The summary comes from the last page, so that it is not older than any node.
    ///
    /// # Errors
    /// The run is unknown, or no controller responds in time.
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

    /// Cancels a run and returns its new state.
    ///
    /// # Errors
    /// The run is unknown or already finished, or no controller responds in time.
    pub fn cancel_run(&mut self, run: &str) -> Result<String, ClientError> {
        let response = self.post_json(&format!("/v1/graphs/{run}/cancel"), &json!({}))?;
        Ok(state_of(&response))
    }

    /// Runs nodes again. `parts` lists the nodes; the parts are uploaded with consecutive numbers, starting at
    /// `first_part`, and then committed.
    ///
    /// # Errors
    /// The run has changed since it was read (status 409), the request is rejected, or no controller responds in time.
    pub fn rerun_nodes(
        &mut self,
        run: &str,
        first_part: u32,
        parts: &[GraphPart],
    ) -> Result<(), ClientError> {
        self.upload_parts(run, first_part, parts)?;
        let rerun = RerunRequest { first_part, parts: parts.len() as u32 };
        self.post_json(&format!("/v1/graphs/{run}/redo"), &serde_json::to_value(rerun)?).map(drop)
    }
}
