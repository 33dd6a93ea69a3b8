//! Counters of the leader's actions during its term, for status lines and metrics.

/// Counters since the term began.
#[derive(Debug, Default)]
pub struct Counters {
    /// Tasks that joined a shared queue.
    pub queued_shared: u64,
    /// Tasks that joined a dedicated queue.
    pub queued_dedicated: u64,
    /// Successful steals.
    pub steals: u64,
    /// Tasks that moved to or started on another machine than the one whose shared queue held them.
    pub stolen_tasks: u64,
    /// Tasks that moved from a dedicated queue to the machine's shared queue.
    pub spilled_tasks: u64,
    /// Tasks stopped for other jobs.
    pub preempted_tasks: u64,
    /// Machines whose worker's lease expired.
    pub machines_lost: u64,
    /// Tasks bound to machines.
    pub tasks_bound: u64,
    /// Machines examined as candidates for tasks, or to steal from.
    pub machines_examined: u64,
    /// Machines examined again because a job's zone rule allows their zone again.
    pub zone_rule_wakes: u64,
    /// Searches of all suitable machines for a placement of a gang.
    pub gang_searches: u64,
    /// Tasks that workers reported and that had no binding there.
    pub orphan_tasks: u64,
    /// Tasks that were stopped because a newer attempt was placed on another machine.
    pub superseded_attempts: u64,
    /// Heartbeats that were recognised as copies of earlier ones.
    pub duplicate_heartbeats: u64,
    /// How often the fencing token of a machine's messages was raised, so that copies of direct starts are rejected.
    pub tokens_raised: u64,
    /// Responses without commands to forget, because the token could not be raised yet.
    pub forgets_deferred: u64,
    /// The highest number of tasks in one heartbeat, those that have exited included.
    pub max_tasks_per_heartbeat: u64,
    /// Mutations sent to the key-value store.
    pub kv_mutations: u64,
    /// Direct commands that announced the leader.
    pub leadership_announcements: u64,
    /// The highest number of such commands in one step.
    pub max_announcements_per_step: u64,
}
