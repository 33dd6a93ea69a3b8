//! Runs of graphs: sent in parts, committed at one moment, shown page by page.

use olivelatch::protocol::graphs::{GraphHeader, GraphPart, RedoRequest, RunDetail, RunList, RunRow};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::{Client, ClientError};

/// Parts of one request together, below the 64 KiB of a body.
const LARGEST_BODY: usize = 48 * 1024;
/// How often parts that are said to be missing are sent again.
const ROUNDS: usize = 3;

#[derive(Deserialize)]
struct Missing {
    #[serde(default)]
    missing: Vec<u32>,
}

impl Client {
    fn change(&mut self, path: &str, body: &Value) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.ask("POST", path, body.to_string().as_bytes())?)?)
    }

    /// Stores parts, the first of them under this number; several in a request.
    pub fn send_parts(&mut self, run: &str, first: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        let mut from = 0;
        while from < parts.len() {
            let (mut to, mut bytes) = (from, 0);
            while to < parts.len() {
                let size = serde_json::to_string(&parts[to])?.len() + 1;
                if to > from && bytes + size > LARGEST_BODY {
                    break;
                }
                bytes += size;
                to += 1;
            }
            let body = json!({"first": first + from as u32, "parts": parts[from..to]});
            self.change(&format!("/v1/graphs/{run}/parts"), &body)?;
            from = to;
        }
        Ok(())
    }

    /// Sends the parts and accepts them at one moment. Repeated, it is the same run. Returns its state.
    pub fn send_run(
        &mut self,
        run: &str,
        header: &GraphHeader,
        parts: &[GraphPart],
    ) -> Result<String, ClientError> {
        self.send_parts(run, 0, parts)?;
        let body = serde_json::to_value(header)?;
        for _ in 0..ROUNDS {
            match self.change(&format!("/v1/graphs/{run}"), &body) {
                Ok(answer) => return Ok(answer["state"].as_str().unwrap_or("").into()),
                Err(ClientError::Refused { status: 409, text, body }) => {
                    // Swept in between, or never stored: what is missing is sent again.
                    let missing =
                        serde_json::from_slice::<Missing>(&body).map_or(Vec::new(), |told| told.missing);
                    if missing.is_empty() {
                        return Err(ClientError::Refused { status: 409, text, body });
                    }
                    for part in missing.into_iter().filter(|part| (*part as usize) < parts.len()) {
                        self.send_parts(run, part, &parts[part as usize..=part as usize])?;
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Err(ClientError::Refused { status: 409, text: "parts go missing".into(), body: Vec::new() })
    }

    pub fn runs(&mut self, graph: Option<&str>, after: Option<&str>) -> Result<RunList, ClientError> {
        let graph = graph.map_or(String::new(), |graph| format!("&graph={graph}"));
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/graphs?limit=200{graph}{after}"))
    }

    pub fn run_row(&mut self, run: &str) -> Result<RunRow, ClientError> {
        let detail: RunDetail = self.get(&format!("/v1/graphs/{run}?limit=1"))?;
        Ok(detail.row)
    }

    /// A run with all its nodes. The row is of the last page, so that it is not older than any node.
    pub fn run_detail(&mut self, run: &str) -> Result<RunDetail, ClientError> {
        let mut all: RunDetail = self.get(&format!("/v1/graphs/{run}?limit=500"))?;
        while let Some(after) = all.next {
            let page: RunDetail = self.get(&format!("/v1/graphs/{run}?limit=500&after={after}"))?;
            all.nodes.extend(page.nodes);
            (all.row, all.next, all.node) = (page.row, page.next, page.node);
        }
        Ok(all)
    }

    pub fn cancel_run(&mut self, run: &str) -> Result<String, ClientError> {
        let answer = self.change(&format!("/v1/graphs/{run}/cancel"), &json!({}))?;
        Ok(answer["state"].as_str().unwrap_or("").into())
    }

    /// Does nodes over: the parts that say which, then the word that they count.
    pub fn do_over(&mut self, run: &str, from: u32, parts: &[GraphPart]) -> Result<(), ClientError> {
        self.send_parts(run, from, parts)?;
        let redo = RedoRequest { from, parts: parts.len() as u32 };
        self.change(&format!("/v1/graphs/{run}/redo"), &serde_json::to_value(redo)?).map(drop)
    }
}
