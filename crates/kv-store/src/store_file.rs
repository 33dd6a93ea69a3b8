//! The file that backs the store. Committed changes survive a crash of the process.
//!
//! Each commit is one database transaction. docs/store.md describes the format.

use std::path::Path;

use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::engine::Delta;

/// Reasons why the state file cannot be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be opened.
    #[error("cannot open the state file {file}: {error}")]
    Open {
        /// Path of the file.
        file: String,
        /// The error of the database.
        error: Box<redb::DatabaseError>,
    },
    /// The database failed to read or write.
    #[error("cannot read or write the state file: {0}")]
    Redb(#[from] Box<redb::Error>),
    /// A value cannot be decoded from JSON, or encoded as JSON.
    #[error("the value of {key} in the state file is not valid JSON of the expected form: {error}")]
    Value {
        /// Key of the value.
        key: String,
        /// The error of the JSON parser or writer.
        error: serde_json::Error,
    },
    /// The file has another format version.
    #[error(
        "the state file {file} has format version {found}; this program reads only version {FORMAT_VERSION}"
    )]
    Format {
        /// Path of the file.
        file: String,
        /// Format version of the file.
        found: u64,
    },
}

const FORMAT_VERSION: u64 = 1;
const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
const LEASES: TableDefinition<'_, u64, u64> = TableDefinition::new("leases");
const NUMBERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
/// Records of a local cluster that are not keys of the store: job descriptions, task results and the cloud's state.
const AUXILIARY: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("beside");

// Row names in the table NUMBERS.
const FORMAT_NAME: &str = "format";
/// The row holds the number of the lease that was granted last, in spite of its stored name.
const LAST_LEASE_NAME: &str = "next_lease";
const REVISION_NAME: &str = "revision";

/// The stored form of a key's value.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    value: Value,
    #[serde(rename = "stamp")]
    revision: u64,
    lease: Option<u64>,
}

/// A record that is not a key of the store, but is committed together with the keys.
#[derive(Debug, Clone, PartialEq)]
pub struct AuxiliaryRecord {
    /// Unique name of the record.
    pub name: String,
    /// Content of the record; `None` deletes it.
    pub bytes: Option<Vec<u8>>,
}

/// An open state file.
pub struct StoreFile {
    database: Database,
}

fn redb_error(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Redb(Box::new(error.into()))
}

impl StoreFile {
    /// Opens or creates the file, and returns it with all that was committed.
    ///
    /// # Errors
    /// The file cannot be opened or read, is damaged, or has another format version.
    pub fn open(path: &Path) -> Result<(StoreFile, Vec<Delta>, Vec<AuxiliaryRecord>), StoreError> {
        let file = path.display().to_string();
        let open = |error| StoreError::Open { file: file.clone(), error: Box::new(error) };
        let database = Database::create(path).map_err(open)?;
        let store = StoreFile { database };
        store.create_tables(&file)?;
        let deltas = store.read_deltas()?;
        let auxiliary = store.read_auxiliary()?;
        Ok((store, deltas, auxiliary))
    }

    /// Creates the tables if the file is new. Fails if the file has another format version.
    fn create_tables(&self, file: &str) -> Result<(), StoreError> {
        let txn = self.database.begin_write().map_err(redb_error)?;
        {
            txn.open_table(KEYS).map_err(redb_error)?;
            txn.open_table(LEASES).map_err(redb_error)?;
            txn.open_table(AUXILIARY).map_err(redb_error)?;
            let mut numbers = txn.open_table(NUMBERS).map_err(redb_error)?;
            let found = numbers.get(FORMAT_NAME).map_err(redb_error)?.map(|found| found.value());
            match found {
                Some(FORMAT_VERSION) => {}
                Some(found) => return Err(StoreError::Format { file: file.into(), found }),
                None => drop(numbers.insert(FORMAT_NAME, FORMAT_VERSION).map_err(redb_error)?),
            }
        }
        txn.commit().map_err(redb_error)
    }

    fn read_deltas(&self) -> Result<Vec<Delta>, StoreError> {
        let txn = self.database.begin_read().map_err(redb_error)?;
        let mut deltas = Vec::new();
        let numbers = txn.open_table(NUMBERS).map_err(redb_error)?;
        if let Some(last_lease) = numbers.get(LAST_LEASE_NAME).map_err(redb_error)? {
            // Removed leases are not stored. This delta makes sure that their numbers are not granted again.
            deltas.push(Delta::RemoveLease { lease: last_lease.value() });
        }
        for row in txn.open_table(LEASES).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (lease, ttl) = row.map_err(redb_error)?;
            deltas.push(Delta::GrantLease { lease: lease.value(), ttl_ms: ttl.value() });
        }
        for row in txn.open_table(KEYS).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (key, bytes) = row.map_err(redb_error)?;
            let key = key.value().to_string();
            let entry: StoredEntry = serde_json::from_slice(bytes.value())
                .map_err(|error| StoreError::Value { key: key.clone(), error })?;
            deltas.push(Delta::Put { key, value: entry.value, revision: entry.revision, lease: entry.lease });
        }
        if let Some(revision) = numbers.get(REVISION_NAME).map_err(redb_error)? {
            deltas.push(Delta::Revision(revision.value()));
        }
        Ok(deltas)
    }

    fn read_auxiliary(&self) -> Result<Vec<AuxiliaryRecord>, StoreError> {
        let txn = self.database.begin_read().map_err(redb_error)?;
        let table = txn.open_table(AUXILIARY).map_err(redb_error)?;
        let rows = table.iter().map_err(redb_error)?.map(|row| {
            let (name, bytes) = row.map_err(redb_error)?;
            Ok(AuxiliaryRecord { name: name.value().into(), bytes: Some(bytes.value().to_vec()) })
        });
        rows.collect()
    }

    /// Writes the deltas and the records atomically and durably. A response that depends on them may be sent only after
    /// this returns.
    ///
    /// # Errors
    /// The database cannot be written; in this case nothing of the commit is durable.
    pub fn commit(&self, deltas: &[Delta], auxiliary: &[AuxiliaryRecord]) -> Result<(), StoreError> {
        if deltas.is_empty() && auxiliary.is_empty() {
            return Ok(());
        }
        let txn = self.database.begin_write().map_err(redb_error)?;
        write_deltas(&txn, deltas)?;
        write_auxiliary(&txn, auxiliary)?;
        txn.commit().map_err(redb_error)
    }
}

fn write_deltas(txn: &WriteTransaction, deltas: &[Delta]) -> Result<(), StoreError> {
    let mut keys = txn.open_table(KEYS).map_err(redb_error)?;
    let mut leases = txn.open_table(LEASES).map_err(redb_error)?;
    let mut numbers = txn.open_table(NUMBERS).map_err(redb_error)?;
    for delta in deltas {
        match delta {
            Delta::Put { key, value, revision, lease } => {
                let entry = StoredEntry { value: value.clone(), revision: *revision, lease: *lease };
                let bytes = serde_json::to_vec(&entry)
                    .map_err(|error| StoreError::Value { key: key.clone(), error })?;
                keys.insert(key.as_str(), bytes.as_slice()).map_err(redb_error)?;
            }
            Delta::Delete { key } => drop(keys.remove(key.as_str()).map_err(redb_error)?),
            Delta::Revision(revision) => drop(numbers.insert(REVISION_NAME, revision).map_err(redb_error)?),
            Delta::GrantLease { lease, ttl_ms } => {
                leases.insert(lease, ttl_ms).map_err(redb_error)?;
                numbers.insert(LAST_LEASE_NAME, lease).map_err(redb_error)?;
            }
            Delta::RemoveLease { lease } => drop(leases.remove(lease).map_err(redb_error)?),
        }
    }
    Ok(())
}

fn write_auxiliary(txn: &WriteTransaction, records: &[AuxiliaryRecord]) -> Result<(), StoreError> {
    let mut table = txn.open_table(AUXILIARY).map_err(redb_error)?;
    for record in records {
        match &record.bytes {
            Some(bytes) => drop(table.insert(record.name.as_str(), bytes.as_slice()).map_err(redb_error)?),
            None => drop(table.remove(record.name.as_str()).map_err(redb_error)?),
        }
    }
    Ok(())
}
