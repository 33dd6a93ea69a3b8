//! The subset of HTTP/1.1 that the interfaces use: bodies of known length or chunked, and at most one request in
//! flight per connection.
//!
//! Pure functions parse the message at the front of a buffer and append messages to one. They do no I/O and keep no
//! state between calls.

/// Maximum size of a start line with its headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A received request.
#[derive(Debug, PartialEq)]
pub struct Request {
    /// Request method in capitals, such as `GET`.
    pub method: String,
    /// Request target: path and query.
    pub path: String,
    /// Decoded body; empty if there is none.
    pub body: Vec<u8>,
    /// The client keeps the connection open for further requests.
    pub keep_alive: bool,
}

/// A received response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Decoded body; empty if there is none.
    pub body: Vec<u8>,
    /// The server keeps the connection open for further requests.
    pub keep_alive: bool,
    /// Seconds after which to retry, if the response has a `Retry-After` header in seconds.
    pub retry_after_s: Option<u32>,
}

/// Maximum size of a chunk's first line, which contains its size.
const MAX_CHUNK_LINE_BYTES: usize = 64;
const CRLF: &[u8] = b"\r\n";

/// The result of parsing a message at the front of a buffer.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// The message is incomplete; more bytes are needed.
    Partial,
    /// The bytes are not a valid message, or the head is too long.
    Malformed,
    /// The body exceeds the limit.
    TooLong,
    /// A complete message, and the number of bytes it occupies in the buffer.
    Complete(T, usize),
}

/// The reason for rejecting a body.
enum BodyError {
    Malformed,
    TooLong,
}

struct MessageHead<'a> {
    start_line: &'a str,
    content_length: Option<usize>,
    chunked: bool,
    connection_close: bool,
    connection_keep_alive: bool,
    retry_after_s: Option<u32>,
    head_bytes: usize,
}

enum ParsedHead<'a> {
    Partial,
    Malformed,
    Complete(MessageHead<'a>),
}

fn find_bytes(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

fn parse_head(buffer: &[u8]) -> ParsedHead<'_> {
    let limit = buffer.len().min(MAX_HEAD_BYTES);
    let Some(end) = find_bytes(&buffer[..limit], b"\r\n\r\n") else {
        return if buffer.len() >= MAX_HEAD_BYTES { ParsedHead::Malformed } else { ParsedHead::Partial };
    };
    let Ok(text) = std::str::from_utf8(&buffer[..end]) else {
        return ParsedHead::Malformed;
    };
    let mut lines = text.split("\r\n");
    let mut head = MessageHead {
        start_line: lines.next().unwrap_or(""),
        content_length: None,
        chunked: false,
        connection_close: false,
        connection_keep_alive: false,
        retry_after_s: None,
        head_bytes: end + 4,
    };
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return ParsedHead::Malformed;
        };
        if !apply_header(&mut head, name, value.trim()) {
            return ParsedHead::Malformed;
        }
    }
    ParsedHead::Complete(head)
}

/// Applies one header to the head. Returns false if the header is malformed.
fn apply_header(head: &mut MessageHead<'_>, name: &str, value: &str) -> bool {
    if name.is_empty() || name.ends_with([' ', '\t']) {
        return false;
    }
    if name.eq_ignore_ascii_case("content-length") {
        let only_digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let Some(length) = value.parse().ok().filter(|_| only_digits) else {
            return false;
        };
        // Two different lengths would allow request smuggling.
        if head.content_length.is_some_and(|known| known != length) {
            return false;
        }
        head.content_length = Some(length);
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        head.chunked = value.eq_ignore_ascii_case("chunked");
        return head.chunked;
    } else if name.eq_ignore_ascii_case("retry-after") {
        // Only a number of seconds is supported; a date is ignored.
        head.retry_after_s = value.parse().ok();
    } else if name.eq_ignore_ascii_case("connection") {
        for part in value.split(',') {
            head.connection_close |= part.trim().eq_ignore_ascii_case("close");
            head.connection_keep_alive |= part.trim().eq_ignore_ascii_case("keep-alive");
        }
    }
    true
}

/// A decoded body, and the number of bytes it occupies in the buffer.
struct ParsedBody {
    body: Vec<u8>,
    consumed: usize,
}

/// Parses the body from the bytes that follow the head. Returns `None` while the body is incomplete.
fn parse_body(rest: &[u8], head: &MessageHead<'_>, max_body: usize) -> Result<Option<ParsedBody>, BodyError> {
    if head.chunked {
        return if head.content_length.is_some() {
            Err(BodyError::Malformed)
        } else {
            parse_chunks(rest, max_body)
        };
    }
    let length = head.content_length.unwrap_or(0);
    if length > max_body {
        return Err(BodyError::TooLong);
    }
    Ok(rest.get(..length).map(|body| ParsedBody { body: body.to_vec(), consumed: length }))
}

fn parse_chunks(rest: &[u8], max_body: usize) -> Result<Option<ParsedBody>, BodyError> {
    let mut body = Vec::new();
    let mut consumed = 0;
    loop {
        let unread = &rest[consumed..];
        let Some(line_length) = find_bytes(unread, CRLF) else {
            return if unread.len() > MAX_CHUNK_LINE_BYTES { Err(BodyError::Malformed) } else { Ok(None) };
        };
        let size = parse_chunk_size(&unread[..line_length])?;
        if size > max_body || body.len() + size > max_body {
            return Err(BodyError::TooLong);
        }
        let start = line_length + CRLF.len();
        let end = start + size + CRLF.len();
        let Some(chunk) = unread.get(start..end) else {
            return Ok(None);
        };
        if !chunk.ends_with(CRLF) {
            return Err(BodyError::Malformed);
        }
        consumed += end;
        if size == 0 {
            return Ok(Some(ParsedBody { body, consumed }));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Parses the size in a chunk's first line, ignoring chunk extensions.
fn parse_chunk_size(line: &[u8]) -> Result<usize, BodyError> {
    let text = std::str::from_utf8(line).map_err(|_| BodyError::Malformed)?;
    let digits = text.split(';').next().unwrap_or("").trim();
    usize::from_str_radix(digits, 16).map_err(|_| BodyError::Malformed)
}

/// Parses the request at the front of a buffer. The size of the body is limited to [`MAX_BODY_BYTES`].
pub fn parse_request(buffer: &[u8]) -> Parsed<Request> {
    let head = match parse_head(buffer) {
        ParsedHead::Partial => return Parsed::Partial,
        ParsedHead::Malformed => return Parsed::Malformed,
        ParsedHead::Complete(head) => head,
    };
    let mut words = head.start_line.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Parsed::Malformed;
    };
    let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    if !is_method || !path.starts_with('/') || !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
        return Parsed::Malformed;
    }
    match parse_body(&buffer[head.head_bytes..], &head, MAX_BODY_BYTES) {
        Err(_) => Parsed::Malformed,
        Ok(None) => Parsed::Partial,
        Ok(Some(ParsedBody { body, consumed })) => {
            let keep_alive = !head.connection_close && (version == "HTTP/1.1" || head.connection_keep_alive);
            let request = Request { method: method.into(), path: path.into(), body, keep_alive };
            Parsed::Complete(request, head.head_bytes + consumed)
        }
    }
}

/// Parses the response at the front of a buffer. `max_body` limits the size of its body, in bytes.
pub fn parse_response(buffer: &[u8], max_body: usize) -> Parsed<Response> {
    let head = match parse_head(buffer) {
        ParsedHead::Partial => return Parsed::Partial,
        ParsedHead::Malformed => return Parsed::Malformed,
        ParsedHead::Complete(head) => head,
    };
    let mut words = head.start_line.splitn(3, ' ');
    let version = words.next().unwrap_or("");
    let status = words.next().and_then(|status| status.parse::<u16>().ok());
    let Some(status) = status.filter(|_| version.starts_with("HTTP/1.")) else {
        return Parsed::Malformed;
    };
    match parse_body(&buffer[head.head_bytes..], &head, max_body) {
        Err(BodyError::Malformed) => Parsed::Malformed,
        Err(BodyError::TooLong) => Parsed::TooLong,
        Ok(None) => Parsed::Partial,
        Ok(Some(ParsedBody { body, consumed })) => {
            let retry_after_s = head.retry_after_s;
            let response = Response { status, body, keep_alive: !head.connection_close, retry_after_s };
            Parsed::Complete(response, head.head_bytes + consumed)
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Content type of JSON bodies.
pub const JSON_CONTENT_TYPE: &str = "application/json";
/// Content type of metrics in the OpenMetrics text format.
pub const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Appends a response to a buffer.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    retry_after_s: Option<u32>,
    body: &[u8],
    keep_alive: bool,
) {
    let retry_after = retry_after_s.map_or(String::new(), |s| format!("Retry-After: {s}\r\n"));
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{retry_after}{connection}\r\n",
        reason_phrase(status),
        body.len(),
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request with a JSON body to a buffer.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len(),
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
#[path = "tests/http.rs"]
mod tests;
