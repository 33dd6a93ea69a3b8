//! What teams may use, are guaranteed and have borrowed.

use std::collections::HashMap;

use crate::coordination::leader::{Leader, Work};
use crate::ids::{Amount, TeamIx};
use crate::settings::Team;

impl Leader {
    /// Which jobs fit into their teams' guarantees together with what is left of the teams'
    /// earlier ones: they need not wait for other teams, or for their own team's later jobs.
    pub fn mark_guaranteed(&mut self) {
        let mut jobs: Vec<&mut Work> = self.work.values_mut().collect();
        jobs.sort_by_key(|work| work.info.seq);
        let mut taken: HashMap<TeamIx, Amount> = HashMap::new();
        let mut some = false;
        for work in jobs {
            let Some(team) = self.teams.get(&work.info.team) else { continue };
            let all = taken.entry(work.info.team).or_default();
            all.add(&work.info.need.times(u64::from(work.left())));
            work.guaranteed = all.cpu <= team.guaranteed.cpu && all.gpu <= team.guaranteed.gpu;
            some |= work.guaranteed;
        }
        self.some_guaranteed = some;
    }

    fn used_by(&self, team: TeamIx) -> Amount {
        self.usage.get(&team).copied().unwrap_or_default()
    }

    /// Has the team room for that much more?
    pub fn within_quota(&self, team: TeamIx, need: &Amount) -> bool {
        let Some(settings) = self.teams.get(&team) else {
            return false;
        };
        let mut used = self.used_by(team);
        used.add(need);
        used.fits(&settings.limit())
    }

    /// Would the team still be within what it is guaranteed?
    pub fn within_guarantee(&self, team: TeamIx, need: &Amount) -> bool {
        let Some(settings) = self.teams.get(&team) else { return false };
        let used = self.used_by(team);
        used.cpu + need.cpu <= settings.guaranteed.cpu && used.gpu + need.gpu <= settings.guaranteed.gpu
    }

    /// Teams that use more than they are guaranteed: what is above is borrowed.
    pub fn borrowers(&self) -> Vec<TeamIx> {
        let above = |(team, settings): &(&TeamIx, &Team)| {
            let used = self.used_by(**team);
            used.cpu > settings.guaranteed.cpu || used.gpu > settings.guaranteed.gpu
        };
        self.teams.iter().filter(above).map(|(team, _)| *team).collect()
    }
}
