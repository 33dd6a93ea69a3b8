//! Which ends may be told: what a node says of its reading, and what it hears of the others'.

use super::Controller;
use crate::coordination::user_requests::UserRequestContext;
use crate::coordination::{Action, Clock};
use crate::ids::Revision;
use crate::protocol::peer::PeerMessage;

impl Controller {
    /// Ends that the mirror has just learned. Before any answer is given by them.
    pub(super) fn record_new_terminals(&mut self, clock: Clock) {
        self.watermarks.add_terminal(self.cache.take_new_terminals(), clock.now);
    }

    /// Ends that came with the whole of the records: which of them are recent is not known.
    pub(super) fn record_page_read(&mut self, clock: Clock) {
        drop(self.cache.take_new_terminals());
        self.watermarks.restart_load(clock.now);
    }

    /// Answers what waited for ends to be stable, asks the others to look where somebody still waits, and tells them how
    /// far this node has read.
    pub(super) fn process_watermarks(&mut self, clock: Clock, out: &mut Vec<Action>) {
        self.watermarks.expire_old(clock.now);
        let mut users = std::mem::take(&mut self.user_requests);
        let context =
            UserRequestContext { cache: &self.cache, watermarks: &self.watermarks, settings: &self.settings };
        users.respond_when_stable(clock, &context, out);
        let read_request =
            users.oldest_awaiting_stability().and_then(|id| self.watermarks.peers_to_poll(id, clock.now));
        self.user_requests = users;
        if let Some((nodes, revision)) = read_request {
            if self.cache.revision < revision {
                self.kv_client.poll_now();
            }
            let notify = PeerMessage::RevisionNotice { revision: revision.0 };
            out.extend(
                nodes
                    .into_iter()
                    .map(|node| Action::SendPeerMessage { controller: node, message: notify.clone() }),
            );
        }
        if let Some(read) = self.watermarks.take_announcement(self.cache.revision) {
            let message = PeerMessage::ReadWatermark { revision: read.0 };
            let to = |node: &String| Action::SendPeerMessage {
                controller: node.clone(),
                message: message.clone(),
            };
            out.extend(self.peer_names.iter().map(to));
        }
    }

    /// Another node has written, or waits to tell of what this one may not have read.
    pub(super) fn handle_write_notification(
        &mut self,
        controller: &str,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        log::debug!("{controller} has written revision {revision}");
        let read = self.cache.revision;
        if Revision(revision) > read {
            self.kv_client.poll_now();
        } else if self.kv_client.loaded {
            let message = PeerMessage::ReadWatermark { revision: read.0 };
            out.push(Action::SendPeerMessage { controller: controller.into(), message });
        }
    }
}
