//! Runs of graphs: sent in parts, committed at one moment, shown page by page.

use olivelatch::protocol::graphs::{
    DagRunDetail, DagRunHeader, DagRunList, DagRunSummary, GraphPart, RerunRequest,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::{Client, ClientError};

/// Parts of one request together, below the 64 KiB of a body.
const MAX_BODY_BYTES: usize = 48 * 1024;
/// How often parts that are said to be missing are sent again.
const MAX_UPLOAD_ROUNDS: usize = 3;

#[derive(Deserialize)]
struct MissingParts {
    #[serde(default)]
    missing: Vec<u32>,
}

impl Client {
    fn post_change(&mut self, path: &str, body: &Value) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", path, body.to_string().as_bytes())?)?)
    }

    /// Stores parts, the first of them under this number; several in a request.
    pub fn upload_parts(&mut self, run: &str, first: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        let mut from = 0;
        while from < parts.len() {
            let (mut to, mut bytes) = (from, 0);
            while to < parts.len() {
                let size = serde_json::to_string(&parts[to])?.len() + 1;
                if to > from && bytes + size > MAX_BODY_BYTES {
                    break;
                }
                bytes += size;
                to += 1;
            }
            let body = json!({"first": first + from as u32, "parts": parts[from..to]});
            self.post_change(&format!("/v1/graphs/{run}/parts"), &body)?;
            from = to;
        }
        Ok(())
    }

    /// Sends the parts and accepts them at one moment. Repeated, it is the same run. Returns its state.
    pub fn submit_run(
        &mut self,
        run: &str,
        header: &DagRunHeader,
        parts: &[GraphPart],
    ) -> Result<String, ClientError> {
        self.upload_parts(run, 0, parts)?;
        let body = serde_json::to_value(header)?;
        for _ in 0..MAX_UPLOAD_ROUNDS {
            match self.post_change(&format!("/v1/graphs/{run}"), &body) {
                Ok(answer) => return Ok(answer["state"].as_str().unwrap_or("").into()),
                Err(ClientError::Refused { status: 409, text, body }) => {
                    // Swept in between, or never stored: what is missing is sent again.
                    let missing =
                        serde_json::from_slice::<MissingParts>(&body).map_or(Vec::new(), |told| told.missing);
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

    pub fn runs(&mut self, graph: Option<&str>, after: Option<&str>) -> Result<DagRunList, ClientError> {
        let graph = graph.map_or(String::new(), |graph| format!("&graph={graph}"));
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/graphs?limit=200{graph}{after}"))
    }

    pub fn run_row(&mut self, run: &str) -> Result<DagRunSummary, ClientError> {
        let detail: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit=1"))?;
        Ok(detail.summary)
    }

    /// A run with all its nodes. The row is of the last page, so that it is not older than any node.
    pub fn run_detail(&mut self, run: &str) -> Result<DagRunDetail, ClientError> {
        let mut all: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit=500"))?;
        while let Some(after) = all.next {
            let page: DagRunDetail = self.get(&format!("/v1/graphs/{run}?limit=500&after={after}"))?;
            all.nodes.extend(page.nodes);
            (all.summary, all.next, all.controller) = (page.summary, page.next, page.controller);
        }
        Ok(all)
    }

    pub fn cancel_run(&mut self, run: &str) -> Result<String, ClientError> {
        let answer = self.post_change(&format!("/v1/graphs/{run}/cancel"), &json!({}))?;
        Ok(answer["state"].as_str().unwrap_or("").into())
    }

    /// Does nodes over: the parts that say which, then the word that they count.
    pub fn rerun_nodes(&mut self, run: &str, from: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        self.upload_parts(run, from, parts)?;
        let redo = RerunRequest { first_part: from, parts: parts.len() as u32 };
        self.post_change(&format!("/v1/graphs/{run}/redo"), &serde_json::to_value(redo)?).map(drop)
    }
}
