//! State that placement keeps between passes.

use std::collections::BTreeSet;

use olivelatch_admission::headroom::Headroom;
use olivelatch_admission::service_window::ServiceWindow;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::best_effort;
use super::gang_search_cache::GangSearchCache;
use super::overload::{SERVICE_WINDOW_MS, TeamClass};
use super::policy::{PriorityInputsTable, Rank};
use super::preemption::PreemptorPriority;
use super::queues::Queue;
use crate::bookkeeping::records::max_tasks_per_machine;
use crate::ids::{MachineIx, Millis};
use crate::settings::Settings;

/// Queues, caches and counters of placement that belong to no single machine or job.
#[derive(Debug)]
pub struct PlacementState {
    /// The changing inputs of the order of service; the fixed ones are in the jobs' ranks.
    pub(in crate::coordination::leader) priority_inputs: PriorityInputsTable,
    /// Expected work, in CPU milliseconds, of the tasks started for each team class within the service window.
    pub(in crate::coordination::leader) recently_served: ServiceWindow<TeamClass>,
    /// CPUs that placed best-effort tasks use, in thousandths.
    pub(in crate::coordination::leader) best_effort_cpu: u64,
    /// Computes how much of the fleet best-effort tasks may use.
    pub(in crate::coordination::leader) headroom: Headroom,
    /// Priority of the jobs for which the last preemption pass stopped tasks; None if it stopped none.
    pub(in crate::coordination::leader) preemptor_priority: Option<PreemptorPriority>,
    /// Ready tasks for which no machine was eligible when they were queued.
    pub(in crate::coordination::leader) backlog: Queue,
    /// Machines that are held for a gang.
    pub(in crate::coordination::leader) held_machines: BTreeSet<MachineIx>,
    /// Machines that accept no queued tasks because gangs wait for machines of their type.
    pub(in crate::coordination::leader) reserved_machines: BTreeSet<MachineIx>,
    /// Ranks of the gangs and services with tasks to place.
    pub(in crate::coordination::leader) waiting_gangs: BTreeSet<Rank>,
    /// Negative cache: gang searches that recently found no placement.
    pub(in crate::coordination::leader) gang_search_cache: GangSearchCache,
    /// Earliest time of the next search for machines for the waiting gangs.
    pub(in crate::coordination::leader) gang_search_not_before: Millis,
    /// Maximum number of tasks that the record of one machine can hold.
    pub(in crate::coordination::leader) max_tasks_per_record: usize,
    /// Source of all randomness; seeded, so that a run with the same events is reproducible.
    pub(in crate::coordination::leader) rng: SmallRng,
}

impl PlacementState {
    /// Creates the state with nothing queued or held. `seed` determines all random choices of the leader's term.
    pub(in crate::coordination::leader) fn new(
        settings: &Settings,
        seed: u64,
        now: Millis,
    ) -> PlacementState {
        PlacementState {
            priority_inputs: PriorityInputsTable::default(),
            recently_served: ServiceWindow::new(SERVICE_WINDOW_MS, now.0),
            best_effort_cpu: 0,
            headroom: best_effort::new_headroom(),
            preemptor_priority: None,
            backlog: Queue::default(),
            held_machines: BTreeSet::new(),
            reserved_machines: BTreeSet::new(),
            waiting_gangs: BTreeSet::new(),
            gang_search_cache: GangSearchCache::default(),
            gang_search_not_before: Millis::default(),
            max_tasks_per_record: max_tasks_per_machine(settings.kv_limits.max_value_kb),
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}
