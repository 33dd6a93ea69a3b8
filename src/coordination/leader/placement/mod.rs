//! Which task goes where: queues, the ordinary path, gangs, teams.

pub mod best_effort;
pub mod dispatch;
pub mod gang_search;
pub mod gangs;
pub mod overload;
pub mod policy;
pub mod preemption;
pub mod queues;
pub mod reserved_machines;
pub mod state;
pub mod team_quota;
