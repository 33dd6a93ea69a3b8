//! What users and operators do: submit, poll, cancel, and list.

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, parse_submission};

use super::super::users::RETRY_MS;
use super::super::{
    PendingRequest, RepeatingPoll, ResponseCheck, SimulatedCluster, named_argument, numeric_argument,
};
use super::{ActionResult, parse_status, usage_error};

const MS_PER_SECOND: u64 = 1_000;

impl SimulatedCluster {
    /// Lists all jobs page by page, with a pause after each.
    pub(super) fn start_list(&mut self, words: &[&str]) -> ActionResult {
        let filters: String = ["team", "class", "state"]
            .iter()
            .filter_map(|name| Some(format!("&{name}={}", named_argument(words, name)?)))
            .collect();
        let (limit, pause) = (numeric_argument(words, "limit", 100.0), numeric_argument(words, "pause", 0.0));
        self.operator_queries.start_pagination(self.now, limit as u64, (pause * 1000.0) as u64, &filters);
        Ok(())
    }

    pub(super) fn submit_raw(&mut self, words: &[&str]) -> ActionResult {
        let (code, text) = words.split_first().ok_or("a status")?;
        match parse_submission(text.join(" ").as_bytes()) {
            Err(refusal) if refusal.status.to_string() == *code => {}
            Err(refusal) => return Err(format!("answered {}", refusal.status)),
            Ok(request) => {
                self.send_user_request(request, "raw", ResponseCheck::StatusOnly(parse_status(code)?));
            }
        }
        Ok(())
    }

    pub(super) fn poll_expecting(&mut self, words: &[&str]) -> ActionResult {
        let [id, code] = words else { return usage_error("JOB STATUS") };
        let (id, job) = parse_job(id)?;
        let check = ResponseCheck::StatusOnly(parse_status(code)?);
        self.send_user_request(UserRequest::Poll { id: job }, &id, check);
        Ok(())
    }

    pub(super) fn cancel(&mut self, words: &[&str]) -> ActionResult {
        let (id, by) = match words {
            [id] => (id, None),
            [id, by] => (id, Some(*by)),
            _ => return usage_error("JOB [first|second: of those that the state service serves]"),
        };
        let (id, job) = parse_job(id)?;
        self.pending_cancels.insert(id.clone(), self.now);
        let is_served =
            |index: &usize| !self.is_cut(*index, "state") && self.controllers[*index].controller.is_some();
        let mut served = (0..self.controllers.len()).filter(is_served);
        let controller = match by {
            Some("first") => served.next(),
            Some(_) => served.nth(1),
            None => None,
        };
        let Some(controller) = controller else {
            self.repeat_cancels();
            return Ok(());
        };
        self.pending_cancels.insert(id.clone(), self.now + RETRY_MS);
        let inbound =
            self.track_request(controller, PendingRequest::User { id, check: ResponseCheck::Rules });
        self.send_event(controller, Event::User { inbound, request: UserRequest::Cancel { id: job } });
        Ok(())
    }

    pub(super) fn poll_repeatedly(&mut self, words: &[&str]) -> ActionResult {
        let [id, times] = words else { return usage_error("JOB TIMES A SECOND") };
        let times: u64 = times.parse().map_err(|_| "a count")?;
        self.repeating_polls.push(RepeatingPoll {
            id: parse_job(id)?.0,
            interval_ms: (MS_PER_SECOND / times.max(1)).max(1),
            next_at: self.now,
        });
        Ok(())
    }
}

/// A job by its number, as the wire and as the controllers name it.
pub(super) fn parse_job(number: &str) -> Result<(String, JobId), String> {
    let number: u64 = number.parse().map_err(|_| format!("expected a job's number, not {number}"))?;
    let job = JobId(number);
    Ok((job.to_string(), job))
}
