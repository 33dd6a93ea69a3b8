//! Operators in scenarios: questions asked again and again, and lists walked page by page.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch::ids::JobId;
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::operators::{OperatorRequest, parse_operator_request};
use serde_json::Value;

const QUERY_INTERVAL_MS: u64 = 500;

/// What an open question is for.
pub enum QuerySubject {
    Job(String),
    ListPage,
}

#[derive(Default)]
pub struct OperatorQueries {
    /// The last answers, by `explain/job-000001` and the like.
    responses: BTreeMap<String, Value>,
    next_query: BTreeMap<String, u64>,
    pagination: Option<ListPagination>,
}

/// A list on its way.
struct ListPagination {
    query: String,
    pause_ms: u64,
    due: u64,
    after: Option<String>,
    seen: Vec<String>,
    finished: bool,
}

fn request(path: &str) -> OperatorRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    parse_operator_request(path, query).expect("a path of the interface").expect("a question")
}

fn path_of(what: &str, id: &str) -> String {
    match what {
        "inspect" => format!("jobs/{id}"),
        _ => format!("jobs/{id}/{what}"),
    }
}

impl OperatorQueries {
    /// A condition about a job is asked about from now on.
    pub fn start_query(&mut self, what: &str, id: &str) {
        self.next_query.entry(path_of(what, id)).or_insert(0);
    }

    pub fn response(&self, what: &str, id: &str) -> Option<&Value> {
        self.responses.get(&path_of(what, id))
    }

    /// Is this word among the reasons, or the events?
    pub fn response_contains(&self, what: &str, id: &str, word: &str) -> bool {
        let Some(answer) = self.response(what, id) else { return false };
        let (list, name) = if what == "events" { ("events", "event") } else { ("reasons", "reason") };
        answer[list].as_array().is_some_and(|all| all.iter().any(|one| one[name] == word))
    }

    pub fn start_pagination(&mut self, now: u64, limit: u64, pause_ms: u64, filters: &str) {
        let query = format!("limit={limit}{filters}");
        self.pagination = Some(ListPagination {
            query,
            pause_ms,
            due: now,
            after: None,
            seen: Vec::new(),
            finished: false,
        });
    }

    /// Rows listed so far; None while the walk goes on.
    pub fn pagination_length(&self) -> Option<usize> {
        self.pagination.as_ref().filter(|walk| walk.finished).map(|walk| walk.seen.len())
    }

    /// Questions that are due.
    pub fn due_queries(&mut self, now: u64) -> Vec<(QuerySubject, OperatorRequest)> {
        let mut due = Vec::new();
        for (path, at) in self.next_query.iter_mut().filter(|(_, at)| **at <= now) {
            *at = now + QUERY_INTERVAL_MS;
            due.push((QuerySubject::Job(path.clone()), request(path)));
        }
        if let Some(walk) = self.pagination.as_mut().filter(|walk| !walk.finished && walk.due <= now) {
            walk.due = now + 3_000;
            let after = walk.after.as_ref().map_or(String::new(), |after| format!("&after={after}"));
            due.push((QuerySubject::ListPage, request(&format!("jobs?{}{after}", walk.query))));
        }
        due
    }

    /// An answer; Err names what must not be.
    pub fn handle_response(
        &mut self,
        about: &QuerySubject,
        answer: &HttpResponse,
        now: u64,
    ) -> Result<(), String> {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        match about {
            QuerySubject::Job(path) => {
                if answer.status == 200 {
                    self.responses.insert(path.clone(), body);
                } else {
                    self.responses.remove(path);
                }
                Ok(())
            }
            QuerySubject::ListPage => self.handle_page(answer.status, &body, now),
        }
    }

    fn handle_page(&mut self, status: u16, body: &Value, now: u64) -> Result<(), String> {
        let Some(walk) = &mut self.pagination else { return Ok(()) };
        walk.due = now + walk.pause_ms.max(1);
        if status != 200 {
            return Ok(());
        }
        let rows = body["jobs"].as_array().ok_or("a page without jobs")?;
        walk.seen.extend(rows.iter().filter_map(|row| row["id"].as_str()).map(String::from));
        walk.after = body["next"].as_str().map(String::from);
        walk.finished = walk.after.is_none();
        let distinct: BTreeSet<&String> = walk.seen.iter().collect();
        if distinct.len() < walk.seen.len() {
            return Err(format!("listed twice: {:?}", walk.seen));
        }
        Ok(())
    }

    /// A list must not contradict what users were told.
    pub fn find_contradiction(
        &self,
        about: &QuerySubject,
        answer: &HttpResponse,
        finals: &BTreeMap<String, String>,
    ) -> Option<String> {
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        let rows: Vec<&Value> = match about {
            QuerySubject::ListPage => body["jobs"].as_array()?.iter().collect(),
            QuerySubject::Job(_) if body["row"].is_object() => vec![&body["row"]],
            QuerySubject::Job(_) => return None,
        };
        rows.into_iter().find_map(|row| {
            let id = row["id"].as_str()?;
            let known = finals.get(id).filter(|known| row["state"].as_str() != Some(known.as_str()))?;
            Some(format!("went_back: {id} was {known}, an operator was told {}", row["state"]))
        })
    }
}

/// A job by the number that scenarios use.
pub fn job_name(number: &str) -> String {
    JobId(number.parse().expect("a job number")).to_string()
}
