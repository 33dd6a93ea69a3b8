//! Tests of one controller process on loopback with misbehaving clients. Whole clusters are tested in
//! `crates/cli/tests/`.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivelatch::protocol::peer::{PeerMessage, encode};
use olivelatch_kv_store::KvEngine;
use olivelatch_local_cluster::{Cloud, MachineTypeSpec};
use serde_json::{Value, json};

/// Reads one HTTP message: its first line and its body.
fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok()
                })
                .unwrap_or(0);
            while bytes.len() < end + 4 + length {
                let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
                bytes.extend_from_slice(&chunk[..n]);
            }
            let body = bytes[end + 4..end + 4 + length].to_vec();
            return Some((head.lines().next().unwrap_or("").to_string(), body));
        }
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&chunk[..n]);
    }
}

fn send_request(addr: &str, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let addr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let (first, body) = read_message(&mut stream)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

type Handler = dyn Fn(&str, &str, &[u8]) -> (u16, Value) + Send + Sync;

/// Serves HTTP requests until the test ends, with one thread per connection.
fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    while let Some((first, body)) = read_message(&mut stream) {
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (status, body) = handler(method, path, &body);
        let body = body.to_string();
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Controller processes, which are killed when this is dropped.
struct Controllers {
    /// The running processes; `None` for a controller that has not been started.
    processes: Vec<Option<Child>>,
    settings_files: Vec<std::path::PathBuf>,
    client_addresses: Vec<String>,
}

impl Controllers {
    fn start(&mut self, index: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_olivelatch"))
            .args(["serve", "--config"])
            .arg(&self.settings_files[index])
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.processes[index] = Some(child);
    }

    /// Returns the response of the first controller that does not return 503, as clients behind a load balancer see it.
    fn request(&self, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let mut running = (0..self.client_addresses.len()).filter(|index| self.processes[*index].is_some());
        running.find_map(|index| {
            send_request(&self.client_addresses[index], method, path, body.as_bytes())
                .filter(|(status, _)| *status != 503)
        })
    }

    fn wait_until(&self, seconds: u64, path: &str, is_expected: impl Fn(u16, &Value) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(seconds);
        let mut last = None;
        while Instant::now() < deadline {
            last = self.request("GET", path, &Value::Null);
            if last.as_ref().is_some_and(|(status, body)| is_expected(*status, body)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        panic!("{path}: no expected response within {seconds} s; the last one was {last:?}");
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            if let Some(mut child) = self.processes[index].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&self.settings_files[index]);
        }
    }
}

fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let addr = listener.local_addr().expect("an address").to_string();
    (listener, addr)
}

/// Serves the key-value store and the cloud until the test ends; returns their addresses.
fn serve_platform(
    kv_store: Arc<Mutex<KvEngine>>,
    cloud: Arc<Mutex<Cloud>>,
    start: Instant,
) -> (String, String) {
    let now = move || start.elapsed().as_millis() as u64 + 1000;
    let (kv_listener, kv_addr) = listener();
    let (cloud_listener, cloud_addr) = listener();
    serve(
        kv_listener,
        Arc::new(move |method: &str, path: &str, body: &[u8]| {
            kv_store.lock().expect("the kv store's lock").handle_request(method, path, body, now())
        }),
    );
    serve(
        cloud_listener,
        Arc::new(move |method: &str, path: &str, body: &[u8]| {
            cloud.lock().expect("the cloud's lock").handle_request(method, path, body, now())
        }),
    );
    (kv_addr, cloud_addr)
}

fn free_address() -> String {
    listener().1
}

fn submission(id: &str, tasks: u32) -> Value {
    json!({"uid": id, "jobclass": "work", "owner": "core", "shape": "array", "urgency": "normal",
        "pieces": tasks, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "img", "size_gb": 0.1,
        "boxkinds": null, "hall": null, "together": false, "scatter": false, "loaners": false,
        "guess_s": 1.0, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": null})
}

/// Returns the resident anonymous memory of a process in MB. Its mapped program file is not counted.
fn resident_mb(child: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))
        .expect("the status of a running child process");
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).expect("an RssAnon line");
    line.split_whitespace().nth(1).expect("a number").parse::<u64>().expect("a number") / 1024
}

/// Starts a controller with a key-value store and a cloud, and waits until it is ready. Returns the controller and its
/// client address. `name` becomes part of the name of its settings file.
fn start_one_controller(name: &str, peer_address: &str, peers: &Value) -> (Controllers, String) {
    let cloud = Arc::new(Mutex::new(Cloud::default()));
    cloud.lock().expect("the cloud's lock").machine_types.push(small_machine_type());
    let kv_store = Arc::new(Mutex::new(KvEngine::default()));
    let (kv_addr, cloud_addr) = serve_platform(kv_store, cloud, Instant::now());
    let client_address = free_address();
    let count = 1 + peers.as_array().map_or(0, Vec::len);
    let settings = json!({"node": "n0", "zone": "a", "front": client_address, "mesh_addr": peer_address, "others": peers,
        "endpoints": {"cloud": cloud_addr, "state": kv_addr},
        "cluster": {"count": count, "zones": ["a"], "teams": [{"name": "core"}],
            "workers": {"report_s": 0.5, "lease_s": 6.0, "gang_wait_s": 10.0, "gang_peer_s": 2.0, "cancel_s": 20.0},
            "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0},
            "quota": {"core_share": 1.0, "mem_mb": 16.0, "max_connections": 800}, "time_bound_ms": 10.0}});
    let file = std::env::temp_dir().join(format!("olivelatch-{name}-{}.json", std::process::id()));
    std::fs::write(&file, settings.to_string()).expect("a settings file");
    let mut controllers = Controllers {
        processes: vec![None],
        settings_files: vec![file],
        client_addresses: vec![client_address.clone()],
    };
    controllers.start(0);
    controllers.wait_until(15, "/ready", |status, _| status == 200);
    (controllers, client_address)
}

/// A peer that restarts quickly connects again while its previous connections are still open. The controller keeps the
/// newest connection and closes the others, as well as those of unknown peers; otherwise stale connections would use up
/// the connection limit.
#[test]
fn only_the_newest_connection_of_a_peer_is_kept() {
    let peer_address = free_address();
    let (_controllers, _) = start_one_controller(
        "mesh",
        &peer_address,
        &json!([{"node": "n1", "zone": "a", "addr": free_address()}]),
    );
    let connect = |controller: &str| {
        let mut stream = TcpStream::connect(&peer_address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_millis(1_500))).expect("a time-out");
        stream
            .write_all(&encode(&PeerMessage::Hello { controller: controller.into() }))
            .expect("the hello message is sent");
        std::thread::sleep(Duration::from_millis(30));
        stream
    };
    // A read from a closed connection returns end of file or a reset; a read from an open one times out.
    let closed = |stream: &mut TcpStream| match stream.read(&mut [0; 16]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    };
    let mut stale: Vec<TcpStream> = (0..70).map(|_| connect("n1")).collect();
    let mut newest = connect("n1");
    assert!(stale.iter_mut().all(closed));
    assert!(!closed(&mut newest));
    assert!(closed(&mut connect("stranger")));
    newest
        .write_all(&encode(&PeerMessage::Hello { controller: "n1".into() }))
        .expect("the hello message is sent again");
    assert!(!closed(&mut newest));
}

/// With 400 incomplete requests (24 MB), responses that are never read, and idle connections, the controller's buffers
/// stay within their share of the configured memory, and heartbeats and small submissions are still served.
#[test]
fn incomplete_requests_stay_within_the_memory_limit() {
    let (controllers, client_address) = start_one_controller("memory", &free_address(), &json!([]));

    let connect = || TcpStream::connect(&client_address).expect("a connection");
    let mut connections: Vec<TcpStream> = (0..100).map(|_| connect()).collect();
    for index in 0..400 {
        let mut stream = connect();
        let length = 62_000;
        let head = format!("POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
        // The controller may reject and close while this is being sent, so write errors are expected.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'a' + (index % 26) as u8; length - 100]);
        connections.push(stream);
    }
    // 60,000 requests whose responses are not read.
    for _ in 0..20 {
        let mut stream = connect();
        stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a time-out");
        let _ = stream.write_all("GET /nowhere HTTP/1.1\r\n\r\n".repeat(3000).as_bytes());
        connections.push(stream);
    }
    std::thread::sleep(Duration::from_millis(300));
    let resident = resident_mb(controllers.processes[0].as_ref().expect("a running controller"));
    assert!(resident < 9, "the controller uses {resident} MB of memory, expected less than 9 MB");

    let (status, _) = controllers.request("POST", "/work", &submission("job-000001", 1)).expect("a response");
    assert_eq!(status, 201);
    let heartbeat = json!({"box": "m", "endpoint": "127.0.0.1:9", "boxkind": "small", "hall": "a", "loaners": false,
        "shift": 1, "tick": 1, "baton": 0, "warning_s": null, "pieces": [], "padding": "x".repeat(40_000)});
    let response = send_request(&client_address, "POST", "/v1/report", heartbeat.to_string().as_bytes())
        .expect("a response");
    assert_eq!(response.0, 200);
    // Under this load a large submission gets 503, while malformed requests still get 400.
    let large = json!({"uid": "job-000002", "padding": "x".repeat(40_000)});
    assert_eq!(
        send_request(&client_address, "POST", "/work", large.to_string().as_bytes()).expect("a response").0,
        503
    );
    assert_eq!(send_request(&client_address, "POST", "/work", b"{").expect("a response").0, 400);
    assert_eq!(send_request(&client_address, "get", "/work", b"").expect("a response").0, 400);
}

fn small_machine_type() -> MachineTypeSpec {
    MachineTypeSpec {
        name: "small".into(),
        cpus: 4.0,
        memory_gb: 16.0,
        gpus: 0.0,
        fetch_gb_per_s: 1.0,
        boot_s: 1.0,
        zones: vec!["a".into()],
        on_demand_per_zone: 0,
        spot_per_zone: 0,
    }
}
