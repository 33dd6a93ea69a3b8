//! Requests about jobs: to the controllers, and to the job store that holds descriptions and logs.

use olivelatch::protocol::operators::{Explanation, JobDetail, JobEventList, JobList};
use serde::Deserialize;
use serde_json::Value;

use crate::client::Client;
use crate::exchange::ClientError;

/// The controllers' response to a submission, a status request or a cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct JobStatusResponse {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// `pending`, `running`, `done` or `withdrawn`.
    pub status: String,
    /// The number of tasks that are done; `None` if a submission was just accepted or the job is finished.
    #[serde(default)]
    pub done: Option<u32>,
    /// The number of running tasks; `None` in the same responses as `done`.
    #[serde(default)]
    pub running: Option<u32>,
}

/// The output of a task's attempts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TaskLogs {
    /// The task, as `JOB/INDEX`.
    pub task: String,
    /// The attempts whose output is stored.
    pub attempts: Vec<AttemptLog>,
}

/// The output of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AttemptLog {
    /// The number of the attempt.
    pub attempt: u64,
    /// The text that the attempt wrote.
    pub text: String,
    /// Whether the text is only the end of a longer output.
    #[serde(rename = "cut")]
    pub truncated: bool,
}

fn after_parameter(after: Option<impl std::fmt::Display>) -> String {
    after.map_or(String::new(), |after| format!("&after={after}"))
}

impl Client {
    /// Submits a job. The id in the submission makes the request idempotent: repeating it never creates a second job.
    ///
    /// # Errors
    /// The controllers reject the submission, or none responds in time.
    pub fn submit(&mut self, submission: &Value) -> Result<JobStatusResponse, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", "/work", submission.to_string().as_bytes())?)?)
    }

    /// Returns the current status of a job.
    ///
    /// # Errors
    /// The job is unknown, or no controller responds in time.
    pub fn job_status(&mut self, id: &str) -> Result<JobStatusResponse, ClientError> {
        self.get(&format!("/work/{id}"))
    }

    /// Cancels a job and returns its new status.
    ///
    /// # Errors
    /// The job is unknown, or no controller responds in time.
    pub fn cancel(&mut self, id: &str) -> Result<JobStatusResponse, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", &format!("/work/{id}/abort"), b"")?)?)
    }

    /// Returns one page of the list of jobs. `query` is the query string that docs/client.md describes,
    /// without `after`.
    ///
    /// # Errors
    /// The query is rejected, or no controller responds in time.
    pub fn list_jobs_page(&mut self, query: &str, after: Option<&str>) -> Result<JobList, ClientError> {
        self.get(&format!("/v1/jobs?{query}{}", after_parameter(after)))
    }

    /// Returns a job with at most `limit` of its tasks, starting with the first one after `after`.
    ///
    /// # Errors
    /// The job is unknown, or no controller responds in time.
    pub fn job_detail(
        &mut self,
        id: &str,
        after: Option<u32>,
        limit: usize,
    ) -> Result<JobDetail, ClientError> {
        self.get(&format!("/v1/jobs/{id}?limit={limit}{}", after_parameter(after)))
    }

    /// Explains why a job, or one of its tasks, is in its current state.
    ///
    /// # Errors
    /// The job is unknown, or no controller responds in time.
    pub fn explain(&mut self, id: &str, task: Option<u32>) -> Result<Explanation, ClientError> {
        let task = task.map_or(String::new(), |task| format!("?task={task}"));
        self.get(&format!("/v1/jobs/{id}/explain{task}"))
    }

    /// Returns the leader's most recent decisions about a job.
    ///
    /// # Errors
    /// The job is unknown, or no controller responds in time.
    pub fn events(&mut self, id: &str) -> Result<JobEventList, ClientError> {
        self.get(&format!("/v1/jobs/{id}/events"))
    }

    /// Uploads the description that workers need to run a job. It must be uploaded before the job is submitted.
    ///
    /// # Errors
    /// The context has no job store, or the job store rejects the description or does not respond in time.
    pub fn upload_description(&self, id: &str, description: &Value) -> Result<(), ClientError> {
        let body = description.to_string();
        self.job_store_request("PUT", &format!("/descriptions/{id}"), body.as_bytes()).map(drop)
    }

    /// Returns the description that workers have of a job.
    ///
    /// # Errors
    /// The context has no job store, or the job store has no such description or does not respond in time.
    pub fn description(&self, id: &str) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/descriptions/{id}"), b"")?)?)
    }

    /// Returns the output of a task's attempts.
    ///
    /// # Errors
    /// The context has no job store, or the job store has no such logs or does not respond in time.
    pub fn logs(&self, id: &str, task: u32) -> Result<TaskLogs, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/logs/{id}/{task}"), b"")?)?)
    }

    /// For demonstrations: makes a local cluster kill the controller with this index, which it then restarts.
    ///
    /// # Errors
    /// The context has no job store, or the job store does not respond in time or has no such controller.
    pub fn kill_controller(&self, index: usize) -> Result<(), ClientError> {
        self.job_store_request("POST", &format!("/controllers/{index}/kill"), b"").map(drop)
    }
}
