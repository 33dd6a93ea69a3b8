//! One connection of a user, a worker, an operator or a health check.

use crate::coordination::InboundId;
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use olivelatch_net::http::{
    JSON_CONTENT_TYPE, MAX_BODY_BYTES, OPENMETRICS_CONTENT_TYPE, Parsed, Request, parse_request,
    write_response,
};
use olivelatch_net::stream::BufferedStream;

/// Largest request that is buffered: a body, its head and the sizes of its chunks.
pub(super) const MAX_INPUT_BYTES: usize = MAX_BODY_BYTES + 32 * 1024;

/// Space for the head of a response.
const HEAD_BYTES: usize = 200;

/// How a heartbeat begins.
const HEARTBEAT_PREFIX: &[u8] = b"POST /v1/report ";

/// A connection and the request on it.
pub(super) struct ServerConnection {
    pub(super) stream: BufferedStream,
    /// The request that waits for its response; further ones stay in the buffer.
    pub(super) inbound: Option<InboundId>,
    pub(super) keep_alive: bool,
    /// To be closed once its output is written.
    pub(super) closing: bool,
    /// Its last request was a heartbeat.
    pub(super) is_worker: bool,
    /// The response was sent before the request was complete. The rest is discarded, as closing at once could take the
    /// response from a user who is still sending.
    pub(super) discard_input: bool,
    pub(super) last_active: Millis,
    /// Memory of its buffers when last counted, in bytes.
    pub(super) buffered_bytes: usize,
}

/// What the input buffer holds.
pub(super) enum NextRequest {
    Incomplete,
    Complete(Request),
    /// Not HTTP, or too long.
    Malformed,
    /// More is needed than may be buffered at the moment.
    OutOfMemory,
}

impl ServerConnection {
    pub(super) fn new(stream: BufferedStream, now: Millis) -> ServerConnection {
        ServerConnection {
            stream,
            inbound: None,
            keep_alive: true,
            closing: false,
            is_worker: false,
            discard_input: false,
            last_active: now,
            buffered_bytes: 0,
        }
    }

    /// Whether the request in the buffer is a heartbeat.
    pub(super) fn is_sending_heartbeat(&self) -> bool {
        self.stream.input.starts_with(HEARTBEAT_PREFIX)
    }

    /// Takes a request from the buffer, which may hold `max_input` bytes at the moment.
    pub(super) fn next_request(&mut self, max_input: usize) -> NextRequest {
        match parse_request(&self.stream.input) {
            Parsed::Partial if self.stream.input.len() >= MAX_INPUT_BYTES => NextRequest::Malformed,
            Parsed::Partial if self.stream.input.len() >= max_input => NextRequest::OutOfMemory,
            Parsed::Partial => NextRequest::Incomplete,
            Parsed::Malformed | Parsed::TooLong => NextRequest::Malformed,
            Parsed::Complete(request, consumed) => {
                self.stream.consume_input(consumed);
                NextRequest::Complete(request)
            }
        }
    }

    /// Queues a response.
    pub(super) fn respond(&mut self, response: &HttpResponse) {
        let mut bytes = Vec::with_capacity(response.body.len() + HEAD_BYTES);
        let content_type = if response.is_text { OPENMETRICS_CONTENT_TYPE } else { JSON_CONTENT_TYPE };
        write_response(
            &mut bytes,
            response.status,
            content_type,
            response.retry_after_s,
            &response.body,
            self.keep_alive,
        );
        self.stream.queue(&bytes);
        self.inbound = None;
        self.closing = !self.keep_alive;
    }
}
