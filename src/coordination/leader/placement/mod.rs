//! Which task goes where: queues, the ordinary path, gangs, teams.

pub mod dispatch;
pub mod gangs;
pub mod policy;
pub mod queues;
pub mod search;
pub mod teams;
