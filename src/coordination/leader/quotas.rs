//! What each team uses, and what of it is being stopped.

use std::collections::HashMap;

use crate::ids::{Resources, TeamIx};
use crate::settings::TeamSettings;

/// Usage and quota of every team.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    /// Resources of all tasks that may be on machines.
    pub(in crate::coordination) usage: HashMap<TeamIx, Resources>,
    /// The part of `usage` that had been ordered to stop when gangs were last placed.
    pub(super) stopping_usage: HashMap<TeamIx, Resources>,
    /// Guarantees and limits in force.
    pub(super) team_settings: HashMap<TeamIx, TeamSettings>,
}
