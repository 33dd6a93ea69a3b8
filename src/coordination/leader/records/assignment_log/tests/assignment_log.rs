//! Tests of `assignment_log`.

use super::*;
use crate::ids::Attempt;

const JOB: JobId = JobId(7);
const NOW: Millis = Millis(100_000);

fn key(number: u64) -> RecordKey {
    RecordKey::AssignmentLog(format!("1-{number}"))
}

fn start(task: u32) -> TaskPlacement {
    TaskPlacement {
        machine: MachineIx(0),
        task: TaskId { job: JOB, task },
        attempt: Attempt(u64::from(task)),
    }
}

fn block(block: u32) -> FinishedBlock {
    FinishedBlock { job: JOB, block }
}

/// Returns a log with one segment for each list of started tasks, and the ids of the segments.
fn log_of(segments: &[&[u32]]) -> (AssignmentLog, Vec<SegmentId>) {
    let mut log = AssignmentLog::default();
    let mut ids = Vec::new();
    for (number, tasks) in segments.iter().enumerate() {
        let id = log.add_segment(key(number as u64));
        tasks.iter().for_each(|task| log.add_start(id, start(*task), None));
        log.finish_segment(id);
        ids.push(id);
    }
    (log, ids)
}

fn obsolete(log: &AssignmentLog) -> Vec<SegmentId> {
    log.obsolete_segments(usize::MAX).into_iter().map(|(id, _)| id).collect()
}

/// A segment is obsolete only when each of its entries has been removed or is in a newer segment.
#[test]
fn a_segment_is_obsolete_without_live_entries() {
    let (mut log, ids) = log_of(&[&[1, 2], &[3], &[]]);
    assert_eq!(obsolete(&log), [ids[2]]);
    log.remove_start(Some(ids[0]), start(1));
    assert_eq!(obsolete(&log), [ids[2]]);
    log.add_start(ids[1], start(2), Some(ids[0]));
    assert_eq!(obsolete(&log), [ids[0], ids[2]]);
    log.remove_segment(ids[0]);
    assert_eq!((obsolete(&log), log.segment_count()), (vec![ids[2]], 2));
}

/// Finished tasks keep a segment live until a record of their block or the job's terminal record covers them.
#[test]
fn finished_tasks_keep_a_segment_live() {
    let (mut log, ids) = log_of(&[&[1]]);
    log.add_finished(ids[0], block(0));
    log.add_finished(ids[0], block(1));
    log.remove_start(Some(ids[0]), start(1));
    log.remove_finished_block(block(0));
    assert_eq!(obsolete(&log), []);
    log.queue_finished(TaskId { job: JOB, task: 9 }, NOW);
    log.remove_finished_job(JOB);
    assert_eq!(obsolete(&log), ids);
    assert!(log.pending_finished.is_empty());
}

/// Above the threshold the oldest segments are rewritten, each only once, if few of their entries are live.
#[test]
fn compaction_rewrites_sparse_segments_once() {
    let full: &[u32] = &[1, 2, 3, 4];
    let (mut log, ids) = log_of(&vec![full; COMPACTION_THRESHOLD + 2]);
    for task in [1, 2, 3] {
        log.remove_start(Some(ids[1]), start(task));
        log.remove_start(Some(ids[2]), start(task));
    }
    log.compact();
    assert_eq!(
        log.pending_starts,
        BTreeSet::from([start(4)]),
        "only the sparse segment of the surplus is rewritten"
    );
    assert!(log.segments[&ids[1]].rewriting && !log.segments[&ids[0]].rewriting);
    assert!(!log.segments[&ids[2]].rewriting, "this segment is not part of the surplus");
    log.pending_starts.clear();
    log.compact();
    assert!(log.pending_starts.is_empty());
}

/// When finished tasks alone keep too many segments live, the blocks of the oldest one get records of their own.
#[test]
fn compaction_writes_blocks_of_the_oldest_finished_segment() {
    let (mut log, ids) = log_of(&vec![[].as_slice(); MAX_FINISHED_ONLY_SEGMENTS + 1]);
    for (number, id) in ids.iter().enumerate().skip(1) {
        log.add_finished(*id, block(number as u32));
    }
    log.compact();
    assert_eq!(log.blocks_to_write(), []);
    log.add_finished(ids[0], block(0));
    log.compact();
    assert_eq!(log.blocks_to_write(), [block(0)]);
    log.remove_finished_block(block(0));
    assert_eq!(log.blocks_to_write(), []);
}

/// With enough spare writes a segment is written immediately, otherwise at intervals. Finished tasks alone wait for
/// their delay.
#[test]
fn segment_writes_follow_the_write_budget() {
    let spare = WriteBudget { spare_writes: 6, writes_per_second: 10.0 };
    let scarce = WriteBudget { spare_writes: 5, ..spare };
    let interval_ms = 250;
    let mut log = AssignmentLog { last_write_at: NOW, ..AssignmentLog::default() };
    assert!(!log.is_write_due(NOW, spare), "nothing to write");
    log.queue_finished(TaskId { job: JOB, task: 1 }, NOW);
    assert!(!log.is_write_due(NOW.saturating_add(FINISHED_DELAY_MS - 1), spare));
    assert!(log.is_write_due(NOW.saturating_add(FINISHED_DELAY_MS), spare));
    log.queue_start(start(2));
    assert!(log.is_write_due(NOW, spare));
    assert!(!log.is_write_due(NOW.saturating_add(interval_ms - 1), scarce));
    assert!(log.is_write_due(NOW.saturating_add(interval_ms), scarce));
}

/// The contents of a segment that was not written are queued again for the next segment.
#[test]
fn unwritten_contents_are_queued_again() {
    let mut log = AssignmentLog::default();
    let finished = TaskId { job: JOB, task: 1 };
    let contents = SegmentContents {
        starts: vec![start(2)],
        returns: vec![MachineIx(3)],
        finished: vec![finished],
        ..SegmentContents::default()
    };
    log.requeue_unwritten(contents, NOW);
    assert_eq!(log.pending_starts, BTreeSet::from([start(2)]));
    assert_eq!(log.pending_returns, BTreeSet::from([MachineIx(3)]));
    assert_eq!((log.pending_finished, log.pending_finished_since), (BTreeSet::from([finished]), Some(NOW)));
}
