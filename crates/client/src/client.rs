//! The client: sends each request to the controllers of a context in turn until one of them gives a final response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use olivelatch::protocol::operators::ControllerStatus;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::de::DeserializeOwned;

use crate::contexts::Context;
use crate::exchange::{ClientError, Request};
use crate::retry::{AttemptOutcome, RetryDecision, RetryState};

/// Timeout of one attempt: if a controller does not respond within it, the request is retried, on another one
/// if possible.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Lower bound for the timeout of an attempt close to the deadline: with less it could not even connect.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1);
/// Pause between two attempts of a request to the job store.
const JOB_STORE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A client of one context. It keeps no connection and no session between requests.
pub struct Client {
    context: Context,
    /// The longest time that a request may take, including all attempts.
    request_timeout: Duration,
    /// Index of the controller that the next request tries first: a random one for the first request, then the
    /// one that gave the last final response.
    preferred_controller: usize,
    rng: SmallRng,
}

impl Client {
    /// Creates a client of the context's controllers, which gives up on a request when the timeout has passed.
    pub fn new(context: Context, request_timeout: Duration) -> Client {
        let mut rng: SmallRng = SmallRng::from_rng(&mut rand::rng());
        let preferred_controller = rng.random_range(0..context.controllers.len().max(1));
        Client { context, request_timeout, preferred_controller, rng }
    }

    /// Tries the controllers until one gives a final response, and returns its body.
    pub(crate) fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, ClientError> {
        let request = Request { method, path, body };
        let controllers = self.context.controllers.clone();
        let start = Instant::now();
        let deadline_ms = self.request_timeout.as_millis() as u64;
        let mut retries = RetryState::new(controllers.len(), self.preferred_controller, deadline_ms);
        let mut last_refusal = None;
        let mut next = retries.first_decision();
        loop {
            let RetryDecision::Send { controller, wait_ms } = next else {
                return Err(last_refusal.unwrap_or_else(|| self.no_response(&controllers)));
            };
            std::thread::sleep(Duration::from_millis(wait_ms));
            let remaining = self.request_timeout.saturating_sub(start.elapsed()).max(MIN_ATTEMPT_TIMEOUT);
            let response = request.send(controllers[controller], ATTEMPT_TIMEOUT.min(remaining));
            let outcome = response.as_ref().map_or(AttemptOutcome::Lost, |response| {
                AttemptOutcome::Response { status: response.status, retry_after_s: response.retry_after_s }
            });
            next = retries.next_decision(start.elapsed().as_millis() as u64, outcome, &mut self.rng);
            let Some(response) = response else { continue };
            if next == RetryDecision::Final {
                self.preferred_controller = controller;
                let successful = response.status < 300;
                return if successful { Ok(response.body) } else { Err(ClientError::refused(&response)) };
            }
            last_refusal = Some(ClientError::refused(&response));
        }
    }

    fn no_response(&self, tried: &[SocketAddr]) -> ClientError {
        let tried: Vec<String> = tried.iter().map(ToString::to_string).collect();
        ClientError::NoResponse { deadline_s: self.request_timeout.as_secs_f64(), tried: tried.join(", ") }
    }

    /// Makes the next request try the following controller first.
    pub(crate) fn prefer_next_controller(&mut self) {
        self.preferred_controller = (self.preferred_controller + 1) % self.context.controllers.len().max(1);
    }

    pub(crate) fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.request("GET", path, b"")?)?)
    }

    /// Queries the status of each controller, one after the other, with a single attempt each. The status is
    /// `None` if the controller does not respond with one.
    pub fn controller_statuses(&self) -> Vec<(SocketAddr, Option<ControllerStatus>)> {
        let timeout = ATTEMPT_TIMEOUT.min(self.request_timeout);
        let request = Request { method: "GET", path: "/v1/status", body: b"" };
        let status = |addr: &SocketAddr| serde_json::from_slice(&request.send(*addr, timeout)?.body).ok();
        self.context.controllers.iter().map(|addr| (*addr, status(addr))).collect()
    }

    /// Sends a request to the context's job store, with retries until it gives a final response or the timeout passes.
    pub(crate) fn job_store_request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let job_store = self.context.job_store.ok_or(ClientError::NoJobStore)?;
        let request = Request { method, path, body };
        let deadline = Instant::now() + self.request_timeout;
        while Instant::now() < deadline {
            match request.send(job_store, ATTEMPT_TIMEOUT) {
                Some(response) if response.status < 300 => return Ok(response.body),
                Some(response) if response.status != 503 => return Err(ClientError::refused(&response)),
                _ => std::thread::sleep(JOB_STORE_RETRY_INTERVAL),
            }
        }
        Err(self.no_response(&[job_store]))
    }
}
