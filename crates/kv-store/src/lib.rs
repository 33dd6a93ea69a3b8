//! The state service as the protocol has it.
//!
//! `Engine` decides: keys, revisions, transactions, leases, changes. It does no I/O and reads no clock; what has to
//! outlive the process comes out as `Delta`s. `File` keeps those, and answers may go out only after its `commit`.
//! Neither holds more than the keys and the last 10,000 changes. docs/store.md has the format and argues for it.

mod engine;
mod limits;
mod store_file;

pub use engine::{Delta, JsonResponse, KvEngine, query_parameter};
pub use limits::Limits;
pub use store_file::{AuxiliaryRecord, StoreError, StoreFile};
