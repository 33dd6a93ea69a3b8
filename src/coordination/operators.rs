//! Operators' questions on their way: those that wait for a read barrier here, and those asked of the leader.
//! Bounded in number, in time and in what they may cost a second.

use std::collections::BTreeMap;

use super::budget::Budget;
use super::{CallId, Clock, Output};
use crate::ids::Millis;
use crate::protocol::Answer;
use crate::protocol::mesh::MeshMessage;
use crate::protocol::operators::OperatorRequest;
use crate::tunables::OperatorTunables;

/// Clients wait longer; the answer must be on its way before.
const PATIENCE_MS: u64 = 2_500;
/// After that a follower answers for itself, or says that the leader did not.
const RELAY_MS: u64 = 1_500;
/// Questions held at once, here and at the leader.
const MOST_WAITING: usize = 200;
pub const COME_BACK_S: u32 = 1;

/// Who gets the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asker {
    Call(CallId),
    /// Another controller, whose client asked.
    Node {
        node: String,
        ask: u64,
    },
}

#[derive(Debug)]
pub struct Question {
    pub asker: Asker,
    pub request: OperatorRequest,
    arrived: Millis,
    until: Millis,
}

#[derive(Debug)]
struct Relayed {
    call: CallId,
    request: OperatorRequest,
    until: Millis,
}

#[derive(Debug)]
pub struct Operators {
    pub enabled: bool,
    waiting: Vec<Question>,
    relayed: BTreeMap<u64, Relayed>,
    next: u64,
    /// Answers that cost a look at every machine or job.
    budget: Budget,
}

impl Operators {
    /// Questions are numbered from `first` on, which differs from process to process: the answer to one that a former
    /// process of this name asked is nobody's.
    pub fn new(tunables: &OperatorTunables, first: u64, now: Millis) -> Operators {
        Operators {
            enabled: tunables.enabled,
            waiting: Vec::new(),
            relayed: BTreeMap::new(),
            next: first,
            budget: Budget::new(tunables.explains_per_s, now),
        }
    }

    pub fn wants_barrier(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Waits for a barrier; false if there are too many.
    pub fn wait(&mut self, now: Millis, asker: Asker, request: OperatorRequest) -> bool {
        let room = self.waiting.len() < MOST_WAITING;
        if room {
            self.waiting.push(Question { asker, request, arrived: now, until: now.plus(PATIENCE_MS) });
        }
        room
    }

    /// Asks the leader; false if there are too many.
    pub fn relay(
        &mut self,
        now: Millis,
        leader: &str,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(question) = request.question().filter(|_| self.relayed.len() < MOST_WAITING) else {
            return false;
        };
        self.next = self.next.wrapping_add(1);
        self.relayed.insert(self.next, Relayed { call, request, until: now.plus(RELAY_MS) });
        out.push(Output::Mesh {
            node: leader.into(),
            message: MeshMessage::Ask { ask: self.next, question },
        });
        true
    }

    /// The leader's answer has come: whose it is.
    pub fn told(&mut self, ask: u64) -> Option<(CallId, OperatorRequest)> {
        self.relayed.remove(&ask).map(|relayed| (relayed.call, relayed.request))
    }

    /// Questions that a read sent at `sent` answers, equal ones together.
    pub fn ripe(&mut self, sent: Millis) -> Vec<(OperatorRequest, Vec<Asker>)> {
        let (ripe, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|question| question.arrived <= sent);
        self.waiting = rest;
        let mut groups: Vec<(OperatorRequest, Vec<Asker>)> = Vec::new();
        for question in ripe {
            match groups.iter_mut().find(|(request, _)| *request == question.request) {
                Some((_, askers)) => askers.push(question.asker),
                None => groups.push((question.request, vec![question.asker])),
            }
        }
        groups
    }

    /// May one more answer be worked out now?
    pub fn affords(&mut self, now: Millis) -> bool {
        self.budget.take(now, 1)
    }

    /// What the leader did not answer in time, and those that no barrier came for.
    pub fn overdue(&mut self, clock: Clock) -> (Vec<(CallId, OperatorRequest)>, Vec<Asker>) {
        let silent: Vec<u64> =
            self.relayed.iter().filter(|(_, r)| r.until <= clock.now).map(|(ask, _)| *ask).collect();
        let silent = silent.into_iter().filter_map(|ask| self.told(ask)).collect();
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|question| question.until <= clock.now);
        self.waiting = rest;
        (silent, over.into_iter().map(|question| question.asker).collect())
    }
}

/// The answer goes to a client, or back over the mesh.
pub fn deliver(asker: &Asker, answer: &Answer, out: &mut Vec<Output>) {
    out.push(match asker {
        Asker::Call(call) => Output::Answer { call: *call, answer: answer.clone() },
        Asker::Node { node, ask } => {
            let message = MeshMessage::Told {
                ask: *ask,
                status: answer.status,
                retry_after_s: answer.retry_after_s,
                body: answer.body.clone(),
            };
            Output::Mesh { node: node.clone(), message }
        }
    });
}

#[cfg(test)]
#[path = "tests/operators.rs"]
mod tests;
