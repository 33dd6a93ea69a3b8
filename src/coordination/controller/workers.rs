//! Responds to workers' heartbeats, and handles the outcomes of commands that were sent directly to workers.

use super::Controller;
use crate::coordination::leader::machines::commands::DirectOutcome;
use crate::coordination::leader::machines::heartbeats::HeartbeatReply;
use crate::coordination::unavailable::Unavailable;
use crate::coordination::{Action, Clock, InboundId, OutboundId};
use crate::protocol::workers::{Heartbeat, commands_response, parse_heartbeat, redirect_response};
use crate::protocol::{HttpOutcome, HttpResponse};

impl Controller {
    pub(super) fn handle_heartbeat(
        &mut self,
        clock: Clock,
        inbound: InboundId,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let response = if self.state.is_leader() {
            self.leader_heartbeat_response(clock, heartbeat)
        } else {
            self.follower_heartbeat_response(clock, heartbeat)
        };
        out.push(Action::Respond { inbound, response });
    }

    fn leader_heartbeat_response(&mut self, clock: Clock, heartbeat: &Heartbeat) -> HttpResponse {
        let may_act = self.may_act(clock);
        let fresh_as_of = self.kv_client.fresh_as_of;
        let serves_until =
            self.leadership.serves_workers_until(&self.state.settings.worker_timings, fresh_as_of);
        if self.step_down_if_outdated(heartbeat) {
            return redirect_response(None);
        }
        if clock.now >= serves_until {
            return Unavailable::HeartbeatRejected.into();
        }
        let Some(leader) = &mut self.state.leader else { return Unavailable::NoLeaderForHeartbeat.into() };
        match leader.handle_heartbeat(&mut self.state.cache, clock, heartbeat, may_act) {
            HeartbeatReply::Commands { token, commands } => commands_response(token, &commands),
            HeartbeatReply::Reject => Unavailable::HeartbeatRejected.into(),
        }
    }

    fn follower_heartbeat_response(&mut self, clock: Clock, heartbeat: &Heartbeat) -> HttpResponse {
        match self.state.known_leader() {
            Some(leader) if leader != self.state.settings.controller => {
                self.peers.record_misdirected(clock.now, &heartbeat.machine);
                redirect_response(Some(leader))
            }
            _ => Unavailable::NoLeaderForHeartbeat.into(),
        }
    }

    /// Steps down if a worker has acknowledged the fencing token of a later leader; returns whether it did.
    fn step_down_if_outdated(&mut self, heartbeat: &Heartbeat) -> bool {
        let is_outdated =
            self.state.leader.as_ref().is_some_and(|leader| leader.term.is_superseded_by(heartbeat.token));
        if is_outdated {
            log::info!("worker {} has acknowledged a later leader", heartbeat.machine);
            self.step_down();
        }
        is_outdated
    }

    /// Handles the outcome of a direct command. The worker's response to it has the form of a heartbeat.
    pub(super) fn handle_commands_response(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
    ) {
        let Some(message) = self.direct_commands.take(outbound) else { return };
        let heartbeat = match outcome {
            HttpOutcome::Response { body, .. } => parse_heartbeat(body),
            _ => None,
        };
        if heartbeat.as_ref().is_some_and(|heartbeat| self.step_down_if_outdated(heartbeat)) {
            return;
        }
        let Some(leader) = &mut self.state.leader else { return };
        if let Some(heartbeat) = &heartbeat
            && leader.cluster.machines[message.machine.index()].name == heartbeat.machine
        {
            leader.observe_command_response(message.machine, clock, heartbeat);
        }
        leader.handle_direct_outcome(&message, direct_outcome(outcome), clock);
    }
}

fn direct_outcome(outcome: &HttpOutcome) -> DirectOutcome {
    match outcome {
        HttpOutcome::Response { status: 200, .. } => DirectOutcome::Executed,
        HttpOutcome::Response { .. } | HttpOutcome::NotSent => DirectOutcome::Refused,
        HttpOutcome::Unknown | HttpOutcome::TooLarge => DirectOutcome::Unknown,
    }
}
