//! Tests of `workers`.

use super::*;

#[test]
fn heartbeats_parse_with_and_without_escapes() {
    let plain = r#"{"box":"m","boxkind":"k","hall":"a","loaners":true,"shift":1,"tick":2,
            "pieces":[{"piece":"job-000412/3","try":2,"status":"ended","cause":"done"}]}"#;
    let escaped = plain.replace("job-000412/3", "job-000412\\/3").replace("done", "d\\u006fne");
    let heartbeat = parse_heartbeat(plain.as_bytes()).expect("a heartbeat");
    assert_eq!(heartbeat.tasks[0].state, TaskPhase::Exited(ExitCause::Done));
    assert_eq!(parse_heartbeat(escaped.as_bytes()), Some(heartbeat));
    assert_eq!(parse_heartbeat(plain.replace("ended", "asleep").as_bytes()), None);
    assert_eq!(parse_heartbeat(&plain.as_bytes()[..40]), None);
}
