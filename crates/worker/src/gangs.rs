//! Tasks of a gang start together, complete together and go together.

use std::collections::BTreeMap;

use crate::core::{Phase, Worker};
use crate::describe::Descriptions;

/// How long a gang may gather, and how soon its tasks notice that one is gone.
#[derive(Debug, Clone, Copy)]
pub struct GangTimes {
    pub wait_ms: u64,
    pub peer_ms: u64,
}

/// The members of one attempt: worker and place in its list.
#[derive(Default)]
struct Members {
    gathering: Vec<(usize, usize)>,
    working: Vec<(usize, usize)>,
    complete: Vec<(usize, usize)>,
    ended: usize,
    fetching: usize,
    oldest: u64,
}

impl Members {
    fn count(&self) -> usize {
        self.gathering.len() + self.working.len() + self.complete.len() + self.fetching
    }
}

fn members(workers: &[Worker], jobs: &Descriptions) -> BTreeMap<(String, u64), Members> {
    let mut gangs: BTreeMap<(String, u64), Members> = BTreeMap::new();
    for (at, worker) in workers.iter().enumerate() {
        for (place, piece) in worker.attempts.iter().enumerate() {
            if !jobs.get(piece.job()).is_some_and(|job| job.gang) {
                continue;
            }
            let gang = gangs.entry((piece.job().to_string(), piece.attempt)).or_default();
            match piece.phase {
                Phase::Fetching { .. } => gang.fetching += 1,
                Phase::Gathering { since } => {
                    gang.oldest = if gang.gathering.is_empty() { since } else { gang.oldest.min(since) };
                    gang.gathering.push((at, place));
                }
                Phase::Running { .. } | Phase::Saving { .. } => gang.working.push((at, place)),
                Phase::Complete => gang.complete.push((at, place)),
                Phase::Stopping { .. } | Phase::Ended { .. } => gang.ended += 1,
            }
        }
    }
    gangs
}

/// Looks at all machines of a region together. `since_ms` tells since when an attempt has been without a member.
pub fn coordinate(
    workers: &mut [Worker],
    now: u64,
    times: GangTimes,
    jobs: &Descriptions,
    broken: &mut BTreeMap<(String, u64), u64>,
) {
    let gangs = members(workers, jobs);
    broken.retain(|key, _| gangs.contains_key(key));
    for (key, gang) in gangs {
        let Some(tasks) = jobs.get(&key.0).map(|job| job.tasks as usize) else { continue };
        if gang.gathering.len() == tasks {
            gang.gathering.iter().for_each(|(at, place)| workers[*at].begin(*place, now, jobs));
        } else if gang.complete.len() == tasks {
            gang.complete.iter().for_each(|(at, place)| workers[*at].complete(*place));
        } else if !gang.gathering.is_empty() && now >= gang.oldest + times.wait_ms {
            gang.gathering.iter().for_each(|(at, place)| workers[*at].drop_peer(*place, "incomplete"));
        }
        // Only a gang that ran misses its members; one that gathers waits for a replacement.
        let ran = !gang.working.is_empty() || !gang.complete.is_empty();
        if ran && gang.count() < tasks {
            let since = *broken.entry(key).or_insert(now);
            if now >= since + times.peer_ms {
                let rest = gang.working.iter().chain(&gang.complete);
                rest.for_each(|(at, place)| workers[*at].drop_peer(*place, "peers"));
            }
        } else {
            broken.remove(&key);
        }
    }
}
