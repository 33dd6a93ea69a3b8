//! Compares the exit codes of the command line for each response of a controller with a golden file: scripts
//! rely on them.

#[path = "../../../tests/golden/support.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};

use support::Golden;

/// Starts a stub of a controller, which sends the same response to every request until the test ends, and returns its
/// address.
fn stub_controller(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let addr = listener.local_addr().expect("an address");
    let response = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut chunk = [0; 16 * 1024];
            let received_bytes = stream.read(&mut chunk).unwrap_or(0);
            if received_bytes > 0 {
                let _ = stream.write_all(response.as_bytes());
            }
        }
    });
    addr
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    listener.local_addr().expect("an address")
}

fn exit_code(folder: &Path, addr: SocketAddr, arguments: &[&str]) -> i32 {
    let contexts = folder.join("contexts.hcl");
    std::fs::write(&contexts, format!("context \"one\" {{\n  controllers = [\"{addr}\"]\n}}\n"))
        .expect("contexts");
    let run = Command::new(env!("CARGO_BIN_EXE_olivelatchctl"))
        .arg("--contexts")
        .arg(&contexts)
        .args(["--deadline", "1"])
        .args(arguments)
        .current_dir(folder)
        .stdin(Stdio::null())
        .output()
        .expect("the command runs");
    run.status.code().expect("a code")
}

const DONE: &str = r#"{"uid":"job-000412","status":"done"}"#;
const PENDING: &str = r#"{"uid":"job-000412","status":"pending"}"#;
const CANCELLED: &str = r#"{"uid":"job-000412","status":"withdrawn"}"#;
const ERROR: &str = r#"{"error":"no"}"#;

#[test]
fn exit_codes() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    std::fs::write(folder.join("wrong.hcl"), "job \"a\" {\n  colour = 1\n}\n").expect("a file");
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "exit_codes");
    let wait = ["wait", "job-000412", "--timeout", "0.3"];
    let cancel = ["cancel", "job-000412"];
    let cases: [(&str, SocketAddr, &[&str]); 14] = [
        ("wait: done", stub_controller(200, DONE), &wait),
        ("wait: withdrawn", stub_controller(200, CANCELLED), &wait),
        ("wait: not yet", stub_controller(200, PENDING), &wait),
        ("wait: not known", stub_controller(404, ERROR), &wait),
        ("cancel: withdrawn", stub_controller(200, CANCELLED), &cancel),
        ("cancel: 400", stub_controller(400, ERROR), &cancel),
        ("cancel: 404", stub_controller(404, ERROR), &cancel),
        ("cancel: 409", stub_controller(409, ERROR), &cancel),
        ("cancel: 422", stub_controller(422, ERROR), &cancel),
        ("cancel: 503", stub_controller(503, ERROR), &cancel),
        ("cancel: not as expected", stub_controller(200, "{}"), &cancel),
        ("cancel: nobody", unused_address(), &cancel),
        ("check: a wrong file", unused_address(), &["check", "wrong.hcl"]),
        ("a wrong argument", unused_address(), &["cancel", "--colour"]),
    ];
    for (name, addr, arguments) in cases {
        golden.case(name, exit_code(folder, addr, arguments));
    }
    golden.case("help", exit_code(folder, unused_address(), &["--help"]));
    golden.case(
        "another context",
        exit_code(folder, unused_address(), &["--context", "two", "cancel", "job-000412"]),
    );
    golden.check();
}
