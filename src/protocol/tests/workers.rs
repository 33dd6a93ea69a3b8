//! Tests of `workers`.

use super::*;

#[test]
fn reports_are_read_escaped_or_not() {
    let plain = r#"{"box":"m","boxkind":"k","hall":"a","loaners":true,"shift":1,"tick":2,
            "pieces":[{"piece":"job-000412/3","try":2,"status":"ended","cause":"done"}]}"#;
    let escaped = plain.replace("job-000412/3", "job-000412\\/3").replace("done", "d\\u006fne");
    let report = read_report(plain.as_bytes()).expect("a report");
    assert_eq!(report.pieces[0].state, TaskState::Exited(ExitCause::Done));
    assert_eq!(read_report(escaped.as_bytes()), Some(report));
    assert_eq!(read_report(plain.replace("ended", "asleep").as_bytes()), None);
    assert_eq!(read_report(&plain.as_bytes()[..40]), None);
}
