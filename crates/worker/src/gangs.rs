//! Gangs, whose tasks start together, complete together and stop together.
//!
//! A gang is one attempt of a job whose tasks run on several machines. One call coordinates all workers of a local or
//! simulated cluster. This module does no I/O and reads no clock.

use std::collections::BTreeMap;

use crate::attempt::{AttemptPhase, cause};
use crate::description::JobDescriptions;
use crate::worker::Worker;

/// Time limits of gangs, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct GangTimes {
    /// How long members wait until all of them are ready to start.
    pub gather_timeout_ms: u64,
    /// How long a member may be missing before the others are stopped.
    pub peer_loss_timeout_ms: u64,
}

/// Identifies a gang: the name of its job and the number of the attempt.
type GangKey = (String, u64);

/// Position of a gang member: the index of its worker and of its attempt on that worker.
#[derive(Clone, Copy)]
struct MemberPosition {
    worker: usize,
    attempt: usize,
}

/// The active members of a gang, grouped by phase.
#[derive(Default)]
struct GangMembers {
    gathering: Vec<MemberPosition>,
    running: Vec<MemberPosition>,
    complete: Vec<MemberPosition>,
    fetching_count: usize,
    /// When the earliest of the gathering members began to wait.
    gathering_since: u64,
}

impl GangMembers {
    fn add(&mut self, position: MemberPosition, phase: &AttemptPhase) {
        match phase {
            AttemptPhase::FetchingImage { .. } => self.fetching_count += 1,
            AttemptPhase::WaitingForGang { since } => {
                self.gathering_since =
                    if self.gathering.is_empty() { *since } else { self.gathering_since.min(*since) };
                self.gathering.push(position);
            }
            AttemptPhase::Running { .. } | AttemptPhase::Checkpointing { .. } => self.running.push(position),
            AttemptPhase::WaitingForGangExit => self.complete.push(position),
            AttemptPhase::Stopping { .. } | AttemptPhase::Ended { .. } => {}
        }
    }

    fn active_count(&self) -> usize {
        self.gathering.len() + self.running.len() + self.complete.len() + self.fetching_count
    }

    fn has_started(&self) -> bool {
        !self.running.is_empty() || !self.complete.is_empty()
    }
}

fn find_gangs(workers: &[Worker], jobs: &JobDescriptions) -> BTreeMap<GangKey, GangMembers> {
    let mut gangs: BTreeMap<GangKey, GangMembers> = BTreeMap::new();
    for (worker_index, worker) in workers.iter().enumerate() {
        for (attempt_index, attempt) in worker.attempts.iter().enumerate() {
            let job = attempt.job_name();
            if jobs.get(job).is_some_and(|job| job.gang) {
                let position = MemberPosition { worker: worker_index, attempt: attempt_index };
                let gang = gangs.entry((job.to_string(), attempt.attempt)).or_default();
                gang.add(position, &attempt.phase);
            }
        }
    }
    gangs
}

/// Starts, completes and stops the gangs on all machines of a cluster. `incomplete_since` is state that the caller
/// keeps between calls: the time since which a member of a started gang has been missing.
pub fn coordinate_gangs(
    workers: &mut [Worker],
    now: u64,
    times: GangTimes,
    jobs: &JobDescriptions,
    incomplete_since: &mut BTreeMap<GangKey, u64>,
) {
    let gangs = find_gangs(workers, jobs);
    incomplete_since.retain(|key, _| gangs.contains_key(key));
    for (key, gang) in gangs {
        let Some(tasks) = jobs.get(&key.0).map(|job| job.tasks as usize) else { continue };
        if gang.gathering.len() == tasks {
            for member in &gang.gathering {
                workers[member.worker].start_running(member.attempt, now, jobs);
            }
        } else if gang.complete.len() == tasks {
            for member in &gang.complete {
                workers[member.worker].complete_gang_member(member.attempt);
            }
        } else if !gang.gathering.is_empty() && now >= gang.gathering_since + times.gather_timeout_ms {
            stop_members(workers, &gang.gathering, cause::GANG_INCOMPLETE);
        }
        // A missing member stops only a gang that has started; one that still gathers waits for a replacement.
        if gang.has_started() && gang.active_count() < tasks {
            let since = *incomplete_since.entry(key).or_insert(now);
            if now >= since + times.peer_loss_timeout_ms {
                stop_members(workers, &gang.running, cause::PEER_LOST);
                stop_members(workers, &gang.complete, cause::PEER_LOST);
            }
        } else {
            incomplete_since.remove(&key);
        }
    }
}

fn stop_members(workers: &mut [Worker], members: &[MemberPosition], cause: &'static str) {
    for member in members {
        workers[member.worker].stop_gang_member(member.attempt, cause);
    }
}
