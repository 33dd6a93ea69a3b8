//! The file behind the service: what was committed is there after any end of the process.

use std::path::Path;

use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::engine::Delta;

#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{file}: {error}")]
    Open { file: String, error: Box<redb::DatabaseError> },
    #[error("the state file: {0}")]
    Redb(#[from] Box<redb::Error>),
    #[error("the state file: the value of {key} is not what was written: {error}")]
    Value { key: String, error: serde_json::Error },
    #[error("{file}: written by version {found} of the format, this program reads {FORMAT_VERSION}")]
    Format { file: String, found: u64 },
}

const FORMAT_VERSION: u64 = 1;
const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
const LEASES: TableDefinition<'_, u64, u64> = TableDefinition::new("leases");
const NUMBERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
/// What the region keeps beside: descriptions, results, the cloud.
const AUXILIARY: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("beside");

/// A key's value as it lies in the file.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    value: Value,
    #[serde(rename = "stamp")]
    revision: u64,
    lease: Option<u64>,
}

/// One thing kept beside the service's own: a name, and bytes or its removal.
#[derive(Debug, Clone, PartialEq)]
pub struct AuxiliaryRecord {
    pub name: String,
    pub bytes: Option<Vec<u8>>,
}

pub struct StoreFile {
    database: Database,
}

fn redb_error(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Redb(Box::new(error.into()))
}

impl StoreFile {
    /// Opens or creates the file, and reads all that was committed.
    pub fn open(path: &Path) -> Result<(StoreFile, Vec<Delta>, Vec<AuxiliaryRecord>), StoreError> {
        let file = path.display().to_string();
        let open = |error| StoreError::Open { file: file.clone(), error: Box::new(error) };
        let database = Database::create(path).map_err(open)?;
        let store = StoreFile { database };
        store.create_tables(&file)?;
        let deltas = store.read_deltas()?;
        let beside = store.read_auxiliary()?;
        Ok((store, deltas, beside))
    }

    /// Creates the tables; a format of another version is refused.
    fn create_tables(&self, file: &str) -> Result<(), StoreError> {
        let txn = self.database.begin_write().map_err(redb_error)?;
        {
            txn.open_table(KEYS).map_err(redb_error)?;
            txn.open_table(LEASES).map_err(redb_error)?;
            txn.open_table(AUXILIARY).map_err(redb_error)?;
            let mut numbers = txn.open_table(NUMBERS).map_err(redb_error)?;
            let found = numbers.get("format").map_err(redb_error)?.map(|found| found.value());
            match found {
                Some(FORMAT_VERSION) => {}
                Some(found) => return Err(StoreError::Format { file: file.into(), found }),
                None => drop(numbers.insert("format", FORMAT_VERSION).map_err(redb_error)?),
            }
        }
        txn.commit().map_err(redb_error)
    }

    fn read_deltas(&self) -> Result<Vec<Delta>, StoreError> {
        let txn = self.database.begin_read().map_err(redb_error)?;
        let mut deltas = Vec::new();
        let numbers = txn.open_table(NUMBERS).map_err(redb_error)?;
        if let Some(next) = numbers.get("next_lease").map_err(redb_error)? {
            // Ended leases are not kept; their numbers must not come again.
            deltas.push(Delta::RemoveLease { lease: next.value() });
        }
        for row in txn.open_table(LEASES).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (lease, life) = row.map_err(redb_error)?;
            deltas.push(Delta::GrantLease { lease: lease.value(), life_ms: life.value() });
        }
        for row in txn.open_table(KEYS).map_err(redb_error)?.iter().map_err(redb_error)? {
            let (key, bytes) = row.map_err(redb_error)?;
            let key = key.value().to_string();
            let kept: StoredEntry = serde_json::from_slice(bytes.value())
                .map_err(|error| StoreError::Value { key: key.clone(), error })?;
            deltas.push(Delta::Put { key, value: kept.value, stamp: kept.revision, lease: kept.lease });
        }
        if let Some(revision) = numbers.get("revision").map_err(redb_error)? {
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

    /// All of it or nothing, on disk when this returns. Nothing that follows from it may be said before.
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
                let kept = StoredEntry { value: value.clone(), revision: *stamp, lease: *lease };
                let bytes = serde_json::to_vec(&kept)
                    .map_err(|error| StoreError::Value { key: key.clone(), error })?;
                keys.insert(key.as_str(), bytes.as_slice()).map_err(redb_error)?;
            }
            Delta::Delete { key } => drop(keys.remove(key.as_str()).map_err(redb_error)?),
            Delta::Revision(revision) => drop(numbers.insert("revision", revision).map_err(redb_error)?),
            Delta::GrantLease { lease, life_ms } => {
                leases.insert(lease, life_ms).map_err(redb_error)?;
                numbers.insert("next_lease", lease).map_err(redb_error)?;
            }
            Delta::RemoveLease { lease } => drop(leases.remove(lease).map_err(redb_error)?),
        }
    }
    Ok(())
}

fn write_auxiliary(txn: &WriteTransaction, beside: &[AuxiliaryRecord]) -> Result<(), StoreError> {
    let mut table = txn.open_table(AUXILIARY).map_err(redb_error)?;
    for saved in beside {
        match &saved.bytes {
            Some(bytes) => drop(table.insert(saved.name.as_str(), bytes.as_slice()).map_err(redb_error)?),
            None => drop(table.remove(saved.name.as_str()).map_err(redb_error)?),
        }
    }
    Ok(())
}
