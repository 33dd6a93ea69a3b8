//! Tests of a machine's queue.

use super::*;
use crate::coordination::leader::placement::job_specs::array_job;

/// Returns the rank of a test job. Jobs with lower indices rank first.
fn rank(index: u32) -> Rank {
    Rank::new(JobIx(index), &array_job(index, "normal", 0), 600_000, 0)
}

/// Returns a queue with tasks 0, 1 and 2 of each job.
fn queue_of(jobs: &[u32]) -> Queue {
    let mut queue = Queue::default();
    for job in jobs {
        (0..3).for_each(|task| queue.push(rank(*job), task));
    }
    queue
}

fn jobs_and_tasks(taken: &[(Rank, u32)]) -> Vec<(u32, u32)> {
    taken.iter().map(|(rank, task)| (rank.job.0, *task)).collect()
}

#[test]
fn serves_jobs_by_rank_and_their_tasks_in_order() {
    let mut queue = queue_of(&[2, 1]);
    assert_eq!(queue.first(), Some(rank(1)));
    assert_eq!([(); 4].map(|()| queue.pop(rank(1))), [Some(0), Some(1), Some(2), None]);
    assert_eq!((queue.len(), queue.first()), (3, Some(rank(2))), "a job without queued tasks is removed");
}

#[test]
fn takes_the_last_tasks_of_the_last_jobs() {
    let mut queue = queue_of(&[1, 2, 3]);
    let taken = queue.take_from_back(4, |job| job != JobIx(3));
    assert_eq!(jobs_and_tasks(&taken), [(2, 2), (2, 1), (2, 0), (1, 2)]);
    assert_eq!(queue.len(), 5);
    assert_eq!(queue.count_where(|job| job == JobIx(1)), 2);
    assert_eq!(queue.ranks().copied().collect::<Vec<_>>(), [rank(1), rank(3)]);
}

#[test]
fn length_follows_removals() {
    let mut queue = queue_of(&[1, 2, 3]);
    queue.remove_job(JobIx(2));
    queue.remove_job(JobIx(7));
    assert_eq!(queue.len(), 6);
    assert_eq!(jobs_and_tasks(&queue.drain()), [(3, 2), (3, 1), (3, 0), (1, 2), (1, 1), (1, 0)]);
    assert!(queue.is_empty() && queue.first().is_none());
}
