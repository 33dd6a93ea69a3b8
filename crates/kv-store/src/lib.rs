//! The key-value store, as its protocol defines it: for local clusters and tests.
//!
//! [`KvEngine`] decides: keys, revisions, transactions, leases, changes. It does no I/O and reads no clock; what must
//! outlive the process comes out as [`Delta`]s. [`StoreFile`] makes those durable, and a response may be sent only
//! after its `commit`. Neither holds more than the keys and the last 10,000 changes. docs/store.md describes and
//! justifies the file format.

#![warn(missing_docs)]

mod change_log;
mod engine;
mod limits;
mod requests;
mod store_file;
mod txn;

pub use engine::{Delta, KvEngine};
pub use limits::Limits;
pub use requests::{JsonResponse, query_parameter};
pub use store_file::{AuxiliaryRecord, StoreError, StoreFile};
