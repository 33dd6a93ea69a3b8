//! Which task goes where: queues, the ordinary path, gangs, teams.

pub mod claims;
pub mod dispatch;
pub mod gangs;
pub mod idle_time;
pub mod overload;
pub mod policy;
pub mod queues;
pub mod scarce;
pub mod search;
pub mod teams;
