//! Handles messages from other controllers, and notifies the leader of new revisions.

use super::Controller;
use crate::coordination::{Action, Clock};
use crate::ids::Revision;
use crate::protocol::HttpResponse;
use crate::protocol::peer::PeerMessage;

/// How long a controller that was asked to take over campaigns ahead of the others, in milliseconds.
const PREFERRED_LEADER_MS: u64 = 3_000;

impl Controller {
    pub(super) fn handle_peer_message(
        &mut self,
        clock: Clock,
        controller: &str,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::HealthStatus {
                kv_reachable,
                misdirected_workers,
                misdirected_workers_elsewhere,
            } => {
                self.peers.receive_beacon(
                    clock.now,
                    controller,
                    kv_reachable,
                    misdirected_workers,
                    misdirected_workers_elsewhere,
                );
            }
            PeerMessage::TransferLeadership => {
                log::info!("{controller} proposes that this controller takes over as leader");
                self.peers.preferred_until = clock.now.saturating_add(PREFERRED_LEADER_MS);
                self.kv_client.poll_now();
            }
            PeerMessage::Hello { .. } => {}
            PeerMessage::RevisionNotice { revision } => {
                self.handle_revision_notice(controller, Revision(revision), out);
            }
            PeerMessage::ReadWatermark { revision } => {
                self.state.watermarks.record_peer_read(controller, Revision(revision));
            }
            PeerMessage::Query { query_id, query } => {
                self.receive_forwarded_query(clock, controller, query_id, &query, out);
            }
            PeerMessage::QueryResponse { query_id, status, retry_after_s, body } => {
                let response = HttpResponse { status, retry_after_s, ..HttpResponse::json_bytes(body) };
                self.receive_leader_response(clock, query_id, response, out);
            }
        }
    }

    /// Notifies the leader, if it is another controller, that the store has a new revision.
    pub(super) fn notify_leader(&self, revision: Revision, out: &mut Vec<Action>) {
        if self.state.is_leader() {
            return;
        }
        if let Some(leader) = self.state.known_leader() {
            let message = PeerMessage::RevisionNotice { revision: revision.0 };
            out.push(Action::SendPeerMessage { controller: leader.into(), message });
        }
    }

    /// Handles a notice that another controller has written, or has clients that wait until this controller
    /// has read up to the revision.
    fn handle_revision_notice(&mut self, controller: &str, revision: Revision, out: &mut Vec<Action>) {
        log::debug!("{controller} announces revision {}", revision.0);
        let read = self.state.cache.revision;
        if revision > read {
            self.kv_client.poll_now();
        } else if self.kv_client.loaded {
            let message = PeerMessage::ReadWatermark { revision: read.0 };
            out.push(Action::SendPeerMessage { controller: controller.into(), message });
        }
    }
}
