//! Tests of `logging`.

use super::*;

/// A message with quotes and line breaks stays one line that a program can read back.
#[test]
fn each_format_keeps_an_event_on_one_line() {
    let pairs = [("job", "job-000001"), ("why", "a \"b\"\nc")];
    let shown = |format| {
        let args = format_args!("accepted\njob-000001");
        let record = Record::builder().args(args).level(log::Level::Info).key_values(&pairs).build();
        format_line(format, "n0", 7, &record)
    };
    let json = shown(LogFormat::Json);
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(
        (json.lines().count(), &value["job"], &value["why"]),
        (1, &"job-000001".into(), &"a \"b\"\nc".into())
    );
    let logfmt = shown(LogFormat::Logfmt);
    assert_eq!(
        logfmt,
        "ts_ms=7 level=info node=n0 msg=\"accepted\\njob-000001\" job=job-000001 why=\"a \\\"b\\\"\\nc\"\n"
    );
    assert_eq!(shown(LogFormat::Text), "INFO n0 accepted\njob-000001\n");
}
