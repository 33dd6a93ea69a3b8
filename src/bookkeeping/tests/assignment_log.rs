//! Tests of `records::assignment_log`.

use super::*;

#[test]
fn a_segment_stays_within_its_byte_bound_and_round_trips() {
    let mut record = AssignmentLogRecord::new(Attempt(7 << 24));
    let mut expected = Vec::new();
    for index in 0..40u64 {
        let name = format!("host-{index:06}");
        let endpoint = format!("10.1.0.{index}:9000");
        let machine = MachineDescriptor {
            name,
            endpoint,
            machine_type: "small".into(),
            zone: "a".into(),
            spot: index % 2 == 0,
        };
        record.add_machine(&machine);
        let tasks: Vec<_> = (0..3)
            .map(|task| {
                (TaskId { job: JobId(index), task: u32::MAX - task }, Attempt((6 << 24) + u64::from(task)))
            })
            .collect();
        tasks.iter().for_each(|(task, attempt)| record.add_task(*task, *attempt));
        if index == 3 {
            record.mark_returning();
        }
        record.add_finished(TaskId { job: JobId(index % 2), task: (index / 2) as u32 });
        expected.push(RecordedMachine { machine, returning: index == 3, tasks });
    }
    let text = serde_json::to_string(&record).expect("JSON");
    assert!(text.len() <= record.max_json_bytes(), "{} > {}", text.len(), record.max_json_bytes());
    let parsed: AssignmentLogRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(parsed.recorded_machines().collect::<Vec<_>>(), expected);
    assert_eq!(parsed.finished_ranges().collect::<Vec<_>>(), [(JobId(0), 0, 20), (JobId(1), 0, 20)]);
}
