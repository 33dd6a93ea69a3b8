//! Sends one HTTP request over its own connection, and defines the errors of requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use olivelatch_net::http::{Parsed, Response, parse_response, write_request};
use serde_json::Value;
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of bytes read from a connection at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Reasons why a request fails.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No server responded within the deadline; the request may still have been executed.
    #[error("no response within {deadline_s:.0} s from {tried}")]
    NoResponse {
        /// The deadline, in seconds.
        deadline_s: f64,
        /// The addresses that were tried, separated by commas.
        tried: String,
    },
    /// The server responded with an error status.
    #[error("{status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The `error` field of the body, or the whole body if it has none.
        text: String,
        /// The unparsed body.
        body: Vec<u8>,
    },
    /// The response body does not have the expected form.
    #[error("unexpected response body: {0}")]
    InvalidResponse(#[from] serde_json::Error),
    /// The context has no job store.
    #[error("the context has no job store for job descriptions and logs: set `desk` in the contexts file")]
    NoJobStore,
}

impl ClientError {
    /// Returns the HTTP status if the server responded with an error.
    pub fn status(&self) -> Option<u16> {
        match self {
            ClientError::Refused { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns whether the same request may succeed later: no server responded, or the status was 503.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, ClientError::NoResponse { .. } | ClientError::Refused { status: 503, .. })
    }

    pub(crate) fn refused(response: &Response) -> ClientError {
        ClientError::Refused {
            status: response.status,
            text: error_text(&response.body),
            body: response.body.clone(),
        }
    }
}

fn error_text(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    value["error"].as_str().map_or_else(|| String::from_utf8_lossy(body).into_owned(), String::from)
}

/// A request, which is sent unchanged in each attempt.
#[derive(Clone, Copy)]
pub(crate) struct Request<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a [u8],
}

impl Request<'_> {
    /// Sends the request and reads the response; `None` if the connection fails, the timeout passes first, or
    /// the response is malformed or too large.
    pub(crate) fn send(&self, addr: SocketAddr, timeout: Duration) -> Option<Response> {
        let deadline = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT.min(timeout)).ok()?;
        let mut bytes = Vec::new();
        write_request(&mut bytes, self.method, self.path, &addr.to_string(), self.body);
        stream.set_write_timeout(Some(timeout)).ok()?;
        stream.write_all(&bytes).ok()?;
        read_response(&mut stream, deadline)
    }
}

fn read_response(stream: &mut TcpStream, deadline: Instant) -> Option<Response> {
    let mut input = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let remaining =
            deadline.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())?;
        stream.set_read_timeout(Some(remaining)).ok()?;
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&chunk[..count]);
        match parse_response(&input, MAX_RESPONSE_BYTES) {
            Parsed::Complete(response, _) => return Some(response),
            // The limit applies to the body; this leaves room for the headers.
            Parsed::Partial if input.len() <= MAX_RESPONSE_BYTES + CHUNK_BYTES => {}
            _ => return None,
        }
    }
}
