//! One connection of a user, a worker, an operator or a health check.

use crate::coordination::InboundId;
use crate::ids::Millis;
use crate::protocol::HttpResponse;
use olivelatch_net::http::{
    JSON_CONTENT_TYPE, MAX_BODY_BYTES, OPENMETRICS_CONTENT_TYPE, Parsed, Request, parse_request,
    write_response,
};
use olivelatch_net::stream::BufferedStream;

/// Maximum size of a buffered request, including its body, its head and the chunk sizes.
pub(super) const MAX_INPUT_BYTES: usize = MAX_BODY_BYTES + 32 * 1024;

/// Estimated size of a response's head, for the initial capacity of the output buffer.
const RESPONSE_HEAD_BYTES: usize = 200;

/// First bytes of every heartbeat request.
const HEARTBEAT_PREFIX: &[u8] = b"POST /v1/report ";

/// An accepted connection and the state of its current request.
pub(super) struct ServerConnection {
    pub(super) stream: BufferedStream,
    /// The request that is waiting for its response. Later requests stay in the input buffer.
    pub(super) inbound: Option<InboundId>,
    pub(super) keep_alive: bool,
    /// The connection closes once its output is written.
    pub(super) closing: bool,
    /// The last request on the connection was a heartbeat.
    pub(super) is_worker: bool,
    /// The response was sent before the request was complete, and the rest of the request is discarded. Closing the
    /// connection immediately could make a client that is still sending lose the response.
    pub(super) discard_input: bool,
    pub(super) last_active: Millis,
    /// Memory of the connection's buffers when last counted, in bytes.
    pub(super) buffered_bytes: usize,
}

/// Result of parsing the input buffer.
pub(super) enum NextRequest {
    Incomplete,
    Complete(Request),
    /// The input is not valid HTTP, or the request is too long.
    Malformed,
    /// The request needs more buffer space than is available at the moment.
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

    /// Returns whether the request in the input buffer is a heartbeat.
    pub(super) fn is_sending_heartbeat(&self) -> bool {
        self.stream.input.starts_with(HEARTBEAT_PREFIX)
    }

    /// Removes the next complete request from the input buffer, which may currently hold `max_input` bytes.
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

    /// Adds a response to the output buffer.
    pub(super) fn respond(&mut self, response: &HttpResponse) {
        let mut bytes = Vec::with_capacity(response.body.len() + RESPONSE_HEAD_BYTES);
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
