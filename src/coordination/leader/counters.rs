//! Counts of what the leader did in its term, for status lines and metrics.

/// Counts since the term began.
#[derive(Debug, Default)]
pub struct Counters {
    pub queued_shared: u64,
    pub queued_dedicated: u64,
    pub steals: u64,
    pub stolen_tasks: u64,
    pub spilled_tasks: u64,
    pub preempted_tasks: u64,
    pub machines_lost: u64,
    /// Tasks bound to machines, and machines examined to fill them or to steal from.
    pub tasks_bound: u64,
    pub machines_examined: u64,
    /// Searches for a place for a gang, over all machines that fit it.
    pub gang_searches: u64,
    /// Mutations sent to the key-value store.
    pub kv_mutations: u64,
    /// Direct commands that announced the leader, and the most in one step.
    pub leadership_announcements: u64,
    pub max_announcements_per_step: u64,
}
