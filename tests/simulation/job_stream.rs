//! A stream of jobs that lasts for minutes. Each job is submitted and then polled once a second until its final state
//! is known; some jobs are cancelled.

use std::collections::BTreeMap;

use olivelatch::protocol::users::parse_submission;
use olivelatch_worker::Worker;

use super::actions::{ActionResult, parse_argument, parse_seconds, usage_error};
use super::poll_bursts::done_attempts;
use super::{JobArguments, ResponseCheck, SimulatedCluster};

const POLL_INTERVAL_MS: u64 = 1_000;
const CANCEL_AFTER_MS: u64 = 2_000;

/// The jobs that are still to be submitted, and those whose users wait for the final state.
pub struct JobStream {
    next_job: u64,
    last_job: u64,
    interval_ms: u64,
    next_submission: u64,
    /// Every job whose number is a multiple of this is cancelled; 0 for none.
    cancel_every: u64,
    job_arguments: Vec<String>,
    /// Jobs whose final state is not known yet, with the time of their next poll.
    unfinished_jobs: BTreeMap<String, u64>,
    /// Time at which the first finished attempt of each of these jobs was seen.
    last_task_finished: BTreeMap<String, u64>,
    /// The longest time, in ms, from `last_task_finished` until the user knew the final state.
    pub max_notification_delay_ms: u64,
}

impl JobStream {
    pub fn is_finished(&self) -> bool {
        self.next_job > self.last_job && self.unfinished_jobs.is_empty()
    }
}

impl JobStream {
    /// Records when the first finished attempt of each job was seen.
    fn record_last_tasks(&mut self, workers: &[Worker], now: u64) {
        for attempt in done_attempts(workers) {
            let job = attempt.job_name();
            if self.unfinished_jobs.contains_key(job) && !self.last_task_finished.contains_key(job) {
                self.last_task_finished.insert(job.into(), now);
            }
        }
    }

    fn take_due_polls(&mut self, now: u64) -> Vec<String> {
        let due = self.unfinished_jobs.iter_mut().filter(|(_, due_at)| **due_at <= now);
        due.map(|(id, due_at)| {
            *due_at = now + POLL_INTERVAL_MS;
            id.clone()
        })
        .collect()
    }
}

impl SimulatedCluster {
    pub fn set_stream(&mut self, words: &[&str]) -> ActionResult {
        let [first, count, every, cancel, rest @ ..] = words else {
            return usage_error("FIRST COUNT SECONDS CANCEL-EVERY, followed by the arguments of each job");
        };
        let first: u64 = parse_argument(first, "the number of a job")?;
        self.job_stream = Some(JobStream {
            next_job: first,
            last_job: first + parse_argument::<u64>(count, "a number of jobs")? - 1,
            interval_ms: (parse_seconds(every)? * 1000.0) as u64,
            next_submission: self.now,
            cancel_every: parse_argument(cancel, "a number of jobs")?,
            job_arguments: rest.iter().map(|word| (*word).to_string()).collect(),
            unfinished_jobs: BTreeMap::new(),
            last_task_finished: BTreeMap::new(),
            max_notification_delay_ms: 0,
        });
        Ok(())
    }

    /// Submits the jobs that are due, and polls those whose final state is not known.
    pub fn step_stream(&mut self) {
        let Some(mut stream) = self.job_stream.take() else { return };
        while stream.next_submission <= self.now && stream.next_job <= stream.last_job {
            self.submit_next_job(&mut stream);
        }
        stream.record_last_tasks(&self.workers, self.now);
        let (known, unknown): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut stream.unfinished_jobs)
            .into_iter()
            .partition(|(id, _)| self.final_states.contains_key(id));
        stream.unfinished_jobs = unknown;
        for id in known.keys() {
            let delay_ms = stream.last_task_finished.remove(id).map_or(0, |ended| self.now - ended);
            stream.max_notification_delay_ms = stream.max_notification_delay_ms.max(delay_ms);
        }
        for id in stream.take_due_polls(self.now) {
            if self.accepted_jobs.contains(&id) {
                self.poll_job(&id);
            }
        }
        self.job_stream = Some(stream);
    }

    fn submit_next_job(&mut self, stream: &mut JobStream) {
        let number = stream.next_job.to_string();
        let words: Vec<&str> =
            std::iter::once(number.as_str()).chain(stream.job_arguments.iter().map(String::as_str)).collect();
        let JobArguments { id, spec, .. } = self.describe_job(&words);
        let request = parse_submission(spec.to_string().as_bytes()).expect("a submission");
        self.send_user_request(request, &id, ResponseCheck::Rules);
        if stream.cancel_every > 0 && stream.next_job % stream.cancel_every == 0 {
            self.pending_cancels.insert(id.clone(), self.now + CANCEL_AFTER_MS);
        }
        stream.unfinished_jobs.insert(id, self.now + POLL_INTERVAL_MS);
        stream.next_job += 1;
        stream.next_submission += stream.interval_ms;
    }
}
