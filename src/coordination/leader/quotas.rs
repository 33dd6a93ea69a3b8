//! The resources that each team uses, the part of them that is being stopped, and the team's quota.

use std::collections::HashMap;

use crate::ids::{Resources, TeamIx};
use crate::settings::TeamSettings;

/// Usage and quota of every team.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    /// Resources of all tasks that may be on machines, by team.
    pub(in crate::coordination) usage: HashMap<TeamIx, Resources>,
    /// The part of `usage` that is being stopped: recounted before gangs are placed and before arrays preempt, and
    /// increased by preemptions in between.
    pub(super) stopping_usage: HashMap<TeamIx, Resources>,
    /// The guarantees and limits that currently apply.
    pub(super) team_settings: HashMap<TeamIx, TeamSettings>,
}
