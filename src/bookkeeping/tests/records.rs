//! Tests of `records`.

use super::*;

#[test]
fn a_log_record_stays_within_its_bytes_and_comes_back() {
    let mut record = LogRecord::new(Attempt(7 << 24));
    let mut wanted = Vec::new();
    for at in 0..40u64 {
        let name = format!("host-{at:06}");
        let endpoint = format!("10.1.0.{at}:9000");
        let place = Place { name, endpoint, kind: "small".into(), zone: "a".into(), spot: at % 2 == 0 };
        record.machine(&place);
        let tasks: Vec<_> = (0..3)
            .map(|task| {
                (TaskRef { job: JobId(at), task: u32::MAX - task }, Attempt((6 << 24) + u64::from(task)))
            })
            .collect();
        tasks.iter().for_each(|(task, attempt)| record.start(*task, *attempt));
        if at == 3 {
            record.returning();
        }
        record.done(TaskRef { job: JobId(at % 2), task: (at / 2) as u32 });
        wanted.push(Recorded { place, returning: at == 3, tasks });
    }
    let text = serde_json::to_string(&record).expect("JSON");
    assert!(text.len() <= record.bytes(), "{} > {}", text.len(), record.bytes());
    let back: LogRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(back.machines().collect::<Vec<_>>(), wanted);
    assert_eq!(back.done_rows().collect::<Vec<_>>(), [(JobId(0), 0, 20), (JobId(1), 0, 20)]);
}
