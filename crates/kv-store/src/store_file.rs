//! The file behind the store: what was committed survives any end of the process.
//!
//! One transaction of the database for each commit; docs/store.md has the format.

use std::path::Path;

use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::engine::Delta;

/// Why the file cannot be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// It cannot be opened.
    #[error("{file}: {error}")]
    Open {
        /// Its path.
        file: String,
        /// The cause.
        error: Box<redb::DatabaseError>,
    },
    /// The database failed.
    #[error("the state file: {0}")]
    Redb(#[from] Box<redb::Error>),
    /// A value is not the JSON that was written.
    #[error("the state file: the value of {key} is not what was written: {error}")]
    Value {
        /// Its key.
        key: String,
        /// The cause.
        error: serde_json::Error,
    },
    /// It has a format of another version.
    #[error("{file}: written by version {found} of the format, this program reads {FORMAT_VERSION}")]
    Format {
        /// Its path.
        file: String,
        /// The version found.
        found: u64,
    },
}

const FORMAT_VERSION: u64 = 1;
const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
const LEASES: TableDefinition<'_, u64, u64> = TableDefinition::new("leases");
const NUMBERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
/// What a local cluster keeps beside the keys: descriptions, results, the cloud.
const AUXILIARY: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("beside");

// Names in the table of numbers.
const FORMAT_NAME: &str = "format";
const NEXT_LEASE_NAME: &str = "next_lease";
const REVISION_NAME: &str = "revision";

/// A key's value in the file.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    value: Value,
    #[serde(rename = "stamp")]
    revision: u64,
    lease: Option<u64>,
}

/// A record that is kept beside the keys and committed with them.
#[derive(Debug, Clone, PartialEq)]
pub struct AuxiliaryRecord {
    /// Unique name.
    pub name: String,
    /// Content; None deletes the record.
    pub bytes: Option<Vec<u8>>,
}

/// The open file.
pub struct StoreFile {
    database: Database,
}

fn redb_error(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Redb(Box::new(error.into()))
}

impl StoreFile {
    /// Opens or creates the file, and reads all that was committed.
    ///
    /// # Errors
    /// The file cannot be opened or read, is damaged, or has a format of another version.
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

    /// Creates the tables if the file is new; refuses a format of another version.
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
        if let Some(next) = numbers.get(NEXT_LEASE_NAME).map_err(redb_error)? {
            // Removed leases are not kept, but their numbers must not be granted again.
            deltas.push(Delta::RemoveLease { lease: next.value() });
        }
        for row in txn.open_table(LEASES).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (lease, ttl) = row.map_err(redb_error)?;
            deltas.push(Delta::GrantLease { lease: lease.value(), life_ms: ttl.value() });
        }
        for row in txn.open_table(KEYS).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (key, bytes) = row.map_err(redb_error)?;
            let key = key.value().to_string();
            let entry: StoredEntry = serde_json::from_slice(bytes.value())
                .map_err(|error| StoreError::Value { key: key.clone(), error })?;
            deltas.push(Delta::Put { key, value: entry.value, stamp: entry.revision, lease: entry.lease });
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

    /// Writes all of it or nothing; it is on disk when this returns. No response that depends on it may be sent before.
    ///
    /// # Errors
    /// The database cannot be written; nothing of the commit is durable then.
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
            Delta::Put { key, value, stamp, lease } => {
                let entry = StoredEntry { value: value.clone(), revision: *stamp, lease: *lease };
                let bytes = serde_json::to_vec(&entry)
                    .map_err(|error| StoreError::Value { key: key.clone(), error })?;
                keys.insert(key.as_str(), bytes.as_slice()).map_err(redb_error)?;
            }
            Delta::Delete { key } => drop(keys.remove(key.as_str()).map_err(redb_error)?),
            Delta::Revision(revision) => drop(numbers.insert(REVISION_NAME, revision).map_err(redb_error)?),
            Delta::GrantLease { lease, life_ms } => {
                leases.insert(lease, life_ms).map_err(redb_error)?;
                numbers.insert(NEXT_LEASE_NAME, lease).map_err(redb_error)?;
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
