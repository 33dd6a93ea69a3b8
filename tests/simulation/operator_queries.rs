//! Operators' requests: queries that are repeated at an interval, and lists that are read page by page.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch::ids::JobId;
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::operators::{OperatorRequest, parse_operator_request};
use serde_json::Value;

const QUERY_INTERVAL_MS: u64 = 500;
/// Time after which a page without a response is requested again.
const PAGE_TIMEOUT_MS: u64 = 3_000;

/// What a query in flight is about.
pub enum QuerySubject {
    /// A job; the value is the query's path.
    Job(String),
    /// A page of the list of jobs.
    ListPage,
}

#[derive(Default)]
pub struct OperatorQueries {
    /// The last successful response for each path, such as `jobs/job-000001/explain`.
    responses: BTreeMap<String, Value>,
    /// Time of the next query for each path.
    next_query_at: BTreeMap<String, u64>,
    pagination: Option<ListPagination>,
}

/// A list that is read page by page.
struct ListPagination {
    /// Page size and filters, without the start of the page.
    query: String,
    /// Pause between a page and the request for the next one.
    pause_ms: u64,
    next_request_at: u64,
    /// The last page's `next`, with which the next page starts.
    after: Option<String>,
    listed_jobs: Vec<String>,
    finished: bool,
}

fn request(path: &str) -> OperatorRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    parse_operator_request(path, query).expect("a path of the interface").expect("a query")
}

/// Returns the path of a query about a job. `kind` is `inspect`, `explain` or `events`.
fn query_path(kind: &str, id: &str) -> String {
    match kind {
        "inspect" => format!("jobs/{id}"),
        _ => format!("jobs/{id}/{kind}"),
    }
}

impl OperatorQueries {
    /// Starts to repeat a query about a job.
    pub fn start_query(&mut self, kind: &str, id: &str) {
        self.next_query_at.entry(query_path(kind, id)).or_insert(0);
    }

    pub fn response(&self, kind: &str, id: &str) -> Option<&Value> {
        self.responses.get(&query_path(kind, id))
    }

    /// Returns whether the last response contains a reason, or an event, of this name.
    pub fn response_contains(&self, kind: &str, id: &str, name: &str) -> bool {
        let Some(response) = self.response(kind, id) else { return false };
        let (list, name_field) = if kind == "events" { ("events", "event") } else { ("reasons", "reason") };
        response[list].as_array().is_some_and(|items| items.iter().any(|item| item[name_field] == name))
    }

    pub fn start_pagination(&mut self, now: u64, limit: u64, pause_ms: u64, filters: &str) {
        let query = format!("limit={limit}{filters}");
        self.pagination = Some(ListPagination {
            query,
            pause_ms,
            next_request_at: now,
            after: None,
            listed_jobs: Vec::new(),
            finished: false,
        });
    }

    /// Returns the length of the list, or `None` until its last page has been read.
    pub fn pagination_length(&self) -> Option<usize> {
        self.pagination
            .as_ref()
            .filter(|pagination| pagination.finished)
            .map(|pagination| pagination.listed_jobs.len())
    }

    /// Returns the queries that are due.
    pub fn due_queries(&mut self, now: u64) -> Vec<(QuerySubject, OperatorRequest)> {
        let mut due = Vec::new();
        for (path, due_at) in self.next_query_at.iter_mut().filter(|(_, due_at)| **due_at <= now) {
            *due_at = now + QUERY_INTERVAL_MS;
            due.push((QuerySubject::Job(path.clone()), request(path)));
        }
        if let Some(pagination) = self
            .pagination
            .as_mut()
            .filter(|pagination| !pagination.finished && pagination.next_request_at <= now)
        {
            pagination.next_request_at = now + PAGE_TIMEOUT_MS;
            let after = pagination.after.as_ref().map_or(String::new(), |after| format!("&after={after}"));
            due.push((QuerySubject::ListPage, request(&format!("jobs?{}{after}", pagination.query))));
        }
        due
    }

    /// Handles a response. Fails if it violates a rule; the error names it.
    pub fn handle_response(
        &mut self,
        subject: &QuerySubject,
        response: &HttpResponse,
        now: u64,
    ) -> Result<(), String> {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        match subject {
            QuerySubject::Job(path) => {
                if response.status == 200 {
                    self.responses.insert(path.clone(), body);
                } else {
                    self.responses.remove(path);
                }
                Ok(())
            }
            QuerySubject::ListPage => self.handle_page(response.status, &body, now),
        }
    }

    fn handle_page(&mut self, status: u16, body: &Value, now: u64) -> Result<(), String> {
        let Some(pagination) = &mut self.pagination else { return Ok(()) };
        pagination.next_request_at = now + pagination.pause_ms.max(1);
        if status != 200 {
            return Ok(());
        }
        let rows = body["jobs"].as_array().ok_or("a page without jobs")?;
        pagination.listed_jobs.extend(rows.iter().filter_map(|row| row["id"].as_str()).map(String::from));
        pagination.after = body["next"].as_str().map(String::from);
        pagination.finished = pagination.after.is_none();
        let distinct: BTreeSet<&String> = pagination.listed_jobs.iter().collect();
        if distinct.len() < pagination.listed_jobs.len() {
            return Err(format!("listed twice: {:?}", pagination.listed_jobs));
        }
        Ok(())
    }

    /// Returns a violation if the response contradicts what users knew when the query was sent.
    pub fn find_contradiction(
        &self,
        subject: &QuerySubject,
        response: &HttpResponse,
        final_states: &BTreeMap<String, String>,
    ) -> Option<String> {
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        let rows: Vec<&Value> = match subject {
            QuerySubject::ListPage => body["jobs"].as_array()?.iter().collect(),
            QuerySubject::Job(_) if body["row"].is_object() => vec![&body["row"]],
            QuerySubject::Job(_) => return None,
        };
        rows.into_iter().find_map(|row| {
            let id = row["id"].as_str()?;
            let known = final_states.get(id).filter(|known| row["state"].as_str() != Some(known.as_str()))?;
            Some(format!("went_back: {id} was {known}, the response to an operator says {}", row["state"]))
        })
    }
}

/// Returns the name of a job from its number in scenarios.
pub fn job_name(number: &str) -> String {
    JobId(number.parse().expect("a job number")).to_string()
}
