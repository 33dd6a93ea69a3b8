//! A small HTTP/1.1 server (one thread for each connection) and a client with one connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A received request.
pub struct Request {
    pub method: String,
    /// The path without the query.
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A status and a JSON body.
pub type Reply = (u16, Value);

/// Answers requests. Without a reply, the connection ends.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Reply> + Send + Sync>;

struct Head {
    start_line: String,
    length: usize,
    close: bool,
}

/// Reads the head of a message. Returns `None` at the end of the stream.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start_line = String::new();
    if reader.read_line(&mut start_line)? == 0 {
        return Ok(None);
    }
    let mut head = Head { start_line: start_line.trim_end().into(), length: 0, close: false };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                head.length = value.trim().parse().map_err(io::Error::other)?;
            } else if name.eq_ignore_ascii_case("connection") {
                head.close = value.trim().eq_ignore_ascii_case("close");
            }
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(&Request) -> Option<Reply> + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let mut body = vec![0; head.length];
        reader.read_exact(&mut body)?;
        let mut words = head.start_line.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request { method, path: path.into(), query: query.into(), body };
        // No answer: the connection ends.
        let Some((status, value)) = handler(&request) else { return Ok(()) };
        let body = value.to_string();
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes())?;
        if head.close {
            return Ok(());
        }
    }
    Ok(())
}

/// Serves requests on a listener until `stopped` is set. A request without a reply ends its connection.
pub fn serve(listener: TcpListener, stopped: Arc<AtomicBool>, handler: Handler) {
    thread::spawn(move || {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let handler = handler.clone();
                    let _ = stream.set_nonblocking(false);
                    thread::spawn(move || {
                        let _ = serve_connection(stream, &*handler);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

/// A client of one address that keeps its connection open.
pub struct Client {
    addr: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, stream: None }
    }

    /// Sends a request and waits for its response, for `timeout` at most. An error closes the connection.
    pub fn request(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> io::Result<Reply> {
        self.send(method, path, body, timeout)?;
        self.receive()
    }

    /// Sends a request; its response has to be received next.
    pub fn send(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> io::Result<()> {
        let mut reader = match self.stream.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.addr, timeout)?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(timeout))?;
        reader.get_ref().set_write_timeout(Some(timeout))?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        reader.get_mut().write_all(text.as_bytes())?;
        self.stream = Some(reader);
        Ok(())
    }

    /// Waits for the response to the request that was sent.
    pub fn receive(&mut self) -> io::Result<Reply> {
        let mut reader = self.stream.take().ok_or(io::ErrorKind::NotConnected)?;
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = vec![0; head.length];
        reader.read_exact(&mut body)?;
        let status = head.start_line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        if !head.close {
            self.stream = Some(reader);
        }
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }
}
