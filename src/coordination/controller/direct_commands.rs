//! Commands that the leader sends directly to a worker instead of in the response to the worker's next
//! heartbeat.

use std::collections::HashMap;

use crate::coordination::leader::Leader;
use crate::coordination::leader::machines::commands::DirectMessage;
use crate::coordination::{Action, OutboundId};
use crate::protocol::workers::commands_request;

const TIMEOUT_MS: u64 = 2_500;
/// Base of the ids of direct commands: it keeps them distinct from the ids of the leader's other requests.
const ID_BASE: u64 = 1 << 63;

/// Direct commands whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct DirectCommands {
    in_flight: HashMap<OutboundId, DirectMessage>,
    sent: u64,
}

impl DirectCommands {
    pub fn send(&mut self, leader: &Leader, message: DirectMessage, out: &mut Vec<Action>) {
        self.sent += 1;
        let outbound = OutboundId(ID_BASE + self.sent);
        out.push(Action::SendWorkerCommands {
            outbound,
            endpoint: leader.cluster.machines[message.machine.index()].endpoint.clone(),
            request: commands_request(message.token, message.epoch, &message.commands),
            timeout_ms: TIMEOUT_MS,
        });
        self.in_flight.insert(outbound, message);
    }

    /// Removes and returns the message that an outcome belongs to.
    pub fn take(&mut self, outbound: OutboundId) -> Option<DirectMessage> {
        self.in_flight.remove(&outbound)
    }

    /// Drops all messages, because a controller that has stopped leading does not need their outcomes.
    pub fn clear(&mut self) {
        self.in_flight.clear();
    }
}
