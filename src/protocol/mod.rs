//! Typed messages of every interface, and their mapping to and from the wire.
//!
//! `serde(rename)` and the private `...Wire` types map the names used on the wire to the terms of the code. The modules
//! only parse and serialize: they make no decisions, do no I/O and read no clock. The code that reads a body from a
//! connection limits its size.

pub mod cloud;
pub mod config;
pub mod graphs;
pub mod kv;
pub mod operators;
pub mod peer;
pub(crate) mod query_params;
pub mod users;
pub mod workers;

/// A response to an HTTP request that this process received.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    /// Seconds after which the client should retry.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
    /// Whether the body is OpenMetrics text instead of JSON.
    pub is_text: bool,
}

impl HttpResponse {
    /// Returns a response whose body is `body` serialized to JSON.
    pub fn json(status: u16, body: &impl serde::Serialize) -> HttpResponse {
        HttpResponse { status, ..HttpResponse::json_bytes(serde_json::to_vec(body).unwrap_or_default()) }
    }

    /// Returns a successful response whose body is already serialized JSON.
    pub fn json_bytes(body: Vec<u8>) -> HttpResponse {
        HttpResponse { status: 200, retry_after_s: None, body, is_text: false }
    }

    /// Returns a response whose body is `{"error": text}`.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        #[derive(serde::Serialize)]
        struct Body<'a> {
            error: &'a str,
        }
        HttpResponse::json(status, &Body { error: text })
    }

    /// Returns a 503 response that asks the client to retry after `seconds`.
    pub fn retry_later(text: &str, seconds: u32) -> HttpResponse {
        HttpResponse { retry_after_s: Some(seconds), ..HttpResponse::error(503, text) }
    }
}

/// An HTTP request that this process sends.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a GET request without a body.
    pub fn get(path: String) -> HttpRequest {
        HttpRequest { method: "GET", path, body: Vec::new() }
    }

    /// Returns a POST request whose body is `body` serialized to JSON.
    pub fn post(path: &str, body: &impl serde::Serialize) -> HttpRequest {
        HttpRequest {
            method: "POST",
            path: path.to_string(),
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
}

/// The outcome of a request that this process sent or tried to send.
#[derive(Debug, Clone, PartialEq)]
pub enum HttpOutcome {
    Response {
        status: u16,
        body: Vec<u8>,
    },
    /// Nothing was sent, so the request is guaranteed not to be carried out.
    NotSent,
    /// No response arrived: the request may have been carried out, or may still be.
    Unknown,
    /// The response exceeds the memory limit: the request may have been carried out.
    TooLarge,
}
