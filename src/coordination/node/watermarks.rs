//! Which ends may be told: what a node says of its reading, and what it hears of the others'.

use super::Node;
use crate::coordination::users::Records;
use crate::coordination::{Clock, Output};
use crate::ids::Revision;
use crate::protocol::mesh::MeshMessage;

impl Node {
    /// Ends that the mirror has just learned. Before any answer is given by them.
    pub(super) fn learn_ends(&mut self, clock: Clock) {
        self.watermarks.ended(self.mirror.take_new_ends(), clock.now);
    }

    /// Ends that came with the whole of the records: which of them are recent is not known.
    pub(super) fn learn_all(&mut self, clock: Clock) {
        drop(self.mirror.take_new_ends());
        self.watermarks.reading(clock.now);
    }

    /// Answers what waited for ends to be stable, asks the others to look where somebody still waits, and tells them how
    /// far this node has read.
    pub(super) fn settle(&mut self, clock: Clock, out: &mut Vec<Output>) {
        self.watermarks.forget(clock.now);
        let mut users = std::mem::take(&mut self.users);
        let records =
            Records { mirror: &self.mirror, watermarks: &self.watermarks, settings: &self.settings };
        users.settle(clock, &records, out);
        let asks = users.held_end().and_then(|id| self.watermarks.ask(id, clock.now));
        self.users = users;
        if let Some((nodes, revision)) = asks {
            if self.mirror.revision < revision {
                self.ledger.look_now();
            }
            let notify = MeshMessage::Notify { revision: revision.0 };
            out.extend(nodes.into_iter().map(|node| Output::Mesh { node, message: notify.clone() }));
        }
        if let Some(read) = self.watermarks.announcement(self.mirror.revision) {
            let message = MeshMessage::Read { revision: read.0 };
            let to = |node: &String| Output::Mesh { node: node.clone(), message: message.clone() };
            out.extend(self.others.iter().map(to));
        }
    }

    /// Another node has written, or waits to tell of what this one may not have read.
    pub(super) fn notified(&mut self, node: &str, revision: u64, out: &mut Vec<Output>) {
        log::debug!("{node} has written revision {revision}");
        let read = self.mirror.revision;
        if Revision(revision) > read {
            self.ledger.look_now();
        } else if self.ledger.loaded {
            let message = MeshMessage::Read { revision: read.0 };
            out.push(Output::Mesh { node: node.into(), message });
        }
    }
}
