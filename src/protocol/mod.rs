//! Typed messages of every interface. Names used on the wire end here.

pub mod cloud;
pub mod config;
pub mod graphs;
pub mod kv;
pub mod operators;
pub mod peer;
pub mod users;
pub mod workers;

use thiserror::Error;

/// Why a message could not be understood.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("not the JSON expected: {0}")]
    Json(#[from] serde_json::Error),
    #[error("unexpected status {0}")]
    Status(u16),
}

/// An answer to an HTTP request, ready to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
    /// Text for people or scrapers instead of JSON.
    pub is_text: bool,
}

impl HttpResponse {
    pub fn json(status: u16, body: &impl serde::Serialize) -> HttpResponse {
        HttpResponse { status, ..HttpResponse::json_bytes(serde_json::to_vec(body).unwrap_or_default()) }
    }

    /// A body that is JSON already.
    pub fn json_bytes(body: Vec<u8>) -> HttpResponse {
        HttpResponse { status: 200, retry_after_s: None, body, is_text: false }
    }

    pub fn error(status: u16, text: &str) -> HttpResponse {
        #[derive(serde::Serialize)]
        struct Body<'a> {
            error: &'a str,
        }
        HttpResponse::json(status, &Body { error: text })
    }

    /// A refusal that says when to come back.
    pub fn retry_later(text: &str, seconds: u32) -> HttpResponse {
        HttpResponse { retry_after_s: Some(seconds), ..HttpResponse::error(503, text) }
    }
}

/// An HTTP request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn get(path: String) -> HttpRequest {
        HttpRequest { method: "GET", path, body: Vec::new() }
    }

    pub fn post(path: &str, body: &impl serde::Serialize) -> HttpRequest {
        HttpRequest {
            method: "POST",
            path: path.to_string(),
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum HttpOutcome {
    Response {
        status: u16,
        body: Vec<u8>,
    },
    /// Nothing left this machine: the call was certainly not carried out.
    NotSent,
    /// No response: it may have been carried out, or may be later.
    Unknown,
    /// A response that is more than may be held: it may have been carried out.
    TooLarge,
}
