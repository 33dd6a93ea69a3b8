//! Parsing of query strings, JSON bodies and job ids in HTTP requests, shared by the interfaces for operators, graphs
//! and configuration.
//!
//! An invalid parameter is rejected with a response that names it and says what was expected.

use std::str::FromStr;

use serde::Deserialize;

use super::HttpResponse;
use crate::ids::JobId;

/// Number of rows per page if the request sets no limit.
pub const DEFAULT_PAGE_SIZE: usize = 100;
/// Largest number of rows that a request may ask for in one page.
pub const MAX_PAGE_SIZE: usize = 500;

/// Splits a query into pairs of name and value, in the order of the query.
pub(super) fn parse_query(query: &str) -> Result<Vec<(&str, &str)>, HttpResponse> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            pair.split_once('=').ok_or_else(|| {
                HttpResponse::error(400, &format!("expected name=value in the query, not {pair:?}"))
            })
        })
        .collect()
}

/// Returns the response to a request with an invalid parameter or field.
pub(super) fn invalid_parameter(name: &str, expected: &str, found: &str) -> HttpResponse {
    HttpResponse::error(400, &format!("{name}: expected {expected}, not {found:?}"))
}

/// Parses a value with [`FromStr`]; `expected` describes a valid value to the client.
pub(super) fn parse_value<T: FromStr>(name: &str, expected: &str, value: &str) -> Result<T, HttpResponse> {
    value.parse().map_err(|_| invalid_parameter(name, expected, value))
}

/// Parses the maximum number of rows per page.
pub(super) fn parse_limit(text: &str) -> Result<usize, HttpResponse> {
    let limit = text.parse().ok().filter(|limit| (1..=MAX_PAGE_SIZE).contains(limit));
    limit.ok_or_else(|| invalid_parameter("limit", &format!("1 to {MAX_PAGE_SIZE}"), text))
}

/// A request for one page of numbered rows.
pub(super) struct PageQuery {
    /// The page starts after the row with this number; None for the first page.
    pub(super) after: Option<u32>,
    /// Maximum number of rows.
    pub(super) limit: usize,
}

/// Parses a query that may only contain `after` and `limit`; `expected_after` describes a valid `after` to the client.
pub(super) fn parse_page_query(
    query: &str,
    default_limit: usize,
    expected_after: &str,
) -> Result<PageQuery, HttpResponse> {
    let mut page = PageQuery { after: None, limit: default_limit };
    for (name, value) in parse_query(query)? {
        match name {
            "after" => page.after = Some(parse_value(name, expected_after, value)?),
            "limit" => page.limit = parse_limit(value)?,
            _ => return Err(invalid_parameter("query", "after or limit", name)),
        }
    }
    Ok(page)
}

/// Parses the JSON body of a request; the error response contains the parser's message.
pub(super) fn parse_json_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|error| HttpResponse::error(400, &error.to_string()))
}

/// Parses a job id from a path. A text of another form gets a 404 response, because no job with such an id can exist.
pub(crate) fn parse_job_id(text: &str) -> Result<JobId, HttpResponse> {
    JobId::parse(text).ok_or_else(|| HttpResponse::error(404, "no such job"))
}
