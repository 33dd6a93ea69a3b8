//! Requests on jobs: to the controllers, and to the job store that keeps descriptions and logs.

use olivelatch::protocol::operators::{Explanation, JobDetail, JobEventList, JobList};
use serde::Deserialize;
use serde_json::Value;

use crate::client::Client;
use crate::exchange::ClientError;

/// What the controllers say of a job to its user.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SubmissionStatus {
    /// The job's id.
    pub uid: String,
    /// `pending`, `running`, `done` or `withdrawn`.
    pub status: String,
    /// Tasks that are done, if the controller says so.
    #[serde(default)]
    pub done: Option<u32>,
    /// Tasks that run, if the controller says so.
    #[serde(default)]
    pub running: Option<u32>,
}

/// Output of a task's attempts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TaskLogs {
    /// The task, as `JOB/INDEX`.
    pub task: String,
    /// The attempts whose output is kept.
    pub attempts: Vec<AttemptLog>,
}

/// Output of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AttemptLog {
    /// The attempt's number.
    pub attempt: u64,
    /// What it wrote.
    pub text: String,
    /// The text is only the end of a longer output.
    #[serde(rename = "cut")]
    pub truncated: bool,
}

fn after_parameter(after: Option<impl std::fmt::Display>) -> String {
    after.map_or(String::new(), |after| format!("&after={after}"))
}

impl Client {
    /// Submits a job. The id in the submission makes it idempotent: however often it is repeated, it is one job.
    ///
    /// # Errors
    /// The controllers refuse the submission, or none answers in time.
    pub fn submit(&mut self, spec: &Value) -> Result<SubmissionStatus, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", "/work", spec.to_string().as_bytes())?)?)
    }

    /// The present status of a job.
    ///
    /// # Errors
    /// The job is unknown, or no controller answers in time.
    pub fn job_status(&mut self, id: &str) -> Result<SubmissionStatus, ClientError> {
        self.get(&format!("/work/{id}"))
    }

    /// Cancels a job, and returns its status after that.
    ///
    /// # Errors
    /// The job is unknown, or no controller answers in time.
    pub fn cancel(&mut self, id: &str) -> Result<SubmissionStatus, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", &format!("/work/{id}/abort"), b"")?)?)
    }

    /// One page of the list of jobs; `query` as in docs/client.md, without `after`.
    ///
    /// # Errors
    /// The query is refused, or no controller answers in time.
    pub fn list_jobs_page(&mut self, query: &str, after: Option<&str>) -> Result<JobList, ClientError> {
        self.get(&format!("/v1/jobs?{query}{}", after_parameter(after)))
    }

    /// A job with at most `limit` of its tasks, from the one behind `after`.
    ///
    /// # Errors
    /// The job is unknown, or no controller answers in time.
    pub fn job_detail(
        &mut self,
        id: &str,
        after: Option<u32>,
        limit: usize,
    ) -> Result<JobDetail, ClientError> {
        self.get(&format!("/v1/jobs/{id}?limit={limit}{}", after_parameter(after)))
    }

    /// Why a job, or one of its tasks, is in its present state.
    ///
    /// # Errors
    /// The job is unknown, or no controller answers in time.
    pub fn explain(&mut self, id: &str, task: Option<u32>) -> Result<Explanation, ClientError> {
        let task = task.map_or(String::new(), |task| format!("?task={task}"));
        self.get(&format!("/v1/jobs/{id}/explain{task}"))
    }

    /// The leader's last decisions on a job.
    ///
    /// # Errors
    /// The job is unknown, or no controller answers in time.
    pub fn events(&mut self, id: &str) -> Result<JobEventList, ClientError> {
        self.get(&format!("/v1/jobs/{id}/events"))
    }

    /// Uploads what workers must know of a job. This comes before the submission.
    ///
    /// # Errors
    /// The context has no job store, or it refuses the description or does not answer in time.
    pub fn upload_description(&self, id: &str, description: &Value) -> Result<(), ClientError> {
        let body = description.to_string();
        self.job_store_request("PUT", &format!("/descriptions/{id}"), body.as_bytes()).map(drop)
    }

    /// What workers know of a job.
    ///
    /// # Errors
    /// The context has no job store, or it has no such description or does not answer in time.
    pub fn description(&self, id: &str) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/descriptions/{id}"), b"")?)?)
    }

    /// Output of a task's attempts.
    ///
    /// # Errors
    /// The context has no job store, or it has no such logs or does not answer in time.
    pub fn logs(&self, id: &str, task: u32) -> Result<TaskLogs, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/logs/{id}/{task}"), b"")?)?)
    }

    /// For demonstrations: a local region kills one of its controllers, by its position, and starts it again.
    ///
    /// # Errors
    /// The context has no job store, or it does not answer in time.
    pub fn kill_controller(&self, index: usize) -> Result<(), ClientError> {
        self.job_store_request("POST", &format!("/controllers/{index}/kill"), b"").map(drop)
    }
}
