//! Query strings, JSON bodies and job names of requests over HTTP, shared by the interfaces of operators, graphs and
//! configuration.
//!
//! A parameter that is wrong is rejected with a response that names it and says what was expected.

use std::str::FromStr;

use serde::Deserialize;

use super::HttpResponse;
use crate::ids::JobId;

/// Rows of a page if the request names no limit.
pub const DEFAULT_PAGE_SIZE: usize = 100;
/// Largest number of rows that a request may ask for in one page.
pub const MAX_PAGE_SIZE: usize = 500;

/// Splits a query into names and values, in their order.
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

/// The response to a parameter or field whose value is not acceptable.
pub(super) fn invalid_parameter(name: &str, expected: &str, found: &str) -> HttpResponse {
    HttpResponse::error(400, &format!("{name}: expected {expected}, not {found:?}"))
}

/// Parses a value that has a standard text form; `expected` describes it to the client.
pub(super) fn parse_value<T: FromStr>(name: &str, expected: &str, value: &str) -> Result<T, HttpResponse> {
    value.parse().map_err(|_| invalid_parameter(name, expected, value))
}

/// Parses the number of rows of a page.
pub(super) fn parse_limit(text: &str) -> Result<usize, HttpResponse> {
    let limit = text.parse().ok().filter(|limit| (1..=MAX_PAGE_SIZE).contains(limit));
    limit.ok_or_else(|| invalid_parameter("limit", &format!("1 to {MAX_PAGE_SIZE}"), text))
}

/// A page of numbered rows: where it starts and how many rows it has at most.
pub(super) struct PageQuery {
    pub(super) after: Option<u32>,
    pub(super) limit: usize,
}

/// Parses a query that may hold `after` and `limit` alone; `expected_after` describes the former to the client.
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

/// Parses the JSON body of a request; the response to a wrong one carries the parser's message.
pub(super) fn parse_json_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|error| HttpResponse::error(400, &error.to_string()))
}

/// Parses a job's name from a path. A name of another form was never accepted, so that no such job exists.
pub(crate) fn parse_job_id(text: &str) -> Result<JobId, HttpResponse> {
    JobId::parse(text).ok_or_else(|| HttpResponse::error(404, "no such job"))
}
