//! Jobs that come one after the other for minutes: submitted, asked about once a second until their end is known, some of
//! them cancelled.

use std::collections::BTreeMap;

use olivelatch::protocol::users::parse_submission;

use super::actions::{ActionResult, parse_seconds, usage_error};
use super::status_polls::done_attempts;
use super::{JobArguments, ResponseCheck, SimulatedCluster};

const POLL_INTERVAL_MS: u64 = 1_000;
const CANCEL_AFTER_MS: u64 = 2_000;

pub struct JobStream {
    next_job: u64,
    last: u64,
    every_ms: u64,
    next_submission: u64,
    cancel_every: u64,
    job_arguments: Vec<String>,
    /// Jobs whose end is not known yet: when they came, when they are next asked about.
    unfinished_jobs: BTreeMap<String, (u64, u64)>,
    /// When the last task of each of them ended.
    last_task_finished: BTreeMap<String, u64>,
    /// The longest time from there until a user was told.
    pub max_notification_delay_ms: u64,
}

impl JobStream {
    pub fn is_finished(&self) -> bool {
        self.next_job > self.last && self.unfinished_jobs.is_empty()
    }
}

impl SimulatedCluster {
    pub fn set_stream(&mut self, words: &[&str]) -> ActionResult {
        let [first, count, every, cancel, rest @ ..] = words else {
            return usage_error("FIRST COUNT SECONDS CANCEL-EVERY and what each job is");
        };
        let number = |text: &str| text.parse::<u64>().map_err(|_| format!("expected a number, not {text}"));
        let first = number(first)?;
        self.job_stream = Some(JobStream {
            next_job: first,
            last: first + number(count)? - 1,
            every_ms: (parse_seconds(every)? * 1000.0) as u64,
            next_submission: self.now,
            cancel_every: number(cancel)?,
            job_arguments: rest.iter().map(|word| (*word).to_string()).collect(),
            unfinished_jobs: BTreeMap::new(),
            last_task_finished: BTreeMap::new(),
            max_notification_delay_ms: 0,
        });
        Ok(())
    }

    pub fn step_stream(&mut self) {
        let Some(mut stream) = self.job_stream.take() else { return };
        let now = self.now;
        while stream.next_submission <= now && stream.next_job <= stream.last {
            let number = stream.next_job.to_string();
            let words: Vec<&str> = std::iter::once(number.as_str())
                .chain(stream.job_arguments.iter().map(String::as_str))
                .collect();
            let JobArguments { id, spec, .. } = self.describe_job(&words);
            let request = parse_submission(spec.to_string().as_bytes()).expect("a submission");
            self.send_user_request(request, &id, ResponseCheck::Rules);
            if stream.cancel_every > 0 && stream.next_job % stream.cancel_every == 0 {
                self.pending_cancels.insert(id.clone(), now + CANCEL_AFTER_MS);
            }
            stream.unfinished_jobs.insert(id, (now, now + POLL_INTERVAL_MS));
            stream.next_job += 1;
            stream.next_submission += stream.every_ms;
        }
        for piece in done_attempts(&self.workers) {
            if stream.unfinished_jobs.contains_key(piece.job_name())
                && !stream.last_task_finished.contains_key(piece.job_name())
            {
                stream.last_task_finished.insert(piece.job_name().into(), now);
            }
        }
        let (told, open): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut stream.unfinished_jobs)
            .into_iter()
            .partition(|(id, _)| self.final_states.contains_key(id));
        for id in told.keys() {
            let late = stream.last_task_finished.remove(id).map_or(0, |ended| now - ended);
            stream.max_notification_delay_ms = stream.max_notification_delay_ms.max(late);
        }
        stream.unfinished_jobs = open;
        let due: Vec<String> = stream
            .unfinished_jobs
            .iter()
            .filter(|(_, (_, due))| *due <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if let Some((_, next)) = stream.unfinished_jobs.get_mut(&id) {
                *next = now + POLL_INTERVAL_MS;
            }
            if self.accepted_jobs.contains(&id) {
                self.poll_job(&id);
            }
        }
        self.job_stream = Some(stream);
    }
}
