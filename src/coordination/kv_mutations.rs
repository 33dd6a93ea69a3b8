//! Building blocks of conditional transactions, and their effect on the cache once they are committed.

use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::Revision;
use crate::protocol::kv::{KvEntry, KvMutation, KvRequest, Precondition};

/// HTTP status of a request that the store refused because of its rate limit. Such a request is guaranteed
/// not to have been carried out.
pub(super) const RATE_LIMITED: u16 = 429;

/// Returns the precondition that the key does not exist.
pub(super) fn absent(key: &RecordKey) -> Precondition {
    Precondition { key: key.encode(), revision: Revision(0) }
}

/// Returns the precondition that the key has not changed since the cache last read it.
pub(super) fn unchanged(cache: &StoreCache, key: &RecordKey) -> Precondition {
    let key = key.encode();
    Precondition { revision: cache.key_revision(&key), key }
}

/// Returns the write of a record that outlives this controller, as it is attached to no lease.
pub(super) fn put_record(key: &RecordKey, record: &impl serde::Serialize) -> KvMutation {
    KvMutation::Put {
        key: key.encode(),
        value: serde_json::to_string(record).unwrap_or_default(),
        lease: None,
    }
}

/// Applies the mutations of a committed transaction to the cache before a poll returns them.
pub fn apply_own_mutations(request: &KvRequest, revision: Revision, cache: &mut StoreCache) {
    let KvRequest::Transaction { mutations, .. } = request else {
        return;
    };
    for mutation in mutations {
        let (key, value) = match mutation {
            KvMutation::Put { key, value, .. } => (key, Some(value.clone())),
            KvMutation::Delete { key } => (key, None),
        };
        cache.apply_own_change(&KvEntry { key: key.clone(), value, revision });
    }
}
