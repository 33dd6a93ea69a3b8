//! Configuration on one controller: changes go to the desk, what holds goes to the leader.

use super::Node;
use crate::bookkeeping::mirror::Mirror;
use crate::coordination::config::Ground;
use crate::coordination::leader::Leader;
use crate::coordination::ledger::Answered;
use crate::coordination::{CallId, Clock, Output};
use crate::ids::Revision;
use crate::protocol::config::ConfigRequest;
use crate::protocol::mesh::MeshMessage;

impl Node {
    /// Is the configuration's interface turned on?
    pub fn serves_config(&self) -> bool {
        self.tunables.config.enabled
    }

    pub(super) fn config(
        &mut self,
        clock: Clock,
        call: CallId,
        request: ConfigRequest,
        out: &mut Vec<Output>,
    ) {
        if let Some(answer) = self.config_desk.take(clock, call, request, &self.ledger) {
            out.push(Output::Answer { call, answer });
        }
    }

    pub(super) fn step_config(&mut self, clock: Clock, out: &mut Vec<Output>) {
        if !self.serves_config() {
            return;
        }
        self.config_desk.expire(clock, out);
        let (leader, mirror) = (self.leader.as_ref(), &self.mirror);
        let used = |team: &str| used_cpu(leader, mirror, team);
        let ground = Ground {
            mirror: &self.mirror,
            settings: &self.settings,
            watermarks: &self.watermarks,
            used: &used,
            clock,
        };
        self.config_desk.step(&ground, &mut self.ledger, out);
    }

    /// What came of a change that this node wrote.
    pub(super) fn config_written(&mut self, clock: Clock, answered: Answered, out: &mut Vec<Output>) {
        let Some(revision) = self.config_desk.written(clock, answered, &mut self.mirror, out) else { return };
        self.learn_config(clock, revision);
        if self.leader.is_none()
            && let Some(leader) = &self.mirror.leader
        {
            let message = MeshMessage::Notify { revision: revision.0 };
            out.push(Output::Mesh { node: leader.node.clone(), message });
        }
    }

    /// An entry has changed at this revision: from now on the leader acts by it, and says so once it has read so far.
    pub(super) fn learn_config(&mut self, clock: Clock, revision: Revision) {
        if !self.serves_config() {
            return;
        }
        self.config_desk.learned(revision, clock.now);
        if let Some(leader) = &mut self.leader {
            leader.learn_config(&mut self.mirror);
            self.watermarks.to_announce(revision);
        }
    }
}

/// CPUs of a team's tasks in thousandths: where the leader knows them to be, or where the records say they may be.
fn used_cpu(leader: Option<&Leader>, mirror: &Mirror, team: &str) -> u64 {
    let Some(team) = mirror.names.teams.find(team) else { return 0 };
    match leader {
        Some(leader) => leader.usage.get(&team).map_or(0, |used| used.cpu),
        None => mirror
            .live()
            .filter(|(_, job)| job.info.team == team)
            .map(|(_, job)| job.info.need.cpu * u64::from(mirror.recorded_running(job.info.id)))
            .sum(),
    }
}
