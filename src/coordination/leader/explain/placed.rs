//! Counts the tasks of a job that are on machines, by their state.

use std::collections::HashSet;

use super::Explanation;
use crate::coordination::Clock;
use crate::coordination::leader::Binding;
use crate::ids::{MachineIx, from_milli};
use crate::protocol::operators::StateReason;
use crate::protocol::workers::TaskPhase;

/// Numbers of tasks on machines, by state.
#[derive(Default)]
pub(super) struct PlacedCounts {
    running: u32,
    starting: u32,
    waiting_for_peers: u32,
    fetching: u32,
    longest_fetch_ms: u64,
}

impl PlacedCounts {
    pub(super) fn of(explanation: &Explanation<'_>) -> PlacedCounts {
        let placements = explanation.job.placements.values().flatten();
        let machines: HashSet<MachineIx> = placements.map(|(ix, _)| *ix).collect();
        let bindings =
            machines.iter().flat_map(|ix| &explanation.leader.cluster.machines[ix.index()].bindings);
        let mut counts = PlacedCounts::default();
        for binding in bindings {
            if binding.job == Some(explanation.job_ix) && explanation.covers(binding.task.task) {
                counts.add(binding, explanation.clock);
            }
        }
        counts
    }

    fn add(&mut self, binding: &Binding, clock: Clock) {
        match binding.reported_state {
            Some(TaskPhase::Running | TaskPhase::Checkpointing) => self.running += 1,
            Some(TaskPhase::WaitingForPeers) => self.waiting_for_peers += 1,
            Some(TaskPhase::Fetching) => {
                self.fetching += 1;
                let fetching_ms = binding.fetching_since.map_or(0, |since| clock.now.saturating_since(since));
                self.longest_fetch_ms = self.longest_fetch_ms.max(fetching_ms);
            }
            _ => self.starting += 1,
        }
    }

    /// Returns one reason for each state that at least one task is in.
    pub(super) fn reasons(&self, explanation: &Explanation<'_>) -> Vec<StateReason> {
        let spec = &explanation.job.spec;
        let image_fetch = StateReason::ImageFetch {
            tasks: self.fetching,
            image: explanation.names.images.name_or_unknown(spec.image.index()).into(),
            image_gb: from_milli(spec.image_mb),
            longest_fetch_s: from_milli(self.longest_fetch_ms),
        };
        let all = [
            (self.running, StateReason::Running { tasks: self.running }),
            (self.waiting_for_peers, StateReason::WaitingForPeers { tasks: self.waiting_for_peers }),
            (self.fetching, image_fetch),
            (self.starting, StateReason::Starting { tasks: self.starting }),
        ];
        all.into_iter().filter(|(tasks, _)| *tasks > 0).map(|(_, reason)| reason).collect()
    }
}
