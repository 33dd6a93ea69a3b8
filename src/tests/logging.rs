//! Tests of `logging`.

use super::*;

/// With JSON and logfmt, a message with quotes and line breaks is written as one line that can be parsed again. Text is
/// written unescaped.
#[test]
fn json_and_logfmt_escape_an_event_to_one_line() {
    let pairs = [("job", "job-000001"), ("why", "a \"b\"\nc")];
    let format_event = |format| {
        let args = format_args!("accepted\njob-000001");
        let record = Record::builder().args(args).level(log::Level::Info).key_values(&pairs).build();
        format_line(format, "n0", 7, &record)
    };
    let json = format_event(LogFormat::Json);
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(
        (json.lines().count(), &value["job"], &value["why"]),
        (1, &"job-000001".into(), &"a \"b\"\nc".into())
    );
    let logfmt = format_event(LogFormat::Logfmt);
    assert_eq!(
        logfmt,
        "ts_ms=7 level=info node=n0 msg=\"accepted\\njob-000001\" job=job-000001 why=\"a \\\"b\\\"\\nc\"\n"
    );
    assert_eq!(format_event(LogFormat::Text), "INFO n0 accepted\njob-000001\n");
}
