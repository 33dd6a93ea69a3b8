//! HTTP/1.1 over blocking sockets: a server with one thread per connection, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::link::{Link, Mode};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: String,
}

/// What a handler answers. `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves requests on a free loopback port until the process ends; returns the address.
///
/// Packets of a connection that was opened while the link was interrupted are never delivered: the attempt to connect
/// would have been given up.
pub fn serve(link: Link, handler: impl Fn(Request) -> Answer + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (handler, link) = (handler.clone(), link.clone());
            std::thread::spawn(move || {
                if link.mode() == Mode::Hold {
                    link.pass();
                    return;
                }
                serve_connection(socket, handler);
            });
        }
    });
    addr
}

fn serve_connection(mut socket: TcpStream, handler: impl Fn(Request) -> Answer) {
    let _ = socket.set_nodelay(true);
    let mut input = Vec::new();
    while let Some((head, body)) = read_message(&mut socket, &mut input) {
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let (method, path) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
        let Some((status, text)) = handler(Request { method, path, body }) else { return };
        let reply = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if socket.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one message; returns its head and its body.
fn read_message(socket: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).to_string();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&input[end + 4..end + 4 + length]).to_string();
                input.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
        }
    }
}

/// A client connection that is kept open.
pub struct Client {
    addr: SocketAddr,
    socket: Option<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, socket: None }
    }
    /// Sends a request; `None` if no answer came within the time.
    pub fn call(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
        let started = Instant::now();
        self.send(method, path, body, timeout)?;
        self.receive(timeout.checked_sub(started.elapsed())?)
    }

    /// Sends a request without waiting for its answer.
    pub fn send(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Option<()> {
        if self.socket.is_none() {
            let socket =
                TcpStream::connect_timeout(&self.addr, timeout.min(Duration::from_millis(500))).ok()?;
            let _ = socket.set_nodelay(true);
            self.socket = Some(socket);
        }
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.addr,
            body.len()
        );
        let sent = self.socket.as_mut()?.write_all(text.as_bytes());
        if sent.is_err() {
            self.socket = None;
        }
        sent.ok()
    }

    /// Waits for the answer to the request that was sent.
    pub fn receive(&mut self, timeout: Duration) -> Option<(u16, String)> {
        let mut socket = self.socket.take()?;
        socket.set_read_timeout(Some(timeout.max(Duration::from_millis(1)))).ok()?;
        let mut input = Vec::new();
        let (head, body) = read_message(&mut socket, &mut input)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        if !head.to_ascii_lowercase().contains("connection: close") {
            self.socket = Some(socket);
        }
        Some((status, body))
    }
}
