//! What placement keeps from one pass to the next.

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

/// Queues and caches of placement that belong to no single machine or job.
#[derive(Debug)]
pub struct PlacementState {
    /// What the order of service takes into account beside the jobs' ranks.
    pub(in crate::coordination::leader) priority_inputs: PriorityInputsTable,
    /// CPU milliseconds started for each team class within the window, in thousandths of CPUs.
    pub(in crate::coordination::leader) recently_served: ServiceWindow<TeamClass>,
    /// CPUs that best-effort tasks use, in thousandths.
    pub(in crate::coordination::leader) best_effort_cpu: u64,
    /// Capacity kept free of best-effort tasks.
    pub(in crate::coordination::leader) headroom: Headroom,
    /// The jobs for which the last preemption pass stopped tasks.
    pub(in crate::coordination::leader) preemption_state: Option<PreemptorPriority>,
    /// Ready tasks that no present machine may take.
    pub(in crate::coordination::leader) backlog: Queue,
    /// Machines held for gangs.
    pub(in crate::coordination::leader) held_machines: BTreeSet<MachineIx>,
    /// Machines that take no queued tasks because gangs wait for their type.
    pub(in crate::coordination::leader) reserved_machines: BTreeSet<MachineIx>,
    /// Gangs and services with tasks to place.
    pub(in crate::coordination::leader) waiting_gangs: BTreeSet<Rank>,
    /// Negative cache of gang searches.
    pub(in crate::coordination::leader) gang_search_cache: GangSearchCache,
    /// When waiting gangs are next searched for.
    pub(in crate::coordination::leader) gang_search_not_before: Millis,
    /// Tasks that the record of one machine can hold.
    pub(in crate::coordination::leader) max_tasks_per_record: usize,
    /// Seeded, so that a run with the same events repeats exactly.
    pub(in crate::coordination::leader) rng: SmallRng,
}

impl PlacementState {
    /// Nothing is queued or held. `seed`: of all randomness of the term.
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
            preemption_state: None,
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
