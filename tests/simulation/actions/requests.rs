//! Actions of users and operators: submitting, polling and cancelling jobs, and listing them.

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, parse_submission};

use super::super::users::RETRY_MS;
use super::super::{
    PendingRequest, RepeatingPoll, ResponseCheck, SimulatedCluster, named_argument, numeric_argument,
};
use super::{ActionResult, parse_argument, parse_status, usage_error};

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
        let [code, text @ ..] = words else { return usage_error("STATUS TEXT") };
        match parse_submission(text.join(" ").as_bytes()) {
            Err(rejection) if rejection.status.to_string() == *code => {}
            Err(rejection) => return Err(format!("expected status {code}, found {}", rejection.status)),
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

    /// Polls a job at every controller at the same moment, without waiting for a response.
    pub(super) fn poll_all_controllers(&mut self, words: &[&str]) -> ActionResult {
        let [id] = words else { return usage_error("JOB") };
        let (id, job) = parse_job(id)?;
        for controller in 0..self.controllers.len() {
            self.send_request_to(controller, UserRequest::Poll { id: job }, &id);
        }
        Ok(())
    }

    pub(super) fn cancel(&mut self, words: &[&str]) -> ActionResult {
        let (id, choice) = match words {
            [id] => (id, None),
            [id, via @ ("via=first" | "via=second")] => (id, Some(*via)),
            _ => {
                return usage_error(
                    "JOB [via=first|via=second: the controller, among those that can reach the kv store]",
                );
            }
        };
        let (id, job) = parse_job(id)?;
        self.pending_cancels.insert(id.clone(), self.now);
        let can_reach_kv =
            |index: &usize| !self.is_cut(*index, "kv") && self.controllers[*index].controller.is_some();
        let mut candidates = (0..self.controllers.len()).filter(can_reach_kv);
        let controller = match choice {
            Some("via=first") => candidates.next(),
            Some(_) => candidates.nth(1),
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
        let [id, times] = words else { return usage_error("JOB POLLS-PER-SECOND") };
        let times: u64 = parse_argument(times, "a number of polls per second")?;
        self.repeating_polls.push(RepeatingPoll {
            id: parse_job(id)?.0,
            interval_ms: (MS_PER_SECOND / times.max(1)).max(1),
            next_at: self.now,
        });
        Ok(())
    }
}

/// Parses the number of a job, and returns its name on the wire and its ID.
pub(super) fn parse_job(number: &str) -> Result<(String, JobId), String> {
    let job = JobId(parse_argument(number, "the number of a job")?);
    Ok((job.to_string(), job))
}
