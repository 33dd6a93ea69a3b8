//! Building blocks of conditional transactions, and their effect on the cache once they are committed.

use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::Revision;
use crate::protocol::kv::{KvEntry, KvMutation, KvRequest, Precondition};

/// Status of the store's refusal of a request over its rate limit, which it has certainly not carried out.
pub(super) const RATE_LIMITED: u16 = 429;

/// The key must not exist.
pub(super) fn absent(key: &RecordKey) -> Precondition {
    Precondition { key: key.encode(), revision: Revision(0) }
}

/// The key must not have changed since the cache last read it.
pub(super) fn unchanged(cache: &StoreCache, key: &RecordKey) -> Precondition {
    let key = key.encode();
    Precondition { revision: cache.key_revision(&key), key }
}

/// Writes a record that outlives this controller: it is bound to no lease.
pub(super) fn put_record(key: &RecordKey, record: &impl serde::Serialize) -> KvMutation {
    KvMutation::Put {
        key: key.encode(),
        value: serde_json::to_string(record).unwrap_or_default(),
        lease: None,
    }
}

/// Applies the mutations of a committed transaction to the cache, ahead of the poll that will show them.
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
