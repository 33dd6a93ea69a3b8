//! Tasks of a gang start together, complete together and go together.

use std::collections::BTreeMap;

use crate::core::{AttemptPhase, Worker};
use crate::description::JobDescriptions;

/// How long a gang may gather, and how soon its tasks notice that one is gone.
#[derive(Debug, Clone, Copy)]
pub struct GangTimes {
    pub gather_timeout_ms: u64,
    pub peer_loss_timeout_ms: u64,
}

/// The members of one attempt: worker and place in its list.
#[derive(Default)]
struct GangMembers {
    gathering: Vec<(usize, usize)>,
    running: Vec<(usize, usize)>,
    complete: Vec<(usize, usize)>,
    ended_count: usize,
    fetching_count: usize,
    gathering_since: u64,
}

impl GangMembers {
    fn present_count(&self) -> usize {
        self.gathering.len() + self.running.len() + self.complete.len() + self.fetching_count
    }
}

fn gang_members(workers: &[Worker], jobs: &JobDescriptions) -> BTreeMap<(String, u64), GangMembers> {
    let mut gangs: BTreeMap<(String, u64), GangMembers> = BTreeMap::new();
    for (at, worker) in workers.iter().enumerate() {
        for (place, piece) in worker.attempts.iter().enumerate() {
            if !jobs.get(piece.job_name()).is_some_and(|job| job.gang) {
                continue;
            }
            let gang = gangs.entry((piece.job_name().to_string(), piece.attempt)).or_default();
            match piece.phase {
                AttemptPhase::FetchingImage { .. } => gang.fetching_count += 1,
                AttemptPhase::WaitingForGang { since } => {
                    gang.gathering_since =
                        if gang.gathering.is_empty() { since } else { gang.gathering_since.min(since) };
                    gang.gathering.push((at, place));
                }
                AttemptPhase::Running { .. } | AttemptPhase::Checkpointing { .. } => {
                    gang.running.push((at, place))
                }
                AttemptPhase::WaitingForGangExit => gang.complete.push((at, place)),
                AttemptPhase::Stopping { .. } | AttemptPhase::Ended { .. } => gang.ended_count += 1,
            }
        }
    }
    gangs
}

/// Looks at all machines of a region together. `since_ms` tells since when an attempt has been without a member.
pub fn coordinate_gangs(
    workers: &mut [Worker],
    now: u64,
    times: GangTimes,
    jobs: &JobDescriptions,
    incomplete_since: &mut BTreeMap<(String, u64), u64>,
) {
    let gangs = gang_members(workers, jobs);
    incomplete_since.retain(|key, _| gangs.contains_key(key));
    for (key, gang) in gangs {
        let Some(tasks) = jobs.get(&key.0).map(|job| job.tasks as usize) else { continue };
        if gang.gathering.len() == tasks {
            gang.gathering.iter().for_each(|(at, place)| workers[*at].start_running(*place, now, jobs));
        } else if gang.complete.len() == tasks {
            gang.complete.iter().for_each(|(at, place)| workers[*at].complete_attempt(*place));
        } else if !gang.gathering.is_empty() && now >= gang.gathering_since + times.gather_timeout_ms {
            gang.gathering.iter().for_each(|(at, place)| workers[*at].stop_peer(*place, "incomplete"));
        }
        // Only a gang that ran misses its members; one that gathers waits for a replacement.
        let ran = !gang.running.is_empty() || !gang.complete.is_empty();
        if ran && gang.present_count() < tasks {
            let since = *incomplete_since.entry(key).or_insert(now);
            if now >= since + times.peer_loss_timeout_ms {
                let rest = gang.running.iter().chain(&gang.complete);
                rest.for_each(|(at, place)| workers[*at].stop_peer(*place, "peers"));
            }
        } else {
            incomplete_since.remove(&key);
        }
    }
}
