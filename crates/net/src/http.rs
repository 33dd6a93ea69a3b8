//! HTTP/1.1 as the interfaces use it: no pipelining, bodies of known length or chunked.

/// Longest request or status line with its headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body a request may have.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Debug, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    pub keep_alive: bool,
}

#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub keep_alive: bool,
    /// When to come back, if the answer says.
    pub retry_after_s: Option<u32>,
}

/// A message at the front of the buffer, and how many bytes it took.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    Partial,
    Malformed,
    /// More than may be held.
    TooLong,
    Complete(T, usize),
}

/// Why a body cannot be taken.
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

fn apply_header(head: &mut MessageHead<'_>, name: &str, value: &str) -> bool {
    if name.is_empty() || name.ends_with([' ', '\t']) {
        return false;
    }
    if name.eq_ignore_ascii_case("content-length") {
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let Some(length) = value.parse().ok().filter(|_| digits) else {
            return false;
        };
        // Two different lengths would let one message hide in another.
        if head.content_length.is_some_and(|known| known != length) {
            return false;
        }
        head.content_length = Some(length);
    } else if name.eq_ignore_ascii_case("transfer-encoding") {
        head.chunked = value.eq_ignore_ascii_case("chunked");
        return head.chunked;
    } else if name.eq_ignore_ascii_case("retry-after") {
        // A date instead of seconds says nothing to us.
        head.retry_after_s = value.parse().ok();
    } else if name.eq_ignore_ascii_case("connection") {
        for part in value.split(',') {
            head.connection_close |= part.trim().eq_ignore_ascii_case("close");
            head.connection_keep_alive |= part.trim().eq_ignore_ascii_case("keep-alive");
        }
    }
    true
}

/// Body and bytes taken, None while incomplete, Err if it can't be right.
fn read_body(
    rest: &[u8],
    head: &MessageHead<'_>,
    most: usize,
) -> Result<Option<(Vec<u8>, usize)>, BodyError> {
    if head.chunked {
        return if head.content_length.is_some() {
            Err(BodyError::Malformed)
        } else {
            read_chunks(rest, most)
        };
    }
    let length = head.content_length.unwrap_or(0);
    if length > most {
        return Err(BodyError::TooLong);
    }
    Ok(rest.get(..length).map(|body| (body.to_vec(), length)))
}

fn read_chunks(rest: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, BodyError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let Some(line) = find_bytes(&rest[at..], b"\r\n") else {
            return if rest.len() - at > 64 { Err(BodyError::Malformed) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&rest[at..at + line]).map_err(|_| BodyError::Malformed)?;
        let size = text.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| BodyError::Malformed)?;
        if size > most || body.len() + size > most {
            return Err(BodyError::TooLong);
        }
        let start = at + line + 2;
        let Some(chunk) = rest.get(start..start + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(BodyError::Malformed);
        }
        at = start + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

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
    let token = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    if !token || !path.starts_with('/') || !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
        return Parsed::Malformed;
    }
    match read_body(&buffer[head.head_bytes..], &head, MAX_BODY_BYTES) {
        Err(_) => Parsed::Malformed,
        Ok(None) => Parsed::Partial,
        Ok(Some((body, taken))) => {
            let keep_alive = !head.connection_close && (version == "HTTP/1.1" || head.connection_keep_alive);
            let request = Request { method: method.into(), path: path.into(), body, keep_alive };
            Parsed::Complete(request, head.head_bytes + taken)
        }
    }
}

/// A response whose body may have so many bytes.
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
    match read_body(&buffer[head.head_bytes..], &head, max_body) {
        Err(BodyError::Malformed) => Parsed::Malformed,
        Err(BodyError::TooLong) => Parsed::TooLong,
        Ok(None) => Parsed::Partial,
        Ok(Some((body, taken))) => {
            let retry_after_s = head.retry_after_s;
            let response = Response { status, body, keep_alive: !head.connection_close, retry_after_s };
            Parsed::Complete(response, head.head_bytes + taken)
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

pub const JSON_CONTENT_TYPE: &str = "application/json";
pub const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    retry_after_s: Option<u32>,
    body: &[u8],
    keep_alive: bool,
) {
    let retry = retry_after_s.map_or(String::new(), |s| format!("Retry-After: {s}\r\n"));
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{retry}{close}\r\n",
        reason_phrase(status),
        body.len(),
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

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
