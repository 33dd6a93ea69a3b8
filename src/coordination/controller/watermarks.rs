//! Determines which terminal states may be reported: announces to the other controllers how far this one has
//! read, and asks them to read further where a client waits for that.

use super::Controller;
use crate::coordination::{Action, Clock};
use crate::protocol::peer::PeerMessage;

impl Controller {
    /// Records the terminal states that the cache has just received. This must happen before any response
    /// depends on them.
    pub(super) fn record_new_terminals(&mut self, clock: Clock) {
        self.state.watermarks.add_terminal(self.state.cache.take_new_terminals(), clock.now);
    }

    /// Records that a page of the records was read: it is unknown which of its terminal states are recent.
    pub(super) fn record_page_read(&mut self, clock: Clock) {
        drop(self.state.cache.take_new_terminals());
        self.state.watermarks.record_page_load(clock.now);
    }

    /// Answers requests whose job's terminal state has become stable, asks other controllers to read further
    /// where that is needed, and announces how far this one has read.
    pub(super) fn process_watermarks(&mut self, clock: Clock, out: &mut Vec<Action>) {
        self.state.watermarks.expire_old(clock.now);
        self.user_requests.respond_when_stable(clock, &self.state, out);
        self.request_peer_reads(clock, out);
        self.announce_read_revision(out);
    }

    fn request_peer_reads(&mut self, clock: Clock, out: &mut Vec<Action>) {
        let oldest = self.user_requests.oldest_awaiting_stability();
        let watermarks = &mut self.state.watermarks;
        let Some((controllers, revision)) = oldest.and_then(|id| watermarks.peers_to_poll(id, clock.now))
        else {
            return;
        };
        if self.state.cache.revision < revision {
            self.kv_client.poll_now();
        }
        let message = PeerMessage::RevisionNotice { revision: revision.0 };
        out.extend(
            controllers
                .into_iter()
                .map(|controller| Action::SendPeerMessage { controller, message: message.clone() }),
        );
    }

    fn announce_read_revision(&mut self, out: &mut Vec<Action>) {
        let Some(read) = self.state.watermarks.take_announcement(self.state.cache.revision) else { return };
        let message = PeerMessage::ReadWatermark { revision: read.0 };
        out.extend(
            self.peer_names
                .iter()
                .map(|peer| Action::SendPeerMessage { controller: peer.clone(), message: message.clone() }),
        );
    }
}
