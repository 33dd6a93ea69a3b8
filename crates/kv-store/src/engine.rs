//! The state of the store in memory: keys with revisions, leases, and the deltas that must be made durable.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::change_log::ChangeLog;
use crate::limits::{Limits, TokenBucket};
use crate::txn::{KvMutation, Txn};

/// A change that must be made durable. The deltas of one transaction must be committed together.
#[derive(Debug, Clone, PartialEq)]
pub enum Delta {
    /// A key was written.
    Put {
        /// Name of the key.
        key: String,
        /// New value of the key.
        value: Value,
        /// New revision of the key.
        revision: u64,
        /// The lease that the key is attached to, if any.
        lease: Option<u64>,
    },
    /// A key was deleted.
    Delete {
        /// Name of the key.
        key: String,
    },
    /// New revision of the store.
    Revision(u64),
    /// A lease was granted.
    GrantLease {
        /// Number of the lease.
        lease: u64,
        /// Time to live of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// A lease was revoked or has expired.
    RemoveLease {
        /// Number of the lease.
        lease: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Entry {
    pub(crate) value: Value,
    pub(crate) revision: u64,
    pub(crate) lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    expires_at_ms: u64,
    ttl_ms: u64,
}

/// Reasons why a transaction is not applied.
pub(crate) enum TxnError {
    /// The transaction attaches a key to a lease that does not exist.
    NoSuchLease,
    /// These keys do not have the expected revisions.
    PreconditionsFailed(Vec<String>),
}

/// The store in memory. Times are milliseconds of one monotonic clock.
#[derive(Debug, Default)]
pub struct KvEngine {
    pub(crate) entries: BTreeMap<String, Entry>,
    revision: u64,
    pub(crate) change_log: ChangeLog,
    leases: BTreeMap<u64, Lease>,
    /// Number of the lease that was granted last.
    last_lease: u64,
    pub(crate) limits: Limits,
    pub(crate) request_bucket: TokenBucket,
    pub(crate) change_bucket: TokenBucket,
    pending_deltas: Vec<Delta>,
    /// Whether deltas are collected. An engine that is not backed by a file collects none.
    records_deltas: bool,
}

impl KvEngine {
    /// Restores the state from the deltas of a state file. Every lease starts with its full time to live, because a
    /// restart must not shorten a lease.
    pub fn restore(saved: &[Delta], now: u64) -> KvEngine {
        let mut engine = KvEngine { records_deltas: true, ..KvEngine::default() };
        for delta in saved {
            match delta {
                Delta::Put { key, value, revision, lease } => {
                    let entry = Entry { value: value.clone(), revision: *revision, lease: *lease };
                    engine.entries.insert(key.clone(), entry);
                }
                Delta::Delete { key } => drop(engine.entries.remove(key)),
                Delta::Revision(revision) => engine.revision = *revision,
                Delta::GrantLease { lease, ttl_ms } => {
                    engine.last_lease = engine.last_lease.max(*lease);
                    engine.leases.insert(*lease, Lease { expires_at_ms: now + ttl_ms, ttl_ms: *ttl_ms });
                }
                Delta::RemoveLease { lease } => {
                    engine.last_lease = engine.last_lease.max(*lease);
                    engine.leases.remove(lease);
                }
            }
        }
        engine.change_log = ChangeLog::starting_after(engine.revision);
        engine
    }

    /// Replaces the limits of rates and sizes.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the deltas since the last call. They must be durable before any response that depends on them is sent.
    pub fn take_deltas(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.pending_deltas)
    }

    /// Returns the current revision, which is that of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns all keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many leases have been granted so far.
    pub fn granted_lease_count(&self) -> u64 {
        self.last_lease
    }

    /// For tests: writes a key without a request.
    pub fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.write(key, &value, None);
        self.record_delta(Delta::Revision(self.revision));
    }

    /// Renews every lease with its full time to live, as after an outage of the store.
    pub fn renew_all_leases(&mut self, now: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at_ms = now + lease.ttl_ms;
        }
    }

    /// Removes the expired leases. Returns the time until the next lease expires, in milliseconds.
    pub fn expire_leases(&mut self, now: u64) -> Option<u64> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at_ms <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<u64>>() {
            self.remove_lease(id);
        }
        self.leases.values().map(|lease| lease.expires_at_ms.saturating_sub(now)).min()
    }

    /// Returns whether any key with this prefix changed after revision `after`. Also true if the change log no longer
    /// covers the changes after `after`.
    pub fn has_changed(&self, prefix: &str, after: u64) -> bool {
        self.change_log.has_changed(after, prefix)
    }

    pub(crate) fn grant_lease(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, Lease { expires_at_ms: now + ttl_ms, ttl_ms });
        self.record_delta(Delta::GrantLease { lease, ttl_ms });
        lease
    }

    /// Renews a lease. Returns false if it does not exist.
    pub(crate) fn renew_lease(&mut self, id: u64, now: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.expires_at_ms = now + lease.ttl_ms;
        true
    }

    /// Removes a lease with the keys attached to it. Returns false if the lease does not exist.
    pub(crate) fn revoke_lease(&mut self, id: u64) -> bool {
        let exists = self.leases.contains_key(&id);
        if exists {
            self.remove_lease(id);
        }
        exists
    }

    /// Removes a lease and the keys attached to it.
    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
        self.record_delta(Delta::RemoveLease { lease: id });
        self.record_delta(Delta::Revision(self.revision));
    }

    /// Applies all mutations of a transaction under one new revision if all preconditions hold; otherwise changes
    /// nothing.
    pub(crate) fn apply_txn(&mut self, txn: &Txn<'_>) -> Result<(), TxnError> {
        let needs_missing_lease = |mutation: &KvMutation<'_>| match mutation {
            KvMutation::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        if txn.mutations.iter().any(needs_missing_lease) {
            return Err(TxnError::NoSuchLease);
        }
        let revision_of = |key: &str| self.entries.get(key).map_or(0, |entry| entry.revision);
        let failed: Vec<String> = txn
            .preconditions
            .iter()
            .filter(|precondition| revision_of(precondition.key) != precondition.revision)
            .map(|precondition| precondition.key.to_string())
            .collect();
        if !failed.is_empty() {
            return Err(TxnError::PreconditionsFailed(failed));
        }
        if txn.mutations.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        for mutation in &txn.mutations {
            match mutation {
                KvMutation::Put { key, value, lease } => self.write(key, value, *lease),
                KvMutation::Delete { key } => self.delete(key),
            }
        }
        self.record_delta(Delta::Revision(self.revision));
        Ok(())
    }

    fn write(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let revision = self.revision;
        self.entries.insert(key.into(), Entry { value: value.clone(), revision, lease });
        self.change_log.push(revision, json!({"write": key, "value": value, "stamp": revision}));
        self.record_delta(Delta::Put { key: key.into(), value: value.clone(), revision, lease });
    }

    fn delete(&mut self, key: &str) {
        self.entries.remove(key);
        self.change_log.push(self.revision, json!({"drop": key, "stamp": self.revision}));
        self.record_delta(Delta::Delete { key: key.into() });
    }

    fn record_delta(&mut self, delta: Delta) {
        if self.records_deltas {
            self.pending_deltas.push(delta);
        }
    }
}

#[cfg(test)]
#[path = "tests/engine.rs"]
mod tests;
