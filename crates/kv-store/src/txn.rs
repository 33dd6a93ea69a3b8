//! Transactions, parsed from requests and validated, but not yet applied.

use serde_json::Value;

use crate::limits::Limits;

const MAX_KEY_BYTES: usize = 200;
/// A transaction may have this many times as many preconditions as it may have changes.
const MAX_PRECONDITIONS_PER_CHANGE: usize = 4;

/// Mutations that are applied together if all preconditions hold.
pub(crate) struct Txn<'a> {
    pub(crate) preconditions: Vec<Precondition<'a>>,
    pub(crate) mutations: Vec<KvMutation<'a>>,
}

/// The key must have this revision; 0 means that it must not exist.
pub(crate) struct Precondition<'a> {
    pub(crate) key: &'a str,
    pub(crate) revision: u64,
}

pub(crate) enum KvMutation<'a> {
    Put { key: &'a str, value: &'a Value, lease: Option<u64> },
    Delete { key: &'a str },
}

fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(char::is_whitespace)
}

/// Returns the array in this field, empty if the field is absent, or `None` if the field is not an array.
fn array_field<'a>(body: &'a Value, name: &str) -> Option<&'a [Value]> {
    match &body[name] {
        Value::Null => Some(&[]),
        Value::Array(items) => Some(items),
        _ => None,
    }
}

impl<'a> Precondition<'a> {
    fn parse(json: &'a Value) -> Option<Precondition<'a>> {
        let key = json["key"].as_str().filter(|key| is_valid_key(key))?;
        Some(Precondition { key, revision: json["stamp"].as_u64()? })
    }
}

impl<'a> KvMutation<'a> {
    fn parse(json: &'a Value, limits: &Limits) -> Option<KvMutation<'a>> {
        match (&json["write"], &json["drop"]) {
            (Value::String(key), Value::Null) if is_valid_key(key) => {
                let value = json.get("value")?;
                let fits = value.to_string().len() <= limits.max_value_bytes;
                fits.then(|| KvMutation::Put { key, value, lease: json["permit"].as_u64() })
            }
            (Value::Null, Value::String(key)) if is_valid_key(key) => Some(KvMutation::Delete { key }),
            _ => None,
        }
    }
}

impl<'a> Txn<'a> {
    /// Parses a transaction. Returns `None` if the body is malformed or exceeds a limit.
    pub(crate) fn parse(body: &'a Value, limits: &Limits) -> Option<Txn<'a>> {
        let preconditions = array_field(body, "guards")?.iter().map(Precondition::parse);
        let mutations = array_field(body, "then")?.iter().map(|json| KvMutation::parse(json, limits));
        let txn = Txn {
            preconditions: preconditions.collect::<Option<_>>()?,
            mutations: mutations.collect::<Option<_>>()?,
        };
        let fits = txn.mutations.len() <= limits.max_txn_changes
            && txn.preconditions.len() <= MAX_PRECONDITIONS_PER_CHANGE * limits.max_txn_changes;
        fits.then_some(txn)
    }
}
