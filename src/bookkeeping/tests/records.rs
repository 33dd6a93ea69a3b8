//! Tests of `records`.

use super::*;

#[test]
fn a_log_record_stays_within_its_bytes_and_comes_back() {
    let mut record = AssignmentLogRecord::new(Attempt(7 << 24));
    let mut wanted = Vec::new();
    for at in 0..40u64 {
        let name = format!("host-{at:06}");
        let endpoint = format!("10.1.0.{at}:9000");
        let place = MachineDescriptor {
            name,
            endpoint,
            machine_type: "small".into(),
            zone: "a".into(),
            spot: at % 2 == 0,
        };
        record.add_machine(&place);
        let tasks: Vec<_> = (0..3)
            .map(|task| {
                (TaskId { job: JobId(at), task: u32::MAX - task }, Attempt((6 << 24) + u64::from(task)))
            })
            .collect();
        tasks.iter().for_each(|(task, attempt)| record.add_task(*task, *attempt));
        if at == 3 {
            record.mark_returning();
        }
        record.add_finished(TaskId { job: JobId(at % 2), task: (at / 2) as u32 });
        wanted.push(RecordedMachine { machine: place, returning: at == 3, tasks });
    }
    let text = serde_json::to_string(&record).expect("JSON");
    assert!(text.len() <= record.max_json_bytes(), "{} > {}", text.len(), record.max_json_bytes());
    let back: AssignmentLogRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(back.recorded_machines().collect::<Vec<_>>(), wanted);
    assert_eq!(back.finished_ranges().collect::<Vec<_>>(), [(JobId(0), 0, 20), (JobId(1), 0, 20)]);
}
