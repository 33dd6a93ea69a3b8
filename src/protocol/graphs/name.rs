//! Names of DAG runs.

use std::fmt;

/// Longest name of a run, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 100;

/// The name of a run, chosen by its client, such as `nightly-2026-12-01`. It is part of paths and of stored keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DagRunName(Box<str>);

impl DagRunName {
    /// Parses a name of 1 to 100 ASCII letters, digits, dots, dashes and underscores.
    pub fn parse(text: &str) -> Option<DagRunName> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
        is_valid.then(|| DagRunName(text.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DagRunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
