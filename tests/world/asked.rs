//! Operators in scenarios: questions asked again and again, and lists walked page by page.

use std::collections::{BTreeMap, BTreeSet};

use olivelatch::ids::JobId;
use olivelatch::protocol::Answer;
use olivelatch::protocol::operators::{OperatorRequest, read_operator};
use serde_json::Value;

const ASK_EVERY_MS: u64 = 500;

/// What an open question is for.
pub enum About {
    Job(String),
    Page,
}

#[derive(Default)]
pub struct Asked {
    /// The last answers, by `explain/job-000001` and the like.
    answers: BTreeMap<String, Value>,
    next: BTreeMap<String, u64>,
    walk: Option<Walk>,
}

/// A list on its way.
struct Walk {
    query: String,
    pause_ms: u64,
    due: u64,
    after: Option<String>,
    seen: Vec<String>,
    over: bool,
}

fn request(path: &str) -> OperatorRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    read_operator(path, query).expect("a path of the interface").expect("a question")
}

fn path_of(what: &str, id: &str) -> String {
    match what {
        "inspect" => format!("jobs/{id}"),
        _ => format!("jobs/{id}/{what}"),
    }
}

impl Asked {
    /// A condition about a job is asked about from now on.
    pub fn watch(&mut self, what: &str, id: &str) {
        self.next.entry(path_of(what, id)).or_insert(0);
    }

    pub fn answer(&self, what: &str, id: &str) -> Option<&Value> {
        self.answers.get(&path_of(what, id))
    }

    /// Is this word among the reasons, or the events?
    pub fn says(&self, what: &str, id: &str, word: &str) -> bool {
        let Some(answer) = self.answer(what, id) else { return false };
        let (list, name) = if what == "events" { ("events", "event") } else { ("reasons", "reason") };
        answer[list].as_array().is_some_and(|all| all.iter().any(|one| one[name] == word))
    }

    pub fn start_walk(&mut self, now: u64, limit: u64, pause_ms: u64, filters: &str) {
        let query = format!("limit={limit}{filters}");
        self.walk = Some(Walk { query, pause_ms, due: now, after: None, seen: Vec::new(), over: false });
    }

    /// Rows listed so far; None while the walk goes on.
    pub fn walked(&self) -> Option<usize> {
        self.walk.as_ref().filter(|walk| walk.over).map(|walk| walk.seen.len())
    }

    /// Questions that are due.
    pub fn due(&mut self, now: u64) -> Vec<(About, OperatorRequest)> {
        let mut due = Vec::new();
        for (path, at) in self.next.iter_mut().filter(|(_, at)| **at <= now) {
            *at = now + ASK_EVERY_MS;
            due.push((About::Job(path.clone()), request(path)));
        }
        if let Some(walk) = self.walk.as_mut().filter(|walk| !walk.over && walk.due <= now) {
            walk.due = now + 3_000;
            let after = walk.after.as_ref().map_or(String::new(), |after| format!("&after={after}"));
            due.push((About::Page, request(&format!("jobs?{}{after}", walk.query))));
        }
        due
    }

    /// An answer; Err names what must not be.
    pub fn answered(&mut self, about: &About, answer: &Answer, now: u64) -> Result<(), String> {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        match about {
            About::Job(path) => {
                if answer.status == 200 {
                    self.answers.insert(path.clone(), body);
                } else {
                    self.answers.remove(path);
                }
                Ok(())
            }
            About::Page => self.page(answer.status, &body, now),
        }
    }

    fn page(&mut self, status: u16, body: &Value, now: u64) -> Result<(), String> {
        let Some(walk) = &mut self.walk else { return Ok(()) };
        walk.due = now + walk.pause_ms.max(1);
        if status != 200 {
            return Ok(());
        }
        let rows = body["jobs"].as_array().ok_or("a page without jobs")?;
        walk.seen.extend(rows.iter().filter_map(|row| row["id"].as_str()).map(String::from));
        walk.after = body["next"].as_str().map(String::from);
        walk.over = walk.after.is_none();
        let distinct: BTreeSet<&String> = walk.seen.iter().collect();
        if distinct.len() < walk.seen.len() {
            return Err(format!("listed twice: {:?}", walk.seen));
        }
        Ok(())
    }

    /// A list must not contradict what users were told.
    pub fn contradiction(
        &self,
        about: &About,
        answer: &Answer,
        finals: &BTreeMap<String, String>,
    ) -> Option<String> {
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        let rows: Vec<&Value> = match about {
            About::Page => body["jobs"].as_array()?.iter().collect(),
            About::Job(_) if body["row"].is_object() => vec![&body["row"]],
            About::Job(_) => return None,
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
