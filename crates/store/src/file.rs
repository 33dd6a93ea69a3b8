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
    #[error("{file}: written by version {found} of the format, this program reads {FORMAT}")]
    Format { file: String, found: u64 },
}

const FORMAT: u64 = 1;
const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
const LEASES: TableDefinition<'_, u64, u64> = TableDefinition::new("leases");
const NUMBERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
/// What the region keeps beside: descriptions, results, the cloud.
const BESIDE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("beside");

/// A key's value as it lies in the file.
#[derive(Serialize, Deserialize)]
struct Kept {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

/// One thing kept beside the service's own: a name, and bytes or its removal.
#[derive(Debug, Clone, PartialEq)]
pub struct Saved {
    pub name: String,
    pub bytes: Option<Vec<u8>>,
}

pub struct File {
    database: Database,
}

fn failed(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Redb(Box::new(error.into()))
}

impl File {
    /// Opens or creates the file, and reads all that was committed.
    pub fn open(path: &Path) -> Result<(File, Vec<Delta>, Vec<Saved>), StoreError> {
        let file = path.display().to_string();
        let open = |error| StoreError::Open { file: file.clone(), error: Box::new(error) };
        let database = Database::create(path).map_err(open)?;
        let store = File { database };
        store.prepare(&file)?;
        let deltas = store.read_deltas()?;
        let beside = store.read_beside()?;
        Ok((store, deltas, beside))
    }

    /// Creates the tables; a format of another version is refused.
    fn prepare(&self, file: &str) -> Result<(), StoreError> {
        let txn = self.database.begin_write().map_err(failed)?;
        {
            txn.open_table(KEYS).map_err(failed)?;
            txn.open_table(LEASES).map_err(failed)?;
            txn.open_table(BESIDE).map_err(failed)?;
            let mut numbers = txn.open_table(NUMBERS).map_err(failed)?;
            let found = numbers.get("format").map_err(failed)?.map(|found| found.value());
            match found {
                Some(FORMAT) => {}
                Some(found) => return Err(StoreError::Format { file: file.into(), found }),
                None => drop(numbers.insert("format", FORMAT).map_err(failed)?),
            }
        }
        txn.commit().map_err(failed)
    }

    fn read_deltas(&self) -> Result<Vec<Delta>, StoreError> {
        let txn = self.database.begin_read().map_err(failed)?;
        let mut deltas = Vec::new();
        let numbers = txn.open_table(NUMBERS).map_err(failed)?;
        if let Some(next) = numbers.get("next_lease").map_err(failed)? {
            // Ended leases are not kept; their numbers must not come again.
            deltas.push(Delta::End { lease: next.value() });
        }
        for row in txn.open_table(LEASES).map_err(failed)?.iter().map_err(failed)? {
            let (lease, life) = row.map_err(failed)?;
            deltas.push(Delta::Grant { lease: lease.value(), life_ms: life.value() });
        }
        for row in txn.open_table(KEYS).map_err(failed)?.iter().map_err(failed)? {
            let (key, bytes) = row.map_err(failed)?;
            let key = key.value().to_string();
            let kept: Kept = serde_json::from_slice(bytes.value())
                .map_err(|error| StoreError::Value { key: key.clone(), error })?;
            deltas.push(Delta::Put { key, value: kept.value, stamp: kept.stamp, lease: kept.lease });
        }
        if let Some(revision) = numbers.get("revision").map_err(failed)? {
            deltas.push(Delta::Revision(revision.value()));
        }
        Ok(deltas)
    }

    fn read_beside(&self) -> Result<Vec<Saved>, StoreError> {
        let txn = self.database.begin_read().map_err(failed)?;
        let table = txn.open_table(BESIDE).map_err(failed)?;
        let rows = table.iter().map_err(failed)?.map(|row| {
            let (name, bytes) = row.map_err(failed)?;
            Ok(Saved { name: name.value().into(), bytes: Some(bytes.value().to_vec()) })
        });
        rows.collect()
    }

    /// All of it or nothing, on disk when this returns. Nothing that follows from it may be said before.
    pub fn commit(&self, deltas: &[Delta], beside: &[Saved]) -> Result<(), StoreError> {
        if deltas.is_empty() && beside.is_empty() {
            return Ok(());
        }
        let txn = self.database.begin_write().map_err(failed)?;
        write_deltas(&txn, deltas)?;
        write_beside(&txn, beside)?;
        txn.commit().map_err(failed)
    }
}

fn write_deltas(txn: &WriteTransaction, deltas: &[Delta]) -> Result<(), StoreError> {
    let mut keys = txn.open_table(KEYS).map_err(failed)?;
    let mut leases = txn.open_table(LEASES).map_err(failed)?;
    let mut numbers = txn.open_table(NUMBERS).map_err(failed)?;
    for delta in deltas {
        match delta {
            Delta::Put { key, value, stamp, lease } => {
                let kept = Kept { value: value.clone(), stamp: *stamp, lease: *lease };
                let bytes = serde_json::to_vec(&kept)
                    .map_err(|error| StoreError::Value { key: key.clone(), error })?;
                keys.insert(key.as_str(), bytes.as_slice()).map_err(failed)?;
            }
            Delta::Drop { key } => drop(keys.remove(key.as_str()).map_err(failed)?),
            Delta::Revision(revision) => drop(numbers.insert("revision", revision).map_err(failed)?),
            Delta::Grant { lease, life_ms } => {
                leases.insert(lease, life_ms).map_err(failed)?;
                numbers.insert("next_lease", lease).map_err(failed)?;
            }
            Delta::End { lease } => drop(leases.remove(lease).map_err(failed)?),
        }
    }
    Ok(())
}

fn write_beside(txn: &WriteTransaction, beside: &[Saved]) -> Result<(), StoreError> {
    let mut table = txn.open_table(BESIDE).map_err(failed)?;
    for saved in beside {
        match &saved.bytes {
            Some(bytes) => drop(table.insert(saved.name.as_str(), bytes.as_slice()).map_err(failed)?),
            None => drop(table.remove(saved.name.as_str()).map_err(failed)?),
        }
    }
    Ok(())
}
