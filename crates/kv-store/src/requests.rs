//! Handles requests to the store. Requests and responses are JSON, as its protocol defines.

use std::ops::{Bound, RangeInclusive};

use serde_json::{Value, json};

use crate::engine::{KvEngine, TxnError};
use crate::txn::Txn;

/// HTTP status and body of a response.
pub type JsonResponse = (u16, Value);

const MAX_PAGE_KEYS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TXN_BYTES: usize = 64 * 1024;
const LEASE_TTL_RANGE_MS: RangeInclusive<u64> = 100..=600_000;

/// Returns the value of a query parameter of a request path.
pub fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn bad_request(error: &str) -> JsonResponse {
    (400, json!({"error": error}))
}

/// Returns the response to a request that renews or revokes a lease.
fn lease_response(exists: bool) -> JsonResponse {
    (if exists { 200 } else { 404 }, json!({}))
}

impl KvEngine {
    /// Handles one request at time `now`. The resulting deltas must be durable before the response is sent.
    pub fn handle_request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> JsonResponse {
        self.expire_leases(now);
        if !self.request_bucket.try_take(now, self.limits.requests_per_s, 1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        let route = path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = route.split('/').skip(1).collect();
        match (method, segments.as_slice()) {
            ("GET", ["kv"]) => self.list_response(path),
            ("GET", ["kv", ..]) => self.get_response(route.strip_prefix("/kv/").unwrap_or("")),
            ("GET", ["changes"]) => self.changes_response(path),
            ("POST", ["txn"]) => self.txn_response(body, now),
            ("POST", ["grants"]) => self.grant_response(body, now),
            ("POST", ["grants", id, "renew"]) => {
                lease_response(id.parse().is_ok_and(|id| self.renew_lease(id, now)))
            }
            ("DELETE", ["grants", id]) => lease_response(id.parse().is_ok_and(|id| self.revoke_lease(id))),
            _ => bad_request("malformed"),
        }
    }

    fn get_response(&self, key: &str) -> JsonResponse {
        match self.entries.get(key) {
            Some(entry) => {
                let revision = entry.revision;
                (200, json!({"key": key, "value": entry.value, "stamp": revision, "permit": entry.lease}))
            }
            None => (404, json!({"ledger_rev": self.revision()})),
        }
    }

    /// Returns a page of the keys with a prefix. The page ends early enough that one more value cannot exceed the byte
    /// limit.
    fn list_response(&self, path: &str) -> JsonResponse {
        let prefix = query_parameter(path, "starts").unwrap_or("");
        let after = query_parameter(path, "after").unwrap_or("");
        let limit = query_parameter(path, "page").map_or(Some(MAX_PAGE_KEYS), |text| text.parse().ok());
        let Some(limit) = limit.filter(|limit| *limit > 0) else { return bad_request("page") };
        let from = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        let mut remaining = self
            .entries
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let (mut pairs, mut bytes) = (Vec::new(), 0);
        while pairs.len() < limit.min(MAX_PAGE_KEYS) && bytes < MAX_PAGE_BYTES - MAX_TXN_BYTES {
            let Some((key, entry)) = remaining.next() else { break };
            let pair = json!({"key": key, "value": entry.value, "stamp": entry.revision});
            bytes += pair.to_string().len() + 1;
            pairs.push(pair);
        }
        (200, json!({"pairs": pairs, "has_next": remaining.peek().is_some(), "ledger_rev": self.revision()}))
    }

    fn changes_response(&self, path: &str) -> JsonResponse {
        let prefix = query_parameter(path, "starts").unwrap_or("");
        let after = query_parameter(path, "after").map_or(Some(0), |text| text.parse::<u64>().ok());
        let Some(after) = after else { return bad_request("after") };
        match self.change_log.since(after, prefix) {
            Some(events) => (200, json!({"ledger_rev": self.revision(), "events": events})),
            None => (410, json!({"error": "too old", "ledger_rev": self.revision()})),
        }
    }

    fn grant_response(&mut self, body: &[u8], now: u64) -> JsonResponse {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match body["life_ms"].as_u64().filter(|ttl_ms| LEASE_TTL_RANGE_MS.contains(ttl_ms)) {
            Some(ttl_ms) => (200, json!({"permit": self.grant_lease(ttl_ms, now)})),
            None => bad_request("life_ms"),
        }
    }

    fn txn_response(&mut self, body: &[u8], now: u64) -> JsonResponse {
        if body.len() > MAX_TXN_BYTES {
            return bad_request("too large");
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let Some(txn) = Txn::parse(&body, &self.limits).filter(|_| body.is_object()) else {
            return bad_request("malformed");
        };
        if !self.change_bucket.try_take(now, self.limits.changes_per_s, txn.mutations.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        match self.apply_txn(&txn) {
            Ok(()) => (200, json!({"ledger_rev": self.revision()})),
            Err(TxnError::NoSuchLease) => bad_request("no such lease"),
            Err(TxnError::PreconditionsFailed(keys)) => {
                (409, json!({"failed": keys, "ledger_rev": self.revision()}))
            }
        }
    }
}
