//! A key-value store that implements the protocol of the state service, for local clusters and tests.
//!
//! [`KvEngine`] holds keys, revisions, leases and recent changes, and handles requests. It does no I/O and reads no
//! clock; changes that must be durable are returned as [`Delta`]s. [`StoreFile`] writes those to disk, and a response
//! may be sent only after its `commit`. Memory holds the keys, the leases and the last 10,000 changes. docs/store.md
//! describes the file format and gives the reasons for it.

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
