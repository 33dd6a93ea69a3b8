//! Typed messages of every interface, and their mapping to and from the wire.
//!
//! Names used on the wire end here: `serde(rename)` and the private `...Wire` types map them to the terms of the code.
//! The modules parse and serialize; they decide nothing, do no I/O and read no clock. Bodies are bounded by whoever
//! reads them from a connection.

pub mod cloud;
pub mod config;
pub mod graphs;
pub mod kv;
pub mod operators;
pub mod peer;
pub(crate) mod query_params;
pub mod users;
pub mod workers;

/// A response to an HTTP request that came in, ready to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    /// Seconds after which the client should retry.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
    /// The body is OpenMetrics text instead of JSON.
    pub is_text: bool,
}

impl HttpResponse {
    /// A body that is serialized to JSON.
    pub fn json(status: u16, body: &impl serde::Serialize) -> HttpResponse {
        HttpResponse { status, ..HttpResponse::json_bytes(serde_json::to_vec(body).unwrap_or_default()) }
    }

    /// A successful response whose body is JSON already.
    pub fn json_bytes(body: Vec<u8>) -> HttpResponse {
        HttpResponse { status: 200, retry_after_s: None, body, is_text: false }
    }

    /// A response whose body is `{"error": text}`.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        #[derive(serde::Serialize)]
        struct Body<'a> {
            error: &'a str,
        }
        HttpResponse::json(status, &Body { error: text })
    }

    /// A rejection that may be retried after some seconds.
    pub fn retry_later(text: &str, seconds: u32) -> HttpResponse {
        HttpResponse { retry_after_s: Some(seconds), ..HttpResponse::error(503, text) }
    }
}

/// An HTTP request of ours, ready to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// A GET request without a body.
    pub fn get(path: String) -> HttpRequest {
        HttpRequest { method: "GET", path, body: Vec::new() }
    }

    /// A POST request whose body is serialized to JSON.
    pub fn post(path: &str, body: &impl serde::Serialize) -> HttpRequest {
        HttpRequest {
            method: "POST",
            path: path.to_string(),
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
}

/// The outcome of a request of ours.
#[derive(Debug, Clone, PartialEq)]
pub enum HttpOutcome {
    Response {
        status: u16,
        body: Vec<u8>,
    },
    /// Nothing left this machine: the request was certainly not carried out.
    NotSent,
    /// No response: it may have been carried out, or may be later.
    Unknown,
    /// The response exceeds the memory limit: it may have been carried out.
    TooLarge,
}
