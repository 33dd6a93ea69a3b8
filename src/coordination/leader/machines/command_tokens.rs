//! The fencing tokens of the messages to each worker.
//!
//! A network may deliver a direct message again, minutes after it was answered. A worker that still lists the attempt
//! of a start ignores the copy, but one that has forgotten the attempt would start it again. So an attempt is forgotten
//! only together with a token that is higher than that of every direct start to the worker in its epoch: whoever
//! forgets the attempt has also seen that token, and rejects every copy.
//!
//! A leader may use any revision of the store as a token that it read while its leader key existed: the next leader's
//! token is the revision at which the key is created again, which is higher.

use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::leader::Leader;
use crate::ids::{FencingToken, MachineIx};

impl Leader {
    /// Raises the token of the machine's messages above that of its direct starts, if it is not higher already. Returns
    /// whether it is higher now, so that the worker may be told to forget attempts.
    ///
    /// The token stays as it is while a direct message is in flight, which the worker would otherwise reject, and until
    /// the store has a revision that is higher. Each start has a record of its own, so the attempts that wait for one are
    /// those that were recorded before the latest revision.
    pub(super) fn void_direct_starts(&mut self, ix: MachineIx, cache: &StoreCache) -> bool {
        let highest_token = self.highest_usable_token(cache);
        let machine = &mut self.cluster.machines[ix.index()];
        if machine.direct_start_token.is_none_or(|used| used < machine.token) {
            return true;
        }
        if machine.direct_send_in_flight || highest_token <= machine.token {
            self.counters.forgets_deferred += 1;
            return false;
        }
        machine.token = highest_token;
        self.term.record_issued(highest_token);
        self.counters.tokens_raised += 1;
        true
    }

    /// Returns the highest token that no later leader can have.
    fn highest_usable_token(&self, cache: &StoreCache) -> FencingToken {
        let token = self.term.token();
        if cache.has_leader_with(token) { FencingToken(cache.revision.0) } else { token }
    }
}
