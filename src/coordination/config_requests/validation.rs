//! Checks that a configured quota is within the range that the platform's settings allow.

use thiserror::Error;

use crate::ids::{from_milli, to_milli_floor};
use crate::protocol::config::{ConfigKey, TeamQuota};
use crate::settings::TeamSettings;

/// Maximum number of CPUs in a quota if the platform sets no limit.
const MAX_CPUS: f64 = 1e9;

/// A value outside the allowed range. The text is sent to clients in the response body.
#[derive(Debug, Error)]
#[error("{key}: {field}: expected 0 to {max} (what the platform's settings allow), not {value}")]
pub(super) struct QuotaOutOfRange {
    key: String,
    field: &'static str,
    max: f64,
    value: f64,
}

/// Checks a team's quota against the platform's settings of that team.
pub(super) fn validate_quota(
    key: &ConfigKey,
    quota: TeamQuota,
    platform: &TeamSettings,
) -> Result<(), QuotaOutOfRange> {
    let platform_limit = platform.effective_limit().cpu;
    let max_limit = if platform_limit == u64::MAX { MAX_CPUS } else { from_milli(platform_limit) };
    check_range(key, "limit_cpus", quota.limit_cpus, max_limit)?;
    let max_guaranteed = from_milli(platform.guaranteed.cpu).min(quota.limit_cpus.unwrap_or(MAX_CPUS));
    check_range(key, "guaranteed_cpus", quota.guaranteed_cpus, max_guaranteed)
}

/// Compares values in thousandths of a CPU, the precision with which quotas are enforced.
fn check_range(
    key: &ConfigKey,
    field: &'static str,
    value: Option<f64>,
    max: f64,
) -> Result<(), QuotaOutOfRange> {
    let Some(value) = value else { return Ok(()) };
    if value.is_finite() && value >= 0.0 && to_milli_floor(value) <= to_milli_floor(max) {
        return Ok(());
    }
    Err(QuotaOutOfRange { key: key.to_string(), field, max, value })
}

#[cfg(test)]
#[path = "tests/validation.rs"]
mod tests;
